"""Replaced primaries that answer as primaries, with the real tasks of VMs.

The store, the instances and the network between VMs are stand-ins.
"""

from __future__ import annotations

import dataclasses

import pytest

import pool_sites
from chicoryusher import core
from chicoryusher_standins import pool

# Accepted time from the return of an instance to the next successful write.
MAX_GAP_S = 5.0
Refusal = core.Refusal
write_load = pool_sites.write_load


@pytest.fixture
def site():
    with pool_sites.checked_site(4) as new_site:
        yield new_site


def cut_off(site, instance):
    """Cut an instance off from the VMs and the other instances."""
    instance.deaf = True
    site.cut.update((str(vm.vm), str(instance.name)) for vm in site.vms)


def reconnect(site, instance, hears_others=True):
    instance.deaf = not hears_others
    for vm in site.vms:
        site.cut.discard((str(vm.vm), str(instance.name)))


def replaced_while_cut_off(site):
    """Cut the primary off until it is replaced; return it, its successor.

    The third value is the instance that follows the successor.
    """
    write_load(site, 1.0)
    old = site.group.primary()
    cut_off(site, old)
    write_load(site, 2.5)
    successor = site.group.primary()
    assert successor is not old
    assert old.role is core.Role.PRIMARY
    third = next(
        instance
        for instance in site.group.instances.values()
        if instance not in (old, successor)
    )
    return old, successor, third


def check_no_replaced_primary_committed(site, answers):
    """Check that replaced primaries committed no acknowledged write."""
    acked = {
        answer.request_id for _, answer in answers if answer.refusal is None
    }
    broken = [
        commit
        for commit in site.group.commits
        if commit.request_id in acked
        and commit.position.term < commit.newest_term
    ]
    assert broken == []


def successes_after(answers, when):
    return [
        asked_at
        for asked_at, answer in answers
        if answer.refusal is None and asked_at > when
    ]


@pytest.mark.parametrize('third_is', ['lost', 'dark', 'late', 'there'])
def test_a_replaced_primary_that_is_back_leads_only_by_a_promotion(
    site, third_is
):
    """Guards against a replaced primary used while its successor is dark."""
    if third_is == 'lost':
        lost = list(site.group.instances.values())[2]
        lost.crashed = True
        site.register()
    old, successor, third = replaced_while_cut_off(site)
    successor.dark = True
    third.dark = third_is in ('dark', 'late')
    back_at = site.clock.now()
    reconnect(site, old)
    answers = write_load(site, 0.4)
    third.dark = third_is == 'dark'
    answers += write_load(site, 6.6)
    successor.dark = third.dark = False
    answers += write_load(site, 2.0)
    check_no_replaced_primary_committed(site, answers)
    assert min(successes_after(answers, back_at)) - back_at < MAX_GAP_S
    assert answers[-1][1].refusal is None
    assert site.store.leads[pool.SERVICE].primary == site.group.primary().name


def test_a_replaced_primary_is_not_used_before_its_promotion_takes_effect(
    site,
):
    """Guards against a promotion confirmed by the role of an earlier term."""
    old, successor, third = replaced_while_cut_off(site)
    third.crashed = True
    successor.entry = dataclasses.replace(successor.entry, leaving=True)
    site.register()
    reconnect(site, old, hears_others=False)
    answers = write_load(site, 6.0)
    check_no_replaced_primary_committed(site, answers)
    assert site.group.primary() is old
    assert answers[-1][1].refusal is None


def test_a_promotion_counts_whose_coordinator_is_cut_off(site):
    """Guards against an old primary used where no VM knows the new term."""
    old, successor, third = replaced_while_cut_off(site)
    successor.crashed = True
    for vm in site.vms:
        vm.caller(core.ReadAccess.PRIMARY).ask(pool_sites.write())
    coordinators = []
    while site.group.primary() is successor:
        site.run(0.001)
        coordinators = [
            vm
            for vm in site.vms
            if vm.handover_state() is core.HandoverState.CONFIRMING
        ]
    assert site.group.primary() is third
    site.isolate(coordinators[0])
    third.dark = True
    reconnect(site, old)
    others = [vm for vm in site.vms if vm is not coordinators[0]]
    answers = write_load(site, 10.0, others)
    check_no_replaced_primary_committed(site, answers)
    assert site.group.primary() is old
    assert answers[-1][1].refusal is None


def test_an_old_primary_needs_the_logs_that_synchronous_replicas_have(site):
    """Guards against LOST: an instance that seems to lead lacks commits."""
    service = dataclasses.replace(pool.CONFIG.services[0], sync_replicas=1)
    site.store.config = dataclasses.replace(
        pool.CONFIG, version=core.ConfigVersion(2), services=(service,)
    )
    old, successor, third = replaced_while_cut_off(site)
    write_load(site, 1.0)
    successor.dark = third.dark = True
    reconnect(site, old)
    orders = len(site.tokens)
    write_load(site, 4.0)
    assert len(site.tokens) == orders
    third.dark = False
    answers = write_load(site, 4.0)
    check_no_replaced_primary_committed(site, answers)
    assert site.group.primary() is third
    assert answers[-1][1].refusal is None


def test_after_a_restore_a_replaced_primary_leads_only_by_a_promotion():
    """Guards against an old primary that VMs without memory believe in."""
    rows = pool.Store()
    rows.version = 1
    rows.leads[pool.SERVICE] = core.LeaderRow(
        pool.SERVICE,
        rows.version,
        core.LeaderRowState.OPEN,
        core.InstanceName('spoonbook-0'),
        core.VmName('vm0'),
    )
    rows.restore(rows.copy())
    with pool_sites.checked_site(3, store=rows) as site:
        old, successor, third = site.group.instances.values()
        old.deaf = True
        successor.role = core.Role.PRIMARY
        successor.term = third.term = core.Term(2)
        successor.dark = third.dark = True
        answers = write_load(site, 8.0)
        check_no_replaced_primary_committed(site, answers)
        assert site.group.primary() is old
        assert answers[-1][1].refusal is None


def test_an_old_primary_that_misses_its_promotion_is_not_used(site):
    """Guards against an old primary taken for the present one in time."""
    old, successor, third = replaced_while_cut_off(site)
    successor.dark = third.dark = True
    reconnect(site, old)
    for vm in site.vms:
        vm.caller(core.ReadAccess.PRIMARY).ask(pool_sites.write())
    state = core.HandoverState.CONFIRMING
    while all(vm.handover_state() is not state for vm in site.vms):
        site.run(0.001)
    old.dark = True
    answers = write_load(site, 0.5)
    old.dark = False
    assert old.term == 1
    answers += write_load(site, 4.0)
    check_no_replaced_primary_committed(site, answers)
    assert old.term == 3
    assert answers[-1][1].refusal is None
