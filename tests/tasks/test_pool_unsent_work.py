"""Work that has reached no instance: its caller hears that it was not run.

A time limit ends shortly after the time within which statements start, so
work that waits at a connection owner must be given back before its limit.
"""

from __future__ import annotations

import dataclasses

import pytest

import pool_sites
from chicoryusher import core
from chicoryusher.tasks.pool.statements import instance_selection
from chicoryusher.tasks.pool.statements import sessions
from chicoryusher_standins import pool

PRIMARY = core.ReadAccess.PRIMARY
BEGIN = core.Statement(core.Verb.BEGIN, 'BEGIN')
READ = core.Statement(core.Verb.READ, 'READ 1a4', '1a4')
WRITE = pool_sites.WRITE
TIME_LIMIT_S = 0.8
LATENCY_TARGET_S = 1.0
# Transactions that take all connections that the owners may open.
TRANSACTION_COUNT = 40
# All connections are taken; a statement that waits ends within this time.
WAIT_S = 1.5


@pytest.fixture
def site():
    with pool_sites.checked_site(pool_sites.FORWARDING_VM_COUNT) as new_site:
        routes = tuple(
            dataclasses.replace(
                route,
                statement_timeout=TIME_LIMIT_S,
                latency_target=LATENCY_TARGET_S,
            )
            for route in pool.CONFIG.routes
        )
        new_site.store.config = dataclasses.replace(
            pool.CONFIG,
            version=core.ConfigVersion(2),
            routes=routes,
            transaction_idle_timeout=60.0,
        )
        new_site.run(3.0)
        yield new_site


def take_all_connections(site):
    """Hold the connections to the primary in open transactions."""
    for number in range(TRANSACTION_COUNT):
        vm = site.vms[number % len(site.vms)]
        pool_sites.ask(site, vm.caller(PRIMARY), BEGIN, WRITE, seconds=0.05)


@pytest.mark.parametrize('statement', [WRITE, READ], ids=['write', 'read'])
def test_work_that_waits_at_an_owner_is_refused_as_not_run(site, statement):
    take_all_connections(site)
    callers = [vm.caller(PRIMARY) for vm in site.vms]
    requests = {caller.ask(statement) for caller in callers}
    site.run(WAIT_S)
    refusals = [caller.last.refusal for caller in callers]
    assert not requests & {run.request_id for run in site.group.runs}
    assert set(refusals) == {core.Refusal.BUSY}


def test_a_transaction_that_waits_at_an_owner_is_aborted(site):
    take_all_connections(site)
    callers = [vm.caller(PRIMARY) for vm in site.vms]
    for caller in callers:
        pool_sites.ask(site, caller, BEGIN, seconds=0.01)
        caller.ask(WRITE)
    site.run(WAIT_S)
    refusals = {caller.last.refusal for caller in callers}
    assert refusals <= {core.Refusal.BUSY, core.Refusal.ABORTED}


@pytest.mark.parametrize(
    ('at_primary', 'via', 'limit', 'seconds'),
    [
        (False, 'vm1', TIME_LIMIT_S, 0.45),
        (True, 'vm1', TIME_LIMIT_S, 0.6),
        (True, 'vm1', 0.2, 0.15),
        (False, None, TIME_LIMIT_S, 0.75),
    ],
)
def test_how_long_a_read_waits_for_a_connection(
    at_primary, via, limit, seconds
):
    """At another VM it is given back while it can still run elsewhere."""
    route = dataclasses.replace(
        pool.CONFIG.routes[0],
        statement_timeout=limit,
        latency_target=LATENCY_TARGET_S,
    )
    caller = core.TaskName('caller')
    session = sessions.PoolSession(
        None, core.SessionId('s1'), caller, route.database
    )
    message = core.PoolStatement(
        session.session_id, core.RequestId('r1'), READ
    )
    attempt = sessions.Attempt(session, message, route, None, 10.0, 10.0)
    attempt.at_primary = at_primary
    attempt.conn_owner = via
    work = instance_selection.make_work(
        attempt, core.WorkId(1), caller, 10.0, None, None, float('inf')
    )
    assert work.start_deadline == pytest.approx(10.0 + seconds)
