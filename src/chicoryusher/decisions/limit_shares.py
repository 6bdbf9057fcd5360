"""Which VM keeps a team's limit, and which share of it that VM may use.

Teams are divided into slots.  In each slot every VM follows one keeper at a
time, and each keeper uses the share of the limits that its followers are of
all VMs.  A follower is counted for a time after a stamp of the keeper that
it has returned; it follows another keeper only after that time, on its own
boot-time clock from the receipt of the stamp, so that no VM is counted
twice whatever is late, lost, frozen or restarted.
"""

from __future__ import annotations

import dataclasses
import heapq
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Set

import xxhash

from chicoryusher import core
from chicoryusher.decisions import configuration

__all__ = [
    'LIMIT_SLOTS',
    'FollowTiming',
    'FollowerCount',
    'follow_timing',
    'limit_slot',
    'limit_vms',
    'limited_teams',
    'sort_limit_keepers',
]

# A region whose VMs follow keepers of their own has at least so many VMs, and
# at least this share of all VMs.
MIN_NEAR_VMS = 8
MIN_NEAR_SHARE = 0.4
LIMIT_SLOTS = tuple(core.LimitSlot(number) for number in range(2))
# Seconds between two messages of a follower to its keeper, and the VMs a
# second that one keeper answers at most.
MIN_FOLLOW_INTERVAL_S = 0.25
FOLLOWERS_PER_S = 200
# Intervals for which a keeper counts a follower, and after which it counts as
# silent.  A follower that finds out earlier may not follow another one sooner.
COUNTED_INTERVALS = 2.5
SILENT_INTERVALS = 2.2


@dataclasses.dataclass(frozen=True, slots=True)
class FollowTiming:
    """Seconds between messages, until silence, and for which one counts."""

    interval_s: float
    silent_s: float
    counted_s: float


def follow_timing(vm_count: int) -> FollowTiming:
    """Return how often followers ask their keeper among ``vm_count`` VMs."""
    interval_s = max(MIN_FOLLOW_INTERVAL_S, vm_count / FOLLOWERS_PER_S)
    return FollowTiming(
        interval_s,
        interval_s * SILENT_INTERVALS,
        interval_s * COUNTED_INTERVALS,
    )


def limit_slot(team: core.TeamName) -> core.LimitSlot:
    """Return the slot of a team."""
    digest = xxhash.xxh64_intdigest(team.encode())
    return LIMIT_SLOTS[digest % len(LIMIT_SLOTS)]


def sort_limit_keepers(
    slot: core.LimitSlot,
    vms: Collection[core.VmName],
    near: Set[core.VmName] = frozenset(),
) -> tuple[core.VmName, ...]:
    """Return the VMs in the order in which they are keepers of a slot.

    The VMs of the own region (``near``) go first if they are many, so that an
    operation does not wait for another region.  Each region then has the
    part of the limits that its VMs have of all VMs; for a region with few
    VMs that would be too little.
    """
    many = len(near) >= max(MIN_NEAR_VMS, MIN_NEAR_SHARE * len(vms))

    def rank(vm: core.VmName) -> tuple[bool, int]:
        digest = xxhash.xxh64_intdigest(f'limits {slot} {vm}'.encode())
        return many and vm not in near, digest

    return tuple(sorted(vms, key=rank))


def limited_teams(
    teams: Iterable[core.Team],
) -> dict[core.TeamName, core.Team]:
    """Return the teams that have a rate, by name."""
    return {team.name: team for team in teams if team.rate is not None}


def limit_vms(
    config: configuration.Configuration,
    live: Set[core.VmName],
    own: core.VmName,
) -> core.LimitVms:
    """Return the VMs that share the limits of a configuration's teams.

    All VMs of the register count, whether they are live or not.
    """
    registered = {spec.name: spec.zone for spec in config.vms}
    live = (live & registered.keys()) | {own}
    own_zone = registered.get(own, core.ZoneName(''))
    region = config.region(own_zone)
    near = {
        vm
        for vm in live
        if vm in registered and config.region(registered[vm]) == region
    }
    return core.LimitVms(
        frozenset(live),
        frozenset(near | {own}),
        len(registered.keys() | {own}),
    )


class FollowerCount:
    """The followers that a keeper counts in one slot.

    ``share`` is their share of all VMs; ``covered_s`` is the integral of the
    share over the time since the start, in seconds.  Times are those of the
    keeper's boot-time clock.  Stamps of an earlier process are not valid.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._advanced_to = started_at
        self._until: dict[core.VmName, float] = {}
        self._released_at: dict[core.VmName, float] = {}
        self._ends: list[tuple[float, core.VmName]] = []
        self._vm_count = 1
        self.covered_s = 0.0

    def __len__(self) -> int:
        return len(self._until)

    @property
    def share(self) -> float:
        """Return the share of all VMs that is counted now, at most 1."""
        return len(self._until) / max(1, self._vm_count, len(self._until))

    def set_vm_count(self, vm_count: int) -> None:
        """Set the number of all VMs, after ``advance``."""
        self._vm_count = vm_count

    def advance(self, now: float) -> float | None:
        """Cover the time until ``now``.

        Return the lowest share that was reached because followers were no
        longer counted, None if none was lost.
        """
        lowest: float | None = None
        while self._ends and self._ends[0][0] <= now:
            until, vm = heapq.heappop(self._ends)
            current = self._until.get(vm)
            if current is None:
                continue
            if current > until:
                heapq.heappush(self._ends, (current, vm))
                continue
            self._cover(until)
            del self._until[vm]
            lowest = self.share
        self._cover(now)
        return lowest

    def _cover(self, until: float) -> None:
        if until > self._advanced_to:
            self.covered_s += self.share * (until - self._advanced_to)
            self._advanced_to = until

    def record(
        self, vm: core.VmName, stamp: float, counted_s: float, now: float
    ) -> None:
        """Count a follower for a time after the stamp that it returned."""
        is_valid = self._started_at <= stamp <= now
        until = stamp + counted_s
        if not is_valid or until <= now:
            return
        if stamp <= self._released_at.get(vm, float('-inf')):
            return
        if vm not in self._until:
            heapq.heappush(self._ends, (until, vm))
        self._until[vm] = max(until, self._until.get(vm, until))

    def release(self, vm: core.VmName, now: float) -> bool:
        """Stop counting a follower; stamps so far are no longer valid.

        Return whether it was counted.
        """
        self._released_at[vm] = now
        return self._until.pop(vm, None) is not None

    def forget_released(self, before: float) -> None:
        """Forget releases whose stamps are too old to be returned."""
        self._released_at = {
            vm: at for vm, at in self._released_at.items() if at >= before
        }
