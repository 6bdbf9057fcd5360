"""Callers on the virtual clock, and the checks of what they are told."""

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
    """What one kind of caller sends.

    ``seconds`` is the service time of a statement; ``rate`` is for one
    session, in statements a second; ``straggler`` is the share of
    statements that take ``straggler_factor`` times as long.
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
    """Counts of broken promises; all of them must be 0."""

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
    """One finished statement, as its caller saw it.

    ``sent`` and ``ended`` are virtual seconds.
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
        """Tell whether it was answered within its deadline."""
        in_time = self.ended - self.sent <= self.deadline
        return self.outcome is core.Outcome.DONE and in_time


@dataclasses.dataclass(slots=True)
class _Session:
    """One caller's session and what it must be able to read."""

    session_id: core.SessionId
    load: Load
    vm: core.VmName
    database: core.DatabaseName
    key: str
    acked: int = 0
    busy: bool = False


@dataclasses.dataclass(slots=True)
class _Open:
    """One statement under way."""

    session: _Session
    write: bool
    straggler: bool
    sent: float
    op: str = ''
    value: int = 0
    floor: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _SharedRead:
    """A read of a row that many write, to be checked against the log.

    Everything acknowledged by ``horizon`` must have been visible.
    """

    session: _Session
    value: int
    horizon: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Next(core.Message):
    """Time for a session's next statement."""

    number: int


class Callers(runtime.Task):
    """Sessions of every load; a front end as far as routers can see."""

    def __init__(
        self, site: site_module.Site, seed: int, boot: str = 'b'
    ) -> None:
        super().__init__(site.loop, '', f'callers-{boot}')
        self._site = site
        self._boot = boot
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._sessions: list[_Session] = []
        self._open: dict[core.RequestId, _Open] = {}
        self._stopped = False
        self.done: list[Done] = []
        self.violations = Violations()
        self._acked: dict[str, list[tuple[float, int]]] = {}
        self._acked_ops: dict[str, core.DatabaseName] = {}
        self._not_run_ops: dict[str, core.DatabaseName] = {}
        self._values: collections.Counter[str] = collections.Counter()
        self._reads: list[_SharedRead] = []

    def start(self, load: Load, vms: list[core.VmName]) -> None:
        """Open a load's sessions, spread over ``vms`` and databases."""
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
            self.after(self._random.uniform(0, 1 / load.rate), _Next(number))

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True

    @property
    def open(self) -> int:
        """Return how many statements are under way."""
        return len(self._open)

    @runtime.handles(core.SessionReply)
    def _on_reply(self, reply: core.SessionReply) -> None:
        """Go on: the first statement is sent by its own timer."""

    @runtime.handles(_Next)
    def _on_next(self, turn: _Next) -> None:
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
        under_way = _Open(session, write, straggler, now)
        if write:
            under_way.op = f'op-{request_id}'
            under_way.value = self._next_value(session)
            payload = instance_module.write_command(
                under_way.op, session.key, under_way.value, seconds
            )
        else:
            under_way.floor = session.acked
            payload = instance_module.read_command(
                session.key, seconds, load.answer_bytes
            )
        self._open[request_id] = under_way
        kind = Kind.WRITE if write else Kind.READ
        shown = straggler and not load.straggler_hidden
        length = 'long' if shown else 'short'
        key = core.IdempotencyKey(under_way.op) if load.keyed else None
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
        """Return a value that no other write of the row has."""
        self._values[session.key] += 1
        return self._values[session.key]

    @runtime.handles(core.Answer)
    def _on_answer(self, answer: core.Answer) -> None:
        under_way = self._open.pop(answer.request_id, None)
        if under_way is None:
            self.violations.mixed_answers += 1
            return
        session = under_way.session
        session.busy = False
        outcome = answer.outcome
        if answer.error is None and answer.data in (b'ro', b'locked'):
            outcome = core.Outcome.NOT_RUN
        self.done.append(
            Done(
                session.load.name,
                session.database,
                under_way.write,
                under_way.straggler,
                under_way.sent,
                self.now(),
                outcome,
                session.load.deadline,
            )
        )
        if under_way.write:
            self._wrote(under_way, outcome)
        elif outcome is core.Outcome.DONE:
            self._read(under_way, answer)

    def _wrote(self, under_way: _Open, outcome: core.Outcome) -> None:
        session = under_way.session
        if outcome is core.Outcome.DONE:
            session.acked = max(session.acked, under_way.value)
            self._acked_ops[under_way.op] = session.database
            self._acked.setdefault(session.key, []).append(
                (self.now(), under_way.value)
            )
        elif outcome is core.Outcome.NOT_RUN:
            self._not_run_ops[under_way.op] = session.database

    def _read(self, under_way: _Open, answer: core.Answer) -> None:
        session, load = under_way.session, under_way.session.load
        value = int(answer.data or b'0')
        if load.private_rows:
            if value < under_way.floor:
                self.violations.ryw_violations += 1
        elif load.staleness is not None:
            horizon = under_way.sent - load.staleness
            self._reads.append(_SharedRead(session, value, horizon))

    def check_landings(self) -> Violations:
        """Compare what was told with the logs that survived."""
        found = Violations(
            self.violations.ryw_violations,
            self._stale_reads(),
            mixed_answers=self.violations.mixed_answers,
        )
        landed: dict[core.DatabaseName, collections.Counter[str]] = {}
        for database, group in self._site.groups.items():
            leader = group.primary()
            log = leader.log if leader is not None else []
            landed[database] = collections.Counter(
                command.values[1]
                for entry in log
                for command in entry.statements
                if command.values[0] == 'W'
            )
        for counts in landed.values():
            found.duplicate_landings += sum(
                count - 1 for count in counts.values()
            )
        found.false_acks = sum(
            1
            for op, database in self._acked_ops.items()
            if not landed[database][op]
        )
        found.false_not_run = sum(
            1
            for op, database in self._not_run_ops.items()
            if landed[database][op]
        )
        return found

    def _stale_reads(self) -> int:
        """Count reads that missed a write acknowledged long enough ago."""
        order: dict[tuple[str, int], int] = {}
        for group in self._site.groups.values():
            leader = group.primary()
            for place, entry in enumerate(leader.log if leader else ()):
                for command in entry.statements:
                    if command.values[0] == 'W':
                        _, _, key, value = command.values
                        order[key, int(value)] = place
        stale = 0
        for read in self._reads:
            key = read.session.key
            seen = order.get((key, read.value), -1)
            due = [
                order[key, value]
                for at, value in self._acked.get(key, ())
                if at <= read.horizon and (key, value) in order
            ]
            stale += max(due, default=-1) > seen
        return stale
