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


class BoundedHandler(logbook.Handler):
    """Write JSON lines to a descriptor, and never wait for its reader.

    Lines that the descriptor does not take at once are dropped; the
    next line that goes out is preceded by one that counts them.
    """

    def __init__(self, fileno: int, level: core.LogLevel) -> None:
        super().__init__(_LEVELS[level])
        os.set_blocking(fileno, False)
        self._fileno = fileno
        self._rest = b''
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        if self._rest and not self._write(b''):
            self.dropped += 1
            return
        data = _format(record, self).encode() + b'\n'
        if self.dropped:
            note = {'event': 0, 'message': 'dropped', 'lines': self.dropped}
            data = json.dumps(note).encode() + b'\n' + data
        if self._write(data):
            self.dropped = 0
        else:
            self.dropped += 1

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
