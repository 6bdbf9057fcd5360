"""Poller that turns socket readiness into messages to the owning task.

All sockets of one task that are ready in one turn of the loop reach it
in one circuits event, whatever their number.
"""

from __future__ import annotations

import dataclasses
import os
import select
from collections.abc import Callable

from circuits.core import pollers

from chicoryusher import core

__all__ = ['Poller', 'SocketReady']

READ = select.EPOLLIN
WRITE = select.EPOLLOUT
_BROKEN = select.EPOLLHUP | select.EPOLLERR
_CTRL_BYTES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class SocketReady(core.Message):
    """A socket of the task can be read from or written to."""

    fileno: int
    readable: bool
    writable: bool


class Poller(pollers.BasePoller):
    """Wait for sockets and timers with epoll."""

    channel = 'poller'

    def __init__(
        self, post: Callable[[core.TaskName, core.Message], None]
    ) -> None:
        super().__init__(channel='poller')
        self._post = post
        self._epoll = select.epoll()
        self._owners: dict[int, core.TaskName] = {}
        self.wakeups = 0
        os.set_blocking(self._ctrl_recv, False)
        self._epoll.register(self._ctrl_recv, READ)

    def watch(
        self, fileno: int, owner: core.TaskName, read: bool, write: bool
    ) -> None:
        """Report readiness of a socket to ``owner`` from now on."""
        mask = (READ if read else 0) | (WRITE if write else 0)
        if fileno in self._owners:
            self._epoll.modify(fileno, mask)
        else:
            self._epoll.register(fileno, mask)
        self._owners[fileno] = owner

    def forget(self, fileno: int) -> None:
        """Stop watching a socket; call this before it is closed."""
        if self._owners.pop(fileno, None) is not None:
            self._epoll.unregister(fileno)

    def close(self) -> None:
        """Release the poller's own descriptors."""
        self._epoll.close()
        os.close(self._ctrl_recv)
        os.close(self._ctrl_send)

    def _generate_events(self, event: pollers.Event) -> None:
        self.wakeups += 1
        for fileno, mask in self._epoll.poll(event.time_left):
            owner = self._owners.get(fileno)
            if owner is None:
                self._clear_ctrl()
                continue
            broken = bool(mask & _BROKEN)
            self._post(
                owner,
                SocketReady(
                    fileno,
                    bool(mask & READ) or broken,
                    bool(mask & WRITE) or broken,
                ),
            )

    def _clear_ctrl(self) -> None:
        try:
            os.read(self._ctrl_recv, _CTRL_BYTES)
        except BlockingIOError:
            return
