"""Routes, database groups and instances, as the store has them."""

from __future__ import annotations

import dataclasses

from chicoryusher.core import enums
from chicoryusher.core import ids
from chicoryusher.core import messages

__all__ = [
    'GroupUpdate',
    'InstanceEntry',
    'PoolConfig',
    'PoolConfigUpdate',
    'PoolRoute',
    'PoolService',
    'PoolTeamsUpdate',
    'RegisteredInstances',
    'Team',
]


@dataclasses.dataclass(frozen=True, slots=True)
class PoolRoute:
    """Route of the requests for one database name.

    ``service`` is the database group that serves them.
    ``max_staleness``, ``statement_timeout`` (the timeout of one statement) and
    ``latency_target`` (the latency target of a whole operation) are seconds.
    Among waiting work, a lower number of ``priority`` goes first.  A
    ``public`` route needs no key of a team.
    """

    database: ids.DatabaseName
    service: ids.ServiceName
    access: enums.ReadAccess
    max_staleness: float
    statement_timeout: float
    latency_target: float
    priority: int
    public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """Team of callers: the digests of its keys, and its limit.

    All VMs together start at most ``rate`` of its operations a second, and
    ``burst`` more at once; None is no limit.  Among teams that wait, a lower
    number of ``priority`` goes first.
    """

    name: ids.TeamName
    keys: tuple[ids.KeyDigest, ...]
    priority: int = 0
    rate: float | None = None
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolService:
    """Database group.

    ``connections`` is how many connections each of its instances
    accepts, from all VMs together.  A commit is acknowledged once
    ``sync_replicas`` replicas have received it.
    """

    name: ids.ServiceName
    connections: int
    sync_replicas: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolConfig:
    """One version of the configuration.

    ``transaction_idle_timeout`` is the time in seconds after which a
    transaction without a statement is rolled back.  Without ``teams`` callers
    need no key, unless the version has teams that cannot be read
    (``teams_readable`` is unset).
    """

    version: ids.ConfigVersion
    routes: tuple[PoolRoute, ...]
    services: tuple[PoolService, ...]
    transaction_idle_timeout: float
    teams: tuple[Team, ...] = ()
    teams_readable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class PoolConfigUpdate(messages.Message):
    """Configuration to use from now on."""

    config: PoolConfig


@dataclasses.dataclass(frozen=True, slots=True)
class PoolTeamsUpdate(messages.Message):
    """The teams of a version whose other parts cannot be read.

    ``readable`` is unset if it has teams, none of which can be read.
    """

    version: ids.ConfigVersion
    teams: tuple[Team, ...]
    readable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceEntry:
    """Row of the store by which an instance registers itself.

    ``slots`` is how many statements the instance runs at once.
    ``leaving`` is set if the instance is about to stop.  ``incarnation`` is
    the number of its incarnation: it differs after each start of an instance
    of the same name.
    """

    name: ids.InstanceName
    service: ids.ServiceName
    host: str
    port: int
    zone: ids.ZoneName
    slots: int
    leaving: bool
    role: enums.Role
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class RegisteredInstances(messages.Message):
    """All registered instances at one revision of the store."""

    entries: tuple[InstanceEntry, ...]
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GroupUpdate(messages.Message):
    """Current instances of a database group.

    ``primary`` is the primary that may be used, None if there is none.
    """

    service: ids.ServiceName
    entries: tuple[InstanceEntry, ...]
    primary: ids.InstanceName | None
