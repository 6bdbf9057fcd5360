"""Structured logs: one JSON object a line, each with an event number."""

from __future__ import annotations

import json
import sys
from typing import Any
from typing import TextIO

import logbook

from chicoryusher import core

__all__ = ['Log', 'to_stream']

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
