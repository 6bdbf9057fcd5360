"""Positions in the log of a database group."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from chicoryusher.core import ids

__all__ = ['Position', 'TermStart', 'log_contains', 'ORIGIN']


class Position(NamedTuple):
    """Position in a group's log, ordered by term and then by offset.

    ``term`` is the term in which the log was written up to ``offset``.
    """

    term: ids.Term
    offset: ids.LogPosition


class TermStart(NamedTuple):
    """Offset that the log had when a term began.

    What earlier terms wrote after this offset is lost.
    """

    term: ids.Term
    offset: ids.LogPosition


ORIGIN = Position(ids.Term(0), ids.LogPosition(0))


def log_contains(
    applied: Position, target: Position, starts: Iterable[TermStart]
) -> bool:
    """Return whether a log applied up to ``applied`` contains ``target``.

    A log of a later term contains the position of an earlier term only
    if no term after the earlier one, up to the later one, began below
    that position.  Without the start of any of these terms the answer is
    False, since nothing proves that the log contains the position.
    """
    if applied.offset < target.offset or applied.term < target.term:
        return False
    if applied.term == target.term or target.offset == 0:
        return True
    later_offsets = [
        start.offset
        for start in starts
        if target.term < start.term <= applied.term
    ]
    return bool(later_offsets) and min(later_offsets) >= target.offset
