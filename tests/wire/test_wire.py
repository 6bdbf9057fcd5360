"""Encoding and decoding of MySQL protocol packets."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from chicoryusher import core
from chicoryusher import wire

SETTINGS = hypothesis.settings(derandomize=True, database=None, deadline=None)


@SETTINGS
@hypothesis.given(
    strategies.lists(strategies.binary(max_size=300), max_size=8),
    strategies.integers(1, 50),
)
def test_packets_are_read_from_fragments_of_any_size(payloads, fragment_size):
    data = b''.join(wire.make_packets(item, 3) for item in payloads)
    framer = wire.PacketReader(1024)
    packets = []
    for offset in range(0, len(data), fragment_size):
        packets += framer.feed(data[offset : offset + fragment_size])
    assert [item.payload for item in packets] == payloads


def test_payload_over_16_mib_is_split_and_joined():
    payload = b'x' * (wire.MAX_PAYLOAD_BYTES + 5)
    packets = wire.PacketReader(1 << 25).feed(wire.make_packets(payload, 0))
    assert [packet.payload for packet in packets] == [payload]


def test_oversize_packet_is_refused_by_its_header():
    with pytest.raises(core.OversizePacket):
        wire.PacketReader(100).feed(wire.make_packets(b'y' * 101)[:4])


@SETTINGS
@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_handshake_decodes_or_raises_malformed_packet(payload):
    try:
        wire.parse_handshake_response(payload)
    except core.MalformedPacket:
        return


@pytest.mark.parametrize('size', [33, 40, 200])
def test_unterminated_handshake_decodes_or_raises_malformed_packet(size):
    capabilities = int(wire.CALLER_CAPABILITIES).to_bytes(4, 'little')
    payload = capabilities + bytes(4) + b'-' + bytes(23)
    payload += b'u' * (size - len(payload))
    try:
        wire.parse_handshake_response(payload)
    except core.MalformedPacket:
        return


def handshake_start():
    capabilities = int(wire.CALLER_CAPABILITIES).to_bytes(4, 'little')
    return capabilities + bytes(4) + b'-' + bytes(23)


@pytest.mark.parametrize(
    'rest',
    [
        b'clerk\0\xff' + b'r' * 20,
        b'clerk\0\xfd\xff\xff\xff',
        b'clerk\0\xfe' + b'\xff' * 8,
        b'clerk\0\x00stock\0method\0\xff',
        b'clerk\0\x00stock\0method\0\xfa\x03key',
    ],
)
def test_handshake_with_lengths_beyond_its_end_is_refused(rest):
    with pytest.raises(core.MalformedPacket):
        wire.parse_handshake_response(handshake_start() + rest)


@SETTINGS
@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_end_of_handshake_decodes_or_raises_malformed_packet(rest):
    try:
        wire.parse_handshake_response(handshake_start() + rest)
    except core.MalformedPacket:
        return


def test_handshake_of_a_driver_is_decoded():
    rest = b'clerk\0\x03abcstock\0caching_sha2_password\0\x08\x03key\x03val'
    hello = wire.parse_handshake_response(handshake_start() + rest)
    assert (hello.user, hello.response) == ('clerk', b'abc')
    assert (hello.database, hello.method) == ('stock', 'caching_sha2_password')
    assert hello.attributes == (('key', 'val'),)


@pytest.mark.parametrize('name', sorted(wire.AUTH_METHODS))
def test_every_method_accepts_only_the_right_password(name):
    nonce = wire.new_nonce()
    response = wire.make_auth_response(name, 'secret', nonce)
    assert wire.verify_auth_response(name, 'secret', nonce, response)
    assert not wire.verify_auth_response(name, 'other', nonce, response)
    assert not wire.verify_auth_response(
        name, 'secret', wire.new_nonce(), response
    )


def test_gtid_set_gives_last_position_and_term_starts():
    last_position, term_starts = wire.parse_gtid_set('u:t1:1-40,u:t3:41-55')
    assert last_position == core.Position(core.Term(3), core.LogPosition(55))
    assert term_starts == (
        core.TermStart(core.Term(1), core.LogPosition(0)),
        core.TermStart(core.Term(3), core.LogPosition(40)),
    )
    assert wire.parse_gtid_set('')[0] == core.ORIGIN


@SETTINGS
@hypothesis.given(strategies.integers(1, 40))
def test_response_ends_with_its_last_packet(fragment_size):
    eof = b'\xfe\x00\x00\x02\x00'
    payloads = [b'\x01', b'def' + b'c' * 20, eof, b'\x011', b'\xfb', eof]
    data = b''.join(
        wire.make_packets(payload, i + 1) for i, payload in enumerate(payloads)
    )
    scanner = wire.ResponseScanner(wire.ResponseKind.RESULT)
    output, final_count = b'', 0
    for offset in range(0, len(data), fragment_size):
        scanned = scanner.feed(data[offset : offset + fragment_size])
        output += scanned.data
        final_count += scanned.final
    assert (output, final_count) == (data, 1)
