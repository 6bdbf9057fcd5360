"""Which VMs ping each other: all in a small fleet, else through zone relays.

If every VM pinged every other, the messages would grow with the square of
the VMs.  Each zone therefore has two relays, chosen by rendezvous hashing.
A member pings the relays of its zone.  A relay pings the members of its
zone, the other relays of its region and a few of each other region, since
traffic between regions is costly.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from chicoryusher import core
from chicoryusher.decisions import gates
from chicoryusher.decisions import zones

__all__ = [
    'MAX_MESHED_VMS',
    'RELAYS_PER_ZONE',
    'choose_exchange_peers',
    'choose_judges',
    'exchange_role',
    'zone_relays',
]

# Up to this many VMs, every VM pings every other.
MAX_MESHED_VMS = 12
# Two, so that one may fail.
RELAYS_PER_ZONE = 2
# Relays of another region that each relay pings.
PEERS_PER_REMOTE_REGION = 2
# VMs of each zone that judge whether an instance is unreachable.
JUDGES_PER_ZONE = 2

Places = Iterable[core.EntryVmZone]
RegionOf = Callable[[core.ZoneName], core.RegionName | None]


def _by_zone(places: Places) -> dict[core.ZoneName, list[core.VmName]]:
    vms: dict[core.ZoneName, list[core.VmName]] = {}
    for place in places:
        vms.setdefault(place.zone, []).append(place.vm)
    return vms


def zone_relays(
    zone: core.ZoneName, vms: Iterable[core.VmName]
) -> tuple[core.VmName, ...]:
    """Return the relays of a zone, whose responding VMs are ``vms``."""
    return gates.rank_vms(f'relay {zone}', vms)[:RELAYS_PER_ZONE]


def exchange_role(
    own: core.EntryVmZone,
    others: Collection[core.EntryVmZone],
    suspects: Collection[core.VmName],
) -> core.ExchangeRole:
    """Return a VM's part in the exchange of pings.

    ``suspects`` are those of the other VMs that have not responded lately.
    """
    if len(others) < MAX_MESHED_VMS:
        return core.ExchangeRole.MESHED
    zone_vms = [
        place.vm
        for place in (own, *others)
        if place.zone == own.zone and place.vm not in suspects
    ]
    if own.vm in zone_relays(own.zone, zone_vms):
        return core.ExchangeRole.RELAY
    return core.ExchangeRole.MEMBER


def choose_exchange_peers(
    own: core.EntryVmZone,
    others: Collection[core.EntryVmZone],
    suspects: Collection[core.VmName],
    region_of: RegionOf,
) -> frozenset[core.VmName]:
    """Return the VMs that a VM pings.

    ``suspects`` are VMs that have not responded lately: they are not chosen
    as relays, but a relay pings all members of its zone.
    """
    if len(others) < MAX_MESHED_VMS:
        return frozenset(place.vm for place in others)
    responding = [place for place in others if place.vm not in suspects]
    relays = {
        zone: zone_relays(zone, vms)
        for zone, vms in _by_zone([own, *responding]).items()
    }
    if own.vm not in relays[own.zone]:
        return frozenset(relays[own.zone])
    peers = set(_by_zone(others).get(own.zone, ()))
    remote: dict[core.RegionName | None, list[core.VmName]] = {}
    for zone, vms in relays.items():
        distance = zones.nearness(own.zone, zone, region_of)
        if distance is core.ZoneDistance.OTHER_REGION:
            remote.setdefault(region_of(zone), []).extend(vms)
        else:
            peers.update(vms)
    for candidates in remote.values():
        ranked = gates.rank_vms(own.vm, candidates)
        peers.update(ranked[:PEERS_PER_REMOTE_REGION])
    return frozenset(peers - {own.vm})


def choose_judges(
    instance: core.InstanceName, voters: Collection[core.EntryVmZone]
) -> frozenset[core.VmName]:
    """Return the VMs whose majority decides that an instance is unreachable.

    In a small fleet these are all voters, else some of each zone, so that
    the zones count alike and the checks do not grow with the VMs.
    """
    if len(voters) <= MAX_MESHED_VMS:
        return frozenset(place.vm for place in voters)
    return frozenset(
        vm
        for vms in _by_zone(voters).values()
        for vm in gates.rank_vms(instance, vms)[:JUDGES_PER_ZONE]
    )
