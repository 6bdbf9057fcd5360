"""Callers that write and read continuously and record the replies."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import runtime
from fleet import lines
from fleet import replies

# A caller closes its session if a request has no reply after this time.
REQUEST_TIMEOUT_S = 4.0
# Times between two operations, and from the loss of a connection to the
# next attempt to connect.
OPERATION_INTERVAL_S = 0.03
RECONNECT_DELAY_S = 0.2
# One more than the statements of a transaction with pauses.
MAX_STATEMENTS = 8


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """One request as its caller saw it, on the clock of the soak process.

    ``kind`` is ``read`` or ``write`` for a statement outside a transaction,
    ``commit`` for the commit of a transaction, and empty for any other
    statement. ``reply`` is None if no reply came; the connection to the VM at
    ``address`` then ended at ``cut_at``, 0 if the caller closed it.
    """

    request_id: str
    route: str
    kind: str
    session: int
    sent_at: float
    done_at: float = 0.0
    reply: core.CommandReply | None = None
    address: tuple[str, int] | None = None
    cut_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _NextStep(core.Message):
    """Sends the next statement of a transaction after a pause.

    It is void if another timer has been set since the one with this number.
    """

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class _NextOperation(core.Message):
    """Starts the next operation, or connects if there is no connection.

    It is void if another timer has been set since the one with this number.
    """

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class _RequestTimeout(core.Message):
    """The timeout of a request has passed; its reply may have come."""

    request_id: str


class Consumer(runtime.Task):
    """Runs sessions on one route one after another, each at a random VM.

    With ``pause_s`` a transaction has several statements, with pauses.
    """

    def __init__(
        self, loop, name, addresses, route, rng, requests, pause_s=0.0
    ):
        super().__init__(loop, 'soak', f'consumer/{name}')
        self._poller = loop.poller
        self._addresses = addresses
        self._route = route
        self._rng = rng
        self._name = name
        self._requests = requests
        self._pause_s = pause_s
        self._stream = None
        self._address = None
        self._replies = replies.ReplyParser()
        self._session_number = 0
        self._request_number = 0
        self._unsent_steps = []
        self._open_request = None
        self._timer_number = 0
        self.is_active = True
        self._start_operation_after(rng.random() * OPERATION_INTERVAL_S)

    # -- operations -----------------------------------------------------

    def _start_operation_after(self, seconds):
        self._timer_number += 1
        self.after(seconds, _NextOperation(self._timer_number))

    @runtime.handles(_NextOperation)
    def _on_next_operation(self, message):
        if message.number != self._timer_number:
            return
        if self._open_request is not None or not self.is_active:
            return
        if self._stream is None:
            self._connect()
            return
        self._unsent_steps = self._random_operation()
        self._send_next_step()

    def _random_operation(self):
        writes = self._rng.random() < 0.4
        statement = f'{"WRITE" if writes else "READ"} 1a4'
        statement += ' x' if writes else ''
        if self._rng.random() < 0.75:
            return [('write' if writes else 'read', statement)]
        begin, commit = ('', 'BEGIN'), ('commit', 'COMMIT')
        count = self._rng.randrange(1, MAX_STATEMENTS) if self._pause_s else 1
        return [begin, *(count * [('', statement)]), commit]

    @runtime.handles(_NextStep)
    def _on_next_step(self, message):
        if message.number == self._timer_number:
            self._send_next_step()

    def _send_next_step(self):
        kind, text = self._unsent_steps.pop(0)
        self._request_number += 1
        request_id = f'{self._name}.{self._request_number}'
        record = RequestRecord(
            request_id,
            self._route,
            kind,
            self._session_number,
            self.now(),
            address=self._address,
        )
        self._open_request = record
        self._requests.append(record)
        self._stream.write(lines.encode_line('QUERY', request_id, text))
        self._stream.flush()
        self.after(REQUEST_TIMEOUT_S, _RequestTimeout(request_id))

    @runtime.handles(_RequestTimeout)
    def _on_request_timeout(self, timeout):
        request = self._open_request
        if request is not None and request.request_id == timeout.request_id:
            self._reconnect_later()

    # -- the connection -------------------------------------------------

    def _connect(self):
        address = self._address = self._rng.choice(self._addresses)
        self._session_number += 1
        self._replies = replies.ReplyParser()
        stream = runtime.connect(address, self._poller, self.task_name)
        if stream is None:
            self._start_operation_after(RECONNECT_DELAY_S)
            return
        stream.write(lines.encode_line('START', self._route, 'u1'))
        self._stream = stream
        request_id = f'{self._name}.start{self._session_number}'
        self._open_request = RequestRecord(
            request_id, self._route, '', self._session_number, self.now()
        )
        self.after(REQUEST_TIMEOUT_S, _RequestTimeout(request_id))

    def _reconnect_later(self):
        self._open_request = None
        self._unsent_steps = []
        if self._stream is not None:
            self._stream.abort()
            self._stream = None
        self._start_operation_after(RECONNECT_DELAY_S)

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready):
        stream = self._stream
        if stream is None or ready.fileno != stream.fileno:
            return
        if stream.connecting and not stream.finish_connect():
            self._reconnect_later()
            return
        stream.flush()
        data = stream.read() if ready.readable else b''
        for reply in self._replies.feed(data) if data else ():
            self._handle_reply(reply)
        if self._stream is stream and stream.closed:
            if self._open_request is not None:
                self._open_request.cut_at = self.now()
            self._reconnect_later()

    def _handle_reply(self, reply):
        request, self._open_request = self._open_request, None
        assert request is not None, 'reply without an open request'
        request.done_at = self.now()
        request.reply = reply
        if self._unsent_steps and reply.refusal is None:
            if self._pause_s:
                self._timer_number += 1
                self.after(self._pause_s, _NextStep(self._timer_number))
            else:
                self._send_next_step()
        elif reply.transaction_status is not core.TransactionStatus.IDLE:
            self._reconnect_later()
        else:
            self._unsent_steps = []
            self._start_operation_after(OPERATION_INTERVAL_S)
