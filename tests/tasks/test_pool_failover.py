"""Changes of primary under faults, with the real tasks of several VMs.

The store, the instances and the network between VMs are stand-ins.
"""

from __future__ import annotations

import dataclasses

import pytest

import pool_sites
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.tasks import names
from chicoryusher_standins import pool

Verb = core.Verb
Refusal = core.Refusal
PRIMARY = core.ReadAccess.PRIMARY
# Accepted time from the failure of a primary to the next successful write.
MAX_GAP_S = 5.0
read, write = pool_sites.read, pool_sites.write
write_load = pool_sites.write_load


@pytest.fixture
def site():
    with pool_sites.checked_site(4) as new_site:
        yield new_site


def check_commits(site, answers):
    """Check that no refused write was committed, and none committed twice."""
    committed = {commit.request_id: commit for commit in site.group.commits}
    for _, answer in answers:
        if answer.refusal in (Refusal.BUSY, Refusal.ABORTED):
            assert answer.request_id not in committed
    ids = [commit.request_id for commit in site.group.commits]
    assert len(set(ids)) == len(ids)


def check_terms(site, answers):
    """Check that no replaced primary committed an acknowledged write."""
    newest = 0
    acked = {
        answer.request_id for _, answer in answers if answer.refusal is None
    }
    for commit in site.group.commits:
        newest = max(newest, commit.position.term)
        if commit.request_id in acked:
            assert commit.position.term == newest


def successes_after(answers, when):
    return [
        asked_at
        for asked_at, answer in answers
        if answer.refusal is None and asked_at > when
    ]


@pytest.mark.parametrize('fault', ['dark', 'crashed'])
def test_a_failed_primary_is_replaced_within_the_maximum_gap(site, fault):
    write_load(site, 1.0)
    broken_at = site.clock.now()
    old = site.group.primary()
    setattr(old, fault, True)
    answers = write_load(site, 4.0)
    assert site.group.primary() is not old
    assert min(successes_after(answers, broken_at)) - broken_at < MAX_GAP_S
    check_commits(site, answers)
    check_terms(site, answers)


def test_a_primary_that_only_one_vm_cannot_reach_is_not_replaced(site):
    old = site.group.primary()
    write_load(site, 1.0)
    site.cut.add((str(site.vms[0].vm), str(old.name)))
    write_load(site, 3.0)
    assert site.group.primary() is old
    assert site.tokens == []


def test_a_leaving_primary_is_replaced_without_losing_a_commit(site):
    write_load(site, 1.0)
    old = site.group.primary()
    old.entry = dataclasses.replace(old.entry, leaving=True)
    site.register()
    answers = write_load(site, 3.0)
    new = site.group.primary()
    assert new is not old
    check_commits(site, answers)
    check_terms(site, answers)
    acked = [answer for _, answer in answers if answer.refusal is None]
    assert new.received >= len(acked)


def test_a_view_keeps_its_age_when_it_is_passed_on(site):
    """Receiving a view from a peer must not make an old view look new."""
    site.store.down = True
    site.isolate(site.vms[3])
    site.run(30.0)
    for vm in site.vms[:3]:
        assert vm.view_age(core.StoreView.INSTANCES) > 25.0


def test_a_leaving_primary_serves_until_the_new_primary_serves(site):
    write_load(site, 0.5)
    old = site.group.primary()
    old.entry = dataclasses.replace(old.entry, leaving=True)
    site.register()
    start = site.clock.now()
    answers = write_load(site, 2.0, step=0.02)
    refused = [answer for _, answer in answers if answer.refusal is not None]
    assert len(refused) <= len(answers) // 100
    assert site.group.primary() is not old
    assert successes_after(answers, start)


def test_an_isolated_vm_has_no_lease_at_the_promotion(site):
    write_load(site, 1.0)
    isolated = site.vms[3]
    site.isolate(isolated)
    old = site.group.primary()
    for vm in site.vms[:3]:
        site.cut.add((str(vm.vm), str(old.name)))
    start = site.clock.now()
    answers = write_load(site, 9.0)
    assert site.group.primary() is not old
    check_terms(site, answers)
    successes = successes_after(
        answers, start + decisions.LEASE_EXPIRY_WAIT_S + 2.0
    )
    assert successes
    assert not isolated.desk.has_lease()


