"""Load on instances with slots, with and without paced instances.

Twelve VMs read and write at a group of three instances with three slots each.
"""

from __future__ import annotations

import dataclasses
import random

import pytest

import pool_sites
from chicoryusher import core

READ = core.Statement(core.Verb.READ, 'READ 1a4', '1a4')
WORK_TIMES_S = (0.007, 0.01, 0.015, 0.02, 0.03, 0.047, 0.07)
STEP_S = 0.005
# Statements a second of all callers: a third of the slots' time.
USUAL_RATE = 110.0
TEAMS = tuple(
    core.Team(core.TeamName(f'team{n}'), (core.KeyDigest(f'k{n}'),))
    for n in range(6)
)
HOT_TEAM = TEAMS[0]


class Load:
    """Callers that send statements at a rate, and what became of them."""

    def __init__(self, site, teams=(None,), callers=4):
        self.site = site
        self.arrivals = random.Random(1)
        work = random.Random(2)
        for instance in site.group.instances.values():
            instance.work_time = lambda: work.choice(WORK_TIMES_S)
        self.idle = {
            team: [
                (vm.caller(access, team and team.keys[0]), statement)
                for vm in site.vms
                for access, statement in (
                    (core.ReadAccess.PRIMARY, pool_sites.WRITE),
                    *((core.ReadAccess.BOUNDED, READ),) * 3,
                )
                for _ in range(callers)
            ]
            for team in teams
        }
        self.busy = []
        self.refused = {team: 0 for team in teams}
        self.waits = []
        site.run(1.0)

    def run(self, seconds, rate, team=None):
        """Send statements of a team, or of any one, at random times."""
        for _ in range(int(seconds / STEP_S)):
            self.step(rate, team)

    def step(self, rate, team=None):
        for _ in range(int(rate * STEP_S + self.arrivals.random())):
            wanted = team or self.arrivals.choice(list(self.idle))
            idle = self.idle[wanted]
            if not idle:
                continue
            one = idle.pop(self.arrivals.randrange(len(idle)))
            one[0].ask(one[1])
            count = len(one[0].answers)
            self.busy.append((wanted, one, count, self.site.clock.now()))
        self.site.run(STEP_S)
        waiting = []
        for item in self.busy:
            team_of, one, count, sent_at = item
            if len(one[0].answers) == count:
                waiting.append(item)
                continue
            self.idle[team_of].append(one)
            self.refused[team_of] += one[0].last.refusal is not None
            self.waits.append(self.site.clock.now() - sent_at)
        self.busy = waiting

    @property
    def slow_wait(self):
        """Return the wait that one of a hundred statements exceeds."""
        return sorted(self.waits)[int(len(self.waits) * 0.99)]


@pytest.fixture
def loads():
    """Return a load without and one with paced instances."""
    with (
        pool_sites.checked_site(pool_sites.FORWARDING_VM_COUNT) as plain,
        pool_sites.checked_site(
            pool_sites.FORWARDING_VM_COUNT, paces_instances=True
        ) as paced,
    ):
        yield Load(plain), Load(paced)


def a_replica(load):
    instances = load.site.group.instances.values()
    return [one for one in instances if one.role is core.Role.REPLICA][0]


def test_a_replica_that_turns_slow_costs_callers_less(loads):
    """It takes 7.5 times as long for four seconds; its health is good."""
    for load in loads:
        load.run(2.0, USUAL_RATE)
        replica = a_replica(load)
        usual = replica.work_time
        replica.work_time = lambda usual=usual: 7.5 * usual()
        load.run(4.0, USUAL_RATE)
        replica.work_time = usual
        load.run(1.0, USUAL_RATE)
    plain, paced = loads
    assert paced.refused[None] <= plain.refused[None]
    assert paced.refused[None] <= 2
    assert paced.slow_wait < plain.slow_wait


def test_callers_see_no_errors_of_a_replica_that_turns_grey(loads):
    for load in loads:
        load.run(1.0, USUAL_RATE)
        a_replica(load).fails_every = 2
        load.run(4.0, USUAL_RATE)
    plain, paced = loads
    assert plain.refused[None] > 20
    assert paced.refused[None] == 0


def test_a_burst_that_fills_all_slots_is_served_no_worse(loads):
    """Three times the usual rate for two seconds."""
    for load in loads:
        load.run(1.0, USUAL_RATE)
        load.run(2.0, 3.0 * USUAL_RATE)
        load.run(1.5, USUAL_RATE)
    plain, paced = loads
    assert paced.refused[None] <= plain.refused[None] + 5
    assert paced.slow_wait < 1.2 * plain.slow_wait


def test_a_team_that_sends_too_much_does_not_harm_the_others():
    """One team sends ten times what five others send together."""
    refused = []
    for paced in (False, True):
        with pool_sites.checked_site(
            pool_sites.FORWARDING_VM_COUNT, paces_instances=paced
        ) as site:
            config = site.store.config
            service = dataclasses.replace(config.services[0], connections=70)
            site.store.config = dataclasses.replace(
                config,
                version=core.ConfigVersion(config.version + 1),
                teams=TEAMS,
                services=(service,),
            )
            site.run(3.0)
            load = Load(site, TEAMS)
            load.run(1.0, USUAL_RATE)
            for _ in range(int(4.0 / STEP_S)):
                load.step(USUAL_RATE / 2, load.arrivals.choice(TEAMS[1:]))
                load.step(5.0 * USUAL_RATE, HOT_TEAM)
            refused.append(sum(load.refused.values()) - load.refused[HOT_TEAM])
    assert refused == [0, 0]
