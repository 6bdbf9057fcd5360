"""Clients that misbehave, at the line protocol's front end.

Each test starts an entry process with small limits. A crowd must neither end
it nor take it over its memory or descriptors, and an ordinary request is
answered afterwards.
"""

from __future__ import annotations

import pytest

import crowds
import hostile_clients
from fleet import lines

KIB, MIB = crowds.KIB, crowds.MIB
START = b'START stock u1\r\n'
# The largest message that is allowed, with its line end.
LARGEST = b'QUERY r1 WRITE i1 '.ljust(MIB, b'x') + b'\r\n'


@pytest.fixture
def entry(tmp_path):
    process = hostile_clients.Entry(tmp_path)
    process.start()
    yield process
    process.stop()


def send_crowd(entry, count, data, **options):
    crowd = crowds.Crowd(entry.addresses['callers'], count, data, **options)
    crowd.send()
    entry.settle()
    return crowd


@pytest.mark.parametrize('piece_bytes', [256 * KIB, 1500])
def test_many_large_messages_at_once(entry, piece_bytes):
    entry.primary.released.clear()
    crowd = send_crowd(entry, 48, START + LARGEST, piece_bytes=piece_bytes)
    entry.check_after(crowd)


def test_a_single_message_of_the_largest_size_is_served(entry):
    text = LARGEST.decode().removeprefix('QUERY r1 ').rstrip()
    assert entry.answers(text)
    entry.check_bounds()


def test_a_large_message_in_pieces_of_a_few_bytes(entry):
    crowd = send_crowd(entry, 1, START + LARGEST, piece_bytes=16)
    entry.check_after(crowd)


class CountingBuffer(bytearray):
    """Counts the bytes that are searched for the end of a line."""

    searched = 0

    def __contains__(self, item):
        self.searched += len(self)
        return super().__contains__(item)

    def find(self, item, start=0):
        self.searched += len(self) - start
        return super().find(item, start)


def test_a_line_is_searched_once_for_its_end():
    """Guards against work that grows with the square of a line's length."""
    splitter = lines.LineSplitter()
    splitter._buffer = buffer = CountingBuffer()
    for start in range(0, len(LARGEST) - 8, 8):
        assert splitter.feed(LARGEST[start : start + 8]) == []
    assert buffer.searched < 4 * len(LARGEST)


def test_messages_far_over_the_limit_without_an_end(entry):
    endless = b'QUERY r1 WRITE i1 ' + b'x' * (12 * MIB)
    crowd = send_crowd(entry, 16, START + endless)
    entry.check_after(crowd)


def test_a_start_without_an_end(entry):
    crowd = send_crowd(entry, 80, b'START ' + b'x' * (900 * KIB))
    entry.check_after(crowd)


def test_messages_sent_ahead_of_answers_that_are_not_read(entry):
    crowd = send_crowd(entry, 16, START + b'QUERY r1 READ big\r\n' * 200)
    entry.check_after(crowd)


def test_large_messages_sent_ahead(entry):
    entry.primary.released.clear()
    message = b'QUERY r1 WRITE i1 '.ljust(100 * KIB, b'x') + b'\r\n'
    crowd = send_crowd(entry, 24, START + message * 64)
    entry.check_after(crowd)


def test_small_messages_sent_ahead(entry):
    entry.primary.released.clear()
    crowd = send_crowd(entry, 24, START + b'QUERY r1 READ i1\r\n' * 200_000)
    entry.check_after(crowd)


def test_answers_that_are_not_taken(entry):
    crowd = send_crowd(entry, 96, START + b'QUERY r1 READ big\r\n' * 2)
    entry.check_bounds()
    entry.check_crowd_dropped()
    entry.check_after(crowd)


def test_half_a_message_and_silence(entry):
    half = b'QUERY r1 WRITE i1 ' + b'x' * (900 * KIB)
    crowd = send_crowd(entry, 96, START + half)
    entry.check_bounds()
    entry.check_crowd_dropped()
    entry.check_after(crowd)


def test_a_few_bytes_of_a_message_and_silence(entry):
    crowd = send_crowd(entry, 96, START + b'QUERY')
    entry.check_bounds()
    entry.check_crowd_dropped()
    entry.check_after(crowd)


@pytest.mark.parametrize('data', [b'', START], ids=['silent', 'started'])
def test_connections_that_are_opened_and_left(entry, data):
    crowd = send_crowd(entry, 300, data, reads=bool(data))
    entry.check_after(crowd)


@pytest.mark.parametrize(
    'word', [b'SET n%d ', b'PREPARE n%d WRITE '], ids=['values', 'prepared']
)
def test_values_that_sessions_keep(entry, word):
    data = b''.join(
        b'QUERY r1 ' + (word % number).ljust(900 * KIB, b'x') + b'\r\n'
        for number in range(20)
    )
    crowd = send_crowd(entry, 8, START + data, reads=True)
    entry.check_after(crowd)


def test_prepared_statements_that_connections_keep(entry):
    """Each template is prepared on the connection that runs it."""
    data = b''.join(
        b'QUERY r1 PREPARE n WRITE '.ljust(900 * KIB, b'x')
        + b'%d\r\nQUERY r1 EXECUTE n i1 x\r\nQUERY r1 DEALLOC n\r\n' % number
        for number in range(24)
    )
    crowd = send_crowd(entry, 4, START + data, reads=True)
    entry.check_after(crowd)


def test_a_crowd_behind_large_transactions(entry):
    """Large transactions hold each connection while others wait for them."""
    values = [
        b'QUERY r1 ' + (b'SET n%d ' % number).ljust(900 * KIB, b'x') + b'\r\n'
        for number in range(3)
    ]
    begin = b'QUERY r1 BEGIN\r\nQUERY r1 WRITE i1 x\r\n'
    large = send_crowd(entry, 4, START + b''.join(values) + begin, reads=True)
    entry.primary.released.clear()
    crowd = send_crowd(entry, 24, START + b''.join(values[:2]) + LARGEST)
    entry.check_bounds()
    large.close()
    entry.check_after(crowd)
