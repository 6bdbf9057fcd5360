"""State of one caller's connection at the MySQL front end."""

from __future__ import annotations

import collections
import dataclasses
import enum

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher import wire
from chicoryusher.frontends.mysql import statements

__all__ = ['CallerConn', 'Phase', 'Prepared']


MAX_HELLO_BYTES = 64 * 1024


class Phase(enum.Enum):
    """What the front end expects next on a connection."""

    HELLO = 'hello'
    SWITCH = 'switch'
    ADMISSION = 'admission'
    READY = 'ready'
    BUSY = 'busy'


@dataclasses.dataclass(slots=True)
class Prepared:
    """A statement the caller has prepared."""

    sql: str
    statement: statements.Statement
    marks: core.Marks | None
    parameters: int = 0
    types: bytes = b''
    long_data: list[bytes] = dataclasses.field(default_factory=list)


class CallerConn:
    """One caller's connection: stream, framing and prepared statements."""

    def __init__(
        self,
        session_id: core.SessionId,
        stream: runtime.Stream,
        nonce: bytes,
    ) -> None:
        self.session_id = session_id
        self.stream = stream
        self.nonce = nonce
        self.framer = wire.Framer(MAX_HELLO_BYTES)
        self.phase = Phase.HELLO
        self.hello: wire.CallerHello | None = None
        self.caller = core.CallerName('')
        self.user = ''
        self.database: core.DatabaseName | None = None
        self.autocommit = True
        self.in_transaction = False
        self.closing = False
        self.marks: core.Marks | None = None
        self.prepared: dict[int, Prepared] = {}
        self.next_statement_id = 1
        self.backlog: collections.deque[wire.Packet] = collections.deque()
        self.request_id: core.RequestId | None = None
        self.preparing: Prepared | None = None
        self.unconsumed = 0
        self.reply_sequence = 1

    def reply(self, payload: bytes) -> None:
        """Queue one packet as the answer to the current command."""
        self.stream.write(wire.frame(payload, self.reply_sequence))

    def reply_ok(self) -> None:
        """Queue an OK packet that shows the session's status."""
        self.reply(wire.make_ok(self.in_transaction, self.autocommit))

    def reply_error(self, error: core.CallerError) -> None:
        """Queue the error packet of a typed failure."""
        self.reply(wire.make_error(error.code, error.sqlstate, str(error)))
