"""Timeline of one request, from the log lines of several VMs."""

from __future__ import annotations

import dataclasses
import datetime
import json
from collections.abc import Iterable
from typing import Any

__all__ = ['LogLine', 'STATE_EVENTS', 'parse_log_lines', 'request_timeline']

# Numbers of the events that change the state that a VM routes by: primaries,
# instances, the primary lease, configuration, the platform, peers.
STATE_EVENTS = frozenset(
    {
        *range(1001, 1005),
        *range(4009, 4016),
        4030,
        *range(5001, 5004),
        5020,
        5021,
        6002,
        6005,
    }
)
# Numbers of the events about connections to one instance.
CONNECTION_EVENTS = frozenset({3002, 3003})
# Numbers of the events that set a state until the next such event: the primary
# in use, and whether the VM has the primary lease.
PRIMARY_EVENT = 4012
LASTING_EVENTS = frozenset({PRIMARY_EVENT, 4014, 4015})
# The timeline includes state events up to this long before the first and after
# the last line of the request.
SECONDS_BEFORE = 3.0
SECONDS_AFTER = 0.5
_SEPARATE_FIELDS = ('time', 'event', 'vm', 'level', 'message')


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One decoded log line; ``logged_at`` is the time of its VM's clock."""

    logged_at: str
    vm: str
    event: int
    message: str
    fields: tuple[tuple[str, str], ...]

    def field_text(self, name: str) -> str:
        """Return the text of a field, empty if the line does not have it."""
        return dict(self.fields).get(name, '')


def parse_log_lines(texts: Iterable[str]) -> list[LogLine]:
    """Decode the log lines in texts, sorted by time; skip other texts."""
    parsed = []
    for text in texts:
        start = text.find('{')
        if start < 0:
            continue
        try:
            document = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(document, dict) and 'event' in document:
            parsed.append(_to_log_line(document))
    return sorted(parsed, key=lambda line: line.logged_at)


def _to_log_line(document: dict[str, Any]) -> LogLine:
    return LogLine(
        str(document.get('time', '')),
        str(document.get('vm', '')),
        int(document['event']),
        str(document.get('message', '')),
        tuple(
            (name, str(value))
            for name, value in document.items()
            if name not in _SEPARATE_FIELDS
        ),
    )


def request_timeline(lines: list[LogLine], request_id: str) -> list[LogLine]:
    """Return the request's lines and those about the state of its VMs.

    Empty if no line names the request.
    """
    request_lines = [
        line for line in lines if line.field_text('request') == request_id
    ]
    if not request_lines:
        return []
    vms = {line.vm for line in request_lines}
    first, last = (
        _timestamp(request_lines[0].logged_at),
        _timestamp(request_lines[-1].logged_at),
    )
    nearby = [
        line
        for line in lines
        if line.vm in vms
        and first - SECONDS_BEFORE
        <= _timestamp(line.logged_at)
        <= last + SECONDS_AFTER
        and _may_concern(line, request_lines)
    ]
    lasting = _lasting_before(lines, request_lines, first - SECONDS_BEFORE)
    return sorted(
        {*request_lines, *nearby, *lasting}, key=lambda line: line.logged_at
    )


def _lasting_before(
    lines: list[LogLine], request_lines: list[LogLine], before: float
) -> list[LogLine]:
    """Return the lines that set the state of the VMs at a time.

    These are, for each VM of the request, the last line about the group's
    primary and the last one about the VM's primary lease, however old.
    """
    last: dict[tuple[str, bool], LogLine] = {}
    vms = {entry.vm for entry in request_lines}
    for line in lines:
        if _timestamp(line.logged_at) >= before or line.vm not in vms:
            continue
        if line.event in LASTING_EVENTS and _may_concern(line, request_lines):
            last[line.vm, line.event == PRIMARY_EVENT] = line
    return list(last.values())


def _may_concern(line: LogLine, request_lines: list[LogLine]) -> bool:
    """Return whether a line may explain the outcome of a request.

    Lines about other groups, and about connections to instances that the
    request was not sent to, are left out.
    """
    if line.event in CONNECTION_EVENTS:
        return line.field_text('instance') in _field_texts(
            request_lines, 'instance'
        )
    if line.event not in STATE_EVENTS:
        return False
    services = _field_texts(request_lines, 'service')
    service = line.field_text('service')
    return not service or not services or service in services


def _field_texts(request_lines: list[LogLine], name: str) -> set[str]:
    return {line.field_text(name) for line in request_lines} - {'', 'None'}


def _timestamp(logged_at: str) -> float:
    try:
        return datetime.datetime.fromisoformat(logged_at).timestamp()
    except ValueError:
        return 0.0
