"""Connections of owners that restart while the old ones still count."""

from __future__ import annotations

import pytest

from chicoryusher import decisions

CAPS = (10, 20, 21, 46, 55, 70)


@pytest.mark.parametrize('cap', CAPS)
@pytest.mark.parametrize('vms', [3, 7, 12, 34, 64])
def test_a_restart_of_all_vms_stays_within_the_cap(cap, vms):
    count = decisions.conn_owner_count(cap, vms)
    before = decisions.bounded_share(cap, count, restarted=False)
    after = decisions.bounded_share(cap, count, restarted=True)
    assert before.kept_open <= before.max_open
    assert min(before.max_open, after.max_open) >= 1
    total = count * (before.max_open + after.max_open)
    assert total <= max(cap, 2 * count)


@pytest.mark.parametrize('cap', CAPS)
def test_a_share_keeps_the_instance_busy_after_a_restart(cap):
    count = decisions.few_owners(cap)
    after = decisions.bounded_share(cap, count, restarted=True)
    assert count * after.max_open >= min(6, cap // 4)


def test_the_share_of_many_vms():
    assert decisions.few_owners(46) == 5
    assert decisions.bounded_share(46, 5, False) == decisions.ConnShare(4, 6)
    assert decisions.bounded_share(46, 5, True) == decisions.ConnShare(3, 3)
