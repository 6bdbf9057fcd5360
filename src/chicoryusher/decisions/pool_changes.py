"""What a version of routes, groups and teams changes, for operators."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from chicoryusher import core
from chicoryusher.decisions import config_changes

__all__ = ['compare_pool_configs']

_ChangeKind = config_changes.ChangeKind
_Change = config_changes.ConfigChange
_Entries = Callable[[core.PoolConfig], dict[str, Any]]
# The entries of one kind, by their names.
_ENTRIES: core.Registry[_Entries] = core.Registry('entries of a pool')


def compare_pool_configs(
    before: core.PoolConfig, after: core.PoolConfig
) -> tuple[config_changes.ConfigChange, ...]:
    """Return what differs between two versions.  Keys are not shown."""
    return tuple(
        change
        for kind in _ENTRIES
        for change in _compare(
            kind, _ENTRIES.get(kind)(before), _ENTRIES.get(kind)(after)
        )
    )


@_ENTRIES.register('route')
def _routes(config: core.PoolConfig) -> dict[str, Any]:
    return {route.database: route for route in config.routes}


@_ENTRIES.register('database group')
def _services(config: core.PoolConfig) -> dict[str, Any]:
    return {service.name: service for service in config.services}


@_ENTRIES.register('team')
def _teams(config: core.PoolConfig) -> dict[str, Any]:
    return {team.name: team for team in config.teams}


def _compare(
    kind: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterator[config_changes.ConfigChange]:
    for name in sorted(before.keys() | after.keys()):
        entry = f'{kind} {name}'
        if name not in after:
            yield _Change(_ChangeKind.REMOVED, entry, '')
        elif name not in before:
            yield _Change(_ChangeKind.ADDED, entry, '')
        elif before[name] != after[name]:
            details = ', '.join(_differences(before[name], after[name]))
            yield _Change(_ChangeKind.CHANGED, entry, details)


def _differences(before: Any, after: Any) -> Iterable[str]:
    for field in dataclasses.fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if field.name == 'keys':
            yield from _key_changes(set(old), set(new))
        elif old != new:
            yield f'{field.name} {_text(old)} becomes {_text(new)}'


def _key_changes(
    before: set[core.KeyDigest], after: set[core.KeyDigest]
) -> Iterator[str]:
    for text, keys in (('added', after - before), ('removed', before - after)):
        if keys:
            yield f'{len(keys)} keys {text}'


def _text(value: Any) -> str:
    return str(getattr(value, 'value', value))
