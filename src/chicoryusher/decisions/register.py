"""Compile the asset register and the rules to a configuration.

The document is checked whole: every defect is reported at once, with
the path of the place it is in.
"""

from __future__ import annotations

import collections
import dataclasses
import importlib.resources
import json
from collections.abc import Iterator
from typing import Any

from chicoryusher import core
from chicoryusher.decisions import configuration

__all__ = [
    'Difference',
    'compile_document',
    'differences',
    'rebuild_document',
    'schema_problems',
]

Document = dict[str, Any]

_SCHEMA = json.loads(
    importlib.resources.files('chicoryusher.decisions')
    .joinpath('register.schema.json')
    .read_text(encoding='utf-8')
)


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One change between two configurations."""

    path: str
    before: str
    after: str


def schema_problems(document: Any, schema: Document) -> list[core.ConfigError]:
    """Return every place where a document breaks its schema."""
    # Only operators' documents need it, and its import takes 0.1 s.
    import jsonschema

    validator = jsonschema.Draft202012Validator(schema)
    found = [
        core.ConfigError(one.json_path, one.message)
        for one in validator.iter_errors(document)
    ]
    return sorted(found, key=lambda one: one.path)


def compile_document(
    document: Any, version: core.ConfigVersion
) -> configuration.Configuration:
    """Return the configuration; SettingsError lists every defect."""
    problems = schema_problems(document, _SCHEMA)
    if problems:
        raise core.SettingsError(tuple(problems))
    register, rules = document['register'], document['rules']
    problems = [
        *_duplicates(register),
        *_unknown_zones(register),
        *_unknown_names(register, rules),
    ]
    if problems:
        raise core.SettingsError(tuple(problems))
    return _build(register, rules, version)


def rebuild_document(
    document: Any, version: core.ConfigVersion
) -> configuration.Configuration:
    """Return the configuration of a document that was accepted before.

    It was checked whole by the VM that wrote it; one that cannot be
    built is checked again, so that SettingsError lists its defects.
    """
    try:
        return _build(document['register'], document['rules'], version)
    except (KeyError, TypeError):
        return compile_document(document, version)


def _instances(register: Document) -> Iterator[tuple[str, Document]]:
    for i, database in enumerate(register['databases']):
        for j, instance in enumerate(database['instances']):
            place = f'$.register.databases[{i}].instances[{j}]'
            yield place, instance


def _duplicates(register: Document) -> list[core.ConfigError]:
    named = [
        (f'$.register.{kind}[{i}].name', kind, one['name'])
        for kind in ('zones', 'vms', 'databases')
        for i, one in enumerate(register[kind])
    ]
    named += [
        (f'{place}.name', 'instances', one['name'])
        for place, one in _instances(register)
    ]
    seen: collections.Counter[tuple[str, str]] = collections.Counter()
    problems = []
    for place, kind, name in named:
        seen[kind, name] += 1
        if seen[kind, name] > 1:
            problems.append(core.ConfigError(place, f'{name} is used twice'))
    return problems


def _unknown_zones(register: Document) -> list[core.ConfigError]:
    zones = {one['name'] for one in register['zones']}
    placed = [
        (f'$.register.vms[{i}].zone', one['zone'])
        for i, one in enumerate(register['vms'])
    ]
    placed += [
        (f'{place}.zone', one['zone']) for place, one in _instances(register)
    ]
    return [
        core.ConfigError(place, f'unknown availability zone {zone}')
        for place, zone in placed
        if zone not in zones
    ]


def _unknown_names(
    register: Document, rules: Document
) -> list[core.ConfigError]:
    known = {one['name'] for one in register['databases']}
    return [
        core.ConfigError(
            f'$.rules.statements[{i}].databases[{j}]',
            f'unknown database {name}',
        )
        for i, rule in enumerate(rules.get('statements', ()))
        for j, name in enumerate(rule.get('databases', ()))
        if name not in known
    ]


def _build(
    register: Document, rules: Document, version: core.ConfigVersion
) -> configuration.Configuration:
    return configuration.Configuration(
        version,
        tuple(configuration.ZoneSpec(**one) for one in register['zones']),
        tuple(configuration.VmSpec(**one) for one in register['vms']),
        tuple(
            configuration.DatabaseSpec(
                database['name'],
                tuple(one['name'] for one in database['instances']),
            )
            for database in register['databases']
        ),
        tuple(
            configuration.InstanceSpec(database=database['name'], **one)
            for database in register['databases']
            for one in database['instances']
        ),
        tuple(_rule(one) for one in rules.get('statements', ())),
        rules.get('default_deadline', configuration.DEFAULT_DEADLINE),
        rules.get('default_staleness', configuration.DEFAULT_STALENESS),
    )


def _rule(one: Document) -> configuration.Rule:
    return configuration.Rule(
        tuple(one.get('databases', ())),
        tuple(one.get('callers', ())),
        tuple(one.get('tables', ())),
        tuple(one.get('classes', ())),
        core.Marks(**one['marks']),
    )


def differences(before: Any, after: Any) -> tuple[Difference, ...]:
    """Return what changes from one document to another, by path."""
    old = dict(_leaves('$', before))
    new = dict(_leaves('$', after))
    return tuple(
        Difference(path, old.get(path, ''), new.get(path, ''))
        for path in sorted(set(old) | set(new))
        if old.get(path) != new.get(path)
    )


def _leaves(path: str, value: Any) -> Iterator[tuple[str, str]]:
    if isinstance(value, dict):
        for key in sorted(value):
            yield from _leaves(f'{path}.{key}', value[key])
        return
    if isinstance(value, list):
        for index, item in enumerate(value):
            name = item.get('name') if isinstance(item, dict) else None
            yield from _leaves(f'{path}[{name or index}]', item)
        return
    yield path, json.dumps(value)
