"""The daemon and the tool as processes of their own."""

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


def _tool(*arguments, env=None):
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
    line = json.loads(process.stderr.readline())
    assert line['event'] == core.LogEvent.DAEMON_RUNNING.number
    yield process, line
    if process.poll() is None:
        process.kill()
    process.stderr.close()
    process.wait()


def _admin(line):
    _, port = line['admin'].strip('()').split(', ')
    return f'127.0.0.1:{port}'


def test_tool_asks_a_daemon_and_drains_it(daemon):
    process, line = daemon
    admin = _admin(line)
    for name in ('status', 'sessions', 'databases', 'gates', 'vms'):
        found = _tool(name, '--admin', admin, '--json')
        assert found.returncode == 0, found.stderr
        assert isinstance(json.loads(found.stdout), list)
    refused = _tool('status', '--admin', admin, '--token', 'wrong')
    assert refused.returncode == 1
    assert _tool('drain', '--admin', admin).returncode == 0
    assert process.wait(timeout=30) == 0


def test_sigterm_drains_a_daemon(daemon):
    process, _ = daemon
    process.send_signal(signal.SIGTERM)
    assert process.wait(timeout=30) == 0
    numbers = [json.loads(one)['event'] for one in process.stderr]
    draining = numbers.index(core.LogEvent.DAEMON_DRAINING.number)
    stopped = numbers.index(core.LogEvent.DAEMON_STOPPED.number)
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
    found = _tool('check', str(path), '--json')
    assert found.returncode == 2
    assert len(json.loads(found.stdout)) == 5
    started = subprocess.run(
        [BIN / 'chicoryusherd', path],
        env=_environment(),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert started.returncode == 2
    events = [json.loads(one) for one in started.stderr.splitlines()]
    assert [one['event'] for one in events] == [
        core.LogEvent.SETTINGS_BAD.number
    ] * 5
    assert all(one['path'] for one in events)


def test_missing_secret_is_a_defect(tmp_path):
    document = world_module.settings_document('vm9', 'zone', 1)
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(document))
    env = {k: v for k, v in _environment().items() if k != 'CLERK_PASSWORD'}
    found = _tool('check', str(path), '--json', env=env)
    assert found.returncode == 2
    assert 'CLERK_PASSWORD' in found.stdout


def test_register_is_shown_compared_applied_and_audited(own_site, tmp_path):
    daemon = own_site.world.daemons['vm2']
    admin = f'127.0.0.1:{daemon.admin.address[1]}'
    shown = json.loads(
        _tool('register', 'show', '--admin', admin, '--json').stdout
    )
    document = shown['document']
    document['rules']['default_deadline'] = 7.5
    path = tmp_path / 'register.json'
    path.write_text(json.dumps(document))
    diff = _tool('register', 'diff', str(path), '--admin', admin, '--json')
    assert diff.returncode == 4
    assert [one['path'] for one in json.loads(diff.stdout)] == [
        '$.rules.default_deadline'
    ]
    arguments = ('register', 'apply', str(path), '--admin', admin)
    first = _tool(*arguments, '--operator', 'ana', '--json')
    assert json.loads(first.stdout) == [{'version': 2}]
    stale = _tool(*arguments, '--expected', '1', '--operator', 'ben')
    assert stale.returncode == 3
    document['register']['databases'][0]['instances'][0]['slots'] = 0
    path.write_text(json.dumps(document))
    assert _tool(*arguments).returncode == 2

    def recorded():
        found = json.loads(_tool('audit', '--admin', admin, '--json').stdout)
        outcomes = [(one['who'], one['outcome']) for one in found]
        assert outcomes == [('ana', 'accepted'), ('ben', 'conflict')]

    own_site.poll(recorded)


def test_a_bad_chart_is_a_numbered_event_and_no_traceback(
    shared_site, tmp_path, monkeypatch, capsys
):
    def broken(chosen):
        problem = core.ChartProblem('$.states', 'state idle is missing')
        raise core.ChartError('session', (problem,))

    port = shared_site.world.platform_server.address[1]
    document = world_module.settings_document('vm8', 'akhmim-yard', port)
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(document))
    for name, value in world_module.ENVIRONMENT.items():
        monkeypatch.setenv(name, value)
    monkeypatch.setattr(main, 'run', broken)
    with pytest.raises(typer.Exit) as caught:
        main._command(path)
    assert caught.value.exit_code == main.ExitCode.BAD_CHART
    line = json.loads(capsys.readouterr().err)
    assert line['event'] == core.LogEvent.CHART_BAD.number
    assert 'state idle is missing' in line['why']
