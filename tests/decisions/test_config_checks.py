"""Findings in a register before it is put in force."""

from __future__ import annotations

import copy

import pytest

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.decisions import config_changes
from chicoryusher.decisions import config_checks
from chicoryusher_standins import deployments

DEPLOYMENT = deployments.DEPLOYMENTS['nile-grain']
RED = {'name': 'red', 'users': ['ana'], 'rate': 20, 'burst': 5, 'priority': 1}
BLUE = {'name': 'blue', 'users': ['ben']}
ERROR = config_checks.FindingKind.ERROR
NEVER = config_checks.FindingKind.NEVER_MATCHES
CONTRADICTION = config_checks.FindingKind.CONTRADICTION
HUGE = 10**400


@pytest.fixture
def document():
    document = deployments.document(DEPLOYMENT, '127.0.0.1', 1)
    document['register']['teams'] = [copy.deepcopy(RED), copy.deepcopy(BLUE)]
    return document


def places(document):
    return [
        (finding.kind, finding.path)
        for finding in config_checks.check_document(document)
    ]


def rule(**criteria):
    return {**criteria, 'marks': {'deadline': 3}}


def test_a_register_with_teams_has_no_findings(document):
    assert places(document) == []
    config = decisions.compile_document(document, core.ConfigVersion(1))
    assert config.teams == (
        core.Team(
            core.TeamName('red'),
            (decisions.key_of_user(core.UserName('ana')),),
            1,
            20,
            5,
        ),
        core.Team(
            core.TeamName('blue'),
            (decisions.key_of_user(core.UserName('ben')),),
        ),
    )
    assert config.revocation_s is None


def test_a_register_without_teams_is_accepted_as_before(document):
    del document['register']['teams']
    config = decisions.compile_document(document, core.ConfigVersion(1))
    assert config.teams == ()


ODD_TEAMS = {
    'name': [7, None, '', 'a b', 'x' * 64, ['red'], '\ud800'],
    'users': [None, 'ana', {'ana': 1}, 7],
    'rate': ['20', -1, 0, HUGE, 1e300, True, float('inf')],
    'burst': ['5', -1, HUGE, None],
    'priority': ['1', -1, HUGE, 0.5],
}


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        pytest.param(field, value, id=f'{field}-{index}')
        for field, values in ODD_TEAMS.items()
        for index, value in enumerate(values)
    ],
)
def test_an_odd_field_of_a_team_is_an_error_at_its_place(
    document, field, value
):
    document['register']['teams'][1][field] = value
    assert (ERROR, f'$.register.teams[1].{field}') in places(document)
    with pytest.raises(core.SettingsError):
        decisions.compile_document(document, core.ConfigVersion(1))


@pytest.mark.parametrize('user', [7, '', None, 'x' * 33])
def test_an_odd_user_is_an_error_at_its_place(document, user):
    document['register']['teams'][0]['users'].append(user)
    assert places(document) == [(ERROR, '$.register.teams[0].users[1]')]


def test_a_user_of_two_teams_is_an_error(document):
    document['register']['teams'][1]['users'].append('ana')
    assert places(document) == [(ERROR, '$.register.teams[1].users[1]')]


def test_two_teams_of_one_name_are_an_error(document):
    document['register']['teams'][1]['name'] = 'red'
    assert places(document) == [(ERROR, '$.register.teams[1].name')]


def test_errors_of_the_format_hide_no_errors_elsewhere(document):
    document['register']['teams'][0]['rate'] = 'fast'
    document['rules']['statements'] = [rule(databases=['unknown'])]
    document['register']['vms'][0]['zone'] = 'nowhere'
    assert places(document) == [
        (ERROR, '$.register.teams[0].rate'),
        (ERROR, '$.rules.statements[0].databases[0]'),
        (ERROR, '$.register.vms[0].zone'),
    ]


@pytest.mark.parametrize(
    'document',
    [None, 7, [], {}, {'register': 7, 'rules': {}}, {'register': {}}],
)
def test_no_document_ends_the_check(document):
    assert {kind for kind, _ in places(document)} == {ERROR}


@pytest.mark.parametrize(
    'rules',
    [
        [rule(), rule(tables=['stock'])],
        [rule(tables=['a', 'b']), rule(tables=['b'])],
        [rule(callers=['x']), rule(callers=['x'], classes=['c'])],
        [
            rule(databases=['spoonbook_1'], callers=['x']),
            rule(databases=['spoonbook_2'], callers=['x']),
            rule(databases=['spoonbook_1', 'spoonbook_2'], callers=['x']),
        ],
        [
            rule(databases=['spoonbook_1', 'spoonbook_2', 'spoonbook_3']),
            rule(),
        ],
    ],
)
def test_a_rule_behind_rules_that_match_first_never_matches(document, rules):
    document['rules']['statements'] = rules
    last = len(rules) - 1
    assert places(document) == [(NEVER, f'$.rules.statements[{last}]')]


@pytest.mark.parametrize(
    'rules',
    [
        [rule(tables=['a']), rule()],
        [rule(tables=['a']), rule(tables=['a', 'b'])],
        [rule(callers=['x'], tables=['a']), rule(tables=['a'])],
        [rule(databases=['spoonbook_1']), rule(callers=['x'])],
    ],
)
def test_a_rule_that_some_statement_reaches_is_no_finding(document, rules):
    document['rules']['statements'] = rules
    assert places(document) == []


def test_a_team_without_a_user_never_matches(document):
    document['register']['teams'][1]['users'] = []
    assert places(document) == [(NEVER, '$.register.teams[1].users')]


