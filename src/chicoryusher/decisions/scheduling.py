"""The queue of one instance: which request runs next, and which is refused.

Requests are ordered by learned service time, less a credit for the time
they have waited, with slots shared fairly between callers.  A request is
refused if its expected wait is longer than its deadline allows.
"""

from __future__ import annotations

import dataclasses
from typing import Protocol

from chicoryusher import core
from chicoryusher.decisions import service_times
from chicoryusher.decisions.service_times import ServiceTimes

__all__ = [
    'DEFAULT_QUEUE_POLICY',
    'QueuedRequest',
    'POLICIES',
    'QueuePolicy',
    'ServiceTimes',
    'Rejection',
]

# Seconds of rank that a request gains for each second in the queue.
AGEING_RATIO = 0.5
# A statement is long if it is expected to take more than this multiple of
# the typical service time, and more than MIN_LONG_SERVICE_TIME_S.
LONG_SERVICE_RATIO = 8.0
MIN_LONG_SERVICE_TIME_S = 0.020
# Weight of a caller's consumed slot time in the rank of its requests.
FAIRNESS_RATIO = 1.0
# Least seconds after which a refused caller may try again.
MIN_RETRY_AFTER_S = 0.020
MAX_QUEUE_ITEMS = 4096
# A running statement is overrun once it has taken this many times its
# expected time.
OVERRUN_RATIO = 3.0
DEFAULT_QUEUE_POLICY = 'fair_short_first'


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """One queued request.

    ``arrived_at`` is when it came, ``deadline`` when it must be answered and
    ``started_at`` when it began to run; ``expected_service`` is its expected
    service time in seconds.
    """

    submit: core.Submit
    arrived_at: float
    deadline: float
    expected_service: float = 0.0
    started_at: float = 0.0
    state: core.RequestState = core.RequestState.QUEUED

    @property
    def request(self) -> core.Request:
        """Return the request itself."""
        return self.submit.request


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Refusal to queue a request; ``retry_after`` is in seconds."""

    reason: str
    retry_after: float


class QueuePolicy(Protocol):
    """A scheduling policy of one instance's queue."""

    slots: int

    def offer(self, item: QueuedRequest, now: float) -> Rejection | None:
        """Queue the item, or return why it is refused."""

    def pop_next(self, now: float) -> QueuedRequest | None:
        """Remove and return the item to run next, None if none may run."""

    def requeue(self, item: QueuedRequest) -> None:
        """Queue an item again that was accepted before."""

    def all_slots_overrun(self, now: float) -> bool:
        """Return whether all slots are occupied by overrun statements."""

    def record_start(self, item: QueuedRequest, now: float) -> None:
        """Record that an item occupies a slot."""

    def record_finish(self, item: QueuedRequest, seconds: float) -> None:
        """Record that an item released its slot after ``seconds``."""

    def remove_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the items whose deadline has passed."""

    def drain(self) -> list[QueuedRequest]:
        """Remove and return every queued item."""

    def expected_wait(self, now: float) -> float:
        """Return the expected wait of a new item in seconds."""

    def __len__(self) -> int: ...


POLICIES: core.Registry[type] = core.Registry('queue policy')


class _BaseQueue:
    """Common part of all policies: service times, slots, queued items."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.times = ServiceTimes()
        self._items: list[QueuedRequest] = []
        self._running: dict[core.RequestId, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._items)

    @property
    def running(self) -> int:
        """Return how many slots are occupied."""
        return len(self._running)

    def requeue(self, item: QueuedRequest) -> None:
        """Queue an item again that was accepted before."""
        self._items.append(item)

    def record_start(self, item: QueuedRequest, now: float) -> None:
        """Record that an item occupies a slot."""
        item.started_at = now
        self._running[item.request.request_id] = item

    def all_slots_overrun(self, now: float) -> bool:
        """Return whether all slots are occupied by overrun statements."""
        if self.running < self.slots:
            return False
        return all(
            now - item.started_at > OVERRUN_RATIO * item.expected_service
            for item in self._running.values()
        )

    def record_finish(self, item: QueuedRequest, seconds: float) -> None:
        """Record that an item released its slot."""
        if self._running.pop(item.request.request_id, None) is not None:
            self.times.observe(item.request.statement_class, seconds)

    def remove_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the items that can't finish in time."""
        expired = [item for item in self._items if self._expired(item, now)]
        if expired:
            self._items = [
                item for item in self._items if not self._expired(item, now)
            ]
        return expired

    def _expired(self, item: QueuedRequest, now: float) -> bool:
        return item.deadline <= now

    def drain(self) -> list[QueuedRequest]:
        """Remove and return every queued item."""
        items, self._items = self._items, []
        return items

    def expected_wait(self, now: float) -> float:
        """Return the expected wait of a new item in seconds."""
        if self.running < self.slots and not self._items:
            return 0.0
        work = sum(item.expected_service for item in self._items)
        return self._until_free(now) + work / self.slots

    def _until_free(self, now: float) -> float:
        """Return the expected seconds until a slot is free.

        A statement that has run longer than expected is assumed to run
        for as long again.
        """
        if self.running < self.slots:
            return 0.0
        remaining = []
        for item in self._running.values():
            elapsed = now - item.started_at
            overrun = elapsed > item.expected_service
            remaining.append(
                elapsed if overrun else item.expected_service - elapsed
            )
        return min(remaining)

    def _set_expected(self, item: QueuedRequest) -> None:
        name = item.request.statement_class
        item.expected_service = self.times.expected(name)


