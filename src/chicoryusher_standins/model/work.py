"""Specifications of exactly once and of the gate's hand-over."""

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

CAP = 2
VMS = range(2)
TRIES = 3
_Step = tuple[str, tuple[object, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerRules:
    """What exactly once demands; a mutant drops one of them."""

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


class _Work(NamedTuple):
    """One request: how often it landed, and what its caller was told."""

    keyed: bool
    tries: int = 0
    flying: bool = False
    landed: int = 0
    key: bool = False
    told: str = ''


def ledger(rules: LedgerRules | None = None) -> minicheck.Protocol:
    """Return the specification of landings, retries and answers."""
    chosen = rules or LedgerRules()

    def steps(raw: tuple[object, ...]) -> list[_Step]:
        one = _Work(*raw)
        after: list[tuple[str, _Work]] = []
        may_send = one.keyed or not one.tries or not chosen.unkeyed_sent_once
        if not one.flying and one.told in ('', 'unknown'):
            if one.tries < TRIES and may_send:
                sent = one._replace(flying=True, tries=one.tries + 1, told='')
                after.append(('request.sent', sent))
        if not one.tries:
            refused = one._replace(told='not_run')
            after.append(('request.refused', refused))
        if one.flying:
            after += _landings(one, chosen)
        return [(label, tuple(work)) for label, work in after]

    return minicheck.Protocol(
        name='ledger',
        candidate=False,
        fields=('keyed', 'tries', 'flying', 'landed', 'key', 'told'),
        initial=(),
        transitions=lambda raw: (
            [
                ('request.expired keyed', tuple(_Work(True))),
                ('request.expired unkeyed', tuple(_Work(False))),
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


def _landings(one: _Work, rules: LedgerRules) -> list[tuple[str, _Work]]:
    """Return what may become of a request at the instance."""
    down = one._replace(flying=False)
    lost = 'unknown' if rules.lost_is_unknown else 'not_run'
    found = one.keyed and one.key and rules.key_checked
    effect = down
    if not found:
        effect = down._replace(landed=one.landed + 1, key=one.keyed)
    after = [
        ('request.answered', effect._replace(told='done')),
        ('request.conn_lost landed', effect._replace(told=lost)),
        ('request.conn_lost', down._replace(told='unknown')),
    ]
    if not rules.key_with_effect and not found:
        torn = down._replace(landed=one.landed + 1, told='unknown')
        after.append(('request.conn_lost torn', torn))
    return after


@dataclasses.dataclass(frozen=True, slots=True)
class GateRules:
    """What the hand-over demands; a mutant drops one of them."""

    lock_needed: bool = True
    old_connections_end: bool = True


GATE_MUTANTS = {
    'gate_without_lock': GateRules(lock_needed=False),
    'old_connections_stay': GateRules(old_connections_end=False),
}


class _Gates(NamedTuple):
    """Lock holder, each VM's belief, and each VM's open connections."""

    holder: int
    serving: tuple[bool, ...]
    open: tuple[int, ...]


class _GateSpec:
    """Transitions of two VMs that take one gate in turn."""

    def __init__(self, rules: GateRules) -> None:
        self.rules = rules

    def steps(self, raw: tuple[object, ...]) -> list[_Step]:
        """Return every labelled next state."""
        state = _Gates(*raw)
        return [
            (label, tuple(after))
            for vm in VMS
            for step in (self._claim, self._open, self._lose, self._stop)
            for label, after in step(state, vm)
        ]

    def _claim(self, state: _Gates, vm: int) -> list[tuple[str, _Gates]]:
        if state.serving[vm]:
            return []
        if self.rules.lock_needed and state.holder not in (-1, vm):
            return []
        opened = state.open
        if self.rules.old_connections_end:
            opened = tuple(0 if one != vm else opened[one] for one in VMS)
        after = _Gates(vm, _put(state.serving, vm, True), opened)
        return [(f'gate.claimed {vm}', after)]

    def _open(self, state: _Gates, vm: int) -> list[tuple[str, _Gates]]:
        holds = state.holder == vm or not self.rules.lock_needed
        if not state.serving[vm] or not holds or state.open[vm] >= CAP:
            return []
        opened = _put(state.open, vm, state.open[vm] + 1)
        return [(f'connection.opened {vm}', state._replace(open=opened))]

    def _lose(self, state: _Gates, vm: int) -> list[tuple[str, _Gates]]:
        if state.holder != vm:
            return []
        return [(f'gate.lost {vm}', state._replace(holder=-1))]

    def _stop(self, state: _Gates, vm: int) -> list[tuple[str, _Gates]]:
        if not state.serving[vm] or state.holder == vm:
            return []
        stopped = state._replace(
            serving=_put(state.serving, vm, False),
            open=_put(state.open, vm, 0),
        )
        return [(f'gate.unassigned {vm}', stopped)]


def _put(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def gate(rules: GateRules | None = None) -> minicheck.Protocol:
    """Return the specification of two VMs that take one gate in turn."""
    return minicheck.Protocol(
        name='gate',
        candidate=False,
        fields=_Gates._fields,
        initial=tuple(_Gates(-1, (False, False), (0, 0))),
        transitions=_GateSpec(rules or GateRules()).steps,
        invariants={
            'connections_within_cap': lambda s: sum(s['open']) <= CAP,
        },
    )
