"""Typed messages about groups, primaries, and who may use them.

An *age* is how many seconds before its sending something was true, so
that no two machines' clocks are compared.
"""

from __future__ import annotations

import dataclasses

from chicoryusher.core import enums
from chicoryusher.core import ids
from chicoryusher.core import messages
from chicoryusher.core import position

__all__ = [
    'Authority',
    'ChangesUnderWay',
    'DemoteInstance',
    'FencePrimary',
    'FollowStore',
    'PrimaryFenced',
    'PrimaryMissed',
    'GroupInForce',
    'InstanceEntry',
    'InstanceState',
    'InstanceStatus',
    'InstanceTrouble',
    'KnowsEnough',
    'Leave',
    'LeadRow',
    'LeadsInStore',
    'LivePeers',
    'NodeRow',
    'NodesInStore',
    'Observed',
    'Opinion',
    'PeerAddress',
    'PeerAddresses',
    'PeerView',
    'Ping',
    'Pong',
    'PoolConfig',
    'PoolConfigInForce',
    'PoolRoute',
    'PoolService',
    'PrimaryObserved',
    'PrimaryStopped',
    'ProbeInstance',
    'PromoteInstance',
    'PromoteReplied',
    'RegisteredInstances',
    'ReadNodes',
    'Reopened',
    'RowWritten',
    'StopPrimary',
    'StoreSeen',
    'Suspicion',
    'ViewFetch',
    'WriteLead',
    'WriteNode',
]


@dataclasses.dataclass(frozen=True, slots=True)
class PoolRoute:
    """How requests for one database name are served.

    ``max_staleness`` and ``limit`` (of one statement) are seconds;
    ``target`` is the latency target of a whole operation.
    """

    database: ids.DatabaseName
    service: ids.ServiceName
    access: enums.Access
    max_staleness: float
    limit: float
    target: float
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoolService:
    """A database group, and how many connections an instance takes."""

    name: ids.ServiceName
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoolConfig:
    """One version of the configuration; ``tx_idle`` is seconds."""

    version: ids.ConfigVersion
    routes: tuple[PoolRoute, ...]
    services: tuple[PoolService, ...]
    tx_idle: float


@dataclasses.dataclass(frozen=True, slots=True)
class PoolConfigInForce(messages.Message):
    """A configuration that is in force from now on."""

    config: PoolConfig


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceEntry:
    """One instance as it registers itself.

    ``boot`` tells two lives of one name apart.
    """

    name: ids.InstanceName
    service: ids.ServiceName
    host: str
    port: int
    zone: ids.ZoneName
    slots: int
    leaving: bool
    role: enums.Role
    boot: int


@dataclasses.dataclass(frozen=True, slots=True)
class RegisteredInstances(messages.Message):
    """Every registered instance, as of one revision of the store."""

    entries: tuple[InstanceEntry, ...]
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LeadRow:
    """Who leads a group, as the store has it.

    ``revision`` is the store's version of the row; it rises with every
    write and so serves as the token of a change of primary.
    """

    service: ids.ServiceName
    revision: int
    state: enums.LeadRowState
    primary: ids.InstanceName
    holder: ids.VmName


