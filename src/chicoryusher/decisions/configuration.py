"""The configuration that the register and the rules are compiled to."""

from __future__ import annotations

import dataclasses
import functools

from chicoryusher import core

__all__ = [
    'Configuration',
    'DatabaseSpec',
    'InstanceSpec',
    'Rule',
    'VmSpec',
    'ZoneSpec',
]

DEFAULT_DEADLINE_S = 10.0
DEFAULT_MAX_STALENESS_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneSpec:
    """An availability zone and the region it is in."""

    name: core.ZoneName
    region: core.RegionName


@dataclasses.dataclass(frozen=True, slots=True)
class VmSpec:
    """An entry VM: its zone and the address of its peer listener."""

    name: core.VmName
    zone: core.ZoneName
    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSpec:
    """One instance: its address and its capacity.

    ``slots`` is how many statements it runs at once, ``connections`` the
    most connections that it accepts, and ``control_port`` the port of its
    group agent.
    """

    name: core.InstanceName
    database: core.DatabaseName
    zone: core.ZoneName
    host: str
    port: int
    control_port: int
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseSpec:
    """A database and the instances of its group.

    A ``public`` one may be used by users of no team.
    """

    name: core.DatabaseName
    instances: tuple[core.InstanceName, ...]
    public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """Marks for the statements that match the rule.

    An empty field matches everything.  ``classes`` are statement classes.
    If several rules match a statement, the first one applies.
    """

    databases: tuple[core.DatabaseName, ...] = ()
    callers: tuple[core.CallerName, ...] = ()
    tables: tuple[str, ...] = ()
    classes: tuple[core.StatementClass, ...] = ()
    marks: core.Marks = core.Marks()

    def matches(self, request: core.Request) -> bool:
        """Return whether ``request`` matches the rule."""
        if self.databases and request.database not in self.databases:
            return False
        if self.callers and request.caller not in self.callers:
            return False
        if self.classes and request.statement_class not in self.classes:
            return False
        return not self.tables or bool(set(self.tables) & set(request.tables))


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One accepted version of the register and the rules.

    ``revocation_s`` is how many seconds after it was taken from its team a
    user may still be served; None is no bound.
    """

    version: core.ConfigVersion
    zones: tuple[ZoneSpec, ...]
    vms: tuple[VmSpec, ...]
    databases: tuple[DatabaseSpec, ...]
    instances: tuple[InstanceSpec, ...]
    rules: tuple[Rule, ...] = ()
    default_deadline: float = DEFAULT_DEADLINE_S
    default_staleness: float = DEFAULT_MAX_STALENESS_S
    teams: tuple[core.Team, ...] = ()
    revocation_s: float | None = None

    @functools.cached_property
    def _instances(self) -> dict[core.InstanceName, InstanceSpec]:
        return {spec.name: spec for spec in self.instances}

    @functools.cached_property
    def _databases(self) -> dict[core.DatabaseName, DatabaseSpec]:
        return {spec.name: spec for spec in self.databases}

    @functools.cached_property
    def _regions(self) -> dict[core.ZoneName, core.RegionName]:
        return {spec.name: spec.region for spec in self.zones}

    @functools.cached_property
    def _vms(self) -> dict[core.VmName, VmSpec]:
        return {spec.name: spec for spec in self.vms}

    def instance(self, name: core.InstanceName) -> InstanceSpec | None:
        """Return the instance with that name, or None."""
        return self._instances.get(name)

    def database(self, name: core.DatabaseName) -> DatabaseSpec | None:
        """Return the database with that name, or None."""
        return self._databases.get(name)

    def vm(self, name: core.VmName) -> VmSpec | None:
        """Return the VM with that name, or None."""
        return self._vms.get(name)

    def region(self, zone: core.ZoneName) -> core.RegionName:
        """Return the region of a zone, an empty name if it is unknown."""
        return self._regions.get(zone, core.RegionName(''))

    def group(self, name: core.DatabaseName) -> tuple[InstanceSpec, ...]:
        """Return the instances of a database's group."""
        spec = self._databases.get(name)
        if spec is None:
            return ()
        return tuple(self._instances[instance] for instance in spec.instances)

    def marks_for(self, request: core.Request) -> core.Marks:
        """Return the request's marks, completed by the first match.

        Marks that the caller has not set are filled in from the first rule
        that the request matches.
        """
        rule_marks = next(
            (rule.marks for rule in self.rules if rule.matches(request)), None
        )
        if rule_marks is None:
            return request.marks
        changes = {
            field.name: getattr(rule_marks, field.name)
            for field in dataclasses.fields(core.Marks)
            if getattr(request.marks, field.name) in (None, False)
        }
        return dataclasses.replace(request.marks, **changes)
