"""Specification of terms, promotion and evidence before an ack.

Three instances, two candidates and a bound on terms and commits.
Whether a message passes is left open at every step, so every cut,
pause and loss is among the runs.  Labels are ``chart.event`` names
with the parties behind them.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

__all__ = ['MUTANTS', 'Rules', 'protocol', 'terms_for']

INSTANCES = range(3)
CANDIDATES = range(2)
NOBODY = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """What the protocol demands; a mutant drops one of them."""

    ack_needs_evidence: bool = True
    evidence_majority: int = 2
    evidence_checks_term: bool = True
    fence_majority: int = 2
    fence_deposes: bool = True
    fence_once_a_term: bool = True
    followers_check_term: bool = True
    longest_log_leads: bool = True


MUTANTS = {
    'ack_without_evidence': Rules(ack_needs_evidence=False),
    'evidence_of_one': Rules(evidence_majority=1),
    'evidence_of_any_term': Rules(
        evidence_checks_term=False, followers_check_term=False
    ),
    'fence_of_one': Rules(fence_majority=1),
    'fence_leaves_the_leader': Rules(
        fence_deposes=False, followers_check_term=False
    ),
    'fence_twice_a_term': Rules(fence_once_a_term=False),
    'followers_take_old_terms': Rules(followers_check_term=False),
    'shortest_log_leads': Rules(longest_log_leads=False),
}


def terms_for(mutant: str) -> int:
    """Return the bound on terms at which a mutant's fault can show.

    A follower of an old term loses an acknowledged write only when a
    third term begins without it.
    """
    return 3 if mutant == 'followers_take_old_terms' else 2


class _Op(NamedTuple):
    """One write: status, the term it was sent in, and its holders."""

    status: str = 'new'
    term: int = 0
    holders: int = 0


class _Candidate(NamedTuple):
    """One candidate: phase, term and the instances it fenced."""

    phase: str = 'following'
    term: int = 0
    fenced: int = 0


class _State(NamedTuple):
    """Everything the specification speaks of."""

    terms: tuple[int, ...]
    promised: tuple[int, ...]
    leads: tuple[bool, ...]
    logs: tuple[tuple[tuple[int, int], ...], ...]
    candidates: tuple[_Candidate, ...]
    ops: tuple[_Op, ...]
    store: int


_Step = tuple[str, tuple[object, ...]]


def _set(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _count(mask: int) -> int:
    return mask.bit_count()


class _Spec:
    """Transitions under some rules and bounds."""

    def __init__(self, rules: Rules, max_term: int, ops: int) -> None:
        self.rules = rules
        self.max_term = max_term
        self.ops = range(ops)

    def initial(self) -> _State:
        """Return the state with instance 0 leading term 1."""
        return _State(
            (1, 1, 1),
            (NOBODY,) * 3,
            (True, False, False),
            ((), (), ()),
            (_Candidate(),) * 2,
            (_Op(),) * len(self.ops),
            1,
        )

    def steps(self, raw: tuple[object, ...]) -> list[_Step]:
        """Return every labelled next state."""
        state = _State(*raw)
        return [
            (label, tuple(after))
            for steps in (self._writes, self._replication, self._failover)
            for label, after in steps(state)
        ]

    def _writes(self, state: _State) -> Iterator[tuple[str, _State]]:
        for op in self.ops:
            one = state.ops[op]
            if one.status == 'new':
                yield from self._send(state, op)
            elif one.status == 'sent':
                yield from self._observe(state, op)
                enough = _count(one.holders) >= self.rules.evidence_majority
                if enough or not self.rules.ack_needs_evidence:
                    acked = one._replace(status='acked')
                    yield (
                        f'request.proved {op}',
                        state._replace(ops=_set(state.ops, op, acked)),
                    )

    def _send(self, state: _State, op: int) -> Iterator[tuple[str, _State]]:
        for i in INSTANCES:
            if not state.leads[i]:
                continue
            log = (*state.logs[i], (state.terms[i], op))
            sent = _Op('sent', state.terms[i], 1 << i)
            yield (
                f'request.sent {op} {i}',
                state._replace(
                    logs=_set(state.logs, i, log),
                    ops=_set(state.ops, op, sent),
                ),
            )

    def _observe(self, state: _State, op: int) -> Iterator[tuple[str, _State]]:
        one = state.ops[op]
        for i in INSTANCES:
            if one.holders >> i & 1 or (one.term, op) not in state.logs[i]:
                continue
            if self.rules.evidence_checks_term:
                if state.terms[i] != one.term:
                    continue
            seen = one._replace(holders=one.holders | 1 << i)
            yield (
                f'request.answered {op} {i}',
                state._replace(ops=_set(state.ops, op, seen)),
            )

    def _replication(self, state: _State) -> Iterator[tuple[str, _State]]:
        for i in INSTANCES:
            for j in INSTANCES:
                if i != j and state.leads[i]:
                    yield from self._replicate(state, i, j)

    def _replicate(
        self, state: _State, i: int, j: int
    ) -> Iterator[tuple[str, _State]]:
        terms, leads = state.terms, state.leads
        if terms[j] > terms[i] and self.rules.followers_check_term:
            yield (
                f'leadership.primary_heard {i} {j}',
                state._replace(leads=_set(leads, i, False)),
            )
            return
        ours, theirs = state.logs[i], state.logs[j]
        same = 0
        while same < min(len(ours), len(theirs)) and (
            ours[same] == theirs[same]
        ):
            same += 1
        log = ours[: same + 1] if same < len(ours) else theirs[:same]
        term = max(terms[i], terms[j])
        promised = state.promised[j]
        if term != terms[j]:
            promised = state.promised[i]
        after = state._replace(
            terms=_set(terms, j, term),
            promised=_set(state.promised, j, promised),
            leads=_set(leads, j, False),
            logs=_set(state.logs, j, log),
        )
        if after != state:
            yield f'leadership.primary_heard {i} {j}', after

    def _failover(self, state: _State) -> Iterator[tuple[str, _State]]:
        for c in CANDIDATES:
            one = state.candidates[c]
            if one.phase == 'following':
                yield from self._claim(state, c)
            elif one.phase == 'fencing':
                yield from self._fence(state, c)
                if _count(one.fenced) >= self.rules.fence_majority:
                    yield from self._promote(state, c)
                gave_up = _Candidate()
                yield (
                    f'leadership.timed_out {c}',
                    state._replace(
                        candidates=_set(state.candidates, c, gave_up)
                    ),
                )

    def _claim(self, state: _State, c: int) -> Iterator[tuple[str, _State]]:
        term = max(state.terms) + 1
        if term > self.max_term:
            return
        claimed = _set(state.candidates, c, _Candidate('fencing', term))
        if state.store < term:
            yield (
                f'leadership.term_won {c}',
                state._replace(candidates=claimed, store=term),
            )
        yield (
            f'leadership.store_silent {c}',
            state._replace(candidates=claimed),
        )

    def _fence(self, state: _State, c: int) -> Iterator[tuple[str, _State]]:
        one = state.candidates[c]
        for i in INSTANCES:
            if one.fenced >> i & 1:
                continue
            newer = state.terms[i] < one.term
            again = (
                not self.rules.fence_once_a_term and state.terms[i] == one.term
            )
            if not newer and not again:
                continue
            leads = state.leads
            if self.rules.fence_deposes:
                leads = _set(leads, i, False)
            fenced = one._replace(fenced=one.fenced | 1 << i)
            yield (
                f'leadership.silence_confirmed {c} {i}',
                state._replace(
                    terms=_set(state.terms, i, one.term),
                    promised=_set(state.promised, i, c),
                    leads=leads,
                    candidates=_set(state.candidates, c, fenced),
                ),
            )

    def _promote(self, state: _State, c: int) -> Iterator[tuple[str, _State]]:
        one = state.candidates[c]
        fenced = [i for i in INSTANCES if one.fenced >> i & 1]

        def length(i: int) -> tuple[int, int, int]:
            log = state.logs[i]
            return (log[-1][0] if log else 0, len(log), -i)

        pick = max if self.rules.longest_log_leads else min
        chosen = pick(fenced, key=length)
        if state.terms[chosen] != one.term:
            return
        if state.promised[chosen] != c:
            return
        yield (
            f'leadership.promoted {c} {chosen}',
            state._replace(
                leads=_set(state.leads, chosen, True),
                candidates=_set(state.candidates, c, _Candidate()),
            ),
        )


def _leaders(state: dict[str, object]) -> list[int]:
    leads, terms = state['leads'], state['terms']
    leading = [i for i in INSTANCES if leads[i]]
    top = max((terms[i] for i in leading), default=0)
    return [i for i in leading if terms[i] == top]


def _acked_survive(state: dict[str, object]) -> bool:
    """Every acknowledged write is in the log of the newest leader."""
    return all(
        (one.term, op) in state['logs'][i]
        for op, one in enumerate(state['ops'])
        if one.status == 'acked'
        for i in _leaders(state)
        if state['terms'][i] >= one.term
    )


def _one_leader(state: dict[str, object]) -> bool:
    """No term has two leaders."""
    terms = [state['terms'][i] for i in INSTANCES if state['leads'][i]]
    return len(set(terms)) == len(terms)


def protocol(
    rules: Rules | None = None, max_term: int = 2, ops: int = 2
) -> minicheck.Protocol:
    """Return the specification, or a mutant of it, within bounds."""
    spec = _Spec(rules or Rules(), max_term, ops)
    return minicheck.Protocol(
        name='terms',
        candidate=False,
        fields=_State._fields,
        initial=tuple(spec.initial()),
        transitions=spec.steps,
        invariants={
            'acked_writes_survive': _acked_survive,
            'one_leader_a_term': _one_leader,
        },
    )
