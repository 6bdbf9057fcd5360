"""Find the end of an instance's response without decoding its rows.

The bytes are passed on to the caller unchanged, with one exception: the
session state is removed from the OK packet that ends a response, since the
caller did not ask for session tracking.
"""

from __future__ import annotations

import dataclasses
import enum

from pymysql import protocol

from chicoryusher import core
from chicoryusher.wire import framing
from chicoryusher.wire import gtid

__all__ = ['ResponseKind', 'ResponseScanner', 'ScanResult', 'error_code']

# The first byte of a payload shows the kind of packet.
OK_PACKET = 0x00
EOF_PACKET = 0xFE
ERROR_PACKET = 0xFF
LOCAL_INFILE_PACKET = 0xFB
# Shorter payloads that begin with 0xFE are EOF packets, others are rows.
EOF_SIZE_LIMIT_BYTES = 9
# Server status flags.
STATUS_IN_TRANSACTION = 0x0001
STATUS_MORE_RESULTS = 0x0008
STATUS_SESSION_STATE_CHANGED = 0x4000
# Kind of tracked session state that holds GTIDs.
SESSION_TRACK_GTIDS = 3
# Place of the status flags in the payload of an EOF packet.
EOF_STATUS_OFFSET_BYTES = 3


class ResponseKind(enum.Enum):
    """Form of the response to a command.

    RESULT is an OK packet or result sets, PREPARED the response to
    COM_STMT_PREPARE.
    """

    RESULT = 'result'
    PREPARED = 'prepared'


class _Stage(enum.Enum):
    """Part of the response to which the next packet belongs."""

    FIRST = 'first'
    DEFINITIONS = 'definitions'
    ROWS = 'rows'
    FINISHED = 'finished'


@dataclasses.dataclass(slots=True)
class ScanResult:
    """Bytes to pass on, and how the response ended if it did.

    ``position`` is the log position that the instance reported with the
    response, ``statement_id`` the id of a newly prepared statement.
    """

    data: bytes
    final: bool = False
    error_code: int = 0
    in_transaction: bool = False
    position: core.Position | None = None
    statement_id: int = 0


