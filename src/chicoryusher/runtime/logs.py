"""Structured logs: one JSON object a line, each with an event number."""

from __future__ import annotations

import contextlib
import json
import os
import sys
from typing import Any
from typing import TextIO

import logbook

from chicoryusher import core

__all__ = ['BoundedHandler', 'Log', 'to_stream']

# Lines a second of events that are sampled; 20 us each make 0.1% of a core.
SAMPLED_RATE = 40.0
# Lines a second of all other events; a VM that refuses everything at its
# usual load of 50 statements a second stays below.
LINE_RATE = 400.0
# Seconds for which an unused rate is saved up.
SAVED_UP = 2.0
# Seconds between lines that count what was dropped.
NOTE_PAUSE = 1.0
_LEVELS = {
    core.LogLevel.DEBUG: logbook.DEBUG,
    core.LogLevel.INFO: logbook.INFO,
    core.LogLevel.WARNING: logbook.WARNING,
    core.LogLevel.ERROR: logbook.ERROR,
}


class Log:
    """Writer of numbered events for one task of one VM."""

    def __init__(self, vm: str, task: str) -> None:
        self._logger = logbook.Logger(task)
        self._vm = vm

    def emit(self, event: core.LogEvent, **fields: Any) -> None:
        """Write ``event`` with its fields; never pass a secret."""
        self._logger.log(
            _LEVELS[event.level],
            event.meaning,
            extra={'number': event.number, 'vm': self._vm, 'fields': fields},
        )


def _format(record: logbook.LogRecord, handler: logbook.Handler) -> str:
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


def to_stream(
    level: core.LogLevel, stream: TextIO | None = None
) -> logbook.Handler:
    """Return a handler that writes JSON lines to ``stream`` (stderr)."""
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=_LEVELS[level], bubble=False
    )
    handler.formatter = _format
    return handler


class _Allowance:
    """Lines that may be written: a rate a second, and what was saved up."""

    def __init__(self, clock: core.Clock, rate: float) -> None:
        self._clock = clock
        self._rate = rate
        self._left = rate * SAVED_UP
        self._at = clock.now()

    def take(self) -> bool:
        """Take one line; False if none is left."""
        now = self._clock.now()
        earned = (now - self._at) * self._rate
        self._left = min(self._rate * SAVED_UP, self._left + earned)
        self._at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class BoundedHandler(logbook.Handler):
    """Write JSON lines to a descriptor, and never wait for its reader.

    Lines over an allowance, and lines that the descriptor does not take
    at once, are dropped.  A line of its own counts them, once a second.
    """

    def __init__(
        self, fileno: int, level: core.LogLevel, clock: core.Clock
    ) -> None:
        super().__init__(_LEVELS[level])
        os.set_blocking(fileno, False)
        self._fileno = fileno
        self._clock = clock
        self._rest = b''
        self._sampled = _Allowance(clock, SAMPLED_RATE)
        self._others = _Allowance(clock, LINE_RATE)
        self._untold = 0
        self._told_at = float('-inf')
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        if not self._allowed(record) or not self._flush_rest():
            self._drop()
            return
        data = self._note() + _format(record, self).encode() + b'\n'
        if self._write(data):
            self._note_written()
        else:
            self._drop()

    def _allowed(self, record: logbook.LogRecord) -> bool:
        sampled = record.extra['number'] in core.SAMPLED_EVENTS
        allowance = self._sampled if sampled else self._others
        return allowance.take()

    def _drop(self) -> None:
        self.dropped += 1
        self._untold += 1

    def _note(self) -> bytes:
        """Return a line that counts what was dropped, if it is time."""
        if not self._untold or self._clock.now() - self._told_at < NOTE_PAUSE:
            return b''
        note = {'event': 0, 'message': 'dropped', 'lines': self._untold}
        return json.dumps(note).encode() + b'\n'

    def _note_written(self) -> None:
        now = self._clock.now()
        if self._untold and now - self._told_at >= NOTE_PAUSE:
            self._untold = 0
            self._told_at = now

    def _flush_rest(self) -> bool:
        return not self._rest or self._write(b'')

    def _write(self, data: bytes) -> bool:
        """Write what is left of a line, then ``data``; all or its start."""
        sent = 0
        data = self._rest + data
        with contextlib.suppress(BlockingIOError, BrokenPipeError):
            sent = os.write(self._fileno, data)
        if sent == 0:
            return False
        self._rest = data[sent:]
        return True
