"""What the tests on a ``pool.Site`` share."""

from __future__ import annotations

import contextlib
import dataclasses

import logbook

from chicoryusher import core
from chicoryusher_standins import pool

# More VMs than connections to an instance: most statements are forwarded.
FORWARDING_VM_COUNT = 12


@contextlib.contextmanager
def checked_site(vm_count, **options):
    """Yield a site whose ``records`` is the log; check that no task failed."""
    with logbook.TestHandler() as handler:
        site = pool.Site(vm_count, **options)
        site.records = handler.records
        yield site
        site.close()
    failed = core.LogEvent.TASK_FAILED.number
    assert all(record.extra['number'] != failed for record in handler.records)


def read(item='1a4'):
    return core.Statement(core.Verb.READ, f'READ {item}', item)


def write(item='1a4'):
    return core.Statement(core.Verb.WRITE, f'WRITE {item} x', item, 'x')


def bare(verb):
    return core.Statement(verb, verb.value.upper())


WRITE = write()


def ask(site, caller, *statements, seconds=0.2):
    """Send each statement, run for ``seconds`` after it; return the answer."""
    for statement in statements:
        caller.ask(statement)
        site.run(seconds)
    return caller.last


def write_load(site, seconds, vms=None, step=0.1):
    """Write from every VM (or from ``vms``) every ``step`` seconds.

    Return (time of the request, answer) of each answered caller.
    """
    callers = []
    for _ in range(round(seconds / step)):
        for vm in vms or site.vms:
            caller = vm.caller(core.ReadAccess.PRIMARY)
            caller.ask(write())
            callers.append((site.clock.now(), caller))
        site.run(step)
    site.run(1.5)
    return [
        (asked_at, caller.last)
        for asked_at, caller in callers
        if caller.answers
    ]


def vm_under_test(site):
    """Return a VM that has used the primary; it forwards if any VM does."""
    name = site.group.primary().name
    for vm in site.vms:
        caller = vm.caller(core.ReadAccess.PRIMARY)
        assert ask(site, caller, WRITE).refusal is None
    others = [vm for vm in site.vms if not vm.links[name].opened]
    return others[0] if others else site.vms[0]


def pinned_conns(site):
    """Return the connections of all VMs that are in a transaction."""
    return [
        conn
        for vm in site.vms
        for instance_pool in vm.desk._group_table._pools.values()
        for conn in instance_pool._conns.all()
        if conn.state is core.ConnState.PINNED
    ]


def commits_of(site, request_id):
    return [
        commit
        for commit in site.group.commits
        if commit.request_id == request_id
    ]


def set_teams(site, *teams, seconds=3.0):
    """Put a newer configuration with these teams into the store, and run."""
    config = site.store.config
    site.store.config = dataclasses.replace(
        config,
        version=core.ConfigVersion(config.version + 1),
        teams=teams,
    )
    site.run(seconds)
