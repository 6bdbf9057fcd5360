"""Which connections make way for teams whose work waits, at a full pool."""

from __future__ import annotations

import itertools

from chicoryusher import core
from chicoryusher import decisions

HOT = core.TeamName('hot')
QUIET = core.TeamName('quiet')
NEW = core.TeamName('new')
NOW = 100.0
JUST_NOW = NOW - 0.1
LONG_AGO = NOW - 60.0


def team_conns(queued, *conns):
    """Return the connections from pairs of a team and its last use."""
    numbers = itertools.count(1)
    return decisions.TeamConns(
        [decisions.TeamConn(next(numbers), *conn) for conn in conns],
        set(queued),
        NOW,
    )


def test_a_team_with_its_part_waits_behind_itself():
    conns = team_conns(
        [HOT], (HOT, None), (HOT, None), (QUIET, JUST_NOW), (QUIET, JUST_NOW)
    )
    assert conns.to_close_for(HOT) is None


def test_a_team_with_its_part_gets_what_no_other_team_uses():
    conns = team_conns(
        [HOT], (HOT, None), (HOT, None), (QUIET, LONG_AGO), (NEW, JUST_NOW)
    )
    assert conns.to_close_for(HOT).team == QUIET


def test_a_team_below_its_part_gets_a_connection_of_one_above():
    conns = team_conns(
        [NEW, HOT],
        (QUIET, JUST_NOW - 0.5),
        (HOT, JUST_NOW),
        (HOT, None),
        (HOT, None),
    )
    assert conns.to_close_for(NEW).team == HOT
    assert conns.surplus_for(NEW).team == HOT


def test_where_each_team_has_one_the_longest_idle_makes_way():
    conns = team_conns([NEW], (QUIET, JUST_NOW - 0.5), (HOT, JUST_NOW))
    assert conns.to_close_for(NEW).team == QUIET
    assert conns.surplus_for(NEW) is None


def test_the_teams_without_a_connection_are_listed_once_in_their_order():
    conns = team_conns([NEW, HOT, QUIET], (HOT, None))
    queued = [NEW, HOT, QUIET, NEW, NEW]
    assert conns.without_conn(queued) == [NEW, QUIET]


def test_no_connection_is_opened_for_a_team_that_is_held_back():
    queued = [HOT, QUIET, HOT, QUIET]
    wanted = decisions.conns_to_open(queued, [QUIET], 4, {HOT})
    assert wanted == [QUIET]
