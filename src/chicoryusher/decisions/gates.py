"""Which VM is the gate of an instance: rendezvous hashing.

Every VM computes the same ranking from the same list; a VM that comes
or goes moves only the instances that it gains or loses.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from chicoryusher import core
from chicoryusher.decisions import configuration

__all__ = ['gate_of', 'ranked']


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
