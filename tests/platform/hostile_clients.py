"""An entry process with small limits, for crowds that misbehave."""

from __future__ import annotations

import base64
import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys
import threading
import urllib.error
import urllib.request

import crowds
import stand_ins
from chicoryusher import runtime

ROOT = pathlib.Path(__file__).parents[2]
HOST = crowds.HOST
MEMORY_MB = 120
# The resident size that a process may reach, and its size before the crowd.
MAX_RESIDENT_MB = 96
MAX_IDLE_MB = 60
MAX_FDS = 900
# Descriptors beyond those before the crowd: 100 callers, and connections of
# the process itself.
MAX_MORE_FDS = 160
BIG_ANSWER_BYTES = 512 * crowds.KIB
CONFIG = {
    'version': 3,
    'routes': [
        {
            'name': 'r1',
            'host': 'stock',
            'routeType': 'primary',
            'timeoutMs': 20000,
            'targetLatencyMs': 20000,
            'priority': 1,
            'service': 'spoonbook',
        }
    ],
    'services': [{'name': 'spoonbook', 'maxConnections': 4}],
    'limits': {'txIdleMs': 30000},
}


class Primary(threading.Thread):
    """An instance; while ``held`` it answers no statement but STATUS."""

    def __init__(self):
        super().__init__(daemon=True)
        self._server = socket.create_server((HOST, 0))
        self.address = '{}:{}'.format(*self._server.getsockname())
        self.released = threading.Event()
        self.released.set()

    def run(self):
        while True:
            conn, _ = self._server.accept()
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn):
        state = 'I'
        with (
            conn,
            conn.makefile('rb') as lines,
            contextlib.suppress(OSError),
        ):
            for line in lines:
                words = line.rstrip(b'\r\n').split(b' ')
                if words[0] == b'START':
                    conn.sendall(b'READY I 1.1\r\n')
                    continue
                if words[2] == b'STATUS':
                    reply = b'ROW primary 1 1.1 0 12 2 17\r\nCOMPLETE -\r\n'
                    conn.sendall(reply + b'READY I 1.1\r\n')
                    continue
                self.released.wait()
                if words[2] == b'BEGIN':
                    state = 'T'
                elif words[2] in (b'COMMIT', b'ROLLBACK'):
                    state = 'I'
                rows = b''
                if b'big' in words:
                    rows = b'ROW ' + b'v' * BIG_ANSWER_BYTES + b'\r\n'
                end = f'COMPLETE d1\r\nREADY {state} 1.1\r\n'.encode()
                conn.sendall(rows + end)


class Entry:
    """An entry process of its own, with a store and a primary."""

    def __init__(self, folder):
        self._loop = runtime.Runtime()
        store = stand_ins.StoreServer(self._loop)
        self.primary = Primary()
        row = stand_ins.instance_value(
            address=self.primary.address, dbRole='primary'
        )
        store.put('servers', 'i-1', row)
        value = base64.b64encode(json.dumps(CONFIG).encode()).decode()
        store.put('op', 'config', value)
        self._thread = threading.Thread(target=self._loop.run, daemon=True)
        ports = {
            name: (HOST, stand_ins.free_port())
            for name in ('callers', 'ready', 'metrics', 'promotions', 'peers')
        }
        self.addresses = ports
        self._path = folder / 'settings.json'
        document = {
            'name': 'front-1',
            'host': HOST,
            'zone': 'akhmim-yard',
            'regions': {'akhmim-yard': 'upper-nile'},
            'peer_port': ports['peers'][1],
            'store': f'{HOST}:{store.address[1]}',
            'spread': True,
            'grace_s': 4,
            'link_mbps': 100,
            'memory_mb': MEMORY_MB,
            'max_fds': MAX_FDS,
            'message_timeout_s': 4,
            'answer_timeout_s': 4,
        }
        for name in ('callers', 'ready', 'metrics', 'promotions'):
            document[name] = '{}:{}'.format(*ports[name])
        self._path.write_text(json.dumps(document))
        self.process = None

    def start(self):
        self.primary.start()
        self._thread.start()
        self.process = subprocess.Popen(
            [sys.executable, str(ROOT / 'platform' / 'serve.py')],
            env={**os.environ, 'CHICORYUSHER_SETTINGS': str(self._path)},
            stdout=subprocess.DEVNULL,
            cwd=ROOT,
        )
        crowds.wait_until(self.is_ready)
        crowds.wait_until(self.answers)
        assert crowds.resident_mb(self.process.pid) < MAX_IDLE_MB
        self.idle_fds = crowds.open_fds(self.process.pid)

    def stop(self):
        self.primary.released.set()
        self.process.kill()
        self.process.wait()
        self._loop.stop()
        self._thread.join(5)

    def is_ready(self):
        url = 'http://{}:{}/api/ready'.format(*self.addresses['ready'])
        try:
            return urllib.request.urlopen(url, timeout=5).status == 200
        except (OSError, urllib.error.HTTPError):
            return False

    def answers(self, text='READ i1'):
        """Return whether a new session gets the answer to a statement."""
        try:
            with socket.create_connection(self.addresses['callers']) as sock:
                sock.settimeout(30)
                sock.sendall(b'START stock u1\r\n')
                if sock.recv(100) != b'READY I -\r\n':
                    return False
                sock.sendall(f'QUERY r1 {text}\r\n'.encode())
                answer = b''
                while not answer.endswith(b'READY I 1.1\r\n'):
                    data = sock.recv(256 * crowds.KIB)
                    if not data:
                        return False
                    answer += data
        except OSError:
            return False
        return b'COMPLETE d1\r\n' in answer

    def settle(self):
        """Wait until the process has handled what it was sent."""
        crowds.settle(self.process.pid, MAX_RESIDENT_MB)

    def check_bounds(self):
        """Check that the process lives within its memory and descriptors."""
        assert self.process.poll() is None
        assert crowds.peak_mb(self.process.pid) < MAX_RESIDENT_MB
        more_fds = crowds.open_fds(self.process.pid) - self.idle_fds
        assert more_fds < MAX_MORE_FDS

    def check_after(self, crowd):
        """Check the bounds, and a request after the crowd has left."""
        self.check_bounds()
        crowd.close()
        self.primary.released.set()
        crowds.wait_until(self.answers)
        self.check_bounds()

    def check_crowd_dropped(self):
        """Check that the process closes the connections by itself."""
        crowds.wait_until(
            lambda: crowds.open_fds(self.process.pid) < self.idle_fds + 20, 400
        )
