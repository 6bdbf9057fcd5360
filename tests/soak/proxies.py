"""Loopback proxies that delay, silence, reset or cut connections."""

from __future__ import annotations

import dataclasses
import enum
import socket

from chicoryusher import core
from chicoryusher import runtime

HOST = '127.0.0.1'
BACKLOG = 1024
# Connections that fill a queue of length 0.
FILLERS = 2


class Way(enum.Enum):
    """What a proxy does with bytes and new connections."""

    PASS = 'pass'
    DELAY = 'delay'
    SILENT = 'silent'
    ONE_WAY = 'one_way'


@dataclasses.dataclass(frozen=True, slots=True)
class _Due(core.Message):
    """Bytes whose delay is over, and the stream that they came from."""

    stream: runtime.Stream
    data: bytes


class Proxy(runtime.Task):
    """Carries connections to one address; faults are set on ``way``.

    A silent proxy takes connections and bytes and passes nothing on; one
    that is cut one way passes only what callers send.
    """

    def __init__(self, loop, name, target):
        super().__init__(loop, 'soak', f'proxy/{name}')
        self._poller = loop.poller
        self._target = target
        self._listener = runtime.Listener(
            (HOST, 0), loop.poller, self.task_name
        )
        self.address = self._listener.address
        self.way = Way.PASS
        self.delay = 0.0
        self._streams = {}
        self._other = {}
        self._outward = set()
        self._due = {}
        self._fillers = []
        self._dirty = set()

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready):
        if ready.fileno == self._listener.fileno:
            self._accept()
            return
        stream = self._streams.get(ready.fileno)
        if stream is None:
            return
        if stream.connecting and not stream.finish_connect():
            self._drop(ready.fileno)
            return
        self._dirty.add(ready.fileno)
        if ready.readable:
            self._read(ready.fileno, stream)

    def _accept(self):
        while (one := self._listener.accept()) is not None:
            other = runtime.connect(self._target, self._poller, self.task_name)
            if other is None:
                one.abort()
                continue
            self._streams[one.fileno] = one
            self._streams[other.fileno] = other
            self._other[one.fileno] = other.fileno
            self._other[other.fileno] = one.fileno
            self._outward.add(one.fileno)

    def _read(self, fileno, stream):
        data = stream.read()
        if data:
            self._carry(fileno, data)
        if stream.closed:
            self._drop(fileno)

    def _carry(self, fileno, data):
        silent = self.way is Way.SILENT
        inward = fileno not in self._outward
        if silent or (self.way is Way.ONE_WAY and inward):
            return
        now = self.now()
        delay = self.delay if self.way is Way.DELAY else 0.0
        # Bytes never pass those before them, whatever the delay is now.
        due = max(now + delay, self._due.get(fileno, now))
        self._due[fileno] = due
        self.after(due - now, _Due(self._streams[fileno], data))

    @runtime.handles(_Due)
    def _on_due(self, due):
        if self._streams.get(due.stream.fileno) is due.stream:
            self._write(due.stream.fileno, due.data)

    def _write(self, fileno, data):
        other = self._streams.get(self._other.get(fileno))
        if other is not None:
            other.write(data)
            self._dirty.add(other.fileno)

    def _drop(self, fileno):
        for one in (fileno, self._other.get(fileno)):
            stream = self._streams.pop(one, None)
            self._other.pop(one, None)
            self._outward.discard(one)
            self._due.pop(one, None)
            if stream is not None:
                stream.abort()

    def darken(self):
        """Answer nothing, not even the opening of a connection.

        The queue of new connections is made short and filled, so that
        the system drops what comes after.
        """
        self.way = Way.SILENT
        self._poller.forget(self._listener.fileno)
        self._listener._sock.listen(0)
        for _ in range(FILLERS):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.address)
            self._fillers.append(sock)

    def lighten(self):
        """Take connections and pass bytes on again."""
        self.way = Way.PASS
        for sock in self._fillers:
            sock.close()
        self._fillers.clear()
        self._listener._sock.listen(BACKLOG)
        self._poller.watch(self._listener.fileno, self.task_name, True, False)

    def reset(self):
        """Reset every connection."""
        for fileno in tuple(self._streams):
            self._drop(fileno)

    def settled(self):
        dirty, self._dirty = self._dirty, set()
        for fileno in dirty:
            stream = self._streams.get(fileno)
            if stream is None:
                continue
            stream.flush()
            if stream.closed:
                self._drop(fileno)
