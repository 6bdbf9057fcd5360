"""Decisions on evidence from instances, without tasks or a network."""

from __future__ import annotations

import pytest

from chicoryusher import core
from chicoryusher import decisions

PROVED = core.EvidenceVerdict.PROVED
PENDING = core.EvidenceVerdict.PENDING
REFUTED = core.EvidenceVerdict.REFUTED
PRIMARY = core.InstanceName('p')
FIRST = core.InstanceName('r1')
SECOND = core.InstanceName('r2')
TERM = core.Term(3)
VM = core.VmName('vm1')
# The list of instances is confirmed once a second in these tests.
LEASE_END = 100.0


def position(term, number):
    return core.Position(core.Term(term), core.LogPosition(number))


def state(term=3, number=7, role=core.Role.REPLICA):
    at = position(term, number)
    return core.InstanceState(role, core.Term(term), at, at)


@pytest.mark.parametrize(
    ('second', 'verdict'),
    [
        (state(), PROVED),
        (None, PENDING),
        (state(term=2, number=9), PENDING),
        (state(number=6), PENDING),
        (state(term=4), REFUTED),
        (state(role=core.Role.PRIMARY), REFUTED),
        (state(term=4, role=core.Role.PRIMARY), REFUTED),
    ],
)
def test_a_commit_needs_every_replica_in_its_term_with_it(second, verdict):
    states = {FIRST: state()}
    if second is not None:
        states[SECOND] = second
    judged = decisions.judge_statuses(
        (FIRST, SECOND), states, TERM, position(3, 7)
    )
    assert judged is verdict


def test_a_read_does_not_need_the_replicas_to_have_its_position():
    states = {FIRST: state(number=1), SECOND: state(number=2)}
    judged = decisions.judge_statuses((FIRST, SECOND), states, TERM, None)
    assert judged is PROVED


def witness_list(until=LEASE_END, since=50):
    witnesses = decisions.WitnessList()
    witnesses.update((PRIMARY, FIRST, SECOND), since)
    for second in range(since, int(until) + 1):
        witnesses.confirm(float(second))
    return witnesses


def test_a_list_serves_for_some_time_after_the_lease():
    witnesses = witness_list()
    assert witnesses.serves(LEASE_END, LEASE_END + 1.0)
    assert witnesses.serves(LEASE_END, LEASE_END + decisions.EVIDENCE_S)
    late = LEASE_END + decisions.EVIDENCE_S + 0.1
    assert not witnesses.serves(LEASE_END, late)


@pytest.mark.parametrize(
    ('until', 'since'),
    [
        # Confirmed for the last time too long before the end of the lease.
        (90, 50),
        # The VM has just started: an instance may have been away till now.
        (100, 97),
    ],
)
def test_a_list_that_may_lack_an_instance_does_not_serve(until, since):
    witnesses = witness_list(until, since)
    assert not witnesses.serves(LEASE_END, LEASE_END + 1.0)


def test_a_replica_that_left_the_list_shortly_before_must_still_be_asked():
    witnesses = witness_list(90)
    witnesses.update((PRIMARY, SECOND), 90.0)
    assert witnesses.replicas(PRIMARY, LEASE_END) == {FIRST, SECOND}
    assert witnesses.replicas(PRIMARY, LEASE_END + 60.0) == {SECOND}


def known_instances():
    known = decisions.KnownInstances()
    known.update((PRIMARY, FIRST), 10, 0.0)
    known.confirm(0.0, 0.0)
    return known


def confirm_until(known, seconds, since=0):
    for second in range(since, seconds + 1):
        known.confirm(float(second), float(second))


def test_an_instance_that_is_registered_for_long_is_in_every_list():
    known = known_instances()
    confirm_until(known, 20)
    known.update((PRIMARY, FIRST, SECOND), 11, 20.0)
    confirm_until(known, 40, since=21)
    listings = known.listings((), 40.0)
    assert decisions.is_in_lists(FIRST, {VM}, listings)
    assert not decisions.is_in_lists(SECOND, {VM}, listings)


@pytest.mark.parametrize(
    ('shown', 'is_listed'), [(11, True), (10, False), (None, False)]
)
def test_a_new_instance_is_listed_by_a_vm_that_has_shown_so(shown, is_listed):
    known = known_instances()
    known.update((PRIMARY, FIRST, SECOND), 11, 1.0)
    lists = () if shown is None else (core.ShownList(VM, shown),)
    listings = known.listings(lists, 1.0)
    assert decisions.is_in_lists(SECOND, {VM}, listings) is is_listed
    assert decisions.is_in_lists(SECOND, (), listings)


def test_a_list_of_a_restored_store_may_lack_an_instance():
    """The store has come back older, and counts a new era."""
    known = known_instances()
    newer_era = core.revision_in(core.StoreEra(2), 50)
    lists = (core.ShownList(VM, newer_era),)
    listings = known.listings(lists, 1.0)
    assert not decisions.is_in_lists(FIRST, {VM}, listings)


@pytest.mark.parametrize('returns', [True, False])
def test_an_instance_is_new_after_an_absence(returns):
    """It left the list and came back; or nothing confirmed the list."""
    known = known_instances()
    confirm_until(known, 40)
    if returns:
        known.update((PRIMARY,), 11, 40.0)
        known.update((PRIMARY, FIRST), 12, 40.5)
    else:
        known.update((PRIMARY, FIRST), 12, 50.0)
        known.confirm(50.0, 50.0)
    listings = known.listings((core.ShownList(VM, 10),), 50.0)
    assert not decisions.is_in_lists(FIRST, {VM}, listings)


def test_no_instance_is_known_by_a_list_that_nothing_confirms():
    known = known_instances()
    confirm_until(known, 40)
    listings = known.listings((core.ShownList(VM, 10),), 60.0)
    assert not decisions.is_in_lists(FIRST, {VM}, listings)


def entry_vm_row(name, unreachable=False):
    return core.EntryVmRow(
        core.VmName(name),
        '10.0.0.1',
        7440,
        core.ZoneName('z'),
        'b1',
        unreachable=unreachable,
    )


def test_a_marked_vm_counts_as_one_that_may_use_evidence():
    """It has no lease any more, so a change does not wait for its fence."""
    fencing = decisions.FencingProgress((VM,))
    assert fencing.unfenced() is None
    marked = entry_vm_row('vm2', unreachable=True)
    fencing.add_registered((entry_vm_row(VM), marked))
    assert fencing.unfenced() == {VM, marked.vm}
    fencing.record_stopped(VM)
    assert fencing.done
    assert fencing.unfenced() == {marked.vm}


def test_the_loss_of_the_vm_that_polls_makes_no_instance_new():
    """Others poll once the list is 5.5 s old, one after the other."""
    known = known_instances()
    known.confirm(7.0, 7.4)
    listings = known.listings((core.ShownList(VM, 10),), 14.0)
    assert decisions.is_in_lists(FIRST, {VM}, listings)
