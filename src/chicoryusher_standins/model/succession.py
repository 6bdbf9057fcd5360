"""Specification of when a successor of a primary is used.

Instances are cut off and return at any time.  One that was replaced answers
as a primary until it reaches its successor.  The changes of primary come one
after another: each has fenced the old primary before it begins here, and a
coordinator that gives up is followed by one that knows nothing of its orders.
An order takes effect within ``EFFECT_TICKS`` of the platform's answer, unless
the instance is cut off at that time.  A cut is longer than the pause between
two queries, so a coordinator that confirms its order notices it.  Labels of
transitions are ``chart.event`` names; ``time.passes`` is a clock tick.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

__all__ = ['MUTANTS', 'Rules', 'succession']

NOBODY = -1
INSTANCES = range(3)
# Ticks within which an accepted order takes effect.
EFFECT_TICKS = 1
# Terms after which no instance is promoted any more.
MAX_TERM = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules of the protocol; each mutant drops one of them.

    An instance is used only after an order of the change, also one that seems
    to lead.  The order is proved by a term above those that were seen before
    it.  Where the term stays the newest, it is proved ``wait_ticks`` after it
    was accepted, if the instance has answered all the while.  A coordinator
    relies on the orders of its present change only.
    """

    orders_apparent_leader: bool = True
    term_is_compared: bool = True
    wait_ticks: int = EFFECT_TICKS + 1
    silence_resets_wait: bool = True
    forgets_earlier_orders: bool = True


MUTANTS = {
    'apparent_leader_without_order': Rules(orders_apparent_leader=False),
    'role_alone': Rules(term_is_compared=False),
    'no_wait_for_the_effect': Rules(wait_ticks=0),
    'wait_despite_silence': Rules(silence_resets_wait=False),
    'orders_of_an_earlier_change': Rules(forgets_earlier_orders=False),
}


class _Instance(NamedTuple):
    """One instance, and whether anything reaches it."""

    leads: bool
    term: int = 1
    reached: bool = True


class _State(NamedTuple):
    """State of the group and of the change of primary.

    ``used`` is the primary that VMs may use.  ``phase`` is serving, choosing
    or confirming.  ``seen`` is the newest term among the answers of the
    change, and ``before`` that before its last order, which was for
    ``successor``.  ``pending`` is the age of an order that has yet to take
    effect, for ``ordered``; ``accepted`` is the age of the last one, NOBODY
    if that proves nothing.  ``earlier`` is the successor of a change that was
    given up, with the term before its order.
    """

    instances: tuple[_Instance, ...]
    used: int = 0
    phase: str = 'serving'
    seen: int = 0
    before: int = 0
    successor: int = NOBODY
    pending: int = NOBODY
    ordered: int = NOBODY
    accepted: int = NOBODY
    earlier: tuple[int, int] = (NOBODY, 0)


_Step = tuple[str, _State]


