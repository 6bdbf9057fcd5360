"""A caller's key appears nowhere that operators or instances read."""

from __future__ import annotations

import contextlib
import json
import socket

import pytest
import test_process
from typer import testing

import stand_ins
from chicoryusher.cli import main

KEY = 'k-3f9a1c77'
TAKEN_AWAY = 'k-aa01ff20'
SHARED = 'k-5e5e5e5e'
UNKNOWN = 'k-0badc0de'
LONG = 'k-' + 'x' * 300
TEAMS = [
    {'name': 'red', 'apiKeys': [KEY, SHARED, 7], 'ratePerS': 20, 'burst': 5},
    {'name': 'blue', 'apiKeys': [SHARED, TAKEN_AWAY]},
]
REQUEST = 'r1'

settings = test_process.settings
store = test_process.store


class RecordingPrimary(test_process.SilentPrimary):
    """An instance that keeps every line that it receives."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def _serve(self, conn):
        with (
            conn,
            conn.makefile('rb') as lines,
            contextlib.suppress(ConnectionResetError),
        ):
            for line in lines:
                self.lines.append(line.decode())
                if line.startswith(b'START'):
                    conn.sendall(b'READY I 1.1\r\n')


@pytest.fixture
def primary(store):
    primary = RecordingPrimary()
    primary.start()
    entry = stand_ins.instance_value(address=primary.address, dbRole='primary')
    store.put('servers', 'i-1', entry)
    put_teams(store, TEAMS, 4)
    return primary


def put_teams(store, teams, version):
    config = {**test_process.CONFIG, 'version': version, 'tenants': teams}
    store.put('op', 'config', stand_ins.encode_value(config))


def exchange(settings, *lines):
    """Return what the entry process answers to the lines of one caller."""
    host, port = json.loads(settings.read_text())['callers'].split(':')
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.settimeout(10)
        sock.sendall(''.join(f'{line}\r\n' for line in lines).encode())
        with sock.makefile('rb') as answer:
            return [line.decode() for line in answer]


def explain(log):
    result = testing.CliRunner().invoke(
        main.app, ['explain', REQUEST], input=log
    )
    assert result.exit_code == 0, result.output
    return result.output


def test_no_key_is_logged_measured_explained_or_passed_on(
    settings, store, primary
):
    process = test_process.start(settings)
    try:
        test_process.wait_until(lambda: test_process.is_ready(settings))
        served = exchange(
            settings,
            f'START stock {KEY}',
            f'QUERY {REQUEST} WRITE 1a4 x',
            'TERMINATE',
        )
        for key in (UNKNOWN, SHARED, LONG):
            answer = exchange(settings, f'START stock {key}')
            assert answer[0].startswith('ERROR NOAUTH ')
        exchange(settings, f'START {KEY}')
        exchange(settings, f'START {KEY} stock')
        exchange(settings, KEY)
        exchange(settings, f'START stock {KEY}', f'START stock {KEY}')
        exchange(settings, f'START stock {KEY}', f'QUERY r2 {KEY}')
        put_teams(store, [{'name': KEY, 'apiKeys': KEY}, *TEAMS[:1]], 5)
        test_process.wait_until(
            lambda: exchange(settings, f'START stock {TAKEN_AWAY}')[
                0
            ].startswith('ERROR NOAUTH')
        )
        test_process.wait_until(
            lambda: 'team_refused' in test_process.metrics(settings)
        )
        measured = test_process.metrics(settings)
    finally:
        process.terminate()
        log = process.communicate(timeout=20)[0].decode()
    assert served[0] == 'READY I -\r\n'
    assert '"team": "red"' in log
    explained = explain(log)
    assert 'team=red' in explained
    assert any(
        line.startswith('START spoonbook red') for line in primary.lines
    )
    texts = {
        'log': log,
        'metrics': measured,
        'explain': explained,
        'instance': ''.join(primary.lines),
    }
    for key in (KEY, TAKEN_AWAY, SHARED, UNKNOWN, LONG[:100]):
        leaks = [name for name, text in texts.items() if key in text]
        assert leaks == [], key
