"""Pooled sessions on several simulated VMs, with the real tasks."""

from __future__ import annotations

import dataclasses
import functools

import pytest

import pool_sites
from chicoryusher import core
from chicoryusher_standins import pool

Verb = core.Verb
Refusal = core.Refusal
Block = core.TransactionStatus
PRIMARY = core.ReadAccess.PRIMARY
OWN = core.ReadAccess.OWN_WRITES
BOUNDED = core.ReadAccess.BOUNDED
READ_SHAPE = core.PreparedQuery(core.PreparedQueryKind.READ, 'q2c')
WRITE_SHAPE = core.PreparedQuery(core.PreparedQueryKind.WRITE, 'q3d')
bare, read, write = pool_sites.bare, pool_sites.read, pool_sites.write
ask = functools.partial(pool_sites.ask, seconds=0.3)


def setting(name, value):
    text = f'SET {name} {value}'
    return core.Statement(Verb.SET, text, name, value)


def prepare(name, shape):
    return core.Statement(Verb.PREPARE, 'PREPARE', name, '', shape)


def execute(name):
    return core.Statement(Verb.EXECUTE, f'EXECUTE {name} 1a4', name, '1a4')


@pytest.fixture
def site():
    with pool_sites.checked_site(3) as new_site:
        yield new_site


def test_a_session_that_would_keep_too_much_is_refused_and_goes_on(site):
    """Load: one session that sets large values without end."""
    caller = site.vms[0].caller(PRIMARY)
    large = 'x' * 900_000
    for name in ('a', 'b'):
        assert ask(site, caller, setting(name, large)).refusal is None
    shape = core.PreparedQuery(core.PreparedQueryKind.READ, large)
    for statement in (setting('c', large), prepare('s1', shape)):
        answer = ask(site, caller, statement)
        assert answer.refusal is Refusal.TOO_LARGE
        assert answer.transaction_status is Block.IDLE
    assert ask(site, caller, setting('a', 'y')).refusal is None
    assert ask(site, caller, setting('c', large)).refusal is None
    assert ask(site, caller, bare(Verb.BEGIN)).refusal is None
    answer = ask(site, caller, setting('d', large))
    assert answer.refusal is Refusal.TOO_LARGE
    assert answer.transaction_status is Block.OPEN
    assert ask(site, caller, read()).refusal is None


def only_run(site, request_id):
    matching = [run for run in site.group.runs if run.request_id == request_id]
    assert len(matching) == 1
    return matching[0]


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


def test_a_bounded_read_runs_on_a_replica_when_replicas_are_fresh(
    site,
):
    caller = site.vms[0].caller(BOUNDED)
    ask(site, caller, read())
    request_id = caller.ask(read())
    site.run(0.3)
    result = only_run(site, request_id)
    assert result.instance != site.group.primary().name


def test_a_bounded_read_without_a_recent_position_goes_to_the_primary(site):
    caller = site.vms[0].caller(BOUNDED)
    ask(site, caller, read())
    site.run(3.0)
    request_id = caller.ask(read())
    site.run(0.3)
    assert only_run(site, request_id).instance == site.group.primary().name


def test_session_values_do_not_leak_into_another_session(site):
    vm = site.vms[0]
    first, second = vm.caller(PRIMARY), vm.caller(PRIMARY)
    ask(site, first, setting('tz', 'cairo'), setting('role', 'clerk'), read())
    request_id = second.ask(read())
    site.run(0.3)
    assert only_run(site, request_id).values == ()
    request_id = first.ask(read())
    site.run(0.3)
    expected = (('role', 'clerk'), ('tz', 'cairo'))
    assert only_run(site, request_id).values == expected


def test_two_sessions_prepare_different_statements_under_one_name(site):
    vm = site.vms[0]
    reader, writer = vm.caller(PRIMARY), vm.caller(PRIMARY)
    ask(site, reader, prepare('s1', READ_SHAPE))
    ask(site, writer, prepare('s1', WRITE_SHAPE))
    read_id, write_id = reader.ask(execute('s1')), writer.ask(execute('s1'))
    site.run(0.3)
    assert only_run(site, read_id).shape == READ_SHAPE
    assert only_run(site, write_id).shape == WRITE_SHAPE


def test_an_unprepared_name_is_refused_without_a_run(site):
    caller = site.vms[0].caller(PRIMARY)
    answer = ask(site, caller, execute('s9'))
    assert answer.refusal is Refusal.NOT_PREPARED
    assert site.group.runs == []


