"""Transactions whose first statement is retried."""

from __future__ import annotations

import itertools

import pytest

import pool_sites
from chicoryusher import core
from chicoryusher.tasks.pool.connections import pool_conns
from chicoryusher_standins.pool import links

PRIMARY = core.ReadAccess.PRIMARY
Block = core.TransactionStatus
TRANSACTION = core.TransactionId('t1')
BEGIN = core.Statement(core.Verb.BEGIN, 'BEGIN')
COMMIT = core.Statement(core.Verb.COMMIT, 'COMMIT')
WRITE = pool_sites.WRITE
# A rollback that takes longer than the pause before a retry (20 ms).
SLOW_REPLY_S = 0.042


@pytest.fixture(
    params=[3, pool_sites.FORWARDING_VM_COUNT], ids=['own', 'forwarded']
)
def site(request):
    with pool_sites.checked_site(request.param) as new_site:
        yield new_site


def make_work(number):
    return core.Work(
        core.WorkId(number),
        core.TaskName('vm1/desk'),
        core.RequestId('r1'),
        WRITE,
        None,
        (),
        0,
        9.0,
        9.0,
        9.0,
        0.0,
        TRANSACTION,
        core.TransactionKind.READ_WRITE,
        None,
    )


def test_a_released_conn_keeps_no_other_conn_from_its_transaction():
    """A rollback of an earlier try unpinned the connection of the later."""
    conns = pool_conns.PoolConns(itertools.count(1))
    earlier, later = conns.add(0.0), conns.add(0.0)
    for number, conn in enumerate((earlier, later)):
        conns.mark_opened(conn, 0.0)
        conns.mark_running(conn, make_work(number))
    conns.release(earlier, False, 0.0)
    assert conns.pinned_to(TRANSACTION) is later
    conns.release(later, False, 0.0)
    assert conns.pinned_to(TRANSACTION) is None


def test_a_transaction_commits_after_its_first_statement_was_refused(
    site, monkeypatch
):
    """ABORTED: the slow rollback of the first try ended the second one."""
    vm = pool_sites.vm_under_test(site)
    primary = site.group.primary()
    # Several connections, so that the second try does not use the first one.
    for each in (*site.vms, *site.vms, *site.vms, *site.vms):
        each.caller(PRIMARY).ask(WRITE)
    site.run(0.5)
    monkeypatch.setattr(links, 'REPLY_DELAY_S', SLOW_REPLY_S)
    run_command = type(primary).run
    refused = []

    def refuse_first(instance, conn, command):
        if instance is primary and command.op is core.Op.RUN and not refused:
            refused.append(command)
            return core.CommandReply(
                Block.FAILED, None, refusal=core.Refusal.BUSY
            )
        return run_command(instance, conn, command)

    monkeypatch.setattr(type(primary), 'run', refuse_first)
    caller = vm.caller(PRIMARY)
    pool_sites.ask(site, caller, BEGIN)
    assert pool_sites.ask(site, caller, WRITE, seconds=0.6).refusal is None
    assert refused
    request_id = caller.ask(COMMIT)
    site.run(2.0)
    assert caller.last.refusal is None
    assert len(pool_sites.commits_of(site, request_id)) == 1
    assert not pool_sites.pinned_conns(site)


@pytest.mark.parametrize(
    'site', [pool_sites.FORWARDING_VM_COUNT], ids=['forwarded'], indirect=True
)
def test_a_try_whose_result_was_lost_leaves_no_open_transaction(site):
    """A connection stayed in the transaction of a try that was given up."""
    vm = pool_sites.vm_under_test(site)
    caller = vm.caller(PRIMARY)
    pool_sites.ask(site, caller, BEGIN)
    site.sent.clear()
    request_id = caller.ask(WRITE)
    site.run(0.003)
    [(owner, _)] = site.forwarded
    runs = [run.request_id for run in site.group.runs]
    while request_id not in runs:
        site.run(0.001)
        runs = [run.request_id for run in site.group.runs]
    site.cut.add((str(vm.vm), str(owner)))
    site.run(0.1)
    site.cut.clear()
    site.run(0.6)
    tries = [
        work for _, work in site.forwarded if work.request_id == request_id
    ]
    assert len(tries) == 2
    assert tries[0].transaction != tries[1].transaction
    assert len(pool_sites.pinned_conns(site)) == 1
    assert caller.last.refusal is None
    commit_id = caller.ask(COMMIT)
    site.run(2.0)
    assert caller.last.refusal is None
    assert len(pool_sites.commits_of(site, commit_id)) == 1
    assert not pool_sites.pinned_conns(site)
