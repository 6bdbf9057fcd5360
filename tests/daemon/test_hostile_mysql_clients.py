"""Clients that misbehave, at a daemon's MySQL, peer and admin listeners.

Each test starts a daemon with small limits. A crowd must neither end it nor
take it over its memory or descriptors, and an ordinary request is answered
afterwards.
"""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import subprocess
import sys

import pymysql
import pytest

import crowds
from chicoryusher import wire
from chicoryusher_standins import world as world_module

BIN = pathlib.Path(sys.executable).parent
KIB, MIB = crowds.KIB, crowds.MIB
MAX_MORE_MB = 60
MAX_MORE_FDS = 160
LIMITS = {
    'max_packet_bytes': MIB,
    'max_callers': 100,
    'max_newcomers': 100,
    'handshake_timeout': 3,
    'memory_mb': 150,
}
COM_QUERY = b'\x03'
COM_PREPARE = b'\x16'
COM_SEND_LONG_DATA = b'\x18'
STATEMENT_1 = (1).to_bytes(4, 'little')


class Daemon:
    """A daemon process of its own beside the daemons of a site."""

    def __init__(self, site, folder):
        port = site.world.platform_server.address[1]
        document = world_module.settings_document('vm9', 'akhmim-yard', port)
        document['limits'] = LIMITS
        path = folder / 'settings.json'
        path.write_text(json.dumps(document))
        self._log = crowds.ProcessLog(folder / 'log')
        self.process = subprocess.Popen(
            [BIN / 'chicoryusherd', path],
            env={**os.environ, **world_module.ENVIRONMENT},
            stderr=self._log.file,
        )
        crowds.wait_until(lambda: self._started() is not None)
        started = self._started()
        self.mysql = _address(started['mysql'])
        self.admin = _address(started['admin'])
        crowds.wait_until(self.answers)
        self.idle_mb = crowds.resident_mb(self.process.pid)
        self.idle_fds = crowds.open_fds(self.process.pid)

    def _started(self):
        line = self._log.first_line()
        return json.loads(line) if line.endswith('\n') else None

    def connect(self):
        return pymysql.connect(
            host=self.mysql[0],
            port=self.mysql[1],
            user='clerk',
            password=world_module.ENVIRONMENT['CLERK_PASSWORD'],
            database='spoonbook_1',
            autocommit=True,
            read_timeout=30,
        )

    def answers(self):
        """Return whether a new session gets the answer to a statement."""
        with contextlib.suppress(pymysql.Error):
            with self.connect() as conn, conn.cursor() as cursor:
                cursor.execute('SELECT 1')
                return cursor.fetchall() == ((1,),)
        return False

    def stop(self):
        self.process.kill()
        self.process.wait()
        self._log.file.close()

    def check_bounds(self):
        """Check that the process lives within its memory and descriptors."""
        assert self.process.poll() is None
        peak_mb = crowds.peak_mb(self.process.pid)
        assert peak_mb < self.idle_mb + MAX_MORE_MB
        more_fds = crowds.open_fds(self.process.pid) - self.idle_fds
        assert more_fds < MAX_MORE_FDS

    def send(self, crowd):
        """Have a crowd send all it has, and check what the process holds."""
        crowd.send()
        crowds.settle(self.process.pid, self.idle_mb + MAX_MORE_MB)
        self.check_bounds()
        crowd.close()
        crowds.wait_until(self.answers)
        self.check_bounds()


def _address(text):
    host, port = text.strip('()').split(', ')
    return host.strip("'"), int(port)


@pytest.fixture
def daemon(shared_site, tmp_path):
    process = Daemon(shared_site, tmp_path)
    yield process
    process.stop()


def command(code, payload):
    return wire.make_packets(code + payload)


def sessions(daemon, count, data, reads=False, **options):
    """Return a crowd of clients that have logged in."""
    crowd = crowds.Crowd(daemon.mysql, 0)
    for _ in range(count):
        conn = daemon.connect()
        sock = conn._sock.dup()
        crowd.add(crowds.Client(sock, data, reads=reads, **options))
    return crowd


@pytest.mark.parametrize('piece_bytes', [256 * KIB, 1500])
def test_many_large_statements_at_once(daemon, piece_bytes):
    data = command(COM_QUERY, b"SELECT '".ljust(MIB - 100, b'x') + b"'")
    daemon.send(sessions(daemon, 64, data, piece_bytes=piece_bytes))


def test_large_statements_sent_ahead(daemon):
    data = command(COM_QUERY, b"SELECT '".ljust(100 * KIB, b'x') + b"'")
    daemon.send(sessions(daemon, 24, data * 64))


def test_small_statements_sent_ahead(daemon):
    data = command(COM_QUERY, b'SELECT 1')
    daemon.send(sessions(daemon, 24, data * 50_000))


def test_packets_far_over_the_limit(daemon):
    data = (12 * MIB).to_bytes(3, 'little') + b'\0' + b'x' * (12 * MIB)
    daemon.send(sessions(daemon, 16, data))


def test_half_a_statement_and_silence(daemon):
    data = MIB.to_bytes(3, 'little') + b'\0' + b'x' * (900 * KIB)
    daemon.send(sessions(daemon, 90, data))


def test_half_a_handshake_and_silence(daemon):
    data = (60 * KIB).to_bytes(3, 'little') + b'\1' + b'x' * (50 * KIB)
    daemon.send(crowds.Crowd(daemon.mysql, 90, data))


@pytest.mark.parametrize('listener', ['mysql', 'admin'])
def test_connections_that_are_opened_and_left(daemon, listener):
    daemon.send(crowds.Crowd(getattr(daemon, listener), 300))


def test_parameter_data_that_sessions_keep(daemon):
    prepare = command(COM_PREPARE, b'SELECT ?')
    chunk = command(COM_SEND_LONG_DATA, STATEMENT_1 + b'\0\0' + b'x' * MIB)
    chunk = chunk[: 4 + 900 * KIB]
    chunk = (900 * KIB).to_bytes(3, 'little') + chunk[3:]
    daemon.send(sessions(daemon, 8, prepare + chunk * 20, reads=True))


def test_prepared_statements_that_sessions_keep(daemon):
    data = b''.join(
        command(COM_PREPARE, b"SELECT '%d" % number + b'x' * 900_000 + b"'")
        for number in range(20)
    )
    daemon.send(sessions(daemon, 8, data, reads=True))


def test_large_bodies_at_the_admin_listener(daemon):
    head = f'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: {15 * MIB}\r\n\r\n'
    data = head.encode() + b'x' * (15 * MIB - 1)
    daemon.send(crowds.Crowd(daemon.admin, 12, data))


def test_admin_calls_sent_ahead_of_answers_that_are_not_read(daemon):
    request = b'GET /status HTTP/1.1\r\nHost: a\r\n\r\n'
    daemon.send(crowds.Crowd(daemon.admin, 24, request * 20_000))
