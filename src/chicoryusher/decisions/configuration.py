"""Configuration: what the register and the rules compile to."""

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

DEFAULT_DEADLINE = 10.0
DEFAULT_STALENESS = 5.0


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
    """One instance: where it is and how much it may be given.

    ``slots`` is how many statements it runs at once; ``connections`` is
    the most connections it takes; ``control_port`` is its group agent.
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
    """A database and the instances of its group."""

    name: core.DatabaseName
    instances: tuple[core.InstanceName, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """Marks for the statements that match; the first rule wins.

    Empty fields match everything.  ``classes`` are statement classes.
    """

    databases: tuple[core.DatabaseName, ...] = ()
    callers: tuple[core.CallerName, ...] = ()
    tables: tuple[str, ...] = ()
    classes: tuple[core.StatementClass, ...] = ()
    marks: core.Marks = core.Marks()

    def matches(self, request: core.Request) -> bool:
        """Tell whether the rule applies to ``request``."""
        if self.databases and request.database not in self.databases:
            return False
        if self.callers and request.caller not in self.callers:
            return False
        if self.classes and request.statement_class not in self.classes:
            return False
        return not self.tables or bool(set(self.tables) & set(request.tables))


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One accepted version of everything operators decide."""

    version: core.ConfigVersion
    zones: tuple[ZoneSpec, ...]
    vms: tuple[VmSpec, ...]
    databases: tuple[DatabaseSpec, ...]
    instances: tuple[InstanceSpec, ...]
    rules: tuple[Rule, ...] = ()
    default_deadline: float = DEFAULT_DEADLINE
    default_staleness: float = DEFAULT_STALENESS

    @functools.cached_property
    def _instances(self) -> dict[core.InstanceName, InstanceSpec]:
        return {one.name: one for one in self.instances}

    @functools.cached_property
    def _databases(self) -> dict[core.DatabaseName, DatabaseSpec]:
        return {one.name: one for one in self.databases}

    @functools.cached_property
    def _regions(self) -> dict[core.ZoneName, core.RegionName]:
        return {one.name: one.region for one in self.zones}

    @functools.cached_property
    def _vms(self) -> dict[core.VmName, VmSpec]:
        return {one.name: one for one in self.vms}

    def instance(self, name: core.InstanceName) -> InstanceSpec | None:
        """Return the instance of that name, or None."""
        return self._instances.get(name)

    def database(self, name: core.DatabaseName) -> DatabaseSpec | None:
        """Return the database of that name, or None."""
        return self._databases.get(name)

    def vm(self, name: core.VmName) -> VmSpec | None:
        """Return the VM of that name, or None."""
        return self._vms.get(name)

    def region(self, zone: core.ZoneName) -> core.RegionName:
        """Return the region of a zone."""
        return self._regions.get(zone, core.RegionName(''))

    def group(self, name: core.DatabaseName) -> tuple[InstanceSpec, ...]:
        """Return the instances of a database."""
        spec = self._databases.get(name)
        if spec is None:
            return ()
        return tuple(self._instances[one] for one in spec.instances)

    def marks_for(self, request: core.Request) -> core.Marks:
        """Return the caller's marks completed by the first rule."""
        found = next(
            (one.marks for one in self.rules if one.matches(request)), None
        )
        if found is None:
            return request.marks
        changes = {
            field.name: getattr(found, field.name)
            for field in dataclasses.fields(core.Marks)
            if getattr(request.marks, field.name) in (None, False)
        }
        return dataclasses.replace(request.marks, **changes)
