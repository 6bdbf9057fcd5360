"""How many connections to an instance one VM may have."""

from __future__ import annotations

import dataclasses

__all__ = [
    'KEPT_OPEN_RATIO',
    'MAX_BURST_CONNS',
    'NON_OWNER_SHARE',
    'ConnShare',
    'connection_share',
]

# Share of an instance's connection cap that the VMs keep open.  The other
# connections are for bursts of work, and for VMs that have just restarted
# while the connections of their previous incarnation still exist (3 s).
KEPT_OPEN_RATIO = 0.5
# Connections over its share that a VM may open while work waits.
MAX_BURST_CONNS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class ConnShare:
    """Connections that a VM keeps open, and the most that it may open."""

    kept_open: int
    max_open: int


# Share of a VM that is no connection owner.  It may open one connection
# for work that another VM sends it while the two VMs don't agree yet on
# which VMs are the owners.
NON_OWNER_SHARE = ConnShare(0, 1)


def connection_share(cap: int, owner_count: int) -> ConnShare:
    """Return one owner's share of an instance's connection cap."""
    kept = max(1, int(cap * KEPT_OPEN_RATIO) // max(1, owner_count))
    return ConnShare(kept, min(cap, kept + MAX_BURST_CONNS))
