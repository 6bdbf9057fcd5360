"""Where a group's primary stood, and when that was asked.

An answer of the primary contains every commit that was acknowledged
before its request was sent.  So a replica with that position in its log
is stale by at most the time since then.
"""

from __future__ import annotations

import dataclasses

from chicoryusher import core

__all__ = ['Observations', 'Observation']

# Seconds that observations are kept; over the largest staleness bound
# that routes have (2.5 s), so that the oldest usable one is at hand.
KEPT = 5.0
# Seconds between kept observations; finer ones prove hardly more.
GRAIN = 0.05
# Seconds taken off every bound for clock and timer granularity.
MARGIN = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """The primary's position, and when it was asked for (seconds)."""

    asked_at: float
    position: core.Position


class Observations:
    """Recent observations of one group's primary."""

    def __init__(self) -> None:
        self._seen: list[Observation] = []
        self.newest: Observation | None = None

    def add(self, asked_at: float, position: core.Position) -> None:
        """Keep an answer of the primary."""
        newest = self.newest
        if newest is not None and position.term > newest.position.term:
            self._seen.clear()
            self.newest = newest = None
        if newest is not None and position.term < newest.position.term:
            return
        seen = Observation(asked_at, position)
        if newest is None or asked_at >= newest.asked_at:
            self.newest = seen
        if self._seen and asked_at - self._seen[-1].asked_at < GRAIN:
            return
        self._seen.append(seen)
        while self._seen[0].asked_at < asked_at - KEPT:
            self._seen.pop(0)

    def needed(self, arrived: float, bound: float) -> Observation | None:
        """Return the lowest position that proves the bound, or None.

        ``arrived`` is when the read came and ``bound`` its staleness, in
        seconds of the clock that observations are kept by.
        """
        oldest = arrived - bound + MARGIN
        fit = [one for one in self._seen if one.asked_at >= oldest]
        if self.newest is not None and self.newest.asked_at >= oldest:
            fit.append(self.newest)
        return min(fit, key=lambda one: one.position, default=None)

    def lag(self, position: core.Position, seen_at: float) -> float:
        """Estimate how far behind a log at ``position`` is, in seconds."""
        newest = self.newest
        if newest is None or position >= newest.position:
            return 0.0
        reached = [
            one.asked_at for one in self._seen if one.position <= position
        ]
        if not reached:
            return KEPT
        return max(0.0, seen_at - max(reached))
