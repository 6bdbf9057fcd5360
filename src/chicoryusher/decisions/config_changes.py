"""What a register document changes, in the words of operators."""

from __future__ import annotations

import dataclasses
import enum
import json
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from chicoryusher import core
from chicoryusher.decisions.config_checks import findings

__all__ = ['ChangeKind', 'ConfigChange', 'compare_registers']

Document = dict[str, Any]


class ChangeKind(enum.Enum):
    """What happens to an entry."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChange:
    """Change of one entry, such as ``team red``."""

    kind: ChangeKind
    entry: str
    detail: str


_Comparison = Callable[
    [findings.RegisterDocument, findings.RegisterDocument],
    Iterable[ConfigChange],
]
_COMPARISONS: core.Registry[_Comparison] = core.Registry('comparison')


def compare_registers(before: Any, after: Any) -> tuple[ConfigChange, ...]:
    """Return what differs between two register documents without errors.

    ``before`` is None if there was no register.
    """
    old = findings.RegisterDocument(before or {})
    new = findings.RegisterDocument(after)
    return tuple(
        change
        for name in _COMPARISONS
        for change in _COMPARISONS.get(name)(old, new)
    )


def _compare_named(
    kind: str, before: list[Document], after: list[Document]
) -> Iterator[ConfigChange]:
    """Yield the changes of entries that their name identifies."""
    old = {entry['name']: entry for entry in before}
    new = {entry['name']: entry for entry in after}
    for name in sorted(old.keys() | new.keys()):
        entry = f'{kind} {name}'
        if name not in new:
            yield ConfigChange(ChangeKind.REMOVED, entry, '')
        elif name not in old:
            detail = _describe(new[name])
            yield ConfigChange(ChangeKind.ADDED, entry, detail)
        elif details := list(_field_changes(old[name], new[name])):
            yield ConfigChange(ChangeKind.CHANGED, entry, ', '.join(details))


def _describe(entry: Document) -> str:
    return ', '.join(
        f'{field} {_text(value)}'
        for field, value in entry.items()
        if field not in ('name', 'instances')
    )


def _field_changes(old: Document, new: Document) -> Iterator[str]:
    for field in sorted(old.keys() | new.keys()):
        before, after = old.get(field), new.get(field)
        if field == 'instances' or before == after:
            continue
        if isinstance(before, list) and isinstance(after, list):
            yield from (
                f'{field} with {value}'
                for value in after
                if value not in before
            )
            yield from (
                f'{field} without {value}'
                for value in before
                if value not in after
            )
            continue
        yield f'{field} {_text(before)} becomes {_text(after)}'


def _text(value: Any) -> str:
    if value is None:
        return 'unset'
    if isinstance(value, list):
        return ' '.join(str(item) for item in value) or 'none'
    return value if isinstance(value, str) else json.dumps(value)


@_COMPARISONS.register('zones')
def _compare_zones(
    old: findings.RegisterDocument, new: findings.RegisterDocument
) -> Iterator[ConfigChange]:
    return _compare_named('zone', old.zones, new.zones)


@_COMPARISONS.register('vms')
def _compare_vms(
    old: findings.RegisterDocument, new: findings.RegisterDocument
) -> Iterator[ConfigChange]:
    return _compare_named('VM', old.vms, new.vms)


@_COMPARISONS.register('databases')
def _compare_databases(
    old: findings.RegisterDocument, new: findings.RegisterDocument
) -> Iterator[ConfigChange]:
    return _compare_named('database', old.databases, new.databases)


@_COMPARISONS.register('instances')
def _compare_instances(
    old: findings.RegisterDocument, new: findings.RegisterDocument
) -> Iterator[ConfigChange]:
    return _compare_named(
        'instance', _placed_instances(old), _placed_instances(new)
    )


def _placed_instances(register: findings.RegisterDocument) -> list[Document]:
    return [
        {'database': database['name'], **instance}
        for database in register.databases
        for instance in database['instances']
    ]


@_COMPARISONS.register('teams')
def _compare_teams(
    old: findings.RegisterDocument, new: findings.RegisterDocument
) -> Iterator[ConfigChange]:
    if new.teams and not old.teams:
        yield ConfigChange(
            ChangeKind.ADDED,
            'teams',
            'users of no team are refused from now on',
        )
    if old.teams and not new.teams:
        detail = 'every user is served without a limit'
        yield ConfigChange(ChangeKind.REMOVED, 'teams', detail)
    yield from _compare_named('team', old.teams, new.teams)


@_COMPARISONS.register('rules')
def _compare_rules(
    old: findings.RegisterDocument, new: findings.RegisterDocument
) -> Iterator[ConfigChange]:
    """Yield the changes of rules; those of statements have no names."""
    before, after = old.statement_rules, new.statement_rules
    for rule in before:
        if rule not in after:
            yield ConfigChange(ChangeKind.REMOVED, 'rule', _rule_text(rule))
    for rule in after:
        if rule not in before:
            yield ConfigChange(ChangeKind.ADDED, 'rule', _rule_text(rule))
    kept = [rule for rule in before if rule in after]
    if kept != [rule for rule in after if rule in before]:
        yield ConfigChange(
            ChangeKind.CHANGED, 'rules', 'another rule comes first'
        )
    defaults = [
        {key: value for key, value in rules.items() if key != 'statements'}
        for rules in (old.rules, new.rules)
    ]
    for detail in _field_changes(*defaults):
        yield ConfigChange(ChangeKind.CHANGED, 'defaults', detail)


def _rule_text(rule: Document) -> str:
    criteria = [
        f'{name} {_text(value)}'
        for name, value in rule.items()
        if name != 'marks'
    ]
    return f'{", ".join(criteria) or "all statements"}: ' + (
        _describe(rule['marks']) or 'no mark'
    )
