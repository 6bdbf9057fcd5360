"""Base class of tasks.

A task owns its sockets and its state.  Other tasks reach it only by
messages, which wait in its mailbox.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import ClassVar

import circuits

from chicoryusher import core
from chicoryusher.runtime import logs
from chicoryusher.runtime import loop

__all__ = ['Task', 'handles']

MIN_TICK_DELAY_S = 0.001
_Handler = Callable[[Any, Any], None]


def handles(*kinds: type) -> Callable[[_Handler], _Handler]:
    """Return a decorator that marks a handler of these message types."""

    def mark(method: _Handler) -> _Handler:
        method.handled_kinds = kinds  # type: ignore[attr-defined]
        return method

    return mark


class Task(circuits.BaseComponent):
    """A circuits component that receives typed messages only.

    Subclasses mark the methods that handle messages with ``handles``.
    """

    handlers: ClassVar[dict[type, _Handler]] = {}

    def __init_subclass__(cls, **kwargs: Any) -> None:
        """Fill ``handlers`` with the methods that ``handles`` marked."""
        super().__init_subclass__(**kwargs)
        table = dict(cls.handlers)
        for method in vars(cls).values():
            for kind in getattr(method, 'handled_kinds', ()):
                table[kind] = method
        cls.handlers = table

    def __init__(self, runtime: loop.Runtime, vm: str, task: str) -> None:
        name = f'{vm}/{task}' if vm else task
        super().__init__(channel=name)
        self.task_name = core.TaskName(name)
        self.vm = core.VmName(vm)
        self.log = logs.Log(vm, task)
        self.meters = runtime.meters
        self._runtime = runtime
        self._mailbox = runtime.add_mailbox(self.task_name)
        self._ended = False
        self.register(runtime)

    def now(self) -> float:
        """Return the seconds of the runtime's clock."""
        return self._runtime.clock.now()

    def send(self, task: core.TaskName, message: core.Message) -> None:
        """Put a message into the mailbox of another task."""
        self._runtime.post(task, message)

    def after(self, delay: float, message: core.Message) -> core.TimerId:
        """Send a message to this task after ``delay`` seconds."""
        return self._runtime.timers.add(delay, self.task_name, message)

    def until_beat(self, interval: float) -> float:
        """Return the seconds to the next multiple of ``interval``.

        Tasks that wait for the same multiple wake the loop once instead of
        once each.  A multiple that is less than 1 ms away is skipped.
        """
        delay = interval - self.now() % interval
        return delay if delay > MIN_TICK_DELAY_S else delay + interval

    def cancel(self, timer: core.TimerId | None) -> None:
        """Cancel a timer of this task, if there is one."""
        if timer is not None:
            self._runtime.timers.cancel(timer)

    def end(self) -> None:
        """Remove the mailbox and leave the loop.

        The loop still offers events to the task for a moment, also those of
        a new task of the same name; the task ignores them.
        """
        self._ended = True
        self._runtime.remove_mailbox(self.task_name, self._mailbox)
        self.unregister()

    def settled(self) -> None:
        """Act once after each batch of messages; subclasses override it."""

    @circuits.handler('deliver')
    def _on_deliver(self) -> None:
        """Handle all messages in the mailbox, until the task ends."""
        messages = tuple(self._mailbox)
        self._mailbox.clear()
        for message in messages:
            if self._ended:
                return
            handle = self.handlers.get(type(message))
            if handle is None:
                self._failed(message, 'no handler')
                continue
            try:
                handle(self, message)
            except Exception as exc:  # noqa: BLE001 - the task goes on
                self._failed(message, repr(exc))
        if not self._ended:
            self.settled()

    def _failed(self, message: core.Message, why: str) -> None:
        """Log a message that raised an error or has no handler."""
        self.log.emit(
            core.LogEvent.TASK_FAILED, kind=type(message).__name__, why=why
        )
