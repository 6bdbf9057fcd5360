"""Test double of an instance that speaks the MySQL protocol."""

from __future__ import annotations

import dataclasses
import itertools
import re
from collections.abc import Callable
from typing import Any

from mysql_mimic import packets
from mysql_mimic import prepared as prepared_module
from mysql_mimic import results
from mysql_mimic import types

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher import wire
from chicoryusher_standins import engine as engine_module
from chicoryusher_standins import group as group_module
from chicoryusher_standins import params

__all__ = ['InstanceServer', 'ServerLimits', 'gtid_set']

LOCK_RETRY_S = 0.002
MAX_LOCK_WAIT_S = 1.0
MAX_PACKET_BYTES = 64 * 1024 * 1024
READ_ONLY_ERROR = 1290
LOCK_TIMEOUT_ERROR = 1205
TOO_MANY_CONNECTIONS_ERROR = 1040
ACCESS_DENIED_ERROR = 1045
NO_SUCH_THREAD_ERROR = 1094
CAPABILITIES = (
    wire.CALLER_CAPABILITIES | types.Capabilities.CLIENT_SESSION_TRACK
)
_STATUS = types.ServerStatus
_SLEEP_PATTERN = re.compile(r'sleep\(\s*([\d.]+)\s*\)', re.I)
_Rows = engine_module.Rows


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Capacity of one instance.

    ``slots`` is how many statements run at once.  ``connect_cost`` is the
    time in seconds until a new connection is greeted, ``service_time`` that
    of every statement.
    """

    slots: int = 3
    connections: int = 20
    connect_cost: float = 0.012
    service_time: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _SendGreeting(core.Message):
    """The connect delay of a new connection is over: greet the client."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class _RunStatement(core.Message):
    """The service time of a statement is over: execute it."""

    number: int
    started_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _IdleCheck(core.Message):
    """Check whether a connection has reached its idle time-out."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class _DelayedPacket(core.Message):
    """A packet that was received during a pause."""

    number: int
    payload: bytes


@dataclasses.dataclass(slots=True)
class _Statement:
    """One statement: text, values, and whether rows are sent in binary."""

    sql: str
    values: tuple[Any, ...] = ()
    binary: bool = False


class _Conn:
    """One client's connection to the instance."""

    def __init__(self, number: int, stream: runtime.Stream) -> None:
        self.number = number
        self.stream = stream
        self.framer = wire.PacketReader(MAX_PACKET_BYTES)
        self.nonce = wire.new_nonce()
        self.user: str | None = None
        self.session: engine_module.EngineSession | None = None
        self.sequence = 0
        self.tracks_positions = False
        self.wait_timeout = 0.0
        self.last_used = 0.0
        self.statement: _Statement | None = None
        self.prepared_statements: dict[
            int, prepared_module.PreparedStatement
        ] = {}
        self.statement_numbers = itertools.count(1)
        self.pending_packets: list[bytes] = []


