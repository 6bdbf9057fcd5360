"""The front end on real sockets, with bad callers beside good ones."""

from __future__ import annotations

import random
import socket

import pytest

import stand_ins
from chicoryusher import core
from chicoryusher import runtime
from fleet import front

HOST = '127.0.0.1'
BAD_CALLERS = 400
MESSAGES_EACH = 25
READY = b'READY I -\r\n'


class Desk(runtime.Task):
    """Answers every statement at once; knows one database."""

    def __init__(self, loop):
        super().__init__(loop, 'vm0', 'desk')
        self.left = 0
        self.statements = 0

    @runtime.handles(core.StartSession)
    def _on_start(self, message):
        refusal = None
        if message.database != 'stock':
            refusal = core.Refusal.NO_DATABASE
        self.send(
            message.frontend,
            core.SessionStarted(message.session_id, refusal),
        )

    @runtime.handles(core.PoolStatement)
    def _on_statement(self, message):
        self.statements += 1
        self.send(
            core.TaskName('vm0/front'),
            core.SessionAnswer(
                message.session_id,
                message.request_id,
                core.BlockState.IDLE,
                (message.statement.text,),
                'd1',
            ),
        )

    @runtime.handles(core.SessionLeft)
    def _on_left(self, message):
        self.left += 1


class Client:
    """A caller's socket that never blocks the test."""

    def __init__(self, loop, task):
        self._loop = loop
        self._sock = socket.create_connection(task.address)
        self._sock.setblocking(False)
        self.data = b''
        self.closed = False

    def send(self, data):
        try:
            self._sock.sendall(data)
        except OSError:
            self.closed = True

    def pull(self):
        try:
            data = self._sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            self.closed = True
            return
        self.data += data
        self.closed = self.closed or not data

    def until(self, condition):
        def met():
            self.pull()
            return condition(self)

        stand_ins.run_until(self._loop, met)

    def close(self):
        self._sock.close()


@pytest.fixture
def loop():
    made = runtime.Runtime()
    yield made
    made.close()


@pytest.fixture
def desk(loop):
    return Desk(loop)


@pytest.fixture
def task(loop, desk):
    return front.Front(loop, core.VmName('vm0'), 'b1', (HOST, 0))


def started(loop, task):
    client = Client(loop, task)
    client.send(b'START stock u1\r\n')
    client.until(lambda one: one.data == READY)
    client.data = b''
    return client


def asked(client, number):
    client.data = b''
    client.send(f'QUERY r{number} READ i{number}\r\n'.encode())
    wanted = f'ROW READ i{number}\r\nCOMPLETE d1\r\n'.encode() + READY
    client.until(lambda one: one.data == wanted)


def test_a_session_starts_and_is_answered(loop, task):
    client = started(loop, task)
    asked(client, 1)
    asked(client, 2)


def test_torn_and_glued_lines_are_the_same(loop, task):
    client = Client(loop, task)
    for byte in b'START stock u1\r\nQUERY r1 RE':
        client.send(bytes([byte]))
        loop.tick(timeout=0)
    client.send(b'AD i1\r\nQUERY r2 READ i2\r\n')
    client.until(lambda one: one.data.count(b'READY') == 3)
    assert client.data.index(b'i1') < client.data.index(b'i2')


def test_an_unknown_database_is_an_error_and_a_close(loop, task):
    client = Client(loop, task)
    client.send(b'START nowhere u1\r\n')
    client.until(lambda one: one.closed)
    assert client.data.startswith(b'ERROR NODB ')


@pytest.mark.parametrize(
    'data',
    [
        b'QUERY r1 READ a\r\n',
        b'HELLO\r\n',
        b'START\r\n',
        b'START stock u1\r\nSTART stock u1\r\n',
        b'START stock u1\r\nQUERY - STATUS\r\n',
        b'START stock u1\r\nQUERY r1 DROP a\r\n',
        b'START stock u1\r\nQUERY r1 READ a\nQUERY r2 READ b\r\n',
    ],
)
def test_bad_input_is_an_error_and_a_close(loop, task, data):
    client = Client(loop, task)
    client.send(data)
    client.until(lambda one: one.closed)
    assert b'ERROR MALFORMED ' in client.data


def test_a_message_over_the_bound_is_an_error_and_a_close(loop, task):
    client = Client(loop, task)
    for _ in range(20):
        client.send(b'x' * 60_000)
        for _ in range(4):
            loop.tick(timeout=0.001)
    client.until(lambda one: one.closed)


def test_the_end_of_a_caller_reaches_the_desk(loop, task, desk):
    client = started(loop, task)
    client.send(b'TERMINATE\r\n')
    client.until(lambda one: one.closed)
    stand_ins.run_until(loop, lambda: desk.left == 1)
    assert task.callers == 0


def junk(dice):
    """Return a random, torn or truncated message."""
    kind = dice.randrange(4)
    if kind == 0:
        return dice.randbytes(dice.randrange(1, 200))
    if kind == 1:
        return dice.randbytes(dice.randrange(1, 60)) + b'\r\n'
    whole = b'START stock u1\r\nQUERY r1 WRITE item data\r\n'
    cut = whole[: dice.randrange(1, len(whole))]
    return cut if kind == 2 else cut + b'\r\n'


def test_ten_thousand_bad_messages_cost_good_callers_nothing(loop, task):
    dice = random.Random(13)
    good = [started(loop, task) for _ in range(4)]
    for number in range(BAD_CALLERS):
        bad = Client(loop, task)
        for _ in range(MESSAGES_EACH):
            bad.send(junk(dice))
        loop.tick(timeout=0)
        if dice.random() < 0.5:
            bad.close()
        asked(good[number % len(good)], number)
        bad.close()
    for number, one in enumerate(good):
        asked(one, number)
    stand_ins.run_until(loop, lambda: task.callers == len(good))


def test_a_caller_that_names_no_database_is_closed_in_time():
    clock = core.VirtualClock(10.0)
    loop = runtime.Runtime(clock)
    Desk(loop)
    task = front.Front(loop, core.VmName('vm0'), 'b1', (HOST, 0))
    client = Client(loop, task)
    stand_ins.run_until(loop, lambda: task.callers == 1)
    clock.advance_to(10.0 + front.START_TIMEOUT)
    stand_ins.run_until(loop, lambda: task.callers == 0)
    client.close()
    loop.close()


def test_connections_that_start_nothing_are_bounded(loop, desk, monkeypatch):
    monkeypatch.setattr(front, 'MAX_UNSTARTED', 3)
    task = front.Front(loop, core.VmName('vm0'), 'b1', (HOST, 0))
    kept = [Client(loop, task) for _ in range(3)]
    stand_ins.run_until(loop, lambda: task.callers == 3)
    over = Client(loop, task)
    over.until(lambda one: one.closed)
    kept[0].close()
    stand_ins.run_until(loop, lambda: task.callers == 2)
    asked(started(loop, task), 1)
