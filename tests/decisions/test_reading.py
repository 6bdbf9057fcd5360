"""Load pattern: reads spread over replicas that lag, fill up or break."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions

NOBODY: frozenset = frozenset()


def at(number):
    return core.Position(core.Term(1), core.LogPosition(number))


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
    return decisions.PoolInstance(entry, distance)


def choose(instances, after=None, age=1.0, refused=NOBODY, primary='i0'):
    return decisions.choose_reader(
        instances,
        primary,
        decisions.ReadNeeds(after, age),
        refused,
        100.0,
        100.0,
    )


def test_a_fresh_replica_goes_before_the_primary():
    assert choose([instance(0), instance(1)], at(5)) == 'i1'


def test_without_a_proof_only_the_primary_serves():
    assert choose([instance(0), instance(1)]) == 'i0'
    assert choose([instance(1)]) is None


def test_a_replica_that_lags_more_than_the_proof_is_old_is_passed_over():
    one = instance(1)
    one.position, one.lag, one.lag_seen_at = at(1), 2.0, 100.0
    assert choose([instance(0), one], at(5), age=1.0) == 'i0'


def test_a_replica_that_has_shown_the_position_serves_whatever_its_lag():
    one = instance(1)
    one.position, one.lag, one.lag_seen_at = at(5), 2.0, 100.0
    assert choose([instance(0), one], at(5), age=0.0) == 'i1'


def test_reads_try_a_lagging_replica_again_after_a_while():
    one = instance(1)
    one.fell_behind(1.0, 90.0)
    assert choose([instance(0), one], at(5), age=1.0) == 'i1'


def test_work_goes_where_less_is_waiting():
    one, other = instance(1), instance(2)
    one.outstanding = 6
    assert choose([instance(0), one, other], at(5)) == 'i2'


def test_a_full_pair_of_replicas_lets_the_primary_help():
    one, other = instance(1), instance(2)
    one.outstanding = other.outstanding = 12
    assert choose([instance(0), one, other], at(5)) == 'i0'


def test_a_far_replica_is_used_only_when_the_near_ones_are_loaded():
    near, far = instance(1), instance(2, distance=0.042)
    assert choose([instance(0), near, far], at(5)) == 'i1'
    near.outstanding = 20
    assert choose([near, far], at(5)) == 'i2'


def test_instances_that_leave_or_refused_get_no_first_statement():
    assert choose([instance(1, leaving=True)], at(5)) is None
    assert choose([instance(0, leaving=True)], primary=None) is None
    refused = frozenset({core.InstanceName('i1')})
    assert choose([instance(1)], at(5), refused=refused) is None


def test_an_instance_in_trouble_is_the_last_choice():
    one, other = instance(1), instance(2, distance=0.042)
    one.troubled(100.0)
    assert choose([one, other], at(5)) == 'i2'
    assert choose([one], at(5)) == 'i1'


def test_a_leaving_primary_serves_while_the_caller_names_it():
    assert choose([instance(0, leaving=True)]) == 'i0'
