"""Base of every task: it owns its sockets and state, and gets messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import ClassVar

import circuits

from chicoryusher import core
from chicoryusher.runtime import logs
from chicoryusher.runtime import loop

__all__ = ['Task', 'handles']

MIN_BEAT_DELAY = 0.001
_Handler = Callable[[Any, Any], None]


def handles(*kinds: type) -> Callable[[_Handler], _Handler]:
    """Mark a method as the handler of these message types."""

    def mark(method: _Handler) -> _Handler:
        method.handled_kinds = kinds  # type: ignore[attr-defined]
        return method

    return mark


class Task(circuits.BaseComponent):
    """A component that is spoken to by typed messages only."""

    handlers: ClassVar[dict[type, _Handler]] = {}

    def __init_subclass__(cls, **kwargs: Any) -> None:
        """Collect the methods that ``handles`` has marked."""
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
        runtime.add_box(self.task_name)
        self.register(runtime)

    def now(self) -> float:
        """Return the runtime's time in seconds."""
        return self._runtime.clock.now()

    def send(self, task: core.TaskName, message: core.Message) -> None:
        """Put a message into another task's box."""
        self._runtime.post(task, message)

    def after(self, delay: float, message: core.Message) -> core.TimerId:
        """Send this task a message after ``delay`` seconds."""
        return self._runtime.timers.add(delay, self.task_name, message)

    def until_beat(self, interval: float) -> float:
        """Return the time to the next multiple of ``interval`` seconds.

        Tasks that wait for the same beat wake the loop once.
        """
        left = interval - self.now() % interval
        return left if left > MIN_BEAT_DELAY else left + interval

    def cancel(self, timer: core.TimerId | None) -> None:
        """Take back a timer of this task."""
        if timer is not None:
            self._runtime.timers.cancel(timer)

    def end(self) -> None:
        """Close the box and leave the loop."""
        self._runtime.drop_box(self.task_name)
        self.unregister()

    def settled(self) -> None:
        """Act once after a batch of messages has been handled."""

    @circuits.handler('deliver')
    def _on_deliver(self) -> None:
        for message in self._runtime.take(self.task_name):
            method = self.handlers.get(type(message))
            if method is None:
                self._failed(message, 'no handler')
                continue
            try:
                method(self, message)
            except Exception as exc:  # noqa: BLE001 - the task lives on
                self._failed(message, repr(exc))
        self.settled()

    def _failed(self, message: core.Message, why: str) -> None:
        self.log.emit(
            core.LogEvent.TASK_FAILED, kind=type(message).__name__, why=why
        )
