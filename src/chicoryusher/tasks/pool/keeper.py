"""The keeper: which primaries are in use, and when one is replaced."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool import handover
from chicoryusher.tasks.pool import handover_actions  # noqa: F401
from chicoryusher.tasks.pool import leads as leads_module

__all__ = ['Keeper']

# Seconds by which each later VM in the order waits before it acts.
RANK_PAUSE = 0.06
# Seconds by which a VM that hears less than half of the others leaves a
# planned change to them: they need not wait for most to lapse.
FEW_PAUSE = 2.0
# Seconds without a registered primary before one is chosen; over the
# time that a silent instance's entry needs to come back.
NO_PRIMARY = 3.0
# Seconds for which a view of the registered instances is good enough to
# replace a primary that has left; a view passed on is up to 6.5 s old.
FRESH_INSTANCES = 7.0
# Seconds that a planned change waits for a silent VM before it begins.
SILENT_PATIENCE = 1.5
# Seconds between looks at groups whose primary has to be replaced.
LOOK = 0.25


class _Look(core.Message):
    """Time to look at groups."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ActNow(core.Message):
    """This VM's turn to replace a primary, if that is still needed."""

    service: core.ServiceName
    revision: int
    planned: bool


class Keeper(runtime.Task):
    """Tell the desk what is in force; begin changes of primaries."""

    def __init__(
        self, loop: runtime.Runtime, vm: core.VmName, owner: core.TaskName
    ) -> None:
        super().__init__(loop, vm, 'keeper')
        self._loop = loop
        self._clock = loop.clock
        self._owner = owner
        self._told_enough = False
        self._leaving = False
        self._leads = leads_module.Leads()
        self._entries: dict[core.InstanceName, core.InstanceEntry] = {}
        self._instances_seen_at = float('-inf')
        self._peers = core.LivePeers((), ())
        self._fences: dict[core.ServiceName, list[core.FencePrimary]] = {}
        self.handovers: dict[core.ServiceName, handover.Handover] = {}
        self._changing: set[core.ServiceName] = set()
        self._turns: set[core.ServiceName] = set()
        self._no_primary: dict[core.ServiceName, float] = {}
        self._in_force: dict[core.ServiceName, core.GroupInForce] = {}
        self._leaving_seen: dict[core.ServiceName, float] = {}
        self._closing_seen: dict[core.ServiceName, tuple[int, float]] = {}
        self.config: core.PoolConfig | None = None
        self._entries_known = False
        self._leads_known = False
        self.after(LOOK, _Look())

    def settled(self) -> None:
        """Tell the owner once enough is known to serve callers."""
        known = (
            self.config is not None
            and self._entries_known
            and self._leads_known
        )
        if known and not self._told_enough:
            self._told_enough = True
            self.send(self._owner, core.KnowsEnough())

    # -- what is known --------------------------------------------------

    @runtime.handles(core.PoolConfigInForce)
    def _on_config(self, message: core.PoolConfigInForce) -> None:
        version = message.config.version
        if self.config is not None and version <= self.config.version:
            return
        self.config = message.config
        self.log.emit(core.LogEvent.CONFIG_IN_FORCE, version=version)
        self.meters.show(core.Metric.CONFIG_VERSION, version)
        self.send(names.desk(self.vm), message)

    @runtime.handles(core.RegisteredInstances)
    def _on_instances(self, message: core.RegisteredInstances) -> None:
        self._entries = {one.name: one for one in message.entries}
        self._entries_known = True
        services = {one.service for one in self._entries.values()}
        for service in services | set(self._in_force):
            self._publish(service)

    @runtime.handles(core.StoreSeen)
    def _on_seen(self, message: core.StoreSeen) -> None:
        self._instances_seen_at = message.asked_at

    @runtime.handles(core.LeadsInStore)
    def _on_leads(self, message: core.LeadsInStore) -> None:
        self._leads_known = True
        for row in message.rows:
            if self._leads.take(row):
                self._publish(row.service)

    @runtime.handles(core.LivePeers)
    def _on_live(self, message: core.LivePeers) -> None:
        self._peers = message

    # -- what is in force -----------------------------------------------

    def _publish(self, service: core.ServiceName) -> None:
        entries = tuple(
            one for one in self._entries.values() if one.service == service
        )
        primary = self._leads.primary(service, entries)
        before = self._in_force.get(service)
        message = core.GroupInForce(service, entries, primary)
        if message == before:
            self._settle_fences(service)
            return
        old = None if before is None else before.primary
        self._in_force[service] = message
        if old is not None and old != primary:
            self._stop(service, old)
        if primary != old:
            self.log.emit(
                core.LogEvent.PRIMARY_IN_FORCE,
                service=service,
                primary=primary,
                before=old,
                revision=self._leads.revision(service),
            )
        self.send(names.desk(self.vm), message)
        self.send(names.watch(self.vm), message)
        self.send(names.relay(self.vm), message)
        self._settle_fences(service)

    def _stop(self, service: core.ServiceName, old: core.InstanceName) -> None:
        patience = max(
            (one.patience for one in self._fences.get(service, ())),
            default=0.0,
        )
        revision = self._leads.revision(service)
        self._leads.stopping(service, revision)
        self.send(
            names.desk(self.vm),
            core.StopPrimary(service, old, revision, patience),
        )

    @runtime.handles(core.FencePrimary)
    def _on_fence(self, fence: core.FencePrimary) -> None:
        service = fence.row.service
        self._fences.setdefault(service, []).append(fence)
        rows = core.LeadsInStore((fence.row,))
        self._on_leads(rows)
        self.send(names.exchange(self.vm), rows)
        self._settle_fences(service)

    @runtime.handles(core.PrimaryStopped)
    def _on_stopped(self, message: core.PrimaryStopped) -> None:
        self.log.emit(
            core.LogEvent.PRIMARY_STOPPED,
            service=message.service,
            revision=message.revision,
        )
        self._leads.stopped(message.service, message.revision)
        self._settle_fences(message.service)

    def _settle_fences(self, service: core.ServiceName) -> None:
        """Answer the fences that this VM has met."""
        if self._leads.is_stopping(service):
            return
        known = self._leads.revision(service)
        left = []
        for fence in self._fences.pop(service, ()):
            if fence.row.revision > known:
                left.append(fence)
                continue
            done = core.PrimaryFenced(self.vm, service, fence.row.revision)
            if fence.vm == self.vm:
                self.send(names.handover(self.vm, service), done)
            else:
                self.send(names.peers(self.vm), core.ToPeer(fence.vm, done))
        if left:
            self._fences[service] = left

    @runtime.handles(core.PrimaryFenced)
    def _on_fenced(self, message: core.PrimaryFenced) -> None:
        if message.service in self.handovers:
            self.send(names.handover(self.vm, message.service), message)

    @runtime.handles(core.Reopened)
    def _on_reopened(self, message: core.Reopened) -> None:
        if self._leads.reopen(message):
            self._publish(message.row.service)

    # -- replacing primaries --------------------------------------------

    @runtime.handles(core.PrimaryMissed)
    def _on_missed(self, message: core.PrimaryMissed) -> None:
        for service, group in self._in_force.items():
            if group.primary == message.instance:
                self._act_soon(service, False)

    @runtime.handles(_Look)
    def _on_look(self, look: _Look) -> None:
        """Look for groups whose primary has to be replaced."""
        self.after(LOOK, look)
        for service, group in self._in_force.items():
            if service in self._changing or not group.entries:
                continue
            if self._leads.is_closing(service):
                self._look_at_change(service)
            else:
                self._look_at(service, group)

    def _look_at_change(self, service: core.ServiceName) -> None:
        """Take a change over that its holder has left."""
        revision = self._leads.revision(service)
        now = self.now()
        seen = self._closing_seen.get(service)
        if self._leads.holder(service) == self.vm:
            self._act_soon(service, False)
        elif seen is None or seen[0] != revision:
            self._closing_seen[service] = (revision, now)
        elif now - seen[1] > decisions.TAKEOVER:
            self._act_soon(service, False)

    def _look_at(
        self, service: core.ServiceName, group: core.GroupInForce
    ) -> None:
        age = self._clock.running_on() - self._instances_seen_at
        if age > FRESH_INSTANCES:
            return
        known = {one.name: one for one in group.entries}
        if group.primary is not None and group.primary in known:
            self._no_primary.pop(service, None)
            others = [one for one in group.entries if not one.leaving]
            leaving = known[group.primary].leaving
            if leaving and others and self._all_answer(service):
                self._act_soon(service, True)
            return
        now = self.now()
        since = self._no_primary.setdefault(service, now)
        if now - since >= NO_PRIMARY:
            self._act_soon(service, False)

    def _all_answer(self, service: core.ServiceName) -> bool:
        """Tell whether no VM would hold a planned change up.

        The old primary serves on meanwhile, so that a silent VM is given
        a while to be heard again.
        """
        now = self.now()
        since = self._leaving_seen.setdefault(service, now)
        silent = set(self._peers.concerned) - set(self._peers.live)
        ready = not silent or now - since >= SILENT_PATIENCE
        if ready:
            del self._leaving_seen[service]
        return ready

    def _act_soon(self, service: core.ServiceName, planned: bool) -> None:
        """Act after those VMs that come earlier in the order."""
        busy = service in self._changing or service in self._turns
        if busy or self._leaving:
            return
        self._turns.add(service)
        rank = decisions.rank_of(self.vm, self._peers.live, service)
        pause = rank * RANK_PAUSE
        few = 2 * len(self._peers.live) < len(self._peers.voters)
        if planned and few:
            pause += FEW_PAUSE
        self.after(
            pause, _ActNow(service, self._leads.revision(service), planned)
        )

    @runtime.handles(_ActNow)
    def _on_act(self, message: _ActNow) -> None:
        service = message.service
        self._turns.discard(service)
        if service in self._changing or service not in self._in_force:
            return
        if message.revision != self._leads.revision(service):
            return
        group = self._in_force[service]
        if service not in self.handovers:
            self.handovers[service] = handover.Handover(
                self._loop, self.vm, service
            )
        self._changing.add(service)
        self._tell_changes()
        self.send(
            names.handover(self.vm, service),
            core.WantHandover(
                group.entries,
                group.primary or self._leads.last(service),
                message.revision,
                message.planned,
                self._peers.concerned,
            ),
        )

    def _tell_changes(self) -> None:
        changes = core.ChangesUnderWay(bool(self._changing))
        self.send(names.exchange(self.vm), changes)

    @runtime.handles(core.HandoverEnded)
    def _on_ended(self, message: core.HandoverEnded) -> None:
        self._changing.discard(message.service)
        self._tell_changes()

    @runtime.handles(core.Drain)
    def _on_drain(self, message: core.Drain) -> None:
        """Begin no more changes; one that is under way goes on."""
        self._leaving = True
