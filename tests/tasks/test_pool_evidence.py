"""Answers by evidence from instances, in place of a lapsed primary lease.

The VMs run the real tasks; the store, the instances and the network between
VMs are stand-ins.  Each test names the failure that it brings about.
"""

from __future__ import annotations

import contextlib
import dataclasses

import pytest

import pool_sites
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher_standins import pool

Verb = core.Verb
Refusal = core.Refusal
USE = core.EvidenceMode.USE
READ = core.Statement(Verb.READ, 'READ 1a4', '1a4')
BEGIN = core.Statement(Verb.BEGIN, 'BEGIN')
COMMIT = core.Statement(Verb.COMMIT, 'COMMIT')
# Time after which a VM that is cut off has no lease, and evidence is used.
LAPSED_S = decisions.LEASE_DURATION_S + 1.0


@contextlib.contextmanager
def evidence_site(evidence=USE, vm_count=4):
    """Yield a site on which each VM has a connection to each instance."""
    with pool_sites.checked_site(vm_count, evidence=evidence) as site:
        site.run(decisions.instance_evidence.MIN_CONFIRMATION_SPAN_S + 3.0)
        warm_up(site)
        yield site


@pytest.fixture
def site():
    with evidence_site() as new_site:
        yield new_site


def warm_up(site):
    """Open a connection of every VM to every instance, and use the primary."""
    for vm in site.vms:
        pools = vm.desk._group_table._pools.values()
        for instance_pool in pools:
            instance_pool._opener.open(site.clock.now())
        site.run(0.1)
        caller = vm.caller(core.ReadAccess.PRIMARY)
        assert pool_sites.ask(site, caller, pool_sites.WRITE).refusal is None


def ask(site, vm, *statements, seconds=1.5):
    caller = vm.caller(core.ReadAccess.PRIMARY)
    return pool_sites.ask(site, caller, *statements, seconds=seconds)


def statuses(site):
    """Return how many status commands the instances have run."""
    return sum(instance.statuses for instance in site.group.instances.values())


def replicas(site):
    primary = site.group.primary()
    instances = site.group.instances.values()
    return [instance for instance in instances if instance is not primary]


def cut_off(site, vm):
    """Cut a VM off from the store and its peers until its lease ends."""
    site.isolate(vm)
    site.run(LAPSED_S)
    assert not vm.desk.has_lease()


def evidence_serves(site, vm):
    """Return whether the VM's list of instances serves for evidence."""
    lease_end = vm.collector._lease_end
    (group,) = vm.collector._groups.values()
    return group.witnesses.serves(lease_end, site.clock.boottime())


def replace_primary(site, vm):
    """Let the other VMs replace the primary, which only ``vm`` reaches."""
    old = site.group.primary()
    others = [other for other in site.vms if other is not vm]
    for other in others:
        site.cut.add((str(other.vm), str(old.name)))
    site.isolate(vm)
    for _ in range(100):
        for other in others:
            other.caller(core.ReadAccess.PRIMARY).ask(pool_sites.WRITE)
        site.run(0.1)
        if site.group.primary() is not old:
            return
    raise AssertionError('the primary was not replaced')


def test_nothing_is_asked_while_the_lease_stands(site):
    before = statuses(site)
    for vm in site.vms:
        assert ask(site, vm, pool_sites.WRITE, READ).refusal is None
    assert statuses(site) == before


def test_a_vm_without_store_and_peers_serves_by_evidence(site):
    """The store and all other VMs are cut off; the instances are not."""
    vm = site.vms[0]
    cut_off(site, vm)
    answer = ask(site, vm, pool_sites.WRITE)
    assert answer.refusal is None
    assert pool_sites.commits_of(site, answer.request_id)
    assert ask(site, vm, READ).rows == ('at 5',)
    assert statuses(site) > 0
    proved = core.LogEvent.ANSWER_PROVED.number
    assert any(record.extra['number'] == proved for record in site.records)


def opened(site):
    return sum(link.opened for vm in site.vms for link in vm.links.values())


def test_connections_to_replicas_are_opened_before_the_lease_ends():
    """No VM has read from a replica before it is cut off."""
    with pool_sites.checked_site(4, evidence=USE) as site:
        site.run(10.0)
        vm = site.vms[0]
        assert ask(site, vm, pool_sites.WRITE).refusal is None
        before = opened(site)
        site.run(10.0)
        assert opened(site) == before
        cut_off(site, vm)
        assert opened(site) == before + len(replicas(site))
        assert ask(site, vm, pool_sites.WRITE).refusal is None


def test_a_transaction_is_served_by_evidence(site):
    vm = site.vms[0]
    cut_off(site, vm)
    assert ask(site, vm, BEGIN, READ, pool_sites.WRITE, COMMIT).refusal is None


@pytest.mark.parametrize(
    'mode', [core.EvidenceMode.OFF, core.EvidenceMode.GUARD]
)
def test_without_the_setting_a_lapsed_vm_refuses_and_asks_nobody(mode):
    with evidence_site(mode) as site:
        vm = site.vms[0]
        cut_off(site, vm)
        before = statuses(site)
        assert ask(site, vm, pool_sites.WRITE).refusal is Refusal.BUSY
        assert statuses(site) == before


