"""Reads of many VMs, a full replica, and one far away that has room."""

from __future__ import annotations

import collections
import random

import pytest

from chicoryusher import core
from chicoryusher import decisions

NAMES = [core.InstanceName(f'i{number}') for number in range(4)]
POSITION = core.Position(core.Term(1), core.LogPosition(5))
NEEDS = decisions.ReadRequirement(POSITION, 5.0)
NOW = 100.0
SAME_ZONE_S, SAME_REGION_S, OTHER_REGION_S = 0.001, 0.003, 0.042
RED, BLUE = core.TeamName('red'), core.TeamName('blue')


def instance(number, distance=SAME_ZONE_S):
    role = core.Role.REPLICA if number else core.Role.PRIMARY
    entry = core.InstanceEntry(
        NAMES[number],
        core.ServiceName('spoonbook'),
        '10.0.0.1',
        7000,
        core.ZoneName('akhmim-yard'),
        4,
        False,
        role,
        1,
    )
    return decisions.InstanceLoad(entry, distance)


def choose(
    instances,
    draw=0.0,
    outliers=None,
    needs=NEEDS,
    excluded=frozenset(),
    team=None,
    now=NOW,
    may_try=False,
):
    return decisions.choose_paced_instance(
        instances,
        NAMES[0],
        decisions.PacedChoice(needs, excluded, team, draw, may_try),
        outliers or decisions.Outliers(),
        now,
        now,
    )


def ejected(name):
    outliers = decisions.Outliers()
    for _ in range(10):
        outliers.record(name, True, None, set(NAMES[1:3]), NOW)
    assert outliers.standing(name) is core.Standing.EJECTED
    return outliers


def test_many_vms_spread_their_reads_over_replicas_that_are_alike():
    """With the least cost alone, all took the replica of their zone."""
    draw = random.Random(5)
    counts = collections.Counter()
    for vm in range(64):
        near = vm % 3 == 0
        for _ in range(20):
            replicas = [
                instance(1, SAME_ZONE_S if near else SAME_REGION_S),
                instance(2, SAME_REGION_S if near else SAME_ZONE_S),
            ]
            counts[choose([instance(0), *replicas], draw.random())] += 1
    mean = counts.total() / 2
    assert max(counts.values()) < 1.3 * mean
    assert counts[NAMES[0]] == 0


def test_a_full_replica_is_passed_over_for_one_with_room():
    full, free = instance(1), instance(2, SAME_REGION_S)
    full.record_wait(None, 0.1, NOW)
    for draw in (0.0, 0.5, 0.99):
        assert choose([instance(0), full, free], draw) == NAMES[2]


def test_a_replica_of_another_region_serves_when_the_near_ones_are_full():
    near, far = instance(1), instance(2, OTHER_REGION_S)
    assert choose([near, far], 0.99) == NAMES[1]
    near.record_wait(None, 0.2, NOW)
    assert choose([near, far], 0.0) == NAMES[2]


def test_a_wait_is_forgotten_so_that_a_replica_is_tried_again():
    full, free = instance(1), instance(2, SAME_REGION_S)
    full.record_wait(None, 0.1, NOW)
    assert choose([full, free], now=NOW + 2.0) == NAMES[1]


def test_a_replica_that_was_slow_is_tried_again_after_some_seconds():
    """A service time that nothing updated kept it idle for good."""
    slow, other = instance(1), instance(2, SAME_REGION_S)
    for _ in range(20):
        slow.record_service_time(0.3)
    slow.served_at = NOW
    assert choose([slow, other], 0.0) == NAMES[2]
    for second in range(1, 15):
        chosen = choose([slow, other], 0.0, now=NOW + second)
    assert chosen == NAMES[1]


def test_a_hot_team_does_not_keep_other_teams_from_a_replica():
    replica, other = instance(1), instance(2, OTHER_REGION_S)
    replica.record_wait(RED, 0.5, NOW)
    assert choose([replica, other], team=RED) == NAMES[2]
    assert choose([replica, other], team=BLUE) == NAMES[1]


def test_an_ejected_replica_is_used_only_if_no_other_can_serve():
    outliers = ejected(NAMES[1])
    replicas = [instance(1), instance(2, OTHER_REGION_S)]
    assert choose(replicas, outliers=outliers) == NAMES[2]
    excluded = frozenset({NAMES[2]})
    last = choose(replicas, outliers=outliers, excluded=excluded)
    assert last == NAMES[1]


def test_the_primary_serves_what_only_it_can_although_it_is_ejected():
    outliers = ejected(NAMES[0])
    needs = decisions.ReadRequirement(None, 0.0)
    instances = [instance(0), instance(1)]
    assert choose(instances, outliers=outliers, needs=needs) == NAMES[0]


@pytest.mark.parametrize('may_try', [True, False])
def test_only_reads_that_may_run_again_try_an_ejected_replica(may_try):
    outliers = ejected(NAMES[1])
    replicas = [instance(1), instance(2)]
    chosen = collections.Counter(
        choose(replicas, outliers=outliers, now=NOW + 1.0, may_try=may_try)
        for _ in range(20)
    )
    assert (chosen[NAMES[1]] > 0) is may_try
    assert chosen[NAMES[1]] <= 5
