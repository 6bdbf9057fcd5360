"""Which VMs hold connections to an instance, and whom others go through.

Few connections dealt out to many VMs would leave most with none: each
request would open one, and instances refuse those over their cap.  So a
few VMs hold enough of them each, and the others send their work there.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

import xxhash

from chicoryusher import core
from chicoryusher.decisions import shares
from chicoryusher.decisions import zones

__all__ = ['holder_count', 'holders_of', 'nearest_holder']

# Connections that a holder keeps: over the 3 to 6 statements that an
# instance runs at once, so that two holders can keep it busy.
KEPT_EACH = 4
# Holders at least, so that two may fail at once.
LEAST = 3
# Parts of the cap that all VMs together may want to open in a burst for
# every VM to be a holder; connections over the cap are refused, and are
# tried again after a pause.
OVERCOMMIT = 2.0

RegionOf = Callable[[core.ZoneName], core.RegionName | None]
_ORDER = (
    core.Nearness.SAME_ZONE,
    core.Nearness.SAME_REGION,
    core.Nearness.OTHER_REGION,
)


def holder_count(cap: int, vms: int) -> int:
    """Return how many of the VMs hold connections to an instance."""
    dealt = int(cap * shares.DEALT)
    wanted = vms * (dealt // max(1, vms) + shares.BURST)
    if dealt >= vms and wanted <= cap * OVERCOMMIT:
        return vms
    return min(vms, max(LEAST, dealt // KEPT_EACH))


def holders_of(
    entry: core.InstanceEntry,
    nodes: Iterable[core.NodePlace],
    count: int,
    region_of: RegionOf,
) -> tuple[core.NodePlace, ...]:
    """Return the holders: VMs near the instance, in rendezvous order."""

    def rank(one: core.NodePlace) -> tuple[int, int]:
        near = zones.nearness(entry.zone, one.zone, region_of)
        return _ORDER.index(near), _digest(entry.name, one.vm)

    return tuple(sorted(nodes, key=rank)[:count])


def nearest_holder(
    own: core.NodePlace,
    holders: Iterable[core.NodePlace],
    region_of: RegionOf,
) -> core.VmName | None:
    """Return the holder to send work through; itself if it is one."""

    def rank(one: core.NodePlace) -> tuple[bool, int, int]:
        near = zones.nearness(own.zone, one.zone, region_of)
        return one.vm != own.vm, _ORDER.index(near), _digest(own.vm, one.vm)

    nearest = min(holders, key=rank, default=None)
    return None if nearest is None else nearest.vm


def _digest(one: str, other: str) -> int:
    return xxhash.xxh64_intdigest(f'{one} {other}'.encode())
