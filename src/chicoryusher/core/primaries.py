"""Typed messages about the use and the replacement of primaries.

Timeouts and grace periods are seconds.
"""

from __future__ import annotations

import dataclasses

from chicoryusher.core import enums
from chicoryusher.core import ids
from chicoryusher.core import messages
from chicoryusher.core import revisions
from chicoryusher.core import topology
from chicoryusher.core import views
from chicoryusher.core.instance_probes import DemoteInstance
from chicoryusher.core.instance_probes import InstanceFault
from chicoryusher.core.instance_probes import InstanceProbeResult
from chicoryusher.core.instance_probes import InstanceState
from chicoryusher.core.instance_probes import LastResponse
from chicoryusher.core.instance_probes import LastResponseQuery
from chicoryusher.core.instance_probes import ProbeInstance
from chicoryusher.core.instance_probes import PromoteInstance
from chicoryusher.core.instance_probes import PromotionReply

__all__ = [
    'HandoverEnded',
    'StartHandover',
    'PrimaryExpected',
    'PrimaryLeaseUpdate',
    'HandoversInProgress',
    'DemoteInstance',
    'FencePrimary',
    'InstanceState',
    'InstanceProbeResult',
    'LastResponse',
    'LastResponseQuery',
    'InstanceFault',
    'InstanceListings',
    'ListedSince',
    'ReadyToServe',
    'LeaderRow',
    'LeaderRowsRead',
    'LeadersAgreed',
    'ReachabilityReply',
    'PrimaryFenced',
    'PrimaryUnreachable',
    'PrimaryStopped',
    'ProbeInstance',
    'PromoteInstance',
    'PromotionReply',
    'PrimaryReopened',
    'LeaderRowWritten',
    'StopPrimary',
    'StoreRestored',
    'ReachabilityQuery',
    'WriteLeaderRow',
]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRow:
    """Row of the store that records a group's current primary.

    ``coordinator`` is the VM that coordinates the current or the last change
    of primary.  ``revision`` is the store's version of the row, in the era on
    whose revision its write was conditional; it rises with every write and so
    serves as the token of a change of primary.
    """

    service: ids.ServiceName
    revision: int
    state: enums.LeaderRowState
    primary: ids.InstanceName
    coordinator: ids.VmName


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRowsRead(messages.Message):
    """Leader rows that were read from the store or written to it.

    ``era`` is the era of the store in which the rows were read, 0 for rows
    from elsewhere.  ``complete`` is set if the store has no other leader
    rows.
    """

    rows: tuple[LeaderRow, ...]
    era: revisions.StoreEra = revisions.StoreEra(0)
    complete: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LeadersAgreed(messages.Message):
    """Report that this VM has the newest leader rows, whatever the store has.

    Every VM that may change a primary has said, since this VM saw that the
    store continues from an older copy, that it knows no newer row and changes
    no primary.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRestored(messages.Message):
    """Report that the store has come back from an older copy, in ``era``."""

    era: revisions.StoreEra


@dataclasses.dataclass(frozen=True, slots=True)
class HandoversInProgress(messages.Message):
    """Report whether this VM is changing the primary of any group."""

    any_in_progress: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryUnreachable(messages.Message):
    """Report that most of the ``judges`` can't reach an instance."""

    instance: ids.InstanceName
    judges: frozenset[ids.VmName]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLeaderRow(messages.Message):
    """Write a leader row if its revision is still ``expected_revision``."""

    row: LeaderRow
    expected_revision: int
    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRowWritten(messages.Message):
    """Result of a conditional write of a leader row.

    ``row`` is the row that the store has now, whether or not it is the
    row that was to be written; None if the store has no such row, or if its
    state is unknown.  ``era`` is the era of the store's answer, 0 without an
    answer that says what the store has.
    """

    service: ids.ServiceName
    row: LeaderRow | None
    era: revisions.StoreEra = revisions.StoreEra(0)


@dataclasses.dataclass(frozen=True, slots=True)
class ReachabilityQuery(messages.Message):
    """Ask other VMs whether they can reach an instance that ``vm`` can't."""

    vm: ids.VmName
    instance: ids.InstanceName


