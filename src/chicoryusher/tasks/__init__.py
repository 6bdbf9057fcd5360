"""Tasks: circuits components that decide by messages.

A name is imported from its module when it is first asked for: entry
processes use the pooled tasks only, and start sooner without the others.
"""

from __future__ import annotations

import importlib
from typing import Any

from chicoryusher.tasks import names

_HOMES = {
    'ApplyDocument': 'configurator',
    'ApplyResult': 'configurator',
    'Ask': 'notices',
    'AssignGate': 'notices',
    'CONFIG_KEY': 'configurator',
    'ConfigInForce': 'notices',
    'Configurator': 'configurator',
    'Edges': 'node',
    'Gate': 'gate',
    'Group': 'group',
    'MembershipTask': 'membership',
    'Node': 'node',
    'Router': 'router',
    'RouterSettings': 'router',
    'Told': 'notices',
    'Undelivered': 'notices',
    'WatchGroup': 'notices',
    'audit_key': 'configurator',
}

__all__ = [*_HOMES, 'names']


def __getattr__(name: str) -> Any:
    """Return a re-exported name; AttributeError for any other."""
    home = _HOMES.get(name)
    if home is None:
        raise AttributeError(f'{__name__} has no {name!r}')
    module = importlib.import_module(f'{__name__}.{home}')
    return getattr(module, name)
