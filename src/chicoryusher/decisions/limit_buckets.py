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
    'MIN_VALIDITY_S',
    'LimitBucket',
    'allowance_validity_s',
    'bucket_capacity',
    'granted_limit',
]

# Share of the operations of a window that may be started at once, so that
# arrivals which are bunched by chance are not over the limit.
BURST_SHARE = 0.15
# The same for small teams, and the most operations that it gives them, so that
# a keeper that a tenth of the VMs follow can hold one operation.
SMALL_BURST_SHARE = 0.45
SMALL_BURST = 10.0
# Share of the operations of a window that is not granted.
MARGIN_SHARE = 0.03
# Seconds by which an operation may be started later than it was granted.
LATE_START_S = 0.5
# Share of the operations of a window that late starts leave free as well.
LATE_MARGIN_SHARE = 0.001
MAX_VALIDITY_S = 2.0
MIN_VALIDITY_S = 0.2
# Least share with which a keeper holds one operation of a team whose burst
# is smaller; at most three keepers have it at a time.
MIN_OPERATION_SHARE = 0.33
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
    granted_rate, granted_burst = granted_limit(rate, burst, tolerance)
    window_s = tolerance.window_s
    late = _window_limit(rate, burst, tolerance) * (1.0 - LATE_MARGIN_SHARE)
    late -= _most_held(granted_rate, granted_burst) + granted_rate * window_s
    validity_s = late / max(granted_rate, _ROUNDING)
    return min(MAX_VALIDITY_S, max(MIN_VALIDITY_S, validity_s))


def _window_limit(
    rate: float, burst: float, tolerance: core.LimitTolerance
) -> float:
    """Return how many operations a window may have."""
    limit = rate * tolerance.window_s + burst
    return limit * (1.0 + tolerance.ratio) + tolerance.requests


def _most_held(rate: float, burst: float) -> float:
    """Return how many operations all keepers hold together at most."""
    return max(burst, rate * MIN_CAPACITY_S, 1.0 / MIN_OPERATION_SHARE)


def granted_limit(
    rate: float, burst: float, tolerance: core.LimitTolerance
) -> tuple[float, float]:
    """Return the rate and the burst with which keepers grant a limit.

    Together with late starts they stay within what a window may have.  A
    team without any operation gets none.
    """
    if rate <= 0.0 and burst <= 0.0:
        return 0.0, 0.0
    usable = _window_limit(rate, burst, tolerance) * (1.0 - MARGIN_SHARE)
    small = min(SMALL_BURST, usable * SMALL_BURST_SHARE)
    granted_burst = max(burst, usable * BURST_SHARE, small)
    seconds = tolerance.window_s + LATE_START_S
    granted_rate = (usable - _most_held(rate, granted_burst)) / seconds
    if granted_rate < rate:
        late_share = tolerance.late_start_s / tolerance.window_s
        return rate / (1.0 + late_share), burst
    return granted_rate, granted_burst


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
