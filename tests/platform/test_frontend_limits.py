"""What the front end tells a caller that has exceeded a limit."""

from __future__ import annotations

import json
import socket

import pytest

import stand_ins
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from fleet import frontend
from fleet import settings

VM = core.VmName('vm0')
Block = core.TransactionStatus
READY = b'READY I -\r\n'
LIMITS = decisions.CallerLimits(
    max_held_bytes=40_000,
    max_caller_bytes=30_000,
    message_timeout=20.0,
    answer_timeout=10.0,
)
STATEMENT = b'QUERY r%d WRITE a %s\r\n'


class Dispatcher(runtime.Task):
    """Starts every session, and leaves statements to the test."""

    def __init__(self, loop):
        super().__init__(loop, VM, 'desk')
        self.statements = []
        self.left = []

    @runtime.handles(core.StartSession)
    def _on_start(self, message):
        self.send(message.frontend, core.SessionStarted(message.session_id))

    @runtime.handles(core.PoolStatement)
    def _on_statement(self, message):
        self.statements.append(message)

    @runtime.handles(core.CallerDisconnected)
    def _on_left(self, message):
        self.left.append(message.session_id)

    def answer(self, statement, status=Block.IDLE, rows=()):
        answer = core.SessionAnswer(
            statement.session_id, statement.request_id, status, rows, 'd1'
        )
        self.send(core.TaskName('vm0/front'), answer)


class Scene:
    """A front end with small limits, on a virtual clock."""

    def __init__(self):
        self.clock = core.VirtualClock(10.0)
        self.loop = runtime.Runtime(self.clock)
        self.dispatcher = Dispatcher(self.loop)
        self.task = frontend.Frontend(
            self.loop, VM, 'b1', (stand_ins.HOST, 0), LIMITS
        )
        self.socks = []

    def session(self):
        sock = socket.create_connection(self.task.address)
        self.socks.append(sock)
        sock.sendall(b'START stock u1\r\n')
        self.expect(sock, READY)
        return sock

    def until(self, condition):
        stand_ins.run_until(self.loop, condition)

    def expect(self, sock, data):
        sock.setblocking(False)
        received = bytearray()

        def has_arrived():
            try:
                received.extend(sock.recv(65536))
            except BlockingIOError:
                return False
            return data in received

        self.until(has_arrived)
        sock.setblocking(True)

    def run_large(self, number, size=14_000):
        """Have a new session send a statement that runs."""
        sock = self.session()
        sock.sendall(STATEMENT % (number, b'x' * size))
        running = len(self.dispatcher.statements)
        self.until(lambda: len(self.dispatcher.statements) > running)
        return sock

    def close(self):
        for sock in self.socks:
            sock.close()
        self.loop.close()


@pytest.fixture
def scene():
    new_scene = Scene()
    yield new_scene
    new_scene.close()


def test_a_statement_without_room_is_busy_and_has_not_run(scene):
    """Load: more large statements at once than may be held."""
    for number in range(3):
        scene.run_large(number, 11_000)
    sock = scene.session()
    sock.sendall(STATEMENT % (9, b'x' * 5000))
    scene.expect(sock, b'ERROR BUSY busy\r\n' + READY)
    assert len(scene.dispatcher.statements) == 3
    sock.sendall(STATEMENT % (10, b'x'))
    scene.until(lambda: len(scene.dispatcher.statements) == 4)
    scene.dispatcher.answer(scene.dispatcher.statements[-1])
    scene.expect(sock, b'COMPLETE d1\r\n')


def test_a_statement_of_an_open_transaction_is_not_refused(scene):
    sock = scene.session()
    sock.sendall(b'QUERY r1 BEGIN\r\n')
    scene.until(lambda: scene.dispatcher.statements)
    scene.dispatcher.answer(scene.dispatcher.statements[0], Block.OPEN)
    scene.expect(sock, b'READY T -\r\n')
    for number in range(3):
        scene.run_large(number, 11_000)
    sock.sendall(STATEMENT % (9, b'x' * 5000))
    scene.until(lambda: len(scene.dispatcher.statements) == 5)


def test_the_largest_holder_is_closed_without_an_answer(scene):
    """Its statement may have run, which no answer may deny."""
    largest = scene.run_large(1, 20_000)
    for number in range(2):
        scene.run_large(number, 9_000)
    sock = scene.session()
    sock.sendall(b'QUERY r1 WRITE a ' + b'x' * 4000)
    scene.until(lambda: scene.dispatcher.left)
    assert scene.dispatcher.left == [scene.dispatcher.statements[0].session_id]
    assert largest.recv(100) == b''


def test_half_a_message_is_closed_and_an_idle_session_stays(scene):
    idle = scene.session()
    half = scene.session()
    half.sendall(b'QUERY r1 WRI')
    for _ in range(20):
        scene.loop.tick(timeout=0.005)
    scene.clock.advance_to(29.9)
    scene.loop.tick(timeout=0.005)
    assert scene.task.callers == 2
    scene.clock.advance_to(30.1)
    scene.until(lambda: scene.task.callers == 1)
    assert half.recv(100) == b''
    idle.sendall(b'QUERY r1 READ a\r\n')
    scene.until(lambda: scene.dispatcher.statements)


def test_the_time_of_a_message_does_not_run_while_a_statement_runs(scene):
    sock = scene.run_large(1, 100)
    sock.sendall(b'QUERY r2 READ')
    for _ in range(20):
        scene.loop.tick(timeout=0.005)
    scene.clock.advance_to(90.0)
    scene.loop.tick(timeout=0.005)
    scene.dispatcher.answer(scene.dispatcher.statements[0])
    scene.expect(sock, b'COMPLETE d1\r\n')
    sock.sendall(b' a\r\n')
    scene.until(lambda: len(scene.dispatcher.statements) == 2)


def write_settings(folder, **changes):
    document = {
        'name': 'front-1',
        'host': '10.1.0.8',
        'zone': 'akhmim-yard',
        'regions': {'akhmim-yard': 'upper-nile'},
        'callers': '10.1.0.8:1',
        'ready': '10.1.0.8:2',
        'peer_port': 3,
        'store': '10.1.0.9:1',
        'promotions': '10.1.0.9:2',
        'metrics': '10.1.0.8:4',
        'spread': True,
        'grace_s': 4,
        'link_mbps': 100,
        **changes,
    }
    path = folder / 'settings.json'
    path.write_text(json.dumps(document))
    return path


def test_limits_follow_from_the_settings(tmp_path):
    loaded = settings.load(write_settings(tmp_path))
    assert loaded.max_callers == 3500
    assert loaded.caller_limits == decisions.CallerLimits()
    path = write_settings(
        tmp_path,
        memory_mb=500,
        max_fds=1000,
        max_caller_kb=2000,
        max_kept_kb=100,
        message_timeout_s=7,
        answer_timeout_s=9.5,
    )
    loaded = settings.load(path)
    assert loaded.max_callers == 200
    assert loaded.caller_limits == decisions.CallerLimits(
        75 * 2**20, 2000 * 1024, 100 * 1024, 7.0, 9.5
    )


@pytest.mark.parametrize('name', ['memory_mb', 'max_held_kb', 'max_fds'])
def test_a_limit_that_is_no_number_above_0_is_refused(tmp_path, name):
    with pytest.raises(core.SettingsError) as raised:
        settings.load(write_settings(tmp_path, **{name: 0}))
    assert str(raised.value.problems[0]).startswith(f'$.{name}')
