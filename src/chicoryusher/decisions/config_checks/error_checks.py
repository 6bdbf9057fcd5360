"""Checks for errors, with which a register document is refused."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from chicoryusher.decisions.config_checks import findings

__all__: list[str] = []

_ERROR = findings.FindingKind.ERROR
_Place = findings.Place
_Register = findings.RegisterDocument
_Section = findings.Section


@findings.register_check(
    'names',
    _ERROR,
    _Section.ZONES,
    _Section.VMS,
    _Section.DATABASES,
    _Section.TEAMS,
)
def _duplicate_names(register: _Register) -> Iterator[_Place]:
    named = [
        (f'{section.value}[{i}].name', section, entry['name'])
        for section, entries in (
            (_Section.ZONES, register.zones),
            (_Section.VMS, register.vms),
            (_Section.DATABASES, register.databases),
            (_Section.TEAMS, register.teams),
        )
        for i, entry in enumerate(entries)
    ]
    named += [
        (f'{path}.name', None, entry['name'])
        for path, entry in register.instances()
    ]
    counts: collections.Counter[tuple[object, str]] = collections.Counter()
    for path, section, name in named:
        counts[section, name] += 1
        if counts[section, name] > 1:
            yield path, f'{name} is used twice'


@findings.register_check(
    'zones', _ERROR, _Section.ZONES, _Section.VMS, _Section.DATABASES
)
def _unknown_zones(register: _Register) -> Iterator[_Place]:
    zones = {entry['name'] for entry in register.zones}
    placed = [
        (f'{_Section.VMS.value}[{i}].zone', entry['zone'])
        for i, entry in enumerate(register.vms)
    ]
    placed += [
        (f'{path}.zone', entry['zone']) for path, entry in register.instances()
    ]
    for path, zone in placed:
        if zone not in zones:
            yield path, f'unknown availability zone {zone}'


@findings.register_check(
    'databases of rules', _ERROR, _Section.DATABASES, _Section.RULES
)
def _unknown_databases(register: _Register) -> Iterator[_Place]:
    databases = {entry['name'] for entry in register.databases}
    for i, rule in enumerate(register.statement_rules):
        for j, name in enumerate(rule.get('databases', ())):
            if name not in databases:
                path = f'{_Section.RULES.value}.statements[{i}].databases[{j}]'
                yield path, f'unknown database {name}'


@findings.register_check('users of teams', _ERROR, _Section.TEAMS)
def _shared_users(register: _Register) -> Iterator[_Place]:
    """Find users of several teams, whose limit would not be clear."""
    team_by_user: dict[str, str] = {}
    for i, team in enumerate(register.teams):
        for j, user in enumerate(team['users']):
            if user in team_by_user:
                path = f'{_Section.TEAMS.value}[{i}].users[{j}]'
                yield path, f'user {user} is of team {team_by_user[user]}'
            team_by_user.setdefault(user, team['name'])
