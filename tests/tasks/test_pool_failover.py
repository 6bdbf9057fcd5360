"""Changes of primary under faults, with the real tasks of several VMs."""

from __future__ import annotations

import dataclasses

import logbook
import pytest

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.tasks import names
from chicoryusher_standins import pool

Verb = core.Verb
Refusal = core.Refusal
PRIMARY = core.Access.PRIMARY
BOUND = 5.0


def read():
    return core.Statement(Verb.READ, 'READ 1a4', '1a4')


def write():
    return core.Statement(Verb.WRITE, 'WRITE 1a4 x', '1a4', 'x')


@pytest.fixture
def site():
    with logbook.TestHandler() as handler:
        made = pool.Site(4)
        yield made
        made.close()
    failed = core.LogEvent.TASK_FAILED.number
    assert all(one.extra['number'] != failed for one in handler.records)


def load(site, seconds, vms=None, step=0.1):
    """Write from every VM each ``step``; return the callers' answers."""
    answers = []
    callers = []
    for _ in range(round(seconds / step)):
        for vm in vms or site.vms:
            caller = vm.caller(PRIMARY)
            caller.ask(write())
            callers.append((site.clock.now(), caller))
        site.run(step)
    site.run(1.5)
    for when, caller in callers:
        if caller.answers:
            answers.append((when, caller.last))
    return answers


def check_promises(site, answers):
    """No ack is missing from the log that leads; no refusal has landed."""
    landed = {one.request_id: one for one in site.group.commits}
    for _, answer in answers:
        if answer.refusal in (Refusal.BUSY, Refusal.ABORTED):
            assert answer.request_id not in landed
    ids = [one.request_id for one in site.group.commits]
    assert len(set(ids)) == len(ids)


def check_terms(site, answers):
    """No write is acknowledged by an instance that was replaced."""
    newest = 0
    acked = {
        answer.request_id for _, answer in answers if answer.refusal is None
    }
    for one in site.group.commits:
        newest = max(newest, one.position.term)
        if one.request_id in acked:
            assert one.position.term == newest


def good_after(answers, when):
    return [
        at for at, answer in answers if answer.refusal is None and at > when
    ]


@pytest.mark.parametrize('fault', ['dark', 'crashed'])
def test_a_dead_primary_is_replaced_within_the_bound(site, fault):
    load(site, 1.0)
    broken_at = site.clock.now()
    old = site.group.primary()
    setattr(old, fault, True)
    answers = load(site, 4.0)
    assert site.group.primary() is not old
    assert min(good_after(answers, broken_at)) - broken_at < BOUND
    check_promises(site, answers)
    check_terms(site, answers)


def test_a_slow_or_cut_minority_replaces_nobody(site):
    old = site.group.primary()
    load(site, 1.0)
    site.cut.add((str(site.vms[0].vm), str(old.name)))
    load(site, 3.0)
    assert site.group.primary() is old
    assert site.tokens == []


def test_a_leaving_primary_hands_over_without_losing_a_commit(site):
    load(site, 1.0)
    old = site.group.primary()
    old.entry = dataclasses.replace(old.entry, leaving=True)
    site.register()
    answers = load(site, 3.0)
    new = site.group.primary()
    assert new is not old
    check_promises(site, answers)
    check_terms(site, answers)
    acked = [one for _, one in answers if one.refusal is None]
    assert new.received >= len(acked)


def test_a_view_keeps_its_age_when_it_is_passed_on(site):
    """A view that nobody renews looks no younger to those it reaches."""
    site.store.down = True
    site.isolate(site.vms[3])
    site.run(30.0)
    for vm in site.vms[:3]:
        assert vm.view_age(core.StoreView.INSTANCES) > 25.0


def test_a_leaving_primary_serves_until_its_successor_does(site):
    load(site, 0.5)
    old = site.group.primary()
    old.entry = dataclasses.replace(old.entry, leaving=True)
    site.register()
    start = site.clock.now()
    answers = load(site, 2.0, step=0.02)
    refused = [one for _, one in answers if one.refusal is not None]
    assert len(refused) <= len(answers) // 100
    assert site.group.primary() is not old
    assert good_after(answers, start)


def test_a_silent_vm_has_lost_its_authority_before_the_promotion(site):
    load(site, 1.0)
    silent = site.vms[3]
    site.isolate(silent)
    old = site.group.primary()
    for vm in site.vms[:3]:
        site.cut.add((str(vm.vm), str(old.name)))
    start = site.clock.now()
    answers = load(site, 9.0)
    assert site.group.primary() is not old
    check_terms(site, answers)
    good = good_after(answers, start + decisions.LAPSE_WAIT + 2.0)
    assert good
    assert not silent.desk.authority()


def test_a_silent_vm_is_told_nothing_false(site):
    load(site, 1.0)
    silent = site.vms[3]
    site.isolate(silent)
    site.run(decisions.LAPSE + 0.5)
    caller = silent.caller(PRIMARY)
    request_id = caller.ask(write())
    site.run(1.0)
    assert caller.last.refusal is Refusal.BUSY
    assert all(one.request_id != request_id for one in site.group.commits)


