"""The router: owns sessions, chooses instances, matches answers."""

from __future__ import annotations

import dataclasses
import random

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks import notices
from chicoryusher.tasks import sessions

__all__ = ['Router', 'RouterSettings']

SWEEP_INTERVAL = 0.25
ANSWER_GRACE = 1.0
_EVER = float('inf')
_COMMITS = (core.StatementKind.COMMIT, core.StatementKind.DDL)
_READS = (core.StatementKind.READ, core.StatementKind.PREPARE)


@dataclasses.dataclass(frozen=True, slots=True)
class RouterSettings:
    """Where the router's VM is and which policy it routes by."""

    zone: core.ZoneName
    token_key: bytes = dataclasses.field(repr=False)
    old_token_keys: tuple[bytes, ...] = dataclasses.field(
        default=(), repr=False
    )
    policy: str = 'nearest_fresh_replica'
    placement: str = decisions.DEFAULT_PLACEMENT


@dataclasses.dataclass(frozen=True, slots=True)
class _Again(core.Message):
    """Time to route a request that no gate could take."""

    request_id: core.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class _Sweep(core.Message):
    """Time to look for requests whose answer never came."""


class Router(runtime.Task):
    """Route each request, and give each session its own answers."""

    def __init__(
        self, loop: runtime.Runtime, vm: core.VmName, settings: RouterSettings
    ) -> None:
        super().__init__(loop, vm, 'router')
        self._settings = settings
        self._policy = decisions.ROUTING.get(settings.policy)()
        self._directory = decisions.Directory(
            vm, settings.zone, settings.placement
        )
        self._tokens = decisions.TokenCodec(
            settings.token_key, settings.old_token_keys
        )
        self._chart = charts.compiled('session')
        self._groups: dict[core.DatabaseName, decisions.GroupView] = {}
        self._sessions: dict[core.SessionId, sessions.Session] = {}
        self._pending: dict[core.RequestId, sessions.Pending] = {}
        self._sweep_timer: core.TimerId | None = None
        self._budgets = decisions.RetryBudgets()
        self._dice = random.Random(vm)
        self.draining = False
        self.reads = 0
        self.replica_reads = 0
        self.moves = 0
        self.unknown = 0

    @runtime.handles(notices.ConfigInForce)
    def _on_config(self, message: notices.ConfigInForce) -> None:
        config = message.config
        self._directory.take_config(config)
        for database in config.databases:
            group = self._groups.get(database.name)
            if group is None:
                group = decisions.GroupView(database.name)
                self._groups[database.name] = group
            group.keep_only(frozenset(database.instances))
            for spec in config.group(database.name):
                path = self._directory.path(spec.zone)
                group.place(decisions.InstanceView(spec, path))
        known = {one.name for one in config.databases}
        for gone in set(self._groups) - known:
            del self._groups[gone]

    @runtime.handles(core.LiveVms)
    def _on_live(self, live: core.LiveVms) -> None:
        self._directory.take_live(live.vms)

    @runtime.handles(core.SessionOpened)
    def _on_opened(self, opened: core.SessionOpened) -> None:
        error = self._problem(opened.database)
        positions: dict[core.DatabaseName, core.Position] = {}
        if error is None and opened.token:
            try:
                positions = self._tokens.decode(opened.token)
            except core.TokenError as exc:
                self.log.emit(core.LogEvent.TOKEN_BAD, why=str(exc))
                error = exc
        if error is None:
            session = sessions.Session(self, opened, positions, self.now())
            self._chart.fire(session, 'authenticated')
            self._sessions[opened.session_id] = session
        self.send(opened.frontend, core.SessionReply(opened.session_id, error))

    def _problem(
        self, database: core.DatabaseName | None
    ) -> core.CallerError | None:
        if self.draining:
            return core.DrainingError('the proxy is shutting down')
        if database is not None and database not in self._groups:
            return core.UnknownDatabase(f'unknown database {database!r}')
        return None

    @runtime.handles(core.UseDatabase)
    def _on_use(self, message: core.UseDatabase) -> None:
        session = self._sessions.get(message.session_id)
        if session is None:
            return
        error = self._problem(message.database)
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
            token = self._tokens.encode(session.positions)
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
        self._budgets.earn(request.caller, self.now())
        marks = config.marks_for(request)
        deadline = marks.deadline or config.default_deadline
        pending = sessions.Pending(
            session, request, marks, self.now() + deadline
        )
        if marks.token and not self._take_token(session, pending):
            return
        self._chart.fire(session, 'statement', pending)

    def _take_token(
        self, session: sessions.Session, pending: sessions.Pending
    ) -> bool:
        try:
            given = self._tokens.decode(pending.marks.token or '')
        except core.TokenError as exc:
            self.log.emit(core.LogEvent.TOKEN_BAD, why=str(exc))
            self._refuse(session, pending, exc)
            return False
        for database, position in given.items():
            known = session.positions.get(database, core.ORIGIN)
            session.positions[database] = max(known, position)
        session.known_since = float('-inf')
        return True

    def route(
        self, session: sessions.Session, pending: sessions.Pending
    ) -> None:
        """Choose an instance and send the request to its gate."""
        now = self.now()
        self._pending[pending.request.request_id] = pending
        session.request_id = pending.request.request_id
        try:
            submit = self._submit(session, pending, now)
        except core.NotRunError as exc:
            self._not_run(pending, exc)
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
            self.send(names.peers(self.vm), core.ToPeer(gate, submit))
        if self._sweep_timer is None:
            self._sweep_timer = self.after(SWEEP_INTERVAL, _Sweep())

    def _submit(
        self,
        session: sessions.Session,
        pending: sessions.Pending,
        now: float,
    ) -> core.Submit:
        request = pending.request
        if session.transaction is not None:
            request = dataclasses.replace(
                request,
                transaction=session.transaction,
                begin=None if session.started else session.begin,
                keeps_connection=session.keeps,
            )
        if pending.marks is not request.marks:
            request = dataclasses.replace(request, marks=pending.marks)
        wanted = self._wanted(session, pending, now)
        if session.started and session.instance is not None:
            role = core.Role.PRIMARY
            route = decisions.Route(session.instance, role)
        else:
            group = self._groups.get(request.database)
            if group is None:
                raise core.NotRunError('the database has left the register')
            route = self._policy.choose(group, wanted, now)
        return core.Submit(
            self.vm,
            route.instance,
            request,
            pending.deadline - now - self._directory.way_back(route.instance),
            route.role,
            wanted.position,
            wanted.max_staleness,
            route.patience,
        )

    def _wanted(
        self,
        session: sessions.Session,
        pending: sessions.Pending,
        now: float,
    ) -> decisions.Wanted:
        request = pending.request
        config = self._directory.config
        assert config is not None
        reads = request.kind in _READS
        if session.transaction is not None:
            reads = session.read_only
        bound = pending.marks.max_staleness
        if bound is None:
            bound = config.default_staleness
        if request.kind is core.StatementKind.PREPARE:
            bound = _EVER
        else:
            bound = min(bound, now - session.known_since)
        wrote_at = session.wrote_at.get(request.database, float('-inf'))
        return decisions.Wanted(
            not reads or pending.to_primary,
            session.positions.get(request.database),
            bound,
            now - wrote_at,
        )

    @runtime.handles(core.ResultChunk)
    def _on_chunk(self, chunk: core.ResultChunk) -> None:
        pending = self._pending.get(chunk.request_id)
        if pending is not None:
            self.send(pending.session.frontend, chunk)

    @runtime.handles(core.Consumed)
    def _on_consumed(self, consumed: core.Consumed) -> None:
        pending = self._pending.get(consumed.request_id)
        if pending is None or pending.instance is None:
            return
        consumed = dataclasses.replace(consumed, instance=pending.instance)
        if pending.gate == self.vm:
            self.send(names.gate(self.vm, pending.instance), consumed)
        elif pending.gate is not None:
            self.send(
                names.peers(self.vm), core.ToPeer(pending.gate, consumed)
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
            self._learn(answer.report, now)
        if answer.position is not None:
            known = session.positions.get(database, core.ORIGIN)
            session.positions[database] = max(known, answer.position)
            session.wrote_at[database] = now
        if answer.outcome is core.Outcome.UNKNOWN:
            self.unknown += 1
        if pending.request.kind is core.StatementKind.READ:
            self._count_read(pending)
        self._chart.fire(session, 'answered', answer)

    def _count_read(self, pending: sessions.Pending) -> None:
        group = self._groups.get(pending.request.database)
        self.reads += 1
        if group is not None and pending.instance != group.primary:
            self.replica_reads += 1

    def _learn(self, report: core.InstanceReport, now: float) -> None:
        group = self._groups.get(report.database)
        if group is not None:
            group.learn(report, now)

    @runtime.handles(core.GateMoved)
    def _on_moved(self, moved: core.GateMoved) -> None:
        pending = self._pending.get(moved.request_id)
        if pending is None:
            return
        now = self.now()
        group = self._groups.get(pending.request.database)
        if group is not None:
            group.refused(moved.instance, moved.reason, now)
        if moved.report is not None:
            self._learn(moved.report, now)
        self._move(pending, moved.reason)

    def _move(
        self, pending: sessions.Pending, reason: core.MoveReason
    ) -> None:
        self.moves += 1
        pending.moves += 1
        if reason is core.MoveReason.NOT_FRESH:
            pending.to_primary = True
        waits = reason in (
            core.MoveReason.NO_PRIMARY,
            core.MoveReason.NOT_GATE,
        )
        if pending.session.started:
            self._pending.pop(pending.request.request_id, None)
            self._chart.fire(pending.session, 'moved', pending)
        elif waits or not pending.keeps_trying:
            self._retry(pending)
        else:
            self._chart.fire(pending.session, 'moved', pending)

    def _retry(self, pending: sessions.Pending) -> None:
        pending.gate = None
        pending.waits += 1
        now = self.now()
        delay = decisions.retry_delay(pending.waits, self._dice)
        if now + delay >= pending.deadline:
            why = 'no instance took it in time'
        elif self._budgets.spend(pending.request.caller, now):
            self.after(delay, _Again(pending.request.request_id))
            return
        else:
            why = "the caller's retry budget is spent"
        self._not_run(pending, core.NotRunError(why, delay))

    @runtime.handles(_Again)
    def _on_again(self, again: _Again) -> None:
        pending = self._pending.get(again.request_id)
        if pending is not None:
            self._chart.fire(pending.session, 'moved', pending)

    def _not_run(
        self, pending: sessions.Pending, error: core.NotRunError
    ) -> None:
        self._finish(pending, core.Outcome.NOT_RUN, error)

    def _finish(
        self,
        pending: sessions.Pending,
        outcome: core.Outcome,
        error: core.CallerError,
    ) -> None:
        request_id = pending.request.request_id
        self._pending.pop(request_id, None)
        self._chart.fire(
            pending.session,
            'answered',
            core.Answer(request_id, outcome, error=error),
        )

    def _refuse(
        self,
        session: sessions.Session,
        pending: sessions.Pending,
        error: core.CallerError,
    ) -> None:
        answer = core.Answer(
            pending.request.request_id,
            core.Outcome.NOT_RUN,
            error=error,
            in_transaction=session.started,
        )
        self.reply(session, answer)

    @runtime.handles(notices.Undelivered)
    def _on_undelivered(self, notice: notices.Undelivered) -> None:
        message = notice.message
        if not isinstance(message, core.Submit):
            return
        pending = self._pending.get(message.request.request_id)
        if pending is not None:
            self._forget_gate(notice.vm, pending)
            self._move(pending, core.MoveReason.NOT_GATE)

    def _forget_gate(self, vm: core.VmName, pending: sessions.Pending) -> None:
        group = self._groups.get(pending.request.database)
        if group is not None and pending.instance is not None:
            group.refused(pending.instance, core.MoveReason.DOWN, self.now())

    @runtime.handles(core.PeerDown)
    def _on_peer_down(self, down: core.PeerDown) -> None:
        lost = [one for one in self._pending.values() if one.gate == down.vm]
        for pending in lost:
            self._forget_gate(down.vm, pending)
            self._lost_gate(pending)

    def _lost_gate(self, pending: sessions.Pending) -> None:
        request = pending.request
        if pending.session.transaction is not None:
            if request.kind in _COMMITS or pending.session.keeps:
                self._unknown(pending, 'the gate was lost during commit')
                return
            self._finish(
                pending,
                core.Outcome.NOT_RUN,
                core.TransactionLost('the gate was lost; it was not run'),
            )
        elif request.kind in _READS:
            self._move(pending, core.MoveReason.DOWN)
        else:
            self._unknown(pending, 'the gate was lost')

    def _unknown(self, pending: sessions.Pending, why: str) -> None:
        self.unknown += 1
        self.log.emit(
            core.LogEvent.REQUEST_UNKNOWN,
            request=pending.request.request_id,
            why=why,
        )
        self._finish(
            pending, core.Outcome.UNKNOWN, core.UnknownOutcomeError(why)
        )

    @runtime.handles(_Sweep)
    def _on_sweep(self, sweep: _Sweep) -> None:
        self._sweep_timer = None
        late = self.now() - ANSWER_GRACE
        for pending in tuple(self._pending.values()):
            if pending.deadline < late:
                self._unknown(pending, 'no answer came from the gate')
        if self._pending:
            self._sweep_timer = self.after(SWEEP_INTERVAL, _Sweep())

    def reply(self, session: sessions.Session, answer: core.Answer) -> None:
        """Send an answer to the session's front end."""
        shown = answer.in_transaction or (
            session.state is core.SessionState.OPEN
        )
        if shown != answer.in_transaction:
            answer = dataclasses.replace(answer, in_transaction=shown)
        self.send(session.frontend, answer)

    def abort(self, session: sessions.Session) -> None:
        """End the session's transaction at its gate."""
        if session.instance is None or session.transaction is None:
            return
        message = core.AbortTransaction(session.instance, session.transaction)
        if session.gate == self.vm:
            self.send(names.gate(self.vm, session.instance), message)
        elif session.gate is not None:
            self.send(names.peers(self.vm), core.ToPeer(session.gate, message))

    def forget(self, session: sessions.Session) -> None:
        """Drop the session and its pending request."""
        self._sessions.pop(session.session_id, None)
        if session.request_id is not None:
            self._pending.pop(session.request_id, None)

    @runtime.handles(core.Drain)
    def _on_drain(self, drain: core.Drain) -> None:
        self.draining = True

    @runtime.handles(notices.Ask)
    def _on_ask(self, ask: notices.Ask) -> None:
        rows = tuple(
            (
                ('session', str(one.session_id)),
                ('caller', str(one.caller)),
                ('database', str(one.database or '')),
                ('state', one.state.value),
                ('instance', str(one.instance or '')),
            )
            for one in self._sessions.values()
        )
        self.send(ask.reply_to, notices.Told(self.task_name, ask.number, rows))
