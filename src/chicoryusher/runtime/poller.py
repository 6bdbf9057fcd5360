"""Poller that turns socket readiness into messages to the owning task.

All sockets of a task that are ready in one iteration of the loop are
reported to it in one circuits event, whatever their number.

Timers fire after the sockets that are ready, and one iteration later, so
that the message has reached the task that waits for it.  Otherwise an event
loop that was late for some time would take an answer that has arrived for a
timeout.
"""

from __future__ import annotations

import dataclasses
import os
import select
from collections.abc import Callable

from circuits.core import pollers

from chicoryusher import core
from chicoryusher.runtime import timers as timers_module

__all__ = ['Poller', 'SocketReady']

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
_HANGUP_OR_ERROR = select.EPOLLHUP | select.EPOLLERR
_MAX_CTRL_READ_BYTES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class SocketReady(core.Message):
    """A socket of the receiving task is readable or writable."""

    fileno: int
    readable: bool
    writable: bool


class Poller(pollers.BasePoller):
    """Wait with epoll until a socket is ready or a timer is due."""

    channel = 'poller'

    def __init__(
        self,
        post: Callable[[core.TaskName, core.Message], None],
        timers: timers_module.Timers,
    ) -> None:
        super().__init__(channel='poller')
        self._post = post
        self._timers = timers
        self._timers_deferred = False
        self._epoll = select.epoll()
        self._owners: dict[int, core.TaskName] = {}
        self.wakeups = 0
        os.set_blocking(self._ctrl_recv, False)
        self._epoll.register(self._ctrl_recv, READABLE)

    def watch(
        self, fileno: int, owner: core.TaskName, read: bool, write: bool
    ) -> None:
        """Report readiness of a socket to ``owner`` from now on.

        A second call for a socket replaces the events that are watched.
        """
        event_mask = (READABLE if read else 0) | (WRITABLE if write else 0)
        if fileno in self._owners:
            self._epoll.modify(fileno, event_mask)
        else:
            self._epoll.register(fileno, event_mask)
        self._owners[fileno] = owner

    def report_after(
        self, delay: float, fileno: int, owner: core.TaskName
    ) -> core.TimerId:
        """Report a socket as readable after some seconds, ready or not."""
        return self._timers.add(delay, owner, SocketReady(fileno, True, False))

    def cancel_report(self, timer: core.TimerId) -> None:
        """Cancel a report that is due later."""
        self._timers.cancel(timer)

    def forget(self, fileno: int) -> None:
        """Stop watching a socket; must be called before it is closed."""
        if self._owners.pop(fileno, None) is not None:
            self._epoll.unregister(fileno)

    def close(self) -> None:
        """Release the poller's own descriptors."""
        self._epoll.close()
        os.close(self._ctrl_recv)
        os.close(self._ctrl_send)

    def _generate_events(self, event: pollers.Event) -> None:
        self.wakeups += 1
        ready = self._epoll.poll(event.time_left)
        self._report(ready)
        self._timers_deferred = bool(ready) and not self._timers_deferred
        if not self._timers_deferred:
            self._timers.fire_due()

    def _report(self, ready: list[tuple[int, int]]) -> None:
        for fileno, event_mask in ready:
            owner = self._owners.get(fileno)
            if owner is None:
                self._drain_ctrl_pipe()
                continue
            failed = bool(event_mask & _HANGUP_OR_ERROR)
            self._post(
                owner,
                SocketReady(
                    fileno,
                    bool(event_mask & READABLE) or failed,
                    bool(event_mask & WRITABLE) or failed,
                ),
            )

    def _drain_ctrl_pipe(self) -> None:
        """Empty the pipe by which circuits wakes the poller."""
        try:
            os.read(self._ctrl_recv, _MAX_CTRL_READ_BYTES)
        except BlockingIOError:
            return
