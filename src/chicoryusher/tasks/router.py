"""Router: owns callers' sessions and sends their requests to gates.

Each request is sent to the gate of an instance that the routing policy
chooses.  A request that was not run is routed again until its deadline;
the answer goes to the front end of the session.
"""

from __future__ import annotations

import dataclasses
import random

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks import session_rights
from chicoryusher.tasks import sessions
from chicoryusher.tasks import task_messages
from chicoryusher.tasks import team_counts

__all__ = ['Router', 'RouterSettings']

# Interval between checks for requests whose gate has not answered.
EXPIRY_CHECK_INTERVAL_S = 0.25
# Seconds after a request's deadline for which the router still waits for
# the gate's answer.
ANSWER_GRACE_S = 1.0
_UNLIMITED_STALENESS_S = float('inf')
_COMMIT_KINDS = (core.StatementKind.COMMIT, core.StatementKind.DDL)
_READ_KINDS = (core.StatementKind.READ, core.StatementKind.PREPARE)


@dataclasses.dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of one VM's router.

    Tokens are signed with ``token_key``; those signed with one of
    ``old_token_keys`` are accepted too.  ``policy`` is the routing
    policy, ``placement`` the policy that assigns instances to gates.
    """

    zone: core.ZoneName
    token_key: bytes = dataclasses.field(repr=False)
    old_token_keys: tuple[bytes, ...] = dataclasses.field(
        default=(), repr=False
    )
    policy: str = 'nearest_fresh_replica'
    placement: str = decisions.DEFAULT_GATE_PLACEMENT


@dataclasses.dataclass(frozen=True, slots=True)
class _RetryDue(core.Message):
    """Timer: route a request again that no gate has accepted."""

    request_id: core.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class _CheckExpired(core.Message):
    """Timer: check for requests that no gate has answered in time."""


class Router(runtime.Task):
    """Task that owns the sessions of one VM's callers.

    The counters cover the time since the start: ``reads`` is how many
    reads were answered and ``replica_reads`` how many of them by a
    replica, ``moves`` how often a request was routed again, ``unknown``
    how many requests ended without a known outcome.
    """

    def __init__(
        self, loop: runtime.Runtime, vm: core.VmName, settings: RouterSettings
    ) -> None:
        super().__init__(loop, vm, 'router')
        self._settings = settings
        self._routing_policy = decisions.ROUTING_POLICIES.get(
            settings.policy
        )()
        self._directory = decisions.GateDirectory(
            vm, settings.zone, settings.placement
        )
        self._token_codec = decisions.TokenCodec(
            settings.token_key, settings.old_token_keys
        )
        self._chart = charts.load_machine('session')
        self._groups: dict[core.DatabaseName, decisions.GroupHints] = {}
        self._sessions: dict[core.SessionId, sessions.Session] = {}
        self._pending: dict[core.RequestId, sessions.PendingRequest] = {}
        self._expiry_timer: core.TimerId | None = None
        self._retry_budgets = decisions.RetryBudgets()
        self._rng = random.Random(vm)
        self.rights = session_rights.SessionRights(loop.clock)
        self.team_counts = team_counts.TeamCounts()
        self.draining = False
        self.reads = 0
        self.replica_reads = 0
        self.moves = 0
        self.unknown = 0

    @runtime.handles(task_messages.ConfigUpdate)
    def _on_config(self, message: task_messages.ConfigUpdate) -> None:
        config = message.config
        self._directory.set_config(config)
        for database in config.databases:
            group = self._groups.get(database.name)
            if group is None:
                group = decisions.GroupHints(database.name)
                self._groups[database.name] = group
            group.retain(frozenset(database.instances))
            for spec in config.group(database.name):
                path = self._directory.round_trip(spec.zone)
                group.put_instance(decisions.InstanceHints(spec, path))
        configured = {entry.name for entry in config.databases}
        for removed in set(self._groups) - configured:
            del self._groups[removed]
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
        self._directory.set_live_vms(live.vms)

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
        if database is not None and database not in self._groups:
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
        config = self._directory.config
        if session is None or config is None:
            return
        self._retry_budgets.earn(request.caller, self.now())
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
        for database, position in token_positions.items():
            current = session.positions.get(database, core.ORIGIN)
            session.positions[database] = max(current, position)
        session.must_see_before = float('-inf')
        return True

    def route(
        self, session: sessions.Session, pending: sessions.PendingRequest
    ) -> None:
        """Choose an instance and send a request to its gate."""
        now = self.now()
        self._pending[pending.request.request_id] = pending
        session.request_id = pending.request.request_id
        refusal = self.rights.refusal(session, pending.request.database)
        if refusal is not None:
            self._refuse_unentitled(session, pending, refusal)
            return
        if not session.started:
            session.team = self.rights.team_of(session)
        try:
            submit = self._make_submit(session, pending, now)
        except core.NotRunError as exc:
            self._answer_not_run(pending, exc)
            return
        gate = session.gate if session.started else None
        gate = gate or self._directory.gate(submit.instance)
        if gate is None:
            self._retry(pending)
            return
        pending.instance = submit.instance
        pending.gate = gate
        if session.transaction is not None:
            session.instance = submit.instance
            session.gate = gate
        if gate == self.vm:
            self.send(names.gate(gate, submit.instance), submit)
        else:
            self.send(names.peers(self.vm), core.SendToPeer(gate, submit))
        if self._expiry_timer is None:
            self._expiry_timer = self.after(
                EXPIRY_CHECK_INTERVAL_S, _CheckExpired()
            )

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
        self._answer_with_error(pending, core.Outcome.NOT_RUN, error)

    def _make_submit(
        self,
        session: sessions.Session,
        pending: sessions.PendingRequest,
        now: float,
    ) -> core.Submit:
        """Return the message that asks a gate to run a request.

        A statement in a transaction that has started goes to the
        transaction's instance; for any other the policy chooses one.
        """
        request = pending.request
        if session.transaction is not None:
            request = dataclasses.replace(
                request,
                transaction=session.transaction,
                begin_payload=None if session.started else session.begin,
                pins_connection=session.keeps_pinned,
            )
        if session.team is not None:
            request = dataclasses.replace(request, team=session.team)
        if pending.marks is not request.marks:
            request = dataclasses.replace(request, marks=pending.marks)
        requirement = self._requirement(session, pending, now)
        if session.started and session.instance is not None:
            role = core.Role.PRIMARY
            route = decisions.Route(session.instance, role)
        else:
            group = self._groups.get(request.database)
            if group is None:
                raise core.NotRunError('the database has left the register')
            route = self._routing_policy.choose(group, requirement, now)
        return core.Submit(
            self.vm,
            route.instance,
            request,
            pending.deadline
            - now
            - self._directory.reply_time(route.instance),
            route.role,
            requirement.min_position,
            requirement.max_staleness,
            route.catch_up_timeout,
        )

    def _requirement(
        self,
        session: sessions.Session,
        pending: sessions.PendingRequest,
        now: float,
    ) -> decisions.RouteRequirement:
        """Return what a request needs of the instance that runs it.

        The staleness bound is the statement's own or the configured one.
        It also covers ``session.must_see_before``, so that a session
        without a token sees every write that was answered before it
        opened.
        """
        request = pending.request
        config = self._directory.config
        assert config is not None
        is_read = request.kind in _READ_KINDS
        if session.transaction is not None:
            is_read = session.read_only
        staleness_bound = pending.marks.max_staleness
        if staleness_bound is None:
            staleness_bound = config.default_staleness
        if request.kind is core.StatementKind.PREPARE:
            staleness_bound = _UNLIMITED_STALENESS_S
        else:
            staleness_bound = min(
                staleness_bound, now - session.must_see_before
            )
        last_write_at = session.last_write_at.get(
            request.database, float('-inf')
        )
        return decisions.RouteRequirement(
            not is_read or pending.requires_primary,
            session.positions.get(request.database),
            staleness_bound,
            now - last_write_at,
        )

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
        if pending.gate == self.vm:
            self.send(names.gate(self.vm, pending.instance), consumed)
        elif pending.gate is not None:
            self.send(
                names.peers(self.vm), core.SendToPeer(pending.gate, consumed)
            )

    @runtime.handles(core.Answer)
    def _on_answer(self, answer: core.Answer) -> None:
        pending = self._pending.pop(answer.request_id, None)
        if pending is None:
            return
        now = self.now()
        session = pending.session
        database = pending.request.database
        if answer.report is not None:
            self._apply_report(answer.report, now)
        if answer.position is not None:
            current = session.positions.get(database, core.ORIGIN)
            session.positions[database] = max(current, answer.position)
            session.last_write_at[database] = now
        if answer.outcome is core.Outcome.UNKNOWN:
            self.unknown += 1
        if pending.request.kind is core.StatementKind.READ:
            self._count_read(pending)
        self._chart.fire(session, 'answered', answer)

    def _count_read(self, pending: sessions.PendingRequest) -> None:
        group = self._groups.get(pending.request.database)
        self.reads += 1
        if group is not None and pending.instance != group.primary:
            self.replica_reads += 1

    def _apply_report(self, report: core.InstanceReport, now: float) -> None:
        group = self._groups.get(report.database)
        if group is not None:
            group.apply_report(report, now)

    @runtime.handles(core.RequestMoved)
    def _on_moved(self, moved: core.RequestMoved) -> None:
        pending = self._pending.get(moved.request_id)
        if pending is None:
            return
        now = self.now()
        group = self._groups.get(pending.request.database)
        if group is not None:
            group.record_refusal(moved.instance, moved.reason, now)
        if moved.report is not None:
            self._apply_report(moved.report, now)
        self._handle_move(pending, moved.reason)

    def _handle_move(
        self, pending: sessions.PendingRequest, reason: core.MoveReason
    ) -> None:
        """Route a request again that a gate did not run.

        It is routed after a delay if its group has no primary or the VM
        is not the gate, or once it has been moved too often; otherwise at
        once.
        """
        self.moves += 1
        pending.moves += 1
        if reason is core.MoveReason.NOT_FRESH:
            pending.requires_primary = True
        needs_delay = reason in (
            core.MoveReason.NO_PRIMARY,
            core.MoveReason.NOT_GATE,
        )
        if pending.session.started:
            self._pending.pop(pending.request.request_id, None)
            self._chart.fire(pending.session, 'moved', pending)
        elif needs_delay or not pending.may_move_at_once:
            self._retry(pending)
        else:
            self._chart.fire(pending.session, 'moved', pending)

    def _retry(self, pending: sessions.PendingRequest) -> None:
        """Route a request again after a delay.

        It fails as not run if the delay would exceed its deadline or the
        caller's retry budget is used up.
        """
        pending.gate = None
        pending.retry_count += 1
        now = self.now()
        delay = decisions.retry_delay(pending.retry_count, self._rng)
        if now + delay >= pending.deadline:
            reason = 'no instance took it in time'
        elif self._retry_budgets.spend(pending.request.caller, now):
            self.after(delay, _RetryDue(pending.request.request_id))
            return
        else:
            reason = "the caller's retry budget is spent"
        self._answer_not_run(pending, core.NotRunError(reason, delay))

    @runtime.handles(_RetryDue)
    def _on_retry_due(self, due: _RetryDue) -> None:
        pending = self._pending.get(due.request_id)
        if pending is not None:
            self._chart.fire(pending.session, 'moved', pending)

    def _answer_not_run(
        self, pending: sessions.PendingRequest, error: core.NotRunError
    ) -> None:
        self._answer_with_error(pending, core.Outcome.NOT_RUN, error)

    def _answer_with_error(
        self,
        pending: sessions.PendingRequest,
        outcome: core.Outcome,
        error: core.CallerError,
    ) -> None:
        """End a request, also in its session's chart, with an error."""
        request_id = pending.request.request_id
        self._pending.pop(request_id, None)
        self._chart.fire(
            pending.session,
            'answered',
            core.Answer(request_id, outcome, error=error),
        )

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
            self._mark_down(undelivered.vm, pending)
            self._handle_move(pending, core.MoveReason.NOT_GATE)

    def _mark_down(
        self, vm: core.VmName, pending: sessions.PendingRequest
    ) -> None:
        """Route nothing to the request's instance for a short time."""
        group = self._groups.get(pending.request.database)
        if group is not None and pending.instance is not None:
            group.record_refusal(
                pending.instance, core.MoveReason.DOWN, self.now()
            )

    @runtime.handles(core.PeerDown)
    def _on_peer_down(self, down: core.PeerDown) -> None:
        affected = [
            entry for entry in self._pending.values() if entry.gate == down.vm
        ]
        for pending in affected:
            self._mark_down(down.vm, pending)
            self._handle_lost_gate(pending)

    def _handle_lost_gate(self, pending: sessions.PendingRequest) -> None:
        """End or move a request whose gate can no longer be reached.

        A read outside of a transaction runs elsewhere.  The outcome of a
        write or a commit is unknown, and of any statement of a session
        that keeps its connection.  Other statements in a transaction have
        no effect, as the instance rolls it back with the connection.
        """
        request = pending.request
        if pending.session.transaction is not None:
            if request.kind in _COMMIT_KINDS or pending.session.keeps_pinned:
                self._finish_unknown(
                    pending, 'the gate was lost during commit'
                )
                return
            self._answer_with_error(
                pending,
                core.Outcome.NOT_RUN,
                core.TransactionLost('the gate was lost; it was not run'),
            )
        elif request.kind in _READ_KINDS:
            self._handle_move(pending, core.MoveReason.DOWN)
        else:
            self._finish_unknown(pending, 'the gate was lost')

    def _finish_unknown(
        self, pending: sessions.PendingRequest, why: str
    ) -> None:
        self.unknown += 1
        self.log.emit(
            core.LogEvent.REQUEST_UNKNOWN,
            request=pending.request.request_id,
            why=why,
        )
        self._answer_with_error(
            pending, core.Outcome.UNKNOWN, core.UnknownOutcomeError(why)
        )

    @runtime.handles(_CheckExpired)
    def _on_check_expired(self, timer: _CheckExpired) -> None:
        self._expiry_timer = None
        cutoff = self.now() - ANSWER_GRACE_S
        for pending in tuple(self._pending.values()):
            if pending.deadline < cutoff:
                self._finish_unknown(pending, 'no answer came from the gate')
        if self._pending:
            self._expiry_timer = self.after(
                EXPIRY_CHECK_INTERVAL_S, _CheckExpired()
            )

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
        if session.gate == self.vm:
            self.send(names.gate(self.vm, session.instance), message)
        elif session.gate is not None:
            self.send(
                names.peers(self.vm), core.SendToPeer(session.gate, message)
            )

    def remove(self, session: sessions.Session) -> None:
        """Remove a session and its pending request."""
        self._sessions.pop(session.session_id, None)
        if session.request_id is not None:
            self._pending.pop(session.request_id, None)

    @runtime.handles(core.Drain)
    def _on_drain(self, drain: core.Drain) -> None:
        self.draining = True

    @runtime.handles(task_messages.StateQuery)
    def _on_query(self, query: task_messages.StateQuery) -> None:
        rows = tuple(
            (
                ('session', str(session.session_id)),
                ('caller', str(session.caller)),
                ('team', str(session.team or '')),
                ('database', str(session.database or '')),
                ('state', session.state.value),
                ('instance', str(session.instance or '')),
            )
            for session in self._sessions.values()
        )
        self.send(
            query.reply_to,
            task_messages.StateReport(self.task_name, query.number, rows),
        )

    @runtime.handles(task_messages.TeamsQuery)
    def _on_teams_query(self, query: task_messages.TeamsQuery) -> None:
        rows = self.team_counts.rows(
            self.rights.teams,
            (
                self.rights.team_of(session)
                for session in self._sessions.values()
            ),
        )
        self.send(
            query.reply_to,
            task_messages.StateReport(self.task_name, query.number, rows),
        )
