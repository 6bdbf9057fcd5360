"""Which VMs own connections, if there are few connections and many VMs."""

from __future__ import annotations

import collections

import pytest

from chicoryusher import core
from chicoryusher import decisions

ZONES = {
    core.ZoneName('akhmim-yard'): core.RegionName('upper-nile'),
    core.ZoneName('qena-mill'): core.RegionName('upper-nile'),
    core.ZoneName('alex-depot'): core.RegionName('delta'),
}
NAMES = tuple(ZONES)


def nodes(count):
    return tuple(
        core.EntryVmZone(core.VmName(f'vm{n}'), NAMES[n % len(NAMES)])
        for n in range(count)
    )


def entry(name='i-1', zone='akhmim-yard'):
    return core.InstanceEntry(
        core.InstanceName(name),
        core.ServiceName('spoonbook'),
        '10.0.0.1',
        1,
        core.ZoneName(zone),
        3,
        False,
        core.Role.REPLICA,
        1,
    )


@pytest.mark.parametrize(
    ('cap', 'vms', 'count'),
    [
        (21, 7, 7),
        (21, 10, 10),
        (55, 8, 8),
        (46, 62, 5),
        (205, 88, 88),
        (46, 580, 5),
        (8, 580, 3),
        (21, 1, 1),
    ],
)
def test_all_vms_own_connections_if_the_cap_allows_else_few(cap, vms, count):
    assert decisions.conn_owner_count(cap, vms) == count


@pytest.mark.parametrize('cap', [8, 21, 46, 205])
@pytest.mark.parametrize('vms', [40, 62, 88, 580])
def test_few_owners_stay_within_the_cap(cap, vms):
    count = decisions.conn_owner_count(cap, vms)
    if count == vms:
        return
    share = decisions.connection_share(cap, count)
    assert count * share.kept_open <= cap
    assert share.max_open >= share.kept_open


def test_vms_in_the_instances_zone_are_owners_first():
    owners = decisions.choose_conn_owners(entry(), nodes(12), 5, ZONES.get)
    assert [node.zone for node in owners[:4]] == ['akhmim-yard'] * 4
    assert owners[4].zone == 'qena-mill'


def test_a_removed_owner_is_replaced_and_the_others_stay():
    before = decisions.choose_conn_owners(entry(), nodes(30), 5, ZONES.get)
    removed = before[2]
    remaining = tuple(node for node in nodes(30) if node != removed)
    after = decisions.choose_conn_owners(entry(), remaining, 5, ZONES.get)
    assert [node for node in before if node != removed] == list(after[:4])


def test_connection_owners_differ_between_instances():
    chosen = {
        decisions.choose_conn_owners(entry(f'i-{n}'), nodes(60), 5, ZONES.get)
        for n in range(12)
    }
    assert len(chosen) > 6


def test_work_goes_through_the_vm_itself_or_the_nearest_owner():
    own = core.EntryVmZone(core.VmName('vm2'), core.ZoneName('alex-depot'))
    near = core.EntryVmZone(core.VmName('vm5'), core.ZoneName('alex-depot'))
    far = core.EntryVmZone(core.VmName('vm1'), core.ZoneName('qena-mill'))
    order = decisions.sort_conn_owners
    assert order(own, (far, near, own), ZONES.get) == (
        own.vm,
        near.vm,
        far.vm,
    )
    assert order(own, (far, near), ZONES.get) == (near.vm, far.vm)
    assert order(own, (), ZONES.get) == ()


def test_teams_meet_at_few_owners_though_all_vms_could_own_connections():
    """Load: more teams than the connections that each VM may keep."""
    assert decisions.conn_owner_count(70, 23) == 23
    assert decisions.conn_owner_count(70, 23, teams=True) == 8


def test_all_vms_try_the_owners_of_a_team_in_one_order():
    owners = tuple(core.VmName(f'vm{number}') for number in range(8))
    teams = [core.TeamName(f'team{number}') for number in range(74)]
    orders = {team: decisions.sort_team_owners(team, owners) for team in teams}
    for team, order in orders.items():
        assert decisions.sort_team_owners(team, reversed(owners)) == order
    firsts = collections.Counter(order[0] for order in orders.values())
    assert max(firsts.values()) <= 3 * len(teams) / len(owners)
