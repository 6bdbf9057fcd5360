"""Random failovers of a modelled group, decided by the real code.

Acknowledged commits must survive, and a term must have one primary.
"""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher_standins import group as group_module

NAMES = tuple(core.InstanceName(letter) for letter in 'abc')
INSTANCES = strategies.sampled_from(NAMES)
CANDIDATES = strategies.sampled_from(('v1', 'v2'))


class Terms(stateful.RuleBasedStateMachine):
    """Commits, network cuts, probes and failovers in any order."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.group = group_module.GroupModel(core.DatabaseName('d'), NAMES)
        self.proofs = decisions.PendingProofs(len(NAMES))
        self.cut_off_names = set()
        self.group.reaches = lambda instance, other: (
            not ({instance.name, other.name} & self.cut_off_names)
        )
        self.committed = {}
        self.acked = {}
        self.fenced = {}
        self.commit_count = 0

    @stateful.rule(name=INSTANCES)
    def cut_off(self, name):
        self.cut_off_names ^= {name}

    @stateful.rule(seconds=strategies.floats(0.001, 0.2))
    def pass_time(self, seconds):
        self.now += seconds
        self.group.advance(self.now)

    @stateful.rule(name=INSTANCES)
    def commit(self, name):
        if self.group.instances[name].role is not core.Role.PRIMARY:
            return
        self.commit_count += 1
        op = f'op{self.commit_count}'
        command = group_module.Command(op)
        position = self.group.commit(name, (command,), self.now)
        self.committed[core.RequestId(op)] = position
        self.proofs.add(
            core.ProveCommit(
                core.TaskName('gate'), core.RequestId(op), position
            ),
            self.now,
        )

    @stateful.rule(name=INSTANCES)
    def probe(self, name):
        answer = self.group.probe(name, 1, self.now)
        for request, verdict in self.proofs.record_probe(answer, self.now):
            if verdict is decisions.Verdict.PROVED:
                self.acked[request.request_id] = request.position

    @stateful.rule(candidate=CANDIDATES, name=INSTANCES)
    def fence(self, candidate, name):
        health = decisions.GroupHealth(NAMES, self.now)
        terms = [instance.term for instance in self.group.instances.values()]
        health.term = max(terms)
        term, answers = self.fenced.get(candidate, (core.Term(0), {}))
        if not answers:
            term = decisions.next_term(health, core.Term(0))
        if self.group.fence(name, term, candidate):
            instance = self.group.instances[name]
            answers[name] = core.FenceAnswer(
                name, term, True, instance.received_position()
            )
            self.fenced[candidate] = (term, answers)

    @stateful.rule(candidate=CANDIDATES)
    def promote(self, candidate):
        term, answers = self.fenced.pop(candidate, (core.Term(0), {}))
        if len(answers) < self.proofs.majority:
            return
        chosen = decisions.choose_new_primary(answers.values(), frozenset())
        self.group.promote(chosen, term, candidate, self.now)

    @stateful.invariant()
    def acknowledged_commits_survive(self):
        primaries = [
            instance
            for instance in self.group.instances.values()
            if instance.role is core.Role.PRIMARY
        ]
        if not primaries:
            return
        newest = max(primaries, key=lambda instance: instance.term)
        positions = {
            command.sql: entry.position
            for entry in newest.log
            for command in entry.statements
        }
        for op, position in self.acked.items():
            if newest.term >= position.term:
                assert positions.get(op) == position

    @stateful.invariant()
    def a_term_has_one_primary(self):
        terms = [
            instance.term
            for instance in self.group.instances.values()
            if instance.role is core.Role.PRIMARY
        ]
        assert len(set(terms)) == len(terms)


TestTerms = Terms.TestCase
TestTerms.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
)