class ResponseScanner:
    """Scanner of one response, from its first packet to its last."""

    def __init__(self, kind: ResponseKind) -> None:
        self._kind = kind
        self._stage = _Stage.FIRST
        self._remaining_blocks = 0
        self._buffer = bytearray()
        self._packet_continues = False

    def feed(self, data: bytes) -> ScanResult:
        """Add bytes; return the packets they complete, up to the last one.

        Raise ProtocolError if the instance asks the client for a local
        file, which is not supported.
        """
        buffer = self._buffer
        buffer += data
        scanned = ScanResult(b'')
        start = 0
        rewritten: list[bytes] = []
        copied = 0
        to_int = int.from_bytes
        while len(buffer) - start >= framing.HEADER_BYTES:
            size = to_int(buffer[start : start + 3], 'little')
            end = start + framing.HEADER_BYTES + size
            if len(buffer) < end:
                break
            replacement = self._scan_packet(start, end, scanned)
            if replacement is not None:
                rewritten.append(bytes(buffer[copied:start]))
                rewritten.append(replacement)
                copied = end
            start = end
            if scanned.final:
                break
        rewritten.append(bytes(buffer[copied:start]))
        del buffer[:start]
        scanned.data = b''.join(rewritten)
        return scanned

    def _scan_packet(
        self, start: int, end: int, scanned: ScanResult
    ) -> bytes | None:
        """Scan one packet; return its replacement, or None to keep it."""
        size = end - start - framing.HEADER_BYTES
        continuation = self._packet_continues
        self._packet_continues = size == framing.MAX_PAYLOAD_BYTES
        if continuation:
            return None
        first = self._buffer[start + framing.HEADER_BYTES] if size else 0
        if first == ERROR_PACKET:
            self._finish(scanned)
            scanned.error_code = error_code(
                bytes(self._buffer[start + framing.HEADER_BYTES : end])
            )
            return None
        if self._stage is _Stage.ROWS:
            if first == EOF_PACKET and size < EOF_SIZE_LIMIT_BYTES:
                self._on_end_of_rows(start, scanned)
            return None
        if self._stage is _Stage.DEFINITIONS:
            if first == EOF_PACKET and size < EOF_SIZE_LIMIT_BYTES:
                self._on_end_of_block(scanned)
            return None
        return self._scan_first_packet(first, start, end, scanned)

    def _scan_first_packet(
        self, first: int, start: int, end: int, scanned: ScanResult
    ) -> bytes | None:
        payload = bytes(self._buffer[start + framing.HEADER_BYTES : end])
        if first == LOCAL_INFILE_PACKET:
            raise core.ProtocolError('the instance asked for a local file')
        if first != OK_PACKET:
            self._stage = _Stage.DEFINITIONS
            return None
        if self._kind is ResponseKind.PREPARED:
            self._scan_prepared(payload, scanned)
            return None
        stripped = _read_ok(payload, scanned)
        if not scanned.final:
            self._stage = _Stage.FIRST
            return None
        self._stage = _Stage.FINISHED
        return framing.make_packets(stripped, self._buffer[start + 3])

    def _scan_prepared(self, payload: bytes, scanned: ScanResult) -> None:
        """Read the first packet of the response to COM_STMT_PREPARE.

        A block of definitions follows for the parameters, if there are
        any, and one for the columns.
        """
        packet = protocol.MysqlPacket(payload, 'utf8')
        packet.advance(1)
        scanned.statement_id = packet.read_uint32()
        columns = packet.read_uint16()
        params = packet.read_uint16()
        self._remaining_blocks = bool(columns) + bool(params)
        if self._remaining_blocks:
            self._stage = _Stage.DEFINITIONS
            return
        self._finish(scanned)

    def _on_end_of_block(self, scanned: ScanResult) -> None:
        """Handle the EOF packet after a block of definitions."""
        if self._kind is ResponseKind.RESULT:
            self._stage = _Stage.ROWS
            return
        self._remaining_blocks -= 1
        if not self._remaining_blocks:
            self._finish(scanned)

    def _on_end_of_rows(self, start: int, scanned: ScanResult) -> None:
        """Handle the EOF packet after the rows of a result set."""
        offset = start + framing.HEADER_BYTES + EOF_STATUS_OFFSET_BYTES
        status = int.from_bytes(self._buffer[offset : offset + 2], 'little')
        scanned.in_transaction = bool(status & STATUS_IN_TRANSACTION)
        if status & STATUS_MORE_RESULTS:
            self._stage = _Stage.FIRST
            return
        self._finish(scanned)

    def _finish(self, scanned: ScanResult) -> None:
        scanned.final = True
        self._stage = _Stage.FINISHED


def error_code(payload: bytes) -> int:
    """Return the error number of an error packet's payload."""
    return int.from_bytes(payload[1:3], 'little')


def _read_ok(payload: bytes, scanned: ScanResult) -> bytes:
    """Read an OK packet; return its payload without session state."""
    packet = protocol.MysqlPacket(payload, 'utf8')
    packet.advance(1)
    packet.read_length_encoded_integer()
    packet.read_length_encoded_integer()
    status_start = packet._position  # noqa: SLF001 - the library has no getter
    status = packet.read_uint16()
    packet.advance(2)
    status_end = packet._position  # noqa: SLF001
    scanned.in_transaction = bool(status & STATUS_IN_TRANSACTION)
    scanned.final = not status & STATUS_MORE_RESULTS
    info = b''
    if status_end < len(payload):
        info = packet.read_length_coded_string() or b''
    if status & STATUS_SESSION_STATE_CHANGED:
        scanned.position = _tracked_position(packet.read_length_coded_string())
    cleared = status & ~STATUS_SESSION_STATE_CHANGED
    return b''.join(
        (
            payload[:status_start],
            cleared.to_bytes(2, 'little'),
            payload[status_start + 2 : status_end],
            info,
        )
    )


def _tracked_position(state: bytes | None) -> core.Position | None:
    """Return the last log position in tracked session state, if any."""
    packet = protocol.MysqlPacket(state or b'', 'utf8')
    remaining = len(state or b'')
    while remaining > 0:
        kind = packet.read_uint8()
        data = packet.read_length_coded_string() or b''
        remaining -= 2 + len(data)
        if kind == SESSION_TRACK_GTIDS:
            inner = protocol.MysqlPacket(data, 'utf8')
            inner.advance(1)
            text = (inner.read_length_coded_string() or b'').decode()
            return gtid.parse_gtid_set(text)[0]
    return None