@POLICIES.register('fifo')
class FifoQueue(_BaseQueue):
    """First in, first out, of fixed length; a baseline for comparison."""

    max_items = 256

    def offer(self, item: QueuedRequest, now: float) -> Rejection | None:
        """Queue the item unless the queue is full."""
        self._set_expected(item)
        if len(self._items) >= self.max_items:
            return Rejection('the queue is full', MIN_RETRY_AFTER_S)
        self._items.append(item)
        return None

    def pop_next(self, now: float) -> QueuedRequest | None:
        """Remove and return the oldest item."""
        return self._items.pop(0) if self._items else None


@POLICIES.register(DEFAULT_QUEUE_POLICY)
class FairShortFirstQueue(_BaseQueue):
    """Short statements first, fair between callers, bounded by the wait.

    A team shares as one caller.  ``_consumed`` is the slot time in seconds
    that each is charged with.  ``_baseline`` is the charge that a new caller
    starts with; it rises to the least charge of all callers.
    """

    def __init__(self, slots: int) -> None:
        super().__init__(slots)
        self._consumed: dict[str, float] = {}
        self._baseline = 0.0

    def offer(self, item: QueuedRequest, now: float) -> Rejection | None:
        """Queue the item if it can be answered by its deadline."""
        self._set_expected(item)
        if len(self._items) >= MAX_QUEUE_ITEMS:
            return Rejection('the queue is full', MIN_RETRY_AFTER_S)
        expected_wait = self._work_ahead(item) / self._usable_slots(item)
        expected_wait += self._until_free(now)
        max_wait = item.deadline - now - item.expected_service
        if expected_wait > max_wait:
            retry_after = max(MIN_RETRY_AFTER_S, expected_wait - max_wait)
            return Rejection('the expected wait is too long', retry_after)
        self._items.append(item)
        sharer = item.request.sharer
        self._consumed[sharer] = max(
            self._consumed.get(sharer, 0.0), self._baseline
        )
        return None

    def expected_wait(self, now: float) -> float:
        """Return the expected wait of a new short statement in seconds."""
        short = [
            item.expected_service
            for item in self._items
            if not self._is_long(item.expected_service)
        ]
        if self.running < self.slots and not short:
            return 0.0
        usable_slots = max(1, self.slots - self._long_running())
        return self._until_free(now) + sum(short) / usable_slots

    def _expired(self, item: QueuedRequest, now: float) -> bool:
        """Return whether the item is not expected to finish in time."""
        return item.deadline <= now + item.expected_service

    def pop_next(self, now: float) -> QueuedRequest | None:
        """Remove and return the best item that may have a slot now.

        In the first half of its time, a request marked ``may_wait`` is
        passed over while a statement runs and a request without that mark
        is queued.
        """
        may_be_long = self._long_running() < self._max_long_slots()
        busy = self.running > 0
        best: QueuedRequest | None = None
        best_rank = float('inf')
        for item in self._items:
            if self._expired(item, now) or self._needs_reserved_slot(item):
                continue
            if self._is_long(item.expected_service) and not may_be_long:
                continue
            if item.request.marks.may_wait and busy and self._has_urgent():
                if now - item.arrived_at < item.deadline - now:
                    continue
            rank = self._rank(item, now)
            if rank < best_rank:
                best, best_rank = item, rank
        if best is not None:
            self._items.remove(best)
        return best

    def record_start(self, item: QueuedRequest, now: float) -> None:
        """Charge the item's expected time to its caller."""
        super().record_start(item, now)
        sharer = item.request.sharer
        consumed = self._consumed.get(sharer, self._baseline)
        self._baseline = max(
            self._baseline, min(self._consumed.values(), default=0)
        )
        self._consumed[sharer] = consumed + item.expected_service

    def record_finish(self, item: QueuedRequest, seconds: float) -> None:
        """Correct the caller's charge to the measured time."""
        super().record_finish(item, seconds)
        sharer = item.request.sharer
        if sharer in self._consumed:
            self._consumed[sharer] += seconds - item.expected_service
        if not self._items and not self._running:
            self._consumed.clear()
            self._baseline = 0.0

    def _needs_reserved_slot(self, item: QueuedRequest) -> bool:
        """Return whether the item would take the slot reserved for writes.

        A primary with several slots reserves one of them for writes.
        """
        if not _is_primary_read(item) or self.slots == 1:
            return False
        reads = sum(
            1 for other in self._running.values() if _is_primary_read(other)
        )
        return reads >= self.slots - 1

    def _rank(self, item: QueuedRequest, now: float) -> float:
        """Return the rank in seconds; the lowest rank runs first."""
        waited = now - item.arrived_at
        consumed = self._consumed.get(item.request.sharer, self._baseline)
        return (
            item.expected_service
            + FAIRNESS_RATIO * (consumed - self._baseline) / self.slots
            - AGEING_RATIO * waited
        )

    def _has_urgent(self) -> bool:
        """Return whether a queued request is not marked as may-wait."""
        return any(not item.request.marks.may_wait for item in self._items)

    def _is_long(self, expected: float) -> bool:
        """Return whether a statement of that service time is long."""
        bound = max(
            MIN_LONG_SERVICE_TIME_S, LONG_SERVICE_RATIO * self._typical_time()
        )
        return expected > bound

    def _typical_time(self) -> float:
        return min(self.times.mean, service_times.INITIAL_SERVICE_TIME_S)

    def _long_running(self) -> int:
        """Return how many slots are occupied by long statements."""
        return sum(
            1
            for item in self._running.values()
            if self._is_long(item.expected_service)
        )

    def _max_long_slots(self) -> int:
        """Return how many slots long statements may occupy at once."""
        return max(1, self.slots - 1)

    def _usable_slots(self, item: QueuedRequest) -> int:
        """Return how many slots can run the item."""
        if self._is_long(item.expected_service):
            return self._max_long_slots()
        return max(1, self.slots - self._long_running())

    def _work_ahead(self, item: QueuedRequest) -> float:
        """Return the seconds of queued work that goes before the item."""
        return sum(
            other.expected_service
            for other in self._items
            if other.expected_service <= item.expected_service
        )


def _is_primary_read(item: QueuedRequest) -> bool:
    at_primary = item.submit.role is core.Role.PRIMARY
    return at_primary and item.request.kind is core.StatementKind.READ
