"""Faults requested from another thread and injected on the event loop."""

from __future__ import annotations

import dataclasses
import enum

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher_standins import instance

__all__ = ['FAULT_TASK', 'Fault', 'FaultTask', 'order']

FAULT_TASK = core.TaskName('faults')


class Fault(enum.Enum):
    """Kind of fault of an instance."""

    KILL = 'kill'
    PAUSE = 'pause'
    RESUME = 'resume'


@dataclasses.dataclass(frozen=True, slots=True)
class _InjectFault(core.Message):
    """Inject a fault into an instance."""

    target: instance.Standin
    fault: Fault


class FaultTask(runtime.Task):
    """Inject faults, between the messages of other tasks."""

    def __init__(self, loop: runtime.Runtime) -> None:
        super().__init__(loop, '', 'faults')

    @runtime.handles(_InjectFault)
    def _on_inject_fault(self, message: _InjectFault) -> None:
        if message.fault is Fault.KILL:
            message.target.kill()
        elif message.fault is Fault.PAUSE:
            message.target.pause()
        else:
            message.target.resume()


def order(
    loop: runtime.Runtime, target: instance.Standin, fault: Fault
) -> None:
    """Request a fault; the event loop injects it asynchronously."""
    loop.post(FAULT_TASK, _InjectFault(target, fault))
