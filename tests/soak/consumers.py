"""Callers that write and read without end, and note what they saw."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import runtime
from fleet import lines
from fleet import replies

# Seconds without an answer after which a caller gives up.
GIVE_UP = 4.0
# Seconds between operations, and before a lost connection is made anew.
PAUSE = 0.03
RECONNECT = 0.2


@dataclasses.dataclass(slots=True)
class Seen:
    """One request as its caller saw it; times are the harness's own.

    ``kind`` is a read, a single write, or the commit of a transaction;
    ``reply`` is None where no answer came.
    """

    request_id: str
    database: str
    kind: str
    session: int
    sent_at: float
    done_at: float = 0.0
    reply: core.Reply | None = None


class _Next(core.Message):
    """Time for the next operation."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Late(core.Message):
    """An answer may not have come in time."""

    request_id: str


class Consumer(runtime.Task):
    """One caller after another on one route of one VM."""

    def __init__(self, loop, name, addresses, database, dice, seen):
        super().__init__(loop, 'soak', f'consumer/{name}')
        self._poller = loop.poller
        self._addresses = addresses
        self._database = database
        self._dice = dice
        self._name = name
        self._seen = seen
        self._stream = None
        self._replies = replies.Replies()
        self._session = 0
        self._number = 0
        self._script = []
        self._waiting = None
        self.going = True
        self.after(dice.random() * PAUSE, _Next())

    # -- operations -----------------------------------------------------

    @runtime.handles(_Next)
    def _on_next(self, message):
        if self._waiting is not None or not self.going:
            return
        if self._stream is None:
            self._connect()
            return
        self._script = self._operation()
        self._step()

    def _operation(self):
        writes = self._dice.random() < 0.4
        single = f'{"WRITE" if writes else "READ"} 1a4'
        single += ' x' if writes else ''
        if self._dice.random() < 0.75:
            return [('write' if writes else 'read', single)]
        begin, commit = ('', 'BEGIN'), ('commit', 'COMMIT')
        return [begin, ('', single), commit]

    def _step(self):
        kind, text = self._script.pop(0)
        self._number += 1
        request_id = f'{self._name}.{self._number}'
        seen = Seen(
            request_id,
            self._database,
            kind,
            self._session,
            self.now(),
        )
        self._waiting = seen
        self._seen.append(seen)
        self._stream.write(lines.join('QUERY', request_id, text))
        self._stream.flush()
        self.after(GIVE_UP, _Late(request_id))

    @runtime.handles(_Late)
    def _on_late(self, late):
        waiting = self._waiting
        if waiting is not None and waiting.request_id == late.request_id:
            self._lost()

    # -- the connection -------------------------------------------------

    def _connect(self):
        address = self._dice.choice(self._addresses)
        self._session += 1
        self._replies = replies.Replies()
        stream = runtime.connect(address, self._poller, self.task_name)
        if stream is None:
            self.after(RECONNECT, _Next())
            return
        stream.write(lines.join('START', self._database, 'u1'))
        self._stream = stream
        request_id = f'{self._name}.start{self._session}'
        self._waiting = Seen(
            request_id, self._database, '', self._session, self.now()
        )
        self.after(GIVE_UP, _Late(request_id))

    def _lost(self):
        self._waiting = None
        self._script = []
        if self._stream is not None:
            self._stream.abort()
            self._stream = None
        self.after(RECONNECT, _Next())

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready):
        stream = self._stream
        if stream is None or ready.fileno != stream.fileno:
            return
        if stream.connecting and not stream.finish_connect():
            self._lost()
            return
        stream.flush()
        data = stream.read() if ready.readable else b''
        for reply in self._replies.feed(data) if data else ():
            self._take(reply)
        if self._stream is stream and stream.closed:
            self._lost()

    def _take(self, reply):
        waiting, self._waiting = self._waiting, None
        assert waiting is not None, 'an answer that nobody waits for'
        waiting.done_at = self.now()
        waiting.reply = reply
        if self._script and reply.refusal is None:
            self._step()
        elif reply.block is not core.BlockState.IDLE:
            self._lost()
        else:
            self._script = []
            self.after(PAUSE, _Next())
