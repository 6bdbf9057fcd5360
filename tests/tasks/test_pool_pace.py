"""Paced instances: start, recovery, promotion, load that many VMs share."""

from __future__ import annotations

import pytest

import pool_sites
from chicoryusher import core

PRIMARY = core.ReadAccess.PRIMARY
BOUNDED = core.ReadAccess.BOUNDED
read, write = pool_sites.read, pool_sites.write


@pytest.fixture
def site():
    with pool_sites.checked_site(3, paces_instances=True) as new_site:
        yield new_site


def restarts(site, instance):
    number = core.LogEvent.PACE_RESTARTED.number
    return [
        record.extra['fields']['why']
        for record in site.records
        if record.extra['number'] == number
        and record.extra['fields']['instance'] == instance
    ]


def running_at(vm, instance):
    pool = vm.desk._group_table._pools[instance.name]
    return len(pool._conns.awaiting_reply())


def test_a_burst_at_an_instance_that_was_not_used_starts_slowly(site):
    """Twelve writes wait; at first one runs at a time, and all are served."""
    vm = site.vms[0]
    primary = site.group.primary()
    callers = [vm.caller(PRIMARY) for _ in range(12)]
    for caller in callers:
        caller.ask(write())
    site.run(0.006)
    assert running_at(vm, primary) <= 1
    site.run(1.0)
    assert [caller.last.refusal for caller in callers] == [None] * 12


def test_a_primary_that_broke_its_connections_is_not_flooded(site):
    vm = site.vms[0]
    primary = site.group.primary()
    callers = [vm.caller(PRIMARY) for _ in range(6)]
    for _ in range(5):
        for caller in callers:
            caller.ask(write())
        site.run(0.3)
    primary.crashed = True
    for caller in callers:
        caller.ask(write())
    site.run(0.1)
    primary.crashed = False
    assert 'a connection failed' in restarts(site, primary.name)
    site.run(1.0)
    for caller in callers:
        caller.ask(write())
    most = 0
    for _ in range(4):
        site.run(0.002)
        most = max(most, running_at(vm, primary))
    assert most <= 2
    site.run(0.5)
    assert [caller.last.refusal for caller in callers] == [None] * 6


def test_a_new_primary_gets_the_waiting_writes_at_its_pace(site):
    """The new primary served reads at a high pace before."""
    old = site.group.primary()
    callers = [vm.caller(PRIMARY) for vm in site.vms for _ in range(4)]
    for caller in callers:
        caller.ask(write())
    site.run(0.5)
    readers = [vm.caller(BOUNDED) for vm in site.vms for _ in range(6)]
    for _ in range(10):
        for caller in readers:
            caller.ask(read())
        site.run(0.2)
    old.crashed = True
    site.register()
    for caller in callers:
        caller.ask(write())
    site.run(3.0)
    new = site.group.primary()
    assert new is not old
    assert 'the instance was promoted' in restarts(site, new.name)
    assert pool_sites.ask(site, callers[0], write()).refusal is None


def test_a_lost_answer_does_not_keep_other_work_waiting(site):
    """At a pace of 1 all work waited until the lost one had timed out."""
    vm = site.vms[0]
    primary = site.group.primary()
    callers = [vm.caller(PRIMARY) for _ in range(6)]
    for _ in range(5):
        for caller in callers:
            caller.ask(write())
        site.run(0.3)
    primary.lose_answers = True
    callers[0].ask(write())
    site.run(0.3)
    primary.lose_answers = False
    for caller in callers[1:]:
        caller.ask(write())
    site.run(1.5)
    refusals = [caller.last.refusal for caller in callers[1:]]
    assert refusals == [None] * 5


def test_a_primary_that_refuses_is_sent_less(site):
    vm = site.vms[0]
    primary = site.group.primary()
    callers = [vm.caller(PRIMARY) for _ in range(6)]
    for _ in range(5):
        for caller in callers:
            caller.ask(write())
        site.run(0.3)
    primary.busy = True
    for caller in callers:
        caller.ask(write())
    site.run(0.3)
    assert running_at(vm, primary) <= 1
    primary.busy = False
    site.run(0.5)
    assert pool_sites.ask(site, callers[0], write()).refusal is None
