"""Compile the asset register and the rules to a configuration.

The document is checked completely: all defects are reported at once, each
with its path in the document.
"""

from __future__ import annotations

import dataclasses
import importlib.resources
import json
from collections.abc import Iterator
from typing import Any

from chicoryusher import core
from chicoryusher.decisions import configuration
from chicoryusher.decisions import team_rights

__all__ = [
    'REGISTER_SCHEMA',
    'ConfigDifference',
    'compile_document',
    'config_differences',
    'rebuild_document',
    'schema_problems',
]

Document = dict[str, Any]

REGISTER_SCHEMA = json.loads(
    importlib.resources.files('chicoryusher.decisions')
    .joinpath('register.schema.json')
    .read_text(encoding='utf-8')
)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigDifference:
    """A value that differs between two configuration documents."""

    path: str
    before: str
    after: str


def schema_problems(document: Any, schema: Document) -> list[core.ConfigError]:
    """Return all violations of a schema by a document, sorted by path."""
    # Imported here because the import takes 0.1 s, and only the check of
    # operators' documents needs it.
    import jsonschema

    validator = jsonschema.Draft202012Validator(schema)
    violations = [
        core.ConfigError(error.json_path, error.message)
        for error in validator.iter_errors(document)
    ]
    return sorted(violations, key=lambda error: error.path)


def compile_document(
    document: Any, version: core.ConfigVersion
) -> configuration.Configuration:
    """Check a document and return its configuration.

    Raise SettingsError with all defects if the document is invalid.
    """
    # Imported here because only the check of operators' documents needs it.
    from chicoryusher.decisions import config_checks

    problems = config_checks.register_errors(document)
    if problems:
        raise core.SettingsError(problems)
    return _build(document['register'], document['rules'], version)


def rebuild_document(
    document: Any, version: core.ConfigVersion
) -> configuration.Configuration:
    """Return the configuration of a document that was accepted before.

    The VM that wrote the document has checked it, so it is not checked
    again.  Only if no configuration can be built from it, it is checked,
    so that SettingsError lists its defects.
    """
    try:
        return _build(document['register'], document['rules'], version)
    except (KeyError, TypeError):
        return compile_document(document, version)


def _build(
    register: Document, rules: Document, version: core.ConfigVersion
) -> configuration.Configuration:
    """Return the configuration of a document without checking it."""
    return configuration.Configuration(
        version,
        tuple(configuration.ZoneSpec(**entry) for entry in register['zones']),
        tuple(configuration.VmSpec(**entry) for entry in register['vms']),
        tuple(
            configuration.DatabaseSpec(
                database['name'],
                tuple(entry['name'] for entry in database['instances']),
                database.get('public', False),
            )
            for database in register['databases']
        ),
        tuple(
            configuration.InstanceSpec(database=database['name'], **entry)
            for database in register['databases']
            for entry in database['instances']
        ),
        tuple(_build_rule(entry) for entry in rules.get('statements', ())),
        rules.get('default_deadline', configuration.DEFAULT_DEADLINE_S),
        rules.get('default_staleness', configuration.DEFAULT_MAX_STALENESS_S),
        tuple(_build_team(entry) for entry in register.get('teams', ())),
        rules.get('revocation_seconds'),
    )


def _build_team(entry: Document) -> core.Team:
    return core.Team(
        core.TeamName(entry['name']),
        tuple(team_rights.key_of_user(user) for user in entry['users']),
        entry.get('priority', 0),
        entry.get('rate'),
        entry.get('burst', 0.0),
    )


def _build_rule(entry: Document) -> configuration.Rule:
    return configuration.Rule(
        tuple(entry.get('databases', ())),
        tuple(entry.get('callers', ())),
        tuple(entry.get('tables', ())),
        tuple(entry.get('classes', ())),
        core.Marks(**entry['marks']),
    )


def config_differences(
    before: Any, after: Any
) -> tuple[ConfigDifference, ...]:
    """Return the values that differ between two documents, by path.

    A value that one document does not have is an empty text there.
    """
    old = dict(_leaves('$', before))
    new = dict(_leaves('$', after))
    return tuple(
        ConfigDifference(path, old.get(path, ''), new.get(path, ''))
        for path in sorted(set(old) | set(new))
        if old.get(path) != new.get(path)
    )


def _leaves(path: str, value: Any) -> Iterator[tuple[str, str]]:
    """Yield the path and the JSON text of each value in a document.

    An item of a list is identified by its name if it has one, so that the
    path does not depend on the item's position.
    """
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
