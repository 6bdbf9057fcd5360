"""Specification of terms, promotion and evidence before an acknowledgement.

There are three instances, two candidates, and bounds on terms and writes.
At every step a message may or may not be delivered, so the runs include
every network cut, pause and loss.  Labels of transitions are
``chart.event`` names followed by the operations, candidates and instances
that take part.
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
    """The rules of the protocol; each mutant drops one of them.

    A write is acknowledged on evidence from a majority of instances in the
    write's term.  A candidate fences a majority before it promotes an
    instance; a fenced instance is no longer primary and can be fenced once
    per term.  Replicas reject entries of older terms, and the fenced
    instance with the longest log is promoted.
    """

    ack_needs_evidence: bool = True
    evidence_majority: int = 2
    evidence_checks_term: bool = True
    fence_majority: int = 2
    fence_deposes: bool = True
    fence_once_a_term: bool = True
    followers_reject_old_terms: bool = True
    longest_log_is_promoted: bool = True


MUTANTS = {
    'ack_without_evidence': Rules(ack_needs_evidence=False),
    'evidence_of_one': Rules(evidence_majority=1),
    'evidence_of_any_term': Rules(
        evidence_checks_term=False, followers_reject_old_terms=False
    ),
    'fence_of_one': Rules(fence_majority=1),
    'fence_leaves_the_leader': Rules(
        fence_deposes=False, followers_reject_old_terms=False
    ),
    'fence_twice_a_term': Rules(fence_once_a_term=False),
    'followers_take_old_terms': Rules(followers_reject_old_terms=False),
    'shortest_log_leads': Rules(longest_log_is_promoted=False),
}


def terms_for(mutant: str) -> int:
    """Return the bound on terms that a mutant needs for a counterexample.

    If followers accept entries of an old term, an acknowledged write is
    lost only when a third term begins without it.
    """
    return 3 if mutant == 'followers_take_old_terms' else 2


class _Op(NamedTuple):
    """One write: status, term it was sent in, bit mask of its holders.

    Holders are the instances known to have the write in their log.
    """

    status: str = 'new'
    term: int = 0
    holders: int = 0


class _Candidate(NamedTuple):
    """One candidate: phase, term and bit mask of instances it fenced."""

    phase: str = 'following'
    term: int = 0
    fenced: int = 0


class _State(NamedTuple):
    """State of the whole system: instances, candidates, writes, store.

    ``promised`` is the candidate that fenced each instance last;
    ``store`` is the newest term that a candidate claimed in the store.
    """

    terms: tuple[int, ...]
    promised: tuple[int, ...]
    leads: tuple[bool, ...]
    logs: tuple[tuple[tuple[int, int], ...], ...]
    candidates: tuple[_Candidate, ...]
    ops: tuple[_Op, ...]
    store: int


_Step = tuple[str, tuple[object, ...]]


def _with_item(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _count_bits(mask: int) -> int:
    return mask.bit_count()


class _Spec:
    """The transitions under the given rules and bounds."""

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
        """Return every next state with its label."""
        state = _State(*raw)
        return [
            (label, tuple(after))
            for steps in (self._writes, self._replication, self._failover)
            for label, after in steps(state)
        ]

    def _writes(self, state: _State) -> Iterator[tuple[str, _State]]:
        for op in self.ops:
            op_state = state.ops[op]
            if op_state.status == 'new':
                yield from self._send(state, op)
            elif op_state.status == 'sent':
                yield from self._observe(state, op)
                has_evidence = (
                    _count_bits(op_state.holders)
                    >= self.rules.evidence_majority
                )
                if has_evidence or not self.rules.ack_needs_evidence:
                    acked = op_state._replace(status='acked')
                    yield (
                        f'request.proved {op}',
                        state._replace(ops=_with_item(state.ops, op, acked)),
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
                    logs=_with_item(state.logs, i, log),
                    ops=_with_item(state.ops, op, sent),
                ),
            )

    def _observe(self, state: _State, op: int) -> Iterator[tuple[str, _State]]:
        op_state = state.ops[op]
        for i in INSTANCES:
            if (
                op_state.holders >> i & 1
                or (op_state.term, op) not in state.logs[i]
            ):
                continue
            if self.rules.evidence_checks_term:
                if state.terms[i] != op_state.term:
                    continue
            seen = op_state._replace(holders=op_state.holders | 1 << i)
            yield (
                f'request.answered {op} {i}',
                state._replace(ops=_with_item(state.ops, op, seen)),
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
        if terms[j] > terms[i] and self.rules.followers_reject_old_terms:
            yield (
                f'leadership.primary_heard {i} {j}',
                state._replace(leads=_with_item(leads, i, False)),
            )
            return
        source_log, target_log = state.logs[i], state.logs[j]
        common_length = 0
        while common_length < min(len(source_log), len(target_log)) and (
            source_log[common_length] == target_log[common_length]
        ):
            common_length += 1
        log = (
            source_log[: common_length + 1]
            if common_length < len(source_log)
            else target_log[:common_length]
        )
        term = max(terms[i], terms[j])
        promised = state.promised[j]
        if term != terms[j]:
            promised = state.promised[i]
        after = state._replace(
            terms=_with_item(terms, j, term),
            promised=_with_item(state.promised, j, promised),
            leads=_with_item(leads, j, False),
            logs=_with_item(state.logs, j, log),
        )
        if after != state:
            yield f'leadership.primary_heard {i} {j}', after

    def _failover(self, state: _State) -> Iterator[tuple[str, _State]]:
        for c in CANDIDATES:
            candidate = state.candidates[c]
            if candidate.phase == 'following':
                yield from self._claim(state, c)
            elif candidate.phase == 'fencing':
                yield from self._fence(state, c)
                if _count_bits(candidate.fenced) >= self.rules.fence_majority:
                    yield from self._promote(state, c)
                gave_up = _Candidate()
                yield (
                    f'leadership.timed_out {c}',
                    state._replace(
                        candidates=_with_item(state.candidates, c, gave_up)
                    ),
                )

    def _claim(self, state: _State, c: int) -> Iterator[tuple[str, _State]]:
        term = max(state.terms) + 1
        if term > self.max_term:
            return
        claimed = _with_item(state.candidates, c, _Candidate('fencing', term))
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
        candidate = state.candidates[c]
        for i in INSTANCES:
            if candidate.fenced >> i & 1:
                continue
            is_newer = state.terms[i] < candidate.term
            fenced_again = (
                not self.rules.fence_once_a_term
                and state.terms[i] == candidate.term
            )
            if not is_newer and not fenced_again:
                continue
            leads = state.leads
            if self.rules.fence_deposes:
                leads = _with_item(leads, i, False)
            fenced = candidate._replace(fenced=candidate.fenced | 1 << i)
            yield (
                f'leadership.silence_confirmed {c} {i}',
                state._replace(
                    terms=_with_item(state.terms, i, candidate.term),
                    promised=_with_item(state.promised, i, c),
                    leads=leads,
                    candidates=_with_item(state.candidates, c, fenced),
                ),
            )

    def _promote(self, state: _State, c: int) -> Iterator[tuple[str, _State]]:
        candidate = state.candidates[c]
        fenced = [i for i in INSTANCES if candidate.fenced >> i & 1]

        def log_order(i: int) -> tuple[int, int, int]:
            log = state.logs[i]
            return (log[-1][0] if log else 0, len(log), -i)

        select = max if self.rules.longest_log_is_promoted else min
        chosen = select(fenced, key=log_order)
        if state.terms[chosen] != candidate.term:
            return
        if state.promised[chosen] != c:
            return
        yield (
            f'leadership.promoted {c} {chosen}',
            state._replace(
                leads=_with_item(state.leads, chosen, True),
                candidates=_with_item(state.candidates, c, _Candidate()),
            ),
        )


def _leaders(state: dict[str, object]) -> list[int]:
    leads, terms = state['leads'], state['terms']
    leading = [i for i in INSTANCES if leads[i]]
    newest_term = max((terms[i] for i in leading), default=0)
    return [i for i in leading if terms[i] == newest_term]


def _acked_survive(state: dict[str, object]) -> bool:
    """Every acknowledged write is in the log of the newest leader."""
    return all(
        (op_state.term, op) in state['logs'][i]
        for op, op_state in enumerate(state['ops'])
        if op_state.status == 'acked'
        for i in _leaders(state)
        if state['terms'][i] >= op_state.term
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
