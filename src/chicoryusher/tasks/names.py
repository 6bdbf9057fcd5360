"""Names of the tasks of one VM."""

from __future__ import annotations

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


def router(vm: core.VmName) -> core.TaskName:
    """Return the name of the VM's router."""
    return core.TaskName(f'{vm}/router')


def peers(vm: core.VmName) -> core.TaskName:
    """Return the name of the task that owns the peer streams."""
    return core.TaskName(f'{vm}/peers')


def node(vm: core.VmName) -> core.TaskName:
    """Return the name of the task that composes the VM's others."""
    return core.TaskName(f'{vm}/node')


def membership(vm: core.VmName) -> core.TaskName:
    """Return the name of the membership task."""
    return core.TaskName(f'{vm}/membership')


def configurator(vm: core.VmName) -> core.TaskName:
    """Return the name of the configuration task."""
    return core.TaskName(f'{vm}/configurator')


def table(vm: core.VmName) -> core.TaskName:
    """Return the name of the platform's client task."""
    return core.TaskName(f'{vm}/platform')


def admin(vm: core.VmName) -> core.TaskName:
    """Return the name of the admin task."""
    return core.TaskName(f'{vm}/admin')


def gate(vm: core.VmName, name: core.InstanceName) -> core.TaskName:
    """Return the name of the gate of an instance."""
    return core.TaskName(f'{vm}/gate/{name}')


def link(vm: core.VmName, name: core.InstanceName) -> core.TaskName:
    """Return the name of the link to an instance."""
    return core.TaskName(f'{vm}/link/{name}')


def group(vm: core.VmName, name: core.DatabaseName) -> core.TaskName:
    """Return the name of the watch over a database group."""
    return core.TaskName(f'{vm}/group/{name}')


def agent(vm: core.VmName, name: core.InstanceName) -> core.TaskName:
    """Return the name of the client of an instance's group agent."""
    return core.TaskName(f'{vm}/agent/{name}')
