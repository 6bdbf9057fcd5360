"""The core protocol, checked exhaustively, and mutants that must fail."""

from __future__ import annotations

import minicheck
import pytest

from chicoryusher import charts
from chicoryusher_standins.model import authority
from chicoryusher_standins.model import check
from chicoryusher_standins.model import registration
from chicoryusher_standins.model import terms
from chicoryusher_standins.model import work

MAX_STATES = 1_000_000
# Writes of the lead row in the runs here; ``make model`` takes more.
REVISIONS = 2
# States within which a mutant of the lead row's protocol must fail.
MUTANT_STATES = {'authority': 60_000, 'holders': 60_000}
# The clock of the specification is no event of a chart.
CLOCK = 'time.passes'
MUTANTS = [
    *(
        (name, authority.authority(rules, REVISIONS))
        for name, rules in authority.MUTANTS.items()
    ),
    *(
        (name, authority.holders(rules, REVISIONS))
        for name, rules in authority.HOLDER_MUTANTS.items()
    ),
    *(
        (name, registration.registration(rules))
        for name, rules in registration.MUTANTS.items()
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
        authority.authority(max_revision=REVISIONS),
        authority.holders(max_revision=REVISIONS),
        registration.registration(),
    ],
    ids=lambda one: one.name,
)
def test_every_reachable_state_keeps_the_promises(protocol):
    found = check.check(protocol, MAX_STATES)
    print(f'{protocol.name}: {found.states} states')
    assert found.exhaustive
    assert found.broken == ()


@pytest.mark.parametrize(
    ('name', 'protocol'), MUTANTS, ids=[name for name, _ in MUTANTS]
)
def test_every_mutant_yields_a_counterexample(name, protocol):
    states = MUTANT_STATES.get(protocol.name, MAX_STATES)
    found = check.check(protocol, states)
    assert found.broken
    assert found.shortest > 1


@pytest.mark.parametrize(
    'protocol',
    [
        terms.protocol(ops=1),
        work.gate(),
        work.ledger(),
        authority.authority(max_revision=REVISIONS),
        authority.holders(max_revision=REVISIONS),
        registration.registration(),
    ],
    ids=lambda one: one.name,
)
def test_labels_are_events_of_the_charts(protocol):
    labels = check.labels(protocol, MAX_STATES) - {CLOCK}
    assert labels
    for label in labels:
        chart, _, event = label.partition('.')
        assert event in charts.read(chart).events(), label


def test_the_library_refuses_what_it_cannot_finish():
    found = minicheck.check_safety(terms.protocol(ops=1), max_states=10)
    assert not found['exhaustive']
