"""Simulated callers, and checks of the answers that they receive."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher import tasks
from chicoryusher_standins.lab import instance as instance_module
from chicoryusher_standins.lab import site as site_module

__all__ = ['Callers', 'Done', 'Load', 'Violations']

Kind = core.StatementKind


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load that one kind of caller generates.

    ``seconds`` is the service time of a statement; ``rate`` is the
    statements per second of one session; ``writes`` is the share of
    writes; ``straggler`` is the share of statements that take
    ``straggler_factor`` times as long.  With ``straggler_hidden`` these
    have the same statement class as the others.  Without ``private_rows``
    all sessions of a database use the same row.
    """

    name: str
    sessions: int
    rate: float
    seconds: float
    writes: float = 0.2
    deadline: float = 2.0
    staleness: float | None = None
    keyed: bool = False
    may_wait: bool = False
    straggler: float = 0.0
    straggler_factor: float = 100.0
    straggler_hidden: bool = False
    answer_bytes: int = 200
    private_rows: bool = True


@dataclasses.dataclass(slots=True)
class Violations:
    """Counts of broken guarantees; all of them must be 0.

    They count reads that miss a write of the same session, reads older
    than the allowed staleness, writes that took effect twice,
    acknowledged writes that are missing, writes reported as not run that
    took effect, and answers to no pending request.
    """

    ryw_violations: int = 0
    stale_violations: int = 0
    duplicate_landings: int = 0
    false_acks: int = 0
    false_not_run: int = 0
    mixed_answers: int = 0

    def add(self, other: Violations) -> None:
        """Add another run's counts."""
        for field in dataclasses.fields(self):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)

    def total(self) -> int:
        """Return the sum of all counts."""
        return sum(dataclasses.astuple(self))


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """One finished statement, as its caller observed it.

    ``sent`` and ``ended`` are seconds of the virtual clock.
    """

    load: str
    database: core.DatabaseName
    write: bool
    straggler: bool
    sent: float
    ended: float
    outcome: core.Outcome
    deadline: float

    @property
    def good(self) -> bool:
        """Return whether the statement was done within its deadline."""
        in_time = self.ended - self.sent <= self.deadline
        return self.outcome is core.Outcome.DONE and in_time


@dataclasses.dataclass(slots=True)
class _Session:
    """One caller's session.

    ``acked`` is the largest value whose write was acknowledged, which its
    reads must return at least.
    """

    session_id: core.SessionId
    load: Load
    vm: core.VmName
    database: core.DatabaseName
    key: str
    acked: int = 0
    busy: bool = False


@dataclasses.dataclass(slots=True)
class _PendingStatement:
    """One statement without an answer so far.

    A read must return at least ``min_value``.
    """

    session: _Session
    write: bool
    straggler: bool
    sent: float
    op: str = ''
    value: int = 0
    min_value: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _SharedRead:
    """A read of a row shared by sessions, to be checked against the log.

    Writes acknowledged by the time ``horizon`` must have been visible.
    """

    session: _Session
    value: int
    horizon: float


@dataclasses.dataclass(frozen=True, slots=True)
class _SendNext(core.Message):
    """Time to send a session's next statement."""

    number: int


