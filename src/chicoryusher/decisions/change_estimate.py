"""When a change of primary will end, and which statements wait for that.

A change has stages with known times: the wait for the leases of VMs that do
not respond, and after it the choice and the promotion of the successor.  Its
coordinator announces when it will end at the earliest.  A statement that can
start after that waits; one that can't is refused at once, so that its caller
may try elsewhere or later.

Times are seconds.
"""

from __future__ import annotations

import dataclasses

__all__ = [
    'ChangeEstimate',
    'announced_seconds',
    'latest_start_within_limit',
]

# Least seconds from the end of all leases to the new primary: a promotion
# takes 300 to 1,000 ms, as the users state.
MIN_PROMOTION_S = 0.3
# Seconds after the announced end for which it is still believed: a promotion
# that takes long, and a round of status queries.
OVERDUE_S = 1.1
# Share of a statement's time limit within which it must start.
START_LIMIT_SHARE = 0.8


def announced_seconds(lease_wait: float) -> float:
    """Return in how many seconds a change ends at the earliest.

    ``lease_wait`` is how long it still waits for leases to expire.
    """
    return max(0.0, lease_wait) + MIN_PROMOTION_S


def latest_start_within_limit(arrived_at: float, time_limit: float) -> float:
    """Return until when a statement may start that is served late."""
    return arrived_at + time_limit * START_LIMIT_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeEstimate:
    """The announced end of the change that closed a group."""

    revision: int
    expected_at: float

    def is_believed(self, now: float) -> bool:
        """Return whether the change may still end as announced."""
        return now < self.expected_at + OVERDUE_S

    def waits(self, arrived_at: float, time_limit: float) -> bool:
        """Return whether a statement can start in time after the change."""
        latest = latest_start_within_limit(arrived_at, time_limit)
        return self.expected_at <= latest
