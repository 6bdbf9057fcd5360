"""Specification of leases by grants while another VM joins.

Two VMs hold leases; a third one registers meanwhile and replaces the
primary.  The holders may be cut off from the store and from the joiner,
alone or together, and may restart under their names.  A VM that has
restarted gets a lease from the store only.  Labels of transitions are
``chart.event`` names followed by the VM; ``time.passes`` is a clock tick.
"""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

__all__ = ['MUTANTS', 'Rules', 'joining']

HOLDERS = (0, 1)
NOBODY = -1
# Ticks for which a view of the store or a grant allows the use of a primary.
LEASE_TICKS = 2
# Ticks after its last confirmation for which a list of VMs serves for grants.
LIST_TICKS = 1
# Ticks after which a mark ends the wait for a VM.
MARK_TICKS = LEASE_TICKS
# Ages are counted up to these limits, which keeps the state space finite; no
# rule compares an age with a larger number.
MAX_LIST_AGE_TICKS = LIST_TICKS + LEASE_TICKS


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules of the protocol; each mutant drops one of them.

    Grants extend a lease only while the list of VMs was confirmed at most
    ``LIST_TICKS`` ago.  A coordinator counts on the end of a silent VM's
    lease only if that VM has shown a list with the coordinator, or has it
    by the time since the coordinator's registration, or if a VM in its list
    has had the closing row for a lease's duration.  A VM that starts knows
    no closing row that an earlier process has confirmed.  A VM is marked as
    missing only by a VM that it lists, and a marked VM gets no grant.
    """

    list_expires: bool = True
    silent_must_list: bool = True
    joiner_waits_for_lists: bool = True
    witness_counts_since_row: bool = True
    marker_must_be_listed: bool = True
    marked_gets_no_grant: bool = True
    every_listed_vm_grants: bool = True


MUTANTS = {
    'list_of_any_age': Rules(list_expires=False),
    'silent_vm_lists_nobody': Rules(silent_must_list=False),
    'joiner_listed_at_once': Rules(joiner_waits_for_lists=False),
    'witness_counts_from_the_claim': Rules(witness_counts_since_row=False),
    'mark_by_an_unlisted_vm': Rules(marker_must_be_listed=False),
    'grant_to_a_marked_vm': Rules(marked_gets_no_grant=False),
    'grant_of_one_vm': Rules(every_listed_vm_grants=False),
}


class _Holder(NamedTuple):
    """One holder: its lease, its list of VMs and what the joiner knows.

    ``age`` and ``list_age`` are those of the lease and of the list.
    ``closed_for`` is for how long the present process has had the closing
    row, -1 without it.  ``shown`` is whether the joiner has seen a list with
    itself, ``fenced`` whether the VM has confirmed the fence, and
    ``marked_for`` the age of the mark, -1 without one.
    """

    age: int = 0
    list_age: int = 0
    lists_joiner: bool = False
    cut: bool = False
    started: bool = True
    closed_for: int = NOBODY
    shown: bool = False
    fenced: bool = False
    marked_for: int = NOBODY


class _State(NamedTuple):
    """The holders; the ages of the joiner's registration and of its claim."""

    holders: tuple[_Holder, ...] = (_Holder(), _Holder())
    joined_for: int = NOBODY
    claimed_for: int = NOBODY
    promoted: bool = False
    restarts: int = 0


_Step = tuple[str, _State]


def _increment_age(age: int, limit: int) -> int:
    return age if age == NOBODY else min(age + 1, limit)


@functools.cache
def _aged_holder(holder: _Holder) -> _Holder:
    """Return a holder after a tick."""
    return holder._replace(
        age=_increment_age(holder.age, LEASE_TICKS),
        list_age=_increment_age(holder.list_age, MAX_LIST_AGE_TICKS),
        closed_for=_increment_age(holder.closed_for, LEASE_TICKS),
        marked_for=_increment_age(holder.marked_for, MARK_TICKS),
    )


