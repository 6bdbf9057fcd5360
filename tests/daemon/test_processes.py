"""Tests that run the daemon and the command line as processes."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys

import pytest
import typer

from chicoryusher import core
from chicoryusher.daemon import main
from chicoryusher_standins import world as world_module

BIN = pathlib.Path(sys.executable).parent


def _environment():
    return {**os.environ, **world_module.ENVIRONMENT}


def _run_tool(*arguments, env=None):
    return subprocess.run(
        [BIN / 'chicoryusher', *arguments],
        env=env or _environment(),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@pytest.fixture
def daemon(shared_site, tmp_path):
    port = shared_site.world.platform_server.address[1]
    document = world_module.settings_document('vm9', 'akhmim-yard', port)
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(document))
    process = subprocess.Popen(
        [BIN / 'chicoryusherd', path],
        env=_environment(),
        stderr=subprocess.PIPE,
        text=True,
    )
    started = json.loads(process.stderr.readline())
    assert started['event'] == core.LogEvent.DAEMON_RUNNING.number
    yield process, started
    if process.poll() is None:
        process.kill()
    process.stderr.close()
    process.wait()


def _admin_address(started):
    _, port = started['admin'].strip('()').split(', ')
    return f'127.0.0.1:{port}'


def test_tool_asks_a_daemon_and_drains_it(daemon):
    process, started = daemon
    admin = _admin_address(started)
    for name in ('status', 'sessions', 'databases', 'gates', 'vms'):
        result = _run_tool(name, '--admin', admin, '--json')
        assert result.returncode == 0, result.stderr
        assert isinstance(json.loads(result.stdout), list)
    refused = _run_tool('status', '--admin', admin, '--token', 'wrong')
    assert refused.returncode == 1
    assert _run_tool('drain', '--admin', admin).returncode == 0
    assert process.wait(timeout=30) == 0


def test_sigterm_drains_a_daemon(daemon):
    process, _ = daemon
    process.send_signal(signal.SIGTERM)
    assert process.wait(timeout=30) == 0
    event_numbers = [json.loads(entry)['event'] for entry in process.stderr]
    draining = event_numbers.index(core.LogEvent.DAEMON_DRAINING.number)
    stopped = event_numbers.index(core.LogEvent.DAEMON_STOPPED.number)
    assert draining < stopped


def test_every_settings_defect_is_reported_at_once(tmp_path):
    document = world_module.settings_document('vm9', 'zone', 1)
    document['vm'] = ''
    document['mysql']['port'] = 70000
    document['drain_seconds'] = -1
    document['colour'] = 'green'
    del document['zone']
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(document))
    result = _run_tool('check', str(path), '--json')
    assert result.returncode == 2
    assert len(json.loads(result.stdout)) == 5
    started = subprocess.run(
        [BIN / 'chicoryusherd', path],
        env=_environment(),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert started.returncode == 2
    events = [json.loads(entry) for entry in started.stderr.splitlines()]
    assert [entry['event'] for entry in events] == [
        core.LogEvent.SETTINGS_BAD.number
    ] * 5
    assert all(entry['path'] for entry in events)


def test_missing_secret_is_a_defect(tmp_path):
    document = world_module.settings_document('vm9', 'zone', 1)
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(document))
    env = {k: v for k, v in _environment().items() if k != 'CLERK_PASSWORD'}
    result = _run_tool('check', str(path), '--json', env=env)
    assert result.returncode == 2
    assert 'CLERK_PASSWORD' in result.stdout


def test_register_is_shown_compared_applied_and_audited(own_site, tmp_path):
    daemon = own_site.world.daemons['vm2']
    admin = f'127.0.0.1:{daemon.admin.address[1]}'
    shown = json.loads(
        _run_tool('register', 'show', '--admin', admin, '--json').stdout
    )
    document = shown['document']
    document['rules']['default_deadline'] = 7.5
    path = tmp_path / 'register.json'
    path.write_text(json.dumps(document))
    diff = _run_tool('register', 'diff', str(path), '--admin', admin, '--json')
    assert diff.returncode == 4
    assert [entry['path'] for entry in json.loads(diff.stdout)] == [
        '$.rules.default_deadline'
    ]
    arguments = ('register', 'apply', str(path), '--admin', admin)
    first = _run_tool(*arguments, '--operator', 'ana', '--json')
    assert json.loads(first.stdout) == [{'version': 2}]
    stale = _run_tool(*arguments, '--expected', '1', '--operator', 'ben')
    assert stale.returncode == 3
    document['register']['databases'][0]['instances'][0]['slots'] = 0
    path.write_text(json.dumps(document))
    assert _run_tool(*arguments).returncode == 2

    def assert_audit_rows():
        result = json.loads(
            _run_tool('audit', '--admin', admin, '--json').stdout
        )
        outcomes = [(entry['who'], entry['outcome']) for entry in result]
        assert outcomes == [('ana', 'accepted'), ('ben', 'conflict')]

    own_site.poll(assert_audit_rows)


def test_a_bad_chart_is_a_numbered_event_and_no_traceback(
    shared_site, tmp_path, monkeypatch, capsys
):
    def fail_on_chart(daemon_settings):
        problem = core.ChartProblem('$.states', 'state idle is missing')
        raise core.ChartError('session', (problem,))

    port = shared_site.world.platform_server.address[1]
    document = world_module.settings_document('vm8', 'akhmim-yard', port)
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(document))
    for name, value in world_module.ENVIRONMENT.items():
        monkeypatch.setenv(name, value)
    monkeypatch.setattr(main, 'run', fail_on_chart)
    with pytest.raises(typer.Exit) as exited:
        main._run_command(path)
    assert exited.value.exit_code == main.ExitCode.BAD_CHART
    log_line = json.loads(capsys.readouterr().err)
    assert log_line['event'] == core.LogEvent.CHART_BAD.number
    assert 'state idle is missing' in log_line['why']