class InstanceServer(runtime.Task):
    """Serve one instance of a group model on a loopback port."""

    def __init__(
        self,
        loop: runtime.Runtime,
        model: group_module.GroupModel,
        name: core.InstanceName,
        engine: engine_module.Engine,
        limits: ServerLimits,
        user: tuple[str, str],
        address: runtime.Address = ('127.0.0.1', 0),
    ) -> None:
        super().__init__(loop, '', f'instance/{name}')
        self._poller = loop.poller
        self.model = model
        self.instance_name = name
        self._engine = engine
        self._limits = limits
        self._user = user
        self._listener = runtime.Listener(address, loop.poller, self.task_name)
        self.address = self._listener.address
        self._numbers = itertools.count(1)
        self._conns: dict[int, _Conn] = {}
        self._by_fileno: dict[int, _Conn] = {}
        self._conns_to_flush: set[_Conn] = set()
        self._queue: list[_Conn] = []
        self._running = 0
        self._lock_holder: _Conn | None = None
        self._messages_during_pause: list[core.Message] = []
        self.most_connections = 0

    @property
    def running(self) -> int:
        """Return how many statements are running."""
        return self._running

    @property
    def _instance(self) -> group_module.InstanceModel:
        return self.model.instances[self.instance_name]

    # -- faults -----------------------------------------------------

    def kill(self) -> None:
        """Drop every connection and refuse new ones, like a killed process."""
        self._instance.alive = False
        self._listener.close()
        for conn in tuple(self._conns.values()):
            self._drop(conn)

    def pause(self) -> None:
        """Stop answering, and keep every socket open."""
        self._instance.paused = True

    def resume(self) -> None:
        """Handle the messages of a pause as if it had not happened."""
        self._instance.paused = False
        messages, self._messages_during_pause = self._messages_during_pause, []
        for message in messages:
            self.send(self.task_name, message)

    # -- sockets ----------------------------------------------------

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready: runtime.SocketReady) -> None:
        if ready.fileno == self._listener.fileno:
            self._accept()
            return
        conn = self._by_fileno.get(ready.fileno)
        if conn is None:
            return
        if ready.writable:
            self._conns_to_flush.add(conn)
        if not ready.readable:
            return
        data = conn.stream.read()
        if conn.stream.closed:
            self._drop(conn)
            return
        for packet in conn.framer.feed(data):
            conn.sequence = packet.sequence + 1
            conn.last_used = self.now()
            if self._instance.paused:
                self._messages_during_pause.append(
                    _DelayedPacket(conn.number, packet.payload)
                )
            else:
                self._handle_packet(conn, packet.payload)

    def _accept(self) -> None:
        while (stream := self._listener.accept()) is not None:
            conn = _Conn(next(self._numbers), stream)
            conn.last_used = self.now()
            self._conns[conn.number] = conn
            self._by_fileno[stream.fileno] = conn
            self._conns_to_flush.add(conn)
            self.most_connections = max(
                self.most_connections, len(self._conns)
            )
            if len(self._conns) > self._limits.connections:
                self._error(
                    conn,
                    TOO_MANY_CONNECTIONS_ERROR,
                    '08004',
                    'too many connections',
                )
                conn.stream.flush()
                self._drop(conn)
                continue
            self.after(self._limits.connect_cost, _SendGreeting(conn.number))

    @runtime.handles(_SendGreeting)
    def _on_greet(self, greet: _SendGreeting) -> None:
        conn = self._conns.get(greet.number)
        if conn is None:
            return
        if self._instance.paused:
            self._messages_during_pause.append(greet)
            return
        payload = wire.make_greeting(conn.number, conn.nonce, CAPABILITIES)
        conn.stream.write(wire.make_packets(payload))
        self._conns_to_flush.add(conn)

    def settled(self) -> None:
        """Flush the connections that the handled messages wrote to."""
        dirty, self._conns_to_flush = self._conns_to_flush, set()
        for conn in dirty:
            if conn.stream.fileno >= 0:
                conn.stream.flush()
                if conn.stream.closed:
                    self._drop(conn)

    def _drop(self, conn: _Conn) -> None:
        if self._conns.pop(conn.number, None) is None:
            return
        self._by_fileno.pop(conn.stream.fileno, None)
        conn.stream.close()
        if conn in self._queue:
            self._queue.remove(conn)
            conn.statement = None
        if conn.session is not None and conn.statement is None:
            conn.session.close()
        if self._lock_holder is conn:
            self._lock_holder = None

    # -- protocol ---------------------------------------------------

    @runtime.handles(_DelayedPacket)
    def _on_delayed_packet(self, delayed: _DelayedPacket) -> None:
        conn = self._conns.get(delayed.number)
        if conn is not None:
            self._handle_packet(conn, delayed.payload)

    def _handle_packet(self, conn: _Conn, payload: bytes) -> None:
        self._conns_to_flush.add(conn)
        if conn.user is None:
            self._handle_login(conn, payload)
            return
        if conn.statement is not None:
            conn.pending_packets.append(payload)
            return
        command = _COMMANDS.get(payload[0])
        if command is None:
            self._error(conn, 1047, '08S01', 'unknown command')
            return
        command(self, conn, payload)

    def _handle_login(self, conn: _Conn, payload: bytes) -> None:
        login = wire.parse_handshake_response(payload, CAPABILITIES)
        name, password = self._user
        is_valid = login.user == name and wire.verify_auth_response(
            login.method, password, conn.nonce, login.response
        )
        if not is_valid:
            self._error(conn, ACCESS_DENIED_ERROR, '28000', 'access denied')
            return
        if login.method == wire.DEFAULT_METHOD:
            self._reply(conn, b'\x01\x03')
        conn.user = login.user
        conn.session = self._engine.session()
        self._ok(conn)

    def _reply(self, conn: _Conn, payload: bytes) -> None:
        conn.stream.write(wire.make_packets(payload, conn.sequence % 256))
        conn.sequence += 1

    def _error(self, conn: _Conn, code: int, sqlstate: str, text: str) -> None:
        self._reply(conn, wire.make_error(code, sqlstate, text))

    def _status(self, conn: _Conn) -> types.ServerStatus:
        status = _STATUS.SERVER_STATUS_AUTOCOMMIT
        if conn.session is not None and conn.session.in_transaction:
            status |= _STATUS.SERVER_STATUS_IN_TRANS
        return status

    def _ok(
        self,
        conn: _Conn,
        rows: _Rows = _Rows(),  # noqa: B008 - frozen
        position: core.Position | None = None,
    ) -> None:
        status = self._status(conn)
        tail = b''
        if position is not None and conn.tracks_positions:
            text = wire.format_gtid(str(self.model.database), position)
            data = b'\0' + types.str_len(text.encode())
            state = types.uint_1(3) + types.str_len(data)
            tail = types.str_len(b'') + types.str_len(state)
            status |= _STATUS.SERVER_SESSION_STATE_CHANGED
        head = packets.make_ok(
            CAPABILITIES,
            status,
            affected_rows=rows.affected,
            last_insert_id=rows.last_id,
        )
        self._reply(conn, head + tail)

    def _result(self, conn: _Conn, rows: _Rows, binary: bool) -> None:
        columns = _columns(rows)
        caps = CAPABILITIES
        eof = packets.make_eof(caps, self._status(conn))
        self._reply(conn, packets.make_column_count(caps, len(columns)))
        for column in columns:
            self._reply(
                conn,
                packets.make_column_definition_41(
                    column.character_set,
                    name=column.name,
                    column_type=column.type,
                ),
            )
        self._reply(conn, eof)
        make = packets.make_text_resultset_row
        if binary:
            make = packets.make_binary_resultrow
        for row in rows.rows:
            self._reply(conn, make(row, columns))
        self._reply(conn, eof)

    # -- statements -------------------------------------------------

    def query(self, conn: _Conn, statement: _Statement) -> None:
        """Answer a special statement at once; queue any other for a slot."""
        for pattern, handler in _SPECIAL_STATEMENTS:
            matched = pattern.match(statement.sql)
            if matched is not None:
                handler(self, conn, matched)
                return
        conn.statement = statement
        self._queue.append(conn)
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and self._running < self._limits.slots:
            conn = self._queue.pop(0)
            self._running += 1
            statement = conn.statement
            assert statement is not None
            seconds = self._limits.service_time
            sleep = _SLEEP_PATTERN.search(statement.sql)
            if sleep is not None:
                seconds += float(sleep.group(1))
            run = _RunStatement(conn.number, self.now())
            if seconds > 0:
                self.after(seconds, run)
            else:
                self._on_run(run)

    @runtime.handles(_RunStatement)
    def _on_run(self, run: _RunStatement) -> None:
        conn = self._conns.get(run.number)
        if self._instance.paused:
            self._messages_during_pause.append(run)
            return
        if conn is None or conn.statement is None:
            self._release_slot()
            return
        try:
            self._execute(conn, conn.statement)
        except engine_module.Locked:
            if self.now() - run.started_at < MAX_LOCK_WAIT_S:
                self.after(LOCK_RETRY_S, run)
                return
            self._error(conn, LOCK_TIMEOUT_ERROR, 'HY000', 'lock wait timeout')
        except engine_module.SqlError as exc:
            self._error(conn, exc.code, exc.sqlstate, str(exc))
        conn.statement = None
        self._conns_to_flush.add(conn)
        self._release_slot()
        if conn.pending_packets:
            self._handle_packet(conn, conn.pending_packets.pop(0))

    def _release_slot(self) -> None:
        self._running -= 1
        self._start_queued()

    def _execute(self, conn: _Conn, statement: _Statement) -> None:
        session = conn.session
        assert session is not None
        sql = _SLEEP_PATTERN.sub('0', statement.sql)
        if engine_module.is_read(sql):
            self._result(
                conn, session.execute(sql, statement.values), statement.binary
            )
            return
        self._check_writable()
        rows = session.execute(sql, statement.values)
        if rows.columns:
            self._result(conn, rows, statement.binary)
            return
        position = None
        if not session.in_transaction:
            position = self._commit(session)
        self._ok(conn, rows, position)

    def _check_writable(self) -> None:
        if self._instance.role is not core.Role.PRIMARY:
            raise engine_module.SqlError(
                READ_ONLY_ERROR, 'HY000', 'the server is read only'
            )

    def _commit(
        self, session: engine_module.EngineSession
    ) -> core.Position | None:
        written = session.written()
        if not written:
            return None
        return self.model.commit(self.instance_name, written, self.now())

    def begin(self, conn: _Conn, match: re.Match[str]) -> None:
        """Open a transaction."""
        assert conn.session is not None
        conn.session.begin()
        self._ok(conn)

    def end(self, conn: _Conn, match: re.Match[str]) -> None:
        """Commit or roll back a transaction."""
        session = conn.session
        assert session is not None
        if match.group(1).lower() == 'rollback':
            session.rollback()
            self._ok(conn)
            return
        if (
            session.has_written
            and self._instance.role is not core.Role.PRIMARY
        ):
            session.rollback()
            self._error(
                conn, READ_ONLY_ERROR, 'HY000', 'the server is read only'
            )
            return
        session.commit()
        self._ok(conn, position=self._commit(session))

    def set(self, conn: _Conn, match: re.Match[str]) -> None:
        """Apply the settings that the proxy uses; accept and ignore others."""
        name, value = match.group(1).lower(), match.group(2)
        if name == 'session_track_gtids':
            conn.tracks_positions = 'OWN_GTID' in value
        elif name == 'wait_timeout':
            conn.wait_timeout = float(value)
            self.after(conn.wait_timeout, _IdleCheck(conn.number))
        self._ok(conn)

    @runtime.handles(_IdleCheck)
    def _on_idle_check(self, check: _IdleCheck) -> None:
        conn = self._conns.get(check.number)
        if conn is None or not self._instance.alive:
            return
        idle_time_left = conn.last_used + conn.wait_timeout - self.now()
        if idle_time_left <= 0:
            self._drop(conn)
        else:
            self.after(idle_time_left, check)

    def lock(self, conn: _Conn, match: re.Match[str]) -> None:
        """Grant the named lock if no other connection has it."""
        granted = self._lock_holder in (None, conn)
        if granted:
            self._lock_holder = conn
        self._result(conn, _Rows(('lock',), ((int(granted),),)), False)

    def processes(self, conn: _Conn, match: re.Match[str]) -> None:
        """List the other connections."""
        rows = tuple(
            (number,) for number in self._conns if number != conn.number
        )
        self._result(conn, _Rows(('id',), rows), False)

    def end_process(self, conn: _Conn, match: re.Match[str]) -> None:
        """End another connection."""
        other = self._conns.get(int(match.group(1)))
        if other is None:
            self._error(conn, NO_SUCH_THREAD_ERROR, 'HY000', 'no such thread')
            return
        self._drop(other)
        self._ok(conn)

    def variable(self, conn: _Conn, match: re.Match[str]) -> None:
        """Return an empty value for a system variable."""
        self._result(conn, _Rows((match.group(1),), (('',),)), False)

    def nothing(self, conn: _Conn, match: re.Match[str]) -> None:
        """Accept a statement without any effect."""
        self._ok(conn)


