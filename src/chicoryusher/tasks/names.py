"""Names of the tasks of one VM."""

from __future__ import annotations

from collections.abc import Callable

from chicoryusher import core

__all__ = [
    'admin',
    'agent',
    'configurator',
    'desk',
    'exchange',
    'gate',
    'handover',
    'keeper',
    'lane',
    'group',
    'link',
    'membership',
    'node',
    'promotions',
    'prober',
    'rows',
    'peers',
    'router',
    'table',
    'watch',
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
desk = _single('desk')
exchange = _single('exchange')
keeper = _single('keeper')
membership = _single('membership')
node = _single('node')
peers = _single('peers')
prober = _single('prober')
promotions = _single('promotions')
router = _single('router')
rows = _single('rows')
table = _single('platform')
watch = _single('watch')
agent = _instance('agent')
gate = _instance('gate')
lane = _instance('lane')
link = _instance('link')


def group(vm: core.VmName, name: core.DatabaseName) -> core.TaskName:
    """Return the name of the watch over a database group."""
    return core.TaskName(f'{vm}/group/{name}')


def handover(vm: core.VmName, name: core.ServiceName) -> core.TaskName:
    """Return the name of the changes of a group's primary."""
    return core.TaskName(f'{vm}/handover/{name}')
