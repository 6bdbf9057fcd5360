"""Documents on peer streams take a share of the link only."""

from __future__ import annotations

import pytest

from chicoryusher import core
from chicoryusher import peers
from chicoryusher import runtime

KEY = b'key of the cluster'
NAMES = [core.VmName(f'vm{number}') for number in range(4)]
# A copy of the document below takes longer than the test at half of this rate.
LINK_BYTES_PER_S = 100.0
RUN_S = 10.0


class Stop(core.Message):
    """End the test."""


class Exchange(runtime.Task):
    """Records which messages arrive, in the order of their arrival."""

    def __init__(self, loop, vm, arrivals):
        super().__init__(loop, vm, 'exchange')
        self._loop = loop
        self._arrivals = arrivals
        self.after(RUN_S, Stop())

    @runtime.handles(core.PoolConfigUpdate, core.FetchView)
    def _on_message(self, message):
        self._arrivals.append((self.vm, type(message)))
        fetches = [vm for vm, kind in self._arrivals if kind is core.FetchView]
        if len(fetches) == len(NAMES) - 1:
            self._loop.stop()

    @runtime.handles(Stop)
    def _on_stop(self, stop):
        self._loop.stop()


@pytest.fixture
def loop():
    loop = runtime.Runtime()
    yield loop
    loop.close()


def make_config():
    routes = tuple(
        core.PoolRoute(
            core.DatabaseName(f'db{number * 7919}'),
            core.ServiceName(f's{number}'),
            core.ReadAccess.PRIMARY,
            0.0,
            4.0,
            0.6,
            0,
        )
        for number in range(200)
    )
    return core.PoolConfig(core.ConfigVersion(1), routes, (), 3.0)


def test_short_messages_go_before_the_copies_of_a_document(loop):
    """All copies were written at once, and filled the link."""
    arrivals = []
    streams = {
        vm: peers.Peers(
            loop,
            vm,
            ('127.0.0.1', 0),
            KEY,
            peers.PeerSubscribers(),
            LINK_BYTES_PER_S,
        )
        for vm in NAMES
    }
    addresses = core.PeerAddresses(
        tuple(
            core.PeerAddress(vm, *task.address) for vm, task in streams.items()
        )
    )
    sender = streams[NAMES[0]]
    for vm in NAMES[1:]:
        Exchange(loop, vm, arrivals)
    loop.post(sender.task_name, addresses)
    config = core.PoolConfigUpdate(make_config())
    for vm in NAMES[1:]:
        loop.post(sender.task_name, core.SendToPeer(vm, config))
    fetch = core.FetchView(NAMES[0], core.StoreView.LEADERS)
    for vm in NAMES[1:]:
        loop.post(sender.task_name, core.SendToPeer(vm, fetch))
    loop.run()
    fetched = {vm for vm, kind in arrivals if kind is core.FetchView}
    assert fetched == set(NAMES[1:])
    documents = [kind for _, kind in arrivals if kind is core.PoolConfigUpdate]
    assert len(documents) <= 1