def test_a_suspended_vm_has_no_authority_when_it_wakes(site):
    load(site, 1.0)
    site.clock.suspend(decisions.LAPSE + 1.0)
    assert not site.vms[0].desk.authority()
    site.run(1.5)
    assert site.vms[0].desk.authority()


def test_the_store_may_be_down_for_a_while(site):
    load(site, 1.0)
    site.store.down = True
    answers = load(site, 3.0)
    assert all(answer.refusal is None for _, answer in answers)


def test_grants_carry_authority_through_a_long_outage(site):
    load(site, 1.0)
    site.store.down = True
    site.run(decisions.LAPSE * 3)
    assert all(vm.desk.authority() for vm in site.vms)
    answers = load(site, 1.0)
    assert all(answer.refusal is None for _, answer in answers)


def test_without_a_silent_vms_grant_authority_lapses(site):
    load(site, 1.0)
    site.store.down = True
    site.isolate(site.vms[3])
    site.run(decisions.LAPSE + 1.0)
    assert not any(vm.desk.authority() for vm in site.vms)
    site.store.down = False
    site.run(2.0)
    assert all(vm.desk.authority() for vm in site.vms[:3])


def test_a_vm_that_is_gone_for_good_holds_nothing_up(site):
    load(site, 0.5)
    gone = site.vms[3]
    site.isolate(gone)
    site.run(15.0)
    assert site.store.nodes[gone.vm].missing
    broken_at = site.clock.now()
    site.group.primary().crashed = True
    answers = load(site, 3.0, site.vms[:3])
    assert min(good_after(answers, broken_at)) - broken_at < 1.5


def test_a_vm_that_comes_back_registers_again(site):
    gone = site.vms[3]
    site.isolate(gone)
    site.run(12.0)
    site.cut.clear()
    site.store.shut.clear()
    site.run(3.0)
    assert not site.store.nodes[gone.vm].missing
    assert gone.desk.authority()


STEPS = [
    core.HandoverState.CLAIMING,
    core.HandoverState.FENCING,
    core.HandoverState.CHOOSING,
    core.HandoverState.PROMOTING,
    core.HandoverState.CONFIRMING,
    core.HandoverState.OPENING,
]


@pytest.mark.parametrize('step', STEPS, ids=lambda one: one.value)
def test_a_holder_that_falls_silent_is_taken_over(site, step):
    load(site, 0.5)
    broken_at = site.clock.now()
    site.group.primary().crashed = True
    for vm in site.vms:
        vm.caller(PRIMARY).ask(write())
    holder = None
    for _ in range(4000):
        site.run(0.001)
        holder = next(
            (one for one in site.vms if one.handover_state() is step), None
        )
        if holder is not None:
            break
    assert holder is not None
    site.isolate(holder)
    rest = [one for one in site.vms if one is not holder]
    answers = load(site, 10.0, rest)
    good = good_after(answers, broken_at)
    assert min(good) - broken_at < decisions.LAPSE_WAIT + 4.5
    check_terms(site, answers)
    check_promises(site, answers)


def test_a_lost_answer_of_the_claim_is_settled(site):
    load(site, 1.0)
    site.store.lose_answers = True
    old = site.group.primary()
    old.crashed = True
    load(site, 0.8)
    site.store.lose_answers = False
    answers = load(site, 4.0)
    assert site.group.primary() is not old
    check_promises(site, answers)


def test_tokens_only_rise_and_each_has_one_holder(site):
    for _ in range(3):
        load(site, 0.5)
        old = site.group.primary()
        old.crashed = True
        site.register()
        load(site, 4.0)
        old.crashed = False
        old.role = core.Role.REPLICA
        old.received = old.applied = 0
        site.group.replicate()
        site.register()
    tokens = [token for _, token in site.tokens]
    assert tokens == sorted(tokens)
    holders = {}
    for holder, token in site.tokens:
        assert holders.setdefault(token, holder) == holder


def test_a_lost_answer_of_the_promotion_is_looked_up(site):
    load(site, 0.5)
    for vm in site.vms:
        vm.promotions.lose_answers = True
    old = site.group.primary()
    old.crashed = True
    answers = load(site, 5.0)
    assert site.group.primary() is not old
    assert good_after(answers, site.clock.now() - 3.0)


def test_the_instance_that_received_most_takes_over(site):
    load(site, 0.5)
    names = list(site.group.instances)
    site.group.instances[names[1]].deaf = True
    load(site, 0.5)
    site.group.primary().crashed = True
    load(site, 3.0)
    assert site.group.primary().name == names[2]


# -- rows of entry VMs: who is waited for by a change of primary ----------


def drain(site, vm):
    for task in (names.keeper(vm.vm), names.exchange(vm.vm)):
        site.loop.post(task, core.Drain(6.0))


def test_a_leaving_vm_is_waited_for_until_it_uses_no_primary(site):
    """It may still use the old primary for as long as its grace lasts."""
    leaving = site.vms[0]
    drain(site, leaving)
    site.run(1.0)
    site.vms.append(pool.Vm(site, 'vm7', 'akhmim-yard'))
    site.run(1.0)
    row = site.store.nodes[leaving.vm]
    assert row.life is core.NodeLife.LEAVING
    assert leaving.desk.authority()
    site.isolate(leaving)
    old = site.group.primary()
    old.dark = True
    while not site.tokens:
        load(site, 0.1, site.vms[1:])
    assert not leaving.desk.authority()


