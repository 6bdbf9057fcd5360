"""How near two availability zones are to each other."""

from __future__ import annotations

from collections.abc import Callable

from chicoryusher import core

__all__ = ['nearness']


def nearness(
    own: core.ZoneName,
    other: core.ZoneName,
    region_of: Callable[[core.ZoneName], core.RegionName | None],
) -> core.ZoneDistance:
    """Return whether two zones are the same, or are in the same region."""
    if own == other:
        return core.ZoneDistance.SAME_ZONE
    if region_of(own) == region_of(other):
        return core.ZoneDistance.SAME_REGION
    return core.ZoneDistance.OTHER_REGION
