from __future__ import annotations

import copy
import dataclasses

import pytest

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.tasks import node  # noqa: F401 - fills the registries
from chicoryusher_standins import deployments

DEPLOYMENT = deployments.DEPLOYMENTS['nile-grain']
VMS = tuple(core.VmName(f'vm{n:03}') for n in range(580))


def _document():
    return deployments.document(DEPLOYMENT, '127.0.0.1', 1)


def _config(vms=7):
    deployment = dataclasses.replace(DEPLOYMENT, vms=vms, databases=20)
    document = deployments.document(deployment, '127.0.0.1', 1)
    return decisions.compile_document(document, core.ConfigVersion(1))


def test_every_defect_of_a_register_is_reported_with_its_path():
    document = _document()
    register = document['register']
    register['vms'][0]['zone'] = 'nowhere'
    register['databases'][0]['instances'][1]['zone'] = 'nowhere'
    register['databases'][1]['name'] = register['databases'][0]['name']
    document['rules']['statements'] = [
        {'databases': ['unknown'], 'marks': {'max_staleness': 1}}
    ]
    with pytest.raises(core.SettingsError) as caught:
        decisions.compile_document(document, core.ConfigVersion(1))
    assert {one.path for one in caught.value.problems} == {
        '$.register.vms[0].zone',
        '$.register.databases[0].instances[1].zone',
        '$.register.databases[1].name',
        '$.rules.statements[0].databases[0]',
    }


def test_rules_complete_the_marks_that_a_caller_left_open():
    document = _document()
    document['rules']['statements'] = [
        {
            'tables': ['stock'],
            'marks': {'max_staleness': 2.0, 'deadline': 3.0},
        }
    ]
    config = decisions.compile_document(document, core.ConfigVersion(1))
    request = core.Request(
        core.RequestId('r'),
        core.SessionId('s'),
        core.CallerName('c'),
        core.DatabaseName('spoonbook_1'),
        core.StatementKind.READ,
        core.StatementClass('x'),
        core.Payload(b''),
        core.Marks(max_staleness=0.5),
        ('stock',),
    )
    marks = config.marks_for(request)
    assert (marks.max_staleness, marks.deadline) == (0.5, 3.0)
    other = dataclasses.replace(request, tables=('lots',))
    assert config.marks_for(other) is other.marks


def test_a_difference_names_its_place():
    before, after = _document(), _document()
    after['rules']['default_deadline'] = 5.0
    del after['register']['databases'][2]
    paths = {one.path for one in decisions.differences(before, after)}
    assert '$.rules.default_deadline' in paths
    assert any('[spoonbook_3]' in one for one in paths)
    assert decisions.differences(before, copy.deepcopy(before)) == ()


def test_a_lost_vm_moves_only_its_own_gates():
    config = _config()
    live = [one.name for one in config.vms]
    zones = decisions.LiveZones(config, live)
    before = {
        spec.name: decisions.gate_of(spec, zones) for spec in config.instances
    }
    assert all(
        config.vm(gate).zone == config.instance(name).zone
        for name, gate in before.items()
    )
    lost = live[0]
    fewer = decisions.LiveZones(config, live[1:])
    for spec in config.instances:
        after = decisions.gate_of(spec, fewer)
        if before[spec.name] != lost:
            assert after == before[spec.name]
        else:
            assert after != lost


def test_heartbeats_stay_few_and_reach_everyone():
    graph = {vm: decisions.neighbours_of(vm, VMS) for vm in VMS}
    assert (
        max(len(one) for one in graph.values())
        <= decisions.MAX_HEARTBEAT_TARGETS
    )
    seen, front = {VMS[0]}, [VMS[0]]
    for _ in range(12):
        front = [n for vm in front for n in graph[vm] if n not in seen]
        seen |= set(front)
    assert len(seen) == len(VMS)


def _membership():
    membership = decisions.Membership(VMS[0])
    membership.configured(VMS[:4], 0.0)
    membership.watch(VMS[1:4], 0.0)
    return membership


def test_silence_alone_takes_no_gate_at_once():
    membership = _membership()
    membership.heard(VMS[1], False, 1.5)
    membership.tick(1.6)
    assert VMS[2] in membership.suspected()
    assert VMS[2] in membership.live()
    membership.heard(VMS[2], False, 1.7)
    assert membership.suspected() == (VMS[3],)


def test_a_second_witness_confirms_a_loss():
    membership = _membership()
    membership.tick(1.1)
    membership.witnessed(VMS[1], VMS[2], 1.2)
    assert VMS[2] not in membership.live()
    membership.heard(VMS[2], False, 2.0)
    assert VMS[2] in membership.live()


def test_the_list_may_lag_without_harm():
    membership = _membership()
    membership.listed(VMS[:2], (), 0.5)
    assert VMS[2] in membership.live()
    membership.listed(VMS[:4], (VMS[1],), 0.6)
    assert VMS[1] not in membership.live()


def test_shares_split_an_instance_between_all_gates():
    config = _config()
    shares = decisions.PLACEMENTS.get('shares')()
    live = [one.name for one in config.vms]
    spec = config.instances[0]
    part = shares.part(spec, live)
    assert part.connections * len(live) <= spec.connections
    zones = decisions.LiveZones(config, live)
    assert shares.gate(spec, zones, live[3]) == live[3]


def _probe(name, alive=True, **changes):
    base = core.ProbeAnswer(core.InstanceName(name), 1, alive)
    return dataclasses.replace(base, term=core.Term(1), **changes)


def _health(source_age):
    health = decisions.GroupHealth([core.InstanceName(n) for n in 'abc'], 0.0)
    health.heard(_probe('a', role=core.Role.PRIMARY), 0.0, 0.0)
    for name in 'bc':
        health.heard(_probe(name, source_age=source_age), 0.0, 0.0)
    for _ in range(2):
        health.heard(_probe('a', alive=False), 0.5, 0.5)
    return health


def test_a_primary_that_its_replicas_hear_is_left_in_peace():
    health = _health(source_age=0.0)
    assert health.primary_silent(0.1)
    assert not health.silence_confirmed(0.1)


def test_a_primary_that_a_majority_misses_is_replaced():
    assert _health(source_age=0.5).silence_confirmed(0.1)


def test_a_minority_replaces_nobody():
    health = _health(source_age=0.5)
    for _ in range(2):
        health.heard(_probe('b', alive=False), 0.6, 0.6)
    assert not health.silence_confirmed(0.7)


def test_a_zone_without_a_vm_is_served_from_its_region():
    config = _config()
    spec = next(one for one in config.instances if one.zone == 'akhmim-yard')
    live = [one.name for one in config.vms if one.zone != spec.zone]
    gate = decisions.gate_of(spec, decisions.LiveZones(config, live))
    assert config.vm(gate).zone == 'qena-mill'
    nobody = decisions.LiveZones(config, ())
    assert decisions.gate_of(spec, nobody) is None


def test_an_accepted_document_is_rebuilt_as_it_was_compiled():
    document = _document()
    version = core.ConfigVersion(3)
    whole = decisions.compile_document(document, version)
    assert decisions.rebuild_document(document, version) == whole
    del document['register']['zones']
    with pytest.raises(core.SettingsError):
        decisions.rebuild_document(document, version)
