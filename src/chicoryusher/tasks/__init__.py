"""Tasks: components that own their state and exchange messages.

A name is imported from its module when it is first used.  Entry processes
use only ``tasks.pool``, and start faster without the other modules.
"""

from __future__ import annotations

import importlib
from typing import Any

from chicoryusher.tasks import names

_MODULE_OF = {
    'ApplyDocument': 'configurator',
    'ApplyResult': 'configurator',
    'StateQuery': 'task_messages',
    'AssignGate': 'task_messages',
    'CONFIG_KEY': 'configurator',
    'ConfigUpdate': 'task_messages',
    'Configurator': 'configurator',
    'TaskFactory': 'node',
    'Gate': 'gate',
    'GroupMonitor': 'group_monitor',
    'MembershipTask': 'membership',
    'Node': 'node',
    'Router': 'router',
    'RouterSettings': 'router',
    'StateReport': 'task_messages',
    'TeamsQuery': 'task_messages',
    'Undelivered': 'task_messages',
    'MonitorGroup': 'task_messages',
    'audit_key': 'configurator',
}

__all__ = [*_MODULE_OF, 'names']


def __getattr__(name: str) -> Any:
    """Return a re-exported name; AttributeError for any other."""
    module_name = _MODULE_OF.get(name)
    if module_name is None:
        raise AttributeError(f'{__name__} has no {name!r}')
    module = importlib.import_module(f'{__name__}.{module_name}')
    return getattr(module, name)
