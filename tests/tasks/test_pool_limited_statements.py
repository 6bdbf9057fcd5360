"""Statements of teams with a limit, from callers to instances."""

import dataclasses

import pytest

import pool_sites
from chicoryusher import core

KEY = core.KeyDigest('a1')
RED = core.Team(core.TeamName('red'), (KEY,), rate=4.0, burst=4.0)
# Keepers grant the limit itself and nothing of what is tolerated.
EXACT = core.LimitTolerance(ratio=0.0, requests=0.0)
PRIMARY = core.ReadAccess.PRIMARY
BEGIN = core.Statement(core.Verb.BEGIN, 'BEGIN')
COMMIT = core.Statement(core.Verb.COMMIT, 'COMMIT')
LIMIT_MESSAGES = (
    core.AskAllowance,
    core.FollowLimitKeeper,
    core.GrantAllowance,
    core.LimitKeeperStamp,
)


@pytest.fixture
def site():
    with pool_sites.checked_site(3, limit_tolerance=EXACT) as site:
        pool_sites.set_teams(site, RED, seconds=5.0)
        yield site


def write_at_once(site, count, vm=0):
    """Send one write of as many sessions; return their refusals."""
    callers = [site.vms[vm].caller(PRIMARY, KEY) for _ in range(count)]
    site.run(0.1)
    for caller in callers:
        caller.ask(pool_sites.WRITE)
    site.run(2.0)
    return [caller.last.refusal for caller in callers]


def requests_of(vm):
    """Return the requests for allowances that a VM's dispatcher sends."""
    requests = []
    send = vm.desk.send

    def record(task, message):
        if isinstance(message, core.RequestAllowance):
            requests.append(message)
        send(task, message)

    vm.desk.send = record
    return requests


def test_statements_over_the_limit_are_refused_and_have_not_run(site):
    refusals = write_at_once(site, 20)
    assert set(refusals) == {None, core.Refusal.OVER_LIMIT}
    assert refusals.count(None) == len(site.group.commits)
    # A burst, and what comes while they wait.
    assert RED.burst <= refusals.count(None) <= RED.burst + 3


def test_the_limit_counts_the_statements_of_all_vms(site):
    served = sum(
        write_at_once(site, 8, vm).count(None) for vm in range(len(site.vms))
    )
    assert served <= RED.burst + 3 * 2.1 * RED.rate


def test_a_transaction_is_one_operation(site):
    vm = site.vms[0]
    caller = vm.caller(PRIMARY, KEY)
    requests = requests_of(vm)
    statements = (BEGIN, *[pool_sites.WRITE] * 5, COMMIT)
    answer = pool_sites.ask(site, caller, *statements)
    assert answer.refusal is None
    assert len(requests) == 1


def test_a_refused_transaction_has_ended(site):
    vm = site.vms[0]
    write_at_once(site, 20)
    callers = [vm.caller(PRIMARY, KEY) for _ in range(12)]
    for caller in callers:
        caller.ask(BEGIN)
    site.run(0.1)
    for caller in callers:
        caller.ask(pool_sites.WRITE)
    site.run(2.0)
    refused = [caller for caller in callers if caller.last.refusal]
    assert refused
    for caller in refused:
        assert caller.last.refusal is core.Refusal.OVER_LIMIT
        assert caller.last.transaction_status is core.TransactionStatus.IDLE


def test_tries_that_did_not_run_use_one_allowance(site):
    primary = site.group.primary()
    vm = site.vms[0]
    requests = requests_of(vm)
    primary.full = True
    caller = vm.caller(PRIMARY, KEY)
    caller.ask(pool_sites.WRITE)
    site.run(0.3)
    primary.full = False
    site.run(1.0)
    assert caller.last.refusal is None
    assert len(requests) == 1


def test_a_caller_that_leaves_gives_its_place_up(site):
    vm = site.vms[0]
    write_at_once(site, 20)
    leaving = [vm.caller(PRIMARY, KEY) for _ in range(10)]
    site.run(0.1)
    for caller in leaving:
        caller.ask(pool_sites.WRITE)
    for caller in leaving:
        caller.leave()
    commits = len(site.group.commits)
    site.run(2.0)
    assert not vm.desk._attempts._allowances._requests._waiting
    assert len(site.group.commits) <= commits + 1


def test_without_a_rate_nothing_of_the_limits_is_sent(site):
    pool_sites.set_teams(
        site, dataclasses.replace(RED, rate=None), seconds=5.0
    )
    site.run(3.0)
    site.sent.clear()
    requests = requests_of(site.vms[0])
    assert set(write_at_once(site, 20)) == {None}
    sent = {type(message) for _, message in site.sent}
    assert not sent & set(LIMIT_MESSAGES)
    assert not requests


def silence_keepers(site):
    for vm in site.vms:
        vm.limit_keeper.handlers = {
            **vm.limit_keeper.handlers,
            core.AskAllowance: lambda task, message: None,
        }


def test_no_statement_is_held_past_its_time_limit(site):
    """The latency target of its route is above its time limit."""
    config = site.store.config
    routes = tuple(
        dataclasses.replace(route, latency_target=3.0)
        for route in config.routes
    )
    version = core.ConfigVersion(config.version + 1)
    site.store.config = dataclasses.replace(
        config, version=version, routes=routes
    )
    site.run(5.0)
    silence_keepers(site)
    caller = site.vms[0].caller(PRIMARY, KEY)
    caller.ask(pool_sites.WRITE)
    site.run(routes[0].statement_timeout - 0.01)
    assert caller.last.refusal is core.Refusal.BUSY


def test_without_an_answer_of_a_keeper_a_statement_is_refused_as_busy(site):
    silence_keepers(site)
    assert set(write_at_once(site, 3)) == {core.Refusal.BUSY}
    assert not site.group.commits


def test_the_key_is_not_in_the_log(site):
    write_at_once(site, 20)
    events = [
        record.extra
        for record in site.records
        if record.extra['number'] == core.LogEvent.OPERATION_OVER_LIMIT.number
    ]
    assert events
    assert all(KEY not in str(event) for event in events)
