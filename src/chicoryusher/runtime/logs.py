"""Structured logs: a JSON object per line, with an event number."""

from __future__ import annotations

import contextlib
import json
import os
import sys
from typing import Any
from typing import TextIO

import logbook

from chicoryusher import core

__all__ = ['RateLimitedHandler', 'Log', 'json_handler']

# Rate limit of sampled events.  At 20 us a line they use 0.1% of a core.
MAX_SAMPLED_LINES_PER_S = 40.0
# Rate limit of all other events.  A VM that refuses every statement at its
# usual load of 50 statements a second stays below it.
MAX_OTHER_LINES_PER_S = 400.0
# A token bucket holds at most the lines of this many seconds.
MAX_BURST_S = 2.0
# Minimum time between lines that report the number of dropped lines.
DROP_REPORT_INTERVAL_S = 1.0
_LEVELS = {
    core.LogLevel.DEBUG: logbook.DEBUG,
    core.LogLevel.INFO: logbook.INFO,
    core.LogLevel.WARNING: logbook.WARNING,
    core.LogLevel.ERROR: logbook.ERROR,
}


class Log:
    """Writer of log events for one task of one VM."""

    def __init__(self, vm: str, task: str) -> None:
        self._logger = logbook.Logger(task)
        self._vm = vm

    def emit(self, event: core.LogEvent, **fields: Any) -> None:
        """Write ``event`` with its fields, which must not hold a secret."""
        self._logger.log(
            _LEVELS[event.level],
            event.meaning,
            extra={'number': event.number, 'vm': self._vm, 'fields': fields},
        )


def _format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    line = {
        'time': record.time.isoformat(timespec='milliseconds'),
        'level': record.level_name.lower(),
        'event': record.extra['number'] or 0,
        'vm': record.extra['vm'] or '',
        'task': record.channel,
        'message': record.message,
    }
    line.update(record.extra['fields'] or {})
    return json.dumps(line, default=str)


def json_handler(
    level: core.LogLevel, stream: TextIO | None = None
) -> logbook.Handler:
    """Return a handler that writes JSON lines; the default is stderr."""
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=_LEVELS[level], bubble=False
    )
    handler.formatter = _format_json
    return handler


class _TokenBucket:
    """Token bucket that limits the rate of lines but allows bursts."""

    def __init__(self, clock: core.Clock, lines_per_s: float) -> None:
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._tokens = lines_per_s * MAX_BURST_S
        self._refilled_at = clock.now()

    def try_take(self) -> bool:
        """Return whether a line may be written now, and count it if so."""
        now = self._clock.now()
        gained = (now - self._refilled_at) * self._lines_per_s
        self._tokens = min(
            self._lines_per_s * MAX_BURST_S, self._tokens + gained
        )
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RateLimitedHandler(logbook.Handler):
    """Write JSON lines to a descriptor without waiting for its reader.

    Lines over the rate limit are dropped, and so are lines that cannot be
    written at once.  A separate line reports how many were dropped, at most
    once a second.
    """

    def __init__(
        self, fileno: int, level: core.LogLevel, clock: core.Clock
    ) -> None:
        super().__init__(_LEVELS[level])
        os.set_blocking(fileno, False)
        self._fileno = fileno
        self._clock = clock
        self._unwritten = b''
        self._sampled_bucket = _TokenBucket(clock, MAX_SAMPLED_LINES_PER_S)
        self._other_bucket = _TokenBucket(clock, MAX_OTHER_LINES_PER_S)
        self._unreported_drops = 0
        self._reported_at = float('-inf')
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        if not self._allowed(record) or not self._flush_unwritten():
            self._count_dropped()
            return
        data = (
            self._drop_report() + _format_json(record, self).encode() + b'\n'
        )
        if self._write(data):
            self._on_report_written()
        else:
            self._count_dropped()

    def _allowed(self, record: logbook.LogRecord) -> bool:
        """Return whether the rate limit of the event allows the line."""
        sampled = record.extra['number'] in core.SAMPLED_EVENTS
        bucket = self._sampled_bucket if sampled else self._other_bucket
        return bucket.try_take()

    def _count_dropped(self) -> None:
        self.dropped += 1
        self._unreported_drops += 1

    def _drop_report(self) -> bytes:
        """Return the line that reports dropped lines, or b'' if not due."""
        if (
            not self._unreported_drops
            or self._clock.now() - self._reported_at < DROP_REPORT_INTERVAL_S
        ):
            return b''
        report = {
            'event': 0,
            'message': 'dropped',
            'lines': self._unreported_drops,
        }
        return json.dumps(report).encode() + b'\n'

    def _on_report_written(self) -> None:
        now = self._clock.now()
        if (
            self._unreported_drops
            and now - self._reported_at >= DROP_REPORT_INTERVAL_S
        ):
            self._unreported_drops = 0
            self._reported_at = now

    def _flush_unwritten(self) -> bool:
        return not self._unwritten or self._write(b'')

    def _write(self, data: bytes) -> bool:
        """Write the end of an earlier line that was cut off, then ``data``.

        Return False if nothing was written.  After a partial write, the
        remainder is kept for the next call.
        """
        sent = 0
        data = self._unwritten + data
        with contextlib.suppress(BlockingIOError, BrokenPipeError):
            sent = os.write(self._fileno, data)
        if sent == 0:
            return False
        self._unwritten = data[sent:]
        return True
