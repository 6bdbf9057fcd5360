"""Pooled sessions on several VMs, with the real tasks."""

from __future__ import annotations

import dataclasses

import logbook
import pytest

from chicoryusher import core
from chicoryusher_standins import pool

Verb = core.Verb
Refusal = core.Refusal
Block = core.BlockState
PRIMARY = core.Access.PRIMARY
OWN = core.Access.OWN_WRITES
BOUNDED = core.Access.BOUNDED
READ_SHAPE = core.Shape(core.ShapeKind.READ, 'q2c')
WRITE_SHAPE = core.Shape(core.ShapeKind.WRITE, 'q3d')


def bare(verb):
    return core.Statement(verb, verb.value.upper())


def read(item='1a4'):
    return core.Statement(Verb.READ, f'READ {item}', item)


def write(item='1a4'):
    return core.Statement(Verb.WRITE, f'WRITE {item} x', item, 'x')


def setting(name, value):
    text = f'SET {name} {value}'
    return core.Statement(Verb.SET, text, name, value)


def prepare(name, shape):
    return core.Statement(Verb.PREPARE, 'PREPARE', name, '', shape)


def execute(name):
    return core.Statement(Verb.EXECUTE, f'EXECUTE {name} 1a4', name, '1a4')


@pytest.fixture
def site():
    with logbook.TestHandler() as handler:
        made = pool.Site()
        yield made
        made.close()
    failed = core.LogEvent.TASK_FAILED.number
    assert all(one.extra['number'] != failed for one in handler.records)


def ask(site, caller, *statements, seconds=0.3):
    for statement in statements:
        caller.ask(statement)
        site.run(seconds)
    return caller.last


def run_of(site, request_id):
    found = [one for one in site.group.runs if one.request_id == request_id]
    assert len(found) == 1
    return found[0]


def test_a_read_is_answered_with_the_instances_rows_and_digest(site):
    caller = site.vms[0].caller(PRIMARY)
    answer = ask(site, caller, read())
    assert answer.refusal is None
    assert answer.rows == ('at 0',)
    assert answer.digest is not None


def test_an_unknown_database_is_refused(site):
    vm = site.vms[0]
    caller = pool.Caller(site.loop, vm.vm, vm.desk.task_name, 'nowhere')
    site.run(0.1)
    assert caller.refused is Refusal.NO_DATABASE


def test_a_session_reads_what_it_wrote_though_replicas_lag(site):
    site.group.replicating = False
    caller = site.vms[0].caller(OWN)
    ask(site, caller, write())
    answer = ask(site, caller, read())
    assert answer.rows == ('at 1',)


def test_a_bounded_read_leaves_the_primary_alone_when_replicas_are_fresh(
    site,
):
    caller = site.vms[0].caller(BOUNDED)
    ask(site, caller, read())
    request_id = caller.ask(read())
    site.run(0.3)
    ran = run_of(site, request_id)
    assert ran.instance != site.group.primary().name


def test_a_bounded_read_without_a_recent_proof_goes_to_the_primary(site):
    caller = site.vms[0].caller(BOUNDED)
    ask(site, caller, read())
    site.run(3.0)
    request_id = caller.ask(read())
    site.run(0.3)
    assert run_of(site, request_id).instance == site.group.primary().name


def test_values_of_one_session_never_show_in_another(site):
    vm = site.vms[0]
    one, other = vm.caller(PRIMARY), vm.caller(PRIMARY)
    ask(site, one, setting('tz', 'cairo'), setting('role', 'clerk'), read())
    request_id = other.ask(read())
    site.run(0.3)
    assert run_of(site, request_id).values == ()
    request_id = one.ask(read())
    site.run(0.3)
    wanted = (('role', 'clerk'), ('tz', 'cairo'))
    assert run_of(site, request_id).values == wanted


def test_prepared_names_of_two_sessions_keep_their_own_shapes(site):
    vm = site.vms[0]
    one, other = vm.caller(PRIMARY), vm.caller(PRIMARY)
    ask(site, one, prepare('s1', READ_SHAPE))
    ask(site, other, prepare('s1', WRITE_SHAPE))
    first, second = one.ask(execute('s1')), other.ask(execute('s1'))
    site.run(0.3)
    assert run_of(site, first).shape == READ_SHAPE
    assert run_of(site, second).shape == WRITE_SHAPE


def test_an_unprepared_name_is_refused_without_a_run(site):
    caller = site.vms[0].caller(PRIMARY)
    answer = ask(site, caller, execute('s9'))
    assert answer.refusal is Refusal.NOT_PREPARED
    assert site.group.runs == []


def test_a_transaction_stays_on_its_connection_and_commits_once(site):
    caller = site.vms[0].caller(PRIMARY)
    ask(site, caller, bare(Verb.BEGIN), read(), write())
    assert caller.last.block is Block.OPEN
    answer = ask(site, caller, bare(Verb.COMMIT))
    assert answer.refusal is None
    assert answer.block is Block.IDLE
    assert len(site.group.commits) == 1
    assert {one.block for one in site.group.runs} == {Block.OPEN}


def test_a_rolled_back_transaction_leaves_nothing(site):
    caller = site.vms[0].caller(PRIMARY)
    ask(site, caller, bare(Verb.BEGIN), write(), bare(Verb.ROLLBACK))
    assert caller.last.block is Block.IDLE
    ask(site, caller, read())
    assert site.group.commits == []


def test_a_caller_that_leaves_in_a_transaction_leaves_nothing(site):
    vm = site.vms[0]
    caller = vm.caller(PRIMARY)
    ask(site, caller, bare(Verb.BEGIN), write())
    caller.leave()
    site.run(0.3)
    other = vm.caller(PRIMARY)
    ask(site, other, write())
    assert len(site.group.commits) == 1
    assert site.group.runs[-1].block is Block.IDLE


