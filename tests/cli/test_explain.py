from __future__ import annotations

import json

import pytest
from typer import testing

from chicoryusher.cli import explain
from chicoryusher.cli import main

LINES = [
    {
        'time': '2026-01-01T10:00:00.000',
        'level': 'warning',
        'event': 4012,
        'vm': 'vm1',
        'message': 'a primary is in use',
        'primary': None,
    },
    {
        'time': '2026-01-01T10:00:01.000',
        'level': 'info',
        'event': 3010,
        'vm': 'vm1',
        'message': 'a statement was answered with a refusal',
        'request': 'abc',
        'refusal': 'busy',
        'why': 'no instance may serve it',
    },
    {
        'time': '2026-01-01T10:00:00.500',
        'level': 'warning',
        'event': 4012,
        'vm': 'vm2',
        'message': 'a primary is in use',
    },
    {
        'time': '2026-01-01T09:00:00.000',
        'level': 'info',
        'event': 5003,
        'vm': 'vm1',
        'message': 'a configuration is in force',
    },
]


def texts():
    return [
        'front-1 | ' + json.dumps(LINES[1]),
        'no log line at all',
        '{broken',
        *(json.dumps(LINES[one]) for one in (0, 2, 3)),
    ]


def test_a_story_is_the_requests_lines_and_what_its_vm_believed():
    told = explain.story(explain.lines_of(texts()), 'abc')
    assert [one.event for one in told] == [4012, 3010]
    assert {one.vm for one in told} == {'vm1'}
    assert told[1].field('why') == 'no instance may serve it'


def line(second, event, **fields):
    when = f'2026-01-01T10:00:{second:06.3f}'
    document = {'time': when, 'event': event, 'vm': 'vm1', 'message': 'm'}
    return json.dumps({**document, **fields})


def test_other_groups_and_other_instances_are_left_out():
    lines = explain.lines_of(
        [
            line(1.0, 4012, service='s1', primary='None'),
            line(1.1, 4012, service='s2', primary='None'),
            line(1.2, 3003, instance='i-1', why='too_many'),
            line(1.3, 3003, instance='i-2', why='too_many'),
            line(1.4, 4014, age=3.1),
            line(1.5, 3012, request='abc', service='s1', instance='i-1'),
            line(1.6, 3010, request='abc', service='s1', instance='i-1'),
        ]
    )
    told = [one.when[-5:] for one in explain.story(lines, 'abc')]
    assert told == ['1.000', '1.200', '1.400', '1.500', '1.600']


def test_what_held_since_long_before_is_told_too():
    lines = explain.lines_of(
        [
            line(1.0, 4014, age=3.0),
            line(2.0, 4012, service='s1', primary='i-1'),
            line(3.0, 4012, service='s1', primary='None'),
            line(4.0, 4012, service='s2', primary='None'),
            line(30.0, 3010, request='abc', service='s1'),
        ]
    )
    told = [one.when[-6:] for one in explain.story(lines, 'abc')]
    assert told == ['01.000', '03.000', '30.000']


def test_an_unknown_request_has_no_story():
    assert explain.story(explain.lines_of(texts()), 'xyz') == []


@pytest.mark.parametrize('from_file', [True, False])
def test_the_command_reads_files_and_standard_input(tmp_path, from_file):
    text = '\n'.join(texts())
    runner = testing.CliRunner()
    if from_file:
        path = tmp_path / 'vm1.log'
        path.write_text(text)
        result = runner.invoke(main.app, ['explain', 'abc', str(path)])
    else:
        result = runner.invoke(main.app, ['explain', 'abc'], input=text)
    assert result.exit_code == 0
    assert 'no instance may serve it' in result.output


def test_a_request_without_a_line_is_said_so():
    runner = testing.CliRunner()
    result = runner.invoke(main.app, ['explain', 'xyz'], input='')
    assert result.exit_code == 1


def test_a_missing_file_is_a_bad_file(tmp_path):
    runner = testing.CliRunner()
    path = str(tmp_path / 'none.log')
    result = runner.invoke(main.app, ['explain', 'abc', path])
    assert result.exit_code == 2
