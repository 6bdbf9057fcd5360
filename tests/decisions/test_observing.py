from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from chicoryusher import core
from chicoryusher import decisions


def at(term, number):
    return core.Position(core.Term(term), core.LogPosition(number))


def test_the_lowest_position_that_proves_the_bound_is_taken():
    seen = decisions.Observations()
    seen.add(10.0, at(1, 5))
    seen.add(11.0, at(1, 9))
    needed = seen.needed(11.2, 1.5)
    assert needed is not None and needed.position == at(1, 5)
    needed = seen.needed(11.6, 1.5)
    assert needed is not None and needed.position == at(1, 9)


def test_nothing_proves_a_bound_that_no_observation_is_recent_enough_for():
    seen = decisions.Observations()
    seen.add(10.0, at(1, 5))
    assert seen.needed(11.6, 1.5) is None


def test_positions_of_an_older_term_prove_nothing_after_a_newer_one():
    seen = decisions.Observations()
    seen.add(10.0, at(1, 50))
    seen.add(10.5, at(2, 48))
    seen.add(10.6, at(1, 51))
    needed = seen.needed(10.7, 5.0)
    assert needed is not None and needed.position == at(2, 48)


def test_a_log_at_the_newest_position_has_no_lag():
    seen = decisions.Observations()
    seen.add(10.0, at(1, 5))
    assert seen.lag(at(1, 5), 14.0) == 0.0


def test_the_lag_is_the_time_since_the_primary_was_there():
    seen = decisions.Observations()
    seen.add(10.0, at(1, 5))
    seen.add(12.0, at(1, 8))
    assert seen.lag(at(1, 6), 12.5) == 2.5


@given(
    st.lists(st.tuples(st.floats(0.0, 10.0), st.integers(0, 5)), min_size=1),
    st.floats(0.1, 3.0),
    st.floats(0.0, 2.0),
)
def test_a_needed_position_holds_every_commit_older_than_the_bound(
    steps, bound, wait
):
    """The primary commits as time passes; every answer shows its log."""
    seen = decisions.Observations()
    now, number = 0.0, 0
    commits = []
    for pause, new in steps:
        now += pause
        asked_at = now
        for _ in range(new):
            number += 1
            commits.append((now, number))
        seen.add(asked_at, at(1, number))
    arrived = now + wait
    needed = seen.needed(arrived, bound)
    if needed is None:
        return
    old = [one for when, one in commits if when < arrived - bound]
    assert needed.position.offset >= max(old, default=0)
