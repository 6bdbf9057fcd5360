"""Forwarding: with more VMs than connections, few VMs own connections.

The other VMs send their work through a connection owner.
"""

from __future__ import annotations

import dataclasses
import functools

import logbook
import pytest

import pool_sites
from chicoryusher import core
from chicoryusher_standins import pool

Verb = core.Verb
Refusal = core.Refusal
PRIMARY = core.ReadAccess.PRIMARY
OWN = core.ReadAccess.OWN_WRITES
# Of 21 connections to an instance, 10 are distributed: three VMs own some.
VM_COUNT = 12
MAX_CONNECTIONS = 21
READ_SHAPE = core.PreparedQuery(core.PreparedQueryKind.READ, 'q2c')
bare, read, write = pool_sites.bare, pool_sites.read, pool_sites.write
ask = functools.partial(pool_sites.ask, seconds=0.3)


@pytest.fixture
def site():
    with pool_sites.checked_site(VM_COUNT) as new_site:
        yield new_site


def owners_and_others(site):
    """Return the VMs that own connections to the primary, and the others."""
    name = site.group.primary().name
    for vm in site.vms:
        ask(site, vm.caller(PRIMARY), write(), seconds=0.1)
    owners = [vm for vm in site.vms if vm.links[name].opened]
    others = [vm for vm in site.vms if not vm.links[name].opened]
    return owners, others


def test_three_vms_own_the_connections_and_all_vms_are_served(site):
    owners, others = owners_and_others(site)
    assert len(owners) == 3
    for vm in others:
        assert ask(site, vm.caller(PRIMARY), write()).refusal is None


def test_a_burst_from_every_vm_stays_within_the_connection_limit(site):
    owners_and_others(site)
    callers = [vm.caller(PRIMARY) for vm in site.vms for _ in range(6)]
    for caller in callers:
        caller.ask(write())
    site.run(2.0)
    assert all(sender.last.refusal is None for sender in callers)
    for name in site.group.instances:
        opened = sum(vm.links[name].opened for vm in site.vms)
        assert opened <= MAX_CONNECTIONS


def test_a_forwarded_session_keeps_values_statements_and_transaction(site):
    _, others = owners_and_others(site)
    caller = others[0].caller(PRIMARY)
    value = core.Statement(Verb.SET, 'SET tenant 7', 'tenant', '7')
    shape = core.Statement(Verb.PREPARE, 'PREPARE', 's1', '', READ_SHAPE)
    execute = core.Statement(Verb.EXECUTE, 'EXECUTE s1 1a4', 's1', '1a4')
    ask(site, caller, value, shape, bare(Verb.BEGIN), write())
    assert caller.last.transaction_status is core.TransactionStatus.OPEN
    ask(site, caller, execute, bare(Verb.COMMIT))
    assert [result.refusal for result in caller.answers] == [None] * 6
    assert caller.last.transaction_status is core.TransactionStatus.IDLE
    runs = [result for result in site.group.runs if result.shape == READ_SHAPE]
    assert runs[-1].values == (('tenant', '7'),)
    assert runs[-1].block is core.TransactionStatus.OPEN


def test_a_forwarded_session_reads_its_own_writes(site):
    _, others = owners_and_others(site)
    for item in site.group.instances.values():
        item.deaf = item is not site.group.primary()
    caller = others[0].caller(OWN)
    assert ask(site, caller, write()).refusal is None
    request = caller.ask(read())
    site.run(0.3)
    run = next(item for item in site.group.runs if item.request_id == request)
    assert run.instance == site.group.primary().name


def test_a_disconnect_rolls_back_a_forwarded_transaction(site):
    _, others = owners_and_others(site)
    caller = others[0].caller(PRIMARY)
    ask(site, caller, bare(Verb.BEGIN), write())
    before = len(site.group.commits)
    caller.leave()
    site.run(0.5)
    for _ in range(3):
        ask(site, others[1].caller(PRIMARY), write())
    assert len(site.group.commits) == before + 3


def owner_of(site, vm, monkeypatch=None):
    """Return the VM that runs the given VM's work at the primary."""
    caller = vm.caller(PRIMARY)
    with logbook.TestHandler() as handler:
        ask(site, caller, write())
    number = core.LogEvent.STATEMENT_RELAYED.number
    relayed = [
        entry for entry in handler.records if entry.extra['number'] == number
    ]
    return next(
        entry for entry in site.vms if entry.vm == relayed[-1].extra['vm']
    )


