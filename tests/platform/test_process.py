"""The entry program in a separate process, with a stand-in for the store."""

from __future__ import annotations

import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request

import pytest

import stand_ins
from chicoryusher import core
from chicoryusher import runtime
from fleet import settings as fleet_settings

ROOT = pathlib.Path(__file__).parents[2]
HOST = '127.0.0.1'
CONFIG = {
    'version': 3,
    'routes': [
        {
            'name': 'r1',
            'host': 'stock',
            'routeType': 'primary',
            'timeoutMs': 1000,
            'targetLatencyMs': 600,
            'priority': 1,
            'service': 'spoonbook',
        }
    ],
    'services': [{'name': 'spoonbook', 'maxConnections': 21}],
    'limits': {'txIdleMs': 3000},
}


@pytest.fixture
def store():
    loop = runtime.Runtime()
    server = stand_ins.StoreServer(loop)
    value = base64.b64encode(json.dumps(CONFIG).encode()).decode()
    server.put('op', 'config', value)
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    yield server
    loop.stop()
    thread.join(5)


@pytest.fixture
def settings(tmp_path, store):
    document = {
        'name': 'front-1',
        'host': HOST,
        'zone': 'akhmim-yard',
        'regions': {'akhmim-yard': 'upper-nile'},
        'callers': f'{HOST}:{stand_ins.free_port()}',
        'ready': f'{HOST}:{stand_ins.free_port()}',
        'peer_port': stand_ins.free_port(),
        'store': f'{HOST}:{store.address[1]}',
        'promotions': f'{HOST}:{stand_ins.free_port()}',
        'metrics': f'{HOST}:{stand_ins.free_port()}',
        'spread': True,
        'grace_s': 4,
        'link_mbps': 100,
    }
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(document))
    return path


def start(path):
    return subprocess.Popen(
        [sys.executable, str(ROOT / 'platform' / 'serve.py')],
        env={**os.environ, 'CHICORYUSHER_SETTINGS': str(path)},
        stdout=subprocess.PIPE,
        cwd=ROOT,
    )


def is_ready(path):
    address = json.loads(path.read_text())['ready']
    try:
        url = f'http://{address}/api/ready'
        return urllib.request.urlopen(url, timeout=5).status == 200
    except (OSError, urllib.error.HTTPError):
        return False


def metrics(path):
    address = json.loads(path.read_text())['metrics']
    try:
        url = f'http://{address}/metrics'
        return urllib.request.urlopen(url, timeout=5).read().decode()
    except OSError:
        return ''


def wait_until(condition, tries=600):
    for _ in range(tries):
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError('the condition never held')


def test_a_process_serves_ignores_sighup_and_shuts_down(settings):
    process = start(settings)
    try:
        wait_until(lambda: is_ready(settings))
        process.send_signal(signal.SIGHUP)
        host, port = json.loads(settings.read_text())['callers'].split(':')
        with socket.create_connection((host, int(port)), 5) as sock:
            sock.settimeout(5)
            sock.sendall(b'START stock u1\r\n')
            assert sock.recv(100) == b'READY I -\r\n'
            wait_until(
                lambda: 'chicoryusher_sessions 1.0' in metrics(settings)
            )
            process.send_signal(signal.SIGTERM)
            wait_until(lambda: not is_ready(settings))
            assert sock.recv(100) == b''
        assert process.wait(20) == 0
    finally:
        process.kill()
    out = process.stdout.read().decode()
    events = [json.loads(line)['event'] for line in out.splitlines()]
    assert {1001, 1002, 1003, 1010, 5003, 5010} <= set(events)


def test_settings_that_are_absent_switch_nothing_on(settings):
    loaded = fleet_settings.load(settings)
    assert loaded.evidence is core.EvidenceMode.OFF
    assert not loaded.announces_changes
    assert not loaded.watches_owners
    assert not loaded.keeps_to_cap
    assert not loaded.judges_in_partition


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('instance_evidence', 'on'),
        ('announce_changes', 'use'),
        ('watch_owners', 1),
        ('keep_to_cap', 'yes'),
        ('judge_in_partition', 'use'),
    ],
)
def test_a_switch_with_another_value_is_refused(settings, name, value):
    document = json.loads(settings.read_text())
    settings.write_text(json.dumps({**document, name: value}))
    with pytest.raises(core.SettingsError) as refused:
        fleet_settings.load(settings)
    assert name in str(refused.value)


