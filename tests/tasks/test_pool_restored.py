"""Primaries after the store has come back from an older copy.

What the VMs wrote since the copy was made is lost, and the store gives its
versions out again.
"""

from __future__ import annotations

import dataclasses
import functools

import pytest

import pool_sites
from chicoryusher import core
from chicoryusher.tasks import names
from chicoryusher_standins import pool
from chicoryusher_standins.pool import store

PRIMARY = core.ReadAccess.PRIMARY
# Accepted time from the failure of a primary to the next successful write.
MAX_GAP_S = 5.0
# The same for a failure that is noticed at once, in the middle.
SHORT_GAP_S = 1.5
OUTAGE_S = 1.0
write = pool_sites.write
write_load = functools.partial(pool_sites.write_load, step=0.2)


@pytest.fixture
def site():
    with pool_sites.checked_site(4) as new_site:
        yield new_site


def longest_gap_s(answers, began_at):
    """Return the longest time without a successful write."""
    times = [began_at]
    times += [at for at, answer in answers if answer.refusal is None]
    times.append(answers[-1][0])
    times.sort()
    return max(
        after - before for before, after in zip(times, times[1:], strict=False)
    )


def check_commits(site, answers):
    """Check the promises: no acknowledged write of a replaced primary."""
    committed = {item.request_id: item for item in site.group.commits}
    ids = [item.request_id for item in site.group.commits]
    assert len(set(ids)) == len(ids)
    acked = set()
    for _, answer in answers:
        if answer.refusal is None:
            acked.add(answer.request_id)
            assert answer.request_id in committed
        if answer.refusal in (core.Refusal.BUSY, core.Refusal.ABORTED):
            assert answer.request_id not in committed
    newest = 0
    for item in site.group.commits:
        newest = max(newest, item.position.term)
        if item.request_id in acked:
            assert item.position.term == newest


def check_tokens(site):
    """Check that the tokens of promotions rise."""
    tokens = [token for _, token in site.tokens]
    assert tokens == sorted(set(tokens))


def restore(site, copy, outage_s=OUTAGE_S):
    """Let the store be away, and come back from a copy."""
    site.store.down = True
    site.run(outage_s)
    site.store.restore(copy)
    site.store.down = False


def fail_over(site):
    """Crash the primary until it is replaced; it comes back as a replica."""
    old = site.group.primary()
    old.crashed = True
    write_load(site, 3.0)
    new = site.group.primary()
    assert new is not old
    old.role, old.crashed = core.Role.REPLICA, False
    site.register()
    return new


def test_a_group_is_failed_over_after_its_leader_row_was_lost(site):
    """No change of primary was possible any more: its row was unknown."""
    fail_over(site)
    copy = site.store.copy()
    fail_over(site)
    fail_over(site)
    restore(site, copy)
    answers = write_load(site, 4.0)
    began_at = site.clock.now()
    site.group.primary().crashed = True
    answers += write_load(site, 8.0)
    assert longest_gap_s(answers, began_at) < MAX_GAP_S
    check_commits(site, answers)
    check_tokens(site)


def test_a_change_of_primary_in_the_lost_seconds_stands(site):
    """The group went back to the primary of the store's copy."""
    write_load(site, 1.0)
    copy = site.store.copy()
    new = fail_over(site)
    began_at = site.clock.now()
    restore(site, copy)
    answers = write_load(site, 4.0)
    assert site.group.primary() is new
    assert longest_gap_s(answers, began_at) < OUTAGE_S + 1.0
    assert site.store.leads[pool.SERVICE].primary == new.name
    check_commits(site, answers)


def events(site, event):
    return [
        record
        for record in site.records
        if record.extra['number'] == event.number
    ]


def test_a_restore_without_a_change_stops_no_primary(site):
    """A restore of the store cost writes though no primary had changed."""
    fail_over(site)
    copy = site.store.copy()
    site.run(1.0)
    site.records.clear()
    restore(site, copy)
    answers = write_load(site, 4.0)
    assert [answer.refusal for _, answer in answers] == [None] * len(answers)
    assert events(site, core.LogEvent.PRIMARY_STOPPED) == []
    row = site.store.leads[pool.SERVICE]
    assert core.era_of(row.revision) == site.store.era


def test_the_lost_row_is_written_once(site, monkeypatch):
    """Each answer of a peer had the row written again, 16 times in a play."""
    fail_over(site)
    copy = site.store.copy()
    fail_over(site)
    monkeypatch.setattr(store, 'CALL_DELAY_S', 0.8)
    restore(site, copy)
    site.run(0.05)
    writes = site.store.leader_writes
    site.run(4.0)
    assert site.store.leads[pool.SERVICE].primary == site.group.primary().name
    assert site.store.leader_writes - writes <= 1


