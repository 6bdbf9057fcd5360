"""Few connections before many VMs: who holds them."""

from __future__ import annotations

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
        core.NodePlace(core.VmName(f'vm{n}'), NAMES[n % len(NAMES)])
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
def test_all_hold_while_the_cap_allows_and_few_beyond(cap, vms, count):
    assert decisions.holder_count(cap, vms) == count


@pytest.mark.parametrize('cap', [8, 21, 46, 205])
@pytest.mark.parametrize('vms', [40, 62, 88, 580])
def test_few_holders_stay_within_the_cap(cap, vms):
    count = decisions.holder_count(cap, vms)
    if count == vms:
        return
    share = decisions.connection_share(cap, count)
    assert count * share.kept <= cap
    assert share.most >= share.kept


def test_holders_are_of_the_instances_zone_first():
    found = decisions.holders_of(entry(), nodes(12), 5, ZONES.get)
    assert [one.zone for one in found[:4]] == ['akhmim-yard'] * 4
    assert found[4].zone == 'qena-mill'


def test_a_vm_that_goes_moves_only_its_own_part():
    before = decisions.holders_of(entry(), nodes(30), 5, ZONES.get)
    gone = before[2]
    rest = tuple(one for one in nodes(30) if one != gone)
    after = decisions.holders_of(entry(), rest, 5, ZONES.get)
    assert [one for one in before if one != gone] == list(after[:4])


def test_instances_are_spread_over_the_vms():
    chosen = {
        decisions.holders_of(entry(f'i-{n}'), nodes(60), 5, ZONES.get)
        for n in range(12)
    }
    assert len(chosen) > 6


def test_work_goes_through_itself_or_the_nearest_holder():
    own = core.NodePlace(core.VmName('vm2'), core.ZoneName('alex-depot'))
    near = core.NodePlace(core.VmName('vm5'), core.ZoneName('alex-depot'))
    far = core.NodePlace(core.VmName('vm1'), core.ZoneName('qena-mill'))
    via = decisions.nearest_holder
    assert via(own, (far, near, own), ZONES.get) == own.vm
    assert via(own, (far, near), ZONES.get) == near.vm
    assert via(own, (far,), ZONES.get) == far.vm
    assert via(own, (), ZONES.get) is None