def test_bad_settings_are_refused_with_every_defect(settings):
    document = json.loads(settings.read_text())
    document.update(grace_s=0, store='nowhere', zone=7)
    settings.write_text(json.dumps(document))
    process = start(settings)
    out, _ = process.communicate(timeout=60)
    assert process.returncode == 2
    lines = out.decode().splitlines()
    assert len(lines) == 3
    for name in ('grace_s', 'store', 'zone'):
        assert any(f'$.{name}' in line for line in lines)


def test_a_log_that_is_not_read_does_not_stop_the_process(settings):
    """Nothing reads the pipe that the log is written to."""
    process = start(settings)
    try:
        wait_until(lambda: is_ready(settings))
        host, port = json.loads(settings.read_text())['callers'].split(':')
        for _ in range(1500):
            with socket.create_connection((host, int(port)), 5) as sock:
                sock.sendall(b'NONSENSE\r\n')
        assert is_ready(settings)
    finally:
        process.kill()
        process.wait(5)


CHECK_SIGHUP_HANDLER = """
import runpy, signal, sys, types
fleet = types.ModuleType('fleet')
fleet.main = types.ModuleType('fleet.main')
sys.modules.update({'fleet': fleet, 'fleet.main': fleet.main})
runpy.run_path(sys.argv[1], run_name='serve')
print(signal.getsignal(signal.SIGHUP).name)
"""


def test_sighup_during_the_start_does_not_end_the_process():
    """SIGHUP must be ignored before the program has its own handler.

    Otherwise a SIGHUP during the start ends the process. Seed 103 of the
    soak test showed this.
    """
    serve = str(ROOT / 'platform' / 'serve.py')
    completed = subprocess.run(
        [sys.executable, '-c', CHECK_SIGHUP_HANDLER, serve],
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.strip() == 'SIG_IGN'


class SilentPrimary(threading.Thread):
    """An instance that accepts sessions and answers no statement."""

    def __init__(self):
        super().__init__(daemon=True)
        self._server = socket.create_server((HOST, 0))
        self.address = '{}:{}'.format(*self._server.getsockname())
        self.queries = []

    def run(self):
        while True:
            conn, _ = self._server.accept()
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn):
        with (
            conn,
            conn.makefile('rb') as lines,
            contextlib.suppress(ConnectionResetError),
        ):
            for line in lines:
                if line.startswith(b'START'):
                    conn.sendall(b'READY I 1.1\r\n')
                else:
                    self.queries.append(line.decode().split()[1])


def test_a_request_in_hand_at_the_end_is_answered_whole(settings, store):
    """Guards against LOST: the loop stopped and cut off running requests."""
    primary = SilentPrimary()
    primary.start()
    entry = stand_ins.instance_value(address=primary.address, dbRole='primary')
    store.put('servers', 'i-1', entry)
    route = {**CONFIG['routes'][0], 'timeoutMs': 30000}
    config = {**CONFIG, 'version': 4, 'routes': [route]}
    store.put('op', 'config', stand_ins.encode_value(config))
    process = start(settings)
    try:
        wait_until(lambda: is_ready(settings))
        host, port = json.loads(settings.read_text())['callers'].split(':')
        with socket.create_connection((host, int(port)), 5) as sock:
            sock.settimeout(10)
            sock.sendall(b'START stock u1\r\n')
            assert sock.recv(100) == b'READY I -\r\n'
            process.send_signal(signal.SIGTERM)
            sock.sendall(b'QUERY r1 WRITE 1a4 x\r\n')
            wait_until(lambda: 'r1' in primary.queries)
            with sock.makefile('rb') as answer:
                lines = answer.read().decode().splitlines()
        assert process.wait(20) == 0
    finally:
        process.kill()
    assert [line.split()[:2] for line in lines] == [
        ['ERROR', 'INDOUBT'],
        ['READY', 'I'],
    ]
