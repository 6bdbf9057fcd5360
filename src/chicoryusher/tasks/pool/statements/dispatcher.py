"""Dispatcher: owns pooled sessions and sends their work to instances."""

from __future__ import annotations

import itertools

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.groups import group_table as group_table_module
from chicoryusher.tasks.pool.groups.group_table import DispatcherSettings
from chicoryusher.tasks.pool.groups.group_table import LinkFactory
from chicoryusher.tasks.pool.statements import attempts as attempts_module
from chicoryusher.tasks.pool.statements import entitlement
from chicoryusher.tasks.pool.statements import primary_stopping
from chicoryusher.tasks.pool.statements import session_draining
from chicoryusher.tasks.pool.statements import sessions
from chicoryusher.tasks.pool.statements import work_numbers

__all__ = ['Dispatcher', 'DispatcherSettings', 'LinkFactory']

# Seconds between checks for idle sessions with an open transaction.
IDLE_CHECK_INTERVAL_S = 0.5


class _CheckIdle(core.Message):
    """Check for idle sessions now."""


class Dispatcher(runtime.Task):
    """Own the pooled sessions; run their statements as attempts."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        edges: LinkFactory,
        settings: DispatcherSettings,
    ) -> None:
        super().__init__(loop, vm, 'desk')
        self.max_kept_bytes = settings.max_kept_bytes
        self._clock = loop.clock
        self._chart = charts.load_machine('pool_session')
        self._numbers = itertools.count(work_numbers.first_work_number())
        self._config: core.PoolConfig | None = None
        self._routes: dict[core.DatabaseName, core.PoolRoute] = {}
        self._rights = decisions.TeamRights(settings.revocation_s)
        self._group_table = group_table_module.GroupTable(
            self, loop, edges, settings
        )
        self._attempts = attempts_module.Attempts(
            self,
            self._group_table,
            self._rights,
            loop.clock,
            settings.evidence,
        )
        self._sessions: dict[core.SessionId, sessions.PoolSession] = {}
        self._draining = session_draining.SessionDraining(self)
        self._stopping = primary_stopping.PrimaryStopping(
            self, self._group_table, self._attempts, self._sessions
        )
        # Sessions to start once there is a configuration.
        self._waiting_starts: dict[core.SessionId, core.StartSession] = {}
        self.after(IDLE_CHECK_INTERVAL_S, _CheckIdle())

    @property
    def session_count(self) -> int:
        """Return the number of open sessions."""
        return len(self._sessions)

    def has_lease(self) -> bool:
        """Return whether this VM may use primaries now."""
        return self._attempts.has_lease()

    # -- configuration, lease and instances -------------------------

    @runtime.handles(core.PoolConfigUpdate)
    def _on_config(self, message: core.PoolConfigUpdate) -> None:
        self._config = message.config
        self._routes = {
            route.database: route for route in message.config.routes
        }
        self._rights.apply(message.config.teams, message.config.teams_readable)
        self._group_table.apply_config(message.config)
        self._end_unentitled()
        waiting_starts, self._waiting_starts = self._waiting_starts, {}
        for start in waiting_starts.values():
            self._on_start(start)

    def _end_unentitled(self) -> None:
        """End the sessions whose key has been taken away.

        A statement that runs is answered; the next one is refused.
        """
        for session in tuple(self._sessions.values()):
            route = self._routes.get(session.database)
            public = route is not None and route.public
            right = self._rights.right(session.key, public, 0.0)
            if right is not decisions.Right.UNKNOWN_KEY:
                continue
            self._chart.fire(session, 'lost')
            self._draining.close_if_idle(session)

    @runtime.handles(core.ConfigConfirmed)
    def _on_config_confirmed(self, message: core.ConfigConfirmed) -> None:
        self._rights.confirm(message.confirmed_at)

    @runtime.handles(core.PrimaryLeaseUpdate)
    def _on_lease_update(self, message: core.PrimaryLeaseUpdate) -> None:
        self._attempts.lease_expires_at = message.expires_at

    @runtime.handles(core.LiveEntryVms)
    def _on_live(self, message: core.LiveEntryVms) -> None:
        self._group_table.apply_live_vms(message.nodes)

    @runtime.handles(group_table_module.RestartOver)
    def _on_restart_over(
        self, message: group_table_module.RestartOver
    ) -> None:
        self._group_table.end_restart()

    @runtime.handles(core.GroupUpdate)
    def _on_group(self, message: core.GroupUpdate) -> None:
        removed = self._group_table.apply_group(message)
        if removed:
            self.log.emit(
                core.LogEvent.INSTANCES_CHANGED,
                service=message.service,
                removed=removed,
                registered=len(message.entries),
            )
        for name in removed:
            self.send(names.forwarder(self.vm), core.StopForwarding(name))

    # -- sessions -------------------------------------------------------

    @runtime.handles(core.StartSession)
    def _on_start(self, message: core.StartSession) -> None:
        if self._config is None:
            self._waiting_starts[message.session_id] = message
            return
        refusal = entitlement.start_refusal(
            message, self._routes, self._rights, self._clock.boottime()
        )
        if refusal is core.Refusal.NO_DATABASE:
            # Where callers have keys, the name may be a key that was sent in
            # its place.
            keyed = self._rights.in_force
            self.log.emit(
                core.LogEvent.DATABASE_UNKNOWN,
                session=message.session_id,
                database=None if keyed else message.database,
                config=self._config.version,
            )
        elif refusal is core.Refusal.UNKNOWN_KEY:
            self.log.emit(
                core.LogEvent.KEY_UNKNOWN,
                session=message.session_id,
                database=message.database,
                config=self._config.version,
            )
        else:
            self._sessions[message.session_id] = sessions.PoolSession(
                self,
                message.session_id,
                message.frontend,
                message.database,
                message.key,
            )
        self.send(
            message.frontend,
            core.SessionStarted(message.session_id, refusal),
        )

    @runtime.handles(core.CallerDisconnected)
    def _on_left(self, message: core.CallerDisconnected) -> None:
        self._waiting_starts.pop(message.session_id, None)
        session = self._sessions.get(message.session_id)
        if session is not None:
            self._chart.fire(session, 'closed')

    @runtime.handles(core.PoolStatement)
    def _on_statement(self, message: core.PoolStatement) -> None:
        session = self._sessions.get(message.session_id)
        if session is None:
            return
        session.last_used_at = self.now()
        self._chart.fire(session, 'statement', message)

    @runtime.handles(_CheckIdle)
    def _on_check_idle(self, message: _CheckIdle) -> None:
        """End the transactions of sessions that were idle for too long."""
        self.after(IDLE_CHECK_INTERVAL_S, message)
        self._show_metrics()
        if self._config is None:
            return
        oldest = self.now() - self._config.transaction_idle_timeout
        for session in self._sessions.values():
            if session.last_used_at < oldest:
                self._chart.fire(session, 'lost')

    def _show_metrics(self) -> None:
        self.meters.show(core.Metric.SESSIONS, len(self._sessions))
        boot_now = self._clock.boottime()
        for service, group in self._group_table.groups.items():
            newest = group.observations.newest
            if newest is not None:
                age = boot_now - newest.asked_at
                self.meters.show(
                    core.Metric.POSITION_AGE, age, service=service
                )

    def new_transaction(
        self, session: sessions.PoolSession, read_only: bool
    ) -> sessions.Transaction:
        """Create a transaction for the session."""
        return sessions.Transaction(
            self.new_transaction_id(), read_only, self._clock.boottime()
        )

    def new_transaction_id(self) -> core.TransactionId:
        """Return a transaction id that was not used before."""
        return core.TransactionId(f't{next(self._numbers)}')

    def attempt_answered(
        self, session: sessions.PoolSession, answer: core.SessionAnswer
    ) -> None:
        """Process the answer of the session's attempt."""
        self._chart.fire(session, 'answered', answer)

    def send_reply(
        self, session: sessions.PoolSession, answer: core.SessionAnswer
    ) -> None:
        """Send an answer to the session's caller."""
        session.attempt = None
        session.last_used_at = self.now()
        self.send(session.frontend, answer)
        self._draining.close_if_unused(session)

    def cancel_statement(self, session: sessions.PoolSession) -> None:
        """Cancel the statement of a session whose caller is gone."""
        self._attempts.cancel_statement(session)

    def roll_back(self, session: sessions.PoolSession) -> None:
        """Roll the session's transaction back at its instance."""
        self._attempts.roll_back(session)

    def remove_session(self, session: sessions.PoolSession) -> None:
        """Remove the session."""
        self._sessions.pop(session.session_id, None)

    # -- statements -----------------------------------------------------

    def start_attempt(
        self, session: sessions.PoolSession, message: core.PoolStatement
    ) -> None:
        """Start an attempt to run the statement, or refuse it at once."""
        refusal = self._draining.refusal_of(session, message)
        if refusal is not None:
            self._refuse_at_once(session, message, refusal)
            return
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
        team = self._rights.team_of(session.key)
        transaction = session.transaction
        if transaction is not None and transaction.instance is not None:
            if transaction.team != team and self._rights.in_force:
                self._refuse_at_once(session, message, core.Refusal.ABORTED)
                return
        elif transaction is not None:
            transaction.team = team
        self._attempts.start(session, message, route, shape, team)

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
        """Answer with a refusal; the transaction, if any, has failed.

        While this VM shuts down the transaction has ended, so that the
        session can be closed.
        """
        block = core.TransactionStatus.IDLE
        if session.transaction is not None:
            self.roll_back(session)
            if self._draining.stage is None:
                block = core.TransactionStatus.FAILED
        self.log.emit(
            core.LogEvent.STATEMENT_REFUSED,
            request=message.request_id,
            refusal=refusal.value,
            why='refused before an instance was selected',
            team=self._rights.team_of(session.key),
            database=session.database,
        )
        answer = core.SessionAnswer(
            session.session_id, message.request_id, block, refusal=refusal
        )
        self._chart.fire(session, 'answered', answer)

    @runtime.handles(attempts_module.RetrySelection)
    def _on_retry(self, retry: attempts_module.RetrySelection) -> None:
        self._attempts.retry_selection(retry.attempt)

    @runtime.handles(core.AllowanceDecided)
    def _on_allowance(self, decision: core.AllowanceDecided) -> None:
        self._attempts.allowance_decided(decision)

    @runtime.handles(core.WorkEnded)
    def _on_ended(self, ended: core.WorkEnded) -> None:
        service = self._attempts.work_ended(ended)
        if service is not None:
            self._stopping.stop_if_unused(service)

    @runtime.handles(core.EvidenceGiven)
    def _on_evidence(self, message: core.EvidenceGiven) -> None:
        service = self._attempts.evidence_given(message)
        if service is not None:
            self._stopping.stop_if_unused(service)

    @runtime.handles(core.InstanceFault)
    def _on_trouble(self, message: core.InstanceFault) -> None:
        for group in self._group_table.groups.values():
            pool_instance = group.instances.get(message.instance)
            if pool_instance is not None:
                pool_instance.penalize(self.now())

    @runtime.handles(core.PrimaryPositionObserved)
    def _on_observed(self, message: core.PrimaryPositionObserved) -> None:
        group = self._group_table.groups.get(message.service)
        if group is not None:
            group.observations.add(message.requested_at, message.position)

    @runtime.handles(core.PrimaryExpected)
    def _on_primary_expected(self, message: core.PrimaryExpected) -> None:
        group = self._group_table.groups.get(message.service)
        if group is not None and group.primary is None:
            group.change = decisions.ChangeEstimate(
                message.revision, self.now() + message.seconds
            )

    @runtime.handles(core.SilentOwners)
    def _on_silent_owners(self, message: core.SilentOwners) -> None:
        self._group_table.silent_owners = message.vms

    # -- stopping a primary ---------------------------------------------

    @runtime.handles(core.StopPrimary)
    def _on_stop(self, message: core.StopPrimary) -> None:
        self._stopping.begin(message)

    @runtime.handles(primary_stopping.StopTimeout)
    def _on_stop_timeout(self, timeout: primary_stopping.StopTimeout) -> None:
        self._stopping.end_time(timeout)

    @runtime.handles(core.Drain)
    def _on_drain(self, message: core.Drain) -> None:
        """Close each session as soon as it is idle."""
        self._reach_stage(core.DrainStage.CLOSING)

    @runtime.handles(core.AdvanceDrain)
    def _on_advance_drain(self, message: core.AdvanceDrain) -> None:
        self._reach_stage(message.stage)

    def _reach_stage(self, stage: core.DrainStage) -> None:
        self._draining.stage = stage
        for session in tuple(self._sessions.values()):
            attempt = session.attempt
            if attempt is not None and stage is core.DrainStage.ANSWERING:
                self._attempts.end_statement(attempt)
            else:
                self._draining.close_if_unused(session)
