"""A claim to change a primary, with suspended VMs and lost answers."""

from __future__ import annotations

import dataclasses

import pytest

from chicoryusher import core
from chicoryusher import decisions

VM = core.VmName('vm1')
SERVICE = core.ServiceName('spoonbook')
OLD = core.InstanceName('i-1')


def claimed(boottime=10.0, revision=7):
    claim = decisions.LeaderClaim(VM, SERVICE, OLD, 3)
    row = claim.closing_row(boottime)
    assert claim.expected_revision == 3
    assert claim.record_write(dataclasses.replace(row, revision=revision))
    claim.record_first_closing(boottime + 0.1)
    return claim


def test_a_claim_is_timed_from_before_its_write():
    claim = decisions.LeaderClaim(VM, SERVICE, OLD, 3)
    row = claim.closing_row(10.0)
    claim.record_write(dataclasses.replace(row, revision=7))
    assert not claim.is_expired(10.0 + decisions.CLAIM_VALID_S)
    assert claim.is_expired(10.01 + decisions.CLAIM_VALID_S)


def test_a_row_of_another_vm_or_an_open_row_is_not_ours():
    claim = claimed()
    row = claim.row
    other = dataclasses.replace(
        row, coordinator=core.VmName('vm2'), revision=8
    )
    assert not claim.record_write(other)
    assert not claim.record_write(claim.opening_row(OLD))
    assert not claim.record_write(None)
    assert claim.revision == 7


def test_a_claim_is_renewed_over_its_own_row_one_write_at_a_time():
    claim = claimed()
    assert not claim.renewal_due(10.0 + decisions.CLAIM_RENEWAL_S / 2)
    assert claim.renewal_due(10.01 + decisions.CLAIM_RENEWAL_S)
    row = claim.closing_row(11.0)
    assert claim.expected_revision == 7
    assert not claim.renewal_due(20.0)
    claim.record_write(dataclasses.replace(row, revision=9))
    assert claim.renewal_due(20.0)
    assert claim.first_revision == 7


def test_leases_from_before_the_claim_expire_after_the_wait():
    claim = claimed()
    assert not claim.earlier_leases_expired(
        10.0 + decisions.LEASE_EXPIRY_WAIT_S
    )
    assert claim.earlier_leases_expired(10.2 + decisions.LEASE_EXPIRY_WAIT_S)


def test_another_vm_takes_over_after_every_order_of_the_coordinator():
    assert decisions.CLAIM_TAKEOVER_S > decisions.CLAIM_VALID_S + 0.8


def test_the_wait_for_earlier_leases_begins_with_the_first_closing_row():
    claim = decisions.LeaderClaim(VM, SERVICE, OLD, 3)
    claim.record_first_closing(100.0)
    wait_s = decisions.LEASE_EXPIRY_WAIT_S
    assert claim.lease_wait(100.0) == pytest.approx(wait_s)
    assert claim.lease_wait(101.0) == pytest.approx(wait_s - 1.0)
    assert not claim.earlier_leases_expired(100.0 + wait_s - 0.01)
    assert claim.earlier_leases_expired(100.0 + wait_s + 0.01)


def test_a_claim_may_be_taken_over_some_time_after_its_last_renewal():
    claim = claimed(boottime=10.0)
    assert not claim.may_be_taken_over(9.9 + decisions.CLAIM_TAKEOVER_S)
    assert claim.may_be_taken_over(10.0 + decisions.CLAIM_TAKEOVER_S)
    assert decisions.LeaderClaim(VM, SERVICE, OLD, 3).may_be_taken_over(10.0)
