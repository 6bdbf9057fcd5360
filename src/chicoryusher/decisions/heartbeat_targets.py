"""Which VMs exchange heartbeats: a sparse graph that every VM computes.

Each VM sends heartbeats to a few others, chosen by rendezvous hashing,
and expects heartbeats from the VMs that have chosen it.  So the load of
one VM does not grow with the number of VMs.
"""

from __future__ import annotations

from collections.abc import Iterable

from chicoryusher import core
from chicoryusher.decisions import gates

__all__ = ['MAX_HEARTBEAT_TARGETS', 'choose_heartbeat_targets']

MAX_HEARTBEAT_TARGETS = 4


def choose_heartbeat_targets(
    vm: core.VmName, vms: Iterable[core.VmName]
) -> tuple[core.VmName, ...]:
    """Return the VMs that ``vm`` sends heartbeats to.

    The next VM in name order is always among them, so that the graph is
    connected; the others are chosen by hash.
    """
    others = sorted(set(vms) - {vm})
    if len(others) <= MAX_HEARTBEAT_TARGETS:
        return tuple(others)
    following = next((name for name in others if name > vm), others[0])
    chosen = [
        name
        for name in gates.rank_vms(vm, others)[: MAX_HEARTBEAT_TARGETS + 1]
        if name != following
    ]
    return (following, *chosen[: MAX_HEARTBEAT_TARGETS - 1])
