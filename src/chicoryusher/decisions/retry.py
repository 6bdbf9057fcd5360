"""When a request that was not run is routed again, and how often.

Each caller has one retry budget, a token bucket that is refilled with
time and by each new request.  Retries are thereby limited to a share of
the caller's requests plus a small constant rate, so that an outage does
not cause a retry storm.
"""

from __future__ import annotations

import dataclasses
import random

from chicoryusher import core

__all__ = ['RetryBudgets', 'retry_delay']

# Delay before the first retry, without jitter; it doubles with each further
# retry up to the maximum.
FIRST_RETRY_DELAY_S = 0.025
MAX_RETRY_DELAY_S = 0.050
# Random deviation of a delay, as a share of it in either direction.
JITTER_RATIO = 0.5
# Retries that an unused budget holds; each retry costs one token.
MAX_BUDGET_TOKENS = 400.0
TOKENS_EARNED_PER_S = 20.0
TOKENS_EARNED_PER_REQUEST = 1.0


@dataclasses.dataclass(slots=True)
class _Budget:
    """Retries that one caller has left at the time ``at`` (seconds)."""

    tokens: float
    at: float


class RetryBudgets:
    """The retry budgets of all callers."""

    def __init__(self) -> None:
        self._budgets: dict[core.CallerName, _Budget] = {}

    def _refilled(self, caller: core.CallerName, now: float) -> _Budget:
        """Return a caller's budget, refilled for the time passed."""
        budget = self._budgets.get(caller)
        if budget is None:
            budget = _Budget(MAX_BUDGET_TOKENS, now)
            self._budgets[caller] = budget
        earned = (now - budget.at) * TOKENS_EARNED_PER_S
        budget.tokens = min(MAX_BUDGET_TOKENS, budget.tokens + earned)
        budget.at = now
        return budget

    def earn(self, caller: core.CallerName, now: float) -> None:
        """Refill a caller's budget for a new request."""
        budget = self._refilled(caller, now)
        budget.tokens = min(
            MAX_BUDGET_TOKENS, budget.tokens + TOKENS_EARNED_PER_REQUEST
        )

    def spend(self, caller: core.CallerName, now: float) -> bool:
        """Subtract one retry from a caller's budget; False if empty."""
        budget = self._refilled(caller, now)
        if budget.tokens < 1.0:
            return False
        budget.tokens -= 1.0
        return True


def retry_delay(tries: int, rng: random.Random) -> float:
    """Return the seconds to wait before the next try, with jitter."""
    delay = min(
        MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2.0 ** max(0, tries - 1)
    )
    return delay * rng.uniform(1.0 - JITTER_RATIO, 1.0 + JITTER_RATIO)