def test_a_vm_that_has_left_is_not_waited_for_and_uses_nothing(site):
    gone = site.vms[0]
    drain(site, gone)
    site.run(1.0)
    site.loop.post(names.exchange(gone.vm), core.Leave())
    site.run(1.0)
    assert site.store.nodes[gone.vm].life is core.NodeLife.LEFT
    assert not gone.desk.authority()


def test_a_vm_leaves_no_mark_over_a_row_that_is_not_its_last(site):
    """The next life may count on that row already."""
    gone = site.vms[0]
    site.store.read_only = True
    drain(site, gone)
    site.run(1.0)
    site.store.read_only = False
    site.loop.post(names.exchange(gone.vm), core.Leave())
    site.run(1.0)
    assert site.store.nodes[gone.vm].life is not core.NodeLife.LEFT
    assert not gone.desk.authority()


@pytest.mark.parametrize(
    ('changes', 'counts'),
    [
        ({}, True),
        ({'life': core.NodeLife.LEAVING}, False),
        ({'life': core.NodeLife.LEFT}, False),
        ({'missing': True}, False),
        ({'host': '10.9.9.9'}, False),
    ],
)
def test_a_restart_counts_on_the_row_of_its_past_life_if_that_served(
    site, changes, counts
):
    """The store may show rows and take none, as after a loss of power."""
    past = dataclasses.replace(
        site.vms[0].row, vm=core.VmName('vm9'), boot='b0', **changes
    )
    site.store.nodes[past.vm] = past
    site.store.version += 1
    site.store.read_only = True
    again = pool.Vm(site, 'vm9', 'akhmim-yard')
    site.run(2.0)
    assert again.desk.authority() is counts
    site.store.read_only = False
    site.run(2.0)
    assert again.desk.authority()
    assert site.store.nodes[past.vm] == again.row


def test_a_vm_that_starts_during_a_change_waits_for_the_primary(site):
    """Pattern: restarts and a failover at once; the primary is near."""
    primary = site.group.primary().name
    closing = core.LeadRow(
        pool.SERVICE,
        0,
        core.LeadRowState.CLOSING,
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
        dataclasses.replace(closing, state=core.LeadRowState.OPEN),
        row.revision,
    )
    site.run(0.3)
    assert caller.last.refusal is None


# -- who may find that a primary is gone -----------------------------------


def part_from_peers(site, vm):
    """Cut a VM off from its peers; it still reaches the store."""
    for other in site.vms:
        site.cut.add((str(vm.vm), str(other.vm)))


def test_a_vm_alone_in_a_partition_replaces_nobody(site):
    """Most VMs still use the primary; its commits must not be rolled back."""
    alone, primary = site.vms[0], site.group.primary()
    load(site, 1.0)
    part_from_peers(site, alone)
    site.cut.add((str(alone.vm), str(primary.name)))
    site.run(3.0)
    answers = load(site, 8.0)
    assert site.tokens == []
    assert site.group.primary() is primary
    check_promises(site, answers)
    served = [one for _, one in answers if one.refusal is None]
    assert len(served) > len(answers) / 2


def test_what_is_left_of_the_vms_replaces_a_primary_that_died_too(site):
    """Most VMs and the primary are lost at one moment, for good."""
    load(site, 1.0)
    lost, left = site.vms[:3], site.vms[3:]
    for vm in lost:
        site.isolate(vm)
        for name in site.group.instances:
            site.cut.add((str(vm.vm), str(name)))
    old = site.group.primary()
    old.dark = True
    answers = load(site, 14.0, left)
    assert site.group.primary() is not old
    check_terms(site, answers)
    assert answers[-1][1].refusal is None


@pytest.mark.parametrize('alone', [0, 1, 2, 3])
def test_a_vm_alone_leaves_a_planned_change_to_the_others(site, alone):
    """It would have to wait for every one of them to lapse."""
    load(site, 1.0)
    part_from_peers(site, site.vms[alone])
    site.run(3.0)
    old = site.group.primary()
    old.entry = dataclasses.replace(old.entry, leaving=True)
    site.register()
    load(site, 7.0)
    assert site.group.primary() is not old
    holders = {holder for holder, _ in site.tokens}
    assert site.vms[alone].vm not in holders


def test_a_holder_that_starts_again_goes_on_with_its_change_at_once(site):
    """Pattern: all power is lost while a primary is being replaced."""
    old = site.group.primary()
    closing = core.LeadRow(
        pool.SERVICE,
        0,
        core.LeadRowState.CLOSING,
        old.name,
        core.VmName('vm9'),
    )
    old.dark = True
    site.store.write(closing, 0)
    pool.Vm(site, 'vm9', 'akhmim-yard')
    site.run(2.0)
    assert [holder for holder, _ in site.tokens] == ['vm9']
    assert site.group.primary() is not old
