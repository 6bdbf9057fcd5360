"""Primary manager: which primaries are in use, and when one is replaced."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.changes import handover
from chicoryusher.tasks.pool.changes import handover_actions  # noqa: F401
from chicoryusher.tasks.pool.groups import usable_primaries

__all__ = ['PrimaryManager']

# Extra wait of each VM after the one before it in the order in which VMs
# replace a primary.
TURN_INTERVAL_S = 0.06
# Extra wait before a planned change of a VM that receives responses from
# less than half of the other VMs. It leaves the change to the others: it
# could not fence most VMs, and would have to wait until their leases
# expires.
MINORITY_PAUSE_S = 2.0
# Time without a registered primary after which one is chosen; longer than
# the entry of an unreachable instance takes to be registered again.
NO_PRIMARY_TIMEOUT_S = 3.0
# Greatest age of the view of registered instances with which a primary that
# has left is replaced; a view received from a peer is up to 6.5 s old.
MAX_INSTANCES_VIEW_AGE_S = 7.0
# Longest wait of a planned change for VMs that do not respond.
UNRESPONSIVE_VM_WAIT_S = 1.5
# Time for which a leader row of an earlier era of the store may stay
# unconfirmed before the primary is replaced: a round of pings to the slowest
# peers, over a relay.
CONFIRMATION_WAIT_S = 2.0
# Interval between checks for groups whose primary must be replaced.
CHECK_INTERVAL_S = 0.25


class _CheckGroups(core.Message):
    """Timer: check which groups need a new primary."""


@dataclasses.dataclass(frozen=True, slots=True)
class _TurnReached(core.Message):
    """Timer: it is this VM's turn to replace a primary.

    The turn is void if the group's leader row has another revision by then.
    """

    service: core.ServiceName
    revision: int
    planned: bool


class PrimaryManager(usable_primaries.UsablePrimaries):
    """Publish each group's usable primary, and start changes of primaries."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        owner: core.TaskName,
        evidence: core.EvidenceMode = core.EvidenceMode.OFF,
        announces: bool = False,
    ) -> None:
        super().__init__(loop, vm, owner, evidence)
        self._announces = announces
        self._loop = loop
        self._leaving = False
        self.handovers: dict[core.ServiceName, handover.Handover] = {}
        self._pending_turns: set[core.ServiceName] = set()
        self._no_primary_since: dict[core.ServiceName, float] = {}
        self._leaving_since: dict[core.ServiceName, float] = {}
        self._closing_first_seen: dict[
            core.ServiceName, tuple[int, float]
        ] = {}
        self._unconfirmed_since: dict[core.ServiceName, tuple[int, float]] = {}
        self.after(CHECK_INTERVAL_S, _CheckGroups())

    # -- replacing primaries --------------------------------------------

    @runtime.handles(core.PrimaryFenced)
    def _on_fenced(self, message: core.PrimaryFenced) -> None:
        if message.service in self.handovers:
            self.send(names.handover(self.vm, message.service), message)

    @runtime.handles(core.PrimaryUnreachable)
    def _on_unreachable(self, message: core.PrimaryUnreachable) -> None:
        for service, group in self._groups.items():
            if group.primary == message.instance:
                # Only the judges know that the primary is unreachable.
                judges = message.judges.intersection(self._peers.live)
                self._schedule_turn(service, False, tuple(judges))

    @runtime.handles(_CheckGroups)
    def _on_check_groups(self, timer: _CheckGroups) -> None:
        """Check for groups whose primary has to be replaced."""
        self.after(CHECK_INTERVAL_S, timer)
        unconfirmed = self._leaders.unconfirmed()
        for service in unconfirmed:
            if service not in self._running_handovers:
                self._check_unconfirmed(service)
        for service, group in self._groups.items():
            if service in self._running_handovers:
                self.send(names.handover(self.vm, service), group)
                self._send_listings(service)
                continue
            if not group.entries:
                continue
            if self._leaders.is_closing(service):
                self._check_handover(service)
            else:
                self._check_primary(service, group)

    def _check_handover(self, service: core.ServiceName) -> None:
        """Take over a change of primary that its coordinator abandoned.

        It counts as abandoned if this VM is the coordinator, but runs no
        change, or if the row has not been renewed for ``TAKEOVER`` seconds.
        """
        revision = self._leaders.expected_revision(service)
        now = self.now()
        first_seen = self._closing_first_seen.get(service)
        if self._leaders.coordinator(service) == self.vm:
            self._schedule_turn(service, False)
        elif first_seen is None or first_seen[0] != revision:
            self._closing_first_seen[service] = (revision, now)
        elif now - first_seen[1] > decisions.CLAIM_TAKEOVER_S:
            self._schedule_turn(service, False)

    def _check_unconfirmed(self, service: core.ServiceName) -> None:
        """Replace a primary whose leader row could not be confirmed in time.

        The row of a group without instances is written again as it is: no VM
        can use its primary.
        """
        revision = self._leaders.expected_revision(service)
        first_seen = self._unconfirmed_since.get(service)
        if first_seen is None or first_seen[0] != revision:
            self._unconfirmed_since[service] = (revision, self.now())
            return
        unconfirmed_s = self.now() - first_seen[1]
        group = self._groups.get(service)
        if group is None or not group.entries:
            if unconfirmed_s > decisions.LEASE_EXPIRY_WAIT_S:
                self._confirm(service, self._leaders.unused_row(service))
        elif unconfirmed_s > CONFIRMATION_WAIT_S:
            self._schedule_turn(service, True)

    @runtime.handles(core.LeadersAgreed)
    def _on_leaders_agreed(self, message: core.LeadersAgreed) -> None:
        for service in self._leaders.unconfirmed():
            if service not in self._running_handovers:
                self._confirm(service, self._leaders.row_to_confirm(service))

    def _confirm(
        self, service: core.ServiceName, row: core.LeaderRow | None
    ) -> None:
        """Write a leader row over what the restored store has."""
        if row is None or service in self._confirming:
            return
        self._confirming.add(service)
        expected = self._leaders.expected_revision(service)
        self.send(
            names.row_client(self.vm),
            core.WriteLeaderRow(row, expected, self.task_name),
        )

    @runtime.handles(core.LeaderRowWritten)
    def _on_confirmed(self, message: core.LeaderRowWritten) -> None:
        self._confirming.discard(message.service)
        if message.row is None:
            if message.era:
                self._note_era(message.era)
                self._leaders.note_missing(message.service, message.era)
            return
        rows = core.LeaderRowsRead((message.row,), message.era)
        self._on_leaders(rows)
        self.send(names.view_exchange(self.vm), rows)

    def _earliest_promotion(self, service: core.ServiceName) -> float:
        """Return when a change of a group's primary may make one the primary.

        It is a time of the boot-time clock.  After a restore of the store a VM
        that has started since does not know who has a lease, and an old
        primary may be kept only when no promotion can be under way.
        """
        if self._knew_earlier_era and not self._may_keep_primary(service):
            return float('-inf')
        return self._era_seen_at + decisions.LEASE_EXPIRY_WAIT_S

    def _may_keep_primary(self, service: core.ServiceName) -> bool:
        """Return whether a change is to keep the primary that leads.

        This VM may not know the last change then, unless it coordinates it.
        """
        if self._leaders.is_confirmed(service):
            return False
        is_own = self._leaders.coordinator(service) == self.vm
        return not (is_own and self._leaders.is_closing(service))

    def _check_primary(
        self, service: core.ServiceName, group: core.GroupUpdate
    ) -> None:
        """Schedule a change if the primary is leaving or has left."""
        age = self._clock.boottime() - self._instances_read_at
        if age > MAX_INSTANCES_VIEW_AGE_S:
            return
        by_name = {entry.name: entry for entry in group.entries}
        if group.primary is not None and group.primary in by_name:
            self._no_primary_since.pop(service, None)
            staying = [entry for entry in group.entries if not entry.leaving]
            leaving = by_name[group.primary].leaving
            if leaving and staying and self._can_begin_planned(service):
                self._schedule_turn(service, True)
            return
        now = self.now()
        since = self._no_primary_since.setdefault(service, now)
        if now - since >= NO_PRIMARY_TIMEOUT_S:
            self._schedule_turn(service, False)

    def _can_begin_planned(self, service: core.ServiceName) -> bool:
        """Return whether a planned change need not wait for any VM.

        The old primary serves meanwhile, so VMs that do not respond get
        ``UNRESPONSIVE_VM_WAIT_S`` seconds to respond again.
        """
        if self._clock.boottime() < self._earliest_promotion(service):
            return False
        now = self.now()
        since = self._leaving_since.setdefault(service, now)
        unresponsive = set(self._peers.must_fence) - set(self._peers.live)
        if unresponsive - self._peers.listers:
            # Their leases may be extended without this VM.
            return self._clock.boottime() >= self._peers.listed_by_all_at
        may_begin = not unresponsive or now - since >= UNRESPONSIVE_VM_WAIT_S
        if may_begin:
            del self._leaving_since[service]
        return may_begin

    def _schedule_turn(
        self,
        service: core.ServiceName,
        planned: bool,
        others: tuple[core.VmName, ...] | None = None,
    ) -> None:
        """Replace the primary after this VM's place in the order of VMs.

        ``others`` are the other VMs that do the same, by default all live
        ones.  VMs earlier in the order go first; the change that one of them
        makes to the leader row then voids this VM's turn.
        """
        is_pending = (
            service in self._running_handovers
            or service in self._pending_turns
        )
        if is_pending or self._leaving:
            return
        self._pending_turns.add(service)
        if others is None:
            others = self._peers.live
        rank = decisions.failover_rank(self.vm, others, service)
        pause = rank * TURN_INTERVAL_S
        in_minority = 2 * len(self._peers.live) < len(self._peers.voters)
        if planned and in_minority:
            pause += MINORITY_PAUSE_S
        self.after(
            pause,
            _TurnReached(
                service, self._leaders.expected_revision(service), planned
            ),
        )

    @runtime.handles(_TurnReached)
    def _on_turn(self, message: _TurnReached) -> None:
        service = message.service
        self._pending_turns.discard(service)
        if service in self._running_handovers or service not in self._groups:
            return
        if message.revision != self._leaders.expected_revision(service):
            return
        group = self._groups[service]
        if not group.entries:
            return
        if service not in self.handovers:
            self.handovers[service] = handover.Handover(
                self._loop, self.vm, service
            )
        self._running_handovers.add(service)
        self._report_changes()
        self.send(
            names.handover(self.vm, service),
            core.StartHandover(
                group.entries,
                group.primary or self._leaders.last_primary(service),
                message.revision,
                message.planned,
                self._peers.must_fence,
                self._earliest_promotion(service),
                self._may_keep_primary(service),
                self._peers.listers,
                self._peers.listed_by_all_at,
                self._sync_replicas(service),
                self._instance_listings(),
                self._announces,
                self._known_members(service),
            ),
        )

    def _known_members(
        self, service: core.ServiceName
    ) -> frozenset[core.InstanceName] | None:
        """Return the instances that a lost change may have promoted.

        Only a change that may keep the primary asks for them: it begins after
        all earlier promotions have taken effect.  None if this VM has started
        too late to know them.
        """
        if not self._knew_earlier_era or not self._may_keep_primary(service):
            return None
        return self._recent.of(service, self._clock.boottime())

    def _send_listings(self, service: core.ServiceName) -> None:
        listings = self._instance_listings()
        if listings is not None:
            self.send(names.handover(self.vm, service), listings)

    def _instance_listings(self) -> core.InstanceListings | None:
        """Return which VMs list which instances, None if it is not used."""
        if self._evidence is core.EvidenceMode.OFF:
            return None
        shown = self._peers.instance_lists
        return self._known.listings(shown, self._clock.boottime())

    def _sync_replicas(self, service: core.ServiceName) -> int:
        """Return how many replicas have each acknowledged commit."""
        services = () if self.config is None else self.config.services
        return next(
            (one.sync_replicas for one in services if one.name == service), 0
        )

    def _report_changes(self) -> None:
        changes = core.HandoversInProgress(bool(self._running_handovers))
        self.send(names.view_exchange(self.vm), changes)

    @runtime.handles(core.HandoverEnded)
    def _on_handover_ended(self, message: core.HandoverEnded) -> None:
        self._running_handovers.discard(message.service)
        self._report_changes()

    @runtime.handles(core.Drain)
    def _on_drain(self, message: core.Drain) -> None:
        """Start no more changes of primaries; running ones continue."""
        self._leaving = True
