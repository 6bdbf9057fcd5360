"""Callers that leave while their statement waits or runs."""

from __future__ import annotations

import pytest

import pool_sites
from chicoryusher import core
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.connections import instance_pool
from chicoryusher_standins import pool

PRIMARY = core.ReadAccess.PRIMARY
BEGIN = core.Statement(core.Verb.BEGIN, 'BEGIN')
WRITE = pool_sites.WRITE


@pytest.fixture
def site():
    with pool_sites.checked_site(3) as new_site:
        yield new_site


def outstanding_counts(vm):
    group = vm.desk._group_table.groups[pool.SERVICE]
    return [load.outstanding_count for load in group.instances.values()]


@pytest.mark.parametrize('begins', [False, True], ids=['alone', 'first'])
def test_a_waiting_statement_of_a_caller_that_left_is_not_run(site, begins):
    """The statement was run, and its connection stayed in a transaction."""
    vm = site.vms[0]
    if begins:
        for each in site.vms:
            assert (
                pool_sites.ask(site, each.caller(PRIMARY), WRITE).refusal
                is None
            )
    primary = site.group.primary()
    caller = vm.caller(PRIMARY)
    if begins:
        pool_sites.ask(site, caller, BEGIN, seconds=0.02)
    primary.crashed = True
    request_id = caller.ask(WRITE)
    site.run(0.05)
    caller.leave()
    site.run(0.001)
    primary.crashed = False
    site.run(5.0)
    assert request_id not in [run.request_id for run in site.group.runs]
    assert not pool_sites.pinned_conns(site)


def test_a_caller_that_left_while_waiting_is_counted_off_once(site):
    """An instance with work of others passed for one without any."""
    vm = site.vms[0]
    assert pool_sites.ask(site, vm.caller(PRIMARY), WRITE).refusal is None
    primary = site.group.primary()
    primary.busy = True
    leaving = vm.caller(PRIMARY)
    leaving.ask(WRITE)
    site.run(0.015)
    assert outstanding_counts(vm) == [0, 0, 0]
    primary.busy, primary.lose_answers = False, True
    vm.caller(PRIMARY).ask(WRITE)
    site.run(0.002)
    assert sorted(outstanding_counts(vm)) == [0, 0, 1]
    leaving.leave()
    site.run(0.001)
    assert sorted(outstanding_counts(vm)) == [0, 0, 1]


def test_a_result_that_crosses_its_callers_departure_is_rolled_back(
    site, monkeypatch
):
    """A connection stayed for good in a transaction that nobody ended."""
    vm = site.vms[0]
    assert pool_sites.ask(site, vm.caller(PRIMARY), WRITE).refusal is None
    caller = vm.caller(PRIMARY)
    pool_sites.ask(site, caller, BEGIN)
    report = instance_pool.InstancePool.on_statement_result

    def leave_and_report(self, conn, reply):
        caller.leave()
        report(self, conn, reply)

    monkeypatch.setattr(
        instance_pool.InstancePool, 'on_statement_result', leave_and_report
    )
    request_id = caller.ask(WRITE)
    site.run(1.0)
    assert request_id in [run.request_id for run in site.group.runs]
    assert not pool_sites.pinned_conns(site)


def test_a_cancellation_that_crosses_a_relayed_result_ends_its_transaction(
    monkeypatch,
):
    """A connection owner kept a transaction of work that was cancelled."""
    site = pool.Site(pool_sites.FORWARDING_VM_COUNT)
    name = site.group.primary().name
    for each in site.vms:
        assert (
            pool_sites.ask(site, each.caller(PRIMARY), WRITE).refusal is None
        )
    vm = next(each for each in site.vms if not each.links[name].opened)
    caller = vm.caller(PRIMARY)
    pool_sites.ask(site, caller, BEGIN)
    report = instance_pool.InstancePool.on_statement_result
    cancelled = []

    def cancel_and_report(self, conn, reply):
        [(_, work)] = site.forwarded
        cancel = core.RelayCancel(vm.vm, work.work_id)
        rollback = core.RelayRollback(vm.vm, work.transaction)
        for message in (cancel, rollback):
            self.send(names.relay(self.vm), message)
        cancelled.append(work)
        report(self, conn, reply)

    monkeypatch.setattr(
        instance_pool.InstancePool, 'on_statement_result', cancel_and_report
    )
    site.sent.clear()
    caller.ask(WRITE)
    site.run(0.2)
    assert len(cancelled) == 1
    assert not pool_sites.pinned_conns(site)
    site.close()
