"""One simulated instance: slots, connections and rows.

It accepts the transaction and ledger statements that the proxy sends, and
two commands of its own: ``W op key value seconds`` writes a value, and
``R key seconds size`` reads one.  ``seconds`` is the service time.
"""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Callable

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher_standins import group as group_module
from chicoryusher_standins.lab import network

__all__ = [
    'Reply',
    'SimConn',
    'SimInstance',
    'SimServer',
    'read_command',
    'write_command',
]

READ_ONLY_ERROR = 1290
DUPLICATE_KEY_ERROR = 1062
LOCK_TIMEOUT_ERROR = 1205
_KEY_PATTERN = re.compile(rb"VALUES \('(.*)'\)")


def write_command(
    op: str, key: str, value: int, seconds: float, size: int = 0
) -> core.Payload:
    """Return the command that writes a value, padded by ``size`` bytes."""
    text = f'W {op} {key} {value} {seconds:.6f} ' + 'x' * size
    return core.Payload(b'\x03' + text.encode())


def read_command(key: str, seconds: float, size: int = 0) -> core.Payload:
    """Return the command that reads a value, answered in ``size`` bytes."""
    return core.Payload(b'\x03' + f'R {key} {seconds:.6f} {size}'.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The instance's answer to one command."""

    data: bytes = b''
    error_code: int = 0
    position: core.Position | None = None
    in_transaction: bool = False


@dataclasses.dataclass(slots=True)
class SimConn:
    """One connection: its owner and its transaction.

    ``keys`` are the ledger keys that the transaction has inserted.
    """

    owner: str
    commands: list[group_module.Command] = dataclasses.field(
        default_factory=list
    )
    keys: list[str] = dataclasses.field(default_factory=list)
    open: bool = False
    closed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _RunningCommand(core.Message):
    """A command on a slot; it completes when its service time is over."""

    conn: SimConn
    command: bytes
    reply: Callable[[Reply], None]


class SimInstance:
    """Rows of one instance, built from the applied log entries."""

    def __init__(self, model: group_module.InstanceModel) -> None:
        self.model = model
        self.rows: dict[str, int] = {}
        self.ledger: set[str] = set()
        self.landed: list[str] = []

    def apply(self, entry: group_module.Entry) -> None:
        """Apply a replicated transaction."""
        for command in entry.statements:
            kind, *values = command.values
            if kind == 'W':
                op, key, value = values
                self.rows[key] = int(value)
                self.landed.append(op)
            else:
                self.ledger.add(values[0])

    def rebuild(self) -> None:
        """Drop all rows; the log is applied again from its start."""
        self.rows.clear()
        self.ledger.clear()
        self.landed.clear()


class SimServer(runtime.Task):
    """Run commands on slots, and limit the number of connections.

    ``most`` is the largest number of connections so far; ``last_new_work``
    is when a command was started last.
    """

    def __init__(
        self,
        loop: runtime.Runtime,
        group: group_module.GroupModel,
        rows: SimInstance,
        place: network.Place,
        slots: int,
        cap: int,
    ) -> None:
        super().__init__(loop, '', f'sim/{place.name}')
        self.group = group
        self.rows = rows
        self.place = place
        self.cap = cap
        self.slowdown = 1.0
        self.most = 0
        self.busy_seconds = 0.0
        self.last_new_work = float('-inf')
        self._slots = slots
        self._running = 0
        self._queue: list[_RunningCommand] = []
        self._conns: list[SimConn] = []
        self._completed_during_pause: list[_RunningCommand] = []
        self.lock_owner: str | None = None

    @property
    def model(self) -> group_module.InstanceModel:
        """Return the instance's log and faults."""
        return self.rows.model

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return len(self._conns)

    def connect(self, owner: str) -> SimConn | None:
        """Open a connection; return None at the limit or if not alive."""
        if not self.model.alive or len(self._conns) >= self.cap:
            return None
        conn = SimConn(owner)
        self._conns.append(conn)
        self.most = max(self.most, len(self._conns))
        return conn

    def close(self, conn: SimConn) -> None:
        """End a connection; its transaction is rolled back."""
        conn.closed = True
        conn.commands.clear()
        conn.keys.clear()
        if conn in self._conns:
            self._conns.remove(conn)

    def close_owner(self, owner: str) -> None:
        """End every connection of one owner."""
        for conn in list(self._conns):
            if conn.owner == owner:
                self.close(conn)

    def close_others(self, owner: str) -> None:
        """End the connections of all other owners."""
        for conn in list(self._conns):
            if conn.owner != owner:
                self.close(conn)

    def die(self) -> None:
        """Stop like a killed process: every connection ends."""
        self.model.alive = False
        self.lock_owner = None
        for conn in list(self._conns):
            self.close(conn)

    def run(
        self, conn: SimConn, command: bytes, reply: Callable[[Reply], None]
    ) -> None:
        """Queue a command; it runs once a slot is free."""
        self._queue.append(_RunningCommand(conn, command, reply))
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and self._running < self._slots:
            done = self._queue.pop(0)
            self._running += 1
            self.last_new_work = self.now()
            seconds = _service_time_s(done.command) * self.slowdown
            self.busy_seconds += seconds
            if seconds > 0:
                self.after(seconds, done)
            else:
                self._on_command_done(done)

    @runtime.handles(_RunningCommand)
    def _on_command_done(self, done: _RunningCommand) -> None:
        if self.model.paused:
            self._completed_during_pause.append(done)
            return
        self._running -= 1
        if not done.conn.closed and self.model.alive:
            self.group.advance(self.now())
            done.reply(self._execute(done.conn, done.command))
        self._start_queued()

    def resume(self) -> None:
        """Resume after a pause and complete the commands held back."""
        self.model.paused = False
        completed, self._completed_during_pause = (
            self._completed_during_pause,
            [],
        )
        for done in completed:
            self._on_command_done(done)

    def _execute(self, conn: SimConn, command: bytes) -> Reply:
        text = command[1:]
        if text.startswith(b'R '):
            _, key, _, size = text.decode().split()
            value = self.rows.rows.get(key, 0)
            data = f'{value}'.encode().ljust(int(size))
            return Reply(data, in_transaction=conn.open)
        if text.startswith(b'W '):
            return self._write(conn, text)
        if text.startswith(b'INSERT INTO chicoryusher_ledger'):
            return self._insert_ledger_key(conn, text)
        if text.startswith(b'START'):
            conn.open = True
            return Reply(b'ok', in_transaction=True)
        if text.startswith(b'ROLLBACK'):
            self._end_transaction(conn)
            return Reply(b'ok')
        if text.startswith(b'COMMIT'):
            return self._commit(conn)
        return Reply(b'ok', in_transaction=conn.open)

    def _write(self, conn: SimConn, text: bytes) -> Reply:
        if self.model.role is not core.Role.PRIMARY:
            return Reply(b'ro', READ_ONLY_ERROR, in_transaction=conn.open)
        op, key, value = text.decode().split()[1:4]
        command = group_module.Command('', ('W', op, key, value))
        conn.commands.append(command)
        if conn.open:
            return Reply(b'ok', in_transaction=True)
        return self._commit(conn)

    def _insert_ledger_key(self, conn: SimConn, text: bytes) -> Reply:
        if self.model.role is not core.Role.PRIMARY:
            return Reply(b'ro', READ_ONLY_ERROR, in_transaction=conn.open)
        match = _KEY_PATTERN.search(text)
        assert match is not None
        key = match.group(1).decode()
        is_locked = any(key in other.keys for other in self._conns)
        if key in self.rows.ledger:
            return Reply(b'dup', DUPLICATE_KEY_ERROR, in_transaction=conn.open)
        if is_locked:
            return Reply(
                b'locked', LOCK_TIMEOUT_ERROR, in_transaction=conn.open
            )
        conn.keys.append(key)
        conn.commands.append(group_module.Command('', ('K', key)))
        return Reply(b'ok', in_transaction=conn.open)

    def _commit(self, conn: SimConn) -> Reply:
        if not conn.commands:
            self._end_transaction(conn)
            return Reply(b'ok')
        if self.model.role is not core.Role.PRIMARY:
            self._end_transaction(conn)
            return Reply(b'ro', READ_ONLY_ERROR)
        commands = tuple(conn.commands)
        now = self.now()
        position = self.group.commit(self.model.name, commands, now)
        self.rows.apply(group_module.Entry(position, now, commands))
        self._end_transaction(conn)
        return Reply(b'ok', position=position)

    def _end_transaction(self, conn: SimConn) -> None:
        conn.open = False
        conn.commands.clear()
        conn.keys.clear()


def _service_time_s(command: bytes) -> float:
    text = command[1:]
    if text.startswith(b'W '):
        return float(text.split()[4])
    if text.startswith(b'R '):
        return float(text.split()[2])
    return 0.0
