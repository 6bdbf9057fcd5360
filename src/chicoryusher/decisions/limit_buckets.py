"""How a keeper grants the operations of one team to the VMs that ask.

A bucket fills at the team's rate, and holds the team's burst, both times the
share of VMs that the keeper counts.  A VM that gets fewer operations than it
asks for gets a turn: the time at which its next ones are there.  Turns are
given in the order of the questions, so that each VM gets its part of a limit
that is not enough for all.
"""

from __future__ import annotations

import dataclasses
import math

from chicoryusher import core

__all__ = [
    'LimitBucket',
    'allowance_validity_s',
    'bucket_capacity',
    'granted_limit',
]

# Shares of the tolerance that go into the rate, into the burst, and to
# allowances which are used late.  Arrivals that are bunched by chance, above
# all those of small teams, are not over the limit.
RATE_TOLERANCE_SHARE = 0.5
BURST_TOLERANCE_SHARE = 0.2
VALIDITY_TOLERANCE_SHARE = 0.2
MAX_VALIDITY_S = 2.0
MIN_VALIDITY_S = 0.1
# Least share with which a keeper holds one operation of a team whose burst
# is smaller; at most ten keepers have it at a time.
MIN_OPERATION_SHARE = 0.1
# Seconds of the rate that a bucket holds at least, so that none is lost while
# the VM whose turn it is asks.
MIN_CAPACITY_S = 0.1
# Seconds of the rate that one turn is for, so that a large team needs few
# turns.
TURN_LENGTH_S = 0.05
# Seconds after which a turn that was not used is given up.
TURN_GRACE_S = 0.1
# Slack for rounding in sums of times.
_ROUNDING = 1e-6


def allowance_validity_s(
    rate: float, burst: float, tolerance: core.LimitTolerance
) -> float:
    """Return for how long a granted operation may be started, in seconds.

    What is started in a window was granted in the window or up to this time
    before it.
    """
    tolerated = _tolerated(rate, burst, tolerance)
    granted_rate, _ = granted_limit(rate, burst, tolerance)
    late = VALIDITY_TOLERANCE_SHARE * tolerated
    validity_s = late / max(granted_rate, _ROUNDING)
    return min(MAX_VALIDITY_S, max(MIN_VALIDITY_S, validity_s))


def _tolerated(
    rate: float, burst: float, tolerance: core.LimitTolerance
) -> float:
    """Return how many operations more than the limit a window may have."""
    return (
        tolerance.ratio * (rate * tolerance.window_s + burst)
        + tolerance.requests
    )


def granted_limit(
    rate: float, burst: float, tolerance: core.LimitTolerance
) -> tuple[float, float]:
    """Return the rate and the burst with which keepers grant a limit.

    A team without any operation gets none.
    """
    if rate <= 0.0 and burst <= 0.0:
        return 0.0, 0.0
    tolerated = _tolerated(rate, burst, tolerance)
    extra_rate = RATE_TOLERANCE_SHARE * tolerated / tolerance.window_s
    extra_burst = BURST_TOLERANCE_SHARE * tolerated
    return rate + extra_rate, burst + extra_burst


def bucket_capacity(rate: float, burst: float, share: float) -> float:
    """Return how many operations a keeper with a share holds at most."""
    capacity = share * max(burst, rate * MIN_CAPACITY_S)
    if share >= MIN_OPERATION_SHARE and rate > 0.0:
        return max(1.0, capacity)
    return capacity


@dataclasses.dataclass(slots=True)
class _Turn:
    """Operations that are kept for a VM from a time on."""

    count: int
    at: float


class LimitBucket:
    """The operations of one team that a keeper may grant.

    ``covered_s`` is that of the keeper's ``FollowerCount``.
    """

    def __init__(self, rate: float, burst: float, covered_s: float) -> None:
        self._rate = rate
        self._burst = burst
        self._covered_s = covered_s
        self._level = 0.0
        self._turns: dict[core.VmName, _Turn] = {}

    def set_limit(self, rate: float, burst: float) -> None:
        """Change the limit, after ``refill``; it binds from the next one."""
        self._rate = rate
        self._burst = burst

    def refill(self, covered_s: float, share: float) -> None:
        """Fill for the time since the last call; hold no more than allowed."""
        self._level += self._rate * (covered_s - self._covered_s)
        self._covered_s = covered_s
        capacity = bucket_capacity(self._rate, self._burst, share)
        self._level = min(self._level, capacity)

    def take(
        self,
        vm: core.VmName,
        wanted: int,
        max_wait_s: float,
        share: float,
        now: float,
    ) -> tuple[int, float | None]:
        """Return how many operations a VM may start, and its next turn.

        The turn is in seconds from now, None without followers.  It is kept
        for the VM if it can wait for it.
        """
        self._drop_old_turns(now)
        granted = min(wanted, self._available(vm, now))
        self._level -= granted
        turn = self._turns.get(vm)
        if turn is not None:
            if turn.at > now + _ROUNDING:
                return granted, turn.at - now
            del self._turns[vm]
        if granted == wanted:
            return granted, 0.0
        if share <= 0.0:
            return granted, None
        fill = self._rate * share
        if fill <= 0.0:
            return granted, math.inf
        return granted, self._next_turn(
            vm, wanted - granted, max_wait_s, fill, now
        )

    def _available(self, vm: core.VmName, now: float) -> int:
        """Return how many operations the VM may have now."""
        turn = self._turns.get(vm)
        ahead = sum(
            other.count for name, other in self._turns.items() if name != vm
        )
        unreserved = math.floor(self._level - ahead + _ROUNDING)
        if turn is None or turn.at > now + _ROUNDING:
            own = 0 if turn is None else turn.count
            return max(0, unreserved - own)
        earlier = sum(
            other.count
            for name, other in self._turns.items()
            if name != vm and other.at < turn.at
        )
        kept = math.floor(self._level - earlier + _ROUNDING)
        return max(0, min(turn.count, kept), unreserved)

    def _next_turn(
        self,
        vm: core.VmName,
        wanted: int,
        max_wait_s: float,
        fill: float,
        now: float,
    ) -> float:
        """Return the seconds until the VM's next turn; keep it if useful."""
        count = min(wanted, max(1, int(fill * TURN_LENGTH_S)))
        ahead = sum(turn.count for turn in self._turns.values())
        wait_s = max(0.0, (ahead + count - self._level) / fill)
        if wait_s <= max_wait_s:
            self._turns[vm] = _Turn(count, now + wait_s)
        return wait_s

    def _drop_old_turns(self, now: float) -> None:
        oldest = now - TURN_GRACE_S
        self._turns = {
            vm: turn for vm, turn in self._turns.items() if turn.at >= oldest
        }