class Callers(runtime.Task):
    """The sessions of every load; acts as a front end towards routers."""

    def __init__(
        self, site: site_module.Site, seed: int, boot: str = 'b'
    ) -> None:
        super().__init__(site.loop, '', f'callers-{boot}')
        self._site = site
        self._boot = boot
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._sessions: list[_Session] = []
        self._pending: dict[core.RequestId, _PendingStatement] = {}
        self._stopped = False
        self.done: list[Done] = []
        self.violations = Violations()
        self._acked_values: dict[str, list[tuple[float, int]]] = {}
        self._acked_ops: dict[str, core.DatabaseName] = {}
        self._not_run_ops: dict[str, core.DatabaseName] = {}
        self._write_counts: collections.Counter[str] = collections.Counter()
        self._shared_reads: list[_SharedRead] = []

    def start(self, load: Load, vms: list[core.VmName]) -> None:
        """Open a load's sessions, distributed over ``vms`` and databases."""
        databases = self._site.databases()
        for index in range(load.sessions):
            number = len(self._sessions)
            vm = vms[index % len(vms)]
            session_id = core.SessionId(f'{vm}:{self._boot}:s{number}')
            database = databases[(index // len(vms)) % len(databases)]
            key = f'{load.name}-{number}'
            if not load.private_rows:
                key = f'{load.name}-{database}'
            session = _Session(session_id, load, vm, database, key)
            self._sessions.append(session)
            self.send(
                tasks.names.router(vm),
                core.SessionOpened(
                    session_id,
                    self.task_name,
                    core.CallerName(load.name),
                    database,
                ),
            )
            self.after(
                self._random.uniform(0, 1 / load.rate), _SendNext(number)
            )

    def stop(self) -> None:
        """Stop sending statements."""
        self._stopped = True

    @property
    def open(self) -> int:
        """Return how many statements have no answer yet."""
        return len(self._pending)

    @runtime.handles(core.SessionReply)
    def _on_reply(self, reply: core.SessionReply) -> None:
        """Ignore the reply: a timer sends the first statement."""

    @runtime.handles(_SendNext)
    def _on_send_next(self, turn: _SendNext) -> None:
        if self._stopped:
            return
        session = self._sessions[turn.number]
        load = session.load
        self.after(self._random.expovariate(load.rate), turn)
        if session.busy or not self._site.vms[session.vm].alive:
            return
        session.busy = True
        self._send(session, self._random.random() < load.writes)

    def _send(self, session: _Session, write: bool) -> None:
        load = session.load
        now = self.now()
        straggler = self._random.random() < load.straggler
        seconds = load.seconds * (load.straggler_factor if straggler else 1.0)
        request_id = core.RequestId(
            f'{session.session_id}:{next(self._numbers)}'
        )
        pending = _PendingStatement(session, write, straggler, now)
        if write:
            pending.op = f'op-{request_id}'
            pending.value = self._next_value(session)
            payload = instance_module.write_command(
                pending.op, session.key, pending.value, seconds
            )
        else:
            pending.min_value = session.acked
            payload = instance_module.read_command(
                session.key, seconds, load.answer_bytes
            )
        self._pending[request_id] = pending
        kind = Kind.WRITE if write else Kind.READ
        is_marked_long = straggler and not load.straggler_hidden
        length = 'long' if is_marked_long else 'short'
        key = core.IdempotencyKey(pending.op) if load.keyed else None
        self.send(
            tasks.names.router(session.vm),
            core.Request(
                request_id,
                session.session_id,
                core.CallerName(load.name),
                session.database,
                kind,
                core.StatementClass(f'{load.name}-{kind.value}-{length}'),
                payload,
                core.Marks(
                    load.staleness,
                    key if write else None,
                    write and not load.keyed,
                    load.may_wait,
                    load.deadline,
                ),
            ),
        )

    def _next_value(self, session: _Session) -> int:
        """Return a value larger than that of any earlier write of the row."""
        self._write_counts[session.key] += 1
        return self._write_counts[session.key]

    @runtime.handles(core.Answer)
    def _on_answer(self, answer: core.Answer) -> None:
        pending = self._pending.pop(answer.request_id, None)
        if pending is None:
            self.violations.mixed_answers += 1
            return
        session = pending.session
        session.busy = False
        outcome = answer.outcome
        if answer.error is None and answer.data in (b'ro', b'locked'):
            outcome = core.Outcome.NOT_RUN
        self.done.append(
            Done(
                session.load.name,
                session.database,
                pending.write,
                pending.straggler,
                pending.sent,
                self.now(),
                outcome,
                session.load.deadline,
            )
        )
        if pending.write:
            self._record_write(pending, outcome)
        elif outcome is core.Outcome.DONE:
            self._check_read(pending, answer)

    def _record_write(
        self, pending: _PendingStatement, outcome: core.Outcome
    ) -> None:
        session = pending.session
        if outcome is core.Outcome.DONE:
            session.acked = max(session.acked, pending.value)
            self._acked_ops[pending.op] = session.database
            self._acked_values.setdefault(session.key, []).append(
                (self.now(), pending.value)
            )
        elif outcome is core.Outcome.NOT_RUN:
            self._not_run_ops[pending.op] = session.database

    def _check_read(
        self, pending: _PendingStatement, answer: core.Answer
    ) -> None:
        session, load = pending.session, pending.session.load
        value = int(answer.data or b'0')
        if load.private_rows:
            if value < pending.min_value:
                self.violations.ryw_violations += 1
        elif load.staleness is not None:
            horizon = pending.sent - load.staleness
            self._shared_reads.append(_SharedRead(session, value, horizon))

    def check_landings(self) -> Violations:
        """Compare the answers with the logs of the present primaries."""
        checked = Violations(
            self.violations.ryw_violations,
            self._stale_reads(),
            mixed_answers=self.violations.mixed_answers,
        )
        effects: dict[core.DatabaseName, collections.Counter[str]] = {}
        for database, group in self._site.groups.items():
            leader = group.primary()
            log = leader.log if leader is not None else []
            effects[database] = collections.Counter(
                command.values[1]
                for entry in log
                for command in entry.statements
                if command.values[0] == 'W'
            )
        for counts in effects.values():
            checked.duplicate_landings += sum(
                count - 1 for count in counts.values()
            )
        checked.false_acks = sum(
            1
            for op, database in self._acked_ops.items()
            if not effects[database][op]
        )
        checked.false_not_run = sum(
            1
            for op, database in self._not_run_ops.items()
            if effects[database][op]
        )
        return checked

    def _stale_reads(self) -> int:
        """Count reads that missed a write acknowledged by their horizon."""
        log_index_of: dict[tuple[str, int], int] = {}
        for group in self._site.groups.values():
            leader = group.primary()
            for index, entry in enumerate(leader.log if leader else ()):
                for command in entry.statements:
                    if command.values[0] == 'W':
                        _, _, key, value = command.values
                        log_index_of[key, int(value)] = index
        stale = 0
        for read in self._shared_reads:
            key = read.session.key
            read_index = log_index_of.get((key, read.value), -1)
            required = [
                log_index_of[key, value]
                for acked_at, value in self._acked_values.get(key, ())
                if acked_at <= read.horizon and (key, value) in log_index_of
            ]
            stale += max(required, default=-1) > read_index
        return stale
