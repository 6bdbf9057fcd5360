"""Reads are spread over replicas that lag, are loaded or fail."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions

NO_INSTANCES: frozenset = frozenset()


def at(offset):
    return core.Position(core.Term(1), core.LogPosition(offset))


def instance(number, distance=0.001, leaving=False):
    role = core.Role.REPLICA if number else core.Role.PRIMARY
    entry = core.InstanceEntry(
        core.InstanceName(f'i{number}'),
        core.ServiceName('spoonbook'),
        '10.0.0.1',
        7000,
        core.ZoneName('akhmim-yard'),
        3,
        leaving,
        role,
        1,
    )
    return decisions.InstanceLoad(entry, distance)


def choose(
    instances, after=None, age=1.0, excluded=NO_INSTANCES, primary='i0'
):
    return decisions.choose_instance(
        instances,
        primary,
        decisions.ReadRequirement(after, age),
        excluded,
        100.0,
        100.0,
    )


def test_a_fresh_replica_goes_before_the_primary():
    assert choose([instance(0), instance(1)], at(5)) == 'i1'


def test_without_a_proven_position_only_the_primary_serves():
    assert choose([instance(0), instance(1)]) == 'i0'
    assert choose([instance(1)]) is None


def test_a_replica_that_lags_beyond_the_age_of_the_position_is_not_chosen():
    replica = instance(1)
    replica.applied_position, replica.lag, replica.lag_estimated_at = (
        at(1),
        2.0,
        100.0,
    )
    assert choose([instance(0), replica], at(5), age=1.0) == 'i0'


def test_a_replica_known_to_have_the_position_serves_whatever_its_lag():
    replica = instance(1)
    replica.applied_position, replica.lag, replica.lag_estimated_at = (
        at(5),
        2.0,
        100.0,
    )
    assert choose([instance(0), replica], at(5), age=0.0) == 'i1'


def test_reads_try_a_lagging_replica_again_after_a_while():
    replica = instance(1)
    replica.raise_lag_estimate(1.0, 90.0)
    assert choose([instance(0), replica], at(5), age=1.0) == 'i1'


def test_reads_go_to_the_replica_with_fewer_outstanding_statements():
    replica, other = instance(1), instance(2)
    replica.outstanding_count = 6
    assert choose([instance(0), replica, other], at(5)) == 'i2'


def test_the_primary_serves_reads_when_both_replicas_are_loaded():
    replica, other = instance(1), instance(2)
    replica.outstanding_count = other.outstanding_count = 12
    assert choose([instance(0), replica, other], at(5)) == 'i0'


def test_a_far_replica_is_used_only_when_the_near_ones_are_loaded():
    near, far = instance(1), instance(2, distance=0.042)
    assert choose([instance(0), near, far], at(5)) == 'i1'
    near.outstanding_count = 20
    assert choose([near, far], at(5)) == 'i2'


def test_instances_that_leave_or_refused_get_no_first_statement():
    assert choose([instance(1, leaving=True)], at(5)) is None
    assert choose([instance(0, leaving=True)], primary=None) is None
    excluded = frozenset({core.InstanceName('i1')})
    assert choose([instance(1)], at(5), excluded=excluded) is None


def test_an_instance_with_recent_failures_is_the_last_choice():
    replica, other = instance(1), instance(2, distance=0.042)
    replica.penalize(100.0)
    assert choose([replica, other], at(5)) == 'i2'
    assert choose([replica], at(5)) == 'i1'


def test_a_leaving_primary_serves_if_the_caller_names_it():
    assert choose([instance(0, leaving=True)]) == 'i0'
