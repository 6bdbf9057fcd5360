"""State of one caller's connection at the MySQL front end."""

from __future__ import annotations

import collections
import dataclasses
import enum

from chicoryusher import core
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
    """

    sql: str
    statement: statements.ClassifiedStatement
    marks: core.Marks | None
    parameter_count: int = 0
    parameter_types: bytes = b''
    long_data: list[bytes] = dataclasses.field(default_factory=list)


class CallerConn:
    """State of one caller's connection.

    ``pending_packets`` are received commands that wait for the current one.
    ``pending_prepare`` is the statement whose prepare command is in flight.
    ``unreported_bytes`` counts result bytes that were written to the caller
    and not yet reported to the router as consumed.
    """

    def __init__(
        self,
        session_id: core.SessionId,
        stream: runtime.Stream,
        nonce: bytes,
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
        self.pending_packets: collections.deque[wire.Packet] = (
            collections.deque()
        )
        self.request_id: core.RequestId | None = None
        self.pending_prepare: PreparedStatement | None = None
        self.unreported_bytes = 0
        self.reply_sequence = 1

    def reply(self, payload: bytes) -> None:
        """Write one packet as the answer to the current command."""
        self.stream.write(wire.make_packets(payload, self.reply_sequence))

    def reply_ok(self) -> None:
        """Write an OK packet with the session's status flags."""
        self.reply(wire.make_ok(self.in_transaction, self.autocommit))

    def reply_error(self, error: core.CallerError) -> None:
        """Write the error packet for an error that the caller gets."""
        self.reply(wire.make_error(error.code, error.sqlstate, str(error)))
