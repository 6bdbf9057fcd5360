"""One connection to an instance: handshake, setup and commands."""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Iterable

from pymysql import protocol

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher import wire

__all__ = ['BackendConn', 'BackendUser', 'Exchange', 'Progress']

MAX_PREPARED = 256
STATEMENT_ID = slice(1, 5)
COM_STMT_CLOSE = b'\x19'
COM_STMT_PREPARE = b'\x16'
COM_QUERY = b'\x03'
AUTH_SWITCH = 0xFE
AUTH_MORE = 0x01
FAST_AUTH_OK = 0x03
DEADLOCK = 1213
SETUP = (b"SET SESSION session_track_gtids='OWN_GTID'",)


@dataclasses.dataclass(frozen=True, slots=True)
class BackendUser:
    """The account that the proxy uses at every instance."""

    name: str
    password: str = dataclasses.field(repr=False)


class _Phase(enum.Enum):
    CONNECTING = 'connecting'
    GREETING = 'greeting'
    AUTH = 'auth'
    SETUP = 'setup'
    READY = 'ready'


class Purpose(enum.Enum):
    """What an exchange is for."""

    SETUP = 'setup'
    PREPARE = 'prepare'
    COMMAND = 'command'


@dataclasses.dataclass(slots=True)
class Exchange:
    """One command and the shape of its answer."""

    purpose: Purpose
    payload: bytes
    kind: wire.AnswerKind = wire.AnswerKind.RESULT
    ahead: tuple[bytes, ...] = ()
    statement: bytes = b''


@dataclasses.dataclass(slots=True)
class Progress:
    """What one read from the instance brought.

    ``opened`` tells that the connection has just become ready.
    """

    opened: bool = False
    answer: wire.Scanned | None = None


