"""Find the end of an instance's answer without decoding its rows.

The bytes go to the caller as they are.  Only the closing packet is
looked at, and an OK packet loses the session state that the caller did
not ask for.
"""

from __future__ import annotations

import dataclasses
import enum

from pymysql import protocol

from chicoryusher import core
from chicoryusher.wire import framing
from chicoryusher.wire import gtid

__all__ = ['AnswerKind', 'AnswerScanner', 'Scanned', 'error_code']

OK = 0x00
EOF = 0xFE
ERR = 0xFF
LOCAL_INFILE = 0xFB
EOF_MAX_BYTES = 9
STATUS_IN_TRANSACTION = 0x0001
STATUS_MORE_RESULTS = 0x0008
STATUS_STATE_CHANGED = 0x4000
TRACK_GTIDS = 3
STATUS_AT_EOF = 3


class AnswerKind(enum.Enum):
    """Shape of the answer that a command gets."""

    RESULT = 'result'
    PREPARED = 'prepared'


class _Stage(enum.Enum):
    FIRST = 'first'
    DEFINITIONS = 'definitions'
    ROWS = 'rows'
    FINISHED = 'finished'


@dataclasses.dataclass(slots=True)
class Scanned:
    """What a scan found: bytes to pass on and how the answer ended."""

    data: bytes
    final: bool = False
    error_code: int = 0
    in_transaction: bool = False
    position: core.Position | None = None
    statement_id: int = 0


class AnswerScanner:
    """Follow one answer from its first packet to its last."""

    def __init__(self, kind: AnswerKind) -> None:
        self._kind = kind
        self._stage = _Stage.FIRST
        self._blocks_left = 0
        self._buffer = bytearray()
        self._joining = False

    def feed(self, data: bytes) -> Scanned:
        """Add bytes; whole packets among them are returned.

        Raise ProtocolError where the instance sends what it must not.
        """
        buffer = self._buffer
        buffer += data
        found = Scanned(b'')
        start = 0
        rewritten: list[bytes] = []
        copied = 0
        size_of = int.from_bytes
        while len(buffer) - start >= framing.HEADER_BYTES:
            size = size_of(buffer[start : start + 3], 'little')
            end = start + framing.HEADER_BYTES + size
            if len(buffer) < end:
                break
            replaced = self._packet(start, end, found)
            if replaced is not None:
                rewritten.append(bytes(buffer[copied:start]))
                rewritten.append(replaced)
                copied = end
            start = end
            if found.final:
                break
        rewritten.append(bytes(buffer[copied:start]))
        del buffer[:start]
        found.data = b''.join(rewritten)
        return found

    def _packet(self, start: int, end: int, found: Scanned) -> bytes | None:
        size = end - start - framing.HEADER_BYTES
        joined = self._joining
        self._joining = size == framing.MAX_PAYLOAD
        if joined:
            return None
        first = self._buffer[start + framing.HEADER_BYTES] if size else 0
        if first == ERR:
            self._end(found)
            found.error_code = error_code(
                bytes(self._buffer[start + framing.HEADER_BYTES : end])
            )
            return None
        if self._stage is _Stage.ROWS:
            if first == EOF and size < EOF_MAX_BYTES:
                self._end_of_rows(start, found)
            return None
        if self._stage is _Stage.DEFINITIONS:
            if first == EOF and size < EOF_MAX_BYTES:
                self._end_of_block(found)
            return None
        return self._first_packet(first, start, end, found)

    def _first_packet(
        self, first: int, start: int, end: int, found: Scanned
    ) -> bytes | None:
        payload = bytes(self._buffer[start + framing.HEADER_BYTES : end])
        if first == LOCAL_INFILE:
            raise core.ProtocolError('the instance asked for a local file')
        if first != OK:
            self._stage = _Stage.DEFINITIONS
            return None
        if self._kind is AnswerKind.PREPARED:
            self._prepared(payload, found)
            return None
        stripped = _read_ok(payload, found)
        if not found.final:
            self._stage = _Stage.FIRST
            return None
        self._stage = _Stage.FINISHED
        return framing.frame(stripped, self._buffer[start + 3])

    def _prepared(self, payload: bytes, found: Scanned) -> None:
        packet = protocol.MysqlPacket(payload, 'utf8')
        packet.advance(1)
        found.statement_id = packet.read_uint32()
        columns = packet.read_uint16()
        params = packet.read_uint16()
        self._blocks_left = bool(columns) + bool(params)
        if self._blocks_left:
            self._stage = _Stage.DEFINITIONS
            return
        self._end(found)

    def _end_of_block(self, found: Scanned) -> None:
        if self._kind is AnswerKind.RESULT:
            self._stage = _Stage.ROWS
            return
        self._blocks_left -= 1
        if not self._blocks_left:
            self._end(found)

    def _end_of_rows(self, start: int, found: Scanned) -> None:
        place = start + framing.HEADER_BYTES + STATUS_AT_EOF
        status = int.from_bytes(self._buffer[place : place + 2], 'little')
        found.in_transaction = bool(status & STATUS_IN_TRANSACTION)
        if status & STATUS_MORE_RESULTS:
            self._stage = _Stage.FIRST
            return
        self._end(found)

    def _end(self, found: Scanned) -> None:
        found.final = True
        self._stage = _Stage.FINISHED


def error_code(payload: bytes) -> int:
    """Return the error number of an error packet's payload."""
    return int.from_bytes(payload[1:3], 'little')


def _read_ok(payload: bytes, found: Scanned) -> bytes:
    packet = protocol.MysqlPacket(payload, 'utf8')
    packet.advance(1)
    packet.read_length_encoded_integer()
    packet.read_length_encoded_integer()
    before = packet._position  # noqa: SLF001 - the library has no getter
    status = packet.read_uint16()
    packet.advance(2)
    after = packet._position  # noqa: SLF001
    found.in_transaction = bool(status & STATUS_IN_TRANSACTION)
    found.final = not status & STATUS_MORE_RESULTS
    info = b''
    if after < len(payload):
        info = packet.read_length_coded_string() or b''
    if status & STATUS_STATE_CHANGED:
        found.position = _tracked_position(packet.read_length_coded_string())
    kept = status & ~STATUS_STATE_CHANGED
    return b''.join(
        (
            payload[:before],
            kept.to_bytes(2, 'little'),
            payload[before + 2 : after],
            info,
        )
    )


def _tracked_position(state: bytes | None) -> core.Position | None:
    packet = protocol.MysqlPacket(state or b'', 'utf8')
    left = len(state or b'')
    while left > 0:
        kind = packet.read_uint8()
        data = packet.read_length_coded_string() or b''
        left -= 2 + len(data)
        if kind == TRACK_GTIDS:
            inner = protocol.MysqlPacket(data, 'utf8')
            inner.advance(1)
            text = (inner.read_length_coded_string() or b'').decode()
            return gtid.parse_gtid_set(text)[0]
    return None
