"""Entry VMs, and what they tell each other of the store.

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
    'FollowStore',
    'Leave',
    'LivePeers',
    'NodeRow',
    'NodesInStore',
    'Observed',
    'PeerAddress',
    'PeerAddresses',
    'PeerView',
    'Ping',
    'Pong',
    'PrimaryObserved',
    'ReadNodes',
    'StoreSeen',
    'ViewFetch',
    'WriteNode',
]


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
class FollowStore(messages.Message):
    """Whether a feed asks the store, or leaves that to other VMs."""

    follow: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSeen(messages.Message):
    """The store answered; all changes of a kind up to then are known.

    ``asked_at`` counts on the clock that runs on while suspended.
    """

    kind: enums.StoreView
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class LivePeers(messages.Message):
    """The other VMs: those that answer, to be fenced, and that vote.

    Most of the ``voters`` must miss a primary before it is replaced.
    """

    live: tuple[ids.VmName, ...]
    concerned: tuple[ids.VmName, ...]
    voters: tuple[ids.VmName, ...] = ()


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
class PrimaryObserved(messages.Message):
    """A group's primary was at ``position`` when asked at ``asked_at``.

    The time counts on this VM's clock that runs on while suspended.
    """

    service: ids.ServiceName
    position: position.Position
    asked_at: float


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
