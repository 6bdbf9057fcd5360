"""Many connections whose handshake does not complete."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions


def session(number):
    return core.SessionId(f's{number}')


def test_no_more_than_the_limit_are_admitted_until_some_finish():
    handshakes = decisions.PendingHandshakes(3, 2.0)
    assert [handshakes.admit(session(n), 0.0) for n in range(4)] == [
        True,
        True,
        True,
        False,
    ]
    handshakes.finish(session(1))
    assert handshakes.admit(session(5), 1.0)
    assert len(handshakes) == 3


def test_only_handshakes_over_the_time_limit_have_expired():
    handshakes = decisions.PendingHandshakes(10, 2.0)
    for number in range(4):
        handshakes.admit(session(number), float(number))
    handshakes.finish(session(0))
    assert handshakes.seconds_to_expiry(2.5) == 0.5
    assert handshakes.expired(2.5) == ()
    assert handshakes.expired(4.0) == (session(1), session(2))


def test_without_pending_handshakes_none_expires():
    handshakes = decisions.PendingHandshakes(10, 2.0)
    assert handshakes.seconds_to_expiry(5.0) is None
    assert handshakes.expired(5.0) == ()
