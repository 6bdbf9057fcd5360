"""The relay on its own, with an instance pool that answers nothing."""

from __future__ import annotations

import pytest

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.exchange import relay

VM = core.VmName('vm0')
OTHER_VM = core.VmName('vm1')
SERVICE = core.ServiceName('spoonbook')
ENTRY = core.InstanceEntry(
    core.InstanceName('i-1'),
    SERVICE,
    '10.1.0.9',
    8080,
    core.ZoneName('akhmim-yard'),
    3,
    False,
    core.Role.PRIMARY,
    1,
)
MAX_HELD_BYTES = 400_000
_POOL_NAME = names.instance_pool(VM, ENTRY).removeprefix(f'{VM}/')


class Pool(runtime.Task):
    """Keeps the work that it gets."""

    def __init__(self, loop):
        super().__init__(loop, VM, _POOL_NAME)
        self.received = []

    @runtime.handles(core.Work)
    def _on_work(self, work):
        self.received.append(work)

    @runtime.handles(core.CancelWork)
    def _on_cancel(self, message):
        """Ignore it: the relay has forgotten the work."""


class Peers(runtime.Task):
    """Keeps the messages for other VMs."""

    def __init__(self, loop):
        super().__init__(loop, VM, 'peers')
        self.received = []

    @runtime.handles(core.SendToPeer)
    def _on_send(self, message):
        self.received.append(message)


class Scene:
    """A relay between an instance pool and the stream to another VM."""

    def __init__(self, loop):
        self.loop = loop
        self.pool = Pool(loop)
        self.peers = Peers(loop)
        self.relay = relay.Relay(loop, VM, MAX_HELD_BYTES)
        self.post(core.GroupUpdate(SERVICE, (ENTRY,), ENTRY.name))

    def post(self, message):
        self.loop.post(self.relay.task_name, message)
        self.loop.settle()

    def relay_work(self, number, size, **changes):
        statement = core.Statement(core.Verb.WRITE, 'x' * size, '1a4', 'x')
        work = core.RelayWork(
            OTHER_VM,
            ENTRY.name,
            ENTRY.incarnation,
            core.WorkId(number),
            core.RequestId(f'r{number}'),
            statement,
            None,
            (),
            1,
            1.0,
            1.0,
            1.0,
            **changes,
        )
        self.post(work)

    def completions(self):
        return [sent.message.completion for sent in self.peers.received]


@pytest.fixture
def scene(loop):
    return Scene(loop)


def test_large_work_without_room_is_given_back_as_not_started(scene):
    """Load: many VMs forward large statements to one connection owner."""
    for number in range(3):
        scene.relay_work(number, 60_000)
    assert len(scene.pool.received) == 2
    assert scene.completions() == [core.Completion.NOT_STARTED]
    assert not scene.peers.received[0].message.sent
    scene.relay_work(4, 100)
    assert len(scene.pool.received) == 3


def test_work_of_an_open_transaction_is_not_given_back(scene):
    for number in range(2):
        scene.relay_work(number, 60_000)
    scene.relay_work(3, 60_000, transaction=core.TransactionId('t1'))
    assert len(scene.pool.received) == 3


def test_work_that_has_ended_leaves_room(scene):
    for number in range(2):
        scene.relay_work(number, 60_000)
    first, second = scene.pool.received
    ended = core.Completion.ANSWERED
    scene.post(core.WorkEnded(first.work_id, ENTRY.name, ended))
    scene.post(core.RelayCancel(OTHER_VM, core.WorkId(1)))
    for number in (5, 6):
        scene.relay_work(number, 60_000)
    assert len(scene.pool.received) == 4
    assert second.work_id != first.work_id
