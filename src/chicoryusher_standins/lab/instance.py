"""One instance on the virtual clock: slots, connections, rows.

Commands are the project's own steps and a small text language:
``W op key value [seconds]`` and ``R key [seconds]``.
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

READ_ONLY = 1290
DUPLICATE = 1062
LOCKED = 1205
_KEY = re.compile(rb"VALUES \('(.*)'\)")


def write_command(
    op: str, key: str, value: int, seconds: float, size: int = 0
) -> core.Payload:
    """Return the command of a write."""
    text = f'W {op} {key} {value} {seconds:.6f} ' + 'x' * size
    return core.Payload(b'\x03' + text.encode())


def read_command(key: str, seconds: float, size: int = 0) -> core.Payload:
    """Return the command of a read with an answer of ``size`` bytes."""
    return core.Payload(b'\x03' + f'R {key} {seconds:.6f} {size}'.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What the instance answers to one command."""

    data: bytes = b''
    error_code: int = 0
    position: core.Position | None = None
    in_transaction: bool = False


@dataclasses.dataclass(slots=True)
class SimConn:
    """One connection: its transaction and whom to answer."""

    owner: str
    commands: list[group_module.Command] = dataclasses.field(
        default_factory=list
    )
    keys: list[str] = dataclasses.field(default_factory=list)
    open: bool = False
    closed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Done(core.Message):
    """The service time of a command has passed."""

    conn: SimConn
    command: bytes
    reply: Callable[[Reply], None]


class SimInstance:
    """Rows of one instance, rebuilt from what is applied."""

    def __init__(self, model: group_module.InstanceModel) -> None:
        self.model = model
        self.rows: dict[str, int] = {}
        self.ledger: set[str] = set()
        self.landed: list[str] = []

    def apply(self, entry: group_module.Entry) -> None:
        """Take a replicated transaction in."""
        for command in entry.statements:
            kind, *values = command.values
            if kind == 'W':
                op, key, value = values
                self.rows[key] = int(value)
                self.landed.append(op)
            else:
                self.ledger.add(values[0])

    def rebuild(self) -> None:
        """Forget all rows; the log is applied again."""
        self.rows.clear()
        self.ledger.clear()
        self.landed.clear()


class SimServer(runtime.Task):
    """Run commands on slots; keep to the cap on connections."""

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
        self._queue: list[_Done] = []
        self._conns: list[SimConn] = []
        self._held: list[_Done] = []
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
        """Open a connection, or None at the cap or when dead."""
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
        """End every connection that another owner holds."""
        for conn in list(self._conns):
            if conn.owner != owner:
                self.close(conn)

    def die(self) -> None:
        """Die: every connection ends."""
        self.model.alive = False
        self.lock_owner = None
        for conn in list(self._conns):
            self.close(conn)

    def run(
        self, conn: SimConn, command: bytes, reply: Callable[[Reply], None]
    ) -> None:
        """Run a command once a slot is free."""
        self._queue.append(_Done(conn, command, reply))
        self._pump()

    def _pump(self) -> None:
        while self._queue and self._running < self._slots:
            done = self._queue.pop(0)
            self._running += 1
            self.last_new_work = self.now()
            seconds = _seconds(done.command) * self.slowdown
            self.busy_seconds += seconds
            if seconds > 0:
                self.after(seconds, done)
            else:
                self._on_done(done)

    @runtime.handles(_Done)
    def _on_done(self, done: _Done) -> None:
        if self.model.paused:
            self._held.append(done)
            return
        self._running -= 1
        if not done.conn.closed and self.model.alive:
            self.group.advance(self.now())
            done.reply(self._execute(done.conn, done.command))
        self._pump()

    def resume(self) -> None:
        """Go on after a pause."""
        self.model.paused = False
        held, self._held = self._held, []
        for done in held:
            self._on_done(done)

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
            return self._key(conn, text)
        if text.startswith(b'START'):
            conn.open = True
            return Reply(b'ok', in_transaction=True)
        if text.startswith(b'ROLLBACK'):
            self._end(conn)
            return Reply(b'ok')
        if text.startswith(b'COMMIT'):
            return self._commit(conn)
        return Reply(b'ok', in_transaction=conn.open)

    def _write(self, conn: SimConn, text: bytes) -> Reply:
        if self.model.role is not core.Role.PRIMARY:
            return Reply(b'ro', READ_ONLY, in_transaction=conn.open)
        op, key, value = text.decode().split()[1:4]
        command = group_module.Command('', ('W', op, key, value))
        conn.commands.append(command)
        if conn.open:
            return Reply(b'ok', in_transaction=True)
        return self._commit(conn)

    def _key(self, conn: SimConn, text: bytes) -> Reply:
        if self.model.role is not core.Role.PRIMARY:
            return Reply(b'ro', READ_ONLY, in_transaction=conn.open)
        found = _KEY.search(text)
        assert found is not None
        key = found.group(1).decode()
        held = any(key in one.keys for one in self._conns)
        if key in self.rows.ledger:
            return Reply(b'dup', DUPLICATE, in_transaction=conn.open)
        if held:
            return Reply(b'locked', LOCKED, in_transaction=conn.open)
        conn.keys.append(key)
        conn.commands.append(group_module.Command('', ('K', key)))
        return Reply(b'ok', in_transaction=conn.open)

    def _commit(self, conn: SimConn) -> Reply:
        if not conn.commands:
            self._end(conn)
            return Reply(b'ok')
        if self.model.role is not core.Role.PRIMARY:
            self._end(conn)
            return Reply(b'ro', READ_ONLY)
        commands = tuple(conn.commands)
        now = self.now()
        position = self.group.commit(self.model.name, commands, now)
        self.rows.apply(group_module.Entry(position, now, commands))
        self._end(conn)
        return Reply(b'ok', position=position)

    def _end(self, conn: SimConn) -> None:
        conn.open = False
        conn.commands.clear()
        conn.keys.clear()


def _seconds(command: bytes) -> float:
    text = command[1:]
    if text.startswith(b'W '):
        return float(text.split()[4])
    if text.startswith(b'R '):
        return float(text.split()[2])
    return 0.0
