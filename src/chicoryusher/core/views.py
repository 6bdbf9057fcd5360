"""Typed messages about entry VMs and their views of the store.

Entry VMs, or nodes, are the VMs that run this proxy; a view is a VM's
copy of one kind of rows of the store.  An age is the number of seconds
between an observation and the sending of the message that reports it;
VMs exchange ages and not times, so that clocks of two machines are never
compared.  Times are those of the boot-time clock (``Clock.boottime``),
which also counts the time for which the machine was suspended.
"""

from __future__ import annotations

import dataclasses
import math

from chicoryusher.core import enums
from chicoryusher.core import forwarding
from chicoryusher.core import ids
from chicoryusher.core import messages
from chicoryusher.core import position
from chicoryusher.core import revisions

__all__ = [
    'SetStorePolling',
    'VmStopping',
    'PeerSets',
    'ShownList',
    'ConfigConfirmed',
    'EntryVmRow',
    'EntryVmRowsRead',
    'ObservedPosition',
    'PeerAddress',
    'PeerAddresses',
    'ViewState',
    'Ping',
    'Pong',
    'PrimaryPositionObserved',
    'ReadEntryVmRows',
    'StorePolled',
    'StoreReached',
    'FetchView',
    'WriteEntryVmRow',
    'ZoneGrant',
]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVmRow:
    """Row of the store by which an entry VM registers itself.

    ``incarnation`` identifies the incarnation of the VM's entry process.
    ``unreachable`` is set by a peer to which the VM has not responded for
    several seconds.  ``revision`` is the store's version of the row, 0
    for a row that is yet to be written.  ``listed_from`` is the revision from
    which on lists of VMs have had the VM, under earlier rows of its name; 0
    if that is this row.
    """

    vm: ids.VmName
    host: str
    port: int
    zone: ids.ZoneName
    incarnation: str
    status: enums.EntryVmStatus = enums.EntryVmStatus.SERVING
    unreachable: bool = False
    revision: int = dataclasses.field(default=0, compare=False)
    listed_from: int = dataclasses.field(default=0, compare=False)

    @property
    def may_be_contacted(self) -> bool:
        """Return whether peers should try to connect to the VM."""
        return (
            self.status is not enums.EntryVmStatus.LEFT
            and not self.unreachable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVmRowsRead(messages.Message):
    """Rows of all registered entry VMs at one revision of the store."""

    rows: tuple[EntryVmRow, ...]
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadEntryVmRows(messages.Message):
    """Read the rows of all registered entry VMs from the store.

    The reply to ``reply_to`` is a ``EntryVmRowsRead``; there is no reply
    while the store can't be read.
    """

    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class WriteEntryVmRow(messages.Message):
    """Write an entry VM's row.

    If ``expected_revision`` is set, the row is written only if that is its
    stored revision.
    """

    row: EntryVmRow
    expected_revision: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class VmStopping(messages.Message):
    """Report that this VM is stopping and no longer uses any primary."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetStorePolling(messages.Message):
    """Set whether a view is polled from the store.

    A VM that does not poll it relies on the views of the VMs that do.
    """

    view: enums.StoreView
    enabled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StorePolled(messages.Message):
    """Report that a view has all changes made before ``requested_at``.

    ``requested_at`` is when the read that the store answered was sent.
    """

    view: enums.StoreView
    requested_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigConfirmed(messages.Message):
    """Report that this VM's configuration was the newest at a time.

    ``confirmed_at`` is on the boot-time clock (``Clock.boottime``): when the
    request was sent that the store has answered, to this VM or to a peer.
    """

    confirmed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReached(messages.Message):
    """Report whether the store has answered this VM's last poll."""

    reached: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ShownList:
    """The newest list of instances that another VM has shown."""

    vm: ids.VmName
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSets(messages.Message):
    """Sets of other VMs that matter to a change of primary.

    ``live`` are the VMs that respond; ``must_fence`` are those that may
    use or change a primary and must therefore be fenced; ``voters`` are
    those that judge whether a primary is unreachable; ``listers`` are known
    to have this VM in their list of VMs.  From ``listed_by_all_at`` on, a
    time of the boot-time clock, every VM has.  ``instance_lists`` are
    the lists of instances that the VMs have.
    """

    live: tuple[ids.VmName, ...]
    must_fence: tuple[ids.VmName, ...]
    voters: tuple[forwarding.EntryVmZone, ...] = ()
    listers: frozenset[ids.VmName] = frozenset()
    listed_by_all_at: float = math.inf
    instance_lists: tuple[ShownList, ...] = ()


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
class ObservedPosition:
    """Log position of a group's primary ``age`` seconds ago."""

    service: ids.ServiceName
    position: position.Position
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryPositionObserved(messages.Message):
    """Report a log position that a group's primary has reached.

    ``requested_at`` is when the request to the primary was sent, by this
    VM's boot-time clock.
    """

    service: ids.ServiceName
    position: position.Position
    requested_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ping(messages.Message):
    """Ask a peer for the state of its views.

    ``sequence`` pairs a ``Pong`` with its ``Ping``; a ping may be answered
    more than once.  ``live_digest`` is the digest of the peer's last report
    of live VMs, 0 without one, or None if this VM wants no report.
    ``era`` is the newest era of the store that this VM knows of, 0 if none.
    """

    vm: ids.VmName
    sequence: int
    live_digest: ids.SetDigest | None = None
    era: revisions.StoreEra = revisions.StoreEra(0)


@dataclasses.dataclass(frozen=True, slots=True)
class ViewState:
    """State of a VM's view of one kind of rows of the store.

    ``revision`` is the newest revision that the view has; ``age`` is how
    many seconds before the arrival of the ping the view was last confirmed
    as up to date.  It is negative if the view was confirmed afterwards.
    ``digest`` identifies the leader rows that the VM knows, and is 0 for
    other views.
    """

    view: enums.StoreView
    age: float
    revision: int
    digest: ids.SetDigest = ids.SetDigest(0)


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneGrant:
    """Lease grants of all VMs of one zone.

    ``age`` is how many seconds before the arrival of the ping the oldest of
    these grants was asked for; ``members_digest`` identifies the VMs that
    have given them.
    """

    zone: ids.ZoneName
    age: float
    members_digest: ids.SetDigest


@dataclasses.dataclass(frozen=True, slots=True)
class Pong(messages.Message):
    """Reply to a ``Ping`` with the state of the peer's views.

    ``grants_lease`` is set if the peer has the leader rows and is not changing
    any primary; such a reply is its grant of a lease.  ``zone_grants`` are
    those that it has gathered.  ``live`` are the VMs that the peer reports
    as live, None if they are those of its last report; ``live_digest``
    identifies them and is 0 without a report.  ``reaches_store`` is unset
    if the store has turned the peer away lately.  ``era`` is the newest era
    of the store that the peer knows of, 0 if none.  Each VM that the peer
    reports as live has a list of VMs of ``list_revision`` at least, and a list
    of instances of ``instances_revision``.
    """

    vm: ids.VmName
    sequence: int
    grants_lease: bool
    views: tuple[ViewState, ...]
    positions: tuple[ObservedPosition, ...] = ()
    zone_grants: tuple[ZoneGrant, ...] = ()
    live_digest: ids.SetDigest = ids.SetDigest(0)
    live: tuple[ids.VmName, ...] | None = None
    reaches_store: bool = True
    era: revisions.StoreEra = revisions.StoreEra(0)
    list_revision: int = 0
    instances_revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FetchView(messages.Message):
    """Ask a peer for the rows of its view ``view``."""

    vm: ids.VmName
    view: enums.StoreView