def test_a_restore_that_no_poll_notices_loses_no_row(site):
    fail_over(site)
    copy = site.store.copy()
    new = fail_over(site)
    restore(site, copy, outage_s=0.01)
    answers = write_load(site, 3.0)
    assert [answer.refusal for _, answer in answers] == [None] * len(answers)
    assert site.store.leads[pool.SERVICE].primary == new.name


def test_two_restores_after_another_are_survived(site):
    fail_over(site)
    copy = site.store.copy()
    new = fail_over(site)
    for _ in range(2):
        restore(site, copy)
        answers = write_load(site, 3.0)
        check_commits(site, answers)
    assert site.group.primary() is new
    fail_over(site)
    check_tokens(site)


@pytest.mark.parametrize('after_s', [0.01, 0.6, 0.75, 0.9, 1.2])
def test_a_change_of_primary_goes_on_after_its_claim_is_lost(site, after_s):
    """A coordinator whose rows are lost must not promote with an old token."""
    copy = site.store.copy()
    write_load(site, 1.0)
    began_at = site.clock.now()
    site.group.primary().crashed = True
    callers = [vm.caller(PRIMARY) for vm in site.vms]
    for caller in callers:
        caller.ask(write())
    site.run(after_s)
    restore(site, copy, outage_s=0.2)
    answers = write_load(site, 9.0)
    assert longest_gap_s(answers, began_at) < MAX_GAP_S
    check_commits(site, answers)
    check_tokens(site)


def test_a_vm_that_missed_the_change_does_not_undo_it(site):
    """The old primary of the copy was confirmed by a VM that was cut off."""
    copy = site.store.copy()
    *others, alone = site.vms
    site.isolate(alone)
    old = site.group.primary()
    old.crashed = True
    write_load(site, 6.0, vms=others)
    new = site.group.primary()
    assert new is not old
    old.role, old.crashed = core.Role.REPLICA, False
    site.register()
    site.store.restore(copy)
    site.cut.clear()
    site.store.shut.clear()
    answers = write_load(site, 6.0)
    assert site.group.primary() is new
    assert site.store.leads[pool.SERVICE].primary == new.name
    check_commits(site, answers)


def test_a_silent_vm_delays_the_confirmation_for_a_bounded_time(site):
    fail_over(site)
    copy = site.store.copy()
    *others, silent = site.vms
    began_at = site.clock.now()
    site.isolate(silent)
    restore(site, copy)
    answers = write_load(site, 10.0, vms=others)
    assert longest_gap_s(answers, began_at) < MAX_GAP_S + OUTAGE_S
    check_commits(site, answers)


def test_a_vm_whose_registration_is_lost_registers_again(site):
    """A change of primary did not wait for a VM that used the primary."""
    copy = site.store.copy()
    late = pool.Vm(site, 'vm9', 'akhmim-yard')
    site.vms.append(late)
    site.run(2.0)
    assert late.vm in site.store.nodes
    restore(site, copy)
    answers = write_load(site, 3.0)
    assert late.vm in site.store.nodes
    answers += write_load(site, 1.0, vms=[late])
    assert answers[-1][1].refusal is None
    fail_over(site)
    check_commits(site, answers)


def test_vms_that_start_after_the_restore_take_the_instance_that_leads():
    """The primary of the store's copy had been replaced before."""
    rows = pool.Store()
    first = pool.Site(3, rows)
    write_load(first, 1.0)
    fail_over(first)
    copy = rows.copy()
    first.close()
    rows.restore(copy)
    rows.nodes.clear()
    site = pool.Site(3, rows)
    # The row of the copy names an instance that does not lead here.
    row = rows.leads[pool.SERVICE]
    assert row.primary != site.group.primary().name
    began_at = site.clock.now()
    answers = write_load(site, 9.0)
    leader = site.group.primary().name
    assert rows.leads[pool.SERVICE].primary == leader
    # Another instance, which does not answer, may have been promoted since.
    assert site.tokens
    assert longest_gap_s(answers, began_at) < MAX_GAP_S
    check_commits(site, answers)
    site.close()


def test_a_row_written_in_the_wrong_belief_is_no_news(site):
    """A VM that missed the restore brought a replaced primary back.

    Its conditional write meets the version that the copy has, and gets a
    version above those of the lost rows.
    """
    write_load(site, 1.0)
    first = site.group.primary()
    fail_over(site)
    copy = site.store.copy()
    new = fail_over(site)
    restore(site, copy, outage_s=0.2)
    row = site.store.leads[pool.SERVICE]
    late = dataclasses.replace(row, primary=first.name)
    site.store.version += 50
    assert site.store.write(late, row.revision).primary == first.name
    answers = write_load(site, 8.0)
    assert site.group.primary() is new
    assert site.store.leads[pool.SERVICE].primary == new.name
    check_commits(site, answers)


