"""Limits that all VMs share, with the real tasks and without a network.

Loads: one team at 7.5 times its usual demand, all teams at once, a limit
lowered far below its demand, demand that moves between zones.  Failures: a
keeper or all VMs restart, VMs are cut off, a keeper freezes and wakes.
"""

import pytest

import limit_sites
from chicoryusher import core
from chicoryusher import decisions

# Its usual demand is 40 operations a second, as much as its limit.
HOT = limit_sites.team('hot', 40.0, 40.0)
OTHERS = tuple(limit_sites.team(f'other{n}', 20.0, 10.0) for n in range(12))
HOT_FACTOR = 7.5
# Messages to keepers of one VM a second, besides questions.
MOST_FOLLOWS_PER_S = 8.8
START_S = 3.0


@pytest.fixture
def site():
    site = limit_sites.LimitSite(9, HOT, *OTHERS)
    site.run(START_S)
    yield site
    site.close()


def hot_load(site, vms=None):
    """Return the demand of the hot team, spread over some VMs."""
    vms = vms or site.vms
    return {(vm, HOT): HOT.rate * HOT_FACTOR / len(vms) for vm in vms}


def other_load(site, factor):
    return {
        (vm, team): team.rate * factor / len(site.vms)
        for vm in site.vms
        for team in OTHERS
    }


def test_a_hot_team_gets_its_limit_and_no_more(site):
    site.load(10.0, hot_load(site))
    site.assert_within_limit(HOT)
    assert len(site.started['hot']) >= 0.95 * HOT.rate * 10.0


@pytest.mark.parametrize('delay_s', [0.003, 0.04])
@pytest.mark.parametrize(
    ('rate', 'burst', 'least'),
    [(2.0, 1.0, 0.8), (40.0, 0.0, 0.95), (1000.0, 100.0, 0.95)],
)
def test_small_and_large_limits_are_used_up_over_slow_links(
    rate, burst, least, delay_s
):
    """The load is 7.5 times the limit; a turn may wait for its question."""
    team = limit_sites.team('hot', rate, burst)
    site = limit_sites.LimitSite(30, team, delay_s=delay_s)
    site.run(START_S)
    demand = team.rate * HOT_FACTOR / len(site.vms)
    demands = {(vm, team): demand for vm in site.vms}
    site.load(10.0, demands)
    site.assert_within_limit(team)
    assert len(site.started['hot']) >= least * team.rate * 10.0
    site.close()


def test_a_hot_team_costs_other_teams_nothing(site):
    site.load(6.0, {**hot_load(site), **other_load(site, 0.7)})
    assert sum(site.refused[team.name] for team in OTHERS) == 0


def test_all_teams_at_once_get_their_limits(site):
    site.load(8.0, {**hot_load(site), **other_load(site, 3.0)})
    for team in (HOT, *OTHERS):
        site.assert_within_limit(team)
        assert len(site.started[team.name]) >= 0.95 * team.rate * 8.0


def test_a_demand_below_the_limit_waits_for_nothing_but_the_keeper(site):
    site.load(5.0, other_load(site, 0.8))
    assert not site.refused


def test_each_vm_gets_its_part_of_a_limit_that_is_not_enough(site):
    site.load(10.0, hot_load(site))
    asked = site.sent[core.AskAllowance]
    assert min(asked[vm] for vm in site.vms if vm != site.keeper_of(HOT)) > 5


def test_a_limit_moves_to_the_zone_that_asks(site):
    site.load(5.0, hot_load(site, site.vms[:3]))
    began = site.clock.now()
    site.load(5.0, hot_load(site, site.vms[6:]))
    late = [at for at in site.started['hot'] if at > began + 1.0]
    assert len(late) >= 0.95 * HOT.rate * 4.0
    site.assert_within_limit(HOT)


def test_a_limit_that_is_lowered_binds_after_a_window(site):
    site.load(3.0, hot_load(site))
    lower = limit_sites.team('hot', 4.0, 2.0)
    site.set_teams(lower, *OTHERS)
    changed_at = site.clock.now()
    site.load(12.0, hot_load(site))
    after = [at for at in site.started['hot'] if at > changed_at + 5.0]
    site.started['hot'] = after
    site.assert_within_limit(lower)
    assert len(after) >= 0.95 * lower.rate * 7.0 - 1


def test_an_operation_that_can_get_nothing_in_time_is_refused_at_once(site):
    site.load(2.0, hot_load(site))
    answered = dict(site.outcomes)
    late = site.request(site.vms[0], HOT, max_wait_s=0.001)
    site.run(0.02)
    assert late not in answered
    assert site.outcomes[late] is core.AllowanceOutcome.OVER_LIMIT


def test_a_restart_of_all_vms_gives_no_second_burst(site):
    site.load(3.0, hot_load(site))
    for vm in site.vms:
        site.start(vm)
    site.load(6.0, hot_load(site))
    site.assert_within_limit(HOT)


@pytest.mark.parametrize('times', [1, 3])
def test_a_keeper_that_restarts_costs_less_than_two_seconds(site, times):
    keeper = site.keeper_of(HOT)
    site.load(2.0, hot_load(site))
    for _ in range(times):
        site.start(keeper)
        site.load(2.0, hot_load(site))
    site.load(4.0, hot_load(site))
    site.assert_within_limit(HOT)
    end = site.clock.now()
    late = [at for at in site.started['hot'] if at > end - 4.0]
    assert len(late) >= 0.95 * HOT.rate * 4.0