class _Spec:
    """The transitions under the given rules."""

    def __init__(self, rules: Rules, max_term: int) -> None:
        self.rules = rules
        self.max_term = max_term

    def steps(self, raw: tuple[object, ...]) -> list[tuple[str, tuple]]:
        """Return every next state with its label."""
        state = _State(*raw)
        next_states = [
            *self._pass_time(state),
            *self._cut_or_follow(state),
            *self._take_effect(state),
            *self._change(state),
        ]
        return [(label, tuple(after)) for label, after in next_states]

    def _set(
        self, state: _State, i: int, instance: _Instance, **changes: object
    ) -> _State:
        instances = state.instances
        instances = (*instances[:i], instance, *instances[i + 1 :])
        return state._replace(instances=instances, **changes)

    def _newest(self, state: _State) -> int:
        return max(instance.term for instance in state.instances)

    # -- the group ------------------------------------------------------

    def _pass_time(self, state: _State) -> Iterator[_Step]:
        if state.pending >= EFFECT_TICKS:
            return
        pending, accepted = state.pending, state.accepted
        if pending != NOBODY:
            pending += 1
        if accepted != NOBODY:
            accepted = min(accepted + 1, self.rules.wait_ticks)
        after = state._replace(pending=pending, accepted=accepted)
        if after != state:
            yield 'time.passes', after

    def _cut_or_follow(self, state: _State) -> Iterator[_Step]:
        newest = self._newest(state)
        leader_is_reached = any(
            one.leads and one.term == newest and one.reached
            for one in state.instances
        )
        for i in INSTANCES:
            one = state.instances[i]
            if one.reached:
                yield 'vm.silent', self._cut(state, i)
            else:
                back = one._replace(reached=True)
                yield 'vm.heard', self._set(state, i, back)
            if one.reached and leader_is_reached and one.term < newest:
                follows = _Instance(False, newest)
                yield 'connection.finished', self._set(state, i, follows)

    def _cut(self, state: _State, i: int) -> _State:
        cut = state.instances[i]._replace(reached=False)
        state = self._set(state, i, cut)
        if i == state.successor and self.rules.silence_resets_wait:
            return state._replace(accepted=NOBODY)
        return state

    def _take_effect(self, state: _State) -> Iterator[_Step]:
        if state.pending == NOBODY:
            return
        done = state._replace(pending=NOBODY, ordered=NOBODY)
        one = state.instances[state.ordered]
        newest = self._newest(state)
        leads_already = one.leads and one.term == newest
        if not one.reached or leads_already:
            yield 'handover.promoted', done
            return
        leader = _Instance(True, newest + 1)
        yield 'handover.promoted', self._set(done, state.ordered, leader)

    # -- the change -----------------------------------------------------

    def _change(self, state: _State) -> Iterator[_Step]:
        if state.phase == 'serving':
            if self._newest(state) < self.max_term:
                for begun in self._begun(state):
                    yield 'handover.wanted', begun
            return
        if state.phase == 'choosing':
            yield from self._choose(state)
        else:
            yield from self._confirm(state)
        # Another VM takes the claim over once no order is under way.
        if state.pending == NOBODY:
            for begun in self._begun(state):
                yield 'handover.lost', begun

    def _begun(self, state: _State) -> Iterator[_State]:
        begun = state._replace(
            used=NOBODY,
            phase='choosing',
            seen=0,
            before=0,
            successor=NOBODY,
            accepted=NOBODY,
        )
        if self.rules.forgets_earlier_orders:
            yield begun
            return
        if state.successor != NOBODY and state.earlier[0] == NOBODY:
            earlier = (state.successor, state.before)
            begun = begun._replace(earlier=earlier)
        yield begun
        successor, before = begun.earlier
        yield begun._replace(successor=successor, before=before)

    def _choose(self, state: _State) -> Iterator[_Step]:
        """Order the promotion of an instance that has answered.

        Any of the newest term is chosen; one that seems to lead goes first.
        """
        answers = {
            i: one for i, one in enumerate(state.instances) if one.reached
        }
        if not answers:
            return
        newest = max(one.term for one in answers.values())
        seen = max(state.seen, newest)
        best = [i for i, one in answers.items() if one.term == newest]
        leaders = [i for i in best if answers[i].leads]
        for i in leaders or best:
            if self._is_proved(state._replace(seen=seen), i):
                yield 'handover.leads', self._opened(state, i)
            elif leaders and not self.rules.orders_apparent_leader:
                yield 'handover.leads', self._opened(state, i)
            elif (
                state.pending == NOBODY and self._newest(state) < self.max_term
            ):
                ordered = state._replace(
                    phase='confirming',
                    seen=seen,
                    before=seen,
                    successor=i,
                    pending=0,
                    ordered=i,
                    accepted=0,
                )
                yield 'handover.asked', ordered
                # Its answer is lost, so the time proves nothing.
                lost = ordered._replace(phase='choosing', accepted=NOBODY)
                yield 'handover.refused', lost

    def _confirm(self, state: _State) -> Iterator[_Step]:
        one = state.instances[state.successor]
        if one.reached and self._is_proved(state, state.successor):
            yield 'handover.leads', self._opened(state, state.successor)
        again = state._replace(phase='choosing')
        yield 'handover.not_yet', again

    def _is_proved(self, state: _State, i: int) -> bool:
        one = state.instances[i]
        if i != state.successor or not one.leads:
            return False
        if not self.rules.term_is_compared:
            return True
        if one.term < state.seen:
            return False
        if one.term > state.before:
            return True
        return (
            state.accepted != NOBODY
            and state.accepted >= self.rules.wait_ticks
        )

    def _opened(self, state: _State, i: int) -> _State:
        return state._replace(
            used=i,
            phase='serving',
            seen=0,
            before=0,
            successor=NOBODY,
            accepted=NOBODY,
        )

    # -- invariants -----------------------------------------------------

    def used_leads(self, fields: dict[str, object]) -> bool:
        """No instance is used that was replaced, or that will be."""
        state = _State(**fields)
        if state.used == NOBODY:
            return True
        one = state.instances[state.used]
        return one.leads and one.term == self._newest(state)


def succession(
    rules: Rules | None = None, max_term: int = MAX_TERM
) -> minicheck.Protocol:
    """Return the model of the use of a primary's successors."""
    spec = _Spec(rules or Rules(), max_term)
    instances = tuple(_Instance(leads=i == 0) for i in INSTANCES)
    return minicheck.Protocol(
        name='succession',
        candidate=False,
        fields=_State._fields,
        initial=tuple(_State(instances)),
        transitions=spec.steps,
        invariants={'used_leads': spec.used_leads},
    )
