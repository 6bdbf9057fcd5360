"""A group without a primary: how long one is expected to come."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher.tasks.pool import groups

SERVICE = core.ServiceName('spoonbook')
PRIMARY = core.InstanceName('i-1')


def test_a_group_first_seen_without_a_primary_expects_one():
    """A VM that starts during a change has not stopped a primary."""
    group = groups.PoolGroup(SERVICE)
    group.take_primary(None, 10.0)
    assert group.expects_primary(10.0 + groups.CHANGE_TIME / 2)
    assert not group.expects_primary(10.0 + groups.CHANGE_TIME)


def test_the_time_counts_from_when_the_primary_went():
    group = groups.PoolGroup(SERVICE)
    group.take_primary(PRIMARY, 10.0)
    assert not group.expects_primary(11.0)
    group.take_primary(None, 12.0)
    group.take_primary(None, 13.0)
    assert group.expects_primary(12.0 + groups.CHANGE_TIME / 2)
    assert not group.expects_primary(12.0 + groups.CHANGE_TIME)
