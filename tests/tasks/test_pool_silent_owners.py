"""Connection owners that are cut off or suspended while work goes to them.

A VM counts as running for 6 s after its last sign; work that is sent to it
meanwhile is lost time, and the outcome of a write is unknown.
"""

from __future__ import annotations

import pytest

import pool_sites
from chicoryusher import core

PRIMARY = core.ReadAccess.PRIMARY
READ = core.Statement(core.Verb.READ, 'READ 1a4', '1a4')
BEGIN = core.Statement(core.Verb.BEGIN, 'BEGIN')
COMMIT = core.Statement(core.Verb.COMMIT, 'COMMIT')
WRITE = pool_sites.WRITE
# Within this time it is noticed that an owner does not respond.
NOTICE_S = 0.4
STEP_S = 0.05


@pytest.fixture
def site():
    with pool_sites.checked_site(
        pool_sites.FORWARDING_VM_COUNT, watches_owners=True
    ) as new_site:
        yield new_site


def owner_used_by(site, vm):
    """Return the owner of the primary's connections that a VM uses."""
    pool_sites.ask(site, vm.caller(PRIMARY), WRITE)
    name, _ = site.forwarded[-1]
    return next(other for other in site.vms if other.vm == name)


def cut(site, vm, owner):
    site.cut.add((str(vm.vm), str(owner.vm)))


def send_for(site, vm, statement, seconds):
    """Send a statement each step; return their callers."""
    callers = []
    for _ in range(int(seconds / STEP_S)):
        callers.append(vm.caller(PRIMARY))
        callers[-1].ask(statement)
        site.run(STEP_S)
    return callers


def test_only_the_first_writes_to_a_cut_off_owner_are_unknown(site):
    vm = pool_sites.vm_under_test(site)
    cut(site, vm, owner_used_by(site, vm))
    callers = send_for(site, vm, WRITE, 3.0)
    site.run(2.0)
    refusals = [caller.last.refusal for caller in callers]
    first = int(NOTICE_S / STEP_S)
    assert refusals[0] is core.Refusal.UNKNOWN
    assert set(refusals[first:]) == {None}


def test_reads_leave_a_cut_off_owner_at_once(site):
    vm = pool_sites.vm_under_test(site)
    owner = owner_used_by(site, vm)
    pool_sites.ask(site, vm.caller(PRIMARY), READ)
    cut(site, vm, owner)
    caller = vm.caller(PRIMARY)
    pool_sites.ask(site, caller, READ, seconds=NOTICE_S + 0.05)
    assert caller.last.refusal is None


def test_without_any_owner_a_write_is_refused_as_not_run(site):
    vm = pool_sites.vm_under_test(site)
    primary = site.group.primary().name
    owners = [other for other in site.vms if other.links[primary].opened]
    for used in owners:
        for other in owners:
            if other is not used:
                cut(site, vm, other)
        send_for(site, vm, READ, 1.0)
        site.cut.clear()
        site.run(0.5)
    for owner in owners:
        cut(site, vm, owner)
    send_for(site, vm, READ, 1.5)
    writer = vm.caller(PRIMARY)
    request = writer.ask(WRITE)
    site.run(0.6)
    assert writer.last.refusal is core.Refusal.BUSY
    assert request not in {work.request_id for _, work in site.forwarded}


def test_a_transaction_at_a_cut_off_owner_is_aborted_before_its_commit(site):
    vm = pool_sites.vm_under_test(site)
    owner = owner_used_by(site, vm)
    caller, other = vm.caller(PRIMARY), vm.caller(PRIMARY)
    pool_sites.ask(site, caller, BEGIN, WRITE)
    pool_sites.ask(site, other, BEGIN, WRITE)
    commits = len(site.group.commits)
    cut(site, vm, owner)
    pool_sites.ask(site, other, READ, seconds=NOTICE_S + 0.05)
    assert other.last.refusal is core.Refusal.ABORTED
    pool_sites.ask(site, caller, COMMIT, seconds=0.05)
    assert caller.last.refusal is core.Refusal.ABORTED
    site.run(1.0)
    assert len(site.group.commits) == commits


def test_an_owner_that_responds_again_gets_work_again(site):
    vm = pool_sites.vm_under_test(site)
    owner = owner_used_by(site, vm)
    cut(site, vm, owner)
    send_for(site, vm, READ, 0.5)
    site.cut.clear()
    site.run(0.5)
    assert owner_used_by(site, vm) is owner
