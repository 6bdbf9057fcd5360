"""The gate lock: at most one VM at a time is the gate of an instance.

The lock is a named lock of the instance (GET_LOCK), which belongs to one
connection. The instance itself decides who gets it, without clocks and
without another service. The VM that gets the lock kills all other
connections of the proxy's account: an earlier gate opened them, and they
would count towards the instance's connection cap.
"""

from __future__ import annotations

import enum

from pymysql import protocol

from chicoryusher import core
from chicoryusher import wire

__all__ = ['GateLock', 'LOCK_SETUP_STATEMENTS', 'LockResult']

# The instance closes the connection that has the lock, and so releases the
# lock, if it gets no command from the gate for this long.
LOCK_CONN_IDLE_TIMEOUT_S = 3
LOCK_NAME = b'chicoryusher_gate'
COM_QUERY = b'\x03'
LOCK_SETUP_STATEMENTS = (
    b'SET SESSION wait_timeout=%d' % LOCK_CONN_IDLE_TIMEOUT_S,
)
_GET_LOCK = b"SELECT GET_LOCK('%s', 0)" % LOCK_NAME
_LIST_OTHER_CONNS = (
    b'SELECT id FROM information_schema.processlist '
    b"WHERE user = '%s' AND id <> CONNECTION_ID()"
)
_LOCK_GRANTED = [b'1']


class LockResult(enum.Enum):
    """Progress of an attempt to get the lock."""

    IN_PROGRESS = 'going_on'
    GRANTED = 'granted'
    REFUSED = 'refused'


class _Stage(enum.Enum):
    ACQUIRING = 'taking'
    LISTING_CONNS = 'listing'
    KILLING_CONNS = 'ending'
    HOLDING = 'held'


class GateLock:
    """Sequence of the commands that acquire the lock.

    GET_LOCK, the list of the account's other connections, and a KILL for
    each of them; every command is sent after the answer to the previous one.
    """

    def __init__(self, user: str) -> None:
        self._user = user.encode()
        self._stage = _Stage.ACQUIRING
        self._rows = bytearray()
        self._other_conn_ids: list[bytes] = []

    @property
    def is_granted(self) -> bool:
        """Return whether this connection has the lock.

        It is false until the other connections have been killed.
        """
        return self._stage is _Stage.HOLDING

    def next_command(self) -> core.Payload:
        """Return the command to send next."""
        self._rows.clear()
        sql = _GET_LOCK
        if self._stage is _Stage.LISTING_CONNS:
            sql = _LIST_OTHER_CONNS % self._user
        elif self._stage is _Stage.KILLING_CONNS:
            sql = b'KILL ' + self._other_conn_ids.pop()
        return core.Payload(COM_QUERY + sql)

    def receive_answer(self, data: bytes, final: bool) -> LockResult:
        """Handle a part of an answer.

        If the answer is complete and the result is IN_PROGRESS, another
        command must be sent.
        """
        self._rows += data
        if not final or self.is_granted:
            return LockResult.IN_PROGRESS
        values = _first_column(bytes(self._rows))
        if self._stage is _Stage.ACQUIRING:
            if values != _LOCK_GRANTED:
                return LockResult.REFUSED
            self._stage = _Stage.LISTING_CONNS
            return LockResult.IN_PROGRESS
        if self._stage is _Stage.LISTING_CONNS:
            self._other_conn_ids = values
            self._stage = _Stage.KILLING_CONNS
        if self._other_conn_ids:
            return LockResult.IN_PROGRESS
        self._stage = _Stage.HOLDING
        return LockResult.GRANTED


def _first_column(data: bytes) -> list[bytes]:
    """Return the values of the first column of a text result set.

    An OK or error packet gives no values.
    """
    framer = wire.PacketReader(wire.MAX_PAYLOAD_BYTES)
    payloads = [framed.payload for framed in framer.feed(data)]
    if not payloads or payloads[0][:1] in (b'\x00', b'\xff'):
        return []
    column_count = payloads[0][0]
    rows = payloads[2 + column_count : -1]
    values = []
    for row in rows:
        packet = protocol.MysqlPacket(row, 'utf8')
        values.append(packet.read_length_coded_string() or b'')
    return values
