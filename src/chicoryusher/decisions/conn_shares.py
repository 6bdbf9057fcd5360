"""How many connections to an instance one VM may have."""

from __future__ import annotations

import dataclasses

__all__ = [
    'KEPT_OPEN_RATIO',
    'MAX_BURST_CONNS',
    'NON_OWNER_SHARE',
    'RESTART_S',
    'ConnShare',
    'bounded_share',
    'connection_share',
]

# Share of an instance's connection cap that the VMs keep open.  The other
# connections are for bursts of work, and for VMs that have just restarted
# while the connections of their previous incarnation still exist (3 s).
KEPT_OPEN_RATIO = 0.5
# Connections over its share that a VM may open while work waits.
MAX_BURST_CONNS = 3
# Seconds for which an instance counts connections of a VM that has lost its
# power, and so those of a restarted VM's earlier process.
RESTART_S = 3.0
# Part of an owner's connections that it may open within that time.
RESTART_RATIO = 1.0 / 3.0


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


def bounded_share(cap: int, owner_count: int, restarted: bool) -> ConnShare:
    """Return one owner's share such that the cap holds through restarts.

    A VM that has ``restarted`` lately opens few connections, since those of
    its earlier process may still count.  What all owners had and what they
    open anew together is within the cap.
    """
    own = max(1, cap // max(1, owner_count))
    reserve = max(1, int(own * RESTART_RATIO))
    if restarted:
        return ConnShare(reserve, reserve)
    usual = connection_share(cap, owner_count)
    max_open = max(1, min(usual.max_open, own - reserve))
    return ConnShare(min(usual.kept_open, max_open), max_open)
