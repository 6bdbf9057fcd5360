"""Choice of a group's new primary while the instances' answers arrive."""

from __future__ import annotations

import pytest

from chicoryusher import core
from chicoryusher import decisions

SERVICE = core.ServiceName('spoonbook')
ZONE = core.ZoneName('akhmim-yard')
PRIMARY, REPLICA = core.Role.PRIMARY, core.Role.REPLICA


def name(number):
    return core.InstanceName(f'i-{number}')


def entry(number, leaving=False):
    return core.InstanceEntry(
        name(number), SERVICE, '10.0.0.1', 1, ZONE, 3, leaving, REPLICA, 1
    )


def status(number, received=None, term=1, role=REPLICA):
    """Return an instance's status; without ``received`` it is down."""
    state = None
    if received is not None:
        at = core.Position(core.Term(term), core.LogPosition(received))
        state = core.InstanceState(role, core.Term(term), at, at)
    return core.InstanceProbeResult(name(number), state is not None, state)


@pytest.fixture
def candidates():
    made = decisions.SuccessorCandidates(
        [entry(number) for number in range(3)], name(0)
    )
    made.start_round()
    return made


def answer(candidates, *statuses):
    return [candidates.record_status(status) for status in statuses]


def test_the_successor_is_chosen_once_all_have_answered(candidates):
    complete = answer(candidates, status(0), status(1, 5), status(2, 9))
    assert complete == [False, False, True]
    assert candidates.successor == name(2)
    assert not candidates.record_status(status(1, 50))


def test_a_newer_term_goes_before_a_longer_log(candidates):
    answer(candidates, status(0), status(1, 5, term=2), status(2, 9))
    assert candidates.successor == name(1)


def test_the_old_primary_and_refused_instances_are_not_chosen(candidates):
    answer(candidates, status(0, 99), status(1, 5), status(2, 9))
    candidates.exclude_successor()
    candidates.start_round()
    answer(candidates, status(0, 99), status(1, 5), status(2, 9))
    assert candidates.successor == name(1)
    candidates.exclude_successor()
    candidates.start_round()
    answer(candidates, status(0, 99), status(1, 5), status(2, 9))
    assert candidates.reset_if_none_left()
    candidates.start_round()
    answer(candidates, status(0, 99), status(1, 5), status(2, 9))
    assert candidates.successor == name(2)
    assert not candidates.reset_if_none_left()


def test_a_leaving_instance_is_chosen_only_if_no_other_answers():
    made = decisions.SuccessorCandidates(
        [entry(0), entry(1), entry(2, leaving=True)], name(0)
    )
    made.start_round()
    answer(made, status(0), status(1, 5), status(2, 9))
    assert made.successor == name(1)
    made.start_round()
    answer(made, status(0), status(1), status(2, 9))
    assert made.successor == name(2)


def test_an_instance_that_leads_the_newest_term_is_the_successor(candidates):
    answer(
        candidates,
        status(0, 9, role=PRIMARY),
        status(1, 3, term=2, role=PRIMARY),
        status(2, 8),
    )
    assert candidates.successor == name(1)


def test_an_instance_that_leads_goes_before_a_longer_log(candidates):
    answer(
        candidates,
        status(0),
        status(1, 3, term=2, role=PRIMARY),
        status(2, 8, term=2),
    )
    assert candidates.successor == name(1)


def test_a_primary_of_an_earlier_term_goes_after_a_newer_term(candidates):
    answer(
        candidates, status(0), status(1, 9, role=PRIMARY), status(2, 3, term=2)
    )
    assert candidates.successor == name(2)


def test_an_old_primary_is_demoted_in_a_term_above_its_own(candidates):
    answer(candidates, status(0, 9, role=PRIMARY), status(1, 9), status(2, 9))
    assert candidates.term_to_demote_in() == 2


def test_an_old_primary_is_not_demoted_above_the_present_one(candidates):
    answer(
        candidates,
        status(0, 9, role=PRIMARY),
        status(1, 3, term=3, role=PRIMARY),
        status(2),
    )
    assert candidates.term_to_demote_in() == 3


