"""No password or token appears in what operators read."""

from __future__ import annotations

import json
import signal
import subprocess
from concurrent import futures

import pymysql
import pytest
import test_processes

from chicoryusher_standins import world as world_module

REVOCATION_S = 30
# Calls of the command line that only read, and run beside each other.
MAX_CALLS = 4
WRONG_PASSWORD = 'stolen-password'
BACKUP_PASSWORD = 'backup-password'
ENVIRONMENT = {
    **world_module.ENVIRONMENT,
    'BACKUP_PASSWORD': BACKUP_PASSWORD,
}
SECRETS = (*ENVIRONMENT.values(), WRONG_PASSWORD)
TEAMS = [
    {'name': 'red', 'users': ['clerk'], 'rate': 20, 'burst': 5},
    {'name': 'blue', 'users': []},
]
REPORTS = (
    ('status',),
    ('teams',),
    ('sessions',),
    ('databases',),
    ('gates',),
    ('vms',),
    ('audit',),
    ('register', 'show'),
)


@pytest.fixture
def started(own_site, tmp_path):
    """Start a daemon at a site that has no teams yet; return its files."""
    port = own_site.world.platform_server.address[1]
    document = world_module.settings_document('vm9', 'akhmim-yard', port)
    document['metrics'] = {'exporter': 'console', 'interval': 0.2}
    document['users'].append(
        {
            'name': 'backup',
            'caller': 'backups',
            'password_env': 'BACKUP_PASSWORD',
        }
    )
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(document))
    log, measured = tmp_path / 'log', tmp_path / 'metrics'
    with log.open('w') as stderr, measured.open('w') as stdout:
        process = subprocess.Popen(
            [test_processes.BIN / 'chicoryusherd', path],
            env={**test_processes._environment(), **ENVIRONMENT},
            stderr=stderr,
            stdout=stdout,
        )
    own_site.poll(lambda: running_event(log))
    yield process, running_event(log), log, measured
    if process.poll() is None:
        process.kill()
    process.wait()


def running_event(log):
    """Return the first log line; AssertionError before it is written."""
    lines = log.read_text().splitlines()
    assert lines
    return json.loads(lines[0])


def run_tool(admin, *arguments):
    return test_processes._run_tool(*arguments, '--admin', admin)


def connect(event, user, password):
    _, port = event['mysql'].strip('()').split(', ')
    return pymysql.connect(
        host=world_module.HOST,
        port=int(port),
        user=user,
        password=password,
        database='spoonbook_1',
    )


def code_of(event, user, password):
    """Return the error number of a login, 0 if it succeeds."""
    try:
        connect(event, user, password).close()
    except pymysql.Error as exc:
        return exc.args[0]
    return 0


def test_no_secret_is_logged_measured_shown_or_audited(
    own_site, started, tmp_path
):
    process, event, log, measured = started
    admin = test_processes._admin_address(event)
    own_site.poll(lambda: connect(event, 'backup', BACKUP_PASSWORD).close())
    shown = run_tool(admin, 'register', 'show', '--json')
    document = json.loads(shown.stdout)['document']
    document['register']['teams'] = TEAMS
    document['rules']['revocation_seconds'] = REVOCATION_S
    path = tmp_path / 'register.json'
    path.write_text(json.dumps(document))
    outputs = [
        run_tool(admin, 'check', str(path), '--against', 'in-force'),
        run_tool(admin, 'register', 'apply', str(path), '--operator', 'ana'),
    ]
    assert [output.returncode for output in outputs] == [1, 0]

    def assert_in_force():
        assert code_of(event, 'backup', BACKUP_PASSWORD) == 1045

    own_site.poll(assert_in_force)
    clerk = connect(event, 'clerk', ENVIRONMENT['CLERK_PASSWORD'])
    assert code_of(event, 'clerk', WRONG_PASSWORD) == 1045
    calls = [*REPORTS, *((*report, '--json') for report in REPORTS)]
    with futures.ThreadPoolExecutor(MAX_CALLS) as pool:
        outputs += pool.map(lambda call: run_tool(admin, *call), calls)
    teams = json.loads(run_tool(admin, 'teams', '--json').stdout)
    assert [(team['team'], team['sessions']) for team in teams] == [
        ('red', '1'),
        ('blue', '0'),
    ]
    (status,) = json.loads(run_tool(admin, 'status', '--json').stdout)
    assert status['teams'] == '2'
    assert float(status['confirmed']) < REVOCATION_S
    clerk.close()
    process.send_signal(signal.SIGTERM)
    assert process.wait(timeout=30) == 0
    texts = [log.read_text(), measured.read_text()]
    texts += [output.stdout + output.stderr for output in outputs]
    assert 'chicoryusher.statements' in texts[1]
    assert '"event": 2009' in texts[0]
    for secret in SECRETS:
        assert not any(secret in text for text in texts), secret