class _Spec:
    """The transitions under the given rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def steps(self, raw: tuple[object, ...]) -> list[tuple[str, tuple]]:
        """Return every next state with its label."""
        state = _State(*raw)
        next_states = [*self._pass_time(state), *self._joiner(state)]
        for v in HOLDERS:
            next_states += self._links(state, v)
            next_states += self._store(state, v)
            next_states += self._peers(state, v)
            next_states += self._fence(state, v)
            next_states += self._mark(state, v)
        return [
            (label, tuple(self._canonical_state(after)))
            for label, after in next_states
        ]

    def _canonical_state(self, state: _State) -> _State:
        """Reset the fields that no transition reads.

        Equivalent states then become equal, and are searched once.
        """
        if not state.promoted:
            return state
        holders = tuple(
            holder._replace(shown=True, fenced=True, marked_for=NOBODY)
            for holder in state.holders
        )
        return state._replace(holders=holders, joined_for=0)

    def _replace(self, state: _State, v: int, **changes: object) -> _State:
        holders = state.holders
        changed = holders[v]._replace(**changes)
        holders = (*holders[:v], changed, *holders[v + 1 :])
        return state._replace(holders=holders)

    def _pass_time(self, state: _State) -> Iterator[_Step]:
        holders = tuple(_aged_holder(holder) for holder in state.holders)
        after = state._replace(
            holders=holders,
            joined_for=_increment_age(state.joined_for, MAX_LIST_AGE_TICKS),
            claimed_for=_increment_age(state.claimed_for, LEASE_TICKS),
        )
        if after != state:
            yield 'time.passes', after

    def _links(self, state: _State, v: int) -> Iterator[_Step]:
        holder = state.holders[v]
        event = 'heard' if holder.cut else 'silent'
        yield f'vm.{event} {v}', self._replace(state, v, cut=not holder.cut)
        if state.restarts:
            restarted = self._replace(
                state,
                v,
                age=LEASE_TICKS,
                list_age=MAX_LIST_AGE_TICKS,
                lists_joiner=False,
                started=False,
                closed_for=NOBODY,
            )
            yield (
                f'entry.knows_enough {v}',
                restarted._replace(restarts=state.restarts - 1),
            )

    def _store(self, state: _State, v: int) -> Iterator[_Step]:
        """Read the store: the leader row and the list of VMs."""
        holder = state.holders[v]
        if holder.cut:
            return
        closed = state.claimed_for != NOBODY
        changes = {
            'list_age': 0,
            'lists_joiner': state.joined_for != NOBODY,
            'started': True,
            'marked_for': NOBODY,
        }
        if closed:
            changes['closed_for'] = max(holder.closed_for, 0)
        else:
            changes['age'] = 0
        yield f'feed.changed {v}', self._replace(state, v, **changes)

    def _peers(self, state: _State, v: int) -> Iterator[_Step]:
        """Get the views or the grants of the other VMs."""
        holder, other = state.holders[v], state.holders[1 - v]
        meets_other = holder.cut == other.cut
        if meets_other and other.closed_for != NOBODY:
            closed_for = max(holder.closed_for, 0)
            after = self._replace(state, v, closed_for=closed_for)
            yield f'vm.heard {v}', after
            return
        if not holder.started:
            if meets_other and other.started:
                after = self._replace(
                    state,
                    v,
                    list_age=other.list_age,
                    lists_joiner=other.lists_joiner,
                    started=True,
                )
                yield f'vm.heard {v}', after
            return
        joiner_grants = not holder.cut and state.claimed_for == NOBODY
        if holder.marked_for != NOBODY and self.rules.marked_gets_no_grant:
            joiner_grants = False
        grants = [meets_other and other.started]
        if holder.lists_joiner:
            grants.append(joiner_grants)
        if self.rules.every_listed_vm_grants:
            granted = all(grants)
        else:
            granted = any(grants)
        list_is_valid = holder.list_age <= LIST_TICKS
        if not list_is_valid and self.rules.list_expires:
            return
        if granted and holder.age < LEASE_TICKS:
            yield f'vm.heard {v}', self._replace(state, v, age=0)

    def _joiner(self, state: _State) -> Iterator[_Step]:
        """Register, claim the change, and promote."""
        if state.joined_for == NOBODY:
            yield 'vm.heard 2', state._replace(joined_for=0)
            return
        if state.claimed_for == NOBODY:
            yield 'handover.claimed 2', state._replace(claimed_for=0)
        elif not state.promoted:
            if all(self._lease_is_over(state, v) for v in HOLDERS):
                yield 'handover.fenced 2', state._replace(promoted=True)

    def _fence(self, state: _State, v: int) -> Iterator[_Step]:
        holder = state.holders[v]
        if holder.cut:
            return
        if holder.lists_joiner and not holder.shown:
            yield f'vm.heard {v}', self._replace(state, v, shown=True)
        if state.claimed_for != NOBODY and not holder.fenced:
            closed_for = max(holder.closed_for, 0)
            after = self._replace(
                state, v, fenced=True, closed_for=closed_for, started=True
            )
            yield f'handover.fenced {v}', after

    def _mark(self, state: _State, v: int) -> Iterator[_Step]:
        holder = state.holders[v]
        may_mark = holder.shown or not self.rules.marker_must_be_listed
        if holder.cut and may_mark and state.joined_for != NOBODY:
            if holder.marked_for == NOBODY:
                after = self._replace(state, v, marked_for=0)
                yield f'vm.confirmed {v}', after

    def _lease_is_over(self, state: _State, v: int) -> bool:
        """Return whether the joiner counts on the end of a VM's lease."""
        holder, other = state.holders[v], state.holders[1 - v]
        if holder.fenced or holder.marked_for >= MARK_TICKS:
            return True
        witness_for = other.closed_for
        if not self.rules.witness_counts_since_row:
            witness_for = state.claimed_for if other.fenced else NOBODY
        if other.fenced and witness_for >= LEASE_TICKS:
            return True
        if state.claimed_for < LEASE_TICKS:
            return False
        if holder.shown or not self.rules.silent_must_list:
            return True
        if not self.rules.joiner_waits_for_lists:
            return state.joined_for >= LEASE_TICKS
        return state.joined_for >= LIST_TICKS + LEASE_TICKS

    def reads_are_fresh(self, fields: dict[str, object]) -> bool:
        """No VM may use the primary that has been replaced."""
        state = _State(**fields)
        if not state.promoted:
            return True
        return not any(
            holder.started
            and holder.closed_for == NOBODY
            and holder.age < LEASE_TICKS
            for holder in state.holders
        )


def joining(
    rules: Rules | None = None, restarts: int = 0
) -> minicheck.Protocol:
    """Return the model of two VMs with leases and one that joins.

    The two restart up to ``restarts`` times in all.
    """
    spec = _Spec(rules or Rules())
    return minicheck.Protocol(
        name='joining',
        candidate=False,
        fields=_State._fields,
        initial=tuple(_State(restarts=restarts)),
        transitions=spec.steps,
        invariants={'reads_are_fresh': spec.reads_are_fresh},
    )
