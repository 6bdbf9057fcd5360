"""When a request that was not run is routed again, and how often.

Each caller has one budget.  It earns by time and by requests, so that
retries can never be more than a share of the work plus a small rate:
an outage does not feed a storm.
"""

from __future__ import annotations

import dataclasses
import random

from chicoryusher import core

__all__ = ['RetryBudgets', 'retry_delay']

FIRST_DELAY = 0.025
MAX_DELAY = 0.050
JITTER = 0.5
CAPACITY = 400.0
EARNED_PER_SECOND = 20.0
EARNED_PER_REQUEST = 1.0


@dataclasses.dataclass(slots=True)
class _Budget:
    """What one caller may still spend, as of ``at`` (seconds)."""

    tokens: float
    at: float


class RetryBudgets:
    """One budget for each caller."""

    def __init__(self) -> None:
        self._budgets: dict[core.CallerName, _Budget] = {}

    def _current(self, caller: core.CallerName, now: float) -> _Budget:
        budget = self._budgets.get(caller)
        if budget is None:
            budget = _Budget(CAPACITY, now)
            self._budgets[caller] = budget
        earned = (now - budget.at) * EARNED_PER_SECOND
        budget.tokens = min(CAPACITY, budget.tokens + earned)
        budget.at = now
        return budget

    def earn(self, caller: core.CallerName, now: float) -> None:
        """Note a new request of a caller."""
        budget = self._current(caller, now)
        budget.tokens = min(CAPACITY, budget.tokens + EARNED_PER_REQUEST)

    def spend(self, caller: core.CallerName, now: float) -> bool:
        """Take one retry from a caller's budget; False if it is empty."""
        budget = self._current(caller, now)
        if budget.tokens < 1.0:
            return False
        budget.tokens -= 1.0
        return True


def retry_delay(tries: int, dice: random.Random) -> float:
    """Return the pause in seconds before another try, with jitter."""
    delay = min(MAX_DELAY, FIRST_DELAY * 2.0 ** max(0, tries - 1))
    return delay * dice.uniform(1.0 - JITTER, 1.0 + JITTER)
