"""Typed messages about entry VMs and their views of the store.

Entry VMs, or nodes, are the VMs that run this proxy; a view is a VM's
copy of one kind of rows of the store.  An age is the number of seconds
between an observation and the sending of the message that reports it;
VMs exchange ages and not times, so that clocks of two machines are never
compared.  Times are those of the boot-time clock (``Clock.running_on``),
which also counts the time for which the machine was suspended.
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
    """Row of the store by which an entry VM registers itself.

    ``boot`` identifies the incarnation of the VM's entry process.
    ``missing`` is set by a peer to which the VM has not responded for
    several seconds.  ``revision`` is the store's version of the row, 0
    for a row that is yet to be written.
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
        """Return whether peers should try to connect to the VM."""
        return self.life is not enums.NodeLife.LEFT and not self.missing


@dataclasses.dataclass(frozen=True, slots=True)
class NodesInStore(messages.Message):
    """Rows of all registered entry VMs at one revision of the store."""

    rows: tuple[NodeRow, ...]
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadNodes(messages.Message):
    """Read the rows of all registered entry VMs from the store.

    The reply to ``reply_to`` is a ``NodesInStore``; there is no reply
    while the store can't be read.
    """

    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class WriteNode(messages.Message):
    """Write an entry VM's row.

    If ``expected`` is set, the row is written only if that is its
    stored revision.
    """

    row: NodeRow
    expected: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Leave(messages.Message):
    """Report that this VM is stopping and no longer uses any primary."""


@dataclasses.dataclass(frozen=True, slots=True)
class FollowStore(messages.Message):
    """Set whether a feed polls the store.

    A feed that does not poll relies on the views of the VMs that do.
    """

    follow: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSeen(messages.Message):
    """Report that a view has all changes made before ``asked_at``.

    ``asked_at`` is when the read that the store answered was sent.
    """

    kind: enums.StoreView
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class LivePeers(messages.Message):
    """Sets of other VMs that matter to a change of primary.

    ``live`` are the VMs that respond; ``concerned`` are those that may
    use or change a primary and must therefore be fenced; a majority of
    the ``voters`` must find a primary unreachable before it is replaced.
    """

    live: tuple[ids.VmName, ...]
    concerned: tuple[ids.VmName, ...]
    voters: tuple[ids.VmName, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address on which another VM listens for connections of peers."""

    vm: ids.VmName
    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAddresses(messages.Message):
    """Addresses of the VMs to which this VM may connect."""

    peers: tuple[PeerAddress, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """Log position of a group's primary ``age`` seconds ago."""

    service: ids.ServiceName
    position: position.Position
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryObserved(messages.Message):
    """Report a log position that a group's primary has reached.

    ``asked_at`` is when the request to the primary was sent, by this
    VM's boot-time clock.
    """

    service: ids.ServiceName
    position: position.Position
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ping(messages.Message):
    """Ask a peer for the state of its views.

    ``number`` pairs the ``Pong`` with its ``Ping``.
    """

    vm: ids.VmName
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """State of a VM's view of one kind of rows of the store.

    ``revision`` is the newest revision that the view has; ``age`` is how
    many seconds ago the view was last confirmed as up to date.
    """

    kind: enums.StoreView
    age: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pong(messages.Message):
    """Reply to a ``Ping`` with the state of the peer's views.

    ``quiet`` is set if the peer has the leader rows and is not changing
    any primary; such a reply is its grant of authority.
    """

    vm: ids.VmName
    number: int
    quiet: bool
    views: tuple[PeerView, ...]
    observed: tuple[Observed, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ViewFetch(messages.Message):
    """Ask a peer for the rows of its view of that ``kind``."""

    vm: ids.VmName
    kind: enums.StoreView
