"""Usable primaries: which instance leads each group, as this VM knows it."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.groups import leaders as leaders_module

__all__ = ['UsablePrimaries']


class UsablePrimaries(runtime.Task):
    """Publish each group's usable primary, and answer fences."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        owner: core.TaskName,
        evidence: core.EvidenceMode = core.EvidenceMode.OFF,
    ) -> None:
        super().__init__(loop, vm, 'keeper')
        self._evidence = evidence
        self._known = decisions.KnownInstances()
        self._recent = decisions.RecentMembers()
        self._clock = loop.clock
        self._owner = owner
        self._ready_reported = False
        self._leaders = leaders_module.LeaderTable()
        self._entries: dict[core.InstanceName, core.InstanceEntry] = {}
        self._instances_read_at = float('-inf')
        self._peers = core.PeerSets((), ())
        self._fences: dict[core.ServiceName, list[core.FencePrimary]] = {}
        self._running_handovers: set[core.ServiceName] = set()
        self._groups: dict[core.ServiceName, core.GroupUpdate] = {}
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
        # The limiter must know a team before the dispatcher asks for it.
        self.send(names.limiter(self.vm), message)
        self.send(names.limit_keeper(self.vm), message)
        self.send(names.dispatcher(self.vm), message)

    @runtime.handles(core.RegisteredInstances)
    def _on_instances(self, message: core.RegisteredInstances) -> None:
        self._entries = {entry.name: entry for entry in message.entries}
        boot_now = self._clock.boottime()
        self._known.update(self._entries, message.revision, boot_now)
        self._recent.update(message.entries, boot_now)
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

    def _tell_evidence_collector(self, message: core.Message) -> None:
        if self._evidence is core.EvidenceMode.USE:
            self.send(names.evidence_collector(self.vm), message)
