"""Primary manager: which primaries are in use, and when one is replaced."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool import handover
from chicoryusher.tasks.pool import handover_actions  # noqa: F401
from chicoryusher.tasks.pool import leaders as leaders_module

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


class PrimaryManager(runtime.Task):
    """Publish each group's usable primary, and start changes of primaries."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        owner: core.TaskName,
        evidence: core.EvidenceMode = core.EvidenceMode.OFF,
        announces: bool = False,
    ) -> None:
        super().__init__(loop, vm, 'keeper')
        self._announces = announces
        self._evidence = evidence
        self._known = decisions.KnownInstances()
        self._loop = loop
        self._clock = loop.clock
        self._owner = owner
        self._ready_reported = False
        self._leaving = False
        self._leaders = leaders_module.LeaderTable()
        self._entries: dict[core.InstanceName, core.InstanceEntry] = {}
        self._instances_read_at = float('-inf')
        self._peers = core.PeerSets((), ())
        self._fences: dict[core.ServiceName, list[core.FencePrimary]] = {}
        self.handovers: dict[core.ServiceName, handover.Handover] = {}
        self._running_handovers: set[core.ServiceName] = set()
        self._pending_turns: set[core.ServiceName] = set()
        self._no_primary_since: dict[core.ServiceName, float] = {}
        self._groups: dict[core.ServiceName, core.GroupUpdate] = {}
        self._leaving_since: dict[core.ServiceName, float] = {}
        self._closing_first_seen: dict[
            core.ServiceName, tuple[int, float]
        ] = {}
        self._unconfirmed_since: dict[core.ServiceName, tuple[int, float]] = {}
        # Groups whose leader row is being written again.
        self._confirming: set[core.ServiceName] = set()
        # When this VM saw the present era of the store, on the boot-time
        # clock; unset in the first era, before which nothing was lost.
        self._era = core.FIRST_ERA
        self._era_seen_at = float('-inf')
        self._knew_earlier_era = False
        self.config: core.PoolConfig | None = None
        self._entries_received = False
        self._leaders_received = False
        self.after(CHECK_INTERVAL_S, _CheckGroups())

    def settled(self) -> None:
        """Report once to the owner when callers can be served.

        This needs a configuration, the registered instances and the leader
        rows.
        """
        is_ready = (
            self.config is not None
            and self._entries_received
            and self._leaders_received
        )
        if is_ready and not self._ready_reported:
            self._ready_reported = True
            self.send(self._owner, core.ReadyToServe())

    # -- views of the store ---------------------------------------------

    @runtime.handles(core.PoolConfigUpdate)
    def _on_config(self, message: core.PoolConfigUpdate) -> None:
        version = message.config.version
        if self.config is not None and version <= self.config.version:
            return
        self.config = message.config
        self.log.emit(core.LogEvent.CONFIG_APPLIED, version=version)
        self.meters.show(core.Metric.CONFIG_VERSION, version)
        self.send(names.dispatcher(self.vm), message)

    @runtime.handles(core.RegisteredInstances)
    def _on_instances(self, message: core.RegisteredInstances) -> None:
        self._entries = {entry.name: entry for entry in message.entries}
        boot_now = self._clock.boottime()
        self._known.update(self._entries, message.revision, boot_now)
        self._entries_received = True
        services = {entry.service for entry in self._entries.values()}
        for service in services | set(self._groups):
            self._publish(service)

    @runtime.handles(core.StorePolled)
    def _on_store_seen(self, message: core.StorePolled) -> None:
        if message.view is core.StoreView.INSTANCES:
            self._instances_read_at = message.requested_at
            boot_now = self._clock.boottime()
            self._known.confirm(message.requested_at, boot_now)
            self._tell_evidence_collector(message)
            return
        # On this way it arrives after the configuration that it confirms.
        self.send(
            names.dispatcher(self.vm),
            core.ConfigConfirmed(message.requested_at),
        )

    @runtime.handles(core.LeaderRowsRead)
    def _on_leaders(self, message: core.LeaderRowsRead) -> None:
        eras = [core.era_of(row.revision) for row in message.rows]
        self._note_era(max(message.era, *eras, core.FIRST_ERA))
        self._leaders_received = True
        newer = self._leaders.apply(message)
        self._leaders.record_closings(self._clock.boottime())
        for row in newer:
            self._publish(row.service)

    @runtime.handles(core.StoreRestored)
    def _on_store_restored(self, message: core.StoreRestored) -> None:
        self._note_era(message.era)
        self._leaders.era = max(self._leaders.era, message.era)
        for service in self._running_handovers:
            self.send(names.handover(self.vm, service), message)

    def _note_era(self, era: core.StoreEra) -> None:
        if era > self._era:
            self._era = era
            self._era_seen_at = self._clock.boottime()
            self._knew_earlier_era = self._leaders_received

    @runtime.handles(core.PeerSets)
    def _on_live_peers(self, message: core.PeerSets) -> None:
        self._peers = message

    # -- usable primaries -----------------------------------------------

    def _publish(self, service: core.ServiceName) -> None:
        """Send the group's members and usable primary to other tasks."""
        entries = tuple(
            entry
            for entry in self._entries.values()
            if entry.service == service
        )
        primary = self._leaders.primary(service, entries)
        before = self._groups.get(service)
        message = core.GroupUpdate(service, entries, primary)
        if message == before:
            self._answer_fences(service)
            return
        old = None if before is None else before.primary
        self._groups[service] = message
        if old is not None and old != primary:
            self._request_stop(service, old)
        if primary != old:
            self.log.emit(
                core.LogEvent.PRIMARY_IN_USE,
                service=service,
                primary=primary,
                before=old,
                revision=self._leaders.revision(service),
            )
        self.send(names.dispatcher(self.vm), message)
        self.send(names.reachability_monitor(self.vm), message)
        self.send(names.relay(self.vm), message)
        self._tell_evidence_collector(message)
        self._answer_fences(service)

    def _request_stop(
        self, service: core.ServiceName, old: core.InstanceName
    ) -> None:
        """Ask the dispatcher to stop using an old primary.

        Open transactions get the longest grace period of the group's
        pending fences.
        """
        grace_period = max(
            (fence.grace_period for fence in self._fences.get(service, ())),
            default=0.0,
        )
        revision = self._leaders.revision(service)
        self._leaders.stop_requested(service, revision)
        self.send(
            names.dispatcher(self.vm),
            core.StopPrimary(service, old, revision, grace_period),
        )

    @runtime.handles(core.FencePrimary)
    def _on_fence(self, fence: core.FencePrimary) -> None:
        """Apply the closing row of another VM's or this VM's change.

        The fence is confirmed once this VM no longer uses the primary.
        """
        service = fence.row.service
        self._fences.setdefault(service, []).append(fence)
        rows = core.LeaderRowsRead((fence.row,))
        self._on_leaders(rows)
        self.send(names.view_exchange(self.vm), rows)
        self._answer_fences(service)

    @runtime.handles(core.PrimaryStopped)
    def _on_stopped(self, message: core.PrimaryStopped) -> None:
        self.log.emit(
            core.LogEvent.PRIMARY_STOPPED,
            service=message.service,
            revision=message.revision,
        )
        self._leaders.stopped(message.service, message.revision)
        self._answer_fences(message.service)

    def _answer_fences(self, service: core.ServiceName) -> None:
        """Confirm fences once this VM no longer uses the old primary."""
        if self._leaders.is_stopping(service):
            return
        newest_revision = self._leaders.revision(service)
        unmet = []
        for fence in self._fences.pop(service, ()):
            # A coordinator that does not know of a restore of the store does
            # not replace the primary that is in use.
            revision = fence.row.revision
            if core.era_of(revision) < core.era_of(newest_revision):
                continue
            if fence.row.revision > newest_revision:
                unmet.append(fence)
                continue
            confirmation = core.PrimaryFenced(
                self.vm,
                service,
                fence.row.revision,
                tuple(
                    vm for vm in fence.asked_about if vm in self._peers.listers
                ),
                self._leaders.closed_for(service, self._clock.boottime()),
            )
            if fence.vm == self.vm:
                self.send(names.handover(self.vm, service), confirmation)
            else:
                self.send(
                    names.peers(self.vm),
                    core.SendToPeer(fence.vm, confirmation),
                )
        if unmet:
            self._fences[service] = unmet

    @runtime.handles(core.PrimaryFenced)
    def _on_fenced(self, message: core.PrimaryFenced) -> None:
        if message.service in self.handovers:
            self.send(names.handover(self.vm, message.service), message)

    @runtime.handles(core.PrimaryReopened)
    def _on_reopened(self, message: core.PrimaryReopened) -> None:
        if self._leaders.apply_reopened(message):
            self._publish(message.row.service)

    @runtime.handles(core.PrimaryExpected)
    def _on_expected(self, message: core.PrimaryExpected) -> None:
        """Pass on when a change ends that this VM knows of."""
        service = message.service
        is_known = self._leaders.revision(service) >= message.revision
        if is_known and self._leaders.is_closing(service):
            self.send(names.dispatcher(self.vm), message)

    # -- replacing primaries --------------------------------------------

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
            ),
        )

    def _tell_evidence_collector(self, message: core.Message) -> None:
        if self._evidence is core.EvidenceMode.USE:
            self.send(names.evidence_collector(self.vm), message)

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
