"""A listener of a process that has no descriptor left."""

from __future__ import annotations

import contextlib
import errno
import json
import pathlib
import socket
import subprocess
import sys

import pytest

from chicoryusher import core
from chicoryusher import runtime

SCRIPT = pathlib.Path(__file__).with_name('accepting_process.py')
CLIENTS = 30
MAX_REPORTS = 600
# Reports between two counts of wakeups.  Each takes one or two, and so does an
# attempt to accept; a listener that stays ready takes thousands.
REPORTS = 10
MAX_WAKEUPS = 20 * REPORTS


class Process:
    """The process and the reports that it writes."""

    def __init__(self):
        self._process = subprocess.Popen(
            [sys.executable, SCRIPT], stdout=subprocess.PIPE, text=True
        )

    def report(self):
        return json.loads(self._process.stdout.readline())

    def report_where(self, condition):
        for _ in range(MAX_REPORTS):
            report = self.report()
            if condition(report):
                return report
        raise AssertionError('the condition never held')

    def wakeups(self):
        """Return how often its loop wakes up between some reports."""
        first = self.report()
        for _ in range(REPORTS):
            last = self.report()
        assert last['accepted'] == first['accepted']
        return last['wakeups'] - first['wakeups']

    def stop(self):
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()


@pytest.fixture
def process():
    process = Process()
    yield process
    process.stop()


def test_a_process_without_descriptors_waits_and_accepts_again(process):
    """Its listener stayed ready, and the loop never waited."""
    address = tuple(process.report()['address'])
    with contextlib.ExitStack() as stack:
        clients = [
            stack.enter_context(socket.create_connection(address))
            for _ in range(CLIENTS)
        ]
        full = process.report_where(lambda report: report['accepted'] > 0)
        full = process.report_where(
            lambda report: report['accepted'] == report['open']
        )
        assert full['accepted'] < CLIENTS
        assert process.wakeups() <= MAX_WAKEUPS
        paused, resumed = (
            core.LogEvent.ACCEPT_PAUSED.number,
            core.LogEvent.ACCEPT_RESUMED.number,
        )
        assert process.report()['events'] == [paused]
        for client in clients:
            client.close()
        last = process.report_where(
            lambda report: report['accepted'] == CLIENTS
        )
    assert set(last['events']) == {paused, resumed}


class FailingSocket:
    """A listening socket whose next calls of ``accept`` fail."""

    def __init__(self, sock, *errors):
        self._sock = sock
        self._errors = list(errors)

    def accept(self):
        if self._errors:
            raise OSError(self._errors.pop(0), 'failed')
        return self._sock.accept()

    def __getattr__(self, name):
        return getattr(self._sock, name)


class Owner(runtime.Task):
    """Counts the messages about its listener, and accepts."""

    def __init__(self, loop, *errors):
        super().__init__(loop, 'vm1', 'owner')
        self.listener = runtime.Listener(
            ('127.0.0.1', 0), loop.poller, self.task_name
        )
        self.listener._sock = FailingSocket(self.listener._sock, *errors)
        self.ready_at = []
        self.accepted = 0

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready):
        self.ready_at.append(self.now())
        while (stream := self.listener.accept()) is not None:
            self.accepted += 1
            stream.close()


@pytest.mark.parametrize('number', [errno.EMFILE, errno.ENFILE, errno.ENOMEM])
def test_accepting_is_tried_again_after_a_pause(loop, number):
    owner = Owner(loop, number, number)
    loop.post(
        owner.task_name,
        runtime.SocketReady(owner.listener.fileno, True, False),
    )
    loop.run_for(10.0)
    first, second, third = owner.ready_at
    assert second - first == third - second > 0.1
    owner.listener.close()


def test_a_connection_that_was_given_up_pauses_nothing(loop):
    owner = Owner(loop, errno.ECONNABORTED)
    loop.post(
        owner.task_name,
        runtime.SocketReady(owner.listener.fileno, True, False),
    )
    loop.run_for(10.0)
    assert len(owner.ready_at) == 1
    owner.listener.close()


def test_a_listener_that_is_closed_is_not_tried_again(loop):
    owner = Owner(loop, errno.EMFILE)
    loop.post(
        owner.task_name,
        runtime.SocketReady(owner.listener.fileno, True, False),
    )
    loop.run_for(0.01)
    owner.listener.close()
    loop.run_for(10.0)
    assert len(owner.ready_at) == 1


def test_without_descriptors_a_connect_fails_without_an_exception(
    loop, monkeypatch
):
    """The error ended the handler of the task that had to connect."""

    def no_descriptor(*args):
        raise OSError(errno.EMFILE, 'too many open files')

    monkeypatch.setattr(socket, 'socket', no_descriptor)
    address = ('127.0.0.1', 1)
    owner = core.TaskName('owner')
    assert runtime.connect(address, loop.poller, owner) is None
