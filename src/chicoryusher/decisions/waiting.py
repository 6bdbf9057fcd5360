"""Work that waits for a connection to one instance."""

from __future__ import annotations

import bisect

from chicoryusher import core

__all__ = ['WaitingWork']


class WaitingWork:
    """Waiting work: higher priority first, then what is due first."""

    def __init__(self) -> None:
        self._items: list[core.Work] = []

    def __len__(self) -> int:
        return len(self._items)

    def add(self, work: core.Work) -> None:
        """Queue a piece of work."""
        bisect.insort(self._items, work, key=_rank)

    def take(self, now: float) -> core.Work | None:
        """Remove and return what runs next, None if nothing waits."""
        for place, work in enumerate(self._items):
            if work.start_by > now:
                return self._items.pop(place)
        return None

    def expire(self, now: float) -> list[core.Work]:
        """Remove and return the work that can't start in time."""
        late = [one for one in self._items if one.start_by <= now]
        if late:
            self._items = [one for one in self._items if one.start_by > now]
        return late

    def cancel(self, work_id: core.WorkId) -> bool:
        """Remove a piece of work; tell whether it was there."""
        for place, work in enumerate(self._items):
            if work.work_id == work_id:
                del self._items[place]
                return True
        return False

    def drain(self) -> list[core.Work]:
        """Remove and return everything."""
        items, self._items = self._items, []
        return items


def _rank(work: core.Work) -> tuple[int, float]:
    return work.priority, work.start_by
