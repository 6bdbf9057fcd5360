"""A non-blocking HTTP/1.1 client that one task owns.

Calls go out one after another on one kept connection.  A call that
never left fails as unavailable; one whose answer did not come fails as
unknown, since it may have had its effect.
"""

from __future__ import annotations

import collections
import dataclasses
import json
from typing import Any

import h11

from chicoryusher import core
from chicoryusher.runtime import loop as loop_module
from chicoryusher.runtime import poller
from chicoryusher.runtime import streams
from chicoryusher.runtime import task

__all__ = ['HttpCall', 'HttpClient', 'HttpResult', 'json_call']

MAX_BODY_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class HttpCall:
    """One call: ``context`` is the message that it answers.

    ``timeout`` (seconds) replaces the client's own.
    """

    method: str
    path: str
    context: core.Message
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    timeout: float | None = None


def json_call(
    method: str,
    path: str,
    context: core.Message,
    document: Any,
    headers: tuple[tuple[str, str], ...] = (),
) -> HttpCall:
    """Return a call with a JSON document as its body."""
    body = json.dumps(document).encode()
    return HttpCall(method, path, context, body, headers)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResult:
    """Status and JSON document of an answer, or the typed failure."""

    status: int = 0
    document: Any = None
    error: core.PlatformError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _CallLate(core.Message):
    """A call may have had no answer for too long."""

    number: int


class HttpClient(task.Task):
    """Base of the platform's clients; subclasses make and read calls."""

    def __init__(
        self,
        loop: loop_module.Runtime,
        vm: core.VmName,
        name: str,
        address: streams.Address,
        timeout: float,
        token: str = '',
    ) -> None:
        super().__init__(loop, vm, name)
        self._poller = loop.poller
        self._address = address
        self._timeout = timeout
        self._token = token
        self._stream: streams.Stream | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._waiting: collections.deque[HttpCall] = collections.deque()
        self._current: HttpCall | None = None
        self._sent = False
        self._number = 0
        self._timer: core.TimerId | None = None
        self._status = 0
        self._body = bytearray()

    def call(self, call: HttpCall) -> None:
        """Queue a call; its result goes to ``finished``."""
        self._waiting.append(call)
        self._next()

    def abandon(self) -> None:
        """Give the current call up; it ends with an error."""
        if self._current is not None:
            self._broken()

    def finished(self, call: HttpCall, result: HttpResult) -> None:
        """Take the result of a call; subclasses answer the context."""
        raise NotImplementedError

    def settled(self) -> None:
        """Send what the handled messages wrote."""
        if self._stream is not None:
            self._stream.flush()
            if self._stream.closed:
                self._broken()

    def _next(self) -> None:
        if self._current is not None or not self._waiting:
            return
        self._current = self._waiting.popleft()
        self._sent = False
        self._number += 1
        timeout = self._current.timeout or self._timeout
        self._timer = self.after(timeout, _CallLate(self._number))
        if self._stream is None:
            self._http = h11.Connection(h11.CLIENT)
            self._stream = streams.connect(
                self._address, self._poller, self.task_name
            )
            if self._stream is None:
                self._fail(core.PlatformUnavailable('connection refused'))
                return
        if not self._stream.connecting:
            self._transmit()

    def _transmit(self) -> None:
        call, stream = self._current, self._stream
        assert call is not None and stream is not None
        headers = [
            ('Host', f'{self._address[0]}:{self._address[1]}'),
            ('Content-Length', str(len(call.body))),
            *call.headers,
        ]
        if self._token:
            headers.append(('Authorization', f'Bearer {self._token}'))
        request = h11.Request(
            method=call.method, target=call.path, headers=headers
        )
        stream.write(self._http.send(request) or b'')
        if call.body:
            stream.write(self._http.send(h11.Data(data=call.body)) or b'')
        stream.write(self._http.send(h11.EndOfMessage()) or b'')
        self._sent = True
        self._body.clear()

    @task.handles(poller.SocketReady)
    def _on_ready(self, ready: poller.SocketReady) -> None:
        stream = self._stream
        if stream is None or ready.fileno != stream.fileno:
            return
        if stream.connecting:
            if not stream.finish_connect():
                self._broken()
            elif self._current is not None:
                self._transmit()
            return
        if ready.readable:
            self._receive(stream)

    def _receive(self, stream: streams.Stream) -> None:
        data = stream.read()
        if not data and not stream.closed:
            return
        try:
            self._http.receive_data(data)
            self._events()
        except h11.ProtocolError:
            self._broken()
            return
        if stream.closed and self._stream is stream:
            self._broken()

    def _events(self) -> None:
        while True:
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Response):
                self._status = event.status_code
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > MAX_BODY_BYTES:
                    self._broken()
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._answered()
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _answered(self) -> None:
        try:
            document = json.loads(bytes(self._body) or b'null')
        except ValueError:
            self._broken()
            return
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self._drop_stream()
        self._finish(HttpResult(self._status, document))

    @task.handles(_CallLate)
    def _on_late(self, late: _CallLate) -> None:
        if self._current is not None and late.number == self._number:
            self._broken()

    def _broken(self) -> None:
        sent = self._sent
        if self._stream is not None and self._current is not None:
            self._stream.abort()
        self._drop_stream()
        if self._current is None:
            return
        if sent:
            self._fail(core.PlatformUnknown('no answer came'))
        else:
            self._fail(core.PlatformUnavailable('not reached'))

    def _drop_stream(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _fail(self, error: core.PlatformError) -> None:
        self._finish(HttpResult(error=error))

    def _finish(self, result: HttpResult) -> None:
        call, self._current = self._current, None
        self.cancel(self._timer)
        self._timer = None
        assert call is not None
        self.finished(call, result)
        self._next()
