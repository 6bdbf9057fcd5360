"""Typed messages of the control plane: groups, platform, peers.

Times are seconds.  Values in the platform's table and object store are
JSON documents as bytes, which these messages don't decode.
"""

from __future__ import annotations

import dataclasses

from chicoryusher.core import enums
from chicoryusher.core import errors
from chicoryusher.core import ids
from chicoryusher.core import messages
from chicoryusher.core import position

__all__ = [
    'CommitDisproved',
    'InstanceSuspected',
    'Fence',
    'FenceAnswer',
    'GroupState',
    'GroupActive',
    'LiveVms',
    'ObjectAnswer',
    'ObjectGet',
    'ObjectPut',
    'PeerDown',
    'PeerUp',
    'Promote',
    'PromoteAnswer',
    'CommitProved',
    'ProveCommit',
    'TableAnswer',
    'TableGet',
    'TablePut',
    'TableScan',
    'TableScanAnswer',
    'SendToPeer',
    'VmList',
    'ListedVm',
    'VmListRequest',
    'CatchUpAwaited',
]

Message = messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class GroupState(Message):
    """State of a database group, from its monitor to a gate in it.

    ``own_probe`` is the answer of the gate's instance to its last probe and
    ``observed_at`` when that probe began.  ``staleness`` is an upper bound of
    the instance's staleness, proved for that moment; ``apply_delay`` is
    an estimate of how many seconds it is behind its primary.  ``term_starts``
    are the log offsets at which terms began.  ``has_majority`` is set if
    a majority of the group's instances was recently seen in the term.
    """

    database: ids.DatabaseName
    primary: ids.InstanceName | None
    term: ids.Term
    own_probe: messages.ProbeAnswer
    observed_at: float
    staleness: float
    apply_delay: float
    term_starts: tuple[position.TermStart, ...]
    has_majority: bool


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSuspected(Message):
    """Report that an instance is suspected to have failed.

    It lost a connection, or its statements do not end.
    """

    instance: ids.InstanceName


@dataclasses.dataclass(frozen=True, slots=True)
class GroupActive(Message):
    """Report that a group has requests, so that it is probed often."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProveCommit(Message):
    """Ask for evidence that a commit is part of every later term."""

    gate: ids.TaskName
    request_id: ids.RequestId
    position: position.Position


@dataclasses.dataclass(frozen=True, slots=True)
class CommitProved(Message):
    """Reply that a majority has the commit in the term it was made in."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class CommitDisproved(Message):
    """Reply that a later term began before a majority had the commit."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class CatchUpAwaited(Message):
    """Report that requests of a gate wait for its replica to catch up."""

    instance: ids.InstanceName


@dataclasses.dataclass(frozen=True, slots=True)
class Fence(Message):
    """Ask an instance to reject everything of terms before ``term``.

    ``candidate`` is the VM that claims the term.
    """

    term: ids.Term
    candidate: ids.VmName


@dataclasses.dataclass(frozen=True, slots=True)
class FenceAnswer(Message):
    """Reply whether an instance accepted a fence.

    ``received`` is the end of the log that the instance has received.
    """

    instance: ids.InstanceName
    term: ids.Term
    accepted: bool
    received: position.Position = position.ORIGIN


@dataclasses.dataclass(frozen=True, slots=True)
class Promote(Message):
    """Make an instance the primary of a term for which it was fenced."""

    term: ids.Term
    candidate: ids.VmName


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteAnswer(Message):
    """Reply whether the instance is the primary of the term."""

    instance: ids.InstanceName
    term: ids.Term
    accepted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TableGet(Message):
    """Read one key of the platform's table.

    ``requested_at`` is on the boot-time clock; the answer repeats it.
    """

    reply_to: ids.TaskName
    key: str
    requested_at: float = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class TablePut(Message):
    """Write one key if its version is still ``expected_version``.

    Version 0 stands for a key that does not exist.
    """

    reply_to: ids.TaskName
    key: str
    value: bytes
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableAnswer(Message):
    """Result of a get or put of one key of the platform's table.

    ``version`` is the key's version after the call, 0 if the key does
    not exist.  After a refused put ``error`` is PlatformRefused and
    ``version`` the version that the key has.  ``requested_at`` is that of
    the get.
    """

    key: str
    version: int = 0
    value: bytes | None = None
    is_put: bool = False
    error: errors.PlatformError | None = None
    requested_at: float = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class TableScan(Message):
    """Read up to ``limit`` keys with a prefix, in key order.

    Only keys that sort after the key ``after_key`` are read.
    """

    reply_to: ids.TaskName
    prefix: str
    after_key: str = ''
    limit: int = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class TableScanAnswer(Message):
    """Result of a scan of the platform's table, in key order."""

    prefix: str
    rows: tuple[TableAnswer, ...] = ()
    error: errors.PlatformError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectGet(Message):
    """Read one object of the platform's object store."""

    reply_to: ids.TaskName
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectPut(Message):
    """Write one object; its key is derived from its content."""

    reply_to: ids.TaskName
    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectAnswer(Message):
    """Result of an object's get or put.

    ``value`` is None if the object does not exist.
    """

    key: str
    value: bytes | None = None
    is_put: bool = False
    error: errors.PlatformError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class VmListRequest(Message):
    """Read the platform's list of VMs."""

    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm(Message):
    """Entry of the platform's list of VMs.

    ``leaving`` is set if the platform is about to stop the VM.
    """

    name: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class VmList(Message):
    """The platform's list of VMs, which may be out of date."""

    vms: tuple[ListedVm, ...] = ()
    error: errors.PlatformError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SendToPeer(Message):
    """Send a message to a task of another VM."""

    vm: ids.VmName
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUp(Message):
    """Report that a stream to another VM is open and authenticated."""

    vm: ids.VmName


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDown(Message):
    """Report that no stream to another VM is open or can be opened."""

    vm: ids.VmName


@dataclasses.dataclass(frozen=True, slots=True)
class LiveVms(Message):
    """VMs that may be gates, and the states of VMs as seen by this VM."""

    vms: tuple[ids.VmName, ...]
    states: tuple[tuple[ids.VmName, enums.VmState], ...] = ()
