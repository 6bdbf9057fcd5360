"""Names of the tasks of one VM."""

from __future__ import annotations

from collections.abc import Callable

from chicoryusher import core

__all__ = [
    'admin',
    'agent',
    'config_evidence',
    'configurator',
    'dispatcher',
    'evidence_collector',
    'view_exchange',
    'forwarder',
    'gate',
    'handover',
    'primary_manager',
    'group_monitor',
    'incarnation_name',
    'limit_keeper',
    'limiter',
    'link',
    'membership',
    'node',
    'promotions',
    'relay',
    'prober',
    'row_client',
    'peers',
    'instance_pool',
    'pool_link',
    'router',
    'platform_client',
    'reachability_monitor',
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
config_evidence = _single('evidence')
configurator = _single('configurator')
dispatcher = _single('desk')
evidence_collector = _single('evidence')
view_exchange = _single('exchange')
forwarder = _single('forwarder')
primary_manager = _single('keeper')
limit_keeper = _single('limit_keeper')
limiter = _single('limiter')
membership = _single('membership')
node = _single('node')
peers = _single('peers')
prober = _single('prober')
promotions = _single('promotions')
relay = _single('relay')
router = _single('router')
row_client = _single('rows')
platform_client = _single('platform')
reachability_monitor = _single('watch')
agent = _instance('agent')
gate = _instance('gate')
link = _instance('link')


def group_monitor(vm: core.VmName, name: core.DatabaseName) -> core.TaskName:
    """Return the name of a database group's monitor."""
    return core.TaskName(f'{vm}/group/{name}')


def instance_pool(vm: core.VmName, entry: core.InstanceEntry) -> core.TaskName:
    """Return the name of the instance pool of one incarnation."""
    return core.TaskName(f'{vm}/lane/{incarnation_name(entry)}')


def pool_link(vm: core.VmName, entry: core.InstanceEntry) -> core.TaskName:
    """Return the name of the task with one incarnation's sockets."""
    return core.TaskName(f'{vm}/link/{incarnation_name(entry)}')


def incarnation_name(entry: core.InstanceEntry) -> str:
    """Return a text that identifies one incarnation of an instance.

    An instance that was restarted or moved has the same name but is
    another incarnation.  Task names contain this text, so that messages
    that are still on the way to an old incarnation reach no task.
    """
    return f'{entry.name}@{entry.host}:{entry.port}/{entry.incarnation}'


def handover(vm: core.VmName, name: core.ServiceName) -> core.TaskName:
    """Return the name of the task that changes a group's primary."""
    return core.TaskName(f'{vm}/handover/{name}')
