"""Which VMs watch each other: a sparse graph, the same for everyone.

Each VM watches a few others chosen by rendezvous hashing, and is
watched by those that chose it, so the load of one VM does not grow
with the number of VMs.
"""

from __future__ import annotations

from collections.abc import Iterable

from chicoryusher import core
from chicoryusher.decisions import gates

__all__ = ['FANOUT', 'neighbours_of']

FANOUT = 4


def neighbours_of(
    vm: core.VmName, vms: Iterable[core.VmName]
) -> tuple[core.VmName, ...]:
    """Return the VMs that ``vm`` sends heartbeats to.

    The next VM in name order is always among them, so that the graph is
    connected; the others are drawn by hash.
    """
    others = sorted(set(vms) - {vm})
    if len(others) <= FANOUT:
        return tuple(others)
    following = next((one for one in others if one > vm), others[0])
    drawn = [
        one
        for one in gates.ranked(vm, others)[: FANOUT + 1]
        if one != following
    ]
    return (following, *drawn[: FANOUT - 1])
