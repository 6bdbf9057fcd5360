"""Links to instances whose entries in the store go and come back."""

from __future__ import annotations

import socket

import stand_ins
from chicoryusher import core
from chicoryusher.tasks.pool.statements import dispatcher
from fleet import link

VM = core.VmName('vm0')
SERVICE = core.ServiceName('spoonbook')
ZONE = core.ZoneName('alex-depot')


class Links:
    """Starts links, and keeps them."""

    def __init__(self, loop):
        self._loop = loop
        self.started = []

    def pool_link(self, vm, entry):
        task = link.InstanceLink(self._loop, vm, entry)
        self.started.append(task)
        return task


def test_an_entry_that_returns_in_one_batch_leaves_one_link(loop):
    """Two links of one name opened each connection twice."""
    stand_ins.Inbox(loop, VM, 'forwarder')
    links = Links(loop)
    desk = dispatcher.Dispatcher(
        loop, VM, links, dispatcher.DispatcherSettings(ZONE, {})
    )
    with socket.create_server((stand_ins.HOST, 0)) as listener:
        entry = core.InstanceEntry(
            core.InstanceName('spoonbook-1'),
            SERVICE,
            *listener.getsockname(),
            ZONE,
            3,
            False,
            core.Role.PRIMARY,
            7,
        )
        registered = core.GroupUpdate(SERVICE, (entry,), entry.name)
        loop.post(desk.task_name, registered)
        loop.settle()
        [earlier] = links.started
        loop.post(earlier.task_name, core.OpenLink(core.ConnId(1)))
        loop.settle()
        [conn] = earlier._conns.values()
        loop.post(desk.task_name, core.GroupUpdate(SERVICE, (), None))
        loop.post(desk.task_name, registered)
        loop.settle()
        _, later = links.started
        loop.post(later.task_name, core.OpenLink(core.ConnId(5)))
        loop.settle()
        assert not earlier._conns
        assert conn.stream.closed
        assert list(later._conns) == [core.ConnId(5)]
        in_loop = [
            task
            for task in loop.components
            if isinstance(task, link.InstanceLink)
        ]
        assert in_loop == [later]
        later.end()