def test_an_isolated_vm_refuses_writes_and_commits_none(site):
    write_load(site, 1.0)
    isolated = site.vms[3]
    site.isolate(isolated)
    site.run(decisions.LEASE_DURATION_S + 0.5)
    caller = isolated.caller(PRIMARY)
    request_id = caller.ask(write())
    site.run(1.0)
    assert caller.last.refusal is Refusal.BUSY
    assert all(
        commit.request_id != request_id for commit in site.group.commits
    )


def test_a_suspended_vm_has_no_lease_when_it_resumes(site):
    write_load(site, 1.0)
    site.clock.suspend(decisions.LEASE_DURATION_S + 1.0)
    assert not site.vms[0].desk.has_lease()
    site.run(1.5)
    assert site.vms[0].desk.has_lease()


def test_a_short_store_outage_refuses_no_writes(site):
    write_load(site, 1.0)
    site.store.down = True
    answers = write_load(site, 3.0)
    assert all(answer.refusal is None for _, answer in answers)


def test_grants_extend_the_lease_through_a_long_store_outage(site):
    write_load(site, 1.0)
    site.store.down = True
    site.run(decisions.LEASE_DURATION_S * 3)
    assert all(vm.desk.has_lease() for vm in site.vms)
    answers = write_load(site, 1.0)
    assert all(answer.refusal is None for _, answer in answers)


def test_without_the_grant_of_every_vm_the_lease_expires(site):
    write_load(site, 1.0)
    site.store.down = True
    site.isolate(site.vms[3])
    site.run(decisions.LEASE_DURATION_S + 1.0)
    assert not any(vm.desk.has_lease() for vm in site.vms)
    site.store.down = False
    site.run(2.0)
    assert all(vm.desk.has_lease() for vm in site.vms[:3])


def test_a_vm_marked_as_missing_does_not_delay_a_change_of_primary(site):
    write_load(site, 0.5)
    gone = site.vms[3]
    site.isolate(gone)
    site.run(15.0)
    assert site.store.nodes[gone.vm].unreachable
    broken_at = site.clock.now()
    site.group.primary().crashed = True
    answers = write_load(site, 3.0, site.vms[:3])
    assert min(successes_after(answers, broken_at)) - broken_at < 1.5


def test_a_missing_vm_that_comes_back_registers_again(site):
    gone = site.vms[3]
    site.isolate(gone)
    site.run(12.0)
    site.cut.clear()
    site.store.shut.clear()
    site.run(3.0)
    assert not site.store.nodes[gone.vm].unreachable
    assert gone.desk.has_lease()


STEPS = [
    core.HandoverState.CLAIMING,
    core.HandoverState.FENCING,
    core.HandoverState.CHOOSING,
    core.HandoverState.PROMOTING,
    core.HandoverState.CONFIRMING,
    core.HandoverState.OPENING,
]


@pytest.mark.parametrize('step', STEPS, ids=lambda candidate: candidate.value)
def test_the_change_of_an_isolated_coordinator_is_taken_over(site, step):
    write_load(site, 0.5)
    broken_at = site.clock.now()
    site.group.primary().crashed = True
    for vm in site.vms:
        vm.caller(PRIMARY).ask(write())
    coordinator = None
    for _ in range(4000):
        site.run(0.001)
        coordinator = next(
            (
                candidate
                for candidate in site.vms
                if candidate.handover_state() is step
            ),
            None,
        )
        if coordinator is not None:
            break
    assert coordinator is not None
    site.isolate(coordinator)
    others = [
        candidate for candidate in site.vms if candidate is not coordinator
    ]
    answers = write_load(site, 10.0, others)
    successes = successes_after(answers, broken_at)
    assert min(successes) - broken_at < decisions.LEASE_EXPIRY_WAIT_S + 4.5
    check_terms(site, answers)
    check_commits(site, answers)


def test_a_claim_whose_store_answer_is_lost_is_resolved(site):
    write_load(site, 1.0)
    site.store.lose_answers = True
    old = site.group.primary()
    old.crashed = True
    write_load(site, 0.8)
    site.store.lose_answers = False
    answers = write_load(site, 4.0)
    assert site.group.primary() is not old
    check_commits(site, answers)


def test_tokens_only_rise_and_each_has_one_coordinator(site):
    for _ in range(3):
        write_load(site, 0.5)
        old = site.group.primary()
        old.crashed = True
        site.register()
        write_load(site, 4.0)
        old.crashed = False
        old.role = core.Role.REPLICA
        old.received = old.applied = 0
        site.group.replicate()
        site.register()
    tokens = [token for _, token in site.tokens]
    assert tokens == sorted(tokens)
    coordinators = {}
    for coordinator, token in site.tokens:
        assert coordinators.setdefault(token, coordinator) == coordinator


