"""Specification of the rows in which entry VMs register.

One VM starts, serves, leaves and starts again.  A change of primary reads
the VM's row and waits for the VM unless the row has the status ``left``.
Any write may take effect long after it was sent, even after its sender
has ended.  A VM that may use a primary must be waited for.  Labels of
transitions are ``chart.event`` names.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

__all__ = ['MUTANTS', 'Rules', 'registration']

SERVING, LEAVING, LEFT = 'serving', 'leaving', 'left'
UNCONDITIONAL = -1
# Writes of one VM that may be in flight at once.
MAX_PENDING_WRITES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules of the protocol; each mutant drops one of them.

    The status ``left`` is written only over the VM's own row with the
    status ``leaving``, on the condition that this row is unchanged, and
    after the VM has stopped using primaries.  A primary lease needs a row
    with the status ``serving`` or the VM's own present row; a row with the
    status ``leaving`` of an earlier incarnation gives none.
    """

    left_is_conditional: bool = True
    left_requires_leaving: bool = True
    leaving_of_earlier_incarnation_counts: bool = False
    any_row_counts: bool = False
    use_ends_before_left: bool = True


MUTANTS = {
    'left_written_over_any_row': Rules(left_is_conditional=False),
    'left_without_leaving': Rules(left_requires_leaving=False),
    'leaving_row_counts_for_the_next_life': Rules(
        leaving_of_earlier_incarnation_counts=True
    ),
    'any_row_counts': Rules(any_row_counts=True),
    'left_while_still_in_use': Rules(use_ends_before_left=False),
}


class _Row(NamedTuple):
    """A VM's row: the incarnation that wrote it, status and revision."""

    incarnation: int = 0
    status: str = LEFT
    revision: int = 0


class _Write(NamedTuple):
    """A write in flight; ``expected`` is the revision it requires."""

    incarnation: int
    status: str
    expected: int = UNCONDITIONAL


class _State(NamedTuple):
    """The row in the store, the VM, and its writes in flight.

    ``row_read`` is the row that the VM read last, None if it has read none
    since it started.
    """

    row: _Row = _Row()
    incarnation: int = 1
    phase: str = SERVING
    row_read: _Row | None = None
    writes: tuple[_Write, ...] = ()


_Step = tuple[str, _State]


class _Spec:
    """The transitions under the given rules and bounds."""

    def __init__(
        self, rules: Rules, max_incarnations: int, max_writes: int
    ) -> None:
        self.rules = rules
        self.max_incarnations = max_incarnations
        self.max_writes = max_writes

    def steps(self, raw: tuple[object, ...]) -> list[tuple[str, tuple]]:
        """Return every next state with its label."""
        state = _State(*raw)
        next_states = [
            *self._complete_writes(state),
            *self._vm_steps(state),
            *self._restart(state),
        ]
        return [(label, tuple(after)) for label, after in next_states]

    def _complete_writes(self, state: _State) -> Iterator[_Step]:
        """Apply a write in flight at the store, or lose it."""
        for index, write in enumerate(state.writes):
            pending = (*state.writes[:index], *state.writes[index + 1 :])
            without_write = state._replace(writes=pending)
            yield 'feed.failed', without_write
            revision = state.row.revision + 1
            if revision > self.max_writes:
                continue
            if write.expected in (UNCONDITIONAL, state.row.revision):
                row = _Row(write.incarnation, write.status, revision)
                yield 'feed.changed', without_write._replace(row=row)

    def _vm_steps(self, state: _State) -> Iterator[_Step]:
        yield 'feed.whole', state._replace(row_read=state.row)
        if state.phase in (SERVING, LEAVING):
            own_row = _Write(state.incarnation, state.phase)
            if state.row_read is not None and own_row not in state.writes:
                if (
                    state.row_read.incarnation,
                    state.row_read.status,
                ) != own_row[:2]:
                    yield 'feed.quiet', self._send_write(state, own_row)
        if state.phase == SERVING:
            leaving = _Write(state.incarnation, LEAVING)
            after = self._send_write(state, leaving)._replace(phase=LEAVING)
            yield 'entry.terminate', after
        if state.phase == LEAVING:
            yield 'entry.checked', self._leave(state)

    def _send_write(self, state: _State, write: _Write) -> _State:
        if len(state.writes) >= MAX_PENDING_WRITES:
            return state
        return state._replace(writes=(*state.writes, write))

    def _leave(self, state: _State) -> _State:
        row_read = state.row_read
        stopped = state
        if self.rules.use_ends_before_left:
            stopped = state._replace(phase=LEFT)
        if row_read is None:
            return stopped
        is_own_leaving_row = (row_read.incarnation, row_read.status) == (
            state.incarnation,
            LEAVING,
        )
        if not is_own_leaving_row and self.rules.left_requires_leaving:
            return stopped
        expected = UNCONDITIONAL
        if self.rules.left_is_conditional:
            expected = row_read.revision
        return self._send_write(
            stopped, _Write(state.incarnation, LEFT, expected)
        )

    def _restart(self, state: _State) -> Iterator[_Step]:
        """Start the next incarnation, after a kill or after leaving."""
        if state.incarnation < self.max_incarnations:
            yield (
                'entry.knows_enough',
                state._replace(
                    incarnation=state.incarnation + 1,
                    phase=SERVING,
                    row_read=None,
                ),
            )

    def may_use(self, state: _State) -> bool:
        """Return whether the VM's view of its row gives it a primary lease.

        The lease expires some time after the row was read.  A change of
        primary that reads a newer row waits for that time, unless the row
        has the status ``left``.
        """
        row_read = state.row_read
        if state.phase == LEFT or row_read is None:
            return False
        if self.rules.any_row_counts:
            return True
        if (row_read.incarnation, row_read.status) == (
            state.incarnation,
            state.phase,
        ):
            return True
        if (
            row_read.status == LEAVING
            and self.rules.leaving_of_earlier_incarnation_counts
        ):
            return True
        return row_read.status == SERVING

    def users_are_waited_for(self, fields: dict[str, object]) -> bool:
        """No VM that may use a primary has a row that is not waited for."""
        state = _State(**fields)
        return state.row.status != LEFT or not self.may_use(state)


def registration(
    rules: Rules | None = None,
    max_incarnations: int = 2,
    max_writes: int = 4,
) -> minicheck.Protocol:
    """Return the model of one VM within bounds on starts and writes."""
    spec = _Spec(rules or Rules(), max_incarnations, max_writes)
    return minicheck.Protocol(
        name='registration',
        candidate=False,
        fields=_State._fields,
        initial=tuple(_State()),
        transitions=spec.steps,
        invariants={'users_are_waited_for': spec.users_are_waited_for},
    )
