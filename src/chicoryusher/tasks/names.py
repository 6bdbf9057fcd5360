"""Names of the tasks of one VM."""

from __future__ import annotations

from collections.abc import Callable

from chicoryusher import core

__all__ = [
    'admin',
    'agent',
    'configurator',
    'gate',
    'group',
    'link',
    'membership',
    'node',
    'peers',
    'router',
    'table',
]


def _single(task: str) -> Callable[[core.VmName], core.TaskName]:
    """Return the naming of a task that a VM has one of."""
    return lambda vm: core.TaskName(f'{vm}/{task}')


def _instance(
    task: str,
) -> Callable[[core.VmName, core.InstanceName], core.TaskName]:
    """Return the naming of a task that is there for each instance."""
    return lambda vm, name: core.TaskName(f'{vm}/{task}/{name}')


admin = _single('admin')
configurator = _single('configurator')
membership = _single('membership')
node = _single('node')
peers = _single('peers')
router = _single('router')
table = _single('platform')
agent = _instance('agent')
gate = _instance('gate')
link = _instance('link')


def group(vm: core.VmName, name: core.DatabaseName) -> core.TaskName:
    """Return the name of the watch over a database group."""
    return core.TaskName(f'{vm}/group/{name}')
