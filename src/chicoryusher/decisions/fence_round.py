"""Whether a majority of a group rejects everything of earlier terms."""

from __future__ import annotations

from collections.abc import Iterable

from chicoryusher import core

__all__ = ['FenceRound']


class FenceRound:
    """The answers of a group's instances to the fence of one term."""

    def __init__(self, term: core.Term) -> None:
        self._term = term
        self._fenced: dict[core.InstanceName, core.FenceAnswer] = {}
        self._refused_count = 0

    def record(self, answer: core.FenceAnswer, majority: int) -> bool | None:
        """Record an answer; return whether a majority is fenced.

        False means that a majority has refused, None that neither is so.
        """
        if answer.accepted and answer.term == self._term:
            self._fenced[answer.instance] = answer
        else:
            self._refused_count += 1
        if len(self._fenced) >= majority:
            return True
        return False if self._refused_count >= majority else None

    @property
    def fenced(self) -> Iterable[core.FenceAnswer]:
        """Return the answers of the instances that are fenced."""
        return self._fenced.values()