_SpecialStatement = Callable[[InstanceServer, _Conn, re.Match[str]], None]
_SPECIAL_STATEMENTS: tuple[tuple[re.Pattern[str], _SpecialStatement], ...] = (
    tuple(
        (re.compile(pattern, re.I | re.S), handler)
        for pattern, handler in (
            (r'\s*(?:begin|start\s+transaction)\b', InstanceServer.begin),
            (r'\s*(commit|rollback)\s*;?\s*$', InstanceServer.end),
            (
                r'\s*set\s+(?:session\s+)?([@\w.]+)\s*:?=?\s*(.*)$',
                InstanceServer.set,
            ),
            (r'\s*select\s+get_lock\(', InstanceServer.lock),
            (
                r'\s*select\s+id\s+from\s+information_schema\.processlist',
                InstanceServer.processes,
            ),
            (r'\s*kill\s+(\d+)', InstanceServer.end_process),
            (r'\s*select\s+(@@[\w.]+)\s*$', InstanceServer.variable),
            (r'\s*do\s+', InstanceServer.nothing),
        )
    )
)


def _columns(rows: _Rows) -> tuple[results.ResultColumn, ...]:
    columns = []
    for index, name in enumerate(rows.columns):
        values = (row[index] for row in rows.rows)
        value = next((item for item in values if item is not None), '')
        columns.append(results.ResultColumn(name, results.infer_type(value)))
    return tuple(columns)


