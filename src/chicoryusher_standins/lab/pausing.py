"""A runtime that can pause and kill the tasks of single VMs."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import runtime

__all__ = ['LabRuntime']


def _vm_of(task: core.TaskName) -> str:
    return task.partition('/')[0]


class LabRuntime(runtime.Runtime):
    """Runtime that holds back messages to paused VMs, drops those to dead."""

    def __init__(self) -> None:
        super().__init__(core.VirtualClock())
        self._paused: dict[str, list[tuple[core.TaskName, core.Message]]] = {}
        self._dead: set[str] = set()

    def pause(self, vm: core.VmName) -> None:
        """Pause a VM's tasks between two messages."""
        self._paused[vm] = []

    def go_on(self, vm: core.VmName) -> None:
        """Resume a VM's tasks and deliver the messages held back."""
        for task, message in self._paused.pop(vm, []):
            self.post(task, message)

    def kill(self, vm: core.VmName) -> None:
        """Kill a VM: drop every message to its tasks from now on."""
        self._paused.pop(vm, None)
        self._dead.add(vm)

    def post(self, task: core.TaskName, message: core.Message) -> None:
        """Post ``message`` to ``task``, unless its VM is paused or dead."""
        if self._dead or self._paused:
            vm = _vm_of(task)
            if vm in self._dead:
                return
            if vm in self._paused:
                self._paused[vm].append((task, message))
                return
        super().post(task, message)
