"""Queue of work for one instance that is fair between teams.

Each team has a virtual time: the seconds that its statements have used at the
instance.  The team with the lowest one goes first (start-time fair queueing),
so a team that sends many times its usual waits behind itself.  A team that
had nothing queued starts at the time of the team served last: it has saved
up nothing, and owes only what it has used since then.

Deficit round robin needs the cost of a statement before it runs; here the
cost is known from its answer, and is corrected then.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Set
from typing import Protocol

from chicoryusher import core
from chicoryusher.decisions import work_queue

__all__ = ['WORK_QUEUES', 'FairQueue', 'PoolQueue']

# Seconds that a statement is charged when it starts.
EXPECTED_USE_S = 0.02
# Seconds of waiting that lift work of a team by one priority, so that the
# last kind of work starts too.
AGEING_STEP_S = 0.2


class PoolQueue(Protocol):
    """Work that waits for a connection of an instance pool."""

    def __len__(self) -> int: ...

    def add(self, work: core.Work) -> None:
        """Queue a piece of work."""

    def pop_next(
        self, now: float, teams: Set[core.TeamName | None] | None = None
    ) -> core.Work | None:
        """Remove and return the first work that can start, or None.

        Only work of these ``teams`` is considered, None for any team.
        """

    def teams(self) -> Iterable[core.TeamName | None]:
        """Return the team of each piece of work, in their order."""

    def count_ahead_of(self, team: core.TeamName | None) -> int:
        """Return how much work would run before new work of a team."""

    def record_use(self, team: core.TeamName | None, seconds: float) -> None:
        """Record what a statement has used of the instance's time."""

    def remove_expired(self, now: float) -> list[core.Work]:
        """Remove and return the work whose latest start time has passed."""

    def cancel(self, work_id: core.WorkId) -> bool:
        """Remove a piece of work; return whether it was queued."""

    def drain(self) -> list[core.Work]:
        """Remove and return all work."""


class FairQueue:
    """Work by team; work without a team is in the order of ``WorkQueue``."""

    def __init__(self) -> None:
        self._queues: dict[core.TeamName | None, work_queue.WorkQueue] = {}
        self._used_s: dict[core.TeamName | None, float] = {}
        # The virtual time of the team that was served last.
        self._served_at_s = 0.0

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def add(self, work: core.Work) -> None:
        """Queue a piece of work."""
        queue = self._queues.get(work.team)
        if queue is None:
            queue = _new_queue(work.team)
            self._queues[work.team] = queue
            used = self._used_s.get(work.team, 0.0)
            self._used_s[work.team] = max(used, self._served_at_s)
        queue.add(work)

    def pop_next(
        self, now: float, teams: Set[core.TeamName | None] | None = None
    ) -> core.Work | None:
        """Remove and return the first work that can start, or None.

        Only work of these ``teams`` is considered, None for any team.
        """
        for team in self._order():
            if teams is not None and team not in teams:
                continue
            work = self._queues[team].pop_next(now)
            if work is None:
                continue
            self._served_at_s = max(self._served_at_s, self._used_s[team])
            self._used_s[team] += EXPECTED_USE_S
            self._drop_empty()
            return work
        return None

    def _order(self) -> list[core.TeamName | None]:
        return sorted(self._queues, key=self._used_s.__getitem__)

    def _drop_empty(self) -> None:
        """Remove the queues that are empty, and times that are past."""
        for team, queue in tuple(self._queues.items()):
            if not len(queue):
                del self._queues[team]
        for team, used in tuple(self._used_s.items()):
            if team not in self._queues and used <= self._served_at_s:
                del self._used_s[team]

    def teams(self) -> Iterator[core.TeamName | None]:
        """Yield the team of each piece of work, one of each in turn."""
        counts = [(team, len(self._queues[team])) for team in self._order()]
        turn = 0
        while counts:
            yield from (team for team, _ in counts)
            turn += 1
            counts = [item for item in counts if item[1] > turn]

    def count_ahead_of(self, team: core.TeamName | None) -> int:
        """Return how much work would run before new work of a team.

        Of each other team that is as much as this team has queued, and one.
        """
        own = self._queues.get(team)
        own_count = 0 if own is None else len(own)
        return own_count + sum(
            min(len(queue), own_count + 1)
            for other, queue in self._queues.items()
            if other != team
        )

    def record_use(self, team: core.TeamName | None, seconds: float) -> None:
        """Correct what a started statement was charged."""
        if team in self._used_s:
            self._used_s[team] += seconds - EXPECTED_USE_S

    def remove_expired(self, now: float) -> list[core.Work]:
        """Remove and return the work whose latest start time has passed."""
        expired = [
            work
            for queue in self._queues.values()
            for work in queue.remove_expired(now)
        ]
        self._drop_empty()
        return expired

    def cancel(self, work_id: core.WorkId) -> bool:
        """Remove a piece of work; return whether it was queued."""
        cancelled = any(
            queue.cancel(work_id) for queue in self._queues.values()
        )
        self._drop_empty()
        return cancelled

    def drain(self) -> list[core.Work]:
        """Remove and return all work."""
        work = [
            item for queue in self._queues.values() for item in queue.drain()
        ]
        self._drop_empty()
        return work


def _new_queue(team: core.TeamName | None) -> work_queue.WorkQueue:
    rank = work_queue.plain_rank if team is None else _aged_rank
    return work_queue.WorkQueue(rank)


def _aged_rank(work: core.Work) -> tuple[float, float]:
    """Rank work by its priority, which rises while it waits.

    All work ages alike, so its rank does not depend on the time now.
    """
    aged = work.priority * AGEING_STEP_S + work.enqueued_at
    return aged, work.start_deadline


WORK_QUEUES: core.Registry[Callable[[], PoolQueue]] = core.Registry(
    'work queue'
)
WORK_QUEUES.register(core.LoadPolicy.PLAIN)(work_queue.WorkQueue)
WORK_QUEUES.register(core.LoadPolicy.PACED)(FairQueue)
