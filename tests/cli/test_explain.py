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


def log_texts():
    return [
        'front-1 | ' + json.dumps(LINES[1]),
        'no log line at all',
        '{broken',
        *(json.dumps(LINES[index]) for index in (0, 2, 3)),
    ]


def test_the_timeline_has_the_requests_lines_and_its_vms_state():
    timeline = explain.request_timeline(
        explain.parse_log_lines(log_texts()), 'abc'
    )
    assert [entry.event for entry in timeline] == [4012, 3010]
    assert {entry.vm for entry in timeline} == {'vm1'}
    assert timeline[1].field_text('why') == 'no instance may serve it'


def log_text(second, event, **fields):
    time = f'2026-01-01T10:00:{second:06.3f}'
    document = {'time': time, 'event': event, 'vm': 'vm1', 'message': 'm'}
    return json.dumps({**document, **fields})


def test_other_groups_and_other_instances_are_left_out():
    lines = explain.parse_log_lines(
        [
            log_text(1.0, 4012, service='s1', primary='None'),
            log_text(1.1, 4012, service='s2', primary='None'),
            log_text(1.2, 3003, instance='i-1', why='too_many'),
            log_text(1.3, 3003, instance='i-2', why='too_many'),
            log_text(1.4, 4014, age=3.1),
            log_text(1.5, 3012, request='abc', service='s1', instance='i-1'),
            log_text(1.6, 3010, request='abc', service='s1', instance='i-1'),
        ]
    )
    timeline = [
        entry.logged_at[-5:]
        for entry in explain.request_timeline(lines, 'abc')
    ]
    assert timeline == ['1.000', '1.200', '1.400', '1.500', '1.600']


def test_a_state_set_long_before_is_included():
    lines = explain.parse_log_lines(
        [
            log_text(1.0, 4014, age=3.0),
            log_text(2.0, 4012, service='s1', primary='i-1'),
            log_text(3.0, 4012, service='s1', primary='None'),
            log_text(4.0, 4012, service='s2', primary='None'),
            log_text(30.0, 3010, request='abc', service='s1'),
        ]
    )
    timeline = [
        entry.logged_at[-6:]
        for entry in explain.request_timeline(lines, 'abc')
    ]
    assert timeline == ['01.000', '03.000', '30.000']


def test_an_unknown_request_has_an_empty_timeline():
    assert (
        explain.request_timeline(explain.parse_log_lines(log_texts()), 'xyz')
        == []
    )


@pytest.mark.parametrize('from_file', [True, False])
def test_the_command_reads_files_and_standard_input(tmp_path, from_file):
    text = '\n'.join(log_texts())
    runner = testing.CliRunner()
    if from_file:
        path = tmp_path / 'vm1.log'
        path.write_text(text)
        result = runner.invoke(main.app, ['explain', 'abc', str(path)])
    else:
        result = runner.invoke(main.app, ['explain', 'abc'], input=text)
    assert result.exit_code == 0
    assert 'no instance may serve it' in result.output


def test_a_request_without_a_line_is_an_error():
    runner = testing.CliRunner()
    result = runner.invoke(main.app, ['explain', 'xyz'], input='')
    assert result.exit_code == 1


def test_a_missing_file_is_a_bad_file(tmp_path):
    runner = testing.CliRunner()
    path = str(tmp_path / 'none.log')
    result = runner.invoke(main.app, ['explain', 'abc', path])
    assert result.exit_code == 2
