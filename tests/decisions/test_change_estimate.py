"""Which statements wait for a change of primary, without tasks."""

from __future__ import annotations

import pytest

from chicoryusher import decisions

ARRIVED_AT = 100.0
TIME_LIMIT_S = 1.5


def estimate(lease_wait):
    seconds = decisions.announced_seconds(lease_wait)
    return decisions.ChangeEstimate(7, ARRIVED_AT + seconds)


@pytest.mark.parametrize(
    ('lease_wait', 'waits'),
    [(-0.5, True), (0.0, True), (0.8, True), (1.0, False), (3.2, False)],
)
def test_a_statement_waits_if_it_can_start_after_the_change(lease_wait, waits):
    """The wait for leases is known; what it leaves of the limit decides."""
    assert estimate(lease_wait).waits(ARRIVED_AT, TIME_LIMIT_S) is waits


def test_an_announcement_that_is_overdue_is_believed_no_more():
    change = estimate(0.0)
    assert change.is_believed(change.expected_at + 1.0)
    assert not change.is_believed(change.expected_at + 1.2)
