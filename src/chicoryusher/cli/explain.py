"""The story of one request, from the log lines of several VMs."""

from __future__ import annotations

import dataclasses
import datetime
import json
from collections.abc import Iterable
from typing import Any

__all__ = ['LogLine', 'NEARBY_EVENTS', 'lines_of', 'story']

# Numbers of events that change what a VM believes: primaries, instances,
# authority, configuration, the platform, peers.
NEARBY_EVENTS = frozenset(
    {
        *range(1001, 1005),
        *range(4009, 4016),
        *range(5001, 5004),
        6002,
        6005,
    }
)
# Numbers of events that tell of connections to one instance.
CONNECTION_EVENTS = frozenset({3002, 3003})
# Numbers of events that hold until the next of their kind: the primary in
# use, and whether primaries may be used.
PRIMARY_EVENT = 4012
STANDING_EVENTS = frozenset({PRIMARY_EVENT, 4014, 4015})
# Seconds before and after the request within which such events are told.
BEFORE = 3.0
AFTER = 0.5
_SHOWN_APART = ('time', 'event', 'vm', 'level', 'message')


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One decoded line of a log; ``when`` is the VM's own time."""

    when: str
    vm: str
    event: int
    message: str
    fields: tuple[tuple[str, str], ...]

    def field(self, name: str) -> str:
        """Return a field's text, empty without one."""
        return dict(self.fields).get(name, '')


def lines_of(texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines in texts; what is none is passed over."""
    found = []
    for text in texts:
        start = text.find('{')
        if start < 0:
            continue
        try:
            document = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(document, dict) and 'event' in document:
            found.append(_line(document))
    return sorted(found, key=lambda one: one.when)


def _line(document: dict[str, Any]) -> LogLine:
    return LogLine(
        str(document.get('time', '')),
        str(document.get('vm', '')),
        int(document['event']),
        str(document.get('message', '')),
        tuple(
            (name, str(value))
            for name, value in document.items()
            if name not in _SHOWN_APART
        ),
    )


def story(lines: list[LogLine], request_id: str) -> list[LogLine]:
    """Return the request's lines and what its VMs believed by then."""
    own = [one for one in lines if one.field('request') == request_id]
    if not own:
        return []
    vms = {one.vm for one in own}
    first, last = _seconds(own[0].when), _seconds(own[-1].when)
    near = [
        one
        for one in lines
        if one.vm in vms
        and first - BEFORE <= _seconds(one.when) <= last + AFTER
        and _concerns(one, own)
    ]
    standing = _standing(lines, own, first - BEFORE)
    return sorted({*own, *near, *standing}, key=lambda one: one.when)


def _standing(
    lines: list[LogLine], own: list[LogLine], until: float
) -> list[LogLine]:
    """Return what still held at a time, however long before it began.

    That is the last word of each VM on the group's primary and on its
    authority.
    """
    last: dict[tuple[str, bool], LogLine] = {}
    vms = {one.vm for one in own}
    for line in lines:
        if _seconds(line.when) >= until or line.vm not in vms:
            continue
        if line.event in STANDING_EVENTS and _concerns(line, own):
            last[line.vm, line.event == PRIMARY_EVENT] = line
    return list(last.values())


def _concerns(line: LogLine, own: list[LogLine]) -> bool:
    """Tell whether a line may have decided what became of a request.

    Lines about other groups, and about connections to instances that the
    request was not sent to, are left out.
    """
    if line.event in CONNECTION_EVENTS:
        return line.field('instance') in _fields(own, 'instance')
    if line.event not in NEARBY_EVENTS:
        return False
    services = _fields(own, 'service')
    service = line.field('service')
    return not service or not services or service in services


def _fields(own: list[LogLine], name: str) -> set[str]:
    return {one.field(name) for one in own} - {'', 'None'}


def _seconds(when: str) -> float:
    try:
        return datetime.datetime.fromisoformat(when).timestamp()
    except ValueError:
        return 0.0
