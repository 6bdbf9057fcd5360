"""A runtime whose VMs can be paused and killed one by one."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import runtime

__all__ = ['LabRuntime']


def _vm_of(task: core.TaskName) -> str:
    return task.partition('/')[0]


class LabRuntime(runtime.Runtime):
    """Hold back the messages of paused VMs, drop those of dead ones."""

    def __init__(self) -> None:
        super().__init__(core.VirtualClock())
        self._paused: dict[str, list[tuple[core.TaskName, core.Message]]] = {}
        self._dead: set[str] = set()

    def pause(self, vm: core.VmName) -> None:
        """Stop a VM's tasks between two messages."""
        self._paused[vm] = []

    def go_on(self, vm: core.VmName) -> None:
        """Let a paused VM's tasks go on, unaware of the pause."""
        for task, message in self._paused.pop(vm, []):
            self.post(task, message)

    def kill(self, vm: core.VmName) -> None:
        """End a VM's tasks."""
        self._paused.pop(vm, None)
        self._dead.add(vm)

    def post(self, task: core.TaskName, message: core.Message) -> None:
        """Put ``message`` into the box of ``task``, if its VM runs."""
        if self._dead or self._paused:
            vm = _vm_of(task)
            if vm in self._dead:
                return
            if vm in self._paused:
                self._paused[vm].append((task, message))
                return
        super().post(task, message)
