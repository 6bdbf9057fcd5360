"""The daemon's settings: one JSON file, secrets from the environment."""

from __future__ import annotations

import dataclasses
import importlib.resources
import json
import os
import pathlib
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.backends import mysql as mysql_backend
from chicoryusher.frontends import mysql as mysql_frontend

__all__ = ['MetricsSettings', 'Settings', 'load', 'parse']

DEFAULT_DRAIN_SECONDS = 30.0
DEFAULT_METRICS_INTERVAL = 10.0
MIN_SECRET_CHARS = 8
DEFAULT_CLUSTER_KEY_ENV = 'CHICORYUSHER_CLUSTER_KEY'
DEFAULT_ADMIN_TOKEN_ENV = 'CHICORYUSHER_ADMIN_TOKEN'
DEFAULT_PLATFORM_TOKEN_ENV = 'CHICORYUSHER_PLATFORM_TOKEN'

_SCHEMA = json.loads(
    importlib.resources.files('chicoryusher.daemon')
    .joinpath('settings.schema.json')
    .read_text(encoding='utf-8')
)


@dataclasses.dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Which exporter gets the metrics, and how often (seconds)."""

    exporter: str = 'none'
    interval: float = DEFAULT_METRICS_INTERVAL


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Everything one daemon is told at start."""

    vm: core.VmName
    zone: core.ZoneName
    mysql: runtime.Address
    peers: runtime.Address
    admin: runtime.Address
    platform: runtime.Address
    users: tuple[mysql_frontend.User, ...]
    backend_user: mysql_backend.BackendUser
    cluster_key: bytes = dataclasses.field(repr=False)
    admin_token: str = dataclasses.field(repr=False)
    platform_token: str = dataclasses.field(repr=False)
    limits: mysql_frontend.FrontendLimits
    queue_policy: str
    routing_policy: str
    drain_seconds: float
    log_level: core.LogLevel
    metrics: MetricsSettings


def load(
    path: pathlib.Path, environment: Mapping[str, str] = os.environ
) -> Settings:
    """Read a settings file; SettingsError lists every defect."""
    try:
        document = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as exc:
        problem = core.ConfigError('$', str(exc))
        raise core.SettingsError((problem,)) from exc
    return parse(document, environment)


def parse(document: Any, environment: Mapping[str, str]) -> Settings:
    """Check a decoded file; SettingsError lists every defect."""
    problems = decisions.schema_problems(document, _SCHEMA)
    if isinstance(document, dict):
        problems += _missing_secrets(document, environment)
        problems += _repeated_users(document)
    if problems:
        raise core.SettingsError(tuple(problems))
    return _build(document, environment)


def _secrets(document: dict[str, Any]) -> Iterator[tuple[str, str]]:
    users = document.get('users')
    for i, user in enumerate(users if isinstance(users, list) else ()):
        if isinstance(user, dict) and 'password_env' in user:
            yield f'$.users[{i}].password_env', user['password_env']
    backend = document.get('backend_user')
    if isinstance(backend, dict) and 'password_env' in backend:
        yield '$.backend_user.password_env', backend['password_env']
    yield (
        '$.cluster_key_env',
        document.get('cluster_key_env', DEFAULT_CLUSTER_KEY_ENV),
    )
    yield (
        '$.admin_token_env',
        document.get('admin_token_env', DEFAULT_ADMIN_TOKEN_ENV),
    )


def _missing_secrets(
    document: dict[str, Any], environment: Mapping[str, str]
) -> list[core.ConfigError]:
    problems = []
    for place, name in _secrets(document):
        value = environment.get(str(name), '')
        if not value:
            problems.append(
                core.ConfigError(place, f'{name} is not in the environment')
            )
        elif len(value) < MIN_SECRET_CHARS:
            problems.append(
                core.ConfigError(
                    place, f'{name} has under {MIN_SECRET_CHARS} characters'
                )
            )
    return problems


def _repeated_users(document: dict[str, Any]) -> list[core.ConfigError]:
    seen: set[str] = set()
    problems = []
    users = document.get('users')
    for i, user in enumerate(users if isinstance(users, list) else ()):
        name = user.get('name') if isinstance(user, dict) else None
        if name in seen:
            problems.append(
                core.ConfigError(f'$.users[{i}].name', f'{name} used twice')
            )
        seen.add(name)
    return problems


def _build(
    document: dict[str, Any], environment: Mapping[str, str]
) -> Settings:
    def address(name: str) -> runtime.Address:
        return document[name]['host'], document[name]['port']

    def secret(name: str, default: str) -> str:
        return environment.get(document.get(name, default), '')

    backend = document['backend_user']
    return Settings(
        core.VmName(document['vm']),
        core.ZoneName(document['zone']),
        address('mysql'),
        address('peers'),
        address('admin'),
        address('platform'),
        tuple(
            mysql_frontend.User(
                one['name'],
                environment[one['password_env']],
                core.CallerName(one['caller']),
            )
            for one in document['users']
        ),
        mysql_backend.BackendUser(
            backend['name'], environment[backend['password_env']]
        ),
        secret('cluster_key_env', DEFAULT_CLUSTER_KEY_ENV).encode(),
        secret('admin_token_env', DEFAULT_ADMIN_TOKEN_ENV),
        secret('platform_token_env', DEFAULT_PLATFORM_TOKEN_ENV),
        mysql_frontend.FrontendLimits(**document.get('limits', {})),
        document.get('queue_policy', decisions.DEFAULT_POLICY),
        document.get('routing_policy', 'nearest_fresh_replica'),
        document.get('drain_seconds', DEFAULT_DRAIN_SECONDS),
        core.LogLevel(document.get('log_level', 'info')),
        MetricsSettings(**document.get('metrics', {})),
    )
