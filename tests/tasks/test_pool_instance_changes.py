"""Statements that run on an instance whose entry in the store changes.

The entry goes when the instance is cut off from the store, and it changes
when the instance restarts under its name.  The instance may have run the
statement in both cases.
"""

from __future__ import annotations

import dataclasses

import pytest

import pool_sites
from chicoryusher import core
from chicoryusher_standins import pool

PRIMARY = core.ReadAccess.PRIMARY
bare, write = pool_sites.bare, pool_sites.write
PROMISES = (
    core.Refusal.BUSY,
    core.Refusal.ABORTED,
    core.Refusal.NOT_FRESH,
    core.Refusal.READ_ONLY,
    core.Refusal.WRONG_INSTANCE,
    core.Refusal.TOO_MANY_CONNECTIONS,
)


@pytest.fixture(
    params=[3, pool_sites.FORWARDING_VM_COUNT], ids=['own', 'forwarded']
)
def site(request):
    with pool_sites.checked_site(request.param) as new_site:
        yield new_site


def deregister(site):
    """Remove the entry of a primary that still runs statements."""
    name = site.group.primary().name
    site.entries[:] = [entry for entry in site.entries if entry.name != name]
    site.store.version += 1


def restart(site):
    """Register the primary as a new incarnation that has kept its log."""
    primary = site.group.primary()
    incarnation = primary.entry.incarnation + 1
    primary.entry = dataclasses.replace(primary.entry, incarnation=incarnation)
    site.register()


CHANGES = pytest.mark.parametrize('change', [deregister, restart])


def lose_answer_and_change(site, caller, statement, change):
    """Let the primary run a statement; its entry changes meanwhile."""
    primary = site.group.primary()
    primary.lose_answers = True
    request_id = caller.ask(statement)
    site.run(0.05)
    assert [run.request_id for run in site.group.runs].count(request_id) == 1
    change(site)
    site.run(0.05)
    primary.lose_answers = False
    site.run(3.0)
    return request_id


@CHANGES
def test_a_write_on_an_instance_that_disappears_is_unknown(site, change):
    """REFUSED: a committed write was answered with BUSY or run again."""
    caller = pool_sites.vm_under_test(site).caller(PRIMARY)
    request_id = lose_answer_and_change(site, caller, write(), change)
    assert caller.last.request_id == request_id
    assert caller.last.refusal not in (*PROMISES, None)
    assert len(pool_sites.commits_of(site, request_id)) == 1


@CHANGES
def test_a_commit_on_an_instance_that_disappears_is_unknown(site, change):
    """REFUSED: a committed transaction was answered with ABORTED."""
    caller = pool_sites.vm_under_test(site).caller(PRIMARY)
    pool_sites.ask(site, caller, bare(core.Verb.BEGIN), write())
    assert caller.last.refusal is None
    commit = bare(core.Verb.COMMIT)
    request_id = lose_answer_and_change(site, caller, commit, change)
    assert caller.last.request_id == request_id
    assert caller.last.refusal not in (*PROMISES, None)
    assert len(pool_sites.commits_of(site, request_id)) == 1


@pytest.mark.parametrize('repeat', range(6))
def test_an_entry_that_returns_in_one_batch_serves_on(repeat):
    """The ended pool took the work and connections of the new one.

    The loop offers an event to both in no fixed order, hence the repeats.
    """
    site = pool.Site(1)
    [vm] = site.vms
    caller = vm.caller(PRIMARY)
    assert pool_sites.ask(site, caller, write()).refusal is None
    registered = vm.keeper._groups[pool.SERVICE]
    absent = core.GroupUpdate(pool.SERVICE, (), registered.primary)
    site.loop.post(vm.desk.task_name, absent)
    site.loop.post(vm.desk.task_name, registered)
    request_id = caller.ask(write())
    site.run(3.0)
    assert caller.last.request_id == request_id
    assert caller.last.refusal is None
    assert len(pool_sites.commits_of(site, request_id)) == 1
    site.close()


def test_a_write_is_not_run_again_once_its_instance_is_registered_again(site):
    """TWICE: the answer was under way when the entry ran out with the store.

    The write waited as not run, and ran again when the entry was back.
    """
    caller = pool_sites.vm_under_test(site).caller(PRIMARY)
    primary = site.group.primary()
    primary.lose_answers = True
    request_id = caller.ask(write())
    site.run(0.05)
    deregister(site)
    site.run(0.1)
    primary.lose_answers = False
    site.run(0.2)
    site.register()
    site.run(3.0)
    assert len(pool_sites.commits_of(site, request_id)) == 1
    assert caller.last.request_id == request_id
    assert caller.last.refusal is core.Refusal.UNKNOWN
