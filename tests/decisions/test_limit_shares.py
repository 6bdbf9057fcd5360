"""Whom a keeper counts, and when a VM may follow another one."""

import collections

import pytest

from chicoryusher import core
from chicoryusher import decisions

A = core.VmName('a')
B = core.VmName('b')
C = core.VmName('c')
SLOT = decisions.LIMIT_SLOTS[0]
COUNTED_S = 1.5


@pytest.fixture
def followers():
    count = decisions.FollowerCount(100.0)
    count.set_vm_count(4)
    return count


def stamp(vm=A, at=100.0, **fields):
    return core.LimitKeeperStamp(vm, SLOT, at, COUNTED_S, **fields)


def test_a_follower_is_counted_until_a_time_after_its_stamp(followers):
    followers.advance(101.0)
    followers.record(A, 100.5, COUNTED_S, 101.0)
    assert followers.share == 0.25
    assert followers.advance(101.9) is None
    assert followers.advance(102.1) == 0.0
    assert followers.covered_s == pytest.approx(0.25 * 1.0)


def test_time_for_which_a_follower_was_not_counted_is_not_covered(followers):
    followers.record(A, 100.0, COUNTED_S, 100.0)
    followers.advance(160.0)
    assert followers.covered_s == pytest.approx(0.25 * COUNTED_S)


def test_stamps_of_another_process_or_from_before_a_release_do_not_count(
    followers,
):
    followers.record(A, 99.9, COUNTED_S, 100.5)
    followers.record(B, 100.6, COUNTED_S, 100.5)
    assert len(followers) == 0
    followers.record(A, 100.5, COUNTED_S, 100.5)
    followers.advance(101.0)
    assert followers.release(A, 101.0)
    followers.record(A, 100.9, COUNTED_S, 101.1)
    assert len(followers) == 0
    followers.record(A, 101.1, COUNTED_S, 101.2)
    assert len(followers) == 1


def test_a_follower_that_returns_is_lost_once(followers):
    followers.record(A, 100.0, COUNTED_S, 100.0)
    followers.release(A, 100.1)
    followers.record(A, 100.2, COUNTED_S, 100.2)
    assert followers.advance(101.6) is None
    assert followers.advance(101.8) == 0.0
    assert followers.advance(103.0) is None


def test_the_share_is_never_above_one(followers):
    followers.set_vm_count(1)
    for vm in (A, B, C):
        followers.record(vm, 100.0, COUNTED_S, 100.0)
    assert followers.share == 1.0


def test_teams_and_slots_are_spread():
    vms = [core.VmName(f'vm{n}') for n in range(60)]
    slots = collections.Counter(
        decisions.limit_slot(core.TeamName(f't{n}')) for n in range(1000)
    )
    assert min(slots.values()) > 200
    firsts = {
        decisions.sort_limit_keepers(slot, vms)[0]
        for slot in decisions.LIMIT_SLOTS
    }
    assert len(firsts) > 1


@pytest.mark.parametrize('vms', [1, 70, 200, 600, 1000])
def test_a_keeper_answers_a_bounded_number_of_followers(vms):
    timing = decisions.follow_timing(vms)
    assert vms / timing.interval_s <= 200
    assert timing.interval_s < timing.silent_s < timing.counted_s


def test_a_vm_is_held_from_the_receipt_of_the_stamp_that_it_returned():
    hold = decisions.KeeperHold(0.0, COUNTED_S)
    assert not hold.is_over(COUNTED_S)
    assert hold.is_over(COUNTED_S * 1.04)
    hold.begin()
    hold.record(stamp(), 10.0)
    # A stamp that was not returned holds nobody.
    assert hold.is_over(10.1)
    assert hold.echo() is not None
    assert not hold.is_over(10.0 + COUNTED_S)
    assert hold.is_over(10.0 + COUNTED_S * 1.04 + 0.01)


def test_a_keeper_that_was_silent_is_not_chosen_for_a_while():
    choice = decisions.KeeperChoice()
    choice.set_order((A, B))
    assert choice.first(0.0) == A
    choice.avoid(A, 0.0)
    assert choice.first(1.0) == B
    assert choice.first(6.0) == A
    choice.avoid(B, 1.0)
    assert choice.first(1.0) == A


def test_a_keeper_earlier_in_the_order_must_answer_twice():
    choice = decisions.KeeperChoice()
    choice.set_order((A, B))
    assert choice.better(B, 0.0) == A
    assert not choice.record_answer(A, 0.1)
    assert not choice.record_answer(C, 0.2)
    assert choice.record_answer(A, 0.6)
    assert choice.better(A, 0.7) is None


def test_each_of_two_equal_regions_has_keepers_of_its_own():
    vms = [core.VmName(f'vm{number}') for number in range(64)]
    near = frozenset(vms[:32])
    order = decisions.sort_limit_keepers(SLOT, vms, near)
    assert set(order[:32]) == near
    assert sorted(order) == sorted(vms)


def test_a_region_with_few_vms_shares_the_keepers_of_the_others():
    vms = [core.VmName(f'vm{number}') for number in range(64)]
    order = decisions.sort_limit_keepers(SLOT, vms, frozenset(vms[:8]))
    assert order == decisions.sort_limit_keepers(SLOT, vms)


def test_all_registered_vms_share_the_limits_whether_they_are_live_or_not():
    zones = {'a': 'north', 'b': 'north', 'c': 'south'}
    config = decisions.Configuration(
        core.ConfigVersion(1),
        tuple(decisions.ZoneSpec(*zone) for zone in zones.items()),
        tuple(
            decisions.VmSpec(core.VmName(f'vm-{zone}'), zone, 'h', 1)
            for zone in zones
        ),
        (),
        (),
    )
    live = frozenset({'vm-b', 'vm-c', 'vm-unknown'})
    vms = decisions.limit_vms(config, live, core.VmName('vm-a'))
    assert vms.live == {'vm-a', 'vm-b', 'vm-c'}
    assert vms.near == {'vm-a', 'vm-b'}
    assert vms.vm_count == 3
