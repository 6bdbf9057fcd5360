"""Whether a majority of a group rejects everything of earlier terms."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions

TERM = core.Term(4)


def _answer(name, accepted=True, term=TERM):
    return core.FenceAnswer(
        core.InstanceName(name), term, accepted, core.ORIGIN
    )


def test_a_majority_that_accepts_the_term_is_fenced():
    fence = decisions.FenceRound(TERM)
    assert fence.record(_answer('a'), 2) is None
    assert fence.record(_answer('b', accepted=False), 2) is None
    assert fence.record(_answer('c'), 2) is True
    assert {answer.instance for answer in fence.fenced} == {'a', 'c'}


def test_an_instance_counts_once():
    fence = decisions.FenceRound(TERM)
    assert fence.record(_answer('a'), 2) is None
    assert fence.record(_answer('a'), 2) is None


def test_acceptance_of_another_term_counts_as_a_refusal():
    fence = decisions.FenceRound(TERM)
    assert fence.record(_answer('a', term=core.Term(5)), 2) is None
    assert fence.record(_answer('b', accepted=False), 2) is False
    assert not tuple(fence.fenced)
