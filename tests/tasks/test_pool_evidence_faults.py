"""Random cuts and changes of primary while VMs answer by evidence.

They guard against a read that misses an acknowledged commit, and against a
commit that is acknowledged at a replaced primary or lost with one.
"""

from __future__ import annotations

import random

import pytest

import pool_sites
from chicoryusher import core

READ = core.Statement(core.Verb.READ, 'READ 1a4', '1a4')
PRIMARY = core.ReadAccess.PRIMARY
LEADS = core.Role.PRIMARY
STEPS = 200
SEEDS = (2, 6, 7, 10, 15, 18)
STEP_S = 0.1
VM_COUNT = 4
# Share of the steps in which a fault begins or ends.
FAULT_SHARE = 0.03


class History:
    """What the callers of a site have asked and been told."""

    def __init__(self, site):
        self.site = site
        self.open = []
        self.acked = []
        self.read = []
        self.logs = {}
        promote = site.group.promote

        def recorded(name):
            done = promote(name)
            leader = site.group.instances[name]
            if done:
                self.logs.setdefault(leader.term, leader.received)
            return done

        site.group.promote = recorded

    def ask(self, statement):
        for vm in self.site.vms:
            caller = vm.caller(PRIMARY)
            caller.ask(statement)
            self.open.append((self.site.clock.now(), statement, caller))

    def collect(self):
        for entry in tuple(self.open):
            asked_at, statement, caller = entry
            if not caller.answers:
                continue
            self.open.remove(entry)
            answer = caller.last
            if answer.refusal is None:
                target = self.read if statement is READ else self.acked
                target.append((asked_at, self.site.clock.now(), answer))

    def check_commits_are_of_the_newest_term(self):
        acked = {answer.request_id for _, _, answer in self.acked}
        newest = 0
        for commit in self.site.group.commits:
            newest = max(newest, commit.position.term)
            if commit.request_id in acked:
                assert commit.position.term == newest

    def check_reads_are_current(self):
        for asked_at, _, read in self.read:
            for _, acked_at, commit in self.acked:
                if acked_at >= asked_at:
                    continue
                at, seen = commit.position, read.position
                assert at.term <= seen.term
                if at.term == seen.term:
                    assert at <= seen

    def check_commits_by_evidence_are_kept(self):
        """Check the logs of later primaries; return how many were proved."""
        number = core.LogEvent.ANSWER_PROVED.number
        proved = {
            record.extra['fields']['request']
            for record in self.site.records
            if record.extra['number'] == number
        }
        for _, _, commit in self.acked:
            if commit.request_id not in proved:
                continue
            for term, log in self.logs.items():
                if term > commit.position.term:
                    assert commit.position.offset <= log
        return len(proved)


class Faults:
    """Begins and ends faults of a site at random."""

    def __init__(self, site, rng):
        self._site = site
        self._rng = rng

    def step(self):
        if self._rng.random() < FAULT_SHARE:
            fault = self._rng.choice(
                (self._split, self._split, self._deafen, self._heal)
            )
            fault()

    def _split(self):
        """Cut some VMs off from the store, the others and some instances."""
        site, rng = self._site, self._rng
        # The others replace a primary if they are most of the VMs.
        alone = rng.sample(site.vms, rng.choice((1, 1, 2)))
        others = [vm for vm in site.vms if vm not in alone]
        for vm in alone:
            site.store.shut.add(vm.vm)
            for other in others:
                site.cut.add((str(vm.vm), str(other.vm)))
        instances = tuple(site.group.instances.values())
        leaders = [one for one in instances if one.role is LEADS]
        instance = rng.choice(rng.choice((leaders or instances, instances)))
        if instance.role is LEADS:
            # It does not learn that it is replaced.
            instance.deaf = True
        for vm in rng.choice((alone, others, others)):
            site.cut.add((str(vm.vm), str(instance.name)))

    def _deafen(self):
        """Cut an instance off from the others of its group."""
        names = tuple(self._site.group.instances)
        instance = self._site.group.instances[self._rng.choice(names)]
        instance.deaf = not instance.deaf

    def _heal(self):
        site = self._site
        site.cut.clear()
        site.store.shut.clear()
        for instance in site.group.instances.values():
            instance.deaf = False
        if any(one.role is LEADS for one in site.group.instances.values()):
            site.group.replicate()


def open_connections(site):
    for vm in site.vms:
        for instance_pool in vm.desk._group_table._pools.values():
            if not len(instance_pool._conns):
                instance_pool._opener.open(site.clock.now())


@pytest.mark.parametrize('seed', SEEDS)
def test_answers_stay_current_under_random_faults(seed):
    use = core.EvidenceMode.USE
    with pool_sites.checked_site(VM_COUNT, evidence=use) as site:
        rng = random.Random(seed)
        faults = Faults(site, rng)
        history = History(site)
        site.run(8.0)
        for _ in range(STEPS):
            open_connections(site)
            faults.step()
            history.ask(rng.choice((READ, pool_sites.WRITE)))
            site.run(STEP_S)
            history.collect()
        site.run(2.0)
        history.collect()
        history.check_commits_are_of_the_newest_term()
        history.check_reads_are_current()
        proved = history.check_commits_by_evidence_are_kept()
        print(seed, proved, len(history.logs), len(history.acked))