def test_losing_the_owner_makes_a_commit_unknown_and_others_aborted(site):
    _, others = owners_and_others(site)
    vm = others[0]
    owner = owner_of(site, vm)
    committing, idle = vm.caller(PRIMARY), vm.caller(PRIMARY)
    for caller in (committing, idle):
        ask(site, caller, bare(Verb.BEGIN), write())
    site.isolate(owner)
    committing.ask(bare(Verb.COMMIT))
    site.run(1.2)
    assert committing.last.refusal is Refusal.UNKNOWN
    ask(site, idle, write(), seconds=1.2)
    assert idle.last.refusal is Refusal.ABORTED
    site.run(1.0)
    assert ask(site, vm.caller(PRIMARY), write()).refusal is None


def test_a_read_runs_elsewhere_when_its_owner_does_not_respond(site):
    _, others = owners_and_others(site)
    vm = others[0]
    site.isolate(owner_of(site, vm))
    caller = vm.caller(OWN)
    ask(site, caller, read(), seconds=1.5)
    assert caller.last.refusal is None


def test_an_owner_without_the_transaction_commits_nothing(site):
    """The stream to the connection owner broke, and only the owner knows."""
    _, others = owners_and_others(site)
    vm = others[0]
    owner = owner_of(site, vm)
    caller = vm.caller(PRIMARY)
    ask(site, caller, bare(Verb.BEGIN), write())
    before = len(site.group.commits)
    relay = core.TaskName(f'{owner.vm}/relay')
    site.loop.post(relay, core.PeerDown(vm.vm))
    site.run(0.1)
    assert ask(site, caller, bare(Verb.COMMIT)).refusal is Refusal.ABORTED
    assert len(site.group.commits) == before


def test_a_commit_is_not_begun_anew_at_a_restarted_instance(site):
    """A lost transaction was acknowledged: its COMMIT ran in a new one.

    The connection owner has seen that the instance restarted, and gives the
    COMMIT back as not started; the caller's VM has not seen it yet.
    """
    _, others = owners_and_others(site)
    vm = others[0]
    owner = owner_of(site, vm)
    caller = vm.caller(PRIMARY)
    ask(site, caller, bare(Verb.BEGIN), write())
    restarted = tuple(
        dataclasses.replace(entry, incarnation=entry.incarnation + 1)
        for entry in site.group.entries()
    )
    site.loop.post(
        core.TaskName(f'{owner.vm}/relay'),
        core.GroupUpdate(site.group.service, restarted, restarted[0].name),
    )
    site.run(0.05)
    request = caller.ask(bare(Verb.COMMIT))
    site.run(1.5)
    assert caller.last.refusal is Refusal.ABORTED
    assert request not in {run.request_id for run in site.group.runs}


@pytest.mark.parametrize('fault', ['dark', 'crashed'])
def test_a_failed_primary_is_replaced_without_lost_or_false_answers(
    site, fault
):
    owners_and_others(site)
    old = site.group.primary()
    answers = []
    for turn in range(40):
        if turn == 10:
            setattr(old, fault, True)
        for vm in site.vms:
            caller = vm.caller(PRIMARY)
            answers.append((caller, caller.ask(write())))
        site.run(0.1)
    site.run(2.0)
    assert site.group.primary() is not old
    committed = {item.request_id: item for item in site.group.commits}
    newest = 0
    acked = set()
    for caller, request in answers:
        refusal = caller.last.refusal
        if refusal is None:
            acked.add(request)
        if refusal in (Refusal.BUSY, Refusal.ABORTED):
            assert request not in committed
    for item in site.group.commits:
        newest = max(newest, item.position.term)
        assert item.request_id not in acked or item.position.term == newest
    last_callers = [item for item, _ in answers[-VM_COUNT:]]
    assert all(item.last.refusal is None for item in last_callers)


def test_the_result_of_an_earlier_process_is_not_taken_for_another(site):
    """REFUSED, TWICE: a write that ran was taken for one not started.

    A connection owner returns the result of work of a VM's earlier process,
    with a number that the restarted process has given to a new write.
    """
    sites = (pool.Site(VM_COUNT), site)
    for each in sites:
        _, others = owners_and_others(each)
        caller = others[0].caller(PRIMARY)
        request = caller.ask(write())
        each.run(0.004)
    sites[0].close()
    (_, old), (owner, new) = (each.forwarded[-1] for each in sites)
    assert (old.vm, new.request_id) == (new.vm, request)
    late_result = core.RelayEnded(
        owner, old.work_id, old.instance, core.Completion.NOT_STARTED, False
    )
    site.loop.post(core.TaskName(f'{new.vm}/forwarder'), late_result)
    site.run(1.5)
    runs = [run for run in site.group.runs if run.request_id == request]
    assert len(runs) == 1
    assert caller.last.refusal is None
