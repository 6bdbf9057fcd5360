"""Grants of whole zones, gathered by relays, extend leases safely."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions

A, B = core.ZoneName('a'), core.ZoneName('b')
OWN, NEAR, FAR, FAR2 = (
    core.VmName(name) for name in ('vm1', 'vm2', 'vm8', 'vm9')
)
HOLDERS = {A: (OWN, NEAR), B: (FAR, FAR2)}
MISSING = float('-inf')


def zone_grant(zone, age, vms):
    return core.ZoneGrant(zone, age, decisions.digest_of_vms(vms))


def test_every_holder_must_have_granted():
    grants = decisions.LeaseGrants(OWN)
    grants.record(NEAR, 9.0)
    grants.record(FAR, 9.5)
    assert grants.oldest(HOLDERS, 10.0) == MISSING
    grants.record(FAR2, 8.0)
    assert grants.oldest(HOLDERS, 10.0) == 8.0


def test_a_zone_grant_counts_from_the_request_less_its_age():
    grants = decisions.LeaseGrants(OWN)
    grants.record(NEAR, 9.0)
    grants.record_zones([zone_grant(B, 0.7, HOLDERS[B])], 9.5)
    assert grants.oldest(HOLDERS, 10.0) == 9.5 - 0.7


def test_a_zone_grant_of_other_vms_does_not_count():
    """The relay did not know of a VM that could change a primary."""
    grants = decisions.LeaseGrants(OWN)
    grants.record(NEAR, 9.0)
    grants.record_zones([zone_grant(B, 0.1, [FAR])], 9.5)
    assert grants.oldest(HOLDERS, 10.0) == MISSING


def test_a_relay_that_changes_a_primary_grants_nothing_for_its_zone():
    grants = decisions.LeaseGrants(OWN)
    grants.record(NEAR, 9.0)
    assert grants.zone_grants(HOLDERS, A, False, 10.0) == ()
    (grant,) = grants.zone_grants(HOLDERS, A, True, 10.0)
    assert grant == zone_grant(A, 1.0, HOLDERS[A])


def test_ages_add_up_over_two_relays():
    first, second = decisions.LeaseGrants(FAR), decisions.LeaseGrants(OWN)
    first.record(FAR2, 99.0)
    second.record(NEAR, 10.5)
    second.record_zones(first.zone_grants(HOLDERS, B, True, 99.75), 10.0)
    ages = {
        grant.zone: grant.age
        for grant in second.zone_grants(HOLDERS, A, True, 10.5)
    }
    assert ages == {A: 0.0, B: 0.75 + 0.5}


def test_grants_as_old_as_a_lease_are_not_passed_on():
    grants = decisions.LeaseGrants(OWN)
    grants.record(NEAR, 10.0 - decisions.LEASE_DURATION_S)
    assert grants.zone_grants(HOLDERS, A, True, 10.0) == ()
