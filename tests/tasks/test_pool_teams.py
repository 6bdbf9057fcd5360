"""Teams: keys, rights that end, and connections that belong to one team."""

import dataclasses

import pytest

import pool_sites
from chicoryusher import core
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.exchange import view_exchange
from chicoryusher_standins import pool

KEY = core.KeyDigest('a1')
OTHER_KEY = core.KeyDigest('b2')
RED = core.Team(core.TeamName('red'), (KEY,))
BLUE = core.Team(core.TeamName('blue'), (OTHER_KEY,))
PRIMARY = core.ReadAccess.PRIMARY


@pytest.fixture
def site():
    with pool_sites.checked_site(3) as site:
        pool_sites.set_teams(site, RED, BLUE)
        yield site


def write(site, caller):
    return pool_sites.ask(site, caller, pool_sites.WRITE)


def test_a_connection_is_opened_in_the_name_of_the_callers_team(site):
    opened = []
    for vm in site.vms:
        for link in vm.links.values():
            handle = link.handlers[core.OpenLink]
            link.handlers = {
                **link.handlers,
                core.OpenLink: lambda task, message, handle=handle: (
                    opened.append(message.team),
                    handle(task, message),
                ),
            }
    answer = write(site, site.vms[0].caller(PRIMARY, KEY))
    assert answer.refusal is None
    assert set(opened) == {RED.name}


def test_no_connection_serves_two_teams(site):
    for key in (KEY, OTHER_KEY, KEY, OTHER_KEY):
        assert write(site, site.vms[0].caller(PRIMARY, key)).refusal is None
    conns = [
        conn
        for vm in site.vms
        for instance_pool in vm.desk._group_table._pools.values()
        for conn in instance_pool._conns.all()
    ]
    assert {conn.team for conn in conns} == {RED.name, BLUE.name}


@pytest.mark.parametrize('key', [None, core.KeyDigest('c3')])
def test_an_unknown_key_is_refused_at_the_start(site, key):
    caller = site.vms[0].caller(PRIMARY, key)
    site.run(0.1)
    assert caller.refused is core.Refusal.UNKNOWN_KEY


def test_a_public_route_needs_no_key(site):
    config = site.store.config
    site.store.config = dataclasses.replace(
        config,
        routes=tuple(
            dataclasses.replace(route, public=True) for route in config.routes
        ),
    )
    pool_sites.set_teams(site, RED)
    assert write(site, site.vms[0].caller(PRIMARY)).refusal is None


def test_without_teams_connections_name_none(site):
    pool_sites.set_teams(site)
    assert write(site, site.vms[0].caller(PRIMARY, KEY)).refusal is None
    work = [message for _, message in site.forwarded]
    assert all(message.team is None for message in work)


def test_a_key_that_is_taken_away_ends_its_sessions(site):
    idle = site.vms[0].caller(PRIMARY, KEY)
    open_caller = site.vms[0].caller(PRIMARY, KEY)
    begin = core.Statement(core.Verb.BEGIN, 'BEGIN')
    pool_sites.ask(site, open_caller, begin, pool_sites.WRITE)
    pool_sites.set_teams(site, BLUE)
    assert idle.closed
    assert not pool_sites.pinned_conns(site)
    commit = core.Statement(core.Verb.COMMIT, 'COMMIT')
    answer = pool_sites.ask(site, open_caller, commit)
    assert answer.refusal is core.Refusal.ABORTED
    assert write(site, open_caller).refusal is core.Refusal.UNKNOWN_KEY


def test_a_key_that_moves_aborts_the_transaction_of_its_old_team(site):
    caller = site.vms[0].caller(PRIMARY, KEY)
    begin = core.Statement(core.Verb.BEGIN, 'BEGIN')
    pool_sites.ask(site, caller, begin, pool_sites.WRITE)
    moved = dataclasses.replace(BLUE, keys=(KEY, OTHER_KEY))
    pool_sites.set_teams(site, dataclasses.replace(RED, keys=()), moved)
    assert write(site, caller).refusal is core.Refusal.ABORTED
    rollback = core.Statement(core.Verb.ROLLBACK, 'ROLLBACK')
    pool_sites.ask(site, caller, rollback)
    assert write(site, caller).refusal is None


def test_a_vm_that_is_cut_off_uses_no_key_after_the_bound(site):
    vm = site.vms[0]
    caller = vm.caller(PRIMARY, KEY)
    assert write(site, caller).refusal is None
    site.isolate(vm)
    site.run(pool.REVOCATION_S)
    reads = core.Statement(core.Verb.READ, 'READ 1a4', '1a4')
    bounded = vm.caller(core.ReadAccess.BOUNDED, KEY)
    answer = pool_sites.ask(site, bounded, reads)
    assert answer.refusal is core.Refusal.BUSY


def test_a_vm_that_the_store_turns_away_has_evidence_from_its_peers(site):
    vm = site.vms[0]
    site.store.shut.add(vm.vm)
    site.run(3 * pool.REVOCATION_S)
    assert write(site, vm.caller(PRIMARY, KEY)).refusal is None


def test_teams_that_cannot_be_read_are_served_until_the_bound(site):
    """A version with a defect ended, or opened, the routes of all teams."""
    caller = site.vms[0].caller(PRIMARY, KEY)
    config = site.store.config
    site.store.config = dataclasses.replace(
        config,
        version=core.ConfigVersion(config.version + 1),
        teams=(),
        teams_readable=False,
    )
    site.run(0.5)
    assert write(site, caller).refusal is None
    site.run(pool.REVOCATION_S)
    assert write(site, caller).refusal is core.Refusal.BUSY
    newcomer = site.vms[0].caller(PRIMARY, core.KeyDigest('c3'))
    assert write(site, newcomer).refusal is core.Refusal.BUSY
    site.store.config = dataclasses.replace(
        config, version=core.ConfigVersion(config.version + 1)
    )
    pool_sites.set_teams(site, RED)
    assert write(site, caller).refusal is None
    assert write(site, newcomer).refusal is core.Refusal.UNKNOWN_KEY


def test_teams_of_an_unread_version_are_in_force_on_all_vms(site):
    """The key that it takes away worked until its routes could be read."""
    callers = [vm.caller(PRIMARY, OTHER_KEY) for vm in site.vms]
    assert {write(site, caller).refusal for caller in callers} == {None}
    config = site.store.config
    version = core.ConfigVersion(config.version + 1)
    teams = core.PoolTeamsUpdate(version, (RED,))
    site.loop.post(names.view_exchange(site.vms[0].vm), teams)
    site.run(3.0)
    for vm, caller in zip(site.vms, callers, strict=True):
        assert write(site, caller).refusal is core.Refusal.UNKNOWN_KEY
        served = vm.caller(PRIMARY, KEY)
        assert write(site, served).refusal is None
    site.store.config = dataclasses.replace(config, version=version)
    pool_sites.set_teams(site, RED, BLUE)
    caller = site.vms[0].caller(PRIMARY, OTHER_KEY)
    assert write(site, caller).refusal is None


def test_a_vm_without_a_configuration_uses_no_teams_without_routes(loop):
    task = view_exchange.ViewExchange(
        loop,
        core.VmName('vm0'),
        core.EntryVmRow(core.VmName('vm0'), 'h', 1, core.ZoneName('z'), 'b'),
        {},
        {},
        core.EvidenceMode.OFF,
    )
    loop.post(
        task.task_name, core.PoolTeamsUpdate(core.ConfigVersion(2), (RED,))
    )
    loop.settle()
    assert task._views.content(core.StoreView.CONFIG) is None
