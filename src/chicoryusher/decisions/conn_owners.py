"""Which VMs own connections to an instance, and which owner others use.

If a small number of connections were divided over many VMs, most VMs
would have none.  Each of their requests would open a connection, and
instances refuse connections over their cap.  So a few VMs, the connection
owners, keep enough connections each, and the other VMs send their work
through them.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

import xxhash

from chicoryusher import core
from chicoryusher.decisions import conn_shares
from chicoryusher.decisions import zones

__all__ = [
    'conn_owner_count',
    'few_owners',
    'choose_conn_owners',
    'sort_conn_owners',
    'sort_team_owners',
]

# Connections that an owner keeps open.  An instance runs 3 to 6 statements
# at once, so two owners can keep it busy.
KEPT_CONNS_PER_OWNER = 4
# Least number of owners, so that two may fail at once.
MIN_OWNERS = 3
# Every VM may be an owner if all VMs together, in a burst, would open at
# most this multiple of the cap.  Connections over the cap are refused, and
# are tried again after a pause.
MAX_OVERCOMMIT_RATIO = 2.0

RegionOf = Callable[[core.ZoneName], core.RegionName | None]
_NEAREST_FIRST = (
    core.ZoneDistance.SAME_ZONE,
    core.ZoneDistance.SAME_REGION,
    core.ZoneDistance.OTHER_REGION,
)


def conn_owner_count(cap: int, vms: int, teams: bool = False) -> int:
    """Return how many VMs own connections to an instance.

    ``cap`` is the most connections that the instance accepts, ``vms`` the
    number of VMs.  All VMs are owners if each can keep a connection open
    and bursts stay within the overcommit ratio; otherwise only a few are.
    With ``teams`` there are always few: a connection serves one team only,
    so a team's statements must meet at few VMs near the instance.
    """
    kept_open = int(cap * conn_shares.KEPT_OPEN_RATIO)
    burst = vms * (kept_open // max(1, vms) + conn_shares.MAX_BURST_CONNS)
    if not teams and kept_open >= vms and burst <= cap * MAX_OVERCOMMIT_RATIO:
        return vms
    return min(vms, few_owners(cap))


def few_owners(cap: int) -> int:
    """Return how many VMs own connections where not all do."""
    kept_open = int(cap * conn_shares.KEPT_OPEN_RATIO)
    return max(MIN_OWNERS, kept_open // KEPT_CONNS_PER_OWNER)


def choose_conn_owners(
    entry: core.InstanceEntry,
    nodes: Iterable[core.EntryVmZone],
    count: int,
    region_of: RegionOf,
) -> tuple[core.EntryVmZone, ...]:
    """Return the ``count`` connection owners of an instance.

    VMs near the instance go first; among equally near VMs the order is
    rendezvous hashing.
    """

    def rank(node: core.EntryVmZone) -> tuple[int, int]:
        near = zones.nearness(entry.zone, node.zone, region_of)
        return _NEAREST_FIRST.index(near), _hash(entry.name, node.vm)

    return tuple(sorted(nodes, key=rank)[:count])


def sort_conn_owners(
    own: core.EntryVmZone,
    owners: Iterable[core.EntryVmZone],
    region_of: RegionOf,
) -> tuple[core.VmName, ...]:
    """Return the connection owners in the order in which a VM tries them.

    A VM that is an owner itself uses its own connections first, then those
    of near VMs.
    """

    def rank(node: core.EntryVmZone) -> tuple[bool, int, int]:
        near = zones.nearness(own.zone, node.zone, region_of)
        return (
            node.vm != own.vm,
            _NEAREST_FIRST.index(near),
            _hash(own.vm, node.vm),
        )

    return tuple(node.vm for node in sorted(owners, key=rank))


def sort_team_owners(
    team: core.TeamName, owners: Iterable[core.VmName]
) -> tuple[core.VmName, ...]:
    """Return the connection owners in the order in which a team uses them.

    All VMs use the same order, so that the few connections of a team stand
    at one VM, where its next statement finds them.
    """
    return tuple(sorted(owners, key=lambda vm: _hash(team, vm)))


def _hash(first: str, second: str) -> int:
    return xxhash.xxh64_intdigest(f'{first} {second}'.encode())