class BackendConn:
    """Protocol state of one connection; its task does the I/O."""

    def __init__(
        self,
        conn_id: core.ConnId,
        stream: runtime.Stream,
        user: BackendUser,
        database: str,
        setup: Iterable[bytes] = SETUP,
    ) -> None:
        self.conn_id = conn_id
        self.stream = stream
        self.server_id = 0
        self.unconsumed = 0
        self._user = user
        self._database = database
        self._phase = _Phase.GREETING
        self._framer: wire.Framer | None = wire.Framer(wire.MAX_PAYLOAD)
        self._nonce = b''
        self._scanner: wire.AnswerScanner | None = None
        self._script: collections.deque[Exchange] = collections.deque(
            Exchange(Purpose.SETUP, COM_QUERY + one) for one in setup
        )
        self._prepared: collections.OrderedDict[bytes, int]
        self._prepared = collections.OrderedDict()
        self._in_transaction = False

    @property
    def busy(self) -> bool:
        """Tell whether an answer is awaited."""
        return self._scanner is not None

    def run(self, payload: core.Payload) -> None:
        """Send a command, after preparing its statement if need be."""
        if payload.prepare and payload.prepare not in self._prepared:
            self._script.append(
                Exchange(
                    Purpose.PREPARE,
                    COM_STMT_PREPARE + payload.prepare,
                    wire.AnswerKind.PREPARED,
                    statement=payload.prepare,
                )
            )
        command = payload.command
        kind = wire.AnswerKind.RESULT
        statement = payload.prepare
        if command[:1] == COM_STMT_PREPARE:
            kind = wire.AnswerKind.PREPARED
            statement = command[1:]
        self._script.append(
            Exchange(
                Purpose.COMMAND, command, kind, payload.long_data, statement
            )
        )
        self._send_next()

    def receive(self, data: bytes) -> Progress:
        """Take in bytes of the instance; ProtocolError if they are bad."""
        progress = Progress()
        if self._phase is not _Phase.READY and self._scanner is None:
            self._handshake(data)
            return progress
        if self._scanner is None:
            raise core.ProtocolError('the instance spoke unasked')
        self._answer(data, progress)
        return progress

    def _handshake(self, data: bytes) -> None:
        framer = self._framer
        assert framer is not None
        for packet in framer.feed(data):
            payload = packet.payload
            if payload[:1] == b'\xff':
                raise core.ProtocolError(
                    f'the instance refuses: {wire.error_code(payload)}'
                )
            if self._phase is _Phase.GREETING:
                self._greeted(payload, packet.sequence + 1)
            else:
                self._authenticating(payload, packet.sequence + 1)

    def _greeted(self, payload: bytes, sequence: int) -> None:
        greeting = wire.parse_greeting(payload)
        self.server_id = greeting.connection_id
        self._nonce = greeting.nonce
        method = greeting.method
        if method not in wire.METHODS:
            method = wire.DEFAULT_METHOD
        response = wire.respond(method, self._user.password, self._nonce)
        hello = wire.make_hello(
            self._user.name, method, response, self._database
        )
        self.stream.write(wire.frame(hello, sequence))
        self._phase = _Phase.AUTH

    def _authenticating(self, payload: bytes, sequence: int) -> None:
        first = payload[0]
        if first == AUTH_SWITCH:
            packet = protocol.MysqlPacket(payload, 'utf8')
            packet.advance(1)
            method = (packet.read_string() or b'').decode()
            nonce = packet.read_all()
            response = wire.respond(method, self._user.password, nonce)
            self.stream.write(wire.frame(response, sequence))
            return
        if first == AUTH_MORE:
            if payload[1:2] != bytes((FAST_AUTH_OK,)):
                raise core.ProtocolError('full authentication needs TLS')
            return
        self._framer = None
        self._phase = _Phase.SETUP
        self._send_next()

    def _send_next(self) -> None:
        if not self._script:
            return
        exchange = self._script[0]
        payload = exchange.payload
        ahead = exchange.ahead
        number = self._prepared.get(exchange.statement)
        executes = exchange.purpose is Purpose.COMMAND and (
            exchange.kind is wire.AnswerKind.RESULT
        )
        if executes and number is not None:
            payload = _with_id(payload, number)
            ahead = tuple(_with_id(one, number) for one in ahead)
        for one in ahead:
            self.stream.write(wire.frame(one))
        self.stream.write(wire.frame(payload))
        self._scanner = wire.AnswerScanner(exchange.kind)

    def _answer(self, data: bytes, progress: Progress) -> None:
        assert self._scanner is not None
        found = self._scanner.feed(data)
        exchange = self._script[0]
        if not found.final:
            if exchange.purpose is Purpose.COMMAND and found.data:
                progress.answer = found
            return
        self._scanner = None
        self._script.popleft()
        if found.error_code:
            kept = found.error_code != DEADLOCK
            found.in_transaction = self._in_transaction and kept
        elif exchange.kind is wire.AnswerKind.PREPARED:
            found.in_transaction = self._in_transaction
            self._remember(exchange.statement, found.statement_id)
        self._in_transaction = found.in_transaction
        if exchange.purpose is Purpose.SETUP:
            self._set_up(found, progress)
            return
        if exchange.purpose is Purpose.PREPARE:
            if not found.error_code:
                self._send_next()
                return
            self._script.clear()
        progress.answer = found

    def _set_up(self, found: wire.Scanned, progress: Progress) -> None:
        if found.error_code:
            raise core.ProtocolError(
                f'setup of a connection failed: {found.error_code}'
            )
        if self._script:
            self._send_next()
            return
        self._phase = _Phase.READY
        progress.opened = True

    def _remember(self, statement: bytes, number: int) -> None:
        known = self._prepared.pop(statement, None)
        if known is not None:
            self._forget(known)
        self._prepared[statement] = number
        if len(self._prepared) > MAX_PREPARED:
            _, oldest = self._prepared.popitem(last=False)
            self._forget(oldest)

    def _forget(self, number: int) -> None:
        payload = COM_STMT_CLOSE + number.to_bytes(4, 'little')
        self.stream.write(wire.frame(payload))


def _with_id(payload: bytes, number: int) -> bytes:
    place = STATEMENT_ID
    return (
        payload[: place.start]
        + number.to_bytes(4, 'little')
        + payload[place.stop :]
    )
