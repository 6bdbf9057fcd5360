"""The positions of primaries' logs that a VM tells its peers."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions

__all__ = ['KnownPositions', 'positions_of']


def positions_of(
    pong: core.Pong, sent_at: float
) -> tuple[core.PrimaryPositionObserved, ...]:
    """Return the positions in the answer to a ping of a time."""
    return tuple(
        core.PrimaryPositionObserved(
            observed.service, observed.position, sent_at - observed.age
        )
        for observed in pong.positions
    )


class KnownPositions:
    """The newest position of each group's primary that this VM has seen."""

    def __init__(self) -> None:
        self._positions: dict[
            core.ServiceName, core.PrimaryPositionObserved
        ] = {}

    def record(self, seen: core.PrimaryPositionObserved) -> None:
        """Store a position unless a later request gave another one."""
        previous = self._positions.get(seen.service)
        if previous is None or seen.requested_at > previous.requested_at:
            self._positions[seen.service] = seen

    def recent(self, now: float) -> tuple[core.ObservedPosition, ...]:
        """Return the positions that are useful to a peer, with their ages.

        ``now`` is a time of the boot-time clock.
        """
        return tuple(
            core.ObservedPosition(
                entry.service, entry.position, now - entry.requested_at
            )
            for entry in self._positions.values()
            if now - entry.requested_at < decisions.LEASE_DURATION_S
        )