def test_a_replica_that_cannot_be_reached_gives_no_evidence(site):
    """A group of 3 with one replica cut off from the VM and its peers."""
    vm = site.vms[0]
    for other in site.vms:
        site.cut.add((str(other.vm), str(replicas(site)[0].name)))
    cut_off(site, vm)
    assert ask(site, vm, pool_sites.WRITE).refusal is Refusal.BUSY


def test_a_commit_that_a_replica_has_not_received_is_unknown(site):
    """Replication stops: the commit may be lost with the primary."""
    vm = site.vms[0]
    cut_off(site, vm)
    assert ask(site, vm, READ).refusal is None
    replicas(site)[0].deaf = True
    answer = ask(site, vm, pool_sites.WRITE)
    assert answer.refusal is Refusal.UNKNOWN
    assert pool_sites.commits_of(site, answer.request_id)


def test_a_commit_is_answered_once_a_late_replica_has_it(site):
    vm = site.vms[0]
    cut_off(site, vm)
    assert ask(site, vm, READ).refusal is None
    late = replicas(site)[0]
    late.deaf = True
    caller = vm.caller(core.ReadAccess.PRIMARY)
    caller.ask(pool_sites.WRITE)
    site.run(0.2)
    assert not caller.answers
    late.deaf = False
    site.group.replicate()
    site.run(0.3)
    assert caller.last.refusal is None


@pytest.mark.parametrize('replicating', [True, False])
def test_a_replaced_primary_serves_nothing_by_evidence(site, replicating):
    """The others replace the primary that only the cut-off VM reaches.

    The other replica may follow the new primary, or still the old one.
    """
    vm = site.vms[0]
    old = site.group.primary()
    site.group.replicating = replicating
    old.deaf = True
    replace_primary(site, vm)
    # The hint that the instances give evidence may be fresh.
    vm.desk._attempts._held._proved_at[pool.SERVICE] = site.clock.now()
    for statement in (READ, pool_sites.WRITE, BEGIN):
        vm.desk._attempts._held._proved_at[pool.SERVICE] = site.clock.now()
        assert old.role is core.Role.PRIMARY
        assert evidence_serves(site, vm)
        if statement is BEGIN:
            answer = ask(site, vm, BEGIN, READ, seconds=0.5)
        else:
            answer = ask(site, vm, statement, seconds=0.5)
        assert answer.refusal in (
            Refusal.BUSY,
            Refusal.UNKNOWN,
            Refusal.ABORTED,
        )
    assert any(run.instance == old.name for run in site.group.runs[-3:])


def test_answers_around_a_change_of_primary_are_current(site):
    """The primary is replaced while the cut-off VM writes to the old one."""
    vm = site.vms[0]
    cut_off(site, vm)
    callers = []
    old = site.group.primary()
    for other in site.vms[1:]:
        site.cut.add((str(other.vm), str(old.name)))
    for _ in range(60):
        for one in site.vms:
            caller = one.caller(core.ReadAccess.PRIMARY)
            caller.ask(pool_sites.WRITE)
            callers.append(caller)
        site.run(0.1)
        if site.group.primary() is not old:
            site.group.replicating = False
    site.run(1.5)
    assert site.group.primary() is not old
    acked = {
        caller.last.request_id
        for caller in callers
        if caller.answers and caller.last.refusal is None
    }
    assert any(commit.instance == old.name for commit in site.group.commits)
    newest = 0
    for commit in site.group.commits:
        newest = max(newest, commit.position.term)
        if commit.request_id in acked:
            assert commit.position.term == newest


def test_a_restarted_replica_gives_no_evidence(site):
    """An instance forgets in a restart that it was promoted."""
    vm = site.vms[0]
    cut_off(site, vm)
    assert ask(site, vm, READ).refusal is None
    name = replicas(site)[0].name
    for one in site.vms:
        one.links[name].lose_connections()
    site.run(0.5)
    instance_pool = vm.desk._group_table._pools[name]
    instance_pool._opener.open(site.clock.now())
    site.run(0.1)
    assert instance_pool._conns.idle()
    assert ask(site, vm, READ).refusal is Refusal.BUSY


def hold_answer(site, vm, *statements):
    """Return a caller whose last answer is held: a replica is behind."""
    caller = vm.caller(core.ReadAccess.PRIMARY)
    for statement in statements[:-1]:
        pool_sites.ask(site, caller, statement, seconds=0.3)
    replicas(site)[0].deaf = True
    before = len(caller.answers)
    caller.ask(statements[-1])
    site.run(0.15)
    assert len(caller.answers) == before
    return caller


def test_a_caller_leaves_while_its_answer_is_held(site):
    vm = site.vms[0]
    cut_off(site, vm)
    assert ask(site, vm, READ).refusal is None
    caller = hold_answer(site, vm, BEGIN, pool_sites.WRITE, COMMIT)
    caller.leave()
    site.run(2.0)
    assert not pool_sites.pinned_conns(site)