def test_a_promotion_whose_answer_is_lost_is_looked_up(site):
    write_load(site, 0.5)
    for vm in site.vms:
        vm.promotions.lose_answers = True
    old = site.group.primary()
    old.crashed = True
    answers = write_load(site, 5.0)
    assert site.group.primary() is not old
    assert successes_after(answers, site.clock.now() - 3.0)


def test_the_replica_that_received_most_is_promoted(site):
    write_load(site, 0.5)
    names = list(site.group.instances)
    site.group.instances[names[1]].deaf = True
    write_load(site, 0.5)
    site.group.primary().crashed = True
    write_load(site, 3.0)
    assert site.group.primary().name == names[2]


# -- rows of entry VMs: which VMs a change of primary waits for -----------


def drain(site, vm):
    for task in (names.primary_manager(vm.vm), names.view_exchange(vm.vm)):
        site.loop.post(task, core.Drain(6.0))


def test_a_change_of_primary_waits_until_a_leaving_vm_has_no_lease(site):
    """It may use the old primary until its grace period ends."""
    leaving = site.vms[0]
    drain(site, leaving)
    site.run(1.0)
    site.vms.append(pool.Vm(site, 'vm7', 'akhmim-yard'))
    site.run(1.0)
    row = site.store.nodes[leaving.vm]
    assert row.status is core.EntryVmStatus.LEAVING
    assert leaving.desk.has_lease()
    site.isolate(leaving)
    old = site.group.primary()
    old.dark = True
    while not site.tokens:
        write_load(site, 0.1, site.vms[1:])
    assert not leaving.desk.has_lease()


def test_a_vm_that_has_left_is_registered_as_left_without_a_lease(site):
    gone = site.vms[0]
    drain(site, gone)
    site.run(1.0)
    site.loop.post(names.view_exchange(gone.vm), core.VmStopping())
    site.run(1.0)
    assert site.store.nodes[gone.vm].status is core.EntryVmStatus.LEFT
    assert not gone.desk.has_lease()


def test_a_vm_is_not_registered_as_left_over_an_unexpected_row(site):
    """The next incarnation of the VM may already rely on that row.

    The store did not accept the row that registers this VM as leaving, so
    the stored row is not the one that this VM expects.
    """
    gone = site.vms[0]
    site.store.read_only = True
    drain(site, gone)
    site.run(1.0)
    site.store.read_only = False
    site.loop.post(names.view_exchange(gone.vm), core.VmStopping())
    site.run(1.0)
    assert site.store.nodes[gone.vm].status is not core.EntryVmStatus.LEFT
    assert not gone.desk.has_lease()


@pytest.mark.parametrize(
    ('changes', 'counts'),
    [
        ({}, True),
        ({'status': core.EntryVmStatus.LEAVING}, False),
        ({'status': core.EntryVmStatus.LEFT}, False),
        ({'unreachable': True}, False),
        ({'host': '10.9.9.9'}, False),
    ],
)
def test_a_restarted_vm_has_a_lease_by_its_old_row_if_that_served(
    site, changes, counts
):
    """After a power loss the store may be readable but not writable."""
    past = dataclasses.replace(
        site.vms[0].row, vm=core.VmName('vm9'), incarnation='b0', **changes
    )
    site.store.nodes[past.vm] = past
    site.store.version += 1
    site.store.read_only = True
    restarted = pool.Vm(site, 'vm9', 'akhmim-yard')
    site.run(2.0)
    assert restarted.desk.has_lease() is counts
    site.store.read_only = False
    site.run(2.0)
    assert restarted.desk.has_lease()
    assert site.store.nodes[past.vm] == restarted.row


def test_a_vm_that_starts_during_a_change_waits_for_the_primary(site):
    """Restarts and a change of primary at once: a new VM sees no primary.

    Its first statement must wait for the change to end, not be refused.
    """
    primary = site.group.primary().name
    closing = core.LeaderRow(
        pool.SERVICE,
        0,
        core.LeaderRowState.CLOSING,
        primary,
        core.VmName('vm5'),
    )
    row = site.store.write(closing, 0)
    started = pool.Vm(site, 'vm9', 'akhmim-yard')
    site.run(0.5)
    caller = started.caller(PRIMARY)
    caller.ask(write())
    site.run(0.3)
    assert caller.answers == []
    site.store.write(
        dataclasses.replace(closing, state=core.LeaderRowState.OPEN),
        row.revision,
    )
    site.run(0.3)
    assert caller.last.refusal is None


