"""Model checks of the core protocols, and of mutants that must fail."""

from __future__ import annotations

import minicheck
import pytest

from chicoryusher import charts
from chicoryusher_standins.model import authority
from chicoryusher_standins.model import check
from chicoryusher_standins.model import evidence
from chicoryusher_standins.model import joining
from chicoryusher_standins.model import limits
from chicoryusher_standins.model import registration
from chicoryusher_standins.model import restored
from chicoryusher_standins.model import restored_rules
from chicoryusher_standins.model import terms
from chicoryusher_standins.model import work

MAX_STATES = 1_000_000
# Bound on writes of the leader row here; ``make model`` uses a larger one.
MAX_REVISION = 2
# States within which a mutant of the leader row's protocol must fail, by
# specification or mutant.
MAX_MUTANT_STATES = {
    'authority': 60_000,
    'holders': 60_000,
    'evidence': 60_000,
    'restored': 40_000,
    'paused_coordinator': 20_000,
    'late_registration': 40_000,
    'late_grants': 60_000,
    'joining': 40_000,
    'limits': 60_000,
    'mark_by_an_unlisted_vm': 200_000,
    'grant_to_a_marked_vm': 200_000,
}
# A clock tick of the specification has no event in a chart.
CLOCK_LABEL = 'time.passes'
# A restore is an event of the store, which has no chart.
RESTORE_LABEL = 'store.restored'
# The other specifications of restores are searched whole by ``make model``.
RESTORED = [restored.restored(), restored.lost_change(), restored.late_start()]
MUTANTS = [
    *(
        (name, authority.authority(rules, MAX_REVISION))
        for name, rules in authority.MUTANTS.items()
    ),
    *(
        (name, authority.holders(rules, MAX_REVISION))
        for name, rules in authority.COORDINATOR_MUTANTS.items()
    ),
    *(
        (name, registration.registration(rules))
        for name, rules in registration.MUTANTS.items()
    ),
    *(
        (name, joining.joining(rules))
        for name, rules in joining.MUTANTS.items()
    ),
    *(
        (name, limits.limits(rules, int(name in limits.MUTANTS_WITH_RESTART)))
        for name, rules in limits.MUTANTS.items()
    ),
    *(
        (name, evidence.evidence(rules))
        for name, rules in evidence.MUTANTS.items()
    ),
    *(
        (name, evidence.evidence(rules, restarts=1))
        for name, rules in evidence.RESTART_MUTANTS.items()
    ),
    *(
        (name, protocol(rules))
        for protocol, mutants in (
            (restored.restored, restored_rules.MUTANTS),
            (restored.lost_change, restored_rules.LOST_CHANGE_MUTANTS),
            (restored.paused_coordinator, restored_rules.PAUSED_MUTANTS),
            (restored.late_registration, restored_rules.LATE_MUTANTS),
            (restored.late_start, restored_rules.START_MUTANTS),
            (restored.late_grants, restored_rules.GRANT_MUTANTS),
        )
        for name, rules in mutants.items()
    ),
    *(
        (name, terms.protocol(rules, terms.terms_for(name), 1))
        for name, rules in terms.MUTANTS.items()
    ),
    *((name, work.gate(rules)) for name, rules in work.GATE_MUTANTS.items()),
    *(
        (name, work.ledger(rules))
        for name, rules in work.LEDGER_MUTANTS.items()
    ),
]


@pytest.mark.parametrize(
    'protocol',
    [
        terms.protocol(ops=2),
        work.gate(),
        work.ledger(),
        authority.authority(max_revision=MAX_REVISION),
        authority.holders(max_revision=MAX_REVISION),
        joining.joining(),
        limits.limits(),
        evidence.evidence(),
        registration.registration(),
        *RESTORED,
    ],
    ids=lambda spec: spec.name,
)
def test_invariants_hold_in_every_reachable_state(protocol):
    result = check.check(protocol, MAX_STATES)
    print(f'{protocol.name}: {result.states} states')
    assert result.exhaustive
    assert result.broken == ()


@pytest.mark.parametrize(
    ('name', 'protocol'), MUTANTS, ids=[name for name, _ in MUTANTS]
)
def test_every_mutant_has_a_counterexample(name, protocol):
    states = MAX_MUTANT_STATES.get(protocol.name, MAX_STATES)
    states = MAX_MUTANT_STATES.get(name, states)
    result = check.check(protocol, states)
    assert result.broken
    assert result.shortest > 1


@pytest.mark.parametrize(
    'protocol',
    [
        terms.protocol(ops=1),
        work.gate(),
        work.ledger(),
        authority.authority(max_revision=MAX_REVISION),
        authority.holders(max_revision=MAX_REVISION),
        joining.joining(),
        limits.limits(),
        evidence.evidence(),
        registration.registration(),
        *RESTORED,
    ],
    ids=lambda spec: spec.name,
)
def test_labels_are_chart_events(protocol):
    exceptions = {CLOCK_LABEL, RESTORE_LABEL}
    labels = check.labels(protocol, MAX_STATES) - exceptions
    assert labels
    for label in labels:
        chart, _, event = label.partition('.')
        assert event in charts.load_chart(chart).events(), label


def test_any_coordinator_may_replace_a_primary_that_works():
    """Who judges a primary, and how, is no part of what keeps the rules."""
    protocol = authority.holders(max_revision=MAX_REVISION)
    wanted = {label for label, _ in protocol.transitions(protocol.initial)}
    assert {'handover.wanted 0', 'handover.wanted 1'} <= wanted


def test_truncated_search_is_not_exhaustive():
    result = minicheck.check_safety(terms.protocol(ops=1), max_states=10)
    assert not result['exhaustive']
