"""An owner that was cut off or is suspended: when this VM notices."""

from __future__ import annotations

import pytest

from chicoryusher import core
from chicoryusher import decisions

OWNER = core.VmName('vm1')
SINCE = {OWNER: 0.0}


@pytest.fixture
def silence():
    """Return the owners, of which one was heard at 0 s."""
    owners = decisions.OwnerSilence()
    owners.note_use(OWNER, -1.0)
    owners.record_heard(OWNER, 0.0)
    return owners


def is_silent(owners, now):
    owners.update(now)
    return OWNER in owners.silent


def test_an_owner_without_work_is_not_pinged(silence):
    assert silence.pings_due({}, 100.0) == []
    assert not is_silent(silence, 100.0)


def test_an_owner_that_answers_work_is_not_pinged(silence):
    silence.record_heard(OWNER, 0.95)
    assert silence.pings_due(SINCE, 1.0) == []


def test_work_that_takes_long_makes_no_owner_silent(silence):
    for now in (0.11, 0.3, 0.5):
        assert silence.pings_due(SINCE, now) == [OWNER]
        silence.record_heard(OWNER, now + 0.04)
        assert not is_silent(silence, now + 0.1)


def test_an_owner_that_answers_no_ping_is_silent_until_it_is_heard(silence):
    assert silence.pings_due(SINCE, 0.05) == []
    assert silence.pings_due(SINCE, 0.11) == [OWNER]
    assert not is_silent(silence, 0.25)
    assert is_silent(silence, 0.27)
    silence.record_heard(OWNER, 0.4)
    assert not is_silent(silence, 0.4)


def test_a_silent_owner_is_pinged_on_and_then_forgotten(silence):
    silence.pings_due(SINCE, 0.11)
    assert is_silent(silence, 0.3)
    assert silence.pings_due({}, 0.32) == [OWNER]
    assert silence.pings_due({}, 0.4) == []
    assert is_silent(silence, 8.0)
    assert not is_silent(silence, 8.2)


def test_an_owner_that_was_not_used_for_long_is_silent_too(silence):
    assert silence.pings_due({OWNER: 60.0}, 60.15) == [OWNER]
    assert is_silent(silence, 60.4)
    assert is_silent(silence, 61.0)


def test_the_stream_to_a_new_owner_has_time_to_open():
    owners = decisions.OwnerSilence()
    owners.note_use(OWNER, 0.0)
    assert owners.pings_due(SINCE, 0.11) == [OWNER]
    assert not is_silent(owners, 0.7)
    assert is_silent(owners, 0.72)