def test_a_vm_with_a_newer_row_of_another_group_undoes_no_change(site):
    """A VM that had missed a change restored the old primary.

    It had received a newer row of another group, and took that for having all
    older rows.
    """
    fail_over(site)
    copy = site.store.copy()
    *others, alone = site.vms
    site.isolate(alone)
    old = site.group.primary()
    old.crashed = True
    write_load(site, 3.4, vms=others)
    new = site.group.primary()
    assert new is not old
    old.role, old.crashed = core.Role.REPLICA, False
    site.register()
    site.store.version += 1
    row = core.LeaderRow(
        core.ServiceName('other'),
        site.store.version,
        core.LeaderRowState.OPEN,
        core.InstanceName('x'),
        others[0].vm,
    )
    site.store.leads[row.service] = row
    site.run(0.3)
    rows = core.LeaderRowsRead((row,))
    site.loop.post(names.view_exchange(alone.vm), rows)
    site.cut.clear()
    site.store.restore(copy)
    # Only the VM that missed the change reaches the store for a while.
    site.store.shut = {vm.vm for vm in others}
    site.run(3.0)
    site.store.shut.clear()
    answers = write_load(site, 6.0)
    assert site.store.leads[pool.SERVICE].primary == new.name
    assert answers[-1][1].refusal is None
    check_commits(site, answers)


def test_grants_extend_no_lease_of_a_vm_whose_registration_is_lost(site):
    """A change did not wait for a VM whose lease its peers extended."""
    fail_over(site)
    copy = site.store.copy()
    late = pool.Vm(site, 'vm9', 'akhmim-yard')
    others = list(site.vms)
    site.vms.append(late)
    site.run(2.0)
    assert late.vm in site.store.nodes
    site.store.shut.add(late.vm)
    restore(site, copy, outage_s=0.5)
    site.run(6.0)
    old = site.group.primary()
    for other in others:
        site.cut.add((str(late.vm), str(other.vm)))
        site.cut.add((str(other.vm), str(old.name)))
    for _ in range(12):
        write_load(site, 0.2, vms=others)
        if site.group.primary() is not old:
            assert not late.desk.has_lease()
    assert site.group.primary() is not old


def test_a_group_without_instances_gets_no_endless_change(site):
    """A VM that replaced a primary among no instances granted nothing."""
    fail_over(site)
    copy = site.store.copy()
    site.entries[:] = []
    site.store.version += 1
    site.run(5.0)
    *others, silent = site.vms
    site.isolate(silent)
    restore(site, copy)
    site.run(10.0)
    idle = core.HandoverState.IDLE
    assert {vm.handover_state() for vm in others} == {idle}
    row = site.store.leads[pool.SERVICE]
    assert core.era_of(row.revision) == site.store.era


def test_a_fence_of_an_earlier_era_is_not_confirmed(site):
    """A fence was confirmed though its primary stayed in use."""
    fail_over(site)
    copy = site.store.copy()
    restore(site, copy)
    site.run(3.0)
    vm = site.vms[0]
    row = dataclasses.replace(
        copy.leads[pool.SERVICE],
        revision=copy.version + 50,
        state=core.LeaderRowState.CLOSING,
        coordinator=site.vms[1].vm,
    )
    fence = core.FencePrimary(site.vms[1].vm, row, 0.0)
    site.sent.clear()
    site.loop.post(names.primary_manager(vm.vm), fence)
    site.run(0.5)
    assert not [
        message
        for _, message in site.sent
        if isinstance(message, core.PrimaryFenced)
    ]


def test_vms_of_an_older_release_grant_leases(site):
    """Among VMs of an older release, which name no era, leases ended."""
    site.names_no_era = True
    write_load(site, 1.0)
    site.store.down = True
    answers = write_load(site, 6.0)
    assert [answer.refusal for _, answer in answers] == [None] * len(answers)


def test_a_primary_is_replaced_soon_after_a_restore(site):
    """Each change waited for the time of a lease after a restore (4.9 s)."""
    fail_over(site)
    copy = site.store.copy()
    fail_over(site)
    restore(site, copy, outage_s=0.3)
    write_load(site, 0.6)
    began_at = site.clock.now()
    site.group.primary().crashed = True
    answers = write_load(site, 4.0)
    assert longest_gap_s(answers, began_at) < SHORT_GAP_S
    check_commits(site, answers)


def test_a_coordinator_whose_claim_is_lost_goes_on_at_once(site):
    """It repeated the claim on the lost version for 2.3 s (6.6 s without)."""
    fail_over(site)
    copy = site.store.copy()
    site.group.primary().crashed = True
    began_at = site.clock.now()
    callers = [vm.caller(PRIMARY) for vm in site.vms]
    for caller in callers:
        caller.ask(write())
    while site.store.version == copy.version:
        site.run(0.01)
    site.store.leads.pop(pool.SERVICE)
    lost = pool.StoreCopy(copy.version, {}, copy.nodes)
    restore(site, lost, outage_s=0.2)
    answers = write_load(site, 6.0)
    assert longest_gap_s(answers, began_at) < SHORT_GAP_S
    check_commits(site, answers)
    check_tokens(site)
