"""The keeper: what is in force, who may use primaries, who is missed."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool import crew
from chicoryusher.tasks.pool import desk
from chicoryusher.tasks.pool import handover
from chicoryusher.tasks.pool import leads as leads_module

__all__ = ['Keeper']

# Seconds between questions to each peer.
PING = 0.5
# Seconds since its last answer for which a peer counts as live.
LIVE = 1.6
# Seconds for a connection to a missed instance; a round trip between
# regions is 42 ms.
PROBE_TIMEOUT = 0.2
# Seconds after which others are asked about an instance that has not
# answered yet; two round trips between regions.
ASK_OTHERS = 0.085
# Seconds for which an opinion about an instance counts.
OPINION = 1.5
# Seconds by which each later VM in the order waits before it acts.
RANK_PAUSE = 0.06
# Seconds without a registered primary before one is chosen; over the
# time that a silent instance's entry needs to come back.
NO_PRIMARY = 3.0
# Seconds for which a view of the registered instances is good enough to
# replace a primary that has left; over the wait of one question.
FRESH_INSTANCES = 4.0
# Order in which VMs mark those that are missing.
_MARKING = core.ServiceName('')


class _Tick(core.Message):
    """Time to ask peers, and to look at groups."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ActNow(core.Message):
    """This VM's turn to replace a primary, if that is still needed."""

    service: core.ServiceName
    revision: int
    planned: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Unanswered(core.Message):
    """An instance may not have answered a probe yet."""

    instance: core.InstanceName


@dataclasses.dataclass(slots=True)
class _Missed:
    """What VMs say of an instance that one of them missed."""

    asked_at: float
    opinions: dict[core.VmName, bool]


