"""The HTTP server on real sockets."""

from __future__ import annotations

import socket
import threading

import pytest

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.runtime import http_server

HOST = '127.0.0.1'
REQUEST = b'GET /a HTTP/1.1\r\nHost: a\r\n\r\n'
MAX_TURNS = 2000


class Server(runtime.Task):
    """Answers each request with its path, or keeps it for later."""

    def __init__(self, loop):
        super().__init__(loop, core.VmName('vm0'), 'server')
        listener = runtime.Listener((HOST, 0), loop.poller, self.task_name)
        self.address = listener.address
        self._server = http_server.HttpServer(listener, self._handle)
        self.requests = []

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready):
        self._server.ready(ready)

    def settled(self):
        self._server.flush()

    def _handle(self, conn, req):
        self.requests.append(req)
        conn.reply(200, req.path)


@pytest.fixture
def loop():
    runtime_loop = runtime.Runtime()
    runtime_loop._running = True
    runtime_loop._executing_thread = threading.current_thread()
    yield runtime_loop
    runtime_loop.close()


@pytest.fixture
def server(loop):
    return Server(loop)


def connect(server):
    sock = socket.create_connection(server.address)
    sock.setblocking(False)
    return sock


def run_until(loop, condition):
    for _ in range(MAX_TURNS):
        if condition():
            return
        loop.tick(timeout=0.001)
    raise AssertionError('the condition never held')


def receive(loop, sock, count):
    """Return what arrives, up to ``count`` answers or the end."""
    received = bytearray()

    def is_complete():
        try:
            data = sock.recv(65536)
        except BlockingIOError:
            return False
        received.extend(data)
        return not data or received.count(b'HTTP/1.1 200') >= count

    run_until(loop, is_complete)
    return bytes(received)


@pytest.mark.parametrize('cut', [1, 10, len(REQUEST) - 1])
def test_a_request_in_two_pieces_is_answered(loop, server, cut):
    sock = connect(server)
    for _ in range(2):
        sock.sendall(REQUEST[:cut])
        for _ in range(20):
            loop.tick(timeout=0.001)
        sock.sendall(REQUEST[cut:])
        assert b'"/a"' in receive(loop, sock, 1)
    sock.close()


def test_requests_sent_ahead_get_one_answer_and_a_close(loop, server):
    """Load: requests without reading their answers."""
    sock = connect(server)
    sock.sendall(REQUEST * 50)
    assert receive(loop, sock, 2).count(b'HTTP/1.1 200') == 1
    assert len(server.requests) == 1
    sock.close()


def test_a_new_connection_closes_the_one_idle_for_longest(
    loop, server, monkeypatch
):
    """Load: connections that are opened and left."""
    monkeypatch.setattr(http_server, 'MAX_CONNS', 3)
    socks = [connect(server) for _ in range(3)]
    socks[0].sendall(REQUEST)
    receive(loop, socks[0], 1)
    last = connect(server)
    last.sendall(REQUEST)
    assert b'"/a"' in receive(loop, last, 1)
    assert receive(loop, socks[1], 1) == b''
    socks[0].sendall(REQUEST)
    assert b'"/a"' in receive(loop, socks[0], 1)
    for sock in (*socks, last):
        sock.close()


def test_the_largest_bodies_give_way(loop, monkeypatch):
    """Load: large bodies on many connections."""
    monkeypatch.setattr(http_server, 'MAX_BODY_BYTES', 1000)
    server = Server(loop)
    head = b'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n'
    large, small = connect(server), connect(server)
    large.sendall(head + b'x' * 800)
    for _ in range(20):
        loop.tick(timeout=0.001)
    small.sendall(head + b'x' * 300)
    assert receive(loop, large, 1) == b''
    small.sendall(b'x' * 600)
    assert b'"/a"' in receive(loop, small, 1)
    assert len(server.requests[0].body) == 900
    large.close()
    small.close()
