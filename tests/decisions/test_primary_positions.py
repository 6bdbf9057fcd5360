from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from chicoryusher import core
from chicoryusher import decisions


def at(term, offset):
    return core.Position(core.Term(term), core.LogPosition(offset))


def test_the_lowest_position_that_proves_the_bound_is_returned():
    observations = decisions.PrimaryPositions()
    observations.add(10.0, at(1, 5))
    observations.add(11.0, at(1, 9))
    needed = observations.lowest_sufficient(11.2, 1.5)
    assert needed is not None and needed.position == at(1, 5)
    needed = observations.lowest_sufficient(11.6, 1.5)
    assert needed is not None and needed.position == at(1, 9)


def test_no_position_is_returned_without_a_recent_observation():
    observations = decisions.PrimaryPositions()
    observations.add(10.0, at(1, 5))
    assert observations.lowest_sufficient(11.6, 1.5) is None


def test_positions_of_an_older_term_prove_nothing_after_a_newer_one():
    observations = decisions.PrimaryPositions()
    observations.add(10.0, at(1, 50))
    observations.add(10.5, at(2, 48))
    observations.add(10.6, at(1, 51))
    needed = observations.lowest_sufficient(10.7, 5.0)
    assert needed is not None and needed.position == at(2, 48)


def test_a_log_at_the_newest_position_has_no_lag():
    observations = decisions.PrimaryPositions()
    observations.add(10.0, at(1, 5))
    assert observations.lag(at(1, 5), 14.0) == 0.0


def test_the_lag_is_the_time_since_the_primary_had_the_position():
    observations = decisions.PrimaryPositions()
    observations.add(10.0, at(1, 5))
    observations.add(12.0, at(1, 8))
    assert observations.lag(at(1, 6), 12.5) == 2.5


@given(
    st.lists(st.tuples(st.floats(0.0, 10.0), st.integers(0, 5)), min_size=1),
    st.floats(0.1, 3.0),
    st.floats(0.0, 2.0),
)
def test_a_needed_position_holds_every_commit_older_than_the_bound(
    steps, bound, wait
):
    """The primary commits over time; each answer has its log position."""
    observations = decisions.PrimaryPositions()
    now, log_offset = 0.0, 0
    commits = []
    for pause, commit_count in steps:
        now += pause
        asked_at = now
        for _ in range(commit_count):
            log_offset += 1
            commits.append((now, log_offset))
        observations.add(asked_at, at(1, log_offset))
    arrived = now + wait
    needed = observations.lowest_sufficient(arrived, bound)
    if needed is None:
        return
    required = [commit for when, commit in commits if when < arrived - bound]
    assert needed.position.offset >= max(required, default=0)
