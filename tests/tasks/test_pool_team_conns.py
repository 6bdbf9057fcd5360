"""Connections of a pool that is full, while one team sends without a pause.

Load: a hot team that always has queued work, and four teams with a statement
every 0.2 s, at instances to which each VM may open six connections.
"""

from __future__ import annotations

import collections

import pytest

import pool_sites
from chicoryusher import core

TEAMS = tuple(
    core.Team(core.TeamName(f'team{n}'), (core.KeyDigest(f'k{n}'),))
    for n in range(5)
)
HOT_TEAM, *QUIET_TEAMS = TEAMS
HOT_CALLERS = 30
STEP_S = 0.005
QUIET_STEPS = 40
# Connections that a VM may open to an instance.
MAX_CONNS = 6
WORK_S = 0.02
LOAD_S = 4.0
# Connections of a quiet team that are opened by all VMs in the load.
MAX_OPENED = 3
# Seconds after which a team that sends nothing needs no connection.
UNUSED_S = 1.6
PRIMARY = core.ReadAccess.PRIMARY


@pytest.fixture
def site():
    with pool_sites.checked_site(3) as site:
        for instance in site.group.instances.values():
            instance.work_time = lambda: WORK_S
        pool_sites.set_teams(site, *TEAMS)
        site.opened = collections.Counter()
        for vm in site.vms:
            for link in vm.links.values():
                record_opened(site, link)
        yield site


def record_opened(site, link):
    """Count the connections that are opened, by team."""
    handle = link.handlers[core.OpenLink]

    def on_open(task, message):
        site.opened[message.team] += 1
        handle(task, message)

    link.handlers = {**link.handlers, core.OpenLink: on_open}


def callers_of(site, team, count):
    vm = site.vms[0]
    return [vm.caller(PRIMARY, team.keys[0]) for _ in range(count)]


def ask_when_idle(callers, asked):
    """Have each caller send a statement that waits for no answer."""
    for caller in callers:
        if len(caller.answers) == asked[caller]:
            asked[caller] += 1
            caller.ask(pool_sites.WRITE)


def load(site, seconds, quiet):
    hot = callers_of(site, HOT_TEAM, HOT_CALLERS)
    site.run(0.1)
    asked = {caller: len(caller.answers) for caller in (*hot, *quiet)}
    for step in range(round(seconds / STEP_S)):
        ask_when_idle(hot, asked)
        if step % QUIET_STEPS == 0:
            ask_when_idle(quiet, asked)
        site.run(STEP_S)
    return hot


@pytest.mark.parametrize('quiet_is_first', [True, False])
def test_a_hot_team_does_not_take_the_connections_of_others(
    site, quiet_is_first
):
    """Its queue closed their idle connections, and it kept all it had."""
    quiet = [callers_of(site, team, 1)[0] for team in QUIET_TEAMS]
    if quiet_is_first:
        for caller in quiet:
            pool_sites.ask(site, caller, pool_sites.WRITE, seconds=0.05)
    load(site, LOAD_S, quiet)
    assert max(site.opened[team.name] for team in QUIET_TEAMS) <= MAX_OPENED
    refusals = [
        answer.refusal for caller in quiet for answer in caller.answers
    ]
    assert set(refusals) == {None}


def test_a_hot_team_gets_the_connections_that_no_other_uses(site):
    for team in QUIET_TEAMS:
        answer = pool_sites.ask(
            site, callers_of(site, team, 1)[0], pool_sites.WRITE
        )
        assert answer.refusal is None
    site.run(UNUSED_S)
    load(site, LOAD_S, [])
    assert site.opened[HOT_TEAM.name] == MAX_CONNS
