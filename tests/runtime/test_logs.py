"""Rate limit of log lines, and a reader that stops reading."""

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


def make_log(writer):
    clock = core.VirtualClock(100.0)
    handler = runtime.RateLimitedHandler(writer, core.LogLevel.INFO, clock)
    return clock, handler, runtime.Log('vm1', 'desk')


def test_sampled_events_are_rate_limited_apart_from_others(pipe):
    reader, writer = pipe
    clock, handler, log = make_log(writer)
    lines = []
    with handler.applicationbound():
        for number in range(400):
            log.emit(SENT, request=f'r{number}')
            if number % 10 == 0:
                log.emit(REFUSED, request=f'r{number}')
            lines += read_lines(reader)
    events = [line['event'] for line in lines]
    assert events.count(REFUSED.number) == 40
    assert (
        events.count(SENT.number)
        == logs.MAX_SAMPLED_LINES_PER_S * logs.MAX_BURST_S
    )
    assert (
        handler.dropped
        == 400 - logs.MAX_SAMPLED_LINES_PER_S * logs.MAX_BURST_S
    )


def test_number_of_dropped_lines_is_reported_once_a_second(pipe):
    reader, writer = pipe
    clock, handler, log = make_log(writer)
    with handler.applicationbound():
        for number in range(200):
            log.emit(SENT, request=f'r{number}')
        read_lines(reader)
        log.emit(REFUSED, request='a')
        log.emit(SENT, request='b')
        clock.advance_to(clock.now() + logs.DROP_REPORT_INTERVAL_S)
        log.emit(REFUSED, request='c')
    reports = [line for line in read_lines(reader) if line['event'] == 0]
    assert [line['lines'] for line in reports] == [120, 1]


def test_full_pipe_drops_lines_instead_of_blocking(pipe):
    reader, writer = pipe
    clock, handler, log = make_log(writer)
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
    reported = sum(line['lines'] for line in lines if line['event'] == 0)
    assert reported == dropped
