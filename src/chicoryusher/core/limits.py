"""Typed messages about the limits of teams that all VMs share.

A stamp is a time of the keeper's boot-time clock.  Followers return it to
the keeper and compare it with no clock of their own.
"""

from __future__ import annotations

import dataclasses

from chicoryusher.core import enums
from chicoryusher.core import ids
from chicoryusher.core import messages

__all__ = [
    'AllowanceDecided',
    'AskAllowance',
    'CancelAllowance',
    'FollowLimitKeeper',
    'GrantAllowance',
    'LimitKeeperStamp',
    'LimitTolerance',
    'LimitVms',
    'RequestAllowance',
]


@dataclasses.dataclass(frozen=True, slots=True)
class LimitTolerance:
    """By how much a team's operations may exceed its limit.

    In any window of ``window_s`` seconds a team with a rate and a burst may
    start (rate x window + burst) x (1 + ``ratio``) + ``requests`` operations.
    If that leaves no room for operations that start late, the rate is lowered
    so that those of ``late_start_s`` seconds fit into the window.
    """

    window_s: float = 5.0
    ratio: float = 0.1
    requests: float = 20.0
    late_start_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitVms(messages.Message):
    """VMs that share the limits: the live ones, and how many there are.

    ``near`` are the live VMs in the region of this VM; ``vm_count`` counts all
    registered VMs, this one included.
    """

    live: frozenset[ids.VmName]
    near: frozenset[ids.VmName]
    vm_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class FollowLimitKeeper(messages.Message):
    """Have the VM ``vm`` counted as a follower in a slot of teams.

    ``stamp`` and ``counted_s`` are those of the keeper's last answer; without
    a stamp the VM is not counted yet.  With ``leaves`` it must not be counted
    any more by this stamp or an earlier one.
    """

    vm: ids.VmName
    slot: ids.LimitSlot
    stamp: float | None = None
    counted_s: float = 0.0
    leaves: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LimitKeeperStamp(messages.Message):
    """Answer of the keeper ``vm`` to a follower.

    A follower that returns ``stamp`` is counted until ``counted_s`` seconds
    after it.  ``echoed`` is the stamp of the follower's message; ``released``
    is set if that message made the keeper stop counting it.  ``leaving`` is
    set if the keeper is about to stop.
    """

    vm: ids.VmName
    slot: ids.LimitSlot
    stamp: float
    counted_s: float
    echoed: float | None = None
    released: bool = False
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AskAllowance(messages.Message):
    """Ask a keeper for ``wanted`` operations of a team.

    The last of those that wait at the VM ``vm`` can wait for ``max_wait_s``
    seconds.
    """

    vm: ids.VmName
    team: ids.TeamName
    sequence: int
    wanted: int
    max_wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GrantAllowance(messages.Message):
    """Answer of the keeper ``vm``: how many operations may start.

    ``sequence`` is that of the question.  ``next_s`` is the time in seconds
    after which to ask for more, None if the keeper cannot tell.
    """

    vm: ids.VmName
    team: ids.TeamName
    sequence: int
    granted: int
    next_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAllowance(messages.Message):
    """Request an allowance for one operation of a team of this VM.

    The operation can wait for ``max_wait_s`` seconds, and for a turn of this
    VM for ``max_turn_wait_s``; None leaves that to the limiter.  Ids of
    different ``reply_to`` differ.
    """

    allowance_id: ids.AllowanceId
    team: ids.TeamName
    max_wait_s: float
    reply_to: ids.TaskName
    max_turn_wait_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceDecided(messages.Message):
    """Whether an operation may start.

    If so it must be sent before ``expires_at``, a time of the boot-time clock.
    """

    allowance_id: ids.AllowanceId
    outcome: enums.AllowanceOutcome
    expires_at: float = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAllowance(messages.Message):
    """Withdraw a request for an allowance."""

    allowance_id: ids.AllowanceId
