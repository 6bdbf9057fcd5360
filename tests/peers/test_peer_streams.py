"""Streams to a VM whose process was replaced, and two streams to one."""

from __future__ import annotations

import socket
import threading

import msgpack
import pytest

from chicoryusher import core
from chicoryusher import peers
from chicoryusher import runtime
from chicoryusher.peers import stream as stream_module
from chicoryusher.peers import task as task_module
from chicoryusher.tasks import task_messages

KEY = b'key of the cluster'
HOST = '127.0.0.1'
FIRST, SECOND = core.VmName('vm1'), core.VmName('vm2')
# Turns of the loops in which nothing more must happen.
QUIET_TURNS = 200
MAX_TURNS = 4000


class Relay(runtime.Task):
    """Records the work of other VMs, and the end of their streams."""

    def __init__(self, loop, vm):
        super().__init__(loop, vm, 'relay')
        self.messages = []

    @runtime.handles(
        core.PeerDown, core.RelayRollback, task_messages.Undelivered
    )
    def _on_message(self, message):
        self.messages.append(message)


class Process:
    """A process of a VM, with a loop of its own."""

    def __init__(self, vm):
        self.vm = vm
        self.loop = runtime.Runtime()
        self.loop._running = True
        self.loop._executing_thread = threading.current_thread()
        self.relay = Relay(self.loop, vm)
        watchers = peers.PeerSubscribers(
            down=(self.relay.task_name,), undelivered=(self.relay.task_name,)
        )
        self.peers = peers.Peers(self.loop, vm, (HOST, 0), KEY, watchers)

    def learn(self, other):
        address = core.PeerAddress(other.vm, *other.peers.address)
        self._post(core.PeerAddresses((address,)))

    def roll_back(self, vm, transaction):
        """Send a message to another VM, and return it."""
        rollback = core.RelayRollback(self.vm, core.TransactionId(transaction))
        self._post(core.SendToPeer(vm, rollback))
        return rollback

    def _post(self, message):
        self.loop.post(self.peers.task_name, message)

    @property
    def streams(self):
        return tuple(self.peers._streams_by_fileno.values())


@pytest.fixture
def start():
    processes = []

    def start_process(vm):
        processes.append(Process(vm))
        return processes[-1]

    yield start_process
    for process in processes:
        for stream in process.streams:
            stream.stream.close()
        process.loop.close()


def run_until(condition, *processes, turns=MAX_TURNS):
    for _ in range(turns):
        if condition():
            return
        for process in processes:
            process.loop.tick(timeout=0.001)
    raise AssertionError('the condition never held')


def run_on(*processes):
    for _ in range(QUIET_TURNS):
        for process in processes:
            process.loop.tick(timeout=0.001)


def test_a_new_process_ends_the_streams_of_the_earlier_one(start):
    """A relay kept work of a restarted VM whose old stream ended late."""
    receiver, earlier, later = start(SECOND), start(FIRST), start(FIRST)
    received = receiver.relay.messages
    for process in (earlier, later):
        process.learn(receiver)
    before = earlier.roll_back(SECOND, 't1')
    run_until(lambda: len(received) == 1, receiver, earlier)
    after = later.roll_back(SECOND, 't2')
    run_until(lambda: after in received, receiver, later)
    assert received == [before, core.PeerDown(FIRST), after]
    [stream] = receiver.streams
    assert stream is receiver.peers._streams_by_vm[FIRST]
    for ended in earlier.streams:
        ended.stream.close()
    run_on(receiver, later)
    assert received == [before, core.PeerDown(FIRST), after]
    answer = receiver.roll_back(FIRST, 't3')
    run_until(lambda: answer in later.relay.messages, receiver, later)


def test_two_streams_of_one_process_both_stay_open(start):
    """Two VMs that connected to each other would close both in turn."""
    first, second = start(FIRST), start(SECOND)
    first.learn(second)
    second.learn(first)
    run_on(first, second)
    assert first.peers._connect(SECOND)
    assert second.peers._connect(FIRST)
    run_until(
        lambda: all(
            stream.authenticated
            for process in (first, second)
            for stream in process.streams
        ),
        first,
        second,
    )
    run_on(first, second)
    assert [len(first.streams), len(second.streams)] == [2, 2]
    there = first.roll_back(SECOND, 't1')
    back = second.roll_back(FIRST, 't2')
    run_until(
        lambda: first.relay.messages and second.relay.messages, first, second
    )
    assert second.relay.messages == [there]
    assert first.relay.messages == [back]


class Sink:
    """A stream that drops what is written to it."""

    def write(self, data):
        pass


def receive_greeting(*extra_fields):
    """Return a stream end that got a greeting with these last fields."""
    end = stream_module.PeerStream(
        Sink(),
        FIRST,
        core.PeerProcessId(b'1'),
        KEY,
        stream_module.StreamRole.ACCEPTOR,
        0.0,
    )
    body = msgpack.packb(
        [stream_module.PROTOCOL_VERSION, SECOND, b'nonce', *extra_fields]
    )
    end.receive(stream_module._FRAME_HEADER.pack(len(body), 0) + body)
    return end


def test_a_greeting_of_an_older_release_names_no_process():
    """A VM of the release before must not be refused."""
    assert receive_greeting().peer_process is None
    assert receive_greeting(b'2').peer_process == b'2'


def test_a_greeting_with_a_malformed_process_is_refused():
    """Bad input ends its stream with a typed error."""
    with pytest.raises(core.FrameError, match='malformed greeting'):
        receive_greeting(2)


def test_a_peer_connects_among_streams_that_prove_nothing(start, monkeypatch):
    """Load: a crowd opens connections to the peer listener and leaves them."""
    monkeypatch.setattr(task_module, 'MAX_UNAUTHENTICATED_STREAMS', 3)
    monkeypatch.setattr(task_module, 'HANDSHAKE_TIMEOUT_S', 60.0)
    receiver, sender = start(SECOND), start(FIRST)
    crowd = [
        socket.create_connection(receiver.peers.address) for _ in range(9)
    ]
    run_on(receiver)
    assert len(receiver.streams) == 3
    sender.learn(receiver)
    message = sender.roll_back(SECOND, 't1')
    run_until(lambda: message in receiver.relay.messages, receiver, sender)
    assert len(receiver.streams) <= 4
    for sock in crowd:
        sock.close()


def test_a_peer_that_takes_nothing_is_lost_and_its_message_returned(
    start, monkeypatch
):
    """Load: work is forwarded to a VM that hangs."""
    monkeypatch.setattr(task_module, 'MAX_UNSENT_BYTES', 1000)
    receiver, sender = start(SECOND), start(FIRST)
    sender.learn(receiver)
    message = sender.roll_back(SECOND, 't1')
    run_until(lambda: message in receiver.relay.messages, receiver, sender)
    sender.peers._streams_by_vm[SECOND].stream.write(b'x' * 1001)
    late = sender.roll_back(SECOND, 't2')
    run_until(lambda: len(sender.relay.messages) == 2, sender)
    assert set(sender.relay.messages) == {
        core.PeerDown(SECOND),
        task_messages.Undelivered(SECOND, late),
    }
