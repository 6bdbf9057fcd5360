"""Dispatcher: owns pooled sessions and sends their work to instances."""

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

# Seconds between checks for idle sessions with an open transaction.
IDLE_CHECK_INTERVAL_S = 0.5


class _CheckIdle(core.Message):
    """Check for idle sessions now."""


@dataclasses.dataclass(frozen=True, slots=True)
class _StopTimeout(core.Message):
    """The time for running work at a primary that is being stopped is over."""

    revision: int
    service: core.ServiceName


class Desk(runtime.Task):
    """Own the pooled sessions; run their statements as attempts."""

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
        self._draining = False
        self._waiting_starts: list[core.StartSession] = []
        self.after(IDLE_CHECK_INTERVAL_S, _CheckIdle())

    @property
    def sessions(self) -> int:
        """Return the number of open sessions."""
        return len(self._sessions)

    def authority(self) -> bool:
        """Return whether this VM may use primaries now."""
        return self._attempts.authority()

    # -- configuration, authority and instances -------------------------

    @runtime.handles(core.PoolConfigInForce)
    def _on_config(self, message: core.PoolConfigInForce) -> None:
        self._config = message.config
        self._routes = {
            route.database: route for route in message.config.routes
        }
        self._roster.take_config(message.config)
        waiting_starts, self._waiting_starts = self._waiting_starts, []
        for start in waiting_starts:
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
            self._attempts.fail_work_at(name)

    # -- sessions -------------------------------------------------------

    @runtime.handles(core.StartSession)
    def _on_start(self, message: core.StartSession) -> None:
        if self._config is None:
            self._waiting_starts.append(message)
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

    @runtime.handles(_CheckIdle)
    def _on_check_idle(self, message: _CheckIdle) -> None:
        """End the transactions of sessions that were idle for too long."""
        self.after(IDLE_CHECK_INTERVAL_S, message)
        self._show_metrics()
        if self._config is None:
            return
        oldest = self.now() - self._config.tx_idle
        for session in self._sessions.values():
            if session.used_at < oldest:
                self._chart.fire(session, 'lost')

    def _show_metrics(self) -> None:
        self.meters.show(core.Metric.SESSIONS, len(self._sessions))
        boot_now = self._clock.running_on()
        for service, group in self._roster.groups.items():
            newest = group.observations.newest
            if newest is not None:
                age = boot_now - newest.asked_at
                self.meters.show(
                    core.Metric.POSITION_AGE, age, service=service
                )

    def begun(
        self, session: sessions.PoolSession, read_only: bool
    ) -> sessions.Transaction:
        """Create a transaction for the session."""
        number = core.TransactionId(f't{next(self._numbers)}')
        return sessions.Transaction(
            number, read_only, self._clock.running_on()
        )

    def answered(
        self, session: sessions.PoolSession, answer: core.SessionAnswer
    ) -> None:
        """Process the answer of the session's attempt."""
        self._chart.fire(session, 'answered', answer)

    def reply(
        self, session: sessions.PoolSession, answer: core.SessionAnswer
    ) -> None:
        """Send an answer to the session's caller."""
        session.attempt = None
        session.used_at = self.now()
        self.send(session.frontend, answer)
        if self._draining:
            self._close_if_idle(session)

    def abandon(self, session: sessions.PoolSession) -> None:
        """Cancel the statement of a session whose caller is gone."""
        self._attempts.abandon(session)

    def roll_back(self, session: sessions.PoolSession) -> None:
        """Roll the session's transaction back at its instance."""
        self._attempts.roll_back(session)

    def forget(self, session: sessions.PoolSession) -> None:
        """Remove the session."""
        self._sessions.pop(session.session_id, None)

    # -- statements -----------------------------------------------------

    def route(
        self, session: sessions.PoolSession, message: core.PoolStatement
    ) -> None:
        """Start an attempt to run the statement, or refuse it at once."""
        statement = message.statement
        shape = None
        if statement.verb is core.Verb.EXECUTE:
            shape = session.prepared.get(statement.name)
            if shape is None:
                self._refuse_at_once(
                    session, message, core.Refusal.NOT_PREPARED
                )
                return
        route = self._route_of(session)
        if route is None:
            self._refuse_at_once(session, message, core.Refusal.NO_DATABASE)
            return
        self._attempts.start(session, message, route, shape)

    def _route_of(
        self, session: sessions.PoolSession
    ) -> core.PoolRoute | None:
        """Return the session's route; a transaction keeps its first route."""
        route = self._routes.get(session.database)
        transaction = session.transaction
        if transaction is None:
            return route
        transaction.route = transaction.route or route
        return transaction.route

    def _refuse_at_once(
        self,
        session: sessions.PoolSession,
        message: core.PoolStatement,
        refusal: core.Refusal,
    ) -> None:
        """Answer with a refusal; the transaction, if any, has failed."""
        block = core.BlockState.IDLE
        if session.transaction is not None:
            block = core.BlockState.FAILED
            self.roll_back(session)
        self.log.emit(
            core.LogEvent.STATEMENT_REFUSED,
            request=message.request_id,
            refusal=refusal.value,
            why='refused before an instance was selected',
            database=session.database,
        )
        answer = core.SessionAnswer(
            session.session_id, message.request_id, block, refusal=refusal
        )
        self._chart.fire(session, 'answered', answer)

    @runtime.handles(attempts_module.RetrySelection)
    def _on_retry(self, retry: attempts_module.RetrySelection) -> None:
        self._attempts.retry_selection(retry.attempt)

    @runtime.handles(core.WorkEnded)
    def _on_ended(self, ended: core.WorkEnded) -> None:
        service = self._attempts.ended(ended)
        if service is not None:
            self._stop_if_unused(service)

    @runtime.handles(core.InstanceTrouble)
    def _on_trouble(self, message: core.InstanceTrouble) -> None:
        for group in self._roster.groups.values():
            pool_instance = group.instances.get(message.instance)
            if pool_instance is not None:
                pool_instance.troubled(self.now())

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
            self._report_stopped(message)
            return
        group.primary = None
        group.stopping = message
        group.stopped_at = self.now()
        self.after(
            message.patience, _StopTimeout(message.revision, message.service)
        )
        self._stop_if_unused(message.service)

    def _stop_if_unused(self, service: core.ServiceName) -> None:
        group = self._roster.groups.get(service)
        if group is None or group.stopping is None:
            return
        if not self._is_used(group.stopping.primary):
            self._stop(group)

    def _is_used(self, name: core.InstanceName) -> bool:
        if self._attempts.has_work_at(name):
            return True
        return any(
            session.transaction is not None
            and session.transaction.instance == name
            for session in self._sessions.values()
        )

    @runtime.handles(_StopTimeout)
    def _on_stop_timeout(self, message: _StopTimeout) -> None:
        group = self._roster.groups.get(message.service)
        if group is None or group.stopping is None:
            return
        if group.stopping.revision == message.revision:
            self._stop(group)

    def _stop(self, group: groups_module.PoolGroup) -> None:
        """Close all connections to the primary and fence its running work."""
        stopping = group.stopping
        assert stopping is not None
        group.stopping = None
        self._attempts.fence(stopping.primary)
        if stopping.primary in self._roster:
            lane = self._roster.lane(stopping.primary)
            self.send(lane, core.StopLane())
        self.send(names.forwarder(self.vm), core.ForwardStop(stopping.primary))
        self._report_stopped(stopping)

    def _report_stopped(self, message: core.StopPrimary) -> None:
        self.send(
            names.keeper(self.vm),
            core.PrimaryStopped(message.service, message.revision),
        )

    # -- drain ----------------------------------------------------------

    @runtime.handles(core.Drain)
    def _on_drain(self, message: core.Drain) -> None:
        """Close each session as soon as it is idle."""
        self._draining = True
        for session in tuple(self._sessions.values()):
            self._close_if_idle(session)

    def _close_if_idle(self, session: sessions.PoolSession) -> None:
        if session.state is core.PoolSessionState.IDLE:
            self.send(
                session.frontend, core.SessionVerdict(session.session_id)
            )
