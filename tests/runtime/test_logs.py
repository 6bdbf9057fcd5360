"""Log lines under load, and with a reader that stops reading."""

from __future__ import annotations

import json
import os

import pytest

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.runtime import logs

SENT = core.LogEvent.STATEMENT_SENT
REFUSED = core.LogEvent.STATEMENT_REFUSED


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    data = b''
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]


def started(writer):
    clock = core.VirtualClock(100.0)
    handler = runtime.BoundedHandler(writer, core.LogLevel.INFO, clock)
    return clock, handler, runtime.Log('vm1', 'desk')


def test_sampled_lines_are_bounded_and_refusals_are_kept(pipe):
    reader, writer = pipe
    clock, handler, log = started(writer)
    lines = []
    with handler.applicationbound():
        for number in range(400):
            log.emit(SENT, request=f'r{number}')
            if number % 10 == 0:
                log.emit(REFUSED, request=f'r{number}')
            lines += read_lines(reader)
    events = [one['event'] for one in lines]
    assert events.count(REFUSED.number) == 40
    assert events.count(SENT.number) == logs.SAMPLED_RATE * logs.SAVED_UP
    assert handler.dropped == 400 - logs.SAMPLED_RATE * logs.SAVED_UP


def test_what_was_dropped_is_counted_once_a_second(pipe):
    reader, writer = pipe
    clock, handler, log = started(writer)
    with handler.applicationbound():
        for number in range(200):
            log.emit(SENT, request=f'r{number}')
        read_lines(reader)
        log.emit(REFUSED, request='a')
        log.emit(SENT, request='b')
        clock.advance_to(clock.now() + logs.NOTE_PAUSE)
        log.emit(REFUSED, request='c')
    notes = [one for one in read_lines(reader) if one['event'] == 0]
    assert [one['lines'] for one in notes] == [120, 1]


def test_a_reader_that_stops_reading_is_not_waited_for(pipe):
    reader, writer = pipe
    clock, handler, log = started(writer)
    with handler.applicationbound():
        for number in range(3000):
            clock.advance_to(clock.now() + 0.1)
            log.emit(REFUSED, request=f'r{number}')
        assert handler.dropped
        dropped = handler.dropped
        lines = read_lines(reader)
        clock.advance_to(clock.now() + 1.0)
        log.emit(REFUSED, request='last')
        lines += read_lines(reader)
    assert lines[-1]['request'] == 'last'
    told = sum(one['lines'] for one in lines if one['event'] == 0)
    assert told == dropped
