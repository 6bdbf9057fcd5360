"""State of one caller's connection at the MySQL front end."""

from __future__ import annotations

import dataclasses
import enum

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher import wire
from chicoryusher.frontends.mysql import statements

__all__ = ['CallerConn', 'ConnPhase', 'PreparedStatement']


MAX_HANDSHAKE_BYTES = 64 * 1024


class ConnPhase(enum.Enum):
    """What the front end expects next on a caller's connection.

    ``AWAITING_ROUTER``: the router's answer about the session, the database
    or the token. ``BUSY``: the answer to a request.
    """

    HANDSHAKE_RESPONSE = 'hello'
    AUTH_SWITCH_RESPONSE = 'switch'
    AWAITING_ROUTER = 'admission'
    READY = 'ready'
    BUSY = 'busy'


@dataclasses.dataclass(slots=True)
class PreparedStatement:
    """A statement that the caller has prepared.

    ``parameter_types`` holds the types that the caller sent with an execute
    command; ``long_data`` the parameter data sent ahead of the next one.
    ``kept_bytes`` is the memory that it takes without that data.
    """

    sql: str
    statement: statements.ClassifiedStatement
    marks: core.Marks | None
    parameter_count: int = 0
    parameter_types: bytes = b''
    long_data: list[bytes] = dataclasses.field(default_factory=list)
    kept_bytes: int = 0

    @property
    def long_data_bytes(self) -> int:
        """Return the size of the parameter data sent ahead."""
        return sum(len(data) for data in self.long_data)


class CallerConn:
    """State of one caller's connection.

    ``pending_prepare`` is the statement whose prepare command is in flight.
    ``unreported_bytes`` counts result bytes that were written to the caller
    and not yet reported to the router as consumed.  ``running_bytes`` is the
    size of the request whose answer is awaited.  ``kept_bytes`` is what the
    session keeps in prepared statements, and ``max_kept_bytes`` its limit.
    """

    def __init__(
        self,
        session_id: core.SessionId,
        stream: runtime.Stream,
        nonce: bytes,
        max_kept_bytes: int,
    ) -> None:
        self.session_id = session_id
        self.stream = stream
        self.nonce = nonce
        self.framer = wire.PacketReader(MAX_HANDSHAKE_BYTES)
        self.phase = ConnPhase.HANDSHAKE_RESPONSE
        self.handshake: wire.HandshakeResponse | None = None
        self.caller = core.CallerName('')
        self.user = ''
        self.database: core.DatabaseName | None = None
        self.autocommit = True
        self.in_transaction = False
        self.closing = False
        self.marks: core.Marks | None = None
        self.prepared: dict[int, PreparedStatement] = {}
        self.next_statement_id = 1
        self.request_id: core.RequestId | None = None
        self.pending_prepare: PreparedStatement | None = None
        self.unreported_bytes = 0
        self.running_bytes = 0
        self.kept_bytes = 0
        self.max_kept_bytes = max_kept_bytes
        self.reply_sequence = 1

    @property
    def awaits_answer(self) -> bool:
        """Return whether a packet waits for its answer."""
        return self.phase in (ConnPhase.BUSY, ConnPhase.AWAITING_ROUTER)

    @property
    def may_handle(self) -> bool:
        """Return whether the next packet may be handled now.

        The answer before must have been taken.
        """
        return not (self.awaits_answer or self.closing or self.stream.pending)

    def use(self) -> decisions.CallerUse:
        """Return what is held for the caller."""
        received = len(self.framer)
        return decisions.CallerUse(
            received,
            max(1, self.running_bytes) if self.awaits_answer else 0,
            self.stream.pending,
            self.kept_bytes,
            bool(received) and self.may_handle,
        )

    def keep(self, byte_count: int) -> None:
        """Note bytes that the session keeps.

        Raises OversizePacket if they are too many.
        """
        self.check_keep(byte_count)
        self.kept_bytes += byte_count

    def check_keep(self, byte_count: int) -> None:
        """Raise OversizePacket if the session may not keep these bytes."""
        if self.kept_bytes + byte_count > self.max_kept_bytes:
            raise core.OversizePacket(
                f'prepared statements of over {self.max_kept_bytes} bytes'
            )

    def finish_prepare(self, prepared: PreparedStatement, data: bytes) -> None:
        """Store a prepared statement and send its answer.

        The instance's statement id is replaced by one of this connection.
        """
        header_bytes = wire.HEADER_BYTES
        if data[header_bytes] == 0:
            statement_id = self.next_statement_id
            self.next_statement_id += 1
            prepared.parameter_count = int.from_bytes(
                data[header_bytes + 7 : header_bytes + 9], 'little'
            )
            self.prepared[statement_id] = prepared
            self.kept_bytes += prepared.kept_bytes
            id_slice = slice(header_bytes + 1, header_bytes + 5)
            data = (
                data[: id_slice.start]
                + statement_id.to_bytes(4, 'little')
                + data[id_slice.stop :]
            )
        self.stream.write(data)

    def reply(self, payload: bytes) -> None:
        """Write one packet as the answer to the current command."""
        self.stream.write(wire.make_packets(payload, self.reply_sequence))

    def reply_ok(self) -> None:
        """Write an OK packet with the session's status flags."""
        self.reply(wire.make_ok(self.in_transaction, self.autocommit))

    def reply_error(self, error: core.CallerError) -> None:
        """Write the error packet for an error that the caller gets."""
        self.reply(wire.make_error(error.code, error.sqlstate, str(error)))
