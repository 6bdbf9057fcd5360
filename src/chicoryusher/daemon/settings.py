"""The daemon's settings: a JSON file, and secrets from the environment."""

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

__all__ = ['MetricsSettings', 'Settings', 'load', 'parse', 'read_logins']

DEFAULT_DRAIN_TIMEOUT_S = 30.0
DEFAULT_METRICS_INTERVAL_S = 10.0
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
    """Exporter of the metrics, and seconds between two exports."""

    exporter: str = 'none'
    interval: float = DEFAULT_METRICS_INTERVAL_S


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one daemon.

    After ``drain_seconds`` a draining daemon stops even if it is not idle.
    """

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
    """Read a settings file.

    Raises SettingsError with all defects of the file.
    """
    try:
        document = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as exc:
        problem = core.ConfigError('$', str(exc))
        raise core.SettingsError((problem,)) from exc
    return parse(document, environment)


def parse(document: Any, environment: Mapping[str, str]) -> Settings:
    """Check a decoded settings file and build the settings.

    Raises SettingsError with all defects of the file.
    """
    problems = decisions.schema_problems(document, _SCHEMA)
    if isinstance(document, dict):
        problems += _secret_problems(document, environment)
        problems += _duplicate_user_problems(document)
    if problems:
        raise core.SettingsError(tuple(problems))
    return _build(document, environment)


def read_logins(document: Any) -> dict[str, str]:
    """Return the callers of a settings document's users.

    Raises SettingsError if the document does not have the right format.
    Secrets need not be in the environment.
    """
    problems = decisions.schema_problems(document, _SCHEMA)
    if problems:
        raise core.SettingsError(tuple(problems))
    return {user['name']: user['caller'] for user in document['users']}


def _secret_variables(document: dict[str, Any]) -> Iterator[tuple[str, str]]:
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


def _secret_problems(
    document: dict[str, Any], environment: Mapping[str, str]
) -> list[core.ConfigError]:
    problems = []
    for json_path, name in _secret_variables(document):
        value = environment.get(str(name), '')
        if not value:
            problems.append(
                core.ConfigError(
                    json_path, f'{name} is not in the environment'
                )
            )
        elif len(value) < MIN_SECRET_CHARS:
            problems.append(
                core.ConfigError(
                    json_path,
                    f'{name} has under {MIN_SECRET_CHARS} characters',
                )
            )
    return problems


def _duplicate_user_problems(
    document: dict[str, Any],
) -> list[core.ConfigError]:
    names: set[str] = set()
    problems = []
    users = document.get('users')
    for i, user in enumerate(users if isinstance(users, list) else ()):
        name = user.get('name') if isinstance(user, dict) else None
        if name in names:
            problems.append(
                core.ConfigError(f'$.users[{i}].name', f'{name} used twice')
            )
        names.add(name)
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
                user['name'],
                environment[user['password_env']],
                core.CallerName(user['caller']),
            )
            for user in document['users']
        ),
        mysql_backend.BackendUser(
            backend['name'], environment[backend['password_env']]
        ),
        secret('cluster_key_env', DEFAULT_CLUSTER_KEY_ENV).encode(),
        secret('admin_token_env', DEFAULT_ADMIN_TOKEN_ENV),
        secret('platform_token_env', DEFAULT_PLATFORM_TOKEN_ENV),
        mysql_frontend.FrontendLimits(**document.get('limits', {})),
        document.get('queue_policy', decisions.DEFAULT_QUEUE_POLICY),
        document.get('routing_policy', 'nearest_fresh_replica'),
        document.get('drain_seconds', DEFAULT_DRAIN_TIMEOUT_S),
        core.LogLevel(document.get('log_level', 'info')),
        MetricsSettings(**document.get('metrics', {})),
    )
