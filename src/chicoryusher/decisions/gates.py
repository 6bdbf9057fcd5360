"""Which VMs are gates of an instance, each with which part of it.

One gate for an instance is found by rendezvous hashing.

Every VM computes the same ranking from the same list; a VM that comes
or goes moves only the instances that it gains or loses.
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
    'DEFAULT_PLACEMENT',
    'LiveZones',
    'OneGate',
    'PLACEMENTS',
    'Placement',
    'Shares',
    'gate_of',
    'ranked',
]

DEFAULT_PLACEMENT = 'one_gate'


def ranked(key: str, vms: Iterable[core.VmName]) -> tuple[core.VmName, ...]:
    """Return the VMs from the highest weight for ``key`` to the lowest."""
    return tuple(sorted(vms, key=lambda vm: _weight(key, vm), reverse=True))


def _weight(key: str, vm: core.VmName) -> tuple[int, core.VmName]:
    return xxhash.xxh3_64_intdigest(f'{key}\0{vm}'.encode()), vm


class LiveZones:
    """Live VMs by availability zone, built once for all instances."""

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

    def candidates(self, zone: core.ZoneName) -> frozenset[core.VmName]:
        """Return the VMs nearest to a zone.

        Those of the zone itself go before those of its region, and
        those before any other.
        """
        if zone not in self._candidates:
            self._candidates[zone] = frozenset(self._nearest(zone))
        return self._candidates[zone]

    def _nearest(self, zone: core.ZoneName) -> list[core.VmName]:
        if zone in self._zones:
            return self._zones[zone]
        region = self._config.region(zone)
        near = [
            name
            for other, names in self._zones.items()
            if self._config.region(other) == region
            for name in names
        ]
        every = [name for names in self._zones.values() for name in names]
        return near or every


def gate_of(
    instance: configuration.InstanceSpec, zones: LiveZones
) -> core.VmName | None:
    """Return the gate VM: the nearest one with the highest weight."""
    nearest = zones.candidates(instance.zone)
    return max(
        nearest, key=lambda vm: _weight(instance.name, vm), default=None
    )


class Placement(Protocol):
    """A policy that gives instances to gates."""

    exclusive: bool

    def gate(
        self,
        instance: configuration.InstanceSpec,
        zones: LiveZones,
        vm: core.VmName,
    ) -> core.VmName | None:
        """Return the gate that ``vm`` sends an instance's work to."""

    def serves(
        self,
        instance: configuration.InstanceSpec,
        zones: LiveZones,
        vm: core.VmName,
    ) -> bool:
        """Tell whether ``vm`` is a gate of an instance."""

    def part(
        self,
        instance: configuration.InstanceSpec,
        live: Sequence[core.VmName],
    ) -> configuration.InstanceSpec:
        """Return the slots and connections that one gate may use."""


PLACEMENTS: core.Registry[type] = core.Registry('gate placement')


@PLACEMENTS.register(DEFAULT_PLACEMENT)
class OneGate:
    """One gate for each instance, which has all of it."""

    exclusive = True

    def gate(
        self,
        instance: configuration.InstanceSpec,
        zones: LiveZones,
        vm: core.VmName,
    ) -> core.VmName | None:
        """Return the one gate VM."""
        return gate_of(instance, zones)

    def serves(
        self,
        instance: configuration.InstanceSpec,
        zones: LiveZones,
        vm: core.VmName,
    ) -> bool:
        """Tell whether ``vm`` is the one gate."""
        if vm not in zones.candidates(instance.zone):
            return False
        return gate_of(instance, zones) == vm

    def part(
        self,
        instance: configuration.InstanceSpec,
        live: Sequence[core.VmName],
    ) -> configuration.InstanceSpec:
        """Return the whole instance."""
        return instance


@PLACEMENTS.register('shares')
class Shares:
    """Baseline: every VM is a gate with an equal share of connections."""

    exclusive = False

    def gate(
        self,
        instance: configuration.InstanceSpec,
        zones: LiveZones,
        vm: core.VmName,
    ) -> core.VmName | None:
        """Return the VM itself."""
        return vm

    def serves(
        self,
        instance: configuration.InstanceSpec,
        zones: LiveZones,
        vm: core.VmName,
    ) -> bool:
        """Tell that every VM is a gate."""
        return True

    def part(
        self,
        instance: configuration.InstanceSpec,
        live: Sequence[core.VmName],
    ) -> configuration.InstanceSpec:
        """Return an equal share, of one slot and connection at least."""
        count = max(1, len(live))
        return dataclasses.replace(
            instance,
            slots=max(1, -(-instance.slots // count)),
            connections=max(1, instance.connections // count),
        )