@dataclasses.dataclass(frozen=True, slots=True)
class ReachabilityReply(messages.Message):
    """Reply whether ``vm`` could reach an instance just now."""

    vm: ids.VmName
    instance: ids.InstanceName
    reached: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FencePrimary(messages.Message):
    """Ask a VM to stop using the primary that ``row`` replaces.

    ``grace_period`` is the grace period in seconds for statements and
    transactions in progress.  ``asked_about`` are VMs that do not respond
    and may not have the coordinator in their list of VMs.
    """

    vm: ids.VmName
    row: LeaderRow
    grace_period: float
    asked_about: tuple[ids.VmName, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryFenced(messages.Message):
    """Reply that ``vm`` no longer uses the primary being replaced.

    ``revision`` is that of the leader row in ``FencePrimary``.
    ``listed_by`` are those of the VMs asked about that have ``vm`` in their
    list; for ``closed_for`` seconds it has granted no lease to a VM without
    the closing row.
    """

    vm: ids.VmName
    service: ids.ServiceName
    revision: int
    listed_by: tuple[ids.VmName, ...] = ()
    closed_for: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryReopened(messages.Message):
    """Report that a group has a primary that may be used again.

    ``closing_revision`` is the revision of the row in state CLOSING that
    ``row`` replaces.
    """

    closing_revision: int
    row: LeaderRow


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryExpected(messages.Message):
    """Announce in how many seconds a change of primary is expected to end.

    ``revision`` is that of a closing row of the change.
    """

    service: ids.ServiceName
    revision: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryLeaseUpdate(messages.Message):
    """Time until which this VM may use primaries.

    It is a time of the boot-time clock (``Clock.boottime``), which
    also counts the time for which the machine was suspended.
    """

    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopPrimary(messages.Message):
    """Stop using a group's primary within ``grace_period`` seconds."""

    service: ids.ServiceName
    primary: ids.InstanceName
    revision: int
    grace_period: float


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryStopped(messages.Message):
    """Reply that this VM has no more connections to that primary."""

    service: ids.ServiceName
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadyToServe(messages.Message):
    """Report that this VM can serve callers.

    It has the configuration, the instances and the leader rows.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class ListedSince:
    """The list from which on an instance was in each newer list."""

    instance: ids.InstanceName
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceListings(messages.Message):
    """Which VMs have which instances in their lists.

    ``in_every_list`` are those that every list has that may still be used for
    evidence.  ``since`` and ``shown`` are the revisions of the first list
    that has an instance, and of the newest one that a VM has shown.
    """

    in_every_list: frozenset[ids.InstanceName]
    since: tuple[ListedSince, ...] = ()
    shown: tuple[views.ShownList, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StartHandover(messages.Message):
    """Replace the primary of a group.

    ``revision`` is that of the leader row, 0 if there is no row.
    ``planned`` is set while the old primary still serves.  ``vms_to_fence``
    are the other VMs that must be fenced.  No instance becomes the primary
    before ``not_before``, a time of the boot-time clock.  With
    ``may_keep_primary`` the old primary is kept if it leads.  ``listers`` and
    ``listed_by_all_at`` are those of ``PeerSets``.  Each acknowledged commit
    is in the logs of ``sync_replicas`` replicas at least.  With
    ``announces`` the VMs are told when the change is expected to end.
    ``listings`` says which VMs list which instances, None if no VM uses
    evidence from instances.  ``members`` are the instances that may have been
    promoted earlier, None if this VM may not know all of them.
    """

    entries: tuple[topology.InstanceEntry, ...]
    old_primary: ids.InstanceName
    revision: int
    planned: bool
    vms_to_fence: tuple[ids.VmName, ...]
    not_before: float = float('-inf')
    may_keep_primary: bool = False
    listers: frozenset[ids.VmName] = frozenset()
    listed_by_all_at: float = float('-inf')
    sync_replicas: int = 0
    listings: InstanceListings | None = None
    announces: bool = False
    members: frozenset[ids.InstanceName] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverEnded(messages.Message):
    """Report that this VM's change of a primary has succeeded or failed."""

    service: ids.ServiceName
