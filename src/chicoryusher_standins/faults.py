"""Faults ordered from another thread, done on the loop's own."""

from __future__ import annotations

import dataclasses
import enum

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher_standins import instance

__all__ = ['FAULT_TASK', 'Fault', 'FaultTask', 'order']

FAULT_TASK = core.TaskName('faults')


class Fault(enum.Enum):
    """What may befall an instance."""

    KILL = 'kill'
    PAUSE = 'pause'
    RESUME = 'resume'


@dataclasses.dataclass(frozen=True, slots=True)
class _Order(core.Message):
    """Bring a fault about."""

    target: instance.Standin
    fault: Fault


class FaultTask(runtime.Task):
    """Bring faults about between other tasks' messages."""

    def __init__(self, loop: runtime.Runtime) -> None:
        super().__init__(loop, '', 'faults')

    @runtime.handles(_Order)
    def _on_order(self, message: _Order) -> None:
        if message.fault is Fault.KILL:
            message.target.kill()
        elif message.fault is Fault.PAUSE:
            message.target.pause()
        else:
            message.target.resume()


def order(
    loop: runtime.Runtime, target: instance.Standin, fault: Fault
) -> None:
    """Order a fault; it happens on the world's loop, soon."""
    loop.post(FAULT_TASK, _Order(target, fault))
