"""Checks for entries of a register document that never have an effect."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from chicoryusher.decisions.config_checks import findings

__all__: list[str] = []

_NEVER = findings.FindingKind.NEVER_MATCHES
_Place = findings.Place
_Register = findings.RegisterDocument
_Section = findings.Section
_CRITERIA = ('databases', 'callers', 'tables', 'classes')
# Stands for every value of a criterion that a rule does not restrict.
_ANY = None
_Cell = tuple[str | None, ...]


@findings.register_check(
    'shadowed rules', _NEVER, _Section.RULES, _Section.DATABASES
)
def _shadowed_rules(register: _Register) -> Iterator[_Place]:
    """Find rules whose statements all match rules before them."""
    databases = {entry['name'] for entry in register.databases}
    earlier: list[list[set[str]]] = []
    for i, rule in enumerate(register.statement_rules):
        criteria = [set(rule.get(name, ())) for name in _CRITERIA]
        if criteria[0] == databases:
            criteria[0] = set()
        cells = itertools.product(*(names or {_ANY} for names in criteria))
        if earlier and all(_is_covered(cell, earlier) for cell in cells):
            path = f'{_Section.RULES.value}.statements[{i}]'
            yield path, 'all its statements match rules before it'
        earlier.append(criteria)


def _is_covered(cell: _Cell, rules: list[list[set[str]]]) -> bool:
    return any(
        all(
            not names or value in names
            for value, names in zip(cell, criteria, strict=True)
        )
        for criteria in rules
    )


@findings.register_check('teams without a user', _NEVER, _Section.TEAMS)
def _teams_without_users(register: _Register) -> Iterator[_Place]:
    for i, team in enumerate(register.teams):
        if not team['users']:
            path = f'{_Section.TEAMS.value}[{i}].users'
            yield path, f'team {team["name"]} has no user'


@findings.register_check('users without a login', _NEVER, _Section.TEAMS)
def _users_without_login(register: _Register) -> Iterator[_Place]:
    """Find users of teams that the settings do not have."""
    if register.logins is None:
        return
    for i, team in enumerate(register.teams):
        for j, user in enumerate(team['users']):
            if user not in register.logins:
                path = f'{_Section.TEAMS.value}[{i}].users[{j}]'
                yield path, f'user {user} is not in the settings'


@findings.register_check('callers of rules', _NEVER, _Section.RULES)
def _unknown_callers(register: _Register) -> Iterator[_Place]:
    """Find callers of rules that no user of the settings belongs to."""
    if register.logins is None:
        return
    callers = set(register.logins.values())
    for i, rule in enumerate(register.statement_rules):
        for j, caller in enumerate(rule.get('callers', ())):
            if caller not in callers:
                path = f'{_Section.RULES.value}.statements[{i}].callers[{j}]'
                yield path, f'caller {caller} is not in the settings'


@findings.register_check(
    'teams without a route', _NEVER, _Section.TEAMS, _Section.DATABASES
)
def _teams_without_route(register: _Register) -> Iterator[_Place]:
    databases = register.databases
    if all(entry.get('public', False) for entry in databases):
        for i in range(len(register.teams)):
            path = f'{_Section.TEAMS.value}[{i}]'
            yield path, 'no database needs a team: all are public'


@findings.register_check(
    'instances in reach',
    _NEVER,
    _Section.ZONES,
    _Section.VMS,
    _Section.DATABASES,
)
def _databases_out_of_reach(register: _Register) -> Iterator[_Place]:
    """Find databases with no instance in a region that has entry VMs."""
    regions = {entry['name']: entry['region'] for entry in register.zones}
    served = {regions.get(entry['zone']) for entry in register.vms}
    if not served:
        return
    for i, database in enumerate(register.databases):
        homes = {regions.get(one['zone']) for one in database['instances']}
        if not homes & served:
            path = f'{_Section.DATABASES.value}[{i}].instances'
            yield path, 'no instance is in a region with entry VMs'


@findings.register_check(
    'zones in use',
    _NEVER,
    _Section.ZONES,
    _Section.VMS,
    _Section.DATABASES,
)
def _unused_zones(register: _Register) -> Iterator[_Place]:
    used = {entry['zone'] for entry in register.vms}
    used |= {entry['zone'] for _, entry in register.instances()}
    for i, zone in enumerate(register.zones):
        if zone['name'] not in used:
            path = f'{_Section.ZONES.value}[{i}]'
            yield path, f'zone {zone["name"]} has no VM and no instance'


@findings.register_check('bursts without a rate', _NEVER, _Section.TEAMS)
def _bursts_without_rate(register: _Register) -> Iterator[_Place]:
    for i, team in enumerate(register.teams):
        if 'burst' in team and 'rate' not in team:
            path = f'{_Section.TEAMS.value}[{i}].burst'
            yield path, 'a burst has no effect without a rate'
