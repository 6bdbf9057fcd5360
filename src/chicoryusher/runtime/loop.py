"""The runtime: one circuits loop that carries messages between tasks.

Messages for one task wait in its box; the first of them fires one
circuits event, and the task takes the whole box when it is handled.
"""

from __future__ import annotations

import circuits

from chicoryusher import core
from chicoryusher.runtime import logs
from chicoryusher.runtime import meters as meters_module
from chicoryusher.runtime import poller
from chicoryusher.runtime import timers

__all__ = ['Runtime', 'deliver']


class deliver(circuits.Event):  # noqa: N801 - circuits names by class
    """Tell a task that its box holds messages."""


class Runtime(circuits.BaseComponent):
    """Root component: boxes, timers, poller and clock."""

    channel = 'runtime'

    def __init__(
        self,
        clock: core.Clock | None = None,
        meters: meters_module.Meters | None = None,
    ) -> None:
        super().__init__(channel='runtime')
        self.clock = clock or core.SystemClock()
        self.meters = meters or meters_module.NoMeters()
        self._boxes: dict[core.TaskName, list[core.Message]] = {}
        self._log = logs.Log('', 'runtime')
        self.posted = 0
        self.undelivered = 0
        self.timers = timers.Timers(self.clock, self.post).register(self)
        self.poller = poller.Poller(self.post).register(self)

    def add_box(self, task: core.TaskName) -> None:
        """Open the box of a new task."""
        self._boxes[task] = []

    def drop_box(self, task: core.TaskName) -> None:
        """Close the box of a task that has ended."""
        self._boxes.pop(task, None)

    def post(self, task: core.TaskName, message: core.Message) -> None:
        """Put ``message`` into the box of ``task``."""
        box = self._boxes.get(task)
        if box is None:
            self.undelivered += 1
            self._log.emit(
                core.LogEvent.NO_SUCH_TASK,
                receiver=task,
                kind=type(message).__name__,
            )
            return
        self.posted += 1
        box.append(message)
        if len(box) == 1:
            self.fire(deliver(), task)

    def take(self, task: core.TaskName) -> list[core.Message]:
        """Empty the box of ``task`` and return what it held."""
        box = self._boxes.get(task, [])
        if box:
            self._boxes[task] = []
        return box

    def settle(self) -> None:
        """Handle queued events until none is left, without waiting."""
        while len(self):
            self.flush()

    def run_until(self, when: float) -> None:
        """Run on the virtual clock until ``when`` (seconds)."""
        clock = self.clock
        assert isinstance(clock, core.VirtualClock)
        self.settle()
        while (due := self.timers.next_due()) is not None and due <= when:
            clock.advance_to(due)
            self.timers.fire_due()
            self.settle()
        clock.advance_to(when)

    def run_for(self, seconds: float) -> None:
        """Run on the virtual clock for ``seconds``."""
        self.run_until(self.clock.now() + seconds)

    def close(self) -> None:
        """Release descriptors after the loop has ended."""
        self.poller.close()
