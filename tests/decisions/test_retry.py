from __future__ import annotations

import random

from chicoryusher import core
from chicoryusher import decisions

CALLER = core.CallerName('desk')


def test_retries_during_an_outage_are_limited_for_each_caller():
    budgets = decisions.RetryBudgets()
    spent = sum(budgets.spend(CALLER, step / 1000) for step in range(10_000))
    assert 400 <= spent <= 400 + 20 * 10
    assert budgets.spend(core.CallerName('other'), 10.0)


def test_each_new_request_earns_a_retry():
    budgets = decisions.RetryBudgets()
    while budgets.spend(CALLER, 0.0):
        pass
    budgets.earn(CALLER, 0.0)
    assert budgets.spend(CALLER, 0.0)
    assert not budgets.spend(CALLER, 0.0)


def test_retry_delays_are_bounded_and_have_jitter():
    rng = random.Random(1)
    delays = [decisions.retry_delay(tries, rng) for tries in range(1, 40)]
    assert all(0.0125 <= delay <= 0.075 for delay in delays)
    assert len(set(delays)) == len(delays)
