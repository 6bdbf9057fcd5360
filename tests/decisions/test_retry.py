from __future__ import annotations

import random

from chicoryusher import core
from chicoryusher import decisions

CALLER = core.CallerName('desk')


def test_an_outage_cannot_feed_a_storm():
    budgets = decisions.RetryBudgets()
    spent = sum(budgets.spend(CALLER, step / 1000) for step in range(10_000))
    assert 400 <= spent <= 400 + 20 * 10
    assert budgets.spend(core.CallerName('other'), 10.0)


def test_requests_earn_retries_back():
    budgets = decisions.RetryBudgets()
    while budgets.spend(CALLER, 0.0):
        pass
    budgets.earn(CALLER, 0.0)
    assert budgets.spend(CALLER, 0.0)
    assert not budgets.spend(CALLER, 0.0)


def test_pauses_grow_to_a_bound_and_differ():
    dice = random.Random(1)
    delays = [decisions.retry_delay(tries, dice) for tries in range(1, 40)]
    assert all(0.0125 <= one <= 0.075 for one in delays)
    assert len(set(delays)) == len(delays)