def test_a_successor_catches_up_with_an_old_primary_that_answers(candidates):
    answer(candidates, status(0, 9, role=PRIMARY), status(1, 5), status(2, 8))
    assert candidates.old_primary_leads()
    assert not candidates.successor_caught_up()
    candidates.start_round()
    answer(candidates, status(0, 9, role=PRIMARY), status(1, 5), status(2, 9))
    assert candidates.successor_caught_up()


def test_an_instance_counts_for_a_while_after_it_was_listed_last():
    """Guards against a dark leader that no list has any more."""
    members = decisions.RecentMembers()
    members.update([entry(0), entry(1)], 0.0)
    members.update([entry(0)], 1000.0)
    assert members.of(SERVICE, 1000.0) == {name(0), name(1)}
    assert members.of(SERVICE, 1060.0) == {name(0), name(1)}
    assert members.of(SERVICE, 1060.1) == {name(0)}
    assert members.of(core.ServiceName('other'), 1000.0) == frozenset()


def test_a_leader_is_certain_only_if_all_members_have_answered(candidates):
    members = frozenset(name(number) for number in range(3))
    leader = status(1, 9, term=2, role=PRIMARY)
    answer(candidates, status(0, 9), leader, status(2, 9))
    assert candidates.successor_leads(members)
    assert not candidates.successor_leads(members | {name(3)})
    assert not candidates.successor_leads(None)
    candidates.start_round()
    answer(candidates, status(0, 9), leader, status(2))
    assert not candidates.successor_leads(members)
    candidates.start_round()
    answer(candidates, status(0, 9, term=3), leader, status(2, 9))
    assert not candidates.successor_leads(members)


def with_sync_replica(*leaving):
    made = decisions.SuccessorCandidates(
        [entry(number, number in leaving) for number in range(3)], name(0), 1
    )
    made.start_round()
    return made


def test_the_log_of_each_replica_is_needed_with_a_synchronous_one():
    """Guards against LOST commits that only a silent replica has."""
    candidates = with_sync_replica()
    answer(candidates, status(0), status(1), status(2, 9))
    assert candidates.missing_evidence() == (name(1),)
    candidates.start_round()
    answer(candidates, status(0), status(1, 12), status(2, 9))
    assert candidates.missing_evidence() == ()
    assert candidates.successor == name(1)


def test_the_log_of_the_old_primary_is_evidence_too():
    candidates = with_sync_replica()
    answer(candidates, status(0, 9, role=PRIMARY), status(1), status(2, 9))
    assert candidates.missing_evidence() == ()
    candidates.start_round()
    answer(candidates, status(0, 10, role=PRIMARY), status(1), status(2, 9))
    assert candidates.missing_evidence() == (name(1),)


def test_no_evidence_is_needed_without_synchronous_replicas(candidates):
    answer(candidates, status(0), status(1), status(2, 9))
    assert candidates.missing_evidence() == ()


def test_a_leaving_replica_with_the_longest_log_goes_first():
    candidates = with_sync_replica(1)
    answer(candidates, status(0), status(1, 12), status(2, 9))
    assert candidates.successor == name(1)


def test_a_refused_successor_is_kept_if_others_may_lack_commits():
    candidates = with_sync_replica()
    answer(candidates, status(0), status(1, 12), status(2, 9))
    candidates.exclude_successor()
    candidates.start_round()
    answer(candidates, status(0), status(1, 12), status(2, 9))
    assert candidates.successor == name(1)


def test_a_replica_that_is_gone_for_good_is_not_waited_for():
    candidates = with_sync_replica()
    remaining = [entry(0), entry(2)]
    candidates.update_entries(remaining, 10.0)
    answer(candidates, status(0), status(1), status(2, 9))
    assert candidates.missing_evidence() == (name(1),)
    candidates.update_entries(remaining, 12.6)
    candidates.start_round()
    answer(candidates, status(0), status(2, 9))
    assert candidates.missing_evidence() == ()


def test_a_replica_that_is_registered_again_is_waited_for():
    candidates = with_sync_replica()
    candidates.update_entries([entry(0), entry(2)], 10.0)
    candidates.update_entries([entry(number) for number in range(3)], 12.0)
    candidates.update_entries([entry(0), entry(2)], 13.0)
    answer(candidates, status(0), status(1), status(2, 9))
    assert candidates.missing_evidence() == (name(1),)
