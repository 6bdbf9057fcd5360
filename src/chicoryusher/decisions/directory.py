"""Where one VM sends an instance's work, and how far that is."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher.decisions import configuration
from chicoryusher.decisions import gates
from chicoryusher.decisions import zones

__all__ = ['Directory']

# Seconds of a round trip between the zones of two VMs.
IN_ZONE_PATH = 0.0005
PATHS = {
    core.Nearness.SAME_ZONE: IN_ZONE_PATH,
    core.Nearness.SAME_REGION: 0.003,
    core.Nearness.OTHER_REGION: 0.040,
}


class Directory:
    """Gates of all instances as one VM sees them.

    Paths are round trips in seconds, expected from the zones.
    """

    def __init__(
        self, vm: core.VmName, zone: core.ZoneName, placement: str
    ) -> None:
        self._vm = vm
        self._zone = zone
        self._placement = gates.PLACEMENTS.get(placement)()
        self._live: tuple[core.VmName, ...] = (vm,)
        self._zones: gates.LiveZones | None = None
        self._gates: dict[core.InstanceName, core.VmName | None] = {}
        self.config: configuration.Configuration | None = None

    def take_config(self, config: configuration.Configuration) -> None:
        """Follow a configuration that is in force now."""
        self.config = config
        self._forget()

    def take_live(self, live: tuple[core.VmName, ...]) -> None:
        """Follow a change of the VMs that may be gates."""
        self._live = live
        self._forget()

    def _forget(self) -> None:
        self._gates.clear()
        if self.config is not None:
            self._zones = gates.LiveZones(self.config, self._live)

    def gate(self, name: core.InstanceName) -> core.VmName | None:
        """Return the VM that gets an instance's work, or None."""
        if name not in self._gates:
            config = self.config
            spec = config.instance(name) if config is not None else None
            if spec is None or self._zones is None:
                return None
            self._gates[name] = self._placement.gate(
                spec, self._zones, self._vm
            )
        return self._gates[name]

    def path(self, zone: core.ZoneName) -> float:
        """Return the round trip to a zone."""
        config = self.config
        if config is None:
            return IN_ZONE_PATH
        return PATHS[zones.nearness(self._zone, zone, config.region)]

    def way_back(self, name: core.InstanceName) -> float:
        """Return what an answer of an instance's gate needs at most."""
        config = self.config
        spec = config.instance(name) if config is not None else None
        return self.path(spec.zone) if spec is not None else 0.0