def test_names_that_the_settings_do_not_have_never_match(document):
    document['rules']['statements'] = [rule(callers=['order-desk', 'night'])]
    logins = {'ana': 'order-desk'}
    found = config_checks.check_document(document, logins)
    assert [(finding.kind, finding.path) for finding in found] == [
        (NEVER, '$.rules.statements[0].callers[1]'),
        (NEVER, '$.register.teams[1].users[0]'),
    ]


def test_teams_have_no_effect_if_every_database_is_public(document):
    for database in document['register']['databases']:
        database['public'] = True
    assert places(document) == [
        (NEVER, '$.register.teams[0]'),
        (NEVER, '$.register.teams[1]'),
    ]


def test_a_database_without_an_instance_near_entry_vms_is_found(document):
    register = document['register']
    for vm in register['vms']:
        vm['zone'] = 'akhmim-yard'
    register['databases'][1]['instances'] = [
        instance
        for instance in register['databases'][1]['instances']
        if instance['zone'] == 'alex-depot'
    ]
    assert places(document) == [(NEVER, '$.register.databases[1].instances')]


def test_a_zone_without_a_vm_or_an_instance_is_found(document):
    zone = {'name': 'aswan-dock', 'region': 'upper-nile'}
    document['register']['zones'].append(zone)
    assert places(document) == [(NEVER, '$.register.zones[3]')]


def test_a_burst_without_a_rate_has_no_effect(document):
    document['register']['teams'][1]['burst'] = 5
    assert places(document) == [(NEVER, '$.register.teams[1].burst')]


def test_a_burst_under_one_operation_contradicts_its_rate(document):
    document['register']['teams'][0]['burst'] = 0.5
    assert places(document) == [(CONTRADICTION, '$.register.teams[0].burst')]


def test_slots_that_no_connections_can_occupy_are_found(document):
    instance = document['register']['databases'][0]['instances'][2]
    instance.update(slots=9, connections=8)
    path = '$.register.databases[0].instances[2].slots'
    assert places(document) == [(CONTRADICTION, path)]


def test_a_rate_over_that_of_all_databases_is_found(document):
    for database in document['register']['databases']:
        database['max_rate'] = 5
    assert places(document) == [
        (CONTRADICTION, '$.register.teams[0].rate'),
        (CONTRADICTION, '$.register.teams'),
    ]


def test_rates_that_add_up_to_more_than_the_databases_run_are_found(document):
    for database in document['register']['databases']:
        database['max_rate'] = 10
    document['register']['teams'][1]['rate'] = 20
    assert places(document) == [(CONTRADICTION, '$.register.teams')]


def test_rates_are_not_judged_if_one_database_states_none(document):
    document['register']['databases'][0]['max_rate'] = 1
    assert places(document) == []


def test_staleness_under_the_lag_of_a_group_is_found(document):
    document['register']['databases'][0]['expected_lag'] = 0.4
    document['rules']['statements'] = [
        {'databases': ['spoonbook_1'], 'marks': {'max_staleness': 0.3}},
        {'databases': ['spoonbook_2'], 'marks': {'max_staleness': 0.3}},
        {'databases': ['spoonbook_3'], 'marks': {'max_staleness': 0}},
    ]
    path = '$.rules.statements[0].marks.max_staleness'
    assert places(document) == [(CONTRADICTION, path)]
    document['rules'].update(statements=[], default_staleness=0.2)
    assert places(document) == [(CONTRADICTION, '$.rules.default_staleness')]


def test_a_revocation_between_two_reads_of_the_pointer_is_found(document):
    document['rules']['revocation_seconds'] = 2
    assert places(document) == [(CONTRADICTION, '$.rules.revocation_seconds')]
    document['rules']['revocation_seconds'] = 5
    assert places(document) == []


def test_changes_are_told_in_the_words_of_operators(document):
    after = copy.deepcopy(document)
    register = after['register']
    register['teams'][0].update(users=['eva'], rate=40)
    register['teams'][1] = {'name': 'green', 'users': ['gil']}
    register['databases'][0]['instances'][0]['slots'] = 8
    del register['databases'][2]
    after['rules']['statements'] = [
        {'tables': ['stock'], 'marks': {'deadline': 3}}
    ]
    after['rules']['default_deadline'] = 5.0
    changes = [
        (change.kind.value, change.entry, change.detail)
        for change in config_changes.compare_registers(document, after)
    ]
    assert changes == [
        ('removed', 'database spoonbook_3', ''),
        ('changed', 'instance spoonbook_1-0', 'slots 3 becomes 8'),
        ('removed', 'instance spoonbook_3-0', ''),
        ('removed', 'instance spoonbook_3-1', ''),
        ('removed', 'instance spoonbook_3-2', ''),
        ('added', 'rule', 'tables stock: deadline 3'),
        ('changed', 'defaults', 'default_deadline 10.0 becomes 5.0'),
        ('removed', 'team blue', ''),
        ('added', 'team green', 'users gil'),
        (
            'changed',
            'team red',
            'rate 20 becomes 40, users with eva, users without ana',
        ),
    ]
    assert config_changes.compare_registers(after, after) == ()


def test_the_first_and_the_last_team_are_told_as_what_they_mean(document):
    without = copy.deepcopy(document)
    del without['register']['teams']
    first = config_changes.compare_registers(without, document)[0]
    last = config_changes.compare_registers(document, without)[0]
    assert first.detail == 'users of no team are refused from now on'
    assert last.detail == 'every user is served without a limit'


def test_another_order_of_the_rules_is_a_change(document):
    document['rules']['statements'] = [rule(), rule(tables=['stock'])]
    after = copy.deepcopy(document)
    after['rules']['statements'].reverse()
    (change,) = config_changes.compare_registers(document, after)
    assert change.entry == 'rules'
