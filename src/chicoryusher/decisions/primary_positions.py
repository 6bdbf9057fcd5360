"""Log positions of a group's primary, with the time of each request.

An answer of the primary contains every commit that was acknowledged
before the request was sent.  A replica that has the answered position in
its log is therefore stale by at most the time since then.
"""

from __future__ import annotations

import dataclasses

from chicoryusher import core

__all__ = ['PrimaryPositions', 'PrimaryPosition']

# Seconds for which observations are retained.  The largest staleness bound
# of a route is 2.5 s, so the oldest observation that proves it is still
# available.
RETENTION_S = 5.0
# Least seconds between retained observations; a smaller interval would
# improve the proved bounds only slightly.
MIN_INTERVAL_S = 0.05
# Seconds taken off every bound for the granularity of clocks and timers.
BOUND_MARGIN_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryPosition:
    """The primary's position, and when it was requested (seconds)."""

    asked_at: float
    position: core.Position


class PrimaryPositions:
    """Recent observations of one group's primary."""

    def __init__(self) -> None:
        self._retained: list[PrimaryPosition] = []
        self.newest: PrimaryPosition | None = None

    def add(self, asked_at: float, position: core.Position) -> None:
        """Record an answer of the primary; ignore one of an older term."""
        newest = self.newest
        if newest is not None and position.term > newest.position.term:
            self._retained.clear()
            self.newest = newest = None
        if newest is not None and position.term < newest.position.term:
            return
        observation = PrimaryPosition(asked_at, position)
        if newest is None or asked_at >= newest.asked_at:
            self.newest = observation
        if (
            self._retained
            and asked_at - self._retained[-1].asked_at < MIN_INTERVAL_S
        ):
            return
        self._retained.append(observation)
        while self._retained[0].asked_at < asked_at - RETENTION_S:
            self._retained.pop(0)

    def lowest_sufficient(
        self, arrived: float, bound: float
    ) -> PrimaryPosition | None:
        """Return the observation that a read's replica must contain.

        ``arrived`` is when the read arrived and ``bound`` its staleness
        bound in seconds, on the same clock as the observations.  Of the
        observations that prove the bound, the one with the lowest
        position is returned; None if no observation is recent enough.
        """
        oldest = arrived - bound + BOUND_MARGIN_S
        recent = [
            entry for entry in self._retained if entry.asked_at >= oldest
        ]
        if self.newest is not None and self.newest.asked_at >= oldest:
            recent.append(self.newest)
        return min(recent, key=lambda entry: entry.position, default=None)

    def lag(self, position: core.Position, seen_at: float) -> float:
        """Estimate in seconds how far a log at ``position`` is behind.

        ``seen_at`` is when the log was seen at that position.
        """
        newest = self.newest
        if newest is None or position >= newest.position:
            return 0.0
        contained = [
            entry.asked_at
            for entry in self._retained
            if entry.position <= position
        ]
        if not contained:
            return RETENTION_S
        return max(0.0, seen_at - max(contained))
