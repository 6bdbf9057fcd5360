"""A non-blocking HTTP/1.1 client as the base class of a task.

Calls are made one after another on one persistent connection.  A call
that was not sent fails with PlatformUnavailable.  A call that was sent
but got no valid response fails with PlatformUnknown, since it may have
had its effect.
"""

from __future__ import annotations

import collections
import dataclasses
import json
from collections.abc import Mapping
from typing import Any
from typing import ClassVar

import h11

from chicoryusher import core
from chicoryusher.runtime import loop as loop_module
from chicoryusher.runtime import poller
from chicoryusher.runtime import streams
from chicoryusher.runtime import task

__all__ = ['HttpCall', 'HttpClient', 'HttpResult', 'json_call']

MAX_RESPONSE_BODY_BYTES = 8 * 1024 * 1024
# A response that is being received is not given up while its bytes arrive at
# least this often. A large table takes longer than a call's timeout on a slow
# link, and a repeated call would start from the first byte.
PROGRESS_TIMEOUT_S = 1.0
# Longest extension of a call's timeout by the bytes that arrive.
MAX_EXTENSION_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class HttpCall:
    """One call, and in ``context`` the message that requested it.

    ``timeout`` (seconds) overrides the client's default.
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
    """Status and JSON document of a response, or a typed error.

    ``headers`` has those of the response that the client keeps, by their
    lower-case names.
    """

    status: int = 0
    document: Any = None
    error: core.PlatformError | None = None
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class _CallTimeout(core.Message):
    """The time limit of the call with this number has passed."""

    number: int


class HttpClient(task.Task):
    """Base class of HTTP clients; subclasses make the calls.

    ``kept_headers`` are the lower-case names of the response headers that a
    subclass uses; no others are decoded.
    """

    kept_headers: ClassVar[frozenset[bytes]] = frozenset()

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
        self._default_timeout_s = timeout
        self._token = token
        self._stream: streams.Stream | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._queued_calls: collections.deque[HttpCall] = collections.deque()
        self._current_call: HttpCall | None = None
        self._request_sent = False
        self._call_number = 0
        self._timeout_timer: core.TimerId | None = None
        self._times_out_at = 0.0
        self._latest_timeout_at = 0.0
        self._status = 0
        self._headers: Mapping[str, str] = {}
        self._response_body = bytearray()

    def call(self, call: HttpCall) -> None:
        """Queue a call; its result is passed to ``finished``."""
        self._queued_calls.append(call)
        self._start_next_call()

    def abandon(self) -> None:
        """Abort the current call, if any; it finishes with an error."""
        if self._current_call is not None:
            self._fail_current_call()

    def finished(self, call: HttpCall, result: HttpResult) -> None:
        """Handle the result of a call; subclasses implement it."""
        raise NotImplementedError

    def settled(self) -> None:
        """Send the requests that the handled messages wrote."""
        if self._stream is not None:
            self._stream.flush()
            if self._stream.closed:
                self._fail_current_call()

    def _start_next_call(self) -> None:
        if self._current_call is not None or not self._queued_calls:
            return
        self._current_call = self._queued_calls.popleft()
        self._request_sent = False
        self._call_number += 1
        timeout = self._current_call.timeout or self._default_timeout_s
        self._latest_timeout_at = self.now() + timeout + MAX_EXTENSION_S
        self._set_timeout(timeout)
        if self._stream is None:
            self._http = h11.Connection(h11.CLIENT)
            self._stream = streams.connect(
                self._address, self._poller, self.task_name
            )
            if self._stream is None:
                self._finish_with_error(
                    core.PlatformUnavailable('connecting failed')
                )
                return
        if not self._stream.connecting:
            self._write_request()

    def _set_timeout(self, seconds: float) -> None:
        self.cancel(self._timeout_timer)
        self._times_out_at = self.now() + seconds
        self._timeout_timer = self.after(
            seconds, _CallTimeout(self._call_number)
        )

    def _extend_timeout(self) -> None:
        """Give a response of which bytes arrive more time."""
        if self._current_call is None or not self._request_sent:
            return
        extended = min(
            self.now() + PROGRESS_TIMEOUT_S, self._latest_timeout_at
        )
        if extended > self._times_out_at:
            self._set_timeout(extended - self.now())

    def _write_request(self) -> None:
        call, stream = self._current_call, self._stream
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
        self._request_sent = True
        self._response_body.clear()

    @task.handles(poller.SocketReady)
    def _on_ready(self, ready: poller.SocketReady) -> None:
        stream = self._stream
        if stream is None or ready.fileno != stream.fileno:
            return
        if stream.connecting:
            if not stream.finish_connect():
                self._fail_current_call()
            elif self._current_call is not None:
                self._write_request()
            return
        if ready.readable:
            self._receive(stream)

    def _receive(self, stream: streams.Stream) -> None:
        data = stream.read()
        if not data and not stream.closed:
            return
        if data:
            self._extend_timeout()
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.ProtocolError:
            self._fail_current_call()
            return
        if stream.closed and self._stream is stream:
            self._fail_current_call()

    def _read_events(self) -> None:
        while True:
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Response):
                self._status = event.status_code
                if self.kept_headers:
                    self._headers = self._decode_headers(event)
            elif isinstance(event, h11.Data):
                self._response_body += event.data
                if len(self._response_body) > MAX_RESPONSE_BODY_BYTES:
                    self._fail_current_call()
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._on_response()
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _decode_headers(self, response: h11.Response) -> Mapping[str, str]:
        return {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in response.headers
            if name in self.kept_headers
        }

    def _on_response(self) -> None:
        try:
            document = core.decode_json(bytes(self._response_body) or b'null')
        except core.JsonError:
            self._fail_current_call()
            return
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self._close_stream()
        self._finish_call(
            HttpResult(self._status, document, headers=self._headers)
        )

    @task.handles(_CallTimeout)
    def _on_call_timeout(self, timeout: _CallTimeout) -> None:
        if (
            self._current_call is not None
            and timeout.number == self._call_number
        ):
            self._fail_current_call()

    def _fail_current_call(self) -> None:
        """Close the connection; fail the current call, if any."""
        sent = self._request_sent
        if self._stream is not None and self._current_call is not None:
            self._stream.abort()
        self._close_stream()
        if self._current_call is None:
            return
        if sent:
            self._finish_with_error(
                core.PlatformUnknown('no response received')
            )
        else:
            self._finish_with_error(
                core.PlatformUnavailable('request not sent')
            )

    def _close_stream(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _finish_with_error(self, error: core.PlatformError) -> None:
        self._finish_call(HttpResult(error=error))

    def _finish_call(self, result: HttpResult) -> None:
        call, self._current_call = self._current_call, None
        self.cancel(self._timeout_timer)
        self._timeout_timer = None
        assert call is not None
        self.finished(call, result)
        self._start_next_call()
