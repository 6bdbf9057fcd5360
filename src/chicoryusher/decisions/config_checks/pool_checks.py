"""Checks of routes, database groups and teams of a pooled deployment."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from chicoryusher import core
from chicoryusher.decisions.config_checks import findings

__all__: list[str] = []

_ERROR = findings.FindingKind.ERROR
_NEVER = findings.FindingKind.NEVER_MATCHES
_CONTRADICTION = findings.FindingKind.CONTRADICTION
_Place = findings.Place


def _routes(config: core.PoolConfig) -> Iterator[tuple[str, core.PoolRoute]]:
    for route in config.routes:
        yield f'route {route.database}', route


def _limited_teams(
    config: core.PoolConfig,
) -> Iterator[tuple[str, core.Team, float]]:
    """Yield the path, the team and the rate of each team that has one."""
    for team in config.teams:
        if team.rate is not None:
            yield f'team {team.name}', team, team.rate


@findings.pool_check('services of routes', _ERROR)
def _unknown_services(config: core.PoolConfig) -> Iterator[_Place]:
    services = {service.name for service in config.services}
    for path, route in _routes(config):
        if route.service not in services:
            yield path, f'unknown database group {route.service}'


@findings.pool_check('shadowed routes', _NEVER)
def _shadowed_routes(config: core.PoolConfig) -> Iterator[_Place]:
    counts = collections.Counter(route.database for route in config.routes)
    for database, count in counts.items():
        if count > 1:
            yield f'route {database}', f'only the last of {count} has effect'


@findings.pool_check('services without a route', _NEVER)
def _services_without_route(config: core.PoolConfig) -> Iterator[_Place]:
    routed = {route.service for route in config.routes}
    for service in config.services:
        if service.name not in routed:
            yield f'database group {service.name}', 'no route leads to it'


@findings.pool_check('teams without a key', _NEVER)
def _teams_without_key(config: core.PoolConfig) -> Iterator[_Place]:
    for team in config.teams:
        if not team.keys:
            yield f'team {team.name}', 'it has no key'


@findings.pool_check('teams without a route', _NEVER)
def _teams_without_route(config: core.PoolConfig) -> Iterator[_Place]:
    if all(route.public for route in config.routes):
        for team in config.teams:
            yield f'team {team.name}', 'no route needs a key: all are public'


@findings.pool_check('bursts without a rate', _NEVER)
def _bursts_without_rate(config: core.PoolConfig) -> Iterator[_Place]:
    for team in config.teams:
        if team.rate is None and team.burst:
            yield f'team {team.name}', 'a burst has no effect without a rate'


@findings.pool_check('rates of 0', _NEVER)
def _rates_of_zero(config: core.PoolConfig) -> Iterator[_Place]:
    for path, _, rate in _limited_teams(config):
        if not rate:
            yield path, 'with a rate of 0 nothing is served'


@findings.pool_check('time limits', _CONTRADICTION)
def _timeouts_under_targets(config: core.PoolConfig) -> Iterator[_Place]:
    for path, route in _routes(config):
        if route.statement_timeout < route.latency_target:
            yield (
                path,
                f'the time limit of {route.statement_timeout:g} s is under'
                f' the latency target of {route.latency_target:g} s',
            )


@findings.pool_check('bursts', _CONTRADICTION)
def _bursts_under_one(config: core.PoolConfig) -> Iterator[_Place]:
    for path, team, _ in _limited_teams(config):
        if 0 < team.burst < 1:
            yield path, f'a burst of {team.burst:g} is under one operation'


@findings.pool_check('connections of teams', _CONTRADICTION)
def _teams_over_connections(config: core.PoolConfig) -> Iterator[_Place]:
    """Find caps under which the teams close each other's connections."""
    teams = len(config.teams)
    for service in config.services:
        if service.connections < teams:
            yield (
                f'database group {service.name}',
                f'{service.connections} connections for {teams} teams',
            )