# -- which VMs may decide that a primary has failed ------------------------


def cut_from_peers(site, vm):
    """Cut a VM off from its peers; it still reaches the store."""
    for other in site.vms:
        site.cut.add((str(vm.vm), str(other.vm)))


def test_a_vm_isolated_by_a_partition_replaces_no_primary(site):
    """The other VMs still use the primary, so its commits must stay."""
    alone, primary = site.vms[0], site.group.primary()
    write_load(site, 1.0)
    cut_from_peers(site, alone)
    site.cut.add((str(alone.vm), str(primary.name)))
    site.run(3.0)
    answers = write_load(site, 8.0)
    assert site.tokens == []
    assert site.group.primary() is primary
    check_commits(site, answers)
    served = [answer for _, answer in answers if answer.refusal is None]
    assert len(served) > len(answers) / 2


def test_the_last_vm_replaces_a_primary_that_failed_with_most_vms(site):
    """Most VMs and the primary fail at the same moment, permanently."""
    write_load(site, 1.0)
    lost, remaining = site.vms[:3], site.vms[3:]
    for vm in lost:
        site.isolate(vm)
        for name in site.group.instances:
            site.cut.add((str(vm.vm), str(name)))
    old = site.group.primary()
    old.dark = True
    answers = write_load(site, 14.0, remaining)
    assert site.group.primary() is not old
    check_terms(site, answers)
    assert answers[-1][1].refusal is None


@pytest.mark.parametrize('alone', [0, 1, 2, 3])
def test_an_isolated_vm_leaves_a_planned_change_to_the_others(site, alone):
    """It would have to wait until the leases of all others expire."""
    write_load(site, 1.0)
    cut_from_peers(site, site.vms[alone])
    site.run(3.0)
    old = site.group.primary()
    old.entry = dataclasses.replace(old.entry, leaving=True)
    site.register()
    write_load(site, 7.0)
    assert site.group.primary() is not old
    coordinators = {coordinator for coordinator, _ in site.tokens}
    assert site.vms[alone].vm not in coordinators


def test_a_restarted_coordinator_continues_its_change_at_once(site):
    """All power is lost while a primary is being replaced."""
    old = site.group.primary()
    closing = core.LeaderRow(
        pool.SERVICE,
        0,
        core.LeaderRowState.CLOSING,
        old.name,
        core.VmName('vm9'),
    )
    old.dark = True
    site.store.write(closing, 0)
    pool.Vm(site, 'vm9', 'akhmim-yard')
    site.run(2.0)
    assert [coordinator for coordinator, _ in site.tokens] == ['vm9']
    assert site.group.primary() is not old


def test_a_successor_that_never_catches_up_is_waited_for_once(site):
    """Each renewal of the claim began the wait anew: 12.9 s, no end."""
    write_load(site, 1.0)
    old = site.group.primary()
    for item in site.group.instances.values():
        item.deaf = item is not old
    write_load(site, 1.0)
    leaving_at = site.clock.now()
    old.entry = dataclasses.replace(old.entry, leaving=True)
    site.register()
    answers = write_load(site, 6.0)
    assert site.group.primary() is not old
    assert min(successes_after(answers, leaving_at + 2.0)) < (
        leaving_at + MAX_GAP_S
    )


def test_a_replica_that_lacks_acknowledged_commits_is_not_promoted(site):
    """Guards against LOST: the other replica answers its status late."""
    service = dataclasses.replace(pool.CONFIG.services[0], sync_replicas=1)
    site.store.config = dataclasses.replace(
        pool.CONFIG, version=core.ConfigVersion(2), services=(service,)
    )
    write_load(site, 1.0)
    old = site.group.primary()
    complete, deaf = (
        instance
        for instance in site.group.instances.values()
        if instance is not old
    )
    deaf.deaf = True
    write_load(site, 1.0)
    complete.backlogged = True
    old.crashed = True
    write_load(site, 4.0)
    assert not site.tokens
    complete.backlogged = False
    answers = write_load(site, 4.0)
    assert site.group.primary() is complete
    check_commits(site, answers)
    check_terms(site, answers)
