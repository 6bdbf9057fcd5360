"""Tagged transaction ids: ``group:tTERM:OFFSET`` as log positions.

A database group writes each transaction under a tag that names its
term, so a set such as ``u:t1:1-40:t2:41-55`` holds the last position
and where each term began.
"""

from __future__ import annotations

import re

from chicoryusher import core

__all__ = ['format_gtid', 'parse_gtid_set']

_TAGGED = re.compile(r':t(\d+)((?::\d+(?:-\d+)?)+)')
_RANGE = re.compile(r'(\d+)(?:-(\d+))?')


def parse_gtid_set(
    text: str,
) -> tuple[core.Position, tuple[core.TermStart, ...]]:
    """Return the last position of a set and the start of each term."""
    last = core.ORIGIN
    starts = []
    for tag, ranges in _TAGGED.findall(text):
        term = core.Term(int(tag))
        bounds = [
            (int(low), int(high or low))
            for low, high in _RANGE.findall(ranges)
        ]
        first = min(low for low, _ in bounds)
        highest = max(high for _, high in bounds)
        starts.append(core.TermStart(term, core.LogPosition(first - 1)))
        last = max(last, core.Position(term, core.LogPosition(highest)))
    return last, tuple(sorted(starts))


def format_gtid(group: str, position: core.Position) -> str:
    """Return the id of the transaction at ``position``."""
    return f'{group}:t{position.term}:{position.offset}'
