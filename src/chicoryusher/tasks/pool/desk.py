"""The desk: owns pooled sessions, and gives their work to lanes."""

from __future__ import annotations

import dataclasses
import itertools

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool import attempts as attempts_module
from chicoryusher.tasks.pool import groups as groups_module
from chicoryusher.tasks.pool import roster as roster_module
from chicoryusher.tasks.pool import sessions
from chicoryusher.tasks.pool.roster import DeskSettings
from chicoryusher.tasks.pool.roster import LaneEdges

__all__ = ['Desk', 'DeskSettings', 'LaneEdges']

# Seconds between looks for transactions that idle.
IDLE_LOOK = 0.5


class _LookIdle(core.Message):
    """Time to look for transactions that idle."""


@dataclasses.dataclass(frozen=True, slots=True)
class _StopNow(core.Message):
    """The patience of a stopping primary is over."""

    revision: int
    service: core.ServiceName


class Desk(runtime.Task):
    """Own sessions; their statements go through its attempts."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        edges: LaneEdges,
        settings: DeskSettings,
    ) -> None:
        super().__init__(loop, vm, 'desk')
        self._clock = loop.clock
        self._chart = charts.compiled('pool_session')
        self._numbers = itertools.count(1)
        self._config: core.PoolConfig | None = None
        self._routes: dict[core.DatabaseName, core.PoolRoute] = {}
        self._roster = roster_module.Roster(self, loop, edges, settings)
        self._attempts = attempts_module.Attempts(
            self, self._roster, loop.clock
        )
        self._sessions: dict[core.SessionId, sessions.PoolSession] = {}
        self._closing_idle = False
        self._early: list[core.StartSession] = []
        self.after(IDLE_LOOK, _LookIdle())

    @property
    def sessions(self) -> int:
        """Return how many sessions are open."""
        return len(self._sessions)

    def authority(self) -> bool:
        """Tell whether primaries may be used now."""
        return self._attempts.authority()

    # -- what is in force -----------------------------------------------

    @runtime.handles(core.PoolConfigInForce)
    def _on_config(self, message: core.PoolConfigInForce) -> None:
        self._config = message.config
        self._routes = {one.database: one for one in message.config.routes}
        self._roster.take_config(message.config)
        early, self._early = self._early, []
        for start in early:
            self._on_start(start)

    @runtime.handles(core.Authority)
    def _on_authority(self, message: core.Authority) -> None:
        self._attempts.until = message.until

    @runtime.handles(core.LiveNodes)
    def _on_live(self, message: core.LiveNodes) -> None:
        self._roster.take_live(message.nodes)

    @runtime.handles(core.GroupInForce)
    def _on_group(self, message: core.GroupInForce) -> None:
        for name in self._roster.take_group(message):
            self._attempts.lose(name)

    # -- sessions -------------------------------------------------------

    @runtime.handles(core.StartSession)
    def _on_start(self, message: core.StartSession) -> None:
        if self._config is None:
            self._early.append(message)
            return
        refusal = None
        if message.database not in self._routes:
            refusal = core.Refusal.NO_DATABASE
            self.log.emit(
                core.LogEvent.DATABASE_UNKNOWN,
                session=message.session_id,
                database=message.database,
                config=self._config.version,
            )
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
        self._show()
        if self._config is None:
            return
        oldest = self.now() - self._config.tx_idle
        for session in self._sessions.values():
            if session.used_at < oldest:
                self._chart.fire(session, 'lost')

    def _show(self) -> None:
        self.meters.show(core.Metric.SESSIONS, len(self._sessions))
        now_on = self._clock.running_on()
        for service, group in self._roster.groups.items():
            newest = group.observations.newest
            if newest is not None:
                age = now_on - newest.asked_at
                self.meters.show(
                    core.Metric.POSITION_AGE, age, service=service
                )

    def begun(
        self, session: sessions.PoolSession, read_only: bool
    ) -> sessions.Transaction:
        """Return a new transaction for the session."""
        number = core.TransactionId(f't{next(self._numbers)}')
        return sessions.Transaction(
            number, read_only, self._clock.running_on()
        )

    def answered(
        self, session: sessions.PoolSession, answer: core.SessionAnswer
    ) -> None:
        """Take what an attempt came to."""
        self._chart.fire(session, 'answered', answer)

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
        self._attempts.abandon(session)

    def roll_back(self, session: sessions.PoolSession) -> None:
        """End the session's transaction at its instance."""
        self._attempts.roll_back(session)

    def forget(self, session: sessions.PoolSession) -> None:
        """Drop the session."""
        self._sessions.pop(session.session_id, None)

    # -- statements -----------------------------------------------------

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
        self._attempts.start(session, message, route, shape)

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
        block = core.BlockState.IDLE
        if session.transaction is not None:
            block = core.BlockState.FAILED
            self.roll_back(session)
        self.log.emit(
            core.LogEvent.STATEMENT_REFUSED,
            request=message.request_id,
            refusal=refusal.value,
            why='refused before an instance was looked for',
            database=session.database,
        )
        answer = core.SessionAnswer(
            session.session_id, message.request_id, block, refusal=refusal
        )
        self._chart.fire(session, 'answered', answer)

    @runtime.handles(attempts_module.OfferAgain)
    def _on_again(self, again: attempts_module.OfferAgain) -> None:
        self._attempts.offer_again(again.attempt)

    @runtime.handles(core.WorkEnded)
    def _on_ended(self, ended: core.WorkEnded) -> None:
        service = self._attempts.ended(ended)
        if service is not None:
            self._stop_when_quiet(service)

    @runtime.handles(core.InstanceTrouble)
    def _on_trouble(self, message: core.InstanceTrouble) -> None:
        for group in self._roster.groups.values():
            one = group.instances.get(message.instance)
            if one is not None:
                one.troubled(self.now())

    @runtime.handles(core.PrimaryObserved)
    def _on_observed(self, message: core.PrimaryObserved) -> None:
        group = self._roster.groups.get(message.service)
        if group is not None:
            group.observations.add(message.asked_at, message.position)

    # -- stopping a primary ---------------------------------------------

    @runtime.handles(core.StopPrimary)
    def _on_stop(self, message: core.StopPrimary) -> None:
        group = self._roster.groups.get(message.service)
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
        group = self._roster.groups.get(service)
        if group is None or group.stopping is None:
            return
        if not self._uses(group.stopping.primary):
            self._stop(group)

    def _uses(self, name: core.InstanceName) -> bool:
        if self._attempts.use(name):
            return True
        return any(
            one.transaction is not None and one.transaction.instance == name
            for one in self._sessions.values()
        )

    @runtime.handles(_StopNow)
    def _on_stop_now(self, message: _StopNow) -> None:
        group = self._roster.groups.get(message.service)
        if group is None or group.stopping is None:
            return
        if group.stopping.revision == message.revision:
            self._stop(group)

    def _stop(self, group: groups_module.PoolGroup) -> None:
        """Drop the connections; answers that come late prove nothing."""
        stopping = group.stopping
        assert stopping is not None
        group.stopping = None
        self._attempts.fence(stopping.primary)
        if stopping.primary in self._roster:
            lane = self._roster.lane(stopping.primary)
            self.send(lane, core.StopLane())
        self.send(names.forwarder(self.vm), core.ForwardStop(stopping.primary))
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