class Keeper(runtime.Task):
    """Follow the store and peers; tell the desk what is in force."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        own: core.NodeRow,
        owner: core.TaskName,
    ) -> None:
        super().__init__(loop, vm, 'keeper')
        self._loop = loop
        self._clock = loop.clock
        self._own = own
        self._owner = owner
        self._told_enough = False
        self._leads = leads_module.Leads()
        self._views = decisions.Views()
        self._instance_views = decisions.Views()
        self._entries: dict[core.InstanceName, core.InstanceEntry] = {}
        self._pings: dict[int, float] = {}
        self._ping = 0
        self._heard: dict[core.VmName, float] = {}
        self._grants: dict[core.VmName, float] = {}
        self._crew = crew.Crew(vm)
        self._missed: dict[core.InstanceName, _Missed] = {}
        self._fences: dict[core.ServiceName, list[core.FencePrimary]] = {}
        self.handovers: dict[core.ServiceName, handover.Handover] = {}
        self._changing: set[core.ServiceName] = set()
        self._planned_turn: set[core.ServiceName] = set()
        self._no_primary: dict[core.ServiceName, float] = {}
        self._in_force: dict[core.ServiceName, core.GroupInForce] = {}
        self._closing_seen: dict[core.ServiceName, tuple[int, float]] = {}
        self._observed: dict[core.ServiceName, tuple[core.Position, float]]
        self._observed = {}
        self._config: core.PoolConfig | None = None
        self._had_authority = False
        self._entries_known = False
        self._leads_known = False
        self.after(PING, _Tick())

    def settled(self) -> None:
        """Tell the owner once enough is known to serve callers."""
        known = (
            self._config is not None
            and self._entries_known
            and self._leads_known
        )
        if known and not self._told_enough:
            self._told_enough = True
            self.send(self._owner, core.KnowsEnough())

    # -- from the store -------------------------------------------------

    @runtime.handles(core.PoolConfigInForce)
    def _on_config(self, message: core.PoolConfigInForce) -> None:
        version = message.config.version
        if self._config is not None and version <= self._config.version:
            return
        self._config = message.config
        self.log.emit(core.LogEvent.CONFIG_IN_FORCE, version=version)
        self.send(names.desk(self.vm), message)

    @runtime.handles(core.RegisteredInstances)
    def _on_instances(self, message: core.RegisteredInstances) -> None:
        if message.revision < self._instance_views.revision:
            return
        self._instance_views.know(message.revision)
        self._entries = {one.name: one for one in message.entries}
        self._entries_known = True
        self._publish_all()

    @runtime.handles(core.LeadsInStore)
    def _on_leads(self, message: core.LeadsInStore) -> None:
        self._leads_known = True
        self._take_rows(message.rows)

    @runtime.handles(core.LeadRows)
    def _on_passed_rows(self, message: core.LeadRows) -> None:
        self._take_rows(message.rows)

    def _take_rows(self, rows: tuple[core.LeadRow, ...]) -> None:
        newer = tuple(one for one in rows if self._leads.take(one))
        for row in newer:
            self._views.know(row.revision)
            self._publish(row.service)
        if newer:
            self._to_live(core.LeadRows(newer))

    @runtime.handles(core.StoreSeen)
    def _on_seen(self, message: core.StoreSeen) -> None:
        if message.kind is core.StoreView.INSTANCES:
            self._instance_views.own(message.asked_at)
            return
        self._leads_known = True
        if self._views.own(message.asked_at):
            self._tell_authority()

    def _tell_authority(self) -> None:
        self.send(names.desk(self.vm), core.Authority(self._views.until()))
        if not self._had_authority:
            self._had_authority = True
            self.log.emit(core.LogEvent.AUTHORITY_BACK)

    @runtime.handles(core.NodesInStore)
    def _on_nodes(self, message: core.NodesInStore) -> None:
        self._crew.take(message.rows, self.now())
        peers = tuple(
            core.PeerAddress(one.vm, one.host, one.port)
            for one in self._crew.callable()
        )
        self.send(names.peers(self.vm), core.PeerAddresses(peers))
        mine = [one for one in message.rows if one.vm == self.vm]
        if not mine or mine[0] != self._own:
            self.send(names.rows(self.vm), core.WriteNode(self._own))
        self._tell_live()

    # -- peers ----------------------------------------------------------

    def _live(self) -> tuple[core.VmName, ...]:
        now = self.now()
        return tuple(
            one.vm
            for one in self._crew.callable()
            if now - self._heard.get(one.vm, -LIVE) < LIVE
        )

    def _to_live(self, message: core.Message) -> None:
        for vm in self._live():
            self.send(names.peers(self.vm), core.ToPeer(vm, message))

    def _tell_live(self) -> None:
        self.send(names.desk(self.vm), desk.LiveCount(len(self._live()) + 1))

    @runtime.handles(_Tick)
    def _on_tick(self, tick: _Tick) -> None:
        self.after(PING, tick)
        now_on = self._clock.running_on()
        self._ping += 1
        self._pings[self._ping] = now_on
        self._pings.pop(self._ping - 8, None)
        ping = core.Ping(self.vm, self._ping)
        for row in self._crew.callable():
            self._ask_peer(row.vm, ping)
        self._tell_live()
        self._drop_silent()
        self._mark_missing()
        if self._had_authority and now_on >= self._views.until():
            self._had_authority = False
            self.log.emit(
                core.LogEvent.AUTHORITY_LAPSED,
                age=round(self._views.age(now_on), 3),
            )
        self._look()

    def _mark_missing(self) -> None:
        """Say in the store that a VM has been silent for long."""
        if self._own.left:
            return
        for row in self._crew.silent(self._heard, self.now()):
            if decisions.rank_of(self.vm, self._live(), _MARKING) == 0:
                self.log.emit(core.LogEvent.VM_STATE, peer=row.vm)
                missing = dataclasses.replace(row, missing=True)
                self.send(names.rows(self.vm), core.WriteNode(missing))

    def _drop_silent(self) -> None:
        """End streams on which nothing is heard; new ones may work."""
        now = self.now()
        silent = tuple(
            (vm, core.VmState.GONE)
            for vm, heard in self._heard.items()
            if now - heard >= LIVE
        )
        for vm, _ in silent:
            del self._heard[vm]
        if silent:
            self.send(names.peers(self.vm), core.LiveVms((), silent))

    @runtime.handles(core.Ping)
    def _on_ping(self, ping: core.Ping) -> None:
        now_on = self._clock.running_on()
        pong = core.Pong(
            self.vm,
            ping.number,
            min(self._views.age(now_on), decisions.LAPSE * 10),
            self._views.revision,
            self._config_version(),
            tuple(
                core.Observed(service, position, now_on - asked_at)
                for service, (position, asked_at) in self._observed.items()
                if now_on - asked_at < decisions.LAPSE
            ),
            self._instance_views.age(now_on),
            self._instance_views.revision,
            self._leads_known and not self._changing,
        )
        self.send(names.peers(self.vm), core.ToPeer(ping.vm, pong))

    @runtime.handles(core.Pong)
    def _on_pong(self, pong: core.Pong) -> None:
        self._heard[pong.vm] = self.now()
        sent_at = self._pings.get(pong.number)
        if sent_at is None:
            return
        if pong.revision > self._views.revision:
            self._ask_peer(pong.vm, core.LeadFetch(self.vm))
        elif self._views.passed_on(sent_at, pong.view_age, pong.revision):
            self._tell_authority()
        if pong.quiet and pong.revision <= self._views.revision:
            self._grants[pong.vm] = sent_at
            self._use_grants()
        if pong.instances_revision > self._instance_views.revision:
            self._ask_peer(pong.vm, core.InstanceFetch(self.vm))
        else:
            self._instance_views.passed_on(
                sent_at, pong.instances_age, pong.instances_revision
            )
        if pong.config > self._config_version():
            self._ask_peer(pong.vm, core.PoolConfigFetch(self.vm))
        for one in pong.observed:
            self.send(
                names.desk(self.vm),
                core.PrimaryObserved(
                    one.service, one.position, sent_at - one.age
                ),
            )

    def _config_version(self) -> core.ConfigVersion:
        if self._config is None:
            return core.ConfigVersion(0)
        return self._config.version

    def _ask_peer(self, vm: core.VmName, message: core.Message) -> None:
        self.send(names.peers(self.vm), core.ToPeer(vm, message))

    @runtime.handles(core.PoolConfigFetch)
    def _on_config_fetch(self, fetch: core.PoolConfigFetch) -> None:
        if self._config is not None:
            offer = core.PoolConfigInForce(self._config)
            self._ask_peer(fetch.vm, offer)

    def _use_grants(self) -> None:
        """Carry authority on if every VM that could change it agrees."""
        now_on = self._clock.running_on()
        asked = [
            self._grants.get(vm, float('-inf'))
            for vm in self._crew.concerned(self.now())
        ]
        oldest = min(asked, default=now_on)
        if self._views.granted(oldest, now_on):
            self._tell_authority()

    @runtime.handles(core.InstanceFetch)
    def _on_instance_fetch(self, fetch: core.InstanceFetch) -> None:
        self._ask_peer(
            fetch.vm,
            core.RegisteredInstances(
                tuple(self._entries.values()),
                self._instance_views.revision,
            ),
        )

    @runtime.handles(core.LeadFetch)
    def _on_fetch(self, fetch: core.LeadFetch) -> None:
        rows = core.LeadRows(self._leads.rows())
        self.send(names.peers(self.vm), core.ToPeer(fetch.vm, rows))

    @runtime.handles(core.PrimaryObserved)
    def _on_observed(self, message: core.PrimaryObserved) -> None:
        known = self._observed.get(message.service)
        if known is None or message.asked_at > known[1]:
            self._observed[message.service] = (
                message.position,
                message.asked_at,
            )

    # -- what is in force -----------------------------------------------

    def _publish_all(self) -> None:
        services = {one.service for one in self._entries.values()}
        for service in services | set(self._in_force):
            self._publish(service)

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
        self._take_rows((fence.row,))
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

    # -- missed instances -----------------------------------------------

    @runtime.handles(core.InstanceTrouble)
    def _on_trouble(self, message: core.InstanceTrouble) -> None:
        if not self._is_primary(message.instance):
            return
        missed = self._missed.get(message.instance)
        now = self.now()
        if missed is not None and now - missed.asked_at < PROBE_TIMEOUT:
            return
        self._missed[message.instance] = _Missed(now, {})
        self._probe(message.instance)
        self.after(ASK_OTHERS, _Unanswered(message.instance))

    @runtime.handles(_Unanswered)
    def _on_unanswered(self, message: _Unanswered) -> None:
        missed = self._missed.get(message.instance)
        if missed is None or missed.opinions.get(self.vm, False):
            return
        self._to_live(core.Suspicion(self.vm, message.instance))

    def _is_primary(self, name: core.InstanceName) -> bool:
        return any(one.primary == name for one in self._in_force.values())

    def _probe(self, name: core.InstanceName) -> None:
        entry = self._entries.get(name)
        if entry is None:
            self._opine(name, False)
            return
        self.send(
            names.prober(self.vm),
            core.ProbeInstance(entry, PROBE_TIMEOUT, False, self.task_name),
        )

    @runtime.handles(core.Suspicion)
    def _on_suspicion(self, message: core.Suspicion) -> None:
        missed = self._missed.get(message.instance)
        now = self.now()
        if missed is None or now - missed.asked_at >= PROBE_TIMEOUT:
            self._missed[message.instance] = _Missed(now, {})
            self._probe(message.instance)

    @runtime.handles(core.InstanceStatus)
    def _on_status(self, status: core.InstanceStatus) -> None:
        self._opine(status.instance, status.reached)

    def _opine(self, name: core.InstanceName, reached: bool) -> None:
        if not reached:
            self.log.emit(core.LogEvent.INSTANCE_MISSED, instance=name)
        opinion = core.Opinion(self.vm, name, reached)
        self._on_opinion(opinion)
        self._to_live(opinion)

    @runtime.handles(core.Opinion)
    def _on_opinion(self, opinion: core.Opinion) -> None:
        missed = self._missed.get(opinion.instance)
        now = self.now()
        if missed is None or now - missed.asked_at > OPINION:
            missed = _Missed(now, {})
            self._missed[opinion.instance] = missed
        missed.opinions[opinion.vm] = opinion.reached
        voters = (*self._live(), self.vm)
        if not decisions.missed_by_most(missed.opinions, voters):
            return
        for service, group in self._in_force.items():
            if group.primary == opinion.instance:
                self._act_soon(service, False)

    # -- replacing primaries --------------------------------------------

    def _look(self) -> None:
        """Look for groups whose primary has to be replaced."""
        for service, group in self._in_force.items():
            if service in self._changing or not group.entries:
                continue
            self._look_at(service, group)

    def _look_at(
        self, service: core.ServiceName, group: core.GroupInForce
    ) -> None:
        now = self.now()
        if self._leads.is_closing(service):
            revision = self._leads.revision(service)
            seen = self._closing_seen.get(service)
            if self._leads.holder(service) == self.vm:
                self._act_soon(service, False)
                return
            if seen is None or seen[0] != revision:
                self._closing_seen[service] = (revision, now)
            elif now - seen[1] > handover.TAKEOVER:
                self._act_soon(service, False)
            return
        age = self._instance_views.age(self._clock.running_on())
        if age > FRESH_INSTANCES:
            return
        known = {one.name: one for one in group.entries}
        if group.primary is not None and group.primary in known:
            self._no_primary.pop(service, None)
            others = [one for one in group.entries if not one.leaving]
            if known[group.primary].leaving and others:
                self._act_soon(service, True)
            return
        since = self._no_primary.setdefault(service, now)
        if now - since >= NO_PRIMARY:
            self._act_soon(service, False)

    def _act_soon(self, service: core.ServiceName, planned: bool) -> None:
        """Act after those VMs that come earlier in the order."""
        if service in self._changing or service in self._planned_turn:
            return
        if self._own.left:
            return
        self._planned_turn.add(service)
        rank = decisions.rank_of(self.vm, self._live(), service)
        self.after(
            rank * RANK_PAUSE,
            _ActNow(service, self._leads.revision(service), planned),
        )

    @runtime.handles(_ActNow)
    def _on_act(self, message: _ActNow) -> None:
        service = message.service
        self._planned_turn.discard(service)
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
        old = group.primary or self._leads.last(service)
        self.send(
            names.handover(self.vm, service),
            handover.WantHandover(
                group.entries,
                old,
                message.revision,
                message.planned,
                self._crew.concerned(self.now()),
            ),
        )

    @runtime.handles(handover.HandoverEnded)
    def _on_ended(self, message: handover.HandoverEnded) -> None:
        self._changing.discard(message.service)

    # -- leaving --------------------------------------------------------

    @runtime.handles(core.Drain)
    def _on_drain(self, message: core.Drain) -> None:
        """Say that this VM leaves; a change under way goes on."""
        self._own = dataclasses.replace(self._own, left=True)
