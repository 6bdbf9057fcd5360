"""The log line of a refusal names what the refusal is based on."""

from __future__ import annotations

import dataclasses

import pytest

import pool_sites
from chicoryusher import core
from chicoryusher.tasks import names

PRIMARY = core.ReadAccess.PRIMARY
REFUSED = core.LogEvent.STATEMENT_REFUSED.number
bare, write = pool_sites.bare, pool_sites.write


@pytest.fixture
def site():
    with pool_sites.checked_site(3) as new_site:
        yield new_site


def ask(site, caller, *statements):
    for statement in statements:
        caller.ask(statement)
        site.run(1.5)


def refusal_fields(site):
    """Return what the last refusal says of its statement."""
    records = [
        record for record in site.records if record.extra['number'] == REFUSED
    ]
    fields = records[-1].extra['fields']
    return {name: fields[name] for name in ('sent', 'wrote', 'via')}


def test_a_refused_statement_names_its_team_and_not_the_key(site):
    key = core.KeyDigest('5f0c31')
    config = site.store.config
    site.store.config = dataclasses.replace(
        config,
        version=core.ConfigVersion(config.version + 1),
        teams=(core.Team(core.TeamName('red'), (key,)),),
    )
    site.run(3.0)
    site.group.primary().full = True
    ask(site, site.vms[0].caller(PRIMARY, key), write())
    (record,) = [
        record for record in site.records if record.extra['number'] == REFUSED
    ]
    assert record.extra['fields']['team'] == 'red'
    assert key not in str([record.extra for record in site.records])


def test_a_refused_statement_that_was_never_tried_says_so(site):
    site.group.primary().full = True
    caller = site.vms[0].caller(PRIMARY)
    ask(site, caller, write())
    assert caller.last.refusal is core.Refusal.BUSY
    assert refusal_fields(site)['sent'] is False


def test_a_lost_commit_says_that_it_was_sent_and_had_written(site):
    caller = site.vms[0].caller(PRIMARY)
    ask(site, caller, bare(core.Verb.BEGIN), write())
    site.group.primary().lose_answers = True
    ask(site, caller, bare(core.Verb.COMMIT))
    assert caller.last.refusal is core.Refusal.UNKNOWN
    assert refusal_fields(site) == {'sent': True, 'wrote': True, 'via': None}


def test_a_try_that_was_sent_is_named_though_the_last_one_was_not(site):
    """The field told of the last try only, which hid the earlier ones."""
    caller = site.vms[0].caller(PRIMARY)
    ask(site, caller, write())
    primary = site.group.primary()
    primary.busy = primary.full = True
    caller.ask(write())
    site.run(0.02)
    for conn in tuple(site.vms[0].links[primary.name]._conns):
        site.loop.post(
            names.instance_pool(site.vms[0].vm, primary.entry),
            core.LinkClosed(conn, core.LinkCloseReason.LOST),
        )
    site.run(2.0)
    assert caller.last.refusal is core.Refusal.BUSY
    assert refusal_fields(site)['sent'] is True
