"""Checks for limits of a register document that exclude each other."""

from __future__ import annotations

from collections.abc import Iterator

from chicoryusher.decisions import config_pointers
from chicoryusher.decisions import team_rights
from chicoryusher.decisions.config_checks import findings

__all__: list[str] = []

_CONTRADICTION = findings.FindingKind.CONTRADICTION
_Place = findings.Place
_Register = findings.RegisterDocument
_Section = findings.Section


@findings.register_check('slots', _CONTRADICTION, _Section.DATABASES)
def _slots_over_connections(register: _Register) -> Iterator[_Place]:
    for path, instance in register.instances():
        slots, connections = instance['slots'], instance['connections']
        if slots > connections:
            yield (
                f'{path}.slots',
                f'{connections} connections can occupy no {slots} slots',
            )


@findings.register_check('bursts', _CONTRADICTION, _Section.TEAMS)
def _bursts_under_one(register: _Register) -> Iterator[_Place]:
    for i, team in enumerate(register.teams):
        if 'rate' in team and team.get('burst', 1) < 1:
            path = f'{_Section.TEAMS.value}[{i}].burst'
            yield path, f'a burst of {team["burst"]:g} is under one operation'


@findings.register_check(
    'rates of teams', _CONTRADICTION, _Section.TEAMS, _Section.DATABASES
)
def _rates_over_databases(register: _Register) -> Iterator[_Place]:
    """Find rates above what all databases together state to run."""
    rates = [entry.get('max_rate') for entry in register.databases]
    if not rates or None in rates:
        return
    total = sum(rates)
    for i, team in enumerate(register.teams):
        rate = team.get('rate', 0)
        if rate > total:
            path = f'{_Section.TEAMS.value}[{i}].rate'
            yield path, f'{rate:g}/s is over the {total:g}/s of all databases'
    shares = sum(team.get('rate', 0) for team in register.teams)
    if shares > total:
        yield (
            _Section.TEAMS.value,
            f'the rates add up to {shares:g}/s,'
            f' over the {total:g}/s of all databases',
        )


@findings.register_check(
    'staleness', _CONTRADICTION, _Section.RULES, _Section.DATABASES
)
def _staleness_under_lag(register: _Register) -> Iterator[_Place]:
    """Find bounds that no replica of a database usually meets."""
    lags = {
        entry['name']: entry['expected_lag']
        for entry in register.databases
        if 'expected_lag' in entry
    }
    bounds = [
        (
            f'{_Section.RULES.value}.statements[{i}].marks.max_staleness',
            rule['marks'].get('max_staleness'),
            rule.get('databases') or list(lags),
        )
        for i, rule in enumerate(register.statement_rules)
    ]
    default = register.rules.get('default_staleness')
    bounds.append(
        (f'{_Section.RULES.value}.default_staleness', default, list(lags))
    )
    for path, bound, databases in bounds:
        # A bound of 0 asks for the primary.
        late = [name for name in databases if lags.get(name, 0) > (bound or 0)]
        if bound and late:
            yield path, f'replicas of {", ".join(late)} lag more'


@findings.register_check(
    'revocation', _CONTRADICTION, _Section.RULES, _Section.VMS
)
def _revocation_under_reads(register: _Register) -> Iterator[_Place]:
    """Find a bound that passes between two reads of the configuration."""
    bound = register.rules.get('revocation_seconds')
    if bound is None:
        return
    interval = config_pointers.read_interval_s(len(register.vms))
    if bound * team_rights.EVIDENCE_SHARE < 2 * interval:
        yield (
            f'{_Section.RULES.value}.revocation_seconds',
            f'a VM reads the configuration every {interval:g} s only',
        )
