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

    def weight(vm: core.VmName) -> tuple[int, core.VmName]:
        return xxhash.xxh3_64_intdigest(f'{key}\0{vm}'.encode()), vm

    return tuple(sorted(vms, key=weight, reverse=True))


def gate_of(
    config: configuration.Configuration,
    instance: configuration.InstanceSpec,
    live: Iterable[core.VmName],
) -> core.VmName | None:
    """Return the gate VM: nearest zone first, then the highest weight.

    A VM of the instance's own zone is taken before one of its region,
    and one of its region before any other.
    """
    region = config.region(instance.zone)
    own: list[core.VmName] = []
    near: list[core.VmName] = []
    far: list[core.VmName] = []
    for name in live:
        vm = config.vm(name)
        if vm is None:
            continue
        if vm.zone == instance.zone:
            own.append(name)
        elif config.region(vm.zone) == region:
            near.append(name)
        else:
            far.append(name)
    order = ranked(instance.name, own or near or far)
    return order[0] if order else None


class Placement(Protocol):
    """A policy that gives instances to gates."""

    exclusive: bool

    def gate(
        self,
        config: configuration.Configuration,
        instance: configuration.InstanceSpec,
        live: Sequence[core.VmName],
        vm: core.VmName,
    ) -> core.VmName | None:
        """Return the gate that ``vm`` sends an instance's work to."""

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
        config: configuration.Configuration,
        instance: configuration.InstanceSpec,
        live: Sequence[core.VmName],
        vm: core.VmName,
    ) -> core.VmName | None:
        """Return the one gate VM."""
        return gate_of(config, instance, live)

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
        config: configuration.Configuration,
        instance: configuration.InstanceSpec,
        live: Sequence[core.VmName],
        vm: core.VmName,
    ) -> core.VmName | None:
        """Return the VM itself."""
        return vm

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
