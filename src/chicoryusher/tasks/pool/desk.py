"""The desk: owns pooled sessions, and gives their work to lanes."""

from __future__ import annotations

import dataclasses
import itertools
from typing import Protocol

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool import endings
from chicoryusher.tasks.pool import groups as groups_module
from chicoryusher.tasks.pool import lane as lane_module
from chicoryusher.tasks.pool import sessions

__all__ = ['Desk', 'DeskSettings', 'LaneEdges']

# Part of the latency target for which a request may wait for a primary
# or an instance to come; longer waits are better spent by the caller.
HOLD = 0.2
# Part of the latency target by which work must have a connection.
START = 0.8
# Seconds between looks for an instance, and before a refusal is retried.
RETRY_PAUSE = 0.02
# Seconds between looks for transactions that idle.
IDLE_LOOK = 0.5
# Part of the latency target after which a read is run elsewhere, and the
# most seconds that this takes: over the longest usual work (0.5 s).
READ_PATIENCE = 0.45
MAX_READ_PATIENCE = 0.6
# Seconds that a statement must have left to be sent at all.
MIN_LIMIT = 0.05
_Block = core.BlockState


class LaneEdges(Protocol):
    """Ports of a desk: the connections to instances."""

    def pool_link(
        self, vm: core.VmName, entry: core.InstanceEntry
    ) -> runtime.Task:
        """Start the sockets to one instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeskSettings:
    """Where the VM is."""

    zone: core.ZoneName
    regions: dict[core.ZoneName, core.RegionName]


@dataclasses.dataclass(frozen=True, slots=True)
class LiveCount(core.Message):
    """How many VMs share the connections."""

    vms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Again(core.Message):
    """Time to look for an instance again."""

    attempt: sessions.Attempt


class _LookIdle(core.Message):
    """Time to look for transactions that idle."""


@dataclasses.dataclass(frozen=True, slots=True)
class _StopNow(core.Message):
    """The patience of a stopping primary is over."""

    revision: int
    service: core.ServiceName


class Desk(runtime.Task):
    """Own sessions; choose an instance for each of their statements."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        edges: LaneEdges,
        settings: DeskSettings,
    ) -> None:
        super().__init__(loop, vm, 'desk')
        self._loop = loop
        self._clock = loop.clock
        self._edges = edges
        self._settings = settings
        self._chart = charts.compiled('pool_session')
        self._numbers = itertools.count(1)
        self._config: core.PoolConfig | None = None
        self._routes: dict[core.DatabaseName, core.PoolRoute] = {}
        self._groups: dict[core.ServiceName, groups_module.PoolGroup] = {}
        self._lanes: dict[core.InstanceName, lane_module.Lane] = {}
        self._links: dict[core.InstanceName, runtime.Task] = {}
        self._sessions: dict[core.SessionId, sessions.PoolSession] = {}
        self._attempts: dict[core.WorkId, sessions.Attempt] = {}
        self._until = float('-inf')
        self._vms = 1
        self._closing_idle = False
        self._early: list[core.StartSession] = []
        self.after(IDLE_LOOK, _LookIdle())

    @property
    def sessions(self) -> int:
        """Return how many sessions are open."""
        return len(self._sessions)

    def authority(self) -> bool:
        """Tell whether primaries may be used now."""
        return self._clock.running_on() < self._until

    # -- what is in force -----------------------------------------------

    @runtime.handles(core.PoolConfigInForce)
    def _on_config(self, message: core.PoolConfigInForce) -> None:
        self._config = message.config
        self._routes = {one.database: one for one in message.config.routes}
        self._deal_shares()
        early, self._early = self._early, []
        for start in early:
            self._on_start(start)

    @runtime.handles(core.Authority)
    def _on_authority(self, message: core.Authority) -> None:
        self._until = message.until

    @runtime.handles(LiveCount)
    def _on_live(self, message: LiveCount) -> None:
        if message.vms != self._vms:
            self._vms = message.vms
            self._deal_shares()

    @runtime.handles(core.GroupInForce)
    def _on_group(self, message: core.GroupInForce) -> None:
        group = self._groups.get(message.service)
        if group is None:
            group = groups_module.PoolGroup(message.service)
            self._groups[message.service] = group
        known = {one.name: one for one in message.entries}
        for name, one in tuple(group.instances.items()):
            entry = known.get(name)
            if entry is None or _moved(one.entry, entry):
                del group.instances[name]
                self._end_lane(name)
        for entry in message.entries:
            self._place(group, entry)
        group.primary = message.primary
        self._deal_shares()

    def _place(
        self, group: groups_module.PoolGroup, entry: core.InstanceEntry
    ) -> None:
        group.note_leaving(entry, self.now())
        known = group.instances.get(entry.name)
        if known is not None:
            known.entry = entry
            return
        near = decisions.nearness(
            self._settings.zone, entry.zone, self._settings.regions.get
        )
        distance = groups_module.DISTANCES[near]
        group.instances[entry.name] = decisions.PoolInstance(entry, distance)
        self._links[entry.name] = self._edges.pool_link(self.vm, entry)
        self._lanes[entry.name] = lane_module.Lane(self._loop, self.vm, entry)

    def _end_lane(self, name: core.InstanceName) -> None:
        lane = self._lanes.pop(name, None)
        link = self._links.pop(name, None)
        for attempt in tuple(self._attempts.values()):
            if attempt.instance == name:
                self._lost_with_instance(attempt, name)
        if lane is not None:
            lane.end()
        if link is not None:
            self.send(link.task_name, core.StopLane())

    def _lost_with_instance(
        self, attempt: sessions.Attempt, name: core.InstanceName
    ) -> None:
        assert attempt.work_id is not None
        ended = core.WorkEnded(attempt.work_id, name, core.Ended.LOST)
        self.send(self.task_name, ended)

    def _deal_shares(self) -> None:
        if self._config is None:
            return
        caps = {one.name: one.connections for one in self._config.services}
        for name, lane in self._lanes.items():
            cap = caps.get(lane.entry.service)
            if cap is not None:
                share = decisions.connection_share(cap, self._vms)
                self.send(
                    names.lane(self.vm, name), lane_module.LaneShare(share)
                )

    # -- sessions -------------------------------------------------------

    @runtime.handles(core.StartSession)
    def _on_start(self, message: core.StartSession) -> None:
        if self._config is None:
            self._early.append(message)
            return
        refusal = None
        if message.database not in self._routes:
            refusal = core.Refusal.NO_DATABASE
        else:
            self._sessions[message.session_id] = sessions.PoolSession(
                self, message.session_id, message.frontend, message.database
            )
        self.send(
            message.frontend,
            core.SessionStarted(message.session_id, refusal),
        )

    @runtime.handles(core.SessionLeft)
    def _on_left(self, message: core.SessionLeft) -> None:
        session = self._sessions.get(message.session_id)
        if session is not None:
            self._chart.fire(session, 'closed')

    @runtime.handles(core.PoolStatement)
    def _on_statement(self, message: core.PoolStatement) -> None:
        session = self._sessions.get(message.session_id)
        if session is None:
            return
        session.used_at = self.now()
        self._chart.fire(session, 'statement', message)

    @runtime.handles(_LookIdle)
    def _on_look_idle(self, look: _LookIdle) -> None:
        """End transactions that idle for longer than they may."""
        self.after(IDLE_LOOK, look)
        if self._config is None:
            return
        oldest = self.now() - self._config.tx_idle
        for session in self._sessions.values():
            if session.used_at < oldest:
                self._chart.fire(session, 'lost')

    def begun(
        self, session: sessions.PoolSession, read_only: bool
    ) -> sessions.Transaction:
        """Return a new transaction for the session."""
        number = core.TransactionId(f't{next(self._numbers)}')
        return sessions.Transaction(
            number, read_only, self._clock.running_on()
        )

    def reply(
        self, session: sessions.PoolSession, answer: core.SessionAnswer
    ) -> None:
        """Send an answer to the session's caller."""
        session.attempt = None
        session.used_at = self.now()
        self.send(session.frontend, answer)
        if self._closing_idle:
            self._close_if_idle(session)

    def abandon(self, session: sessions.PoolSession) -> None:
        """Forget the session's statement; its caller has gone."""
        attempt = session.attempt
        if attempt is None or attempt.work_id is None:
            return
        self._attempts.pop(attempt.work_id, None)
        if attempt.instance is not None:
            self._settle_count(attempt)
            self.send(
                names.lane(self.vm, attempt.instance),
                core.CancelWork(attempt.work_id),
            )

    def roll_back(self, session: sessions.PoolSession) -> None:
        """End the session's transaction at its instance."""
        transaction = session.transaction
        if transaction is None or transaction.instance not in self._lanes:
            return
        self.send(
            names.lane(self.vm, transaction.instance),
            core.EndTransaction(transaction.number),
        )

    def forget(self, session: sessions.PoolSession) -> None:
        """Drop the session."""
        self._sessions.pop(session.session_id, None)

    # -- routing --------------------------------------------------------

    def route(
        self, session: sessions.PoolSession, message: core.PoolStatement
    ) -> None:
        """Start an attempt at the statement."""
        statement = message.statement
        shape = None
        if statement.verb is core.Verb.EXECUTE:
            shape = session.prepared.get(statement.name)
            if shape is None:
                self._refuse_now(session, message, core.Refusal.NOT_PREPARED)
                return
        route = self._route_of(session)
        if route is None:
            self._refuse_now(session, message, core.Refusal.NO_DATABASE)
            return
        attempt = sessions.Attempt(
            session,
            message,
            route,
            shape,
            self.now(),
            self._clock.running_on(),
        )
        session.attempt = attempt
        self._offer(attempt)

    def _route_of(
        self, session: sessions.PoolSession
    ) -> core.PoolRoute | None:
        """Return the route; an open transaction keeps the one it had."""
        route = self._routes.get(session.database)
        transaction = session.transaction
        if transaction is None:
            return route
        transaction.route = transaction.route or route
        return transaction.route

    def _refuse_now(
        self,
        session: sessions.PoolSession,
        message: core.PoolStatement,
        refusal: core.Refusal,
    ) -> None:
        """Answer at once; the transaction, if any, has failed."""
        block = _Block.IDLE
        if session.transaction is not None:
            block = _Block.FAILED
            self.roll_back(session)
        self.log.emit(
            core.LogEvent.STATEMENT_REFUSED,
            request=message.request_id,
            refusal=refusal.value,
            database=session.database,
        )
        answer = core.SessionAnswer(
            session.session_id, message.request_id, block, refusal=refusal
        )
        self._chart.fire(session, 'answered', answer)

    def _offer(self, attempt: sessions.Attempt) -> None:
        """Give the statement to the lane of the best instance."""
        session = attempt.session
        transaction = session.transaction
        if transaction is not None and transaction.instance is not None:
            if transaction.instance in self._lanes:
                self._submit(attempt, transaction.instance, None, None)
            else:
                self.finish(attempt, core.Refusal.ABORTED, 'instance gone')
            return
        group = self._groups.get(attempt.route.service)
        if group is None:
            self._hold(attempt, 'no instance of the group is known')
            return
        needs = self._needs(attempt, group)
        name = self._choose(attempt, group, needs)
        if name is None:
            self._hold(attempt, 'no instance may serve it')
            return
        after = None if name == group.primary else needs.after
        attempt.needs_age = needs.age
        attempt.at_primary = name == group.primary
        begins = None
        if transaction is not None:
            begins = core.Begins.READ_WRITE
            if transaction.read_only:
                begins = core.Begins.READ_ONLY
        self._submit(attempt, name, begins, after)

    def _needs(
        self, attempt: sessions.Attempt, group: groups_module.PoolGroup
    ) -> decisions.ReadNeeds:
        """Return what the statement must see; primary only if it can't."""
        route = attempt.route
        transaction = attempt.session.transaction
        arrived_on = attempt.arrived_on
        reads = not attempt.writes
        if transaction is not None:
            reads = transaction.read_only
        if not reads or route.access is core.Access.PRIMARY:
            return decisions.ReadNeeds(None, 0.0)
        own = attempt.session.wrote_at
        return group.needs(arrived_on, route.max_staleness, own)

    def _choose(
        self,
        attempt: sessions.Attempt,
        group: groups_module.PoolGroup,
        needs: decisions.ReadNeeds,
    ) -> core.InstanceName | None:
        primary = group.usable_primary(self.now())
        if not self.authority():
            primary = None
        instances = list(group.instances.values())
        if primary is None and group.primary is not None:
            instances = [
                one for one in instances if one.entry.name != group.primary
            ]
        return decisions.choose_reader(
            instances,
            primary,
            needs,
            attempt.refused,
            self.now(),
            self._clock.running_on(),
        )

    def _submit(
        self,
        attempt: sessions.Attempt,
        name: core.InstanceName,
        begins: core.Begins | None,
        after: core.Position | None,
    ) -> None:
        session = attempt.session
        transaction = session.transaction
        left = attempt.arrived + attempt.route.limit - self.now()
        if left < MIN_LIMIT:
            self.finish(attempt, endings.spent(attempt), 'out of time')
            return
        work_id = core.WorkId(next(self._numbers))
        attempt.work_id = work_id
        attempt.instance = name
        attempt.tries += 1
        self._attempts[work_id] = attempt
        one = self._instance(attempt)
        if one is not None:
            one.outstanding += 1
        self.send(
            names.lane(self.vm, name),
            core.Work(
                work_id,
                self.task_name,
                attempt.message.request_id,
                attempt.message.statement,
                attempt.shape,
                tuple(session.values.items()),
                attempt.route.priority,
                attempt.arrived + attempt.route.target * START,
                left,
                min(attempt.route.target * READ_PATIENCE, MAX_READ_PATIENCE),
                None if transaction is None else transaction.number,
                begins,
                after,
            ),
        )

    def _hold(self, attempt: sessions.Attempt, why: str) -> None:
        """Wait a little for an instance, or refuse."""
        if attempt.refused:
            attempt.refused = frozenset()
        group = self._groups.get(attempt.route.service)
        hold = HOLD
        if group is not None and group.expects_primary(self.now()):
            hold = START
        if attempt.offered:
            hold = START
        if self.now() >= attempt.arrived + attempt.route.target * hold:
            self.finish(attempt, core.Refusal.BUSY, why)
            return
        self.after(RETRY_PAUSE, _Again(attempt))

    @runtime.handles(_Again)
    def _on_again(self, again: _Again) -> None:
        attempt = again.attempt
        if attempt.session.attempt is attempt:
            self._offer(attempt)

    # -- results --------------------------------------------------------

    @runtime.handles(core.WorkEnded)
    def _on_ended(self, ended: core.WorkEnded) -> None:
        attempt = self._attempts.pop(ended.work_id, None)
        if attempt is None:
            return
        self._settle_count(attempt)
        self._learn(attempt, ended)
        endings.ENDINGS.get(ended.ended)(self, attempt, ended)
        self._stop_when_quiet(attempt.route.service)

    def _instance(
        self, attempt: sessions.Attempt
    ) -> decisions.PoolInstance | None:
        group = self._groups.get(attempt.route.service)
        if group is None or attempt.instance is None:
            return None
        return group.instances.get(attempt.instance)

    def _settle_count(self, attempt: sessions.Attempt) -> None:
        one = self._instance(attempt)
        if one is not None:
            one.outstanding = max(0, one.outstanding - 1)

    def _learn(self, attempt: sessions.Attempt, ended: core.WorkEnded) -> None:
        group = self._groups.get(attempt.route.service)
        if group is None:
            return
        now_on = self._clock.running_on()
        trusted = (
            attempt.at_primary and self.authority() and not attempt.fenced
        )
        if group.learn(ended, trusted, now_on):
            assert ended.position is not None and ended.asked_at is not None
            observed = core.PrimaryObserved(
                group.service, ended.position, ended.asked_at
            )
            self.send(names.exchange(self.vm), observed)
        one = group.instances.get(ended.instance)
        if one is None:
            return
        if ended.ended is core.Ended.ANSWERED and ended.sent_at is not None:
            one.answered(self.now() - ended.sent_at)
        if ended.refusal is core.Refusal.NOT_FRESH:
            one.fell_behind(attempt.needs_age, now_on)

    def try_elsewhere(
        self, attempt: sessions.Attempt, avoid: core.InstanceName
    ) -> None:
        """Run a statement that was not run, or may run again."""
        attempt.refused |= {avoid}
        attempt.offered = True
        transaction = attempt.session.transaction
        if transaction is not None:
            transaction.instance = None
        self._offer(attempt)

    def wait_and_retry(self, attempt: sessions.Attempt, why: str) -> None:
        """Run a statement again at the same group a little later."""
        attempt.offered = True
        transaction = attempt.session.transaction
        if transaction is not None:
            transaction.instance = None
        self._hold(attempt, why)

    def report_trouble(self, name: core.InstanceName) -> None:
        """Let the watch look at an instance."""
        self.send(names.watch(self.vm), core.InstanceTrouble(name))

    def finish(
        self,
        attempt: sessions.Attempt,
        refusal: core.Refusal,
        why: str,
        block: core.BlockState = _Block.IDLE,
    ) -> None:
        """Answer with a refusal, and say why in the log."""
        session = attempt.session
        if block is _Block.IDLE:
            self.roll_back(session)
        self.log.emit(
            core.LogEvent.STATEMENT_REFUSED,
            request=attempt.message.request_id,
            refusal=refusal.value,
            why=why,
            database=session.database,
            instance=attempt.instance,
            tries=attempt.tries,
            waited=round(self.now() - attempt.arrived, 4),
            authority=round(self._until - self._clock.running_on(), 3),
        )
        answer = core.SessionAnswer(
            session.session_id,
            attempt.message.request_id,
            block,
            refusal=refusal,
            detail=str(attempt.instance or ''),
        )
        self._chart.fire(session, 'answered', answer)

    def deliver(
        self,
        attempt: sessions.Attempt,
        ended: core.WorkEnded,
        block: core.BlockState,
    ) -> None:
        """Pass the instance's answer on to the caller."""
        session = attempt.session
        answer = core.SessionAnswer(
            session.session_id,
            attempt.message.request_id,
            block,
            ended.rows,
            ended.digest,
            ended.refusal,
            ended.detail,
            ended.position,
        )
        self._chart.fire(session, 'answered', answer)

    @runtime.handles(core.InstanceTrouble)
    def _on_trouble(self, message: core.InstanceTrouble) -> None:
        for group in self._groups.values():
            one = group.instances.get(message.instance)
            if one is not None:
                one.troubled(self.now())

    @runtime.handles(core.PrimaryObserved)
    def _on_observed(self, message: core.PrimaryObserved) -> None:
        group = self._groups.get(message.service)
        if group is not None:
            group.observations.add(message.asked_at, message.position)

    # -- stopping a primary ---------------------------------------------

    @runtime.handles(core.StopPrimary)
    def _on_stop(self, message: core.StopPrimary) -> None:
        group = self._groups.get(message.service)
        if group is None:
            self._stopped(message)
            return
        group.primary = None
        group.stopping = message
        group.stopped_at = self.now()
        self.after(
            message.patience, _StopNow(message.revision, message.service)
        )
        self._stop_when_quiet(message.service)

    def _stop_when_quiet(self, service: core.ServiceName) -> None:
        group = self._groups.get(service)
        if group is None or group.stopping is None:
            return
        if not self._uses(group.stopping.primary):
            self._stop(group)

    def _uses(self, name: core.InstanceName) -> bool:
        if any(one.instance == name for one in self._attempts.values()):
            return True
        return any(
            one.transaction is not None and one.transaction.instance == name
            for one in self._sessions.values()
        )

    @runtime.handles(_StopNow)
    def _on_stop_now(self, message: _StopNow) -> None:
        group = self._groups.get(message.service)
        if group is None or group.stopping is None:
            return
        if group.stopping.revision == message.revision:
            self._stop(group)

    def _stop(self, group: groups_module.PoolGroup) -> None:
        """Drop the connections; answers that come late prove nothing."""
        stopping = group.stopping
        assert stopping is not None
        group.stopping = None
        for attempt in self._attempts.values():
            if attempt.instance == stopping.primary:
                attempt.fenced = True
        if stopping.primary in self._lanes:
            self.send(names.lane(self.vm, stopping.primary), core.StopLane())
        self._stopped(stopping)

    def _stopped(self, message: core.StopPrimary) -> None:
        self.send(
            names.keeper(self.vm),
            core.PrimaryStopped(message.service, message.revision),
        )

    # -- leaving --------------------------------------------------------

    @runtime.handles(core.Drain)
    def _on_drain(self, message: core.Drain) -> None:
        """Close sessions between operations from now on."""
        self._closing_idle = True
        for session in tuple(self._sessions.values()):
            self._close_if_idle(session)

    def _close_if_idle(self, session: sessions.PoolSession) -> None:
        if session.state is core.PoolSessionState.IDLE:
            self.send(
                session.frontend, core.SessionVerdict(session.session_id)
            )


def _moved(old: core.InstanceEntry, new: core.InstanceEntry) -> bool:
    return (old.host, old.port, old.boot) != (new.host, new.port, new.boot)
