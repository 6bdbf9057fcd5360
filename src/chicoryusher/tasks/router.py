"""Router: owns callers' sessions and sends their requests to gates.

Each request is sent to the gate of an instance that the routing policy
chooses.  A request that was not run is routed again until its deadline;
the answer goes to the front end of the session.
"""

from __future__ import annotations

import dataclasses

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks import pending_requests
from chicoryusher.tasks import request_routing
from chicoryusher.tasks import session_rights
from chicoryusher.tasks import sessions
from chicoryusher.tasks import statement_limits
from chicoryusher.tasks import task_messages
from chicoryusher.tasks import team_counts
from chicoryusher.tasks.router_settings import RouterSettings

__all__ = ['Router', 'RouterSettings']


class Router(runtime.Task):
    """Task that owns the sessions of one VM's callers.

    The counters cover the time since the start: ``reads`` is how many
    reads were answered and ``replica_reads`` how many of them by a
    replica.
    """

    def __init__(
        self, loop: runtime.Runtime, vm: core.VmName, settings: RouterSettings
    ) -> None:
        super().__init__(loop, vm, 'router')
        self._settings = settings
        self._routing = request_routing.RequestRouting(
            vm,
            decisions.GateDirectory(vm, settings.zone, settings.placement),
            settings.policy,
        )
        self._token_codec = decisions.TokenCodec(
            settings.token_key, settings.old_token_keys
        )
        self._chart = charts.load_machine('session')
        self._sessions: dict[core.SessionId, sessions.Session] = {}
        self.rights = session_rights.SessionRights(loop.clock)
        self.team_counts = team_counts.TeamCounts(loop.clock)
        self._limits = statement_limits.StatementLimits(
            self, self.rights, loop.clock
        )
        self._pending = pending_requests.PendingRequests(self, self._limits)
        self.draining = False
        self.reads = 0
        self.replica_reads = 0

    @property
    def moves(self) -> int:
        """Return how often a request was routed again."""
        return self._pending.moves

    @property
    def unknown(self) -> int:
        """Return how many requests ended without a known outcome."""
        return self._pending.unknown

    @runtime.handles(task_messages.ConfigUpdate)
    def _on_config(self, message: task_messages.ConfigUpdate) -> None:
        config = message.config
        self._routing.set_config(config)
        self.rights.apply(config)
        self._end_unentitled()

    def _end_unentitled(self) -> None:
        """Roll back the transactions of users that have left their team."""
        for session in tuple(self._sessions.values()):
            if session.started and self.rights.is_unentitled(session):
                self._chart.fire(session, 'unentitled')

    @runtime.handles(core.ConfigConfirmed)
    def _on_config_confirmed(self, message: core.ConfigConfirmed) -> None:
        self.rights.confirm(message.confirmed_at)

    @runtime.handles(core.LiveVms)
    def _on_live(self, live: core.LiveVms) -> None:
        self._routing.set_live_vms(live.vms)

    @runtime.handles(core.SessionOpened)
    def _on_opened(self, opened: core.SessionOpened) -> None:
        error = self._session_error(opened.database, opened.key)
        positions: dict[core.DatabaseName, core.Position] = {}
        if error is None and opened.token:
            try:
                positions = self._token_codec.decode(opened.token)
            except core.TokenError as exc:
                self.log.emit(core.LogEvent.TOKEN_BAD, why=str(exc))
                error = exc
        if error is None:
            session = sessions.Session(self, opened, positions, self.now())
            self._chart.fire(session, 'authenticated')
            self._sessions[opened.session_id] = session
        elif isinstance(error, core.NoTeam):
            self.log.emit(
                core.LogEvent.KEY_UNKNOWN,
                session=opened.session_id,
                caller=opened.caller,
                database=opened.database,
            )
        self.send(opened.frontend, core.SessionReply(opened.session_id, error))

    def _session_error(
        self,
        database: core.DatabaseName | None,
        key: core.KeyDigest | None,
    ) -> core.CallerError | None:
        """Return why no session may use the database, None if it may."""
        if self.draining:
            return core.DrainingError('the proxy is shutting down')
        if database is not None and not self._routing.has_group(database):
            return core.UnknownDatabase(f'unknown database {database!r}')
        if not self.rights.may_start(key, database):
            return core.NoTeam('the user belongs to no team')
        return None

    @runtime.handles(core.UseDatabase)
    def _on_use(self, message: core.UseDatabase) -> None:
        session = self._sessions.get(message.session_id)
        if session is None:
            return
        error = self._session_error(message.database, session.key)
        if error is None and session.transaction is not None:
            error = core.StatementUnsupported(
                'another database inside a transaction'
            )
        if error is None:
            session.database = message.database
            self.send(session.frontend, message)
        self.send(
            session.frontend, core.SessionReply(message.session_id, error)
        )

    @runtime.handles(core.TokenRequest)
    def _on_token(self, message: core.TokenRequest) -> None:
        session = self._sessions.get(message.session_id)
        if session is not None:
            token = self._token_codec.encode(session.positions)
            self.send(
                session.frontend, core.TokenAnswer(message.session_id, token)
            )

    @runtime.handles(core.SessionClosed)
    def _on_closed(self, message: core.SessionClosed) -> None:
        session = self._sessions.get(message.session_id)
        if session is not None:
            self._chart.fire(session, 'closed')

    @runtime.handles(core.Request)
    def _on_request(self, request: core.Request) -> None:
        session = self._sessions.get(request.session_id)
        config = self._routing.config
        if session is None or config is None:
            return
        self._pending.earn_retries(request.caller)
        marks = config.marks_for(request)
        deadline = marks.deadline or config.default_deadline
        pending = sessions.PendingRequest(
            session, request, marks, self.now() + deadline
        )
        if marks.token and not self._merge_token(session, pending):
            return
        self._chart.fire(session, 'statement', pending)

    def _merge_token(
        self, session: sessions.Session, pending: sessions.PendingRequest
    ) -> bool:
        """Add the positions of a request's token to its session's.

        Return False if the token is invalid and the request is rejected.
        """
        try:
            token_positions = self._token_codec.decode(
                pending.marks.token or ''
            )
        except core.TokenError as exc:
            self.log.emit(core.LogEvent.TOKEN_BAD, why=str(exc))
            self._reject(session, pending, exc)
            return False
        session.add_positions(token_positions)
        session.must_see_before = float('-inf')
        return True

    def route(
        self, session: sessions.Session, pending: sessions.PendingRequest
    ) -> None:
        """Choose an instance and send a request to its gate."""
        now = self.now()
        self._pending.add(pending)
        session.request_id = pending.request.request_id
        refusal = self.rights.refusal(session, pending.request.database)
        if refusal is not None:
            self._refuse_unentitled(session, pending, refusal)
            return
        if not session.started:
            session.team = self.rights.team_of(session)
        try:
            submit = self._routing.choose(session, pending, now)
        except core.NotRunError as exc:
            self._pending.fail_not_run(pending, exc)
            return
        gate = session.gate if session.started else None
        gate = gate or self._routing.gate(submit.instance)
        if gate is None:
            self._pending.retry(pending)
            return
        if not self._limits.may_start(pending):
            # It is at no gate, so that none can be lost with it.
            pending.gate = None
            return
        pending.instance = submit.instance
        pending.gate = gate
        if session.transaction is not None:
            session.instance = submit.instance
            session.gate = gate
        self._send_to_gate(gate, submit.instance, submit)
        self._pending.schedule_expiry_check()

    def _send_to_gate(
        self,
        gate: core.VmName,
        instance: core.InstanceName,
        message: core.Message,
    ) -> None:
        if gate == self.vm:
            self.send(names.gate(gate, instance), message)
        else:
            self.send(names.peers(self.vm), core.SendToPeer(gate, message))

    @runtime.handles(core.AllowanceDecided)
    def _on_allowance(self, decision: core.AllowanceDecided) -> None:
        refused = self._pending.apply_allowance(decision)
        if refused is not None:
            team = refused.session.team
            self.team_counts.record_throttled(team, decision.outcome)

    def _refuse_unentitled(
        self,
        session: sessions.Session,
        pending: sessions.PendingRequest,
        error: core.CallerError,
    ) -> None:
        """Refuse a statement; roll back a transaction that has started."""
        if session.started:
            self.abort_transaction(session)
            error = core.TransactionLost(f'{error}; it was rolled back')
        self._pending.fail_not_run(pending, error)

    @runtime.handles(core.ResultChunk)
    def _on_chunk(self, chunk: core.ResultChunk) -> None:
        pending = self._pending.get(chunk.request_id)
        if pending is not None:
            self.send(pending.session.frontend, chunk)

    @runtime.handles(core.AnswerConsumed)
    def _on_consumed(self, consumed: core.AnswerConsumed) -> None:
        pending = self._pending.get(consumed.request_id)
        if pending is None or pending.instance is None:
            return
        consumed = dataclasses.replace(consumed, instance=pending.instance)
        if pending.gate is not None:
            self._send_to_gate(pending.gate, pending.instance, consumed)

    @runtime.handles(core.Answer)
    def _on_answer(self, answer: core.Answer) -> None:
        pending = self._pending.pop_answered(answer)
        if pending is None:
            return
        now = self.now()
        session = pending.session
        database = pending.request.database
        if answer.report is not None:
            self._routing.apply_report(answer.report, now)
        if answer.position is not None:
            session.add_positions({database: answer.position})
            session.last_write_at[database] = now
        if pending.request.kind is core.StatementKind.READ:
            self.reads += 1
            self.replica_reads += not self._routing.is_primary(pending)
        self._chart.fire(session, 'answered', answer)

    @runtime.handles(core.RequestMoved)
    def _on_moved(self, moved: core.RequestMoved) -> None:
        pending = self._pending.get(moved.request_id)
        if pending is None:
            return
        self._routing.record_move(pending.request.database, moved, self.now())
        self._pending.move(pending, moved.reason)

    @runtime.handles(pending_requests.RetryDue)
    def _on_retry_due(self, due: pending_requests.RetryDue) -> None:
        self._pending.retry_now(due.request_id)

    def _reject(
        self,
        session: sessions.Session,
        pending: sessions.PendingRequest,
        error: core.CallerError,
    ) -> None:
        """Answer a request with an error before the chart has seen it."""
        answer = core.Answer(
            pending.request.request_id,
            core.Outcome.NOT_RUN,
            error=error,
            in_transaction=session.started,
        )
        self.reply(session, answer)

    @runtime.handles(task_messages.Undelivered)
    def _on_undelivered(self, undelivered: task_messages.Undelivered) -> None:
        message = undelivered.message
        if not isinstance(message, core.Submit):
            return
        pending = self._pending.get(message.request.request_id)
        if pending is not None:
            self._routing.mark_down(pending, self.now())
            self._pending.move(pending, core.MoveReason.NOT_GATE)

    @runtime.handles(core.PeerDown)
    def _on_peer_down(self, down: core.PeerDown) -> None:
        for pending in self._pending.sent_to(down.vm):
            self._routing.mark_down(pending, self.now())
            self._pending.lose_gate(pending)

    @runtime.handles(pending_requests.ExpiryCheckDue)
    def _on_check_expired(
        self, timer: pending_requests.ExpiryCheckDue
    ) -> None:
        self._pending.check_expiry()

    def reply(self, session: sessions.Session, answer: core.Answer) -> None:
        """Send an answer to the session's front end.

        A transaction counts as open before its first statement has run,
        although the instance has not begun it yet.
        """
        transaction_open = answer.in_transaction or (
            session.state is core.SessionState.OPEN
        )
        if transaction_open != answer.in_transaction:
            answer = dataclasses.replace(
                answer, in_transaction=transaction_open
            )
        self.team_counts.record(session.team, answer)
        self.send(session.frontend, answer)

    def abort_transaction(self, session: sessions.Session) -> None:
        """Ask the gate to end the session's transaction."""
        if session.instance is None or session.transaction is None:
            return
        message = core.AbortTransaction(session.instance, session.transaction)
        if session.gate is not None:
            self._send_to_gate(session.gate, session.instance, message)

    def remove(self, session: sessions.Session) -> None:
        """Remove a session and its pending request."""
        self._sessions.pop(session.session_id, None)
        if session.request_id is not None:
            self._pending.pop(session.request_id)

    @runtime.handles(core.Drain)
    def _on_drain(self, drain: core.Drain) -> None:
        self.draining = True

    @runtime.handles(task_messages.StateQuery)
    def _on_query(self, query: task_messages.StateQuery) -> None:
        rows = tuple(
            session.state_row() for session in self._sessions.values()
        )
        self.send(
            query.reply_to,
            task_messages.StateReport(self.task_name, query.number, rows),
        )

    @runtime.handles(task_messages.TeamsQuery)
    def _on_teams_query(self, query: task_messages.TeamsQuery) -> None:
        rows = self.team_counts.rows(
            self.rights.teams,
            map(self.rights.team_of, self._sessions.values()),
        )
        self.send(
            query.reply_to,
            task_messages.StateReport(self.task_name, query.number, rows),
        )
