"""Which VMs poll the store, when it turns some of them away."""

from __future__ import annotations

import pytest

from chicoryusher import core
from chicoryusher import decisions

VIEWS = (
    core.StoreView.LEADERS,
    core.StoreView.INSTANCES,
    core.StoreView.CONFIG,
)
RANKING = core.ServiceName('follow')
VMS = frozenset(core.VmName(f'vm{number:03}') for number in range(195))


@pytest.mark.parametrize('view', VIEWS)
def test_one_vm_polls_while_views_are_confirmed(view):
    polling = [
        rank
        for rank in range(len(VMS))
        if decisions.polls_store(view, rank, 0.5, None)
    ]
    assert polling == [0]


@pytest.mark.parametrize('view', VIEWS)
def test_further_vms_poll_one_after_the_other(view):
    """Hundreds of VMs whose views are old must not poll at once."""
    before = 1
    for step in range(1, 40):
        age_s = 2.0 + step * 0.1
        polling = sum(
            decisions.polls_store(view, rank, age_s, None)
            for rank in range(len(VMS))
        )
        assert before <= polling <= before + 3
        before = polling


def test_a_vm_polls_before_its_lease_ends():
    assert decisions.polls_store(
        core.StoreView.LEADERS, 5, decisions.LEASE_DURATION_S - 0.4, None
    )


@pytest.mark.parametrize(
    ('view', 'rank'),
    [
        (core.StoreView.LEADERS, 3),
        (core.StoreView.INSTANCES, 3),
        (core.StoreView.CONFIG, 1),
    ],
)
def test_a_vm_without_a_view_polls_soon_after_its_start(view, rank):
    assert not decisions.polls_store(view, rank, 0.0, 0.3)
    assert decisions.polls_store(view, rank, 0.0, 1.5)


def test_few_vms_read_the_configuration_after_a_restart_of_all():
    """It was read by all of them, and filled their links for 1.5 s."""

    def reading(waited_s):
        config = core.StoreView.CONFIG
        return sum(
            decisions.polls_store(config, rank, 0.0, waited_s)
            for rank in range(len(VMS))
        )

    assert [reading(waited_s) for waited_s in (0.3, 1.5, 2.0)] == [1, 2, 3]


def test_vms_that_the_store_turns_away_rank_last():
    ranks = {
        vm: decisions.poller_rank(vm, VMS, frozenset(), RANKING) for vm in VMS
    }
    first = min(ranks, key=ranks.get)
    rank = decisions.poller_rank(first, VMS, {first}, RANKING)
    assert rank == len(VMS) - 1
    second = next(vm for vm, place in ranks.items() if place == 1)
    assert decisions.poller_rank(second, VMS, {first}, RANKING) == 0


def test_the_first_vm_polls_if_the_store_turns_all_away():
    ranks = {decisions.poller_rank(vm, VMS, VMS, RANKING) for vm in VMS}
    assert ranks == set(range(len(VMS)))
