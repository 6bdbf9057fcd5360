"""How many connections to an instance one VM may hold."""

from __future__ import annotations

import dataclasses

__all__ = ['BURST', 'DEALT', 'NO_SHARE', 'ConnShare', 'connection_share']

# Part of the cap that is dealt out to be kept open.  The rest is for
# work that comes in bursts, and for VMs that have just started while the
# connections of their past life still linger (3 s).
DEALT = 0.5
# Connections over its share that a VM may open while work waits.
BURST = 3


@dataclasses.dataclass(frozen=True, slots=True)
class ConnShare:
    """Connections that a VM keeps, and the most it may open."""

    kept: int
    most: int


# For a VM that holds no connections: one for work that another VM sends it
# while they do not agree yet on who does.
NO_SHARE = ConnShare(0, 1)


def connection_share(cap: int, holders: int) -> ConnShare:
    """Deal the cap of an instance out over those that hold connections."""
    kept = max(1, int(cap * DEALT) // max(1, holders))
    return ConnShare(kept, min(cap, kept + BURST))
