"""Which keys may be used, and until when."""

from __future__ import annotations

import pytest

from chicoryusher import core
from chicoryusher import decisions

KEY = core.KeyDigest('a1')
NEW_KEY = core.KeyDigest('c3')
RED = core.Team(core.TeamName('red'), (KEY,))
REVOCATION_S = 4.0
Right = decisions.Right


@pytest.fixture
def rights():
    rights = decisions.TeamRights(REVOCATION_S)
    rights.apply((RED,))
    rights.confirm(10.0)
    return rights


def test_teams_that_cannot_be_read_leave_the_old_keys_until_the_bound(rights):
    """A key may have been taken away in the version that can't be read."""
    rights.apply((), readable=False)
    rights.confirm(12.0)
    assert rights.right(KEY, False, 13.0) is Right.GRANTED
    assert rights.right(KEY, False, 14.0) is Right.UNPROVED


def test_a_key_that_may_be_new_is_not_called_unknown(rights):
    rights.apply((), readable=False)
    assert rights.right(NEW_KEY, False, 11.0) is Right.UNPROVED
    assert rights.right(NEW_KEY, True, 11.0) is Right.GRANTED
    assert rights.right(None, False, 11.0) is Right.UNKNOWN_KEY


def test_a_vm_that_never_read_teams_opens_no_route():
    rights = decisions.TeamRights(REVOCATION_S)
    rights.apply((), readable=False)
    assert rights.in_force
    assert rights.right(KEY, False, 1.0) is Right.UNPROVED


def test_teams_that_can_be_read_again_are_in_force_with_new_evidence(rights):
    rights.apply((), readable=False)
    rights.apply((RED,))
    rights.confirm(20.0)
    assert rights.right(KEY, False, 21.0) is Right.GRANTED
    assert rights.right(NEW_KEY, False, 21.0) is Right.UNKNOWN_KEY
