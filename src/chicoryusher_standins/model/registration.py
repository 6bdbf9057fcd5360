"""Specification of the rows by which entry VMs are waited for.

One VM starts, serves, leaves and starts again; a change of primary reads
its row and waits for it only if the row says so.  Any write may be done
long after it was sent, and after its sender has gone.  Whoever may use a
primary must be waited for.  Labels are ``chart.event`` names.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

__all__ = ['MUTANTS', 'Rules', 'registration']

SERVING, LEAVING, LEFT = 'serving', 'leaving', 'left'
UNCONDITIONAL = -1
# Writes of one VM that may be under way at once.
MOST_WRITES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """What the protocol demands; a mutant drops one of them."""

    left_is_conditional: bool = True
    left_follows_leaving: bool = True
    leaving_counts_for_own_life: bool = False
    any_row_counts: bool = False
    stops_before_left: bool = True


MUTANTS = {
    'left_written_over_any_row': Rules(left_is_conditional=False),
    'left_without_leaving': Rules(left_follows_leaving=False),
    'leaving_row_counts_for_the_next_life': Rules(
        leaving_counts_for_own_life=True
    ),
    'any_row_counts': Rules(any_row_counts=True),
    'left_while_still_in_use': Rules(stops_before_left=False),
}


class _Row(NamedTuple):
    """A VM's row: which life wrote it, what it says, its revision."""

    life: int = 0
    says: str = LEFT
    revision: int = 0


class _Write(NamedTuple):
    """A write that is under way; ``expected`` is its condition."""

    life: int
    says: str
    expected: int = UNCONDITIONAL


class _State(NamedTuple):
    """The row in the store, the VM, and its writes under way.

    ``seen`` is the row as the VM has last read it, None if it has not.
    """

    row: _Row = _Row()
    life: int = 1
    phase: str = SERVING
    seen: _Row | None = None
    writes: tuple[_Write, ...] = ()


_Step = tuple[str, _State]


class _Spec:
    """Transitions under some rules and bounds."""

    def __init__(self, rules: Rules, lives: int, revisions: int) -> None:
        self.rules = rules
        self.lives = lives
        self.revisions = revisions

    def steps(self, raw: tuple[object, ...]) -> list[tuple[str, tuple]]:
        """Return every labelled next state."""
        state = _State(*raw)
        found = [*self._store(state), *self._vm(state), *self._end(state)]
        return [(label, tuple(after)) for label, after in found]

    def _store(self, state: _State) -> Iterator[_Step]:
        """Do a write that is under way, or lose it."""
        for place, write in enumerate(state.writes):
            rest = (*state.writes[:place], *state.writes[place + 1 :])
            without = state._replace(writes=rest)
            yield 'feed.failed', without
            revision = state.row.revision + 1
            if revision > self.revisions:
                continue
            if write.expected in (UNCONDITIONAL, state.row.revision):
                row = _Row(write.life, write.says, revision)
                yield 'feed.changed', without._replace(row=row)

    def _vm(self, state: _State) -> Iterator[_Step]:
        yield 'feed.whole', state._replace(seen=state.row)
        if state.phase in (SERVING, LEAVING):
            own = _Write(state.life, state.phase)
            if state.seen is not None and own not in state.writes:
                if (state.seen.life, state.seen.says) != own[:2]:
                    yield 'feed.quiet', self._send(state, own)
        if state.phase == SERVING:
            leaving = _Write(state.life, LEAVING)
            after = self._send(state, leaving)._replace(phase=LEAVING)
            yield 'entry.terminate', after
        if state.phase == LEAVING:
            yield 'entry.empty', self._leave(state)

    def _send(self, state: _State, write: _Write) -> _State:
        if len(state.writes) >= MOST_WRITES:
            return state
        return state._replace(writes=(*state.writes, write))

    def _leave(self, state: _State) -> _State:
        seen = state.seen
        gone = state
        if self.rules.stops_before_left:
            gone = state._replace(phase=LEFT)
        if seen is None:
            return gone
        own = (seen.life, seen.says) == (state.life, LEAVING)
        if not own and self.rules.left_follows_leaving:
            return gone
        expected = UNCONDITIONAL
        if self.rules.left_is_conditional:
            expected = seen.revision
        return self._send(gone, _Write(state.life, LEFT, expected))

    def _end(self, state: _State) -> Iterator[_Step]:
        """Start again, killed at any time or after having left."""
        if state.life < self.lives:
            yield (
                'entry.knows_enough',
                state._replace(life=state.life + 1, phase=SERVING, seen=None),
            )

    def may_use(self, state: _State) -> bool:
        """Tell whether the VM's view of its row gives it authority.

        The view lapses a while after it was read; a change that reads a
        newer row waits for that long unless the row says ``left``.
        """
        seen = state.seen
        if state.phase == LEFT or seen is None:
            return False
        if self.rules.any_row_counts:
            return True
        if (seen.life, seen.says) == (state.life, state.phase):
            return True
        if seen.says == LEAVING and self.rules.leaving_counts_for_own_life:
            return True
        return seen.says == SERVING

    def users_are_waited_for(self, fields: dict[str, object]) -> bool:
        """Whoever may use a primary has a row that is waited for."""
        state = _State(**fields)
        return state.row.says != LEFT or not self.may_use(state)


def registration(
    rules: Rules | None = None, lives: int = 2, revisions: int = 4
) -> minicheck.Protocol:
    """Return the specification of one VM over some lives and writes."""
    spec = _Spec(rules or Rules(), lives, revisions)
    return minicheck.Protocol(
        name='registration',
        candidate=False,
        fields=_State._fields,
        initial=tuple(_State()),
        transitions=spec.steps,
        invariants={'users_are_waited_for': spec.users_are_waited_for},
    )
