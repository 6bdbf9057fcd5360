"""What is held for callers stays in its limits, whatever they send."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from chicoryusher import core
from chicoryusher import decisions

LIMITS = decisions.CallerLimits(
    max_held_bytes=1000,
    max_caller_bytes=400,
    max_kept_bytes=100,
    message_timeout=10.0,
    answer_timeout=5.0,
)
LIMIT = core.CallerLimit


def session(number):
    return core.SessionId(f's{number}')


def watch_with(uses):
    watch = decisions.CallerWatch(LIMITS)
    for number, use in enumerate(uses):
        watch.update(session(number), use, 0.0)
    return watch


def test_a_crowd_of_large_statements_loses_its_largest_first():
    """Load: many callers with a large statement each at the same time."""
    sizes = (10, 350, 300, 10, 390)
    watch = watch_with(decisions.CallerUse(received=size) for size in sizes)
    closed = watch.to_close(0.0)
    assert closed == [(session(4), LIMIT.ALL_BYTES)]
    watch.forget(session(4))
    assert watch.to_close(0.0) == []


def test_one_caller_that_sends_ahead_is_closed_for_its_own_limit():
    """Load: one caller that sends many statements and reads no answer."""
    watch = watch_with([decisions.CallerUse(received=300, unsent=101)])
    assert watch.to_close(0.0) == [(session(0), LIMIT.OWN_BYTES)]


def test_what_is_kept_counts_twice_while_a_statement_runs():
    use = decisions.CallerUse(running=10, kept=100)
    assert use.total == 210
    assert decisions.CallerUse(kept=100).total == 100


def test_nothing_is_read_ahead_above_half_of_the_limit():
    """Load: many callers that send statements without waiting."""
    busy = decisions.CallerUse(received=10, running=10)
    reading = decisions.CallerUse(received=10, message_begun=True)
    calm = watch_with([busy])
    assert calm.may_read(busy)
    full = watch_with([decisions.CallerUse(received=300)] * 2)
    assert not full.may_read(busy)
    assert full.may_read(reading)


def test_a_caller_is_not_read_far_ahead_of_its_statement():
    watch = watch_with([])
    ahead = decisions.caller_limits.MAX_READ_AHEAD_BYTES
    use = decisions.CallerUse(received=ahead, running=1)
    assert watch.may_read(use)
    use = decisions.CallerUse(received=ahead + 1, running=1)
    assert not watch.may_read(use)


def test_large_statements_are_refused_before_callers_are_closed():
    watch = watch_with([decisions.CallerUse(received=380)] * 2)
    assert watch.to_close(0.0) == []
    small = decisions.caller_limits.SMALL_STATEMENT_BYTES
    assert watch.has_room(small)
    assert not watch.has_room(small + 1)


def test_a_message_and_an_answer_must_end_in_time():
    """Load: callers that stop half-way."""
    begun = decisions.CallerUse(received=1, message_begun=True)
    watch = watch_with([begun, decisions.CallerUse(unsent=1)])
    assert watch.seconds_to_expiry(1.0) == 4.0
    assert watch.to_close(4.9) == []
    assert watch.to_close(5.0) == [(session(1), LIMIT.ANSWER_TIME)]
    watch.forget(session(1))
    assert watch.to_close(9.9) == []
    assert watch.to_close(10.0) == [(session(0), LIMIT.MESSAGE_TIME)]


def test_each_message_and_each_answer_has_its_own_time():
    begun = decisions.CallerUse(received=1, message_begun=True)
    watch = watch_with([begun])
    watch.end_message(session(0))
    watch.update(session(0), begun, 9.0)
    assert watch.to_close(18.0) == []
    watch.update(session(0), decisions.CallerUse(), 18.0)
    assert watch.to_close(100.0) == []
    assert watch.seconds_to_expiry(100.0) is None


def test_each_part_of_a_long_answer_has_its_own_time():
    """Load: a caller that reads a large result slowly, but steadily."""
    unsent = decisions.CallerUse(unsent=100)
    watch = watch_with([unsent])
    for now in (4.0, 8.0, 12.0):
        watch.end_answer_part(session(0))
        watch.update(session(0), unsent, now)
        assert watch.to_close(now + 4.9) == []
    assert watch.to_close(17.0) == [(session(0), LIMIT.ANSWER_TIME)]


def test_the_limit_follows_from_the_memory_of_the_machine():
    mib = 1024 * 1024
    sizes = [decisions.limits_for_memory(mb * mib) for mb in (20, 120, 300)]
    assert sizes == [8 * mib, int(9 * mib), int(35 * mib)]


USES = st.builds(
    decisions.CallerUse,
    received=st.integers(0, 500),
    running=st.integers(0, 500),
    unsent=st.integers(0, 500),
    kept=st.integers(0, 100),
    message_begun=st.booleans(),
)


@settings(derandomize=True, database=None, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 9), USES), max_size=60))
def test_the_sum_is_in_its_limit_once_the_callers_are_closed(updates):
    watch = decisions.CallerWatch(LIMITS)
    for number, use in updates:
        watch.update(session(number), use, 0.0)
        closed = [name for name, _ in watch.to_close(0.0)]
        assert len(closed) == len(set(closed))
        for name in closed:
            watch.forget(name)
        assert watch.held_bytes <= LIMITS.max_held_bytes
        assert watch.to_close(0.0) == []
    for number in range(10):
        watch.forget(session(number))
    assert watch.held_bytes == 0
