"""Routes, groups and instances, as the store has them."""

from __future__ import annotations

import dataclasses

from chicoryusher.core import enums
from chicoryusher.core import ids
from chicoryusher.core import messages

__all__ = [
    'GroupInForce',
    'InstanceEntry',
    'PoolConfig',
    'PoolConfigInForce',
    'PoolRoute',
    'PoolService',
    'RegisteredInstances',
]


@dataclasses.dataclass(frozen=True, slots=True)
class PoolRoute:
    """How requests for one database name are served.

    ``max_staleness`` and ``limit`` (of one statement) are seconds;
    ``target`` is the latency target of a whole operation.
    """

    database: ids.DatabaseName
    service: ids.ServiceName
    access: enums.Access
    max_staleness: float
    limit: float
    target: float
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoolService:
    """A database group, and how many connections an instance takes."""

    name: ids.ServiceName
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoolConfig:
    """One version of the configuration; ``tx_idle`` is seconds."""

    version: ids.ConfigVersion
    routes: tuple[PoolRoute, ...]
    services: tuple[PoolService, ...]
    tx_idle: float


@dataclasses.dataclass(frozen=True, slots=True)
class PoolConfigInForce(messages.Message):
    """A configuration that is in force from now on."""

    config: PoolConfig


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceEntry:
    """One instance as it registers itself.

    ``boot`` tells two lives of one name apart.
    """

    name: ids.InstanceName
    service: ids.ServiceName
    host: str
    port: int
    zone: ids.ZoneName
    slots: int
    leaving: bool
    role: enums.Role
    boot: int


@dataclasses.dataclass(frozen=True, slots=True)
class RegisteredInstances(messages.Message):
    """Every registered instance, as of one revision of the store."""

    entries: tuple[InstanceEntry, ...]
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GroupInForce(messages.Message):
    """The instances of a group, and the primary that may be used."""

    service: ids.ServiceName
    entries: tuple[InstanceEntry, ...]
    primary: ids.InstanceName | None