def test_a_held_commit_is_unknown_when_the_vm_shuts_down(site):
    vm = site.vms[0]
    cut_off(site, vm)
    assert ask(site, vm, READ).refusal is None
    caller = hold_answer(site, vm, pool_sites.WRITE)
    vm.send(vm.desk.task_name, core.AdvanceDrain(core.DrainStage.ANSWERING))
    site.run(0.01)
    assert caller.last.refusal is Refusal.UNKNOWN


def test_a_transaction_without_evidence_is_rolled_back(site):
    """A replica is lost after evidence was found, before the transaction."""
    vm = site.vms[0]
    cut_off(site, vm)
    assert ask(site, vm, READ, seconds=0.2).refusal is None
    replicas(site)[0].dark = True
    caller = vm.caller(core.ReadAccess.PRIMARY)
    pool_sites.ask(site, caller, BEGIN, seconds=0.05)
    caller.ask(READ)
    site.run(1.5)
    assert caller.last.refusal is Refusal.ABORTED
    assert not pool_sites.pinned_conns(site)


def test_evidence_ends_some_time_after_the_lease(site):
    vm = site.vms[0]
    cut_off(site, vm)
    assert ask(site, vm, READ).refusal is None
    site.run(decisions.EVIDENCE_S)
    assert ask(site, vm, READ).refusal is Refusal.BUSY


def test_a_frozen_vm_does_not_use_evidence_from_before(site):
    """The VM is suspended between the status and the answer."""
    vm = site.vms[0]
    cut_off(site, vm)
    caller = vm.caller(core.ReadAccess.PRIMARY)
    caller.ask(pool_sites.WRITE)
    site.run(0.02)
    site.clock.suspend(decisions.EVIDENCE_S)
    site.run(1.5)
    assert caller.last.refusal in (Refusal.BUSY, Refusal.UNKNOWN)


def test_a_peer_reads_the_status_of_a_replica_that_this_vm_cannot_reach(site):
    """Both VMs are cut off from the store and from the other two."""
    vm, peer = site.vms[:2]
    for one in (vm, peer):
        site.store.shut.add(one.vm)
        for other in site.vms[2:]:
            site.cut.add((str(one.vm), str(other.vm)))
    site.cut.add((str(vm.vm), str(replicas(site)[0].name)))
    site.run(LAPSED_S)
    assert not vm.desk.has_lease()
    assert ask(site, vm, pool_sites.WRITE).refusal is None
    sent = [message for _, message in site.sent]
    assert any(isinstance(message, core.StatusReport) for message in sent)


def add_instance(site):
    """Register a replica that takes the log over; return it."""
    number = len(site.group.instances)
    entry = dataclasses.replace(
        replicas(site)[0].entry,
        name=core.InstanceName(f'{pool.SERVICE}-{number}'),
        port=7000 + number,
    )
    instance = pool.Instance(site.group, entry)
    site.group.instances[entry.name] = instance
    site.group.replicate()
    for vm in site.vms:
        vm.prober.add(instance)
    site.register()
    return instance


@pytest.mark.parametrize('vm_is_cut_off', [True, False])
def test_a_new_instance_waits_while_a_vm_may_not_know_it(site, vm_is_cut_off):
    """All instances but one that a cut-off VM does not list are gone."""
    vm = site.vms[0]
    if vm_is_cut_off:
        site.isolate(vm)
    new = add_instance(site)
    site.run(2.0)
    old = [one for one in site.group.instances.values() if one is not new]
    for instance in old:
        for other in site.vms[1:]:
            site.cut.add((str(other.vm), str(instance.name)))
            if not vm_is_cut_off:
                site.cut.add((str(vm.vm), str(instance.name)))
    began_at = site.clock.now()
    while new.role is not core.Role.PRIMARY:
        for other in site.vms[1:]:
            other.caller(core.ReadAccess.PRIMARY).ask(pool_sites.WRITE)
        site.run(0.25)
        waited = site.clock.now() - began_at
        assert waited < 40.0
    assert (waited > decisions.EVIDENCE_S) is vm_is_cut_off


def test_a_change_that_waits_for_a_vm_ends_once_that_confirms(site):
    """The cut-off VM that may not list the new instance is back."""
    vm = site.vms[0]
    site.isolate(vm)
    new = add_instance(site)
    site.run(2.0)
    for instance in site.group.instances.values():
        for other in site.vms:
            if instance is not new:
                site.cut.add((str(other.vm), str(instance.name)))
    waits = core.LogEvent.HANDOVER_WAITS_FOR_EVIDENCE.number
    for _ in range(40):
        site.vms[1].caller(core.ReadAccess.PRIMARY).ask(pool_sites.WRITE)
        site.run(0.25)
        if any(record.extra['number'] == waits for record in site.records):
            break
    assert new.role is not core.Role.PRIMARY
    for other in site.vms[1:]:
        site.cut.discard((str(vm.vm), str(other.vm)))
    site.run(decisions.EVIDENCE_S / 2)
    assert new.role is core.Role.PRIMARY
