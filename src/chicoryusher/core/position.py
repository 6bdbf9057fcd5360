"""Log positions: a term and an offset in that term's log."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from chicoryusher.core import ids

__all__ = ['Position', 'TermStart', 'covers', 'ORIGIN']


class Position(NamedTuple):
    """Offset in a group's log, ordered by term and then by offset."""

    term: ids.Term
    offset: ids.LogPosition


class TermStart(NamedTuple):
    """Offset that the log had when a term began.

    Offsets past it that were written in an earlier term are lost.
    """

    term: ids.Term
    offset: ids.LogPosition


ORIGIN = Position(ids.Term(0), ids.LogPosition(0))


def covers(
    applied: Position, wanted: Position, starts: Iterable[TermStart]
) -> bool:
    """Tell whether a log at ``applied`` contains ``wanted``.

    A later term contains an earlier position only if no term between
    them began below that position; an unknown term start proves nothing.
    """
    if applied.offset < wanted.offset or applied.term < wanted.term:
        return False
    if applied.term == wanted.term or wanted.offset == 0:
        return True
    later = [
        one.offset for one in starts if wanted.term < one.term <= applied.term
    ]
    return bool(later) and min(later) >= wanted.offset
