"""A queue that a hot team, a low priority or a caller that left share."""

from __future__ import annotations

import collections

from chicoryusher import core
from chicoryusher import decisions

RED, BLUE = core.TeamName('red'), core.TeamName('blue')
# Seconds of most statements, and of those of a team with heavy ones.
SHORT_S, HEAVY_S = 0.02, 0.2


def work(number, team=None, priority=1, queued_at=0.0, start_by=100.0):
    return core.Work(
        core.WorkId(number),
        core.TaskName('desk'),
        core.RequestId(f'r{number}'),
        core.Statement(core.Verb.READ, 'READ 1a4', '1a4'),
        None,
        (),
        priority,
        start_by,
        1.0,
        0.5,
        queued_at,
        team=team,
    )


def fill(queue, *teams, first=1):
    for number, team in enumerate(teams, first):
        queue.add(work(number, team))


def started(queue, count, seconds=None, now=0.0):
    """Start work one after the other; return how much of each team."""
    seconds = seconds or {}
    counts = collections.Counter()
    for _ in range(count):
        item = queue.pop_next(now)
        counts[item.team] += 1
        queue.record_use(item.team, seconds.get(item.team, SHORT_S))
    return counts


def test_a_hot_team_waits_behind_itself():
    """One team sends twenty times as much as another."""
    queue = decisions.FairQueue()
    fill(queue, *[RED] * 100, *[BLUE] * 5)
    assert started(queue, 10) == {RED: 5, BLUE: 5}


def test_a_team_that_comes_later_waits_for_no_more_than_one_turn():
    queue = decisions.FairQueue()
    fill(queue, *[RED] * 100)
    started(queue, 50)
    queue.add(work(900, BLUE))
    assert BLUE in started(queue, 2)


def test_a_team_that_was_idle_has_saved_up_nothing():
    queue = decisions.FairQueue()
    fill(queue, *[RED] * 200)
    started(queue, 100)
    fill(queue, *[BLUE] * 100, first=500)
    counts = started(queue, 40)
    assert abs(counts[RED] - counts[BLUE]) <= 2


def test_a_team_with_heavy_statements_gets_the_same_time_not_the_same_count():
    queue = decisions.FairQueue()
    fill(queue, *[RED] * 100, *[BLUE] * 100)
    counts = started(queue, 55, {RED: HEAVY_S})
    assert 4 <= counts[RED] <= 7


def test_only_teams_with_a_free_connection_start():
    queue = decisions.FairQueue()
    fill(queue, RED, RED, BLUE)
    assert queue.pop_next(0.0, {BLUE}).team == BLUE
    assert queue.pop_next(0.0, {BLUE}) is None
    assert queue.pop_next(0.0, {RED, BLUE}).team == RED


def test_within_a_team_the_lower_priority_number_goes_first():
    queue = decisions.FairQueue()
    queue.add(work(1, RED, priority=3))
    queue.add(work(2, RED, priority=0))
    assert queue.pop_next(0.0).work_id == 2


def test_the_last_kind_is_not_starved_by_a_burst_of_the_first():
    """Work of the first kind arrives faster than it is run, for seconds."""
    queue = decisions.FairQueue()
    queue.add(work(1, RED, priority=3, queued_at=0.0))
    for number in range(2, 600):
        at = number * 0.005
        queue.add(work(number, RED, priority=0, queued_at=at))
        if number % 4 == 0 and queue.pop_next(at).work_id == 1:
            return
    raise AssertionError('the work of the last kind did not start')


def test_callers_that_left_give_up_their_place():
    queue = decisions.FairQueue()
    fill(queue, RED, BLUE, RED)
    assert queue.cancel(core.WorkId(1))
    assert not queue.cancel(core.WorkId(1))
    assert len(queue) == 2
    assert queue.count_ahead_of(RED) == 2


def test_connections_are_wanted_for_each_team_in_turn():
    queue = decisions.FairQueue()
    fill(queue, RED, RED, RED, BLUE)
    assert list(queue.teams()) == [RED, BLUE, RED, RED]


def test_a_team_waits_for_its_own_work_not_for_a_hot_teams():
    queue = decisions.FairQueue()
    fill(queue, *[RED] * 100)
    assert queue.count_ahead_of(BLUE) == 1
    assert queue.count_ahead_of(RED) == 100


def test_without_teams_the_order_is_that_of_the_plain_queue():
    items = [
        work(number, None, number % 3, number * 0.1, 9.0 - number % 5)
        for number in range(30)
    ]
    orders = []
    for queue in (decisions.FairQueue(), decisions.WorkQueue()):
        for item in items:
            queue.add(item)
        orders.append([queue.pop_next(0.0).work_id for _ in items])
    assert orders[0] == orders[1]


def test_work_that_cannot_start_in_time_expires():
    queue = decisions.FairQueue()
    queue.add(work(1, RED, start_by=3.0))
    assert queue.pop_next(3.0) is None
    assert [item.work_id for item in queue.remove_expired(3.0)] == [1]
    assert len(queue) == 0
