"""Callers of the soak, on a virtual clock and without a VM."""

from __future__ import annotations

import random

import pytest

from chicoryusher import core
from chicoryusher import runtime
from soak import consumers

Status = core.TransactionStatus
PAUSE_S = 0.3


class Stream:
    """A stream that takes all lines; ``texts`` has those of statements."""

    def __init__(self):
        self.texts = []

    def write(self, data):
        words = data.decode().split()
        if words[0] == 'QUERY':
            self.texts.append(' '.join(words[2:]))

    def flush(self):
        """Send nothing: a VM is not needed."""

    def abort(self):
        """Close nothing."""


@pytest.fixture
def caller(monkeypatch):
    stream = Stream()
    monkeypatch.setattr(runtime, 'connect', lambda *args: stream)
    loop = runtime.Runtime(core.VirtualClock(100.0))
    made = consumers.Consumer(
        loop, 'a', [('vm', 1)], 'primary', random.Random(1), [], PAUSE_S
    )
    made.stream = stream
    made.run = loop.run_for
    yield made
    loop.close()


def answer(caller, status=Status.IDLE):
    caller._handle_reply(core.CommandReply(status, None, digest='-'))


def operation(caller, *steps):
    caller._random_operation = lambda: list(steps)


def test_a_timer_of_an_earlier_session_starts_no_operation(caller):
    """Guards against a single write that is sent inside a transaction."""
    caller.run(1.0)
    # The answer to START, right after which the VM closes the session.
    answer(caller)
    caller._reconnect_later()
    operation(caller, ('', 'BEGIN'), ('', 'READ 1'), ('commit', 'COMMIT'))
    caller.run(consumers.RECONNECT_DELAY_S - 0.01)
    # So far no new session has been opened.
    assert caller._stream is None
    caller.run(0.02)
    answer(caller)
    caller.run(consumers.OPERATION_INTERVAL_S + 0.01)
    answer(caller, Status.OPEN)
    operation(caller, ('write', 'WRITE 1 x'))
    caller.run(PAUSE_S - 0.01)
    assert caller.stream.texts == ['BEGIN']
    caller.run(0.02)
    assert caller.stream.texts == ['BEGIN', 'READ 1']
