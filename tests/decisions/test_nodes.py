"""Decisions of a VM on configuration, gates, heartbeats and failover."""

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
    assert {problem.path for problem in caught.value.problems} == {
        '$.register.vms[0].zone',
        '$.register.databases[0].instances[1].zone',
        '$.register.databases[1].name',
        '$.rules.statements[0].databases[0]',
    }


def test_rules_fill_in_the_marks_that_a_caller_has_not_set():
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


def test_a_difference_has_its_path_in_the_document():
    before, after = _document(), _document()
    after['rules']['default_deadline'] = 5.0
    del after['register']['databases'][2]
    paths = {
        change.path for change in decisions.config_differences(before, after)
    }
    assert '$.rules.default_deadline' in paths
    assert any('[spoonbook_3]' in change for change in paths)
    assert decisions.config_differences(before, copy.deepcopy(before)) == ()


def test_a_removed_vm_changes_only_the_gates_of_its_instances():
    config = _config()
    live = [entry.name for entry in config.vms]
    zones = decisions.LiveVmsByZone(config, live)
    before = {
        spec.name: decisions.gate_of(spec, zones) for spec in config.instances
    }
    assert all(
        config.vm(gate).zone == config.instance(name).zone
        for name, gate in before.items()
    )
    removed = live[0]
    remaining = decisions.LiveVmsByZone(config, live[1:])
    for spec in config.instances:
        after = decisions.gate_of(spec, remaining)
        if before[spec.name] != removed:
            assert after == before[spec.name]
        else:
            assert after != removed


def test_the_heartbeat_graph_is_sparse_and_connected():
    graph = {vm: decisions.choose_heartbeat_targets(vm, VMS) for vm in VMS}
    assert (
        max(len(targets) for targets in graph.values())
        <= decisions.MAX_HEARTBEAT_TARGETS
    )
    reached, frontier = {VMS[0]}, [VMS[0]]
    for _ in range(12):
        frontier = [
            n for vm in frontier for n in graph[vm] if n not in reached
        ]
        reached |= set(frontier)
    assert len(reached) == len(VMS)


def _membership():
    membership = decisions.Membership(VMS[0])
    membership.set_configured(VMS[:4], 0.0)
    membership.set_monitored(VMS[1:4], 0.0)
    return membership


def test_a_suspected_vm_stays_usable_at_first():
    membership = _membership()
    membership.record_contact(VMS[1], False, 1.5)
    membership.check_timeouts(1.6)
    assert VMS[2] in membership.suspected()
    assert VMS[2] in membership.usable()
    membership.record_contact(VMS[2], False, 1.7)
    assert membership.suspected() == (VMS[3],)


def test_a_second_vms_report_confirms_that_a_vm_is_gone():
    membership = _membership()
    membership.check_timeouts(1.1)
    membership.record_unreachable_report(VMS[1], VMS[2], 1.2)
    assert VMS[2] not in membership.usable()
    membership.record_contact(VMS[2], False, 2.0)
    assert VMS[2] in membership.usable()


def test_a_vm_missing_from_the_list_stays_usable_until_it_is_suspected():
    membership = _membership()
    membership.apply_vm_list(VMS[:2], (), 0.5)
    assert VMS[2] in membership.usable()
    membership.apply_vm_list(VMS[:4], (VMS[1],), 0.6)
    assert VMS[1] not in membership.usable()


def test_equal_shares_divide_an_instance_between_all_gates():
    config = _config()
    shares = decisions.GATE_PLACEMENTS.get('shares')()
    live = [vm.name for vm in config.vms]
    spec = config.instances[0]
    part = shares.share(spec, live)
    assert part.connections * len(live) <= spec.connections
    zones = decisions.LiveVmsByZone(config, live)
    assert shares.gate(spec, zones, live[3]) == live[3]


def _probe(name, alive=True, **changes):
    base = core.ProbeAnswer(core.InstanceName(name), 1, alive)
    return dataclasses.replace(base, term=core.Term(1), **changes)


def _health(primary_contact_age):
    health = decisions.GroupHealth([core.InstanceName(n) for n in 'abc'], 0.0)
    health.record_probe(_probe('a', role=core.Role.PRIMARY), 0.0, 0.0)
    for name in 'bc':
        health.record_probe(
            _probe(name, primary_contact_age=primary_contact_age), 0.0, 0.0
        )
    for _ in range(2):
        health.record_probe(_probe('a', alive=False), 0.5, 0.5)
    return health


def test_a_primary_that_its_replicas_can_reach_is_not_replaced():
    health = _health(primary_contact_age=0.0)
    assert health.primary_unreachable(0.1)
    assert not health.failover_confirmed(0.1)


def test_a_primary_that_a_majority_cannot_reach_is_replaced():
    assert _health(primary_contact_age=0.5).failover_confirmed(0.1)


def test_a_minority_does_not_replace_a_primary():
    health = _health(primary_contact_age=0.5)
    for _ in range(2):
        health.record_probe(_probe('b', alive=False), 0.6, 0.6)
    assert not health.failover_confirmed(0.7)


def test_a_zone_without_a_vm_is_served_from_its_region():
    config = _config()
    spec = next(
        entry for entry in config.instances if entry.zone == 'akhmim-yard'
    )
    live = [entry.name for entry in config.vms if entry.zone != spec.zone]
    gate = decisions.gate_of(spec, decisions.LiveVmsByZone(config, live))
    assert config.vm(gate).zone == 'qena-mill'
    without_vms = decisions.LiveVmsByZone(config, ())
    assert decisions.gate_of(spec, without_vms) is None


def test_an_accepted_document_is_rebuilt_as_it_was_compiled():
    document = _document()
    version = core.ConfigVersion(3)
    compiled = decisions.compile_document(document, version)
    assert decisions.rebuild_document(document, version) == compiled
    del document['register']['zones']
    with pytest.raises(core.SettingsError):
        decisions.rebuild_document(document, version)