@dataclasses.dataclass(frozen=True, slots=True)
class LeadsInStore(messages.Message):
    """Lead rows that were read or changed."""

    rows: tuple[LeadRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRow:
    """An entry VM as it registers itself for its peers.

    ``missing`` is set by a peer that has not heard it for long;
    ``revision`` is the store's version of the row, 0 for one to write.
    """

    vm: ids.VmName
    host: str
    port: int
    zone: ids.ZoneName
    boot: str
    life: enums.NodeLife = enums.NodeLife.SERVING
    missing: bool = False
    revision: int = dataclasses.field(default=0, compare=False)

    @property
    def is_callable(self) -> bool:
        """Tell whether the VM is worth a call."""
        return self.life is not enums.NodeLife.LEFT and not self.missing


@dataclasses.dataclass(frozen=True, slots=True)
class NodesInStore(messages.Message):
    """Every registered entry VM, as of one revision of the store."""

    rows: tuple[NodeRow, ...]
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadNodes(messages.Message):
    """Read the registered entry VMs anew.

    The answer is a ``NodesInStore`` for the task that asked; none comes
    while the store can't be read.
    """

    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class FollowStore(messages.Message):
    """Whether a feed asks the store, or leaves that to other VMs."""

    follow: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LivePeers(messages.Message):
    """The other VMs: those that answer, and those to be fenced."""

    live: tuple[ids.VmName, ...]
    concerned: tuple[ids.VmName, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesUnderWay(messages.Message):
    """Whether this VM changes a primary."""

    any: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryMissed(messages.Message):
    """Over half of the live VMs can't reach an instance."""

    instance: ids.InstanceName


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSeen(messages.Message):
    """The store answered; all changes of a kind up to then are known.

    ``asked_at`` counts on the clock that runs on while suspended.
    """

    kind: enums.StoreView
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLead(messages.Message):
    """Write a lead row if it still has ``expected`` as its revision."""

    row: LeadRow
    expected: int
    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class RowWritten(messages.Message):
    """What became of a conditional write, read back where in doubt.

    ``row`` is the row as the store has it now, None if unknown.
    """

    service: ids.ServiceName
    row: LeadRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class WriteNode(messages.Message):
    """Write an entry VM's row.

    With ``expected`` only while that is the row's revision.
    """

    row: NodeRow
    expected: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Leave(messages.Message):
    """This VM stops now: it uses no primary any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where another VM takes streams of peers."""

    vm: ids.VmName
    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAddresses(messages.Message):
    """The VMs that may be called."""

    peers: tuple[PeerAddress, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """Where a group's primary stood ``age`` seconds ago."""

    service: ids.ServiceName
    position: position.Position
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ping(messages.Message):
    """Ask a peer for its view; it is answered at once."""

    vm: ids.VmName
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """How new and how old a VM's view of one part of the store is."""

    kind: enums.StoreView
    age: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pong(messages.Message):
    """A peer's views at the moment of its answer.

    ``quiet`` says that it knows the lead rows and changes no primary.
    """

    vm: ids.VmName
    number: int
    quiet: bool
    views: tuple[PeerView, ...]
    observed: tuple[Observed, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ViewFetch(messages.Message):
    """Ask a peer for what it has of one part of the store."""

    vm: ids.VmName
    kind: enums.StoreView


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryObserved(messages.Message):
    """A group's primary was at ``position`` when asked at ``asked_at``.

    The time counts on this VM's clock that runs on while suspended.
    """

    service: ids.ServiceName
    position: position.Position
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion(messages.Message):
    """A VM misses an instance and asks what others see."""

    vm: ids.VmName
    instance: ids.InstanceName


@dataclasses.dataclass(frozen=True, slots=True)
class Opinion(messages.Message):
    """Whether an instance could be reached by a VM just now."""

    vm: ids.VmName
    instance: ids.InstanceName
    reached: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FencePrimary(messages.Message):
    """Stop using the primary of a group: its row is being changed.

    ``patience`` is how many seconds open work may still take.
    """

    vm: ids.VmName
    row: LeadRow
    patience: float


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryFenced(messages.Message):
    """A VM no longer uses the primary that the row replaces."""

    vm: ids.VmName
    service: ids.ServiceName
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reopened(messages.Message):
    """The group has a primary again; ``closing`` is the row it ends."""

    closing: int
    row: LeadRow


@dataclasses.dataclass(frozen=True, slots=True)
class GroupInForce(messages.Message):
    """The instances of a group, and the primary that may be used."""

    service: ids.ServiceName
    entries: tuple[InstanceEntry, ...]
    primary: ids.InstanceName | None


@dataclasses.dataclass(frozen=True, slots=True)
class Authority(messages.Message):
    """Primaries may be used until this time of the running-on clock."""

    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopPrimary(messages.Message):
    """Stop using a group's primary, after ``patience`` seconds at most."""

    service: ids.ServiceName
    primary: ids.InstanceName
    revision: int
    patience: float


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryStopped(messages.Message):
    """No connection of this VM to that primary is left."""

    service: ids.ServiceName
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceTrouble(messages.Message):
    """Traffic met an instance that was silent or broke off."""

    instance: ids.InstanceName


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeInstance(messages.Message):
    """Ask an instance for its status within ``timeout`` seconds.

    With ``status`` False it is enough that it takes a connection.
    """

    entry: InstanceEntry
    timeout: float
    status: bool
    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class DemoteInstance(messages.Message):
    """Make an instance a replica of ``term``; its status comes back."""

    entry: InstanceEntry
    term: ids.Term
    timeout: float
    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceState:
    """What an instance says of itself."""

    role: enums.Role
    term: ids.Term
    received: position.Position
    applied: position.Position


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus(messages.Message):
    """The result of a probe; ``state`` is None where none came."""

    instance: ids.InstanceName
    reached: bool
    state: InstanceState | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteInstance(messages.Message):
    """Tell the platform which instance takes over."""

    service: ids.ServiceName
    instance: ids.InstanceName
    holder: ids.VmName
    token: int
    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteReplied(messages.Message):
    """The platform's answer to a promotion."""

    service: ids.ServiceName
    token: int
    result: enums.PromoteResult


@dataclasses.dataclass(frozen=True, slots=True)
class KnowsEnough(messages.Message):
    """Configuration, instances and leads are known: callers can be served."""
