"""Which tasks hear of the streams to other VMs, and what they are sent."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher import tasks

__all__ = ['PeerSubscribers', 'StreamReports']


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSubscribers:
    """Tasks that are notified of streams and of undelivered messages.

    ``up`` and ``down`` are notified when an authenticated stream opens or
    closes.  ``unreachable`` is notified when queued messages are given up,
    because no stream could be opened or the queue was full, and
    ``undelivered`` of each of these messages.
    """

    up: tuple[core.TaskName, ...] = ()
    down: tuple[core.TaskName, ...] = ()
    unreachable: tuple[core.TaskName, ...] = ()
    undelivered: tuple[core.TaskName, ...] = ()


class StreamReports:
    """Notifies the subscribers of one VM's streams.

    Without ``subscribers`` these are the tasks of a daemon.
    """

    def __init__(
        self, peers: runtime.Task, subscribers: PeerSubscribers | None
    ) -> None:
        self._peers = peers
        self._subscribers = subscribers or _tasks_of_daemon(peers.vm)

    def report_up(self, vm: core.VmName) -> None:
        """Report that an authenticated stream to a VM has opened."""
        for task in self._subscribers.up:
            self._peers.send(task, core.PeerUp(vm))

    def report_down(self, vm: core.VmName) -> None:
        """Report that the stream to a VM has closed."""
        for task in self._subscribers.down:
            self._peers.send(task, core.PeerDown(vm))

    def report_unreachable(self, vm: core.VmName) -> None:
        """Report that the messages for a VM were given up."""
        for task in self._subscribers.unreachable:
            self._peers.send(task, core.PeerDown(vm))

    def report_undelivered(
        self, vm: core.VmName, message: core.Message
    ) -> None:
        """Report that a message for a VM was not sent."""
        for task in self._subscribers.undelivered:
            self._peers.send(task, tasks.Undelivered(vm, message))


def _tasks_of_daemon(vm: core.VmName) -> PeerSubscribers:
    router = tasks.names.router(vm)
    membership = tasks.names.membership(vm)
    return PeerSubscribers(
        up=(membership,),
        down=(router, membership, tasks.names.node(vm)),
        unreachable=(membership,),
        undelivered=(router,),
    )
