"""A small HTTP/1.1 server on streams that one task owns."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Callable
from typing import Any

import h11

from chicoryusher import decisions
from chicoryusher import runtime

__all__ = ['HttpConn', 'HttpRequest', 'HttpServer']

MAX_REQUEST_BODY_BYTES = 16 * 1024 * 1024
# Limit of the bodies of all connections of a server.
MAX_BODY_BYTES = 24 * 1024 * 1024
MAX_CONNS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """One decoded request; ``token`` is its bearer token."""

    method: str
    path: str
    token: str
    body: bytes


class HttpConn:
    """One connection; ``head`` and ``body`` are of the current request."""

    def __init__(self, stream: runtime.Stream) -> None:
        self.stream = stream
        self.http = h11.Connection(h11.SERVER)
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.awaits_reply = False
        # Whether more had arrived with the end of a request.
        self.sent_ahead = False

    @property
    def is_busy(self) -> bool:
        """Return whether a request waits for its response to be sent."""
        return self.awaits_reply or bool(self.stream.pending)

    def reply(
        self,
        status: int,
        document: Any,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Queue a JSON document as the response to the current request."""
        data = json.dumps(document).encode()
        self.reply_text(status, 'application/json', data, headers)

    def reply_text(
        self,
        status: int,
        kind: str,
        data: bytes,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Queue the response to the current request.

        ``kind`` is its content type; ``headers`` are further headers.
        """
        head = h11.Response(
            status_code=status,
            headers=[
                ('Content-Type', kind),
                ('Content-Length', str(len(data))),
                *headers,
            ],
        )
        self.stream.write(self.http.send(head) or b'')
        self.stream.write(self.http.send(h11.Data(data=data)) or b'')
        self.stream.write(self.http.send(h11.EndOfMessage()) or b'')
        if self.http.our_state is h11.DONE:
            if self.http.their_state is h11.DONE:
                self.http.start_next_cycle()
        self.head = None
        self.body = bytearray()
        self.awaits_reply = False


class HttpServer:
    """Connections of one listener.

    The task that owns them passes on its SocketReady messages.  A client
    that sends a request before it has the response to the one before is
    disconnected.  If there are too many connections, the one closes on which
    no request was completed for longest.
    """

    def __init__(
        self,
        listener: runtime.Listener,
        handle: Callable[[HttpConn, HttpRequest], None],
    ) -> None:
        self._listener = listener
        self._handle = handle
        # In the order in which they last completed a request.
        self._conns: dict[int, HttpConn] = {}
        self._bodies: decisions.HeldBytes[int] = decisions.HeldBytes(
            MAX_BODY_BYTES
        )

    def ready(self, ready: runtime.SocketReady) -> None:
        """Handle a ready socket; ignore sockets of other owners."""
        if ready.fileno == self._listener.fileno:
            while (stream := self._listener.accept()) is not None:
                if len(self._conns) >= MAX_CONNS:
                    self._make_way()
                self._conns[stream.fileno] = HttpConn(stream)
            return
        conn = self._conns.get(ready.fileno)
        if conn is not None and ready.readable:
            self._receive(conn)

    def flush(self) -> None:
        """Send queued responses; close connections that have ended."""
        for conn in tuple(self._conns.values()):
            conn.stream.flush()
            ended = conn.http.our_state in (h11.MUST_CLOSE, h11.ERROR)
            ended = ended or (conn.sent_ahead and not conn.is_busy)
            if conn.stream.closed or (ended and not conn.stream.pending):
                self._close_conn(conn)

    def close(self) -> None:
        """Close the listener and every connection."""
        self._listener.close()
        for conn in tuple(self._conns.values()):
            self._close_conn(conn)

    def _make_way(self) -> None:
        """Close the connection without a request for longest."""
        conns = list(self._conns.values())
        idle = (conn for conn in conns if not conn.is_busy)
        self._close_conn(next(idle, conns[0]))

    def _close_conn(self, conn: HttpConn) -> None:
        self._conns.pop(conn.stream.fileno, None)
        self._bodies.record(conn.stream.fileno, 0)
        conn.stream.close()

    def _receive(self, conn: HttpConn) -> None:
        data = conn.stream.read()
        if conn.stream.closed:
            self._close_conn(conn)
            return
        if not data:
            return
        if conn.is_busy:
            # More than one request at a time.
            self._close_conn(conn)
            return
        try:
            conn.http.receive_data(data)
            self._read_events(conn)
        except h11.ProtocolError:
            self._close_conn(conn)

    def _read_events(self, conn: HttpConn) -> None:
        while True:
            event = conn.http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Request):
                conn.head = event
            elif isinstance(event, h11.Data):
                conn.body += event.data
                if not self._may_hold_body(conn):
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._on_request_complete(conn)
                return
            elif isinstance(event, h11.ConnectionClosed):
                self._close_conn(conn)
                return

    def _may_hold_body(self, conn: HttpConn) -> bool:
        """Return whether a body is in the limits; else close connections."""
        fileno = conn.stream.fileno
        self._bodies.record(fileno, len(conn.body))
        if len(conn.body) > MAX_REQUEST_BODY_BYTES:
            self._close_conn(conn)
        for excess in self._bodies.excess_holders():
            self._close_conn(self._conns[excess])
        return fileno in self._conns

    def _on_request_complete(self, conn: HttpConn) -> None:
        """Pass a complete request to the handler."""
        head = conn.head
        assert head is not None
        conn.awaits_reply = True
        conn.sent_ahead = bool(conn.http.trailing_data[0])
        fileno = conn.stream.fileno
        self._bodies.record(fileno, 0)
        self._conns[fileno] = self._conns.pop(fileno)
        token = ''
        for name, value in head.headers:
            if name == b'authorization':
                token = value.decode('latin-1').removeprefix('Bearer ')
        self._handle(
            conn,
            HttpRequest(
                head.method.decode(),
                head.target.decode('latin-1'),
                token,
                bytes(conn.body),
            ),
        )
