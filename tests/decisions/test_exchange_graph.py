"""Whom a VM pings, and which VMs judge an instance."""

from __future__ import annotations

import pytest

from chicoryusher import core
from chicoryusher import decisions

REGION_BY_ZONE = {
    core.ZoneName(f'z{number}'): core.RegionName('ab'[number % 2])
    for number in range(6)
}
ZONES = tuple(REGION_BY_ZONE)
REGION_OF = REGION_BY_ZONE.get
INSTANCE = core.InstanceName('i-1')


def fleet(count):
    return tuple(
        core.EntryVmZone(
            core.VmName(f'vm{number:04}'), ZONES[number % len(ZONES)]
        )
        for number in range(count)
    )


def peers_of(place, places, suspects=frozenset()):
    others = [other for other in places if other != place]
    return decisions.choose_exchange_peers(place, others, suspects, REGION_OF)


def role_of(place, places, suspects=frozenset()):
    others = [other for other in places if other != place]
    return decisions.exchange_role(place, others, suspects)


def test_in_a_small_fleet_every_vm_pings_every_other():
    places = fleet(decisions.MAX_MESHED_VMS)
    for place in places:
        assert len(peers_of(place, places)) == len(places) - 1
        assert role_of(place, places) is core.ExchangeRole.MESHED


@pytest.mark.parametrize('count', [24, 200, 600])
def test_pings_do_not_grow_with_the_fleet(count):
    places = fleet(count)
    pings = {place: len(peers_of(place, places)) for place in places}
    roles = {place: role_of(place, places) for place in places}
    relays = [
        place for place in places if roles[place] is core.ExchangeRole.RELAY
    ]
    assert len(relays) == decisions.RELAYS_PER_ZONE * len(ZONES)
    members_of_zone = count / len(ZONES)
    for place in places:
        if roles[place] is core.ExchangeRole.MEMBER:
            assert pings[place] == decisions.RELAYS_PER_ZONE
        else:
            assert pings[place] <= members_of_zone + 2 * len(ZONES)


@pytest.mark.parametrize('count', [13, 24, 200])
def test_news_of_any_vm_reach_every_other(count):
    """A VM tells those that ping it, and they tell those that ping them."""
    places = fleet(count)
    asked_by = {place.vm: set() for place in places}
    for place in places:
        for vm in peers_of(place, places):
            asked_by[vm].add(place.vm)
    for place in (places[0], places[-1]):
        reached, new = {place.vm}, {place.vm}
        while new:
            new = {vm for old in new for vm in asked_by[old]} - reached
            reached |= new
        assert len(reached) == count


def test_a_suspect_relay_is_replaced_by_every_member():
    places = fleet(60)
    zone = ZONES[0]
    zone_vms = [place.vm for place in places if place.zone == zone]
    first, second = decisions.zone_relays(zone, zone_vms)
    for place in places:
        if place.zone != zone or place.vm in (first, second):
            continue
        peers = peers_of(place, places, {first})
        assert first not in peers or place.vm in peers_of_zone(zone_vms, first)
        assert second in peers


def peers_of_zone(zone_vms, suspect):
    """Return the relays that a zone has without the suspect."""
    vms = [vm for vm in zone_vms if vm != suspect]
    return decisions.zone_relays(ZONES[0], vms)


def test_a_relay_still_pings_the_suspects_of_its_zone():
    places = fleet(60)
    zone_vms = [place.vm for place in places if place.zone == ZONES[0]]
    relay, suspect = decisions.zone_relays(ZONES[0], zone_vms)
    place = core.EntryVmZone(relay, ZONES[0])
    assert suspect in peers_of(place, places, {suspect})


def test_the_judges_of_an_instance_are_few_and_of_every_zone():
    places = fleet(600)
    judges = decisions.choose_judges(INSTANCE, places)
    zones = [place.zone for place in places if place.vm in judges]
    assert sorted(set(zones)) == sorted(ZONES)
    assert all(zones.count(zone) == zones.count(ZONES[0]) for zone in ZONES)
    assert len(judges) <= decisions.MAX_MESHED_VMS


def test_in_a_small_fleet_every_voter_is_a_judge():
    places = fleet(7)
    judges = decisions.choose_judges(INSTANCE, places)
    assert judges == {place.vm for place in places}
