"""One instance's queue: what runs next and what is refused.

Work is ordered by learned service time less an ageing credit, shared
fairly between callers, and bounded by the wait that the caller accepts.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import Protocol

from chicoryusher import core

__all__ = [
    'DEFAULT_POLICY',
    'Item',
    'POLICIES',
    'Queue',
    'ServiceTimes',
    'Shed',
]

INITIAL_SERVICE = 0.005
LEARNING_RATE = 0.1
MAX_CLASSES = 4096
AGEING_RATE = 0.5
LONG_FACTOR = 8.0
MIN_LONG_SERVICE = 0.020
FAIRNESS_WEIGHT = 1.0
MIN_RETRY_AFTER = 0.020
MAX_QUEUE_ITEMS = 4096
STUCK_FACTOR = 3.0
DEFAULT_POLICY = 'fair_short_first'


@dataclasses.dataclass(slots=True)
class Item:
    """One queued request: when it came and when it must be answered."""

    submit: core.Submit
    arrived: float
    deadline: float
    expected: float = 0.0
    started: float = 0.0
    state: core.RequestState = core.RequestState.QUEUED

    @property
    def request(self) -> core.Request:
        """Return the request itself."""
        return self.submit.request


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """A refusal at the door, with when to try again (seconds)."""

    reason: str
    retry_after: float


class ServiceTimes:
    """Learned service time of each statement class, in seconds."""

    def __init__(self) -> None:
        self._means: collections.OrderedDict[core.StatementClass, float]
        self._means = collections.OrderedDict()
        self.mean = INITIAL_SERVICE

    def expected(self, name: core.StatementClass) -> float:
        """Return the expected service time of a class."""
        return self._means.get(name, self.mean)

    def observe(self, name: core.StatementClass, seconds: float) -> None:
        """Learn from one finished statement."""
        known = self._means.pop(name, seconds)
        self._means[name] = known + LEARNING_RATE * (seconds - known)
        self.mean += LEARNING_RATE * (seconds - self.mean)
        if len(self._means) > MAX_CLASSES:
            self._means.popitem(last=False)


class Queue(Protocol):
    """A scheduling policy of one instance's queue."""

    slots: int

    def offer(self, item: Item, now: float) -> Shed | None:
        """Queue the item, or say why it is refused."""

    def take(self, now: float) -> Item | None:
        """Return the item to run next on a free slot, or None."""

    def put_back(self, item: Item) -> None:
        """Queue an item again that was accepted before."""

    def stuck(self, now: float) -> bool:
        """Tell whether every slot runs longer than was expected."""

    def started(self, item: Item, now: float) -> None:
        """Note that an item occupies a slot."""

    def finished(self, item: Item, seconds: float) -> None:
        """Note that an item gave its slot back after ``seconds``."""

    def expire(self, now: float) -> list[Item]:
        """Remove and return the items whose deadline has passed."""

    def drain(self) -> list[Item]:
        """Remove and return every queued item."""

    def wait(self, now: float) -> float:
        """Return the expected wait of a new item in seconds."""

    def __len__(self) -> int: ...


POLICIES: core.Registry[type] = core.Registry('queue policy')


class _Base:
    """What every policy shares: service times, slots and the list."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.times = ServiceTimes()
        self._items: list[Item] = []
        self._running: dict[core.RequestId, Item] = {}

    def __len__(self) -> int:
        return len(self._items)

    @property
    def running(self) -> int:
        """Return how many slots are occupied."""
        return len(self._running)

    def put_back(self, item: Item) -> None:
        """Queue an item again that was accepted before."""
        self._items.append(item)

    def started(self, item: Item, now: float) -> None:
        """Note that an item occupies a slot."""
        item.started = now
        self._running[item.request.request_id] = item

    def stuck(self, now: float) -> bool:
        """Tell whether every slot runs longer than was expected."""
        if self.running < self.slots:
            return False
        return all(
            now - one.started > STUCK_FACTOR * one.expected
            for one in self._running.values()
        )

    def finished(self, item: Item, seconds: float) -> None:
        """Note that an item gave its slot back."""
        if self._running.pop(item.request.request_id, None) is not None:
            self.times.observe(item.request.statement_class, seconds)

    def expire(self, now: float) -> list[Item]:
        """Remove and return the items that can't be done in time."""
        late = [one for one in self._items if self._too_late(one, now)]
        if late:
            self._items = [
                one for one in self._items if not self._too_late(one, now)
            ]
        return late

    def _too_late(self, item: Item, now: float) -> bool:
        return item.deadline <= now

    def drain(self) -> list[Item]:
        """Remove and return every queued item."""
        items, self._items = self._items, []
        return items

    def wait(self, now: float) -> float:
        """Return the expected wait of a new item in seconds."""
        if self.running < self.slots and not self._items:
            return 0.0
        work = sum(one.expected for one in self._items)
        return self._until_free(now) + work / self.slots

    def _until_free(self, now: float) -> float:
        """Return the expected time until a slot is free.

        What has run for longer than expected is taken to run for as
        long again.
        """
        if self.running < self.slots:
            return 0.0
        left = []
        for one in self._running.values():
            elapsed = now - one.started
            late = elapsed > one.expected
            left.append(elapsed if late else one.expected - elapsed)
        return min(left)

    def _expect(self, item: Item) -> None:
        name = item.request.statement_class
        item.expected = self.times.expected(name)