def test_a_read_only_transaction_runs_on_a_replica(site):
    caller = site.vms[0].caller(BOUNDED)
    ask(site, caller, read())
    ask(site, caller, bare(Verb.BEGIN_READ_ONLY))
    request_id = caller.ask(read())
    site.run(0.3)
    replica = run_of(site, request_id).instance
    assert replica != site.group.primary().name
    ask(site, caller, bare(Verb.COMMIT))
    assert caller.last.refusal is None
    assert site.group.runs[-1].instance == replica


def test_nothing_but_the_end_is_taken_in_a_failed_transaction(site):
    caller = site.vms[0].caller(PRIMARY)
    ask(site, caller, bare(Verb.BEGIN), read(), execute('s9'))
    assert caller.last.block is Block.FAILED
    answer = ask(site, caller, read())
    assert answer.refusal is Refusal.MALFORMED
    answer = ask(site, caller, bare(Verb.COMMIT))
    assert answer.refusal is Refusal.ABORTED
    assert answer.block is Block.IDLE


def test_a_read_whose_answer_is_lost_runs_elsewhere(site):
    caller = site.vms[0].caller(BOUNDED)
    ask(site, caller, read())
    primary = site.group.primary()
    for one in site.group.instances.values():
        one.lose_answers = one is not primary
    answer = ask(site, caller, read(), seconds=1.0)
    assert answer.refusal is None


def test_a_write_whose_answer_is_lost_is_unknown_and_sent_once(site):
    caller = site.vms[0].caller(PRIMARY)
    ask(site, caller, read())
    site.group.primary().lose_answers = True
    request_id = caller.ask(write())
    site.run(2.0)
    assert caller.last.refusal is Refusal.UNKNOWN
    landed = [
        one for one in site.group.commits if one.request_id == request_id
    ]
    assert len(landed) == 1


def test_a_busy_instance_is_avoided(site):
    caller = site.vms[0].caller(BOUNDED)
    ask(site, caller, read())
    primary = site.group.primary()
    for one in site.group.instances.values():
        one.busy = one is not primary
    answer = ask(site, caller, read())
    assert answer.refusal is None


def test_what_a_full_primary_cannot_take_is_refused_in_time(site):
    caller = site.vms[0].caller(PRIMARY)
    site.group.primary().full = True
    answer = ask(site, caller, write(), seconds=0.6)
    assert answer.refusal is Refusal.BUSY
    assert site.group.commits == []


def test_a_draining_vm_closes_sessions_between_operations(site):
    vm = site.vms[0]
    idle, open_one = vm.caller(PRIMARY), vm.caller(PRIMARY)
    ask(site, open_one, bare(Verb.BEGIN), write())
    site.loop.post(vm.desk.task_name, core.Drain(6.0))
    site.run(0.1)
    assert idle.closed
    assert not open_one.closed
    ask(site, open_one, bare(Verb.COMMIT))
    assert open_one.last.refusal is None
    assert open_one.closed


def test_a_change_of_a_route_applies_from_the_next_transaction(site):
    caller = site.vms[0].caller(PRIMARY)
    ask(site, caller, bare(Verb.BEGIN), write())
    config = site.store.config
    site.store.config = core.PoolConfig(
        core.ConfigVersion(2), config.routes[1:], config.services, 3.0
    )
    site.run(0.5)
    answer = ask(site, caller, bare(Verb.COMMIT))
    assert answer.refusal is None
    answer = ask(site, caller, read())
    assert answer.refusal is Refusal.NO_DATABASE


def test_an_older_configuration_never_comes_back(site):
    config = site.store.config
    newer = core.PoolConfig(
        core.ConfigVersion(5), config.routes, config.services, 3.0
    )
    site.store.config = newer
    site.run(0.5)
    site.store.config = config
    site.run(0.5)
    caller = site.vms[0].caller(PRIMARY)
    assert ask(site, caller, read()).refusal is None
    assert site.vms[0].keeper.config.version == 5


def test_a_vm_that_the_store_turns_away_learns_from_its_peers(site):
    site.store.shut.add(site.vms[2].vm)
    config = site.store.config
    site.store.config = core.PoolConfig(
        core.ConfigVersion(9), config.routes, config.services, 3.0
    )
    site.run(2.0)
    assert site.vms[2].keeper.config.version == 9
    assert site.vms[2].desk.authority()


def test_a_configuration_arrives_though_the_store_shuts_two_vms_out():
    """Seen on a hunted day of Inzovu (mix, seed 487392856372)."""
    site = pool.Site(5)
    site.run(5.0)
    config = site.store.config
    for first in site.vms:
        for second in site.vms:
            site.store.shut = {first.vm, second.vm}
            config = dataclasses.replace(
                config, version=core.ConfigVersion(config.version + 1)
            )
            site.store.config = config
            site.run(3.9)
            for vm in site.vms:
                assert vm.keeper.config.version == config.version
    site.close()


def test_the_links_of_an_instances_past_life_end(site):
    """An instance may come back under its name before it is missed."""
    caller = site.vms[0].caller(PRIMARY)
    assert ask(site, caller, write()).refusal is None
    past = tuple(site.vms[0].links.values())
    for one in site.group.instances.values():
        one.entry = dataclasses.replace(one.entry, boot=one.entry.boot + 1)
    site.register()
    site.run(2.0)
    assert all(one.root is not site.loop for one in past)
    for _ in range(3):
        assert ask(site, caller, write()).refusal is None
