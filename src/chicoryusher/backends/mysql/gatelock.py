"""The gate lock: one VM at a time is the gate of an instance.

The lock is the instance's own named lock, held by one connection, so
the instance itself decides; no clock and no other service takes part.
The new holder ends every other connection of the proxy's account,
which are an older gate's, so that the connection cap holds.
"""

from __future__ import annotations

import enum

from pymysql import protocol

from chicoryusher import core
from chicoryusher import wire

__all__ = ['GateLock', 'IDLE_SECONDS', 'LockResult', 'SETUP']

IDLE_SECONDS = 3
LOCK_NAME = b'chicoryusher_gate'
COM_QUERY = b'\x03'
SETUP = (b'SET SESSION wait_timeout=%d' % IDLE_SECONDS,)
_TAKE = b"SELECT GET_LOCK('%s', 0)" % LOCK_NAME
_LIST = (
    b'SELECT id FROM information_schema.processlist '
    b"WHERE user = '%s' AND id <> CONNECTION_ID()"
)
_GRANTED = [b'1']


class LockResult(enum.Enum):
    """How far the claim has come."""

    GOING_ON = 'going_on'
    GRANTED = 'granted'
    REFUSED = 'refused'


class _Stage(enum.Enum):
    TAKING = 'taking'
    LISTING = 'listing'
    ENDING = 'ending'
    HELD = 'held'


class GateLock:
    """Commands that take the lock, one after another's answer."""

    def __init__(self, user: str) -> None:
        self._user = user.encode()
        self._stage = _Stage.TAKING
        self._rows = bytearray()
        self._others: list[bytes] = []

    @property
    def held(self) -> bool:
        """Tell whether the lock was granted."""
        return self._stage is _Stage.HELD

    def command(self) -> core.Payload:
        """Return the command to send next."""
        self._rows.clear()
        text = _TAKE
        if self._stage is _Stage.LISTING:
            text = _LIST % self._user
        elif self._stage is _Stage.ENDING:
            text = b'KILL ' + self._others.pop()
        return core.Payload(COM_QUERY + text)

    def answered(self, data: bytes, final: bool) -> LockResult:
        """Take in an answer and say whether to send another command."""
        self._rows += data
        if not final or self.held:
            return LockResult.GOING_ON
        values = _first_column(bytes(self._rows))
        if self._stage is _Stage.TAKING:
            if values != _GRANTED:
                return LockResult.REFUSED
            self._stage = _Stage.LISTING
            return LockResult.GOING_ON
        if self._stage is _Stage.LISTING:
            self._others = values
            self._stage = _Stage.ENDING
        if self._others:
            return LockResult.GOING_ON
        self._stage = _Stage.HELD
        return LockResult.GRANTED


def _first_column(data: bytes) -> list[bytes]:
    """Return the first column of a text result set's rows."""
    framer = wire.Framer(wire.MAX_PAYLOAD)
    payloads = [one.payload for one in framer.feed(data)]
    if not payloads or payloads[0][:1] in (b'\x00', b'\xff'):
        return []
    columns = payloads[0][0]
    rows = payloads[2 + columns : -1]
    values = []
    for row in rows:
        packet = protocol.MysqlPacket(row, 'utf8')
        values.append(packet.read_length_coded_string() or b'')
    return values
