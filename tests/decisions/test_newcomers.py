"""A flood of connections that say nothing, or nonsense."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions


def session(number):
    return core.SessionId(f's{number}')


def test_no_more_are_admitted_than_the_bound_until_some_settle():
    newcomers = decisions.Newcomers(3, 2.0)
    assert [newcomers.admit(session(n), 0.0) for n in range(4)] == [
        True,
        True,
        True,
        False,
    ]
    newcomers.settle(session(1))
    assert newcomers.admit(session(5), 1.0)
    assert len(newcomers) == 3


def test_only_those_that_took_too_long_are_late():
    newcomers = decisions.Newcomers(10, 2.0)
    for number in range(4):
        newcomers.admit(session(number), float(number))
    newcomers.settle(session(0))
    assert newcomers.next_late(2.5) == 0.5
    assert newcomers.late(2.5) == ()
    assert newcomers.late(4.0) == (session(1), session(2))


def test_without_newcomers_nobody_is_late():
    newcomers = decisions.Newcomers(10, 2.0)
    assert newcomers.next_late(5.0) is None
    assert newcomers.late(5.0) == ()
