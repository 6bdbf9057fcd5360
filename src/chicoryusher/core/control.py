"""Typed messages of the control plane: groups, platform, peers.

Times are seconds.  Documents of the platform are opaque JSON bytes.
"""

from __future__ import annotations

import dataclasses

from chicoryusher.core import enums
from chicoryusher.core import errors
from chicoryusher.core import ids
from chicoryusher.core import messages
from chicoryusher.core import position

__all__ = [
    'Disproved',
    'Doubt',
    'Fence',
    'FenceAnswer',
    'GroupState',
    'GroupUsed',
    'LiveVms',
    'ObjectAnswer',
    'ObjectGet',
    'ObjectPut',
    'PeerDown',
    'PeerUp',
    'Promote',
    'PromoteAnswer',
    'Proved',
    'ProveCommit',
    'TableAnswer',
    'TableGet',
    'TablePut',
    'TableScan',
    'TableScanAnswer',
    'ToPeer',
    'VmList',
    'VmListed',
    'VmListRequest',
    'WatchCatchUp',
]

Message = messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class GroupState(Message):
    """What a VM knows of a group whose instance it is the gate of.

    ``observed_at`` is when the probe of the own instance began and
    ``lag`` the staleness proved for that moment; ``apply_delay`` is an
    estimate of how far it is behind its primary.
    """

    database: ids.DatabaseName
    primary: ids.InstanceName | None
    term: ids.Term
    own: messages.ProbeAnswer
    observed_at: float
    lag: float
    apply_delay: float
    starts: tuple[position.TermStart, ...]
    has_majority: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Doubt(Message):
    """An instance lost a connection, or its statements do not end."""

    instance: ids.InstanceName


@dataclasses.dataclass(frozen=True, slots=True)
class GroupUsed(Message):
    """Requests come in: watch the group closely."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProveCommit(Message):
    """Ask for evidence that a commit survives any later term."""

    gate: ids.TaskName
    request_id: ids.RequestId
    position: position.Position


@dataclasses.dataclass(frozen=True, slots=True)
class Proved(Message):
    """A majority holds the commit in its term."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class Disproved(Message):
    """A later term began before the commit reached a majority."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class WatchCatchUp(Message):
    """A gate has requests that wait for its replica to catch up."""

    instance: ids.InstanceName


@dataclasses.dataclass(frozen=True, slots=True)
class Fence(Message):
    """Ask an instance to accept nothing of an earlier term."""

    term: ids.Term
    candidate: ids.VmName


@dataclasses.dataclass(frozen=True, slots=True)
class FenceAnswer(Message):
    """Whether the instance took the fence, and its log position."""

    instance: ids.InstanceName
    term: ids.Term
    accepted: bool
    received: position.Position = position.ORIGIN


@dataclasses.dataclass(frozen=True, slots=True)
class Promote(Message):
    """Make an instance the primary of a term it was fenced for."""

    term: ids.Term
    candidate: ids.VmName


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteAnswer(Message):
    """Whether the instance leads the term."""

    instance: ids.InstanceName
    term: ids.Term
    accepted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TableGet(Message):
    """Read one key of the platform's table."""

    reply_to: ids.TaskName
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class TablePut(Message):
    """Write one key if its version is still ``expected`` (0: absent)."""

    reply_to: ids.TaskName
    key: str
    value: bytes
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableAnswer(Message):
    """Result of a get or put.

    ``version`` is the key's version after the call, 0 if absent; a
    refused put carries PlatformRefused and the version found.
    """

    key: str
    version: int = 0
    value: bytes | None = None
    put: bool = False
    error: errors.PlatformError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TableScan(Message):
    """Read the keys that begin with ``prefix``, after ``after``."""

    reply_to: ids.TaskName
    prefix: str
    after: str = ''
    limit: int = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class TableScanAnswer(Message):
    """Result of a scan, in key order."""

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
    """Write one object; its key names its content."""

    reply_to: ids.TaskName
    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectAnswer(Message):
    """Result of an object's get or put; no value if it is absent."""

    key: str
    value: bytes | None = None
    put: bool = False
    error: errors.PlatformError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class VmListRequest(Message):
    """Read the platform's list of VMs."""

    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class VmListed(Message):
    """One VM of the platform's list."""

    name: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class VmList(Message):
    """The platform's list of VMs, which lags behind reality."""

    vms: tuple[VmListed, ...] = ()
    error: errors.PlatformError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ToPeer(Message):
    """Send a message to a task of another VM."""

    vm: ids.VmName
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUp(Message):
    """A stream to another VM is open and authenticated."""

    vm: ids.VmName


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDown(Message):
    """The stream to another VM has ended or cannot be opened."""

    vm: ids.VmName


@dataclasses.dataclass(frozen=True, slots=True)
class LiveVms(Message):
    """The VMs that may be gates, and the states they were judged by."""

    vms: tuple[ids.VmName, ...]
    states: tuple[tuple[ids.VmName, enums.VmState], ...] = ()
