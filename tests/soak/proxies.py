"""Loopback proxies that delay, block or reset connections."""

from __future__ import annotations

import dataclasses
import enum
import socket

from chicoryusher import core
from chicoryusher import runtime

HOST = '127.0.0.1'
LISTEN_BACKLOG = 1024
# Number of connections that fill a listen backlog of 0.
BACKLOG_FILLER_COUNT = 2


class Mode(enum.Enum):
    """How a proxy treats bytes and new connections."""

    PASS = 'pass'
    DELAY = 'delay'
    SILENT = 'silent'
    ONE_WAY = 'one_way'


@dataclasses.dataclass(frozen=True, slots=True)
class _DelayedBytes(core.Message):
    """Bytes from ``stream`` whose delay is over, to be forwarded now."""

    stream: runtime.Stream
    data: bytes


class Proxy(runtime.Task):
    """Forwards connections to one address; ``mode`` selects a fault.

    ``PASS`` forwards all bytes, and ``DELAY`` does so ``delay_s``
    seconds later. ``SILENT`` accepts connections and bytes but forwards no
    bytes. ``ONE_WAY`` forwards bytes towards the target only.
    """

    def __init__(self, loop, name, target):
        super().__init__(loop, 'soak', f'proxy/{name}')
        self._poller = loop.poller
        self._target = target
        self._listener = runtime.Listener(
            (HOST, 0), loop.poller, self.task_name
        )
        self.address = self._listener.address
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self._streams = {}
        self._paired_filenos = {}
        self._caller_filenos = set()
        self._last_delivery_at = {}
        self._backlog_fillers = []
        self._unflushed = set()

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready):
        if ready.fileno == self._listener.fileno:
            self._accept()
            return
        stream = self._streams.get(ready.fileno)
        if stream is None:
            return
        if stream.connecting and not stream.finish_connect():
            self._abort_pair(ready.fileno)
            return
        self._unflushed.add(ready.fileno)
        if ready.readable:
            self._read(ready.fileno, stream)

    def _accept(self):
        while (accepted := self._listener.accept()) is not None:
            paired = runtime.connect(
                self._target, self._poller, self.task_name
            )
            if paired is None:
                accepted.abort()
                continue
            self._streams[accepted.fileno] = accepted
            self._streams[paired.fileno] = paired
            self._paired_filenos[accepted.fileno] = paired.fileno
            self._paired_filenos[paired.fileno] = accepted.fileno
            self._caller_filenos.add(accepted.fileno)

    def _read(self, fileno, stream):
        data = stream.read()
        if data:
            self._forward(fileno, data)
        if stream.closed:
            self._abort_pair(fileno)

    def _forward(self, fileno, data):
        is_silent = self.mode is Mode.SILENT
        from_target = fileno not in self._caller_filenos
        if is_silent or (self.mode is Mode.ONE_WAY and from_target):
            return
        now = self.now()
        delay_s = self.delay_s if self.mode is Mode.DELAY else 0.0
        # Bytes must not overtake earlier bytes when the delay has become
        # shorter.
        delivery_at = max(
            now + delay_s, self._last_delivery_at.get(fileno, now)
        )
        self._last_delivery_at[fileno] = delivery_at
        self.after(
            delivery_at - now, _DelayedBytes(self._streams[fileno], data)
        )

    @runtime.handles(_DelayedBytes)
    def _on_delayed_bytes(self, delayed):
        if self._streams.get(delayed.stream.fileno) is delayed.stream:
            self._write(delayed.stream.fileno, delayed.data)

    def _write(self, fileno, data):
        paired = self._streams.get(self._paired_filenos.get(fileno))
        if paired is not None:
            paired.write(data)
            self._unflushed.add(paired.fileno)

    def _abort_pair(self, fileno):
        for closing_fileno in (fileno, self._paired_filenos.get(fileno)):
            stream = self._streams.pop(closing_fileno, None)
            self._paired_filenos.pop(closing_fileno, None)
            self._caller_filenos.discard(closing_fileno)
            self._last_delivery_at.pop(closing_fileno, None)
            if stream is not None:
                stream.abort()

    def block_all(self):
        """Forward no bytes and accept no connection.

        The listen backlog is shortened and filled, so that the operating
        system drops further connection attempts.
        """
        self.mode = Mode.SILENT
        self._poller.forget(self._listener.fileno)
        self._listener._sock.listen(0)
        for _ in range(BACKLOG_FILLER_COUNT):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.address)
            self._backlog_fillers.append(sock)

    def unblock_all(self):
        """Accept connections and forward bytes again."""
        self.mode = Mode.PASS
        for sock in self._backlog_fillers:
            sock.close()
        self._backlog_fillers.clear()
        self._listener._sock.listen(LISTEN_BACKLOG)
        self._poller.watch(self._listener.fileno, self.task_name, True, False)

    def reset(self):
        """Reset every connection."""
        for fileno in tuple(self._streams):
            self._abort_pair(fileno)

    def settled(self):
        unflushed, self._unflushed = self._unflushed, set()
        for fileno in unflushed:
            stream = self._streams.get(fileno)
            if stream is None:
                continue
            stream.flush()
            if stream.closed:
                self._abort_pair(fileno)
