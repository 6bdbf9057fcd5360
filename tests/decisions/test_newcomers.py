"""Many connections whose handshake does not complete."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions


def session(number):
    return core.SessionId(f's{number}')


def test_no_more_than_the_limit_are_admitted_until_some_finish():
    handshakes = decisions.Newcomers(3, 2.0)
    assert [handshakes.admit(session(n), 0.0) for n in range(4)] == [
        True,
        True,
        True,
        False,
    ]
    handshakes.settle(session(1))
    assert handshakes.admit(session(5), 1.0)
    assert len(handshakes) == 3


def test_only_handshakes_over_the_time_limit_have_expired():
    handshakes = decisions.Newcomers(10, 2.0)
    for number in range(4):
        handshakes.admit(session(number), float(number))
    handshakes.settle(session(0))
    assert handshakes.next_late(2.5) == 0.5
    assert handshakes.late(2.5) == ()
    assert handshakes.late(4.0) == (session(1), session(2))


def test_without_pending_handshakes_none_expires():
    handshakes = decisions.Newcomers(10, 2.0)
    assert handshakes.next_late(5.0) is None
    assert handshakes.late(5.0) == ()
