"""More VMs than connections: most send their work through a holder."""

from __future__ import annotations

import logbook
import pytest

from chicoryusher import core
from chicoryusher_standins import pool

Verb = core.Verb
Refusal = core.Refusal
PRIMARY = core.Access.PRIMARY
OWN = core.Access.OWN_WRITES
# 21 connections an instance, of which 10 are dealt out: three holders.
VMS = 12
CAP = 21
READ_SHAPE = core.Shape(core.ShapeKind.READ, 'q2c')


def bare(verb):
    return core.Statement(verb, verb.value.upper())


def read(item='1a4'):
    return core.Statement(Verb.READ, f'READ {item}', item)


def write(item='1a4'):
    return core.Statement(Verb.WRITE, f'WRITE {item} x', item, 'x')


@pytest.fixture
def site():
    with logbook.TestHandler() as handler:
        made = pool.Site(VMS)
        yield made
        made.close()
    failed = core.LogEvent.TASK_FAILED.number
    assert all(one.extra['number'] != failed for one in handler.records)


def ask(site, caller, *statements, seconds=0.3):
    for statement in statements:
        caller.ask(statement)
        site.run(seconds)
    return caller.last


def split(site):
    """Return the holders of the primary's connections, and the others."""
    name = site.group.primary().name
    for vm in site.vms:
        ask(site, vm.caller(PRIMARY), write(), seconds=0.1)
    holders = [vm for vm in site.vms if vm.links[name].opened]
    others = [vm for vm in site.vms if not vm.links[name].opened]
    return holders, others


def test_three_vms_hold_the_connections_and_all_are_served(site):
    holders, others = split(site)
    assert len(holders) == 3
    for vm in others:
        assert ask(site, vm.caller(PRIMARY), write()).refusal is None


def test_a_burst_from_every_vm_stays_within_the_cap(site):
    split(site)
    callers = [vm.caller(PRIMARY) for vm in site.vms for _ in range(6)]
    for caller in callers:
        caller.ask(write())
    site.run(2.0)
    assert all(one.last.refusal is None for one in callers)
    for name in site.group.instances:
        opened = sum(vm.links[name].opened for vm in site.vms)
        assert opened <= CAP


def test_a_session_keeps_its_values_shapes_and_transactions(site):
    _, others = split(site)
    caller = others[0].caller(PRIMARY)
    value = core.Statement(Verb.SET, 'SET tenant 7', 'tenant', '7')
    shape = core.Statement(Verb.PREPARE, 'PREPARE', 's1', '', READ_SHAPE)
    execute = core.Statement(Verb.EXECUTE, 'EXECUTE s1 1a4', 's1', '1a4')
    ask(site, caller, value, shape, bare(Verb.BEGIN), write())
    assert caller.last.block is core.BlockState.OPEN
    ask(site, caller, execute, bare(Verb.COMMIT))
    assert [one.refusal for one in caller.answers] == [None] * 6
    assert caller.last.block is core.BlockState.IDLE
    runs = [one for one in site.group.runs if one.shape == READ_SHAPE]
    assert runs[-1].values == (('tenant', '7'),)
    assert runs[-1].block is core.BlockState.OPEN


def test_a_session_reads_what_it_wrote_through_others(site):
    _, others = split(site)
    for one in site.group.instances.values():
        one.deaf = one is not site.group.primary()
    caller = others[0].caller(OWN)
    assert ask(site, caller, write()).refusal is None
    request = caller.ask(read())
    site.run(0.3)
    run = next(one for one in site.group.runs if one.request_id == request)
    assert run.instance == site.group.primary().name


def test_a_caller_that_leaves_rolls_back_where_its_transaction_runs(site):
    _, others = split(site)
    caller = others[0].caller(PRIMARY)
    ask(site, caller, bare(Verb.BEGIN), write())
    before = len(site.group.commits)
    caller.leave()
    site.run(0.5)
    for _ in range(3):
        ask(site, others[1].caller(PRIMARY), write())
    assert len(site.group.commits) == before + 3


def holder_of(site, vm, monkeypatch=None):
    """Return the VM that runs another VM's work at the primary."""
    caller = vm.caller(PRIMARY)
    with logbook.TestHandler() as handler:
        ask(site, caller, write())
    number = core.LogEvent.STATEMENT_RELAYED.number
    relayed = [one for one in handler.records if one.extra['number'] == number]
    return next(one for one in site.vms if one.vm == relayed[-1].extra['vm'])


def test_a_lost_holder_leaves_a_commit_unknown_and_the_rest_aborted(site):
    _, others = split(site)
    vm = others[0]
    holder = holder_of(site, vm)
    committing, idle = vm.caller(PRIMARY), vm.caller(PRIMARY)
    for caller in (committing, idle):
        ask(site, caller, bare(Verb.BEGIN), write())
    site.isolate(holder)
    committing.ask(bare(Verb.COMMIT))
    site.run(1.2)
    assert committing.last.refusal is Refusal.UNKNOWN
    ask(site, idle, write(), seconds=1.2)
    assert idle.last.refusal is Refusal.ABORTED
    site.run(1.0)
    assert ask(site, vm.caller(PRIMARY), write()).refusal is None


def test_a_read_goes_elsewhere_when_its_holder_is_silent(site):
    _, others = split(site)
    vm = others[0]
    site.isolate(holder_of(site, vm))
    caller = vm.caller(OWN)
    ask(site, caller, read(), seconds=1.5)
    assert caller.last.refusal is None


def test_a_holder_that_forgot_a_transaction_commits_nothing(site):
    """The stream to the holder broke, and only the holder noticed."""
    _, others = split(site)
    vm = others[0]
    holder = holder_of(site, vm)
    caller = vm.caller(PRIMARY)
    ask(site, caller, bare(Verb.BEGIN), write())
    before = len(site.group.commits)
    relay = core.TaskName(f'{holder.vm}/relay')
    site.loop.post(relay, core.PeerDown(vm.vm))
    site.run(0.1)
    assert ask(site, caller, bare(Verb.COMMIT)).refusal is Refusal.ABORTED
    assert len(site.group.commits) == before


@pytest.mark.parametrize('fault', ['dark', 'crashed'])
def test_a_dead_primary_is_replaced_and_no_promise_is_broken(site, fault):
    split(site)
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
    landed = {one.request_id: one for one in site.group.commits}
    newest = 0
    acked = set()
    for caller, request in answers:
        refusal = caller.last.refusal
        if refusal is None:
            acked.add(request)
        if refusal in (Refusal.BUSY, Refusal.ABORTED):
            assert request not in landed
    for one in site.group.commits:
        newest = max(newest, one.position.term)
        assert one.request_id not in acked or one.position.term == newest
    late = [one for one, _ in answers[-VMS:]]
    assert all(one.last.refusal is None for one in late)
