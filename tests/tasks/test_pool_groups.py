"""How long a group without a primary expects a new primary."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher.tasks.pool.groups import group_state

SERVICE = core.ServiceName('spoonbook')
PRIMARY = core.InstanceName('i-1')


def test_a_group_first_seen_without_a_primary_expects_a_primary():
    """A VM that starts during a change of primary has stopped no primary.

    The expected time then counts from the first time it sees the group.
    """
    group = group_state.PoolGroup(SERVICE)
    group.set_primary(None, 10.0)
    assert group.expects_primary(10.0 + group_state.PRIMARY_CHANGE_S / 2)
    assert not group.expects_primary(10.0 + group_state.PRIMARY_CHANGE_S)


def test_the_time_counts_from_when_the_primary_was_removed():
    group = group_state.PoolGroup(SERVICE)
    group.set_primary(PRIMARY, 10.0)
    assert not group.expects_primary(11.0)
    group.set_primary(None, 12.0)
    group.set_primary(None, 13.0)
    assert group.expects_primary(12.0 + group_state.PRIMARY_CHANGE_S / 2)
    assert not group.expects_primary(12.0 + group_state.PRIMARY_CHANGE_S)
