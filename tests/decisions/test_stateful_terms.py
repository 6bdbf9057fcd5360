"""Random runs of the real decisions against the model's invariants."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher_standins import group as group_module

NAMES = tuple(core.InstanceName(one) for one in 'abc')
INSTANCES = strategies.sampled_from(NAMES)
CANDIDATES = strategies.sampled_from(('v1', 'v2'))


class Terms(stateful.RuleBasedStateMachine):
    """Commits, cuts, probes and failovers in any order."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.group = group_module.GroupModel(core.DatabaseName('d'), NAMES)
        self.book = decisions.EvidenceBook(len(NAMES))
        self.cut = set()
        self.group.reaches = lambda one, other: (
            not ({one.name, other.name} & self.cut)
        )
        self.committed = {}
        self.acked = {}
        self.fenced = {}
        self.claims = 0

    @stateful.rule(name=INSTANCES)
    def cut_off(self, name):
        self.cut ^= {name}

    @stateful.rule(seconds=strategies.floats(0.001, 0.2))
    def pass_time(self, seconds):
        self.now += seconds
        self.group.advance(self.now)

    @stateful.rule(name=INSTANCES)
    def commit(self, name):
        if self.group.instances[name].role is not core.Role.PRIMARY:
            return
        self.claims += 1
        op = f'op{self.claims}'
        command = group_module.Command(op)
        position = self.group.commit(name, (command,), self.now)
        self.committed[core.RequestId(op)] = position
        self.book.ask(
            core.ProveCommit(
                core.TaskName('gate'), core.RequestId(op), position
            ),
            self.now,
        )

    @stateful.rule(name=INSTANCES)
    def probe(self, name):
        found = self.group.probe(name, 1, self.now)
        for claim, verdict in self.book.heard(found, self.now):
            if verdict is decisions.Verdict.PROVED:
                self.acked[claim.request_id] = claim.position

    @stateful.rule(candidate=CANDIDATES, name=INSTANCES)
    def fence(self, candidate, name):
        health = decisions.GroupHealth(NAMES, self.now)
        terms = [one.term for one in self.group.instances.values()]
        health.term = max(terms)
        term, answers = self.fenced.get(candidate, (core.Term(0), {}))
        if not answers:
            term = decisions.next_term(health, core.Term(0))
        if self.group.fence(name, term, candidate):
            one = self.group.instances[name]
            answers[name] = core.FenceAnswer(
                name, term, True, one.received_position()
            )
            self.fenced[candidate] = (term, answers)

    @stateful.rule(candidate=CANDIDATES)
    def promote(self, candidate):
        term, answers = self.fenced.pop(candidate, (core.Term(0), {}))
        if len(answers) < self.book.majority:
            return
        chosen = decisions.choose_leader(answers.values(), frozenset())
        self.group.promote(chosen, term, candidate, self.now)

    @stateful.invariant()
    def acknowledged_commits_survive(self):
        leaders = [
            one
            for one in self.group.instances.values()
            if one.role is core.Role.PRIMARY
        ]
        if not leaders:
            return
        newest = max(leaders, key=lambda one: one.term)
        held = {
            command.sql: entry.position
            for entry in newest.log
            for command in entry.statements
        }
        for op, position in self.acked.items():
            if newest.term >= position.term:
                assert held.get(op) == position

    @stateful.invariant()
    def a_term_has_one_leader(self):
        terms = [
            one.term
            for one in self.group.instances.values()
            if one.role is core.Role.PRIMARY
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