def gtid_set(group: str, log: list[group_module.Entry]) -> str:
    """Return the positions of a log as a set of tagged GTIDs."""
    offset_ranges: dict[int, list[int]] = {}
    for entry in log:
        term, offset = entry.position
        offset_ranges.setdefault(term, [offset, offset])[1] = offset
    return ','.join(
        f'{group}:t{term}:{first}-{last}'
        for term, (first, last) in sorted(offset_ranges.items())
    )


def _query(server: InstanceServer, conn: _Conn, payload: bytes) -> None:
    server.query(conn, _Statement(payload[1:].decode()))


def _ping(server: InstanceServer, conn: _Conn, payload: bytes) -> None:
    server._ok(conn)  # noqa: SLF001 - same module


def _quit(server: InstanceServer, conn: _Conn, payload: bytes) -> None:
    server._drop(conn)  # noqa: SLF001


def _prepare(server: InstanceServer, conn: _Conn, payload: bytes) -> None:
    sql = payload[1:].decode()
    count = len(prepared_module.REGEX_PARAM.findall(sql))
    number = next(conn.statement_numbers)
    prepared_statement = prepared_module.PreparedStatement(number, sql, count)
    conn.prepared_statements[number] = prepared_statement
    server._reply(conn, packets.make_com_stmt_prepare_ok(prepared_statement))  # noqa: SLF001
    if not count:
        return
    for _ in range(count):
        column = results.ResultColumn('?', types.ColumnType.VARCHAR)
        server._reply(  # noqa: SLF001
            conn,
            packets.make_column_definition_41(column.character_set, name='?'),
        )
    server._reply(conn, packets.make_eof(CAPABILITIES, _STATUS(0)))  # noqa: SLF001


