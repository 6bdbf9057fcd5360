"""How stale a replica is at most, proved on one clock.

The gate's VM probes both the replica and the primary.  A replica that
has applied what the primary had at time t is stale by at most now - t.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

from chicoryusher import core

__all__ = ['Freshness']

HISTORY_ENTRIES = 256


class _Observation(NamedTuple):
    """A position of the primary and a time at which it had it."""

    at: float
    position: core.Position


class Freshness:
    """Positions of a group's primary over time."""

    def __init__(self) -> None:
        self.starts: tuple[core.TermStart, ...] = ()
        self._history: collections.deque[_Observation] = collections.deque(
            maxlen=HISTORY_ENTRIES
        )

    def primary_seen(
        self,
        began_at: float,
        applied: core.Position,
        starts: tuple[core.TermStart, ...],
    ) -> None:
        """Note what the primary had when a probe that began so ended.

        The probe saw the state at ``began_at`` or later, so everything
        committed before ``began_at`` is in ``applied``.
        """
        self.starts = starts
        if self._history and self._history[-1].at >= began_at:
            return
        self._history.append(_Observation(began_at, applied))

    def bound(self, applied: core.Position, now: float) -> float:
        """Return the proved staleness in seconds; infinity if none."""
        for seen in reversed(self._history):
            if core.covers(applied, seen.position, self.starts):
                return max(0.0, now - seen.at)
        return float('inf')

    def apply_delay(self, applied: core.Position, at: float) -> float:
        """Estimate in seconds how far ``applied`` was behind at ``at``."""
        missing_since = at
        for seen in reversed(self._history):
            if core.covers(applied, seen.position, self.starts):
                break
            missing_since = min(missing_since, seen.at)
        return max(0.0, at - missing_since)
