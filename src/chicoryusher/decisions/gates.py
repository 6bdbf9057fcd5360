"""Which VMs are gates of an instance, and the share that each has of it.

The gate of an instance is chosen by rendezvous hashing.  Every VM
computes the same ranking from the same list of VMs.  When a VM is added
or removed, only the instances that it gains or loses change their gate.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Protocol

import xxhash

from chicoryusher import core
from chicoryusher.decisions import configuration

__all__ = [
    'DEFAULT_GATE_PLACEMENT',
    'EqualShares',
    'LiveVmsByZone',
    'OneGate',
    'GATE_PLACEMENTS',
    'GatePlacement',
    'gate_of',
    'rank_vms',
]

DEFAULT_GATE_PLACEMENT = 'one_gate'


def rank_vms(key: str, vms: Iterable[core.VmName]) -> tuple[core.VmName, ...]:
    """Return the VMs from the highest weight for ``key`` to the lowest."""
    return tuple(sorted(vms, key=lambda vm: _weight(key, vm), reverse=True))


def _weight(key: str, vm: core.VmName) -> tuple[int, core.VmName]:
    return xxhash.xxh3_64_intdigest(f'{key}\0{vm}'.encode()), vm


class LiveVmsByZone:
    """Live VMs by availability zone.

    It is built once for all instances, and again when the VMs change.
    """

    def __init__(
        self,
        config: configuration.Configuration,
        live: Iterable[core.VmName],
    ) -> None:
        self._config = config
        self._zones: dict[core.ZoneName, list[core.VmName]] = {}
        self._candidates: dict[core.ZoneName, frozenset[core.VmName]] = {}
        for name in live:
            vm = config.vm(name)
            if vm is not None:
                self._zones.setdefault(vm.zone, []).append(name)

    def nearest_vms(self, zone: core.ZoneName) -> frozenset[core.VmName]:
        """Return the VMs nearest to a zone.

        These are the VMs in the zone itself.  If it has none, they are
        the VMs in its region, and if that has none, all VMs.
        """
        if zone not in self._candidates:
            self._candidates[zone] = frozenset(self._nearest(zone))
        return self._candidates[zone]

    def _nearest(self, zone: core.ZoneName) -> list[core.VmName]:
        if zone in self._zones:
            return self._zones[zone]
        region = self._config.region(zone)
        in_region = [
            name
            for other, names in self._zones.items()
            if self._config.region(other) == region
            for name in names
        ]
        all_vms = [name for names in self._zones.values() for name in names]
        return in_region or all_vms


def gate_of(
    instance: configuration.InstanceSpec, zones: LiveVmsByZone
) -> core.VmName | None:
    """Return the gate: of the nearest VMs the one with the highest weight."""
    nearest = zones.nearest_vms(instance.zone)
    return max(
        nearest, key=lambda vm: _weight(instance.name, vm), default=None
    )


class GatePlacement(Protocol):
    """A policy that assigns instances to gates.

    ``exclusive`` says whether an instance has only one gate.
    """

    exclusive: bool

    def gate(
        self,
        instance: configuration.InstanceSpec,
        zones: LiveVmsByZone,
        vm: core.VmName,
    ) -> core.VmName | None:
        """Return the gate that ``vm`` sends an instance's work to."""

    def is_gate(
        self,
        instance: configuration.InstanceSpec,
        zones: LiveVmsByZone,
        vm: core.VmName,
    ) -> bool:
        """Return whether ``vm`` is a gate of an instance."""

    def share(
        self,
        instance: configuration.InstanceSpec,
        live: Sequence[core.VmName],
    ) -> configuration.InstanceSpec:
        """Return the specification reduced to one gate's share."""


GATE_PLACEMENTS: core.Registry[type] = core.Registry('gate placement')


@GATE_PLACEMENTS.register(DEFAULT_GATE_PLACEMENT)
class OneGate:
    """One gate for each instance, which may use all of the instance."""

    exclusive = True

    def gate(
        self,
        instance: configuration.InstanceSpec,
        zones: LiveVmsByZone,
        vm: core.VmName,
    ) -> core.VmName | None:
        """Return the instance's only gate."""
        return gate_of(instance, zones)

    def is_gate(
        self,
        instance: configuration.InstanceSpec,
        zones: LiveVmsByZone,
        vm: core.VmName,
    ) -> bool:
        """Return whether ``vm`` is the instance's only gate."""
        if vm not in zones.nearest_vms(instance.zone):
            return False
        return gate_of(instance, zones) == vm

    def share(
        self,
        instance: configuration.InstanceSpec,
        live: Sequence[core.VmName],
    ) -> configuration.InstanceSpec:
        """Return the whole instance."""
        return instance


@GATE_PLACEMENTS.register('shares')
class EqualShares:
    """Every VM is a gate with an equal share; a baseline for comparison."""

    exclusive = False

    def gate(
        self,
        instance: configuration.InstanceSpec,
        zones: LiveVmsByZone,
        vm: core.VmName,
    ) -> core.VmName | None:
        """Return the VM itself."""
        return vm

    def is_gate(
        self,
        instance: configuration.InstanceSpec,
        zones: LiveVmsByZone,
        vm: core.VmName,
    ) -> bool:
        """Return True, since every VM is a gate."""
        return True

    def share(
        self,
        instance: configuration.InstanceSpec,
        live: Sequence[core.VmName],
    ) -> configuration.InstanceSpec:
        """Return an equal share: at least one slot and one connection."""
        gate_count = max(1, len(live))
        return dataclasses.replace(
            instance,
            slots=max(1, -(-instance.slots // gate_count)),
            connections=max(1, instance.connections // gate_count),
        )
