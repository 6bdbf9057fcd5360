"""Which gate one VM sends an instance's work to, and the round trip."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher.decisions import configuration
from chicoryusher.decisions import gates
from chicoryusher.decisions import zones

__all__ = ['GateDirectory']

# Expected seconds of a round trip between two VMs, by their zones.
IN_ZONE_ROUND_TRIP_S = 0.0005
ROUND_TRIPS_S = {
    core.ZoneDistance.SAME_ZONE: IN_ZONE_ROUND_TRIP_S,
    core.ZoneDistance.SAME_REGION: 0.003,
    core.ZoneDistance.OTHER_REGION: 0.040,
}


class GateDirectory:
    """Gates of all instances, as one VM computes them.

    Round trips are in seconds; they are not measured, but expected from
    the zones.
    """

    def __init__(
        self, vm: core.VmName, zone: core.ZoneName, placement: str
    ) -> None:
        self._vm = vm
        self._zone = zone
        self._placement = gates.GATE_PLACEMENTS.get(placement)()
        self._live: tuple[core.VmName, ...] = (vm,)
        self._zones: gates.LiveVmsByZone | None = None
        self._gates: dict[core.InstanceName, core.VmName | None] = {}
        self.config: configuration.Configuration | None = None

    def set_config(self, config: configuration.Configuration) -> None:
        """Set the configuration that is in force now."""
        self.config = config
        self._clear_gates()

    def set_live_vms(self, live: tuple[core.VmName, ...]) -> None:
        """Set the VMs that may be gates."""
        self._live = live
        self._clear_gates()

    def _clear_gates(self) -> None:
        """Drop the computed gates, as they depend on what has changed."""
        self._gates.clear()
        if self.config is not None:
            self._zones = gates.LiveVmsByZone(self.config, self._live)

    def gate(self, name: core.InstanceName) -> core.VmName | None:
        """Return the gate that this VM sends an instance's work to.

        None if the instance is unknown or there is no VM for it.
        """
        if name not in self._gates:
            config = self.config
            spec = config.instance(name) if config is not None else None
            if spec is None or self._zones is None:
                return None
            self._gates[name] = self._placement.gate(
                spec, self._zones, self._vm
            )
        return self._gates[name]

    def round_trip(self, zone: core.ZoneName) -> float:
        """Return the expected round trip to a zone in seconds."""
        config = self.config
        if config is None:
            return IN_ZONE_ROUND_TRIP_S
        return ROUND_TRIPS_S[zones.nearness(self._zone, zone, config.region)]

    def reply_time(self, name: core.InstanceName) -> float:
        """Return the most seconds that an answer of a gate travels.

        It is the round trip to the instance's zone, 0 if the instance is
        unknown.
        """
        config = self.config
        spec = config.instance(name) if config is not None else None
        return self.round_trip(spec.zone) if spec is not None else 0.0