def test_a_keeper_that_is_cut_off_is_replaced_and_counts_itself_alone(site):
    keeper = site.keeper_of(HOT)
    site.load(2.0, hot_load(site))
    site.isolate(keeper)
    site.load(limit_sites.LIVENESS_DELAY_S, hot_load(site))
    site.publish_live()
    site.load(5.0, hot_load(site))
    site.assert_within_limit(HOT)
    assert site.keeper_of(HOT) != keeper
    end = site.clock.now()
    late = [at for at in site.started['hot'] if at > end - 4.0]
    assert len(late) >= 0.9 * HOT.rate * 4.0


@pytest.mark.parametrize('parts', [2, 3])
def test_parts_that_do_not_reach_each_other_share_the_limit(site, parts):
    size = len(site.vms) // parts
    for number, vm in enumerate(site.vms):
        site.cut |= {
            (vm, other)
            for index, other in enumerate(site.vms)
            if index // size != number // size
        }
    site.load(limit_sites.LIVENESS_DELAY_S, hot_load(site))
    site.publish_live()
    site.load(10.0, hot_load(site))
    site.assert_within_limit(HOT)
    end = site.clock.now()
    late = [at for at in site.started['hot'] if at > end - 5.0]
    assert len(late) >= 0.9 * HOT.rate * 5.0
    site.cut.clear()
    site.publish_live()
    site.load(8.0, hot_load(site))
    site.assert_within_limit(HOT)


@pytest.mark.parametrize('frozen_s', [0.5, 1.2, 4.0])
def test_a_keeper_that_freezes_and_wakes_grants_nothing_twice(site, frozen_s):
    keeper = site.keeper_of(HOT)
    site.load(2.0, hot_load(site))
    site.freeze(keeper)
    site.load(frozen_s, hot_load(site))
    site.wake(keeper)
    site.load(6.0, hot_load(site))
    site.assert_within_limit(HOT)


def test_a_follower_that_freezes_uses_nothing_that_it_held(site):
    vm = next(vm for vm in site.vms if vm != site.keeper_of(HOT))
    site.load(2.0, hot_load(site, [vm]))
    site.freeze(vm)
    site.load(3.0, hot_load(site))
    site.wake(vm)
    site.load(3.0, hot_load(site))
    site.assert_within_limit(HOT)


def test_a_suspended_machine_counts_the_time_that_it_slept(site):
    site.load(2.0, hot_load(site))
    site.clock.suspend(10.0)
    site.load(2.0, hot_load(site))
    site.assert_within_limit(HOT)


def test_a_keeper_that_leaves_hands_its_followers_over_without_a_gap(site):
    keeper = site.keeper_of(HOT)
    site.load(2.0, hot_load(site))
    site.loop.post(f'{keeper}/limit_keeper', core.Drain(5.0))
    began = site.clock.now()
    site.load(4.0, hot_load(site))
    site.assert_within_limit(HOT)
    assert site.keeper_of(HOT) != keeper
    late = [at for at in site.started['hot'] if at > began]
    assert len(late) >= 0.9 * HOT.rate * 4.0


def test_operations_wait_while_a_keeper_is_replaced(site):
    """The keeper is cut off; the others ask for half of their limits."""
    site.max_wait_s, site.max_turn_wait_s = 2.0, 0.2
    keeper = site.keeper_of(OTHERS[0])
    site.isolate(keeper)
    demands = {
        (vm, OTHERS[0]): 0.5 * OTHERS[0].rate / len(site.vms)
        for vm in site.vms
        if vm != keeper
    }
    site.load(2.5, demands)
    site.publish_live()
    site.load(3.0, demands)
    assert not site.refused['other0']
    site.assert_within_limit(OTHERS[0])


def test_without_an_answer_no_operation_is_called_over_its_limit(site):
    vm = next(vm for vm in site.vms if vm != site.keeper_of(HOT))
    site.isolate(vm)
    waiting = site.request(vm, HOT)
    site.run(limit_sites.MAX_WAIT_S + 0.1)
    assert site.outcomes[waiting] is core.AllowanceOutcome.UNANSWERED


def test_a_crowd_at_one_vm_is_one_question(site):
    """Two thousand callers of one team at the same moment."""
    for _ in range(2000):
        site.request(site.vms[0], HOT)
    site.sent.clear()
    site.run(0.2)
    assert site.refused['hot'] > 1900
    assert sum(site.sent[core.AskAllowance].values()) < 20


def test_a_limit_that_is_taken_away_lets_what_waits_go(site):
    site.load(2.0, hot_load(site))
    waiting = [site.request(site.vms[0], HOT) for _ in range(20)]
    site.set_teams(*OTHERS)
    site.run(0.1)
    outcomes = {site.outcomes[number] for number in waiting}
    assert core.AllowanceOutcome.GRANTED in outcomes


def test_without_limits_no_message_is_sent():
    site = limit_sites.LimitSite(5, core.Team(core.TeamName('free'), ()))
    site.run(5.0)
    assert not site.sent
    site.close()


@pytest.mark.parametrize('team_count', [74, 1000])
@pytest.mark.parametrize('vm_count', [70, 200, 600])
def test_messages_of_a_vm_are_few_whatever_the_vms_and_teams(
    vm_count, team_count
):
    """One operation a second and VM, spread over the teams."""
    teams = tuple(
        limit_sites.team(f't{n}', 20.0, 20.0) for n in range(team_count)
    )
    site = limit_sites.LimitSite(vm_count, *teams)
    site.run(4.0 * decisions.follow_timing(vm_count).counted_s)
    site.sent.clear()
    demands = {
        (vm, teams[n % team_count]): 1.0 for n, vm in enumerate(site.vms)
    }
    seconds = 6.0
    site.load(seconds, demands, step_s=0.1)
    followed = sum(site.sent[core.FollowLimitKeeper].values())
    asked = sum(site.sent[core.AskAllowance].values())
    assert followed / seconds / vm_count <= MOST_FOLLOWS_PER_S
    assert asked / seconds / vm_count <= 1.1
    site.close()
