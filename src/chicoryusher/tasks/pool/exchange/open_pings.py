"""Pings of a VM to its peers whose answers it accepts."""

from __future__ import annotations

__all__ = ['OpenPings']

# Seconds between pings to each peer of this VM's region.
PING_INTERVAL_S = 0.5
# The same while this VM lacks a view after its start.  The peers may start at
# the same moment, and cannot be reached by the first pings.
START_PING_INTERVAL_S = 0.1
# Seconds after the start for which the pings are that frequent at most.
MAX_START_S = 10.0
# Number of the latest pings whose responses are still accepted.
MAX_OPEN_PINGS = 12
# Peers of other regions, and the VMs to which this VM forwards work, are
# pinged at every second tick only.
TICKS_PER_SLOW_PING = 2


class OpenPings:
    """Numbers of pings, and when they were sent by the boot-time clock.

    ``number`` is that of the last ping, 0 before the first.  ``started_at``
    is when this VM started, by the runtime's clock.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self.number = 0
        self._sent_at: dict[int, float] = {}

    def interval(self, has_all_views: bool, now: float) -> float:
        """Return the seconds until the next pings."""
        if has_all_views or now - self._started_at > MAX_START_S:
            return PING_INTERVAL_S
        return START_PING_INTERVAL_S

    def start(self, now: float) -> int:
        """Return the number of the ping that is sent now."""
        self.number += 1
        self._sent_at[self.number] = now
        self._sent_at.pop(self.number - MAX_OPEN_PINGS, None)
        return self.number

    @property
    def is_slow_due(self) -> bool:
        """Return whether the last ping goes to all peers."""
        return self.number % TICKS_PER_SLOW_PING == 0

    def sent_at(self, sequence: int) -> float | None:
        """Return when a ping was sent, None if it is not accepted now."""
        return self._sent_at.get(sequence)