def test_a_transaction_stays_on_its_connection_and_commits_once(site):
    caller = site.vms[0].caller(PRIMARY)
    ask(site, caller, bare(Verb.BEGIN), read(), write())
    assert caller.last.transaction_status is Block.OPEN
    answer = ask(site, caller, bare(Verb.COMMIT))
    assert answer.refusal is None
    assert answer.transaction_status is Block.IDLE
    assert len(site.group.commits) == 1
    assert {run.block for run in site.group.runs} == {Block.OPEN}


def test_a_rolled_back_transaction_commits_nothing(site):
    caller = site.vms[0].caller(PRIMARY)
    ask(site, caller, bare(Verb.BEGIN), write(), bare(Verb.ROLLBACK))
    assert caller.last.transaction_status is Block.IDLE
    ask(site, caller, read())
    assert site.group.commits == []


def test_a_disconnect_in_a_transaction_commits_nothing(site):
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
    replica = only_run(site, request_id).instance
    assert replica != site.group.primary().name
    ask(site, caller, bare(Verb.COMMIT))
    assert caller.last.refusal is None
    assert site.group.runs[-1].instance == replica


def test_a_failed_transaction_accepts_only_its_end(site):
    caller = site.vms[0].caller(PRIMARY)
    ask(site, caller, bare(Verb.BEGIN), read(), execute('s9'))
    assert caller.last.transaction_status is Block.FAILED
    answer = ask(site, caller, read())
    assert answer.refusal is Refusal.MALFORMED
    answer = ask(site, caller, bare(Verb.COMMIT))
    assert answer.refusal is Refusal.ABORTED
    assert answer.transaction_status is Block.IDLE


def test_a_read_whose_answer_is_lost_runs_elsewhere(site):
    caller = site.vms[0].caller(BOUNDED)
    ask(site, caller, read())
    primary = site.group.primary()
    for instance in site.group.instances.values():
        instance.lose_answers = instance is not primary
    answer = ask(site, caller, read(), seconds=1.0)
    assert answer.refusal is None


def test_a_write_whose_answer_is_lost_is_unknown_and_sent_once(site):
    caller = site.vms[0].caller(PRIMARY)
    ask(site, caller, read())
    site.group.primary().lose_answers = True
    request_id = caller.ask(write())
    site.run(2.0)
    assert caller.last.refusal is Refusal.UNKNOWN
    commits_of_write = [
        commit
        for commit in site.group.commits
        if commit.request_id == request_id
    ]
    assert len(commits_of_write) == 1


def test_a_busy_instance_is_avoided(site):
    caller = site.vms[0].caller(BOUNDED)
    ask(site, caller, read())
    primary = site.group.primary()
    for instance in site.group.instances.values():
        instance.busy = instance is not primary
    answer = ask(site, caller, read())
    assert answer.refusal is None


def test_a_write_to_a_full_primary_is_refused_in_time(site):
    caller = site.vms[0].caller(PRIMARY)
    site.group.primary().full = True
    answer = ask(site, caller, write(), seconds=0.6)
    assert answer.refusal is Refusal.BUSY
    assert site.group.commits == []


def test_a_draining_vm_closes_sessions_between_operations(site):
    vm = site.vms[0]
    idle, in_transaction = vm.caller(PRIMARY), vm.caller(PRIMARY)
    ask(site, in_transaction, bare(Verb.BEGIN), write())
    site.loop.post(vm.desk.task_name, core.Drain(6.0))
    site.run(0.1)
    assert idle.closed
    assert not in_transaction.closed
    ask(site, in_transaction, bare(Verb.COMMIT))
    assert in_transaction.last.refusal is None
    assert in_transaction.closed


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


def test_an_older_configuration_is_not_applied(site):
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


def test_a_vm_that_the_store_rejects_gets_updates_from_its_peers(site):
    site.store.shut.add(site.vms[2].vm)
    config = site.store.config
    site.store.config = core.PoolConfig(
        core.ConfigVersion(9), config.routes, config.services, 3.0
    )
    site.run(2.0)
    assert site.vms[2].keeper.config.version == 9
    assert site.vms[2].desk.has_lease()


def test_a_configuration_arrives_though_the_store_rejects_two_vms():
    """Two VMs that the store rejects learn a configuration from their peers.

    Found by a random fault run of Inzovu (mix, seed 487392856372).
    """
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


def test_links_to_an_instance_end_when_it_restarts(site):
    """An instance may restart before any VM finds it unreachable."""
    caller = site.vms[0].caller(PRIMARY)
    assert ask(site, caller, write()).refusal is None
    old_links = tuple(site.vms[0].links.values())
    for item in site.group.instances.values():
        item.entry = dataclasses.replace(
            item.entry, incarnation=item.entry.incarnation + 1
        )
    site.register()
    site.run(2.0)
    assert all(item.root is not site.loop for item in old_links)
    for _ in range(3):
        assert ask(site, caller, write()).refusal is None
