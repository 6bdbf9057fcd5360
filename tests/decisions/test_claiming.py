"""A claim to change a primary, with suspended VMs and lost answers."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions

VM = core.VmName('vm1')
SERVICE = core.ServiceName('spoonbook')
OLD = core.InstanceName('i-1')


def claimed(boottime=10.0, revision=7):
    claim = decisions.LeadClaim(VM, SERVICE, OLD, 3)
    row = claim.closing(boottime)
    assert claim.expected == 3
    assert claim.written(dataclasses.replace(row, revision=revision))
    claim.begins(boottime + 0.1)
    return claim


def test_a_claim_is_timed_from_before_its_write():
    claim = decisions.LeadClaim(VM, SERVICE, OLD, 3)
    row = claim.closing(10.0)
    claim.written(dataclasses.replace(row, revision=7))
    assert not claim.overdue(10.0 + decisions.CLAIM_LASTS)
    assert claim.overdue(10.01 + decisions.CLAIM_LASTS)


def test_a_row_of_another_vm_or_an_open_row_is_not_ours():
    claim = claimed()
    row = claim.row
    other = dataclasses.replace(row, holder=core.VmName('vm2'), revision=8)
    assert not claim.written(other)
    assert not claim.written(claim.opening(OLD))
    assert not claim.written(None)
    assert claim.revision == 7


def test_a_claim_is_renewed_over_its_own_row_one_write_at_a_time():
    claim = claimed()
    assert not claim.renewal_due(10.0 + decisions.CLAIM_RENEWAL_S / 2)
    assert claim.renewal_due(10.01 + decisions.CLAIM_RENEWAL_S)
    row = claim.closing(11.0)
    assert claim.expected == 7
    assert not claim.renewal_due(20.0)
    claim.written(dataclasses.replace(row, revision=9))
    assert claim.renewal_due(20.0)
    assert claim.first == 7


def test_authority_from_before_the_claim_expires_after_the_wait():
    claim = claimed()
    assert not claim.all_lapsed(10.0 + decisions.LAPSE_WAIT)
    assert claim.all_lapsed(10.2 + decisions.LAPSE_WAIT)


def test_another_vm_takes_over_after_every_order_of_the_coordinator():
    assert decisions.TAKEOVER > decisions.CLAIM_LASTS + 0.8
