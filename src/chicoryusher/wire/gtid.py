"""Global transaction ids (GTIDs) as log positions.

A database group tags the GTID of each transaction with its term:
``group:tTERM:OFFSET``.  A GTID set such as ``u:t1:1-40:t2:41-55``
therefore shows the last position and where each term began.
"""

from __future__ import annotations

import re

from chicoryusher import core

__all__ = ['format_gtid', 'parse_gtid_set']

_TAGGED_RANGES = re.compile(r':t(\d+)((?::\d+(?:-\d+)?)+)')
_RANGE = re.compile(r'(\d+)(?:-(\d+))?')


def parse_gtid_set(
    text: str,
) -> tuple[core.Position, tuple[core.TermStart, ...]]:
    """Return the last position in a GTID set and the start of each term."""
    last_position = core.ORIGIN
    term_starts = []
    for tag, ranges in _TAGGED_RANGES.findall(text):
        term = core.Term(int(tag))
        ranges_of_term = [
            (int(low), int(high or low))
            for low, high in _RANGE.findall(ranges)
        ]
        lowest = min(low for low, _ in ranges_of_term)
        highest = max(high for _, high in ranges_of_term)
        term_starts.append(core.TermStart(term, core.LogPosition(lowest - 1)))
        last_position = max(
            last_position, core.Position(term, core.LogPosition(highest))
        )
    return last_position, tuple(sorted(term_starts))


def format_gtid(group: str, position: core.Position) -> str:
    """Return the GTID of the transaction at ``position``."""
    return f'{group}:t{position.term}:{position.offset}'
