"""Packets of the MySQL protocol in a byte stream.

A packet has a header: its size (3 bytes) and a sequence number (1 byte).
A payload of 16 MiB - 1 byte or more is split into packets of that size and
a shorter last one.
"""

from __future__ import annotations

from typing import NamedTuple

from mysql_mimic import types

from chicoryusher import core

__all__ = [
    'HEADER_BYTES',
    'MAX_PAYLOAD_BYTES',
    'PacketReader',
    'Packet',
    'make_packets',
]

HEADER_BYTES = 4
MAX_PAYLOAD_BYTES = 0xFFFFFF


class Packet(NamedTuple):
    """A payload, joined if it was split, and its last sequence number."""

    sequence: int
    payload: bytes


class PacketReader:
    """Splits a byte stream into packets and joins split payloads.

    ``max_bytes`` limits one payload; it may be changed at any time.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._buffer = bytearray()
        self._split_payload = bytearray()

    def __len__(self) -> int:
        """Return how many bytes wait to be returned in packets."""
        return len(self._buffer) + len(self._split_payload)

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def clear(self) -> None:
        """Drop the bytes of all packets."""
        self._buffer = bytearray()
        self._split_payload = bytearray()

    def feed(self, data: bytes) -> list[Packet]:
        """Add bytes and return the packets they complete.

        Raise the error of ``next_packet``.
        """
        self.add(data)
        packets: list[Packet] = []
        while (packet := self.next_packet()) is not None:
            packets.append(packet)
        return packets

    def next_packet(self) -> Packet | None:
        """Remove and return the first packet, None if it is not complete.

        Raise OversizePacket as soon as a header shows that a payload is
        over the limit.
        """
        buffer = self._buffer
        while len(buffer) >= HEADER_BYTES:
            size = int.from_bytes(buffer[:3], 'little')
            if size + len(self._split_payload) > self.max_bytes:
                raise core.OversizePacket(
                    f'packet of {size} bytes or more, at most'
                    f' {self.max_bytes} are allowed'
                )
            end = HEADER_BYTES + size
            if len(buffer) < end:
                return None
            sequence = buffer[3]
            payload = bytes(buffer[HEADER_BYTES:end])
            del buffer[:end]
            if size == MAX_PAYLOAD_BYTES:
                self._split_payload += payload
                continue
            if self._split_payload:
                payload = bytes(self._split_payload) + payload
                self._split_payload.clear()
            return Packet(sequence, payload)
        return None


def make_packets(payload: bytes, sequence: int = 0) -> bytes:
    """Return ``payload`` as packets; split it if it is too long for one."""
    packets = []
    while len(payload) >= MAX_PAYLOAD_BYTES:
        packets.append(
            _header(MAX_PAYLOAD_BYTES, sequence) + payload[:MAX_PAYLOAD_BYTES]
        )
        payload = payload[MAX_PAYLOAD_BYTES:]
        sequence = (sequence + 1) % 256
    packets.append(_header(len(payload), sequence) + payload)
    return b''.join(packets)


def _header(size: int, sequence: int) -> bytes:
    return types.uint_3(size) + types.uint_1(sequence)
