"""Upper bounds of a replica's staleness, from one VM's own probes.

The gate's VM probes both the replica and the primary, so that all times
are of its own clock and no two clocks are compared.  A replica that has
applied the position that the primary had at time t is stale by at most
now - t.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

from chicoryusher import core

__all__ = ['StalenessBounds']

MAX_HISTORY_ENTRIES = 256


class _Observation(NamedTuple):
    """A position of the primary, and a time at which the primary had it."""

    at: float
    position: core.Position


class StalenessBounds:
    """Positions of a group's primary over time.

    ``term_starts`` are the positions at which terms began; they are needed to
    compare positions of different terms.
    """

    def __init__(self) -> None:
        self.term_starts: tuple[core.TermStart, ...] = ()
        self._history: collections.deque[_Observation] = collections.deque(
            maxlen=MAX_HISTORY_ENTRIES
        )

    def record_primary(
        self,
        began_at: float,
        applied: core.Position,
        starts: tuple[core.TermStart, ...],
    ) -> None:
        """Record the primary's position from a probe.

        The probe began at ``began_at`` and saw the state of that time or
        later, so ``applied`` includes everything committed before
        ``began_at``.
        """
        self.term_starts = starts
        if self._history and self._history[-1].at >= began_at:
            return
        self._history.append(_Observation(began_at, applied))

    def max_staleness(self, applied: core.Position, now: float) -> float:
        """Return the most seconds that ``applied`` is stale by.

        Infinity if no recorded position of the primary proves a bound.
        """
        for observation in reversed(self._history):
            if core.log_contains(
                applied, observation.position, self.term_starts
            ):
                return max(0.0, now - observation.at)
        return float('inf')

    def apply_delay(self, applied: core.Position, at: float) -> float:
        """Estimate the replication delay at time ``at`` in seconds.

        It is the time since the primary first had a position beyond
        ``applied``, as far as the history shows.
        """
        missing_since = at
        for observation in reversed(self._history):
            if core.log_contains(
                applied, observation.position, self.term_starts
            ):
                break
            missing_since = min(missing_since, observation.at)
        return max(0.0, at - missing_since)