@POLICIES.register('fifo')
class FifoQueue(_Base):
    """Baseline: first come, first served, of fixed length."""

    max_items = 256

    def offer(self, item: Item, now: float) -> Shed | None:
        """Queue the item unless the queue is full."""
        self._expect(item)
        if len(self._items) >= self.max_items:
            return Shed('the queue is full', MIN_RETRY_AFTER)
        self._items.append(item)
        return None

    def take(self, now: float) -> Item | None:
        """Return the oldest item."""
        return self._items.pop(0) if self._items else None


@POLICIES.register(DEFAULT_POLICY)
class FairShortFirstQueue(_Base):
    """Short work first, aged, fair between callers, bounded by wait."""

    def __init__(self, slots: int) -> None:
        super().__init__(slots)
        self._used: dict[core.CallerName, float] = {}
        self._floor = 0.0

    def offer(self, item: Item, now: float) -> Shed | None:
        """Queue the item if it can be answered by its deadline."""
        self._expect(item)
        if len(self._items) >= MAX_QUEUE_ITEMS:
            return Shed('the queue is full', MIN_RETRY_AFTER)
        ahead = self._work_ahead(item) / self._lanes(item)
        ahead += self._until_free(now)
        accepted = item.deadline - now - item.expected
        if ahead > accepted:
            retry_after = max(MIN_RETRY_AFTER, ahead - accepted)
            return Shed('the expected wait is too long', retry_after)
        self._items.append(item)
        caller = item.request.caller
        self._used[caller] = max(self._used.get(caller, 0.0), self._floor)
        return None

    def wait(self, now: float) -> float:
        """Return the expected wait of new short work in seconds."""
        short = [
            one.expected
            for one in self._items
            if not self._is_long(one.expected)
        ]
        if self.running < self.slots and not short:
            return 0.0
        lanes = max(1, self.slots - self._long_running())
        return self._until_free(now) + sum(short) / lanes

    def _too_late(self, item: Item, now: float) -> bool:
        """Tell whether a slot would be wasted on the item."""
        return item.deadline <= now + item.expected

    def take(self, now: float) -> Item | None:
        """Return the best item that may have a slot now."""
        may_be_long = self._long_running() < self._long_slots()
        busy = self.running > 0
        best: Item | None = None
        best_rank = float('inf')
        for item in self._items:
            if self._too_late(item, now) or self._reserved(item):
                continue
            if self._is_long(item.expected) and not may_be_long:
                continue
            if item.request.marks.may_wait and busy and self._pressed():
                if now - item.arrived < item.deadline - now:
                    continue
            rank = self._rank(item, now)
            if rank < best_rank:
                best, best_rank = item, rank
        if best is not None:
            self._items.remove(best)
        return best

    def started(self, item: Item, now: float) -> None:
        """Charge the item's expected time to its caller."""
        super().started(item, now)
        caller = item.request.caller
        used = self._used.get(caller, self._floor)
        self._floor = max(self._floor, min(self._used.values(), default=0))
        self._used[caller] = used + item.expected

    def finished(self, item: Item, seconds: float) -> None:
        """Correct the caller's charge by the time really taken."""
        super().finished(item, seconds)
        caller = item.request.caller
        if caller in self._used:
            self._used[caller] += seconds - item.expected
        if not self._items and not self._running:
            self._used.clear()
            self._floor = 0.0

    def _reserved(self, item: Item) -> bool:
        """Tell whether only a primary's slot kept for writes is left."""
        if not _reads_primary(item) or self.slots == 1:
            return False
        reads = sum(1 for one in self._running.values() if _reads_primary(one))
        return reads >= self.slots - 1

    def _rank(self, item: Item, now: float) -> float:
        waited = now - item.arrived
        used = self._used.get(item.request.caller, self._floor)
        return (
            item.expected
            + FAIRNESS_WEIGHT * (used - self._floor) / self.slots
            - AGEING_RATE * waited
        )

    def _pressed(self) -> bool:
        return any(not one.request.marks.may_wait for one in self._items)

    def _is_long(self, expected: float) -> bool:
        bound = max(MIN_LONG_SERVICE, LONG_FACTOR * self._typical())
        return expected > bound

    def _typical(self) -> float:
        return min(self.times.mean, INITIAL_SERVICE)

    def _long_running(self) -> int:
        return sum(
            1 for one in self._running.values() if self._is_long(one.expected)
        )

    def _long_slots(self) -> int:
        return max(1, self.slots - 1)

    def _lanes(self, item: Item) -> int:
        if self._is_long(item.expected):
            return self._long_slots()
        return max(1, self.slots - self._long_running())

    def _work_ahead(self, item: Item) -> float:
        return sum(
            one.expected
            for one in self._items
            if one.expected <= item.expected
        )


def _reads_primary(item: Item) -> bool:
    at_primary = item.submit.role is core.Role.PRIMARY
    return at_primary and item.request.kind is core.StatementKind.READ
