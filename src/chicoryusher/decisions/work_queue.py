"""Queue of work that waits for a connection to one instance."""

from __future__ import annotations

import bisect
from collections.abc import Callable
from collections.abc import Set

from chicoryusher import core

__all__ = ['WorkQueue', 'plain_rank']

Rank = Callable[[core.Work], tuple[float, float]]


def plain_rank(work: core.Work) -> tuple[float, float]:
    """Rank work by its priority, then by its latest start time."""
    return work.priority, work.start_deadline


class WorkQueue:
    """Work ordered by its priority, then by its latest start time.

    Work with the lowest ``priority`` number runs first.  Another ``rank``
    replaces this order; it may not change while work is queued.
    """

    def __init__(self, rank: Rank = plain_rank) -> None:
        self._rank = rank
        self._items: list[core.Work] = []

    def __len__(self) -> int:
        return len(self._items)

    def add(self, work: core.Work) -> None:
        """Queue a piece of work."""
        bisect.insort(self._items, work, key=self._rank)

    def pop_next(
        self, now: float, teams: Set[core.TeamName | None] | None = None
    ) -> core.Work | None:
        """Remove and return the first work that can start in time, or None.

        Only work of these ``teams`` is considered, None for any team.

        Work whose start time has passed stays queued until ``remove_expired``.
        """
        for index, work in enumerate(self._items):
            if work.start_deadline <= now:
                continue
            if teams is None or work.team in teams:
                return self._items.pop(index)
        return None

    def teams(self) -> list[core.TeamName | None]:
        """Return the team of each piece of work, in their order."""
        return [work.team for work in self._items]

    def count_ahead_of(self, team: core.TeamName | None) -> int:
        """Return how much work is queued."""
        return len(self._items)

    def record_use(self, team: core.TeamName | None, seconds: float) -> None:
        """Ignore the use: the order does not depend on it."""

    def remove_expired(self, now: float) -> list[core.Work]:
        """Remove and return the work whose latest start time has passed."""
        expired = [work for work in self._items if work.start_deadline <= now]
        if expired:
            self._items = [
                work for work in self._items if work.start_deadline > now
            ]
        return expired

    def cancel(self, work_id: core.WorkId) -> bool:
        """Remove a piece of work; return whether it was queued."""
        for index, work in enumerate(self._items):
            if work.work_id == work_id:
                del self._items[index]
                return True
        return False

    def drain(self) -> list[core.Work]:
        """Remove and return all work."""
        items, self._items = self._items, []
        return items
