"""The check of a file before it is sent."""

from __future__ import annotations

import json

import pytest
from typer import testing

from chicoryusher.cli import client
from chicoryusher.cli import main
from chicoryusher_standins import deployments
from chicoryusher_standins import world

DEPLOYMENT = deployments.DEPLOYMENTS['nile-grain']
TEAM = {'name': 'red', 'users': ['ana'], 'rate': 20, 'burst': 5}


def register(**team):
    document = deployments.document(DEPLOYMENT, '127.0.0.1', 1)
    document['register']['teams'] = [{**TEAM, **team}]
    return document


@pytest.fixture
def check(tmp_path):
    """Return a function that checks a document and returns code and rows."""

    def run(document, *arguments):
        path = tmp_path / 'register.json'
        text = document
        if not isinstance(document, str):
            text = json.dumps(document)
        path.write_text(text)
        result = testing.CliRunner().invoke(
            main.app, ['check', str(path), '--output', 'json', *arguments]
        )
        return result.exit_code, json.loads(result.stdout)

    return run


def kinds(rows):
    return [(row['finding'], row['path']) for row in rows]


def test_a_clean_register_ends_with_0(check):
    code, rows = check(register())
    assert code == 0
    assert [row['problems'] for row in rows] == [0]


def test_findings_end_with_1(check):
    code, rows = check(register(users=[], burst=0.5))
    assert code == 1
    assert sorted(kinds(rows)) == [
        ('contradiction', '$.register.teams[0].burst'),
        ('never_matches', '$.register.teams[0].users'),
    ]


def test_errors_end_with_2_and_hide_no_findings(check):
    document = register(rate='fast')
    zone = {'name': 'aswan-dock', 'region': 'upper-nile'}
    document['register']['zones'].append(zone)
    code, rows = check(document)
    assert code == 2
    assert kinds(rows) == [
        ('error', '$.register.teams[0].rate'),
        ('never_matches', '$.register.zones[3]'),
    ]


@pytest.mark.parametrize('text', ['', '{', '[1', '{"register": NaN}'])
def test_a_file_that_is_not_json_ends_with_2(check, text):
    code, rows = check(text)
    assert code == 2
    assert [row['path'] for row in rows] == ['$']


def test_a_missing_file_ends_with_2(tmp_path):
    path = str(tmp_path / 'missing.json')
    result = testing.CliRunner().invoke(main.app, ['check', path])
    assert result.exit_code == 2


def test_what_differs_from_a_file_is_listed_and_ends_with_0(check, tmp_path):
    before = tmp_path / 'before.json'
    before.write_text(json.dumps(register()))
    code, rows = check(register(rate=40), '--against', str(before))
    assert code == 0
    assert rows == [
        {
            'finding': 'changed',
            'path': 'team red',
            'problem': 'rate 20 becomes 40',
        }
    ]


def test_what_differs_from_the_version_in_force_is_listed(check, monkeypatch):
    in_force = {**register(users=['ana', 'ben']), 'change': {'who': 'ana'}}
    monkeypatch.setattr(
        client.AdminClient, 'fetch_register', lambda self: (7, in_force)
    )
    code, rows = check(register(), '--against', 'in-force')
    assert code == 0
    assert [row['problem'] for row in rows] == ['users without ben']


def test_a_first_register_is_compared_with_none(check, monkeypatch):
    monkeypatch.setattr(
        client.AdminClient, 'fetch_register', lambda self: (0, None)
    )
    code, rows = check(register(), '--against', 'in-force')
    assert code == 0
    assert {row['finding'] for row in rows} == {'added', 'changed'}


def test_a_daemon_that_does_not_answer_ends_with_5(check):
    arguments = ('--against', 'in-force', '--admin', '127.0.0.1:1')
    result_code, _ = check(register(), *arguments)
    assert result_code == 5


def test_users_are_compared_with_the_settings(check, tmp_path):
    path = tmp_path / 'settings.json'
    settings = world.settings_document('vm1', 'akhmim-yard', 1)
    path.write_text(json.dumps(settings))
    code, rows = check(register(), '--settings', str(path))
    assert code == 1
    assert kinds(rows) == [('never_matches', '$.register.teams[0].users[0]')]
    path.write_text(json.dumps({**settings, 'users': 7}))
    code, rows = check(register(), '--settings', str(path))
    assert code == 2
    assert rows[0]['path'] == f'{path}: $.users'


def test_a_file_to_compare_with_that_has_errors_is_named(check, tmp_path):
    before = tmp_path / 'before.json'
    before.write_text(json.dumps(register(rate=-1)))
    code, rows = check(register(), '--against', str(before))
    assert code == 2
    assert rows[0]['path'] == f'{before}: $.register.teams[0].rate'


def test_the_table_is_for_people(tmp_path):
    path = tmp_path / 'register.json'
    path.write_text(json.dumps(register(users=[])))
    result = testing.CliRunner().invoke(main.app, ['check', str(path)])
    assert 'team red has no user' in result.stdout
