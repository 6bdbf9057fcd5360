"""Protocol state of one connection to an instance.

Covers the handshake, the setup statements and the commands.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Iterable

from pymysql import protocol

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher import wire

__all__ = ['BackendCommand', 'BackendConn', 'BackendUser', 'ReadResult']

MAX_PREPARED_STATEMENTS = 256
STATEMENT_ID_SLICE = slice(1, 5)
COM_STMT_CLOSE = b'\x19'
COM_STMT_PREPARE = b'\x16'
COM_QUERY = b'\x03'
AUTH_SWITCH_REQUEST = 0xFE
AUTH_MORE_DATA = 0x01
FAST_AUTH_SUCCESS = 0x03
DEADLOCK_ERRNO = 1213
SESSION_SETUP = (b"SET SESSION session_track_gtids='OWN_GTID'",)


@dataclasses.dataclass(frozen=True, slots=True)
class BackendUser:
    """Account with which the proxy logs in to every instance."""

    name: str
    password: str = dataclasses.field(repr=False)


class _Phase(enum.Enum):
    CONNECTING = 'connecting'
    GREETING = 'greeting'
    AUTH = 'auth'
    SETUP = 'setup'
    READY = 'ready'


class CommandPurpose(enum.Enum):
    """Reason for which a command is sent to the instance."""

    SESSION_SETUP = 'setup'
    PREPARE = 'prepare'
    COMMAND = 'command'


@dataclasses.dataclass(slots=True)
class BackendCommand:
    """A command and the kind of answer that it gets.

    ``sent_before`` holds packets that are sent ahead of the command: the
    long parameter data of a prepared statement. ``prepared_sql`` is the
    text of the prepared statement that the command prepares or executes.
    """

    purpose: CommandPurpose
    payload: bytes
    answer_kind: wire.ResponseKind = wire.ResponseKind.RESULT
    sent_before: tuple[bytes, ...] = ()
    prepared_sql: bytes = b''


@dataclasses.dataclass(slots=True)
class ReadResult:
    """Result of handling the bytes of one read from the instance.

    ``became_ready`` is true if the last setup statement has just been
    answered. ``answer`` is a part of the current command's answer, if any.
    """

    became_ready: bool = False
    answer: wire.ScanResult | None = None


class BackendConn:
    """Protocol state of one connection; the task that owns it does the I/O."""

    def __init__(
        self,
        conn_id: core.ConnId,
        stream: runtime.Stream,
        user: BackendUser,
        database: str,
        setup_statements: Iterable[bytes] = SESSION_SETUP,
    ) -> None:
        self.conn_id = conn_id
        self.stream = stream
        self.server_conn_id = 0
        self.unconsumed_bytes = 0
        self._user = user
        self._database = database
        self._phase = _Phase.GREETING
        self._framer: wire.PacketReader | None = wire.PacketReader(
            wire.MAX_PAYLOAD_BYTES
        )
        self._nonce = b''
        self._scanner: wire.ResponseScanner | None = None
        self._queue: collections.deque[BackendCommand] = collections.deque(
            BackendCommand(CommandPurpose.SESSION_SETUP, COM_QUERY + statement)
            for statement in setup_statements
        )
        self._prepared: collections.OrderedDict[bytes, int]
        self._prepared = collections.OrderedDict()
        self._in_transaction = False

    @property
    def awaits_answer(self) -> bool:
        """Return whether a command was sent whose answer is incomplete."""
        return self._scanner is not None

    def run(self, payload: core.Payload) -> None:
        """Send a command.

        A prepared statement that this connection does not have is prepared
        first.
        """
        if payload.prepare and payload.prepare not in self._prepared:
            self._queue.append(
                BackendCommand(
                    CommandPurpose.PREPARE,
                    COM_STMT_PREPARE + payload.prepare,
                    wire.ResponseKind.PREPARED,
                    prepared_sql=payload.prepare,
                )
            )
        command = payload.command
        answer_kind = wire.ResponseKind.RESULT
        prepared_sql = payload.prepare
        if command[:1] == COM_STMT_PREPARE:
            answer_kind = wire.ResponseKind.PREPARED
            prepared_sql = command[1:]
        self._queue.append(
            BackendCommand(
                CommandPurpose.COMMAND,
                command,
                answer_kind,
                payload.long_data,
                prepared_sql,
            )
        )
        self._send_next()

    def receive(self, data: bytes) -> ReadResult:
        """Handle bytes from the instance.

        Raises ProtocolError if they violate the protocol.
        """
        read_result = ReadResult()
        if self._phase is not _Phase.READY and self._scanner is None:
            self._receive_handshake(data)
            return read_result
        if self._scanner is None:
            raise core.ProtocolError(
                'the instance sent data without a pending command'
            )
        self._receive_answer(data, read_result)
        return read_result

    def _receive_handshake(self, data: bytes) -> None:
        framer = self._framer
        assert framer is not None
        for packet in framer.feed(data):
            payload = packet.payload
            if payload[:1] == b'\xff':
                raise core.ProtocolError(
                    f'handshake refused with error {wire.error_code(payload)}'
                )
            if self._phase is _Phase.GREETING:
                self._send_handshake_response(payload, packet.sequence + 1)
            else:
                self._receive_auth_packet(payload, packet.sequence + 1)

    def _send_handshake_response(self, payload: bytes, sequence: int) -> None:
        greeting = wire.parse_greeting(payload)
        self.server_conn_id = greeting.connection_id
        self._nonce = greeting.nonce
        method = greeting.method
        if method not in wire.AUTH_METHODS:
            method = wire.DEFAULT_METHOD
        response = wire.make_auth_response(
            method, self._user.password, self._nonce
        )
        handshake_response = wire.make_handshake_response(
            self._user.name, method, response, self._database
        )
        self.stream.write(wire.make_packets(handshake_response, sequence))
        self._phase = _Phase.AUTH

    def _receive_auth_packet(self, payload: bytes, sequence: int) -> None:
        packet_type = payload[0]
        if packet_type == AUTH_SWITCH_REQUEST:
            packet = protocol.MysqlPacket(payload, 'utf8')
            packet.advance(1)
            method = (packet.read_string() or b'').decode()
            nonce = packet.read_all()
            response = wire.make_auth_response(
                method, self._user.password, nonce
            )
            self.stream.write(wire.make_packets(response, sequence))
            return
        if packet_type == AUTH_MORE_DATA:
            if payload[1:2] != bytes((FAST_AUTH_SUCCESS,)):
                raise core.ProtocolError('full authentication requires TLS')
            return
        self._framer = None
        self._phase = _Phase.SETUP
        self._send_next()

    def _send_next(self) -> None:
        """Send the first queued command, if any."""
        if not self._queue:
            return
        current = self._queue[0]
        payload = current.payload
        sent_before = current.sent_before
        statement_id = self._prepared.get(current.prepared_sql)
        is_execute = current.purpose is CommandPurpose.COMMAND and (
            current.answer_kind is wire.ResponseKind.RESULT
        )
        if is_execute and statement_id is not None:
            payload = _with_statement_id(payload, statement_id)
            sent_before = tuple(
                _with_statement_id(packet, statement_id)
                for packet in sent_before
            )
        for packet in sent_before:
            self.stream.write(wire.make_packets(packet))
        self.stream.write(wire.make_packets(payload))
        self._scanner = wire.ResponseScanner(current.answer_kind)

    def _receive_answer(self, data: bytes, read_result: ReadResult) -> None:
        assert self._scanner is not None
        scanned = self._scanner.feed(data)
        current = self._queue[0]
        if not scanned.final:
            if current.purpose is CommandPurpose.COMMAND and scanned.data:
                read_result.answer = scanned
            return
        self._scanner = None
        self._queue.popleft()
        if scanned.error_code:
            # An error packet carries no status flags. A deadlock rolls the
            # transaction back; after other errors it stays open.
            stays_open = scanned.error_code != DEADLOCK_ERRNO
            scanned.in_transaction = self._in_transaction and stays_open
        elif current.answer_kind is wire.ResponseKind.PREPARED:
            scanned.in_transaction = self._in_transaction
            self._cache_statement(current.prepared_sql, scanned.statement_id)
        self._in_transaction = scanned.in_transaction
        if current.purpose is CommandPurpose.SESSION_SETUP:
            self._finish_setup_command(scanned, read_result)
            return
        if current.purpose is CommandPurpose.PREPARE:
            if not scanned.error_code:
                self._send_next()
                return
            self._queue.clear()
        read_result.answer = scanned

    def _finish_setup_command(
        self, scanned: wire.ScanResult, read_result: ReadResult
    ) -> None:
        if scanned.error_code:
            raise core.ProtocolError(
                f'setup statement failed with error {scanned.error_code}'
            )
        if self._queue:
            self._send_next()
            return
        self._phase = _Phase.READY
        read_result.became_ready = True

    def _cache_statement(self, prepared_sql: bytes, statement_id: int) -> None:
        """Store the id of a statement; close the oldest over the limit."""
        previous_id = self._prepared.pop(prepared_sql, None)
        if previous_id is not None:
            self._close_statement(previous_id)
        self._prepared[prepared_sql] = statement_id
        if len(self._prepared) > MAX_PREPARED_STATEMENTS:
            _, oldest = self._prepared.popitem(last=False)
            self._close_statement(oldest)

    def _close_statement(self, statement_id: int) -> None:
        payload = COM_STMT_CLOSE + statement_id.to_bytes(4, 'little')
        self.stream.write(wire.make_packets(payload))


def _with_statement_id(payload: bytes, statement_id: int) -> bytes:
    """Return a command with the id that the instance gave its statement."""
    id_slice = STATEMENT_ID_SLICE
    return (
        payload[: id_slice.start]
        + statement_id.to_bytes(4, 'little')
        + payload[id_slice.stop :]
    )
