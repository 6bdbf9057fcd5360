"""Specifications of exactly-once writes and of the handover of a gate."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

import minicheck

__all__ = [
    'GATE_MUTANTS',
    'GateRules',
    'LEDGER_MUTANTS',
    'LedgerRules',
    'gate',
    'ledger',
]

MAX_CONNECTIONS = 2
VMS = range(2)
MAX_SENDS = 3
_Step = tuple[str, tuple[object, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerRules:
    """The rules of exactly-once writes; each mutant drops one of them.

    The idempotency key is stored in one transaction with the write, and a
    write whose key is stored is not repeated.  A write without a key is
    sent once.  If the connection is lost, the outcome is unknown.
    """

    key_with_effect: bool = True
    key_checked: bool = True
    unkeyed_sent_once: bool = True
    lost_is_unknown: bool = True


LEDGER_MUTANTS = {
    'key_apart_from_effect': LedgerRules(key_with_effect=False),
    'key_not_checked': LedgerRules(key_checked=False),
    'unkeyed_sent_again': LedgerRules(unkeyed_sent_once=False),
    'lost_is_not_run': LedgerRules(lost_is_unknown=False),
}


class _RequestState(NamedTuple):
    """One request: how often it took effect, and its reported outcome.

    ``flying`` is whether it is in flight, ``landed`` how often it took
    effect, ``key`` whether its idempotency key is stored, and ``told`` the
    outcome that its caller received.
    """

    keyed: bool
    tries: int = 0
    flying: bool = False
    landed: int = 0
    key: bool = False
    told: str = ''


def ledger(rules: LedgerRules | None = None) -> minicheck.Protocol:
    """Return the model of a write's effects, retries and answers."""
    rules_used = rules or LedgerRules()

    def steps(raw: tuple[object, ...]) -> list[_Step]:
        request = _RequestState(*raw)
        after: list[tuple[str, _RequestState]] = []
        may_send = (
            request.keyed
            or not request.tries
            or not rules_used.unkeyed_sent_once
        )
        if not request.flying and request.told in ('', 'unknown'):
            if request.tries < MAX_SENDS and may_send:
                sent = request._replace(
                    flying=True, tries=request.tries + 1, told=''
                )
                after.append(('request.sent', sent))
        if not request.tries:
            refused = request._replace(told='not_run')
            after.append(('request.refused', refused))
        if request.flying:
            after += _outcomes(request, rules_used)
        return [(label, tuple(work)) for label, work in after]

    return minicheck.Protocol(
        name='ledger',
        candidate=False,
        fields=('keyed', 'tries', 'flying', 'landed', 'key', 'told'),
        initial=(),
        transitions=lambda raw: (
            [
                ('request.expired keyed', tuple(_RequestState(True))),
                ('request.expired unkeyed', tuple(_RequestState(False))),
            ]
            if not raw
            else steps(raw)
        ),
        invariants={
            'lands_at_most_once': lambda s: s.get('landed', 0) <= 1,
            'not_run_is_true': lambda s: (
                not (s.get('told') == 'not_run' and s['landed'])
            ),
            'done_is_true': lambda s: (
                not (s.get('told') == 'done' and not s['landed'])
            ),
        },
    )


def _outcomes(
    request: _RequestState, rules: LedgerRules
) -> list[tuple[str, _RequestState]]:
    """Return the possible results of a request in flight."""
    received = request._replace(flying=False)
    status_when_lost = 'unknown' if rules.lost_is_unknown else 'not_run'
    is_duplicate = request.keyed and request.key and rules.key_checked
    effect = received
    if not is_duplicate:
        effect = received._replace(
            landed=request.landed + 1, key=request.keyed
        )
    after = [
        ('request.answered', effect._replace(told='done')),
        ('request.conn_lost landed', effect._replace(told=status_when_lost)),
        ('request.conn_lost', received._replace(told='unknown')),
    ]
    if not rules.key_with_effect and not is_duplicate:
        key_missing = received._replace(
            landed=request.landed + 1, told='unknown'
        )
        after.append(('request.conn_lost torn', key_missing))
    return after


@dataclasses.dataclass(frozen=True, slots=True)
class GateRules:
    """The rules of a gate's handover; each mutant drops one of them.

    A VM needs the instance's lock to become its gate, and the connections
    of the previous gate are ended then.
    """

    lock_needed: bool = True
    old_connections_end: bool = True


GATE_MUTANTS = {
    'gate_without_lock': GateRules(lock_needed=False),
    'old_connections_stay': GateRules(old_connections_end=False),
}


class _GateState(NamedTuple):
    """Holder of the gate's lock, and state of each VM.

    ``serving`` is whether the VM takes itself for the gate; ``open`` counts
    its connections to the instance.
    """

    holder: int
    serving: tuple[bool, ...]
    open: tuple[int, ...]


class _GateSpec:
    """The transitions of two VMs that claim the same gate."""

    def __init__(self, rules: GateRules) -> None:
        self.rules = rules

    def steps(self, raw: tuple[object, ...]) -> list[_Step]:
        """Return every next state with its label."""
        state = _GateState(*raw)
        return [
            (label, tuple(after))
            for vm in VMS
            for step in (self._claim, self._open, self._lose, self._stop)
            for label, after in step(state, vm)
        ]

    def _claim(
        self, state: _GateState, vm: int
    ) -> list[tuple[str, _GateState]]:
        if state.serving[vm]:
            return []
        if self.rules.lock_needed and state.holder not in (-1, vm):
            return []
        opened = state.open
        if self.rules.old_connections_end:
            opened = tuple(
                0 if other != vm else opened[other] for other in VMS
            )
        after = _GateState(vm, _with_item(state.serving, vm, True), opened)
        return [(f'gate.claimed {vm}', after)]

    def _open(
        self, state: _GateState, vm: int
    ) -> list[tuple[str, _GateState]]:
        may_open = state.holder == vm or not self.rules.lock_needed
        if (
            not state.serving[vm]
            or not may_open
            or state.open[vm] >= MAX_CONNECTIONS
        ):
            return []
        opened = _with_item(state.open, vm, state.open[vm] + 1)
        return [(f'connection.opened {vm}', state._replace(open=opened))]

    def _lose(
        self, state: _GateState, vm: int
    ) -> list[tuple[str, _GateState]]:
        if state.holder != vm:
            return []
        return [(f'gate.lost {vm}', state._replace(holder=-1))]

    def _stop(
        self, state: _GateState, vm: int
    ) -> list[tuple[str, _GateState]]:
        if not state.serving[vm] or state.holder == vm:
            return []
        stopped = state._replace(
            serving=_with_item(state.serving, vm, False),
            open=_with_item(state.open, vm, 0),
        )
        return [(f'gate.unassigned {vm}', stopped)]


def _with_item(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def gate(rules: GateRules | None = None) -> minicheck.Protocol:
    """Return the model of two VMs that claim the same gate."""
    return minicheck.Protocol(
        name='gate',
        candidate=False,
        fields=_GateState._fields,
        initial=tuple(_GateState(-1, (False, False), (0, 0))),
        transitions=_GateSpec(rules or GateRules()).steps,
        invariants={
            'connections_within_cap': lambda s: (
                sum(s['open']) <= MAX_CONNECTIONS
            ),
        },
    )
