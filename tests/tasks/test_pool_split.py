"""Changes of primary on one side of a network partition.

The VMs run the real tasks; the store, the instances and the network between
VMs are stand-ins.  The store is on the side with fewer VMs.
"""

from __future__ import annotations

import contextlib

import pytest

import pool_sites
from chicoryusher import core

PRIMARY = core.ReadAccess.PRIMARY
VM_COUNT = 8
# Accepted time from the failure of a primary to the next successful write.
MAX_GAP_S = 5.0
STEP_S = 0.1


@contextlib.contextmanager
def split_site(near_count=3, judges_in_partition=True, vm_count=VM_COUNT):
    """Yield a site, its VMs that keep the store, and the other ones."""
    with pool_sites.checked_site(
        vm_count, judges_in_partition=judges_in_partition
    ) as site:
        site.run(1.0)
        near, far = site.vms[:near_count], site.vms[near_count:]
        write(site, site.vms, 1.0)
        yield site, near, far


def part(site, near, far):
    for vm in far:
        site.store.shut.add(vm.vm)
        for other in near:
            site.cut.add((str(vm.vm), str(other.vm)))


def cut_from(site, vms, instance):
    for vm in vms:
        site.cut.add((str(vm.vm), str(instance.name)))


def write(site, vms, seconds):
    """Write from each VM in each step; return when writes succeeded."""
    callers = []
    for _ in range(round(seconds / STEP_S)):
        for vm in vms:
            caller = vm.caller(PRIMARY)
            caller.ask(pool_sites.WRITE)
            callers.append((site.clock.now(), caller))
        site.run(STEP_S)
    return [
        asked_at
        for asked_at, caller in callers
        if caller.answers and caller.last.refusal is None
    ]


def gap(site, near, seconds=MAX_GAP_S + 1.0):
    """Return the seconds until a write succeeds on the store's side."""
    began_at = site.clock.now()
    return min(write(site, near, seconds), default=seconds) - began_at


@pytest.mark.parametrize('fault', ['crashed', 'dark'])
def test_a_primary_lost_in_a_split_is_replaced_within_the_maximum_gap(fault):
    """Three of eight VMs have the store; the primary fails for all."""
    with split_site() as (site, near, far):
        part(site, near, far)
        setattr(site.group.primary(), fault, True)
        assert gap(site, near) < MAX_GAP_S


def test_without_the_setting_most_judges_decide():
    with split_site(judges_in_partition=False) as (site, near, far):
        part(site, near, far)
        old = site.group.primary()
        old.crashed = True
        write(site, near, MAX_GAP_S)
        assert site.group.primary() in (None, old)
        assert site.tokens == []


def test_a_primary_that_the_other_side_uses_is_kept():
    """Three of eight VMs have the store and lose the primary only."""
    with split_site() as (site, near, far):
        part(site, near, far)
        old = site.group.primary()
        cut_from(site, near, old)
        for _ in range(25):
            write(site, (*near, *far), STEP_S)
        assert site.group.primary() is old
        assert site.tokens == []


def test_a_primary_that_its_replicas_lost_too_is_replaced():
    """It is cut off from the store's side, with all replicas there."""
    with split_site() as (site, near, far):
        part(site, near, far)
        old = site.group.primary()
        cut_from(site, near, old)
        site.group.replicating = False
        old.deaf = True
        began_at = site.clock.now()
        successes = write(site, near, MAX_GAP_S + 1.0)
        assert site.group.primary() is not old
        assert min(successes) - began_at < MAX_GAP_S


def assert_primary_is_kept(near_count, cut_count):
    """Part the VMs; cut some of the store's side off from the primary."""
    with split_site(near_count) as (site, near, far):
        part(site, near, far)
        old = site.group.primary()
        cut_from(site, near[:cut_count], old)
        site.group.replicating = False
        write(site, near, 3.0)
        assert site.group.primary() is old
        assert site.tokens == []


@pytest.mark.parametrize('near_count', [1, 2])
def test_fewer_than_three_vms_replace_nothing(near_count):
    assert_primary_is_kept(near_count, near_count)


def test_one_vm_that_reaches_the_primary_keeps_it():
    """The VMs of the store's side lose the primary, but for one of them."""
    assert_primary_is_kept(near_count=4, cut_count=3)


def test_a_side_without_the_store_replaces_nothing():
    with split_site(4) as (site, near, far):
        part(site, far, near)
        old = site.group.primary()
        old.crashed = True
        write(site, near, 3.0)
        assert site.tokens == []


def test_vms_that_fail_with_the_primary_do_not_delay_its_change():
    """Five of eight VMs are lost with the primary."""
    with split_site() as (site, near, far):
        for vm in far:
            site.isolate(vm)
        site.group.primary().crashed = True
        assert gap(site, near) < MAX_GAP_S
