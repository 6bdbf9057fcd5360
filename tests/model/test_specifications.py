"""Model checks of the core protocols, and of mutants that must fail."""

from __future__ import annotations

import dataclasses
import functools

import minicheck
import pytest

from chicoryusher import charts
from chicoryusher_standins.model import authority
from chicoryusher_standins.model import evidence
from chicoryusher_standins.model import joining
from chicoryusher_standins.model import limits
from chicoryusher_standins.model import registration
from chicoryusher_standins.model import restored
from chicoryusher_standins.model import restored_rules
from chicoryusher_standins.model import searches
from chicoryusher_standins.model import succession
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


def whole(build, *args, **options):
    """Return the search of a specification in all of its states."""
    protocol = functools.partial(build, *args, **options)
    return searches.Search(protocol().name, protocol, MAX_STATES)


def of_mutants(build, mutants, *args, **options):
    """Return the search of each mutant, which takes its rules first."""
    found = []
    for name, rules in mutants.items():
        protocol = functools.partial(build, rules, *args, **options)
        states = MAX_MUTANT_STATES.get(protocol().name, MAX_STATES)
        states = MAX_MUTANT_STATES.get(name, states)
        found.append(searches.Search(name, protocol, states, stops=True))
    return found


TERMS = whole(terms.protocol, ops=2)
# Two writes have the labels of one.
TERMS_LABELS = whole(terms.protocol, ops=1)
# The other specifications of restores are searched whole by ``make model``.
OTHERS = [
    # Begins first, since it takes longest.
    whole(joining.joining),
    whole(work.gate),
    whole(work.ledger),
    whole(authority.authority, max_revision=MAX_REVISION),
    whole(authority.holders, max_revision=MAX_REVISION),
    whole(limits.limits),
    whole(evidence.evidence),
    whole(succession.succession),
    whole(registration.registration),
    whole(restored.restored),
    whole(restored.lost_change),
    whole(restored.late_start),
]
MUTANTS = [
    *of_mutants(authority.authority, authority.MUTANTS, MAX_REVISION),
    *of_mutants(
        authority.holders, authority.COORDINATOR_MUTANTS, MAX_REVISION
    ),
    *of_mutants(registration.registration, registration.MUTANTS),
    *of_mutants(joining.joining, joining.MUTANTS),
    *(
        search
        for name, rules in limits.MUTANTS.items()
        for search in of_mutants(
            limits.limits,
            {name: rules},
            int(name in limits.MUTANTS_WITH_RESTART),
        )
    ),
    *of_mutants(evidence.evidence, evidence.MUTANTS),
    *of_mutants(succession.succession, succession.MUTANTS),
    *of_mutants(evidence.evidence, evidence.RESTART_MUTANTS, restarts=1),
    *of_mutants(restored.restored, restored_rules.MUTANTS),
    *of_mutants(restored.lost_change, restored_rules.LOST_CHANGE_MUTANTS),
    *of_mutants(restored.paused_coordinator, restored_rules.PAUSED_MUTANTS),
    *of_mutants(restored.late_registration, restored_rules.LATE_MUTANTS),
    *of_mutants(restored.late_start, restored_rules.START_MUTANTS),
    *of_mutants(restored.late_grants, restored_rules.GRANT_MUTANTS),
    *(
        search
        for name, rules in terms.MUTANTS.items()
        for search in of_mutants(
            terms.protocol, {name: rules}, terms.terms_for(name), 1
        )
    ),
    *of_mutants(work.gate, work.GATE_MUTANTS),
    *of_mutants(work.ledger, work.LEDGER_MUTANTS),
]


@pytest.fixture(scope='module')
def running(request):
    """Run the searches of the selected tests beside each other."""
    selected = [
        item.callspec.params['search']
        for item in request.session.items
        if item.module is request.module and 'running' in item.fixturenames
    ]
    with searches.Searches(selected) as running:
        yield running


@pytest.mark.parametrize(
    'search', [*OTHERS, TERMS], ids=lambda search: search.name
)
def test_invariants_hold_in_every_reachable_state(running, search):
    result = running.finding(search)
    print(f'{search.name}: {result.states} states')
    assert result.exhaustive
    assert result.broken == ()


@pytest.mark.parametrize('search', MUTANTS, ids=lambda search: search.name)
def test_every_mutant_has_a_counterexample(running, search):
    result = running.finding(search)
    assert result.broken
    assert result.shortest > 1


@pytest.mark.parametrize(
    'search', [*OTHERS, TERMS_LABELS], ids=lambda search: search.name
)
def test_labels_are_chart_events(running, search):
    exceptions = {CLOCK_LABEL, RESTORE_LABEL}
    labels = running.finding(search).labels - exceptions
    assert labels
    for label in labels:
        chart, _, event = label.partition('.')
        assert event in charts.load_chart(chart).events(), label


def test_any_coordinator_may_replace_a_primary_that_works():
    """Who judges a primary, and how, is no part of what keeps the rules."""
    protocol = authority.holders(max_revision=MAX_REVISION)
    wanted = {label for label, _ in protocol.transitions(protocol.initial)}
    assert {'handover.wanted 0', 'handover.wanted 1'} <= wanted


def test_a_search_finds_the_same_in_another_process():
    here = TERMS_LABELS.run()
    with searches.Searches([TERMS_LABELS]) as elsewhere:
        assert elsewhere.finding(TERMS_LABELS) == here


@pytest.mark.parametrize(
    'search',
    [
        *of_mutants(work.gate, work.GATE_MUTANTS),
        *of_mutants(work.ledger, work.LEDGER_MUTANTS),
        *of_mutants(registration.registration, registration.MUTANTS),
    ],
    ids=lambda search: search.name,
)
def test_a_search_that_stops_has_a_shortest_counterexample(search):
    whole = dataclasses.replace(search, stops=False).run()
    stopped = search.run()
    assert set(stopped.broken) <= set(whole.broken)
    assert stopped.shortest == whole.shortest
    assert stopped.states <= whole.states


def test_truncated_search_is_not_exhaustive():
    result = minicheck.check_safety(terms.protocol(ops=1), max_states=10)
    assert not result['exhaustive']
