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
def test_packets_survive_any_cut_of_the_stream(payloads, step):
    data = b''.join(wire.frame(one, 3) for one in payloads)
    framer = wire.Framer(1024)
    found = []
    for place in range(0, len(data), step):
        found += framer.feed(data[place : place + step])
    assert [one.payload for one in found] == payloads


def test_a_packet_over_16_mib_is_joined_again():
    payload = b'x' * (wire.MAX_PAYLOAD + 5)
    found = wire.Framer(1 << 25).feed(wire.frame(payload, 0))
    assert [one.payload for one in found] == [payload]


def test_an_oversize_packet_is_refused_from_its_header():
    with pytest.raises(core.OversizePacket):
        wire.Framer(100).feed(wire.frame(b'y' * 101)[:4])


@SETTINGS
@hypothesis.given(strategies.binary(max_size=200))
def test_any_handshake_is_decoded_or_a_typed_error(payload):
    try:
        wire.parse_hello(payload)
    except core.MalformedPacket:
        return


@pytest.mark.parametrize('size', [33, 40, 200])
def test_a_handshake_without_terminators_ends(size):
    capabilities = int(wire.CALLER_CAPABILITIES).to_bytes(4, 'little')
    payload = capabilities + bytes(4) + b'-' + bytes(23)
    payload += b'u' * (size - len(payload))
    try:
        wire.parse_hello(payload)
    except core.MalformedPacket:
        return


def hello_start():
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
def test_a_handshake_whose_lengths_go_beyond_it_is_refused(rest):
    with pytest.raises(core.MalformedPacket):
        wire.parse_hello(hello_start() + rest)


@SETTINGS
@hypothesis.given(strategies.binary(max_size=200))
def test_any_end_of_a_handshake_is_decoded_or_a_typed_error(rest):
    try:
        wire.parse_hello(hello_start() + rest)
    except core.MalformedPacket:
        return


def test_a_drivers_handshake_is_decoded():
    rest = b'clerk\0\x03abcstock\0caching_sha2_password\0\x08\x03key\x03val'
    hello = wire.parse_hello(hello_start() + rest)
    assert (hello.user, hello.response) == ('clerk', b'abc')
    assert (hello.database, hello.method) == ('stock', 'caching_sha2_password')
    assert hello.attributes == (('key', 'val'),)


@pytest.mark.parametrize('name', sorted(wire.METHODS))
def test_passwords_are_verified_by_every_method(name):
    nonce = wire.new_nonce()
    answer = wire.respond(name, 'secret', nonce)
    assert wire.verify(name, 'secret', nonce, answer)
    assert not wire.verify(name, 'other', nonce, answer)
    assert not wire.verify(name, 'secret', wire.new_nonce(), answer)


def test_transaction_ids_hold_positions_and_term_starts():
    last, starts = wire.parse_gtid_set('u:t1:1-40,u:t3:41-55')
    assert last == core.Position(core.Term(3), core.LogPosition(55))
    assert starts == (
        core.TermStart(core.Term(1), core.LogPosition(0)),
        core.TermStart(core.Term(3), core.LogPosition(40)),
    )
    assert wire.parse_gtid_set('')[0] == core.ORIGIN


@SETTINGS
@hypothesis.given(strategies.integers(1, 40))
def test_an_answer_ends_where_its_last_packet_ends(step):
    eof = b'\xfe\x00\x00\x02\x00'
    parts = [b'\x01', b'def' + b'c' * 20, eof, b'\x011', b'\xfb', eof]
    data = b''.join(wire.frame(p, i + 1) for i, p in enumerate(parts))
    scanner = wire.AnswerScanner(wire.AnswerKind.RESULT)
    out, finals = b'', 0
    for place in range(0, len(data), step):
        found = scanner.feed(data[place : place + step])
        out += found.data
        finals += found.final
    assert (out, finals) == (data, 1)
