"""Packets of the MySQL client/server protocol on a byte stream."""

from __future__ import annotations

from typing import NamedTuple

from mysql_mimic import types

from chicoryusher import core

__all__ = ['HEADER_BYTES', 'MAX_PAYLOAD', 'Framer', 'Packet', 'frame']

HEADER_BYTES = 4
MAX_PAYLOAD = 0xFFFFFF


class Packet(NamedTuple):
    """One whole packet: the last sequence number and the payload."""

    sequence: int
    payload: bytes


class Framer:
    """Cut a byte stream into packets, joining those over 16 MiB.

    ``max_bytes`` bounds one packet; it may be changed at any time.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._buffer = bytearray()
        self._joined = bytearray()

    def feed(self, data: bytes) -> list[Packet]:
        """Add bytes and return the packets they complete.

        Raise OversizePacket once a packet is known to pass the bound.
        """
        buffer = self._buffer
        buffer += data
        packets: list[Packet] = []
        start = 0
        while len(buffer) - start >= HEADER_BYTES:
            size = int.from_bytes(buffer[start : start + 3], 'little')
            if size + len(self._joined) > self.max_bytes:
                raise core.OversizePacket(
                    f'packet of {size} bytes or more, at most'
                    f' {self.max_bytes} are allowed'
                )
            end = start + HEADER_BYTES + size
            if len(buffer) < end:
                break
            sequence = buffer[start + 3]
            payload = bytes(buffer[start + HEADER_BYTES : end])
            start = end
            if size == MAX_PAYLOAD:
                self._joined += payload
                continue
            if self._joined:
                payload = bytes(self._joined) + payload
                self._joined.clear()
            packets.append(Packet(sequence, payload))
        del buffer[:start]
        return packets


def frame(payload: bytes, sequence: int = 0) -> bytes:
    """Return ``payload`` with its header, split where it is too long."""
    parts = []
    while len(payload) >= MAX_PAYLOAD:
        parts.append(_header(MAX_PAYLOAD, sequence) + payload[:MAX_PAYLOAD])
        payload = payload[MAX_PAYLOAD:]
        sequence = (sequence + 1) % 256
    parts.append(_header(len(payload), sequence) + payload)
    return b''.join(parts)


def _header(size: int, sequence: int) -> bytes:
    return types.uint_3(size) + types.uint_1(sequence)
