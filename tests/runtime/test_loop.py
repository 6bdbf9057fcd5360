"""The order in which the loop delivers messages of sockets and timers."""

from __future__ import annotations

import contextlib
import dataclasses
import socket

import pytest

from chicoryusher import core
from chicoryusher import runtime

VM = core.VmName('vm1')
RUN_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Reply(core.Message):
    """A reply that a link has read."""


class Timeout(core.Message):
    """The time for a reply is over."""


class Stop(core.Message):
    """End the test."""


class Link(runtime.Task):
    """Owns a socket, and passes on what it reads."""

    def __init__(self, loop, sock, receiver):
        super().__init__(loop, VM, 'link')
        self._sock = sock
        self._receiver = receiver
        loop.poller.watch(sock.fileno(), self.task_name, True, False)

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready):
        with contextlib.suppress(BlockingIOError):
            self._sock.recv(16)
            self.send(self._receiver, Reply())


class Pool(runtime.Task):
    """Waits for a reply, for a limited time."""

    def __init__(self, loop, delay):
        super().__init__(loop, VM, 'pool')
        self.received = []
        self.after(delay, Timeout())

    @runtime.handles(Reply, Timeout)
    def _on_message(self, message):
        self.received.append(type(message))


class Stopper(runtime.Task):
    """Stops the loop after a while."""

    def __init__(self, loop):
        super().__init__(loop, VM, 'stopper')
        self._loop = loop
        self.after(RUN_S, Stop())

    @runtime.handles(Stop)
    def _on_stop(self, stop):
        self._loop.stop()


@pytest.fixture
def loop():
    loop = runtime.Runtime()
    yield loop
    loop.close()


@pytest.fixture
def socks():
    pair = socket.socketpair()
    pair[0].setblocking(False)
    yield pair
    for sock in pair:
        sock.close()


def test_a_reply_that_has_arrived_is_handled_before_a_late_timer(loop, socks):
    """An event loop that was late took it for a timeout."""
    near, far = socks
    pool = Pool(loop, delay=0.0)
    Link(loop, near, pool.task_name)
    far.send(b'reply')
    Stopper(loop)
    loop.run()
    assert pool.received == [Reply, Timeout]


def test_timers_fire_while_a_socket_is_always_ready(loop, socks):
    near, far = socks
    pool = Pool(loop, delay=0.0)
    Link(loop, near, pool.task_name)
    far.send(b'r' * 1024)
    Stopper(loop)
    loop.run()
    assert Timeout in pool.received
    assert Reply in pool.received
