"""Specification of answers by evidence from the instances.

A VM's primary lease has ended, and it still reaches the primary 0 and the
replicas that it knows.  It runs a statement there, and then asks every
replica of its list for its status.  Other VMs replace the primary meanwhile.
Instance 3 may register late, so the VM's list may lack it.

Instances restart without their logs, follow any primary of a term that is
not older, and are demoted or roll back when they do.  Nothing has to happen,
so each VM or instance may be cut off from any other for any time.  A
promotion takes effect at any time: what its coordinator has checked when it
ordered it stays true.  The leases themselves are in
the specification ``authority``: no promotion takes effect before the VM's
lease has ended, which is where this one begins.  Labels of transitions are
``chart.event`` names; ``time.passes`` is a clock tick.
"""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

__all__ = ['MUTANTS', 'RESTART_MUTANTS', 'Rules', 'evidence']

NOBODY = -1
PRIMARY = 0
LATE = 3
# The replicas that the VM knows of from the beginning.
EARLY_REPLICAS = (1, 2)
INSTANCES = range(4)
# Oldest list, at the end of the lease, with which the VM asks for evidence.
LIST_TICKS = 1
# Ticks after the end of the lease for which the VM asks for evidence.
EVIDENCE_TICKS = 1
# Ticks that an instance must have been registered for to be promoted while
# another VM may ask for evidence.
REGISTERED_TICKS = LIST_TICKS + EVIDENCE_TICKS + 2
MAX_TERM = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules of the protocol; each mutant drops one of them.

    The VM asks ``needed`` replicas, or all of its list.  It asks after the
    statement has run, on connections that were open while it had the
    lease.  A replica gives evidence only in the term in which the statement
    ran, and for a commit only once it has received it.  The VM asks only
    for some time after the end of its lease, with a list that was confirmed
    shortly before.  An instance is promoted only if it has been registered
    for long, or once no VM asks for evidence any more.
    """

    needed: int | None = None
    asks_after_run: bool = True
    conn_is_old: bool = True
    term_is_compared: bool = True
    commit_is_received: bool = True
    evidence_ends: bool = True
    list_is_recent: bool = True
    new_instance_waits: bool = True


MUTANTS = {
    'one_replica_is_asked': Rules(needed=1),
    'asked_before_the_run': Rules(asks_after_run=False),
    'replica_of_any_term': Rules(term_is_compared=False),
    'commit_that_no_replica_has': Rules(commit_is_received=False),
    'evidence_at_any_time': Rules(evidence_ends=False),
    'list_of_any_age': Rules(list_is_recent=False),
    'new_instance_promoted_at_once': Rules(new_instance_waits=False),
}
RESTART_MUTANTS = {
    'asked_on_a_new_connection': Rules(conn_is_old=False),
}


class _Instance(NamedTuple):
    """One instance: its term, its role, and whether it has the VM's commit.

    ``empty`` is set from a restart until it has a primary's log; ``old_conn``
    while the VM's connection from before the end of its lease is open.
    """

    term: int = 1
    leads: bool = False
    has_commit: bool = False
    empty: bool = False
    old_conn: bool = True


class _State(NamedTuple):
    """The instances, the VM and what it asked; ages are in ticks.

    Ages are -1 before their event: ``list_age`` is that of the VM's list of
    instances until its lease ends, ``lists_late`` whether the list has
    instance 3, ``registered_for`` since when that is registered, and
    ``lapsed_for`` since when the lease has ended.  ``ran_in`` is the term in
    which the statement ran, 0 before that, and ``superseded`` whether a newer
    term was in effect by then.  ``asked`` are the replicas that have given
    evidence.
    """

    instances: tuple[_Instance, ...]
    list_age: int = 0
    lists_late: bool = False
    registered_for: int = NOBODY
    lapsed_for: int = NOBODY
    ran_in: int = 0
    commits: bool = False
    superseded: bool = False
    asked: tuple[bool, ...] = (False,) * len(INSTANCES)
    acked: bool = False
    restarts: int = 1


_Step = tuple[str, _State]


def _increment_age(age: int, limit: int) -> int:
    return age if age == NOBODY else min(age + 1, limit)


class _Spec:
    """The transitions under the given rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def steps(self, raw: tuple[object, ...]) -> list[tuple[str, tuple]]:
        """Return every next state with its label."""
        state = _State(*raw)
        if self._is_settled(state):
            return []
        next_states = itertools.chain(
            self._time_and_lists(state),
            self._promotions(state),
            self._replication(state),
            self._statement(state),
            self._ask(state),
        )
        return [
            (label, tuple(self._canonical(after)))
            for label, after in next_states
            if after != state
        ]

    def _is_settled(self, state: _State) -> bool:
        """Return whether no invariant can be broken any more."""
        if state.acked:
            return not state.commits
        return self._evidence_has_ended(state) and not self._is_proved(state)

    def _canonical(self, state: _State) -> _State:
        """Reset the fields that no transition reads any more.

        Equivalent states then become equal, and are searched once.  The
        early replicas may be exchanged.
        """
        listed = self._list(state)
        if state.acked:
            state = state._replace(asked=(False,) * len(INSTANCES))
        instances = [
            one._replace(
                old_conn=one.old_conn
                and i in listed
                and not (state.acked or state.asked[i])
            )
            for i, one in enumerate(state.instances)
        ]
        asked = list(state.asked)
        first, second = EARLY_REPLICAS
        if (instances[first], asked[first]) > (
            instances[second],
            asked[second],
        ):
            for fields in (instances, asked):
                fields[first], fields[second] = fields[second], fields[first]
        if state.lapsed_for != NOBODY:
            state = state._replace(list_age=0)
        return state._replace(instances=tuple(instances), asked=tuple(asked))

    def _set(
        self, state: _State, i: int, instance: _Instance, **changes: object
    ) -> _State:
        instances = list(state.instances)
        instances[i] = instance
        return state._replace(instances=tuple(instances), **changes)

    # -- time, lists and the end of the lease ---------------------------

    def _time_and_lists(self, state: _State) -> Iterator[_Step]:
        yield (
            'time.passes',
            state._replace(
                list_age=_increment_age(state.list_age, LIST_TICKS + 1),
                registered_for=_increment_age(
                    state.registered_for, REGISTERED_TICKS
                ),
                lapsed_for=_increment_age(
                    state.lapsed_for, EVIDENCE_TICKS + 2
                ),
            ),
        )
        is_registered = state.registered_for != NOBODY
        if not is_registered:
            yield 'feed.changed', state._replace(registered_for=0)
        if state.lapsed_for != NOBODY:
            return
        confirmed = state._replace(list_age=0, lists_late=is_registered)
        yield 'feed.quiet', confirmed
        if state.list_age <= LIST_TICKS or not self.rules.list_is_recent:
            yield 'vm.silent', state._replace(lapsed_for=0)

    def _evidence_has_ended(self, state: _State) -> bool:
        return self.rules.evidence_ends and state.lapsed_for > EVIDENCE_TICKS

    # -- changes of primary ---------------------------------------------

    def _promotions(self, state: _State) -> Iterator[_Step]:
        if state.lapsed_for == NOBODY:
            return
        newest = max(one.term for one in state.instances)
        if newest >= MAX_TERM:
            return
        for i in INSTANCES:
            chosen = state.instances[i]
            if not chosen.empty and self._may_be_promoted(state, i):
                leader = chosen._replace(term=newest + 1, leads=True)
                yield 'handover.promoted', self._set(state, i, leader)

    def _may_be_promoted(self, state: _State, i: int) -> bool:
        if i != LATE:
            return True
        if state.registered_for == NOBODY:
            return False
        if not self.rules.new_instance_waits:
            return True
        # Other VMs may count the ticks of this VM's evidence from later on.
        has_ended = state.lapsed_for > EVIDENCE_TICKS + 1
        is_new = state.registered_for < REGISTERED_TICKS
        return (has_ended or not is_new) and self._has_longest_log(state, i)

    def _has_longest_log(self, state: _State, i: int) -> bool:
        """Return whether an instance has what the early replicas have.

        With synchronous replicas no other is promoted.
        """
        logs = [state.instances[j].has_commit for j in EARLY_REPLICAS]
        return state.instances[i].has_commit or not any(logs)

    def _replication(self, state: _State) -> Iterator[_Step]:
        """Let an instance follow a primary, or restart without its log."""
        if state.lapsed_for == NOBODY:
            return
        for i, j in itertools.permutations(INSTANCES, 2):
            instance, leader = state.instances[i], state.instances[j]
            if i == LATE and state.registered_for == NOBODY:
                continue
            newer = leader.term > instance.term
            follows = not instance.leads and leader.term == instance.term
            if leader.leads and (newer or follows):
                after = instance._replace(
                    term=leader.term,
                    leads=False,
                    has_commit=leader.has_commit,
                    empty=False,
                )
                yield 'connection.finished', self._set(state, i, after)
        if not state.restarts:
            return
        for i in INSTANCES:
            # It knows nothing, and follows whichever primary it reaches.
            after = _Instance(0, empty=True, old_conn=False)
            yield (
                'connection.lost',
                self._set(state, i, after, restarts=state.restarts - 1),
            )

    # -- the statement and its evidence ---------------------------------

    def _statement(self, state: _State) -> Iterator[_Step]:
        primary = state.instances[PRIMARY]
        if state.lapsed_for == NOBODY or state.ran_in or not primary.leads:
            return
        newest = max(one.term for one in state.instances)
        ran = state._replace(
            ran_in=primary.term, superseded=newest > primary.term
        )
        yield 'pool_session.statement', ran
        committed = primary._replace(has_commit=True)
        yield (
            'pool_session.statement',
            self._set(ran, PRIMARY, committed, commits=True),
        )

    def _ask(self, state: _State) -> Iterator[_Step]:
        if state.lapsed_for == NOBODY or state.acked:
            return
        if self._is_proved(state):
            yield 'pool_session.answered', state._replace(acked=True)
        if self._evidence_has_ended(state):
            return
        for i in self._list(state):
            if self._gives_evidence(state, i):
                asked = list(state.asked)
                asked[i] = True
                yield 'connection.run', state._replace(asked=tuple(asked))

    def _list(self, state: _State) -> tuple[int, ...]:
        return (*EARLY_REPLICAS, LATE) if state.lists_late else EARLY_REPLICAS

    def _gives_evidence(self, state: _State, i: int) -> bool:
        instance = state.instances[i]
        if not state.ran_in and self.rules.asks_after_run:
            return False
        ran_in = state.ran_in or 1
        if instance.leads or (
            self.rules.conn_is_old and not instance.old_conn
        ):
            return False
        if self.rules.term_is_compared and instance.term != ran_in:
            return False
        if state.commits and self.rules.commit_is_received:
            return instance.has_commit
        return True

    def _is_proved(self, state: _State) -> bool:
        """Return whether the answer of the statement may be given."""
        if not state.ran_in:
            return False
        needed = self._list(state)
        count = sum(state.asked[i] for i in needed)
        return count >= (self.rules.needed or len(needed))

    # -- invariants -----------------------------------------------------

    def answers_are_current(self, fields: dict[str, object]) -> bool:
        """No statement is answered that ran after a promotion."""
        state = _State(**fields)
        return not (state.acked and state.superseded)

    def commits_are_kept(self, fields: dict[str, object]) -> bool:
        """No primary of a later term lacks a commit that was answered."""
        state = _State(**fields)
        if not (state.acked and state.commits):
            return True
        return not any(
            one.leads and one.term > state.ran_in and not one.has_commit
            for one in state.instances
        )


def evidence(
    rules: Rules | None = None, restarts: int = 0
) -> minicheck.Protocol:
    """Return the model of answers by evidence from the instances.

    ``restarts`` is how many instances may restart at most.
    """
    spec = _Spec(rules or Rules())
    instances = tuple(_Instance(leads=i == PRIMARY) for i in INSTANCES)
    return minicheck.Protocol(
        name='evidence',
        candidate=False,
        fields=_State._fields,
        initial=tuple(_State(instances, restarts=restarts)),
        transitions=spec.steps,
        invariants={
            'answers_are_current': spec.answers_are_current,
            'commits_are_kept': spec.commits_are_kept,
        },
    )
