"""Findings in a platform configuration before it is sent."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

import pytest
import test_odd_entries
import test_odd_teams
import test_process

import stand_ins
from fleet import config_check

store = test_process.store
PROGRAM = pathlib.Path(__file__).parents[2] / 'platform' / 'check.py'
ROUTE = test_odd_entries.ROUTE
SERVICE = test_odd_entries.SERVICE
CONFIG = {
    **test_odd_entries.CONFIG,
    'routes': [{**ROUTE, 'targetLatencyMs': 500}],
    'tenants': [test_odd_teams.TEAM],
}


@pytest.fixture
def check(tmp_path):
    """Return a function that checks a document and returns code and rows."""

    def run(document, against=None):
        path = tmp_path / 'config.json'
        path.write_text(json.dumps(document))
        before = ''
        if against is not None:
            before = str(tmp_path / 'before.json')
            pathlib.Path(before).write_text(json.dumps(against))
        code, rows = config_check.check_file(path, before)
        found = [(row['finding'], row['path']) for row in rows]
        assert test_odd_teams.KEY not in str(rows)
        return code, found, [row['problem'] for row in rows]

    return run


def test_a_clean_configuration_has_no_findings(check):
    assert check(CONFIG) == (0, [], [])


def test_all_errors_are_listed_with_their_places(check):
    document = {
        **CONFIG,
        'version': -1,
        'routes': [7, CONFIG['routes'][0], {**ROUTE, 'timeoutMs': 'x'}],
        'services': [SERVICE, {'name': 7}],
        'tenants': [{**test_odd_teams.TEAM, 'apiKeys': [7]}],
    }
    code, found, _ = check(document)
    assert code == 2
    assert [path for kind, path in found if kind == 'error'] == [
        '$.tenants',
        '$.version',
        '$.routes[0]',
        '$.routes[2]',
        '$.services[1]',
    ]


@pytest.mark.parametrize('document', [[], 7, 'x', None])
def test_what_is_no_configuration_is_an_error(check, document):
    code, found, _ = check(document)
    assert (code, found) == (2, [('error', '$')])


def test_a_route_to_a_group_that_does_not_exist_is_an_error(check):
    routes = [{**CONFIG['routes'][0], 'service': 'nowhere'}]
    code, found, _ = check({**CONFIG, 'routes': routes})
    assert code == 2
    assert found == [
        ('error', 'route huvo11a'),
        ('never_matches', 'database group spoonbook'),
    ]


@pytest.mark.parametrize(
    ('change', 'finding', 'path'),
    [
        (
            {'routes': 2 * CONFIG['routes']},
            'never_matches',
            'route huvo11a',
        ),
        (
            {'tenants': [{**test_odd_teams.TEAM, 'apiKeys': []}]},
            'never_matches',
            'team red',
        ),
        (
            {'routes': [{**CONFIG['routes'][0], 'public': True}]},
            'never_matches',
            'team red',
        ),
        (
            {'tenants': [{**test_odd_teams.TEAM, 'ratePerS': None}]},
            'never_matches',
            'team red',
        ),
        (
            {'tenants': [{**test_odd_teams.TEAM, 'ratePerS': 0}]},
            'never_matches',
            'team red',
        ),
        (
            {'tenants': [{**test_odd_teams.TEAM, 'burst': 0.5}]},
            'contradiction',
            'team red',
        ),
        (
            {'routes': [{**ROUTE, 'targetLatencyMs': 2000}]},
            'contradiction',
            'route huvo11a',
        ),
        (
            {'services': [{**SERVICE, 'maxConnections': 0}]},
            'contradiction',
            'database group spoonbook',
        ),
    ],
)
def test_entries_without_effect_and_contradictions_are_found(
    check, change, finding, path
):
    code, found, _ = check({**CONFIG, **change})
    assert (code, found) == (1, [(finding, path)])


def test_what_differs_is_told_without_the_keys(check):
    team = {
        **test_odd_teams.TEAM,
        'apiKeys': [test_odd_teams.OTHER_KEY],
        'ratePerS': 40,
    }
    after = {**CONFIG, 'tenants': [team, {'name': 'green', 'apiKeys': ['k']}]}
    code, found, problems = check(after, CONFIG)
    assert code == 0
    assert found == [('added', 'team green'), ('changed', 'team red')]
    assert problems[1] == (
        '1 keys added, 1 keys removed, rate 20.0 becomes 40.0'
    )


def test_what_differs_from_the_version_in_the_store_is_told(tmp_path, store):
    store.put('op', 'config', stand_ins.encode_value(CONFIG))
    path = tmp_path / 'config.json'
    path.write_text(json.dumps({**CONFIG, 'tenants': []}))
    address = '{}:{}'.format(*store.address)
    code, rows = config_check.check_file(path, 'in-force', address)
    assert code == 0
    assert [row['path'] for row in rows] == ['team red']


def test_a_store_that_does_not_answer_ends_with_2(tmp_path, capsys):
    path = tmp_path / 'config.json'
    path.write_text(json.dumps(CONFIG))
    arguments = ['--against', 'in-force', '--store', '127.0.0.1:1']
    assert config_check.main([str(path), *arguments]) == 2
    assert '127.0.0.1:1' in capsys.readouterr().out


def test_the_program_ends_with_the_code_of_the_check(tmp_path):
    path = tmp_path / 'config.json'
    path.write_text(json.dumps({**CONFIG, 'tenants': 7}))
    completed = subprocess.run(
        [sys.executable, str(PROGRAM), str(path), '--output', 'json'],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2
    assert json.loads(completed.stdout)[0]['path'] == '$.tenants'
    missing = subprocess.run(
        [sys.executable, str(PROGRAM), str(tmp_path / 'missing')],
        capture_output=True,
        text=True,
        check=False,
    )
    assert missing.returncode == 2