def _execute(server: InstanceServer, conn: _Conn, payload: bytes) -> None:
    number = int.from_bytes(payload[1:5], 'little')
    prepared_statement = conn.prepared_statements[number]
    long_data = prepared_statement.param_buffers or {}
    values = params.read_params(
        payload, prepared_statement.num_params, long_data
    )
    prepared_statement.param_buffers = None
    server.query(conn, _Statement(prepared_statement.sql, values, binary=True))


def _long_data(server: InstanceServer, conn: _Conn, payload: bytes) -> None:
    data = packets.parse_com_stmt_send_long_data(payload[1:])
    prepared_statement = conn.prepared_statements[data.stmt_id]
    if prepared_statement.param_buffers is None:
        prepared_statement.param_buffers = {}
    buffer = prepared_statement.param_buffers.setdefault(
        data.param_id, bytearray()
    )
    buffer.extend(data.data)


def _close(server: InstanceServer, conn: _Conn, payload: bytes) -> None:
    conn.prepared_statements.pop(int.from_bytes(payload[1:5], 'little'), None)


_COMMANDS: dict[int, Callable[[InstanceServer, _Conn, bytes], None]] = {
    types.Commands.COM_QUIT: _quit,
    types.Commands.COM_PING: _ping,
    types.Commands.COM_INIT_DB: _ping,
    types.Commands.COM_QUERY: _query,
    types.Commands.COM_STMT_PREPARE: _prepare,
    types.Commands.COM_STMT_EXECUTE: _execute,
    types.Commands.COM_STMT_SEND_LONG_DATA: _long_data,
    types.Commands.COM_STMT_CLOSE: _close,
}
