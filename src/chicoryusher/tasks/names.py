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
    'forwarder',
    'gate',
    'handover',
    'keeper',
    'group',
    'life_of',
    'link',
    'membership',
    'node',
    'promotions',
    'relay',
    'prober',
    'rows',
    'peers',
    'pool_lane',
    'pool_link',
    'router',
    'table',
    'watch',
]


def _single(task: str) -> Callable[[core.VmName], core.TaskName]:
    """Return a function that names a task of which each VM has one."""
    return lambda vm: core.TaskName(f'{vm}/{task}')


def _instance(
    task: str,
) -> Callable[[core.VmName, core.InstanceName], core.TaskName]:
    """Return a function that names a task that exists for each instance."""
    return lambda vm, name: core.TaskName(f'{vm}/{task}/{name}')


admin = _single('admin')
configurator = _single('configurator')
desk = _single('desk')
exchange = _single('exchange')
forwarder = _single('forwarder')
keeper = _single('keeper')
membership = _single('membership')
node = _single('node')
peers = _single('peers')
prober = _single('prober')
promotions = _single('promotions')
relay = _single('relay')
router = _single('router')
rows = _single('rows')
table = _single('platform')
watch = _single('watch')
agent = _instance('agent')
gate = _instance('gate')
link = _instance('link')


def group(vm: core.VmName, name: core.DatabaseName) -> core.TaskName:
    """Return the name of a database group's monitor."""
    return core.TaskName(f'{vm}/group/{name}')


def pool_lane(vm: core.VmName, entry: core.InstanceEntry) -> core.TaskName:
    """Return the name of the instance pool of one incarnation."""
    return core.TaskName(f'{vm}/lane/{life_of(entry)}')


def pool_link(vm: core.VmName, entry: core.InstanceEntry) -> core.TaskName:
    """Return the name of the task with one incarnation's sockets."""
    return core.TaskName(f'{vm}/link/{life_of(entry)}')


def life_of(entry: core.InstanceEntry) -> str:
    """Return a text that identifies one incarnation of an instance.

    An instance that was restarted or moved has the same name but is
    another incarnation.  Task names contain this text, so that messages
    that are still on the way to an old incarnation reach no task.
    """
    return f'{entry.name}@{entry.host}:{entry.port}/{entry.boot}'


def handover(vm: core.VmName, name: core.ServiceName) -> core.TaskName:
    """Return the name of the task that changes a group's primary."""
    return core.TaskName(f'{vm}/handover/{name}')
