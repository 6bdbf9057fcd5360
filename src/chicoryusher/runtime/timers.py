"""Timers: messages that are sent to a task at a later time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

import circuits

from chicoryusher import core

__all__ = ['Timers']


class Timers(circuits.BaseComponent):
    """Heap of timers by due time, on the runtime's clock.

    The poller fires the timers that are due, after the ready sockets.
    """

    channel = 'timers'

    def __init__(
        self,
        clock: core.Clock,
        post: Callable[[core.TaskName, core.Message], None],
    ) -> None:
        super().__init__(channel='timers')
        self._clock = clock
        self._post = post
        self._timer_ids = itertools.count(1)
        self._heap: list[tuple[float, int, core.TaskName, core.Message]] = []
        self._cancelled: set[int] = set()
        self._pending: set[int] = set()

    def add(
        self, delay: float, task: core.TaskName, message: core.Message
    ) -> core.TimerId:
        """Send ``message`` to ``task`` after ``delay`` seconds."""
        timer_id = next(self._timer_ids)
        when = self._clock.now() + max(0.0, delay)
        heapq.heappush(self._heap, (when, timer_id, task, message))
        self._pending.add(timer_id)
        return core.TimerId(timer_id)

    def cancel(self, timer: core.TimerId) -> None:
        """Cancel a timer; do nothing if it has fired."""
        if timer in self._pending:
            self._cancelled.add(timer)

    def next_due(self) -> float | None:
        """Return when the next timer is due, or None if there is none."""
        while self._heap and self._heap[0][1] in self._cancelled:
            timer_id = heapq.heappop(self._heap)[1]
            self._cancelled.discard(timer_id)
            self._pending.discard(timer_id)
        return self._heap[0][0] if self._heap else None

    def fire_due(self) -> None:
        """Post the message of every timer that is due."""
        now = self._clock.now()
        while (due := self.next_due()) is not None and due <= now:
            _, timer_id, task, message = heapq.heappop(self._heap)
            self._pending.discard(timer_id)
            self._post(task, message)

    @circuits.handler('generate_events', channel='*')
    def _on_generate_events(self, event: circuits.Event) -> None:
        due = self.next_due()
        if due is not None:
            event.reduce_time_left(max(0.0, due - self._clock.now()))
