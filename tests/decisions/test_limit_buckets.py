"""How a keeper grants operations, and how they wait at a VM."""

import math

import pytest

from chicoryusher import core
from chicoryusher import decisions

A = core.VmName('a')
B = core.VmName('b')
TEAM = core.TeamName('red')
TOLERANCE = core.LimitTolerance()
GRANTED = core.AllowanceOutcome.GRANTED
OVER_LIMIT = core.AllowanceOutcome.OVER_LIMIT
UNANSWERED = core.AllowanceOutcome.UNANSWERED


def full_bucket(rate, burst, share=1.0):
    bucket = decisions.LimitBucket(rate, burst, 0.0)
    bucket.refill(1000.0, share)
    return bucket


def take(bucket, vm, wanted, now=0.0, max_wait_s=1.0, share=1.0):
    return bucket.take(vm, wanted, max_wait_s, share, now)


@pytest.mark.parametrize(
    ('rate', 'burst'), [(0.5, 0.0), (2.0, 1.0), (50.0, 100.0), (5000.0, 0.0)]
)
def test_late_uses_and_small_bursts_stay_within_the_tolerance(rate, burst):
    validity_s = decisions.allowance_validity_s(rate, burst, TOLERANCE)
    assert 0.1 <= validity_s <= 2.0
    # Ten keepers hold at least one operation each.
    held = max(burst, rate * 0.1) + 10.0
    most = rate * (TOLERANCE.window_s + validity_s) + held
    limit = rate * TOLERANCE.window_s + burst
    assert most <= limit * (1 + TOLERANCE.ratio) + TOLERANCE.requests


def test_a_bucket_begins_empty_and_holds_the_burst_by_share():
    bucket = decisions.LimitBucket(10.0, 20.0, 5.0)
    bucket.refill(5.0, 0.5)
    assert take(bucket, A, 5, max_wait_s=0.0, share=0.5)[0] == 0
    bucket.refill(100.0, 0.5)
    assert take(bucket, A, 30, share=0.5)[0] == 10


def test_a_bucket_that_lost_its_followers_is_empty():
    bucket = full_bucket(10.0, 20.0)
    bucket.refill(1000.0, 0.0)
    assert take(bucket, A, 1, share=0.0) == (0, None)


def test_a_lower_limit_binds_at_once():
    bucket = full_bucket(10.0, 20.0)
    bucket.set_limit(1.0, 2.0)
    bucket.refill(1000.0, 1.0)
    assert take(bucket, A, 30)[0] == 2


def test_a_rate_of_nothing_never_grants():
    bucket = decisions.LimitBucket(0.0, 20.0, 0.0)
    bucket.refill(1000.0, 1.0)
    assert take(bucket, A, 1) == (0, math.inf)


def test_turns_are_kept_in_the_order_of_the_questions():
    bucket = decisions.LimitBucket(10.0, 0.0, 0.0)
    assert take(bucket, A, 1) == (0, pytest.approx(0.1))
    assert take(bucket, B, 1) == (0, pytest.approx(0.2))
    bucket.refill(0.1, 1.0)
    assert take(bucket, B, 1, now=0.1) == (0, pytest.approx(0.1))
    assert take(bucket, A, 1, now=0.1)[0] == 1
    bucket.refill(0.2, 1.0)
    assert take(bucket, B, 1, now=0.2)[0] == 1


def test_a_turn_that_is_not_used_is_given_up():
    bucket = decisions.LimitBucket(10.0, 10.0, 0.0)
    take(bucket, A, 1)
    bucket.refill(0.3, 1.0)
    assert take(bucket, B, 3, now=0.3)[0] == 3


def test_no_turn_is_kept_that_a_vm_can_not_wait_for():
    bucket = decisions.LimitBucket(1.0, 0.0, 0.0)
    assert take(bucket, A, 1, max_wait_s=0.5) == (0, pytest.approx(1.0))
    assert take(bucket, B, 1, max_wait_s=1.5) == (0, pytest.approx(1.0))


@pytest.fixture
def allowances():
    allowances = decisions.TeamAllowances()
    allowances.set_limit(100.0, 1.0)
    return allowances


def answer(allowances, question, granted, next_s=0.0, now=0.0):
    allowances.record_grant(
        core.GrantAllowance(A, TEAM, question.sequence, granted, next_s), now
    )


def decided(allowances, now):
    return [
        (decision.allowance_id, decision.outcome)
        for decision in allowances.settle(now)
    ]


def test_what_waits_is_asked_for_once(allowances):
    for number in range(3):
        allowances.add(core.AllowanceId(number), 1.0, 0.0)
    question = allowances.question(0.0)
    assert question.wanted == 3
    assert allowances.question(0.1) is None
    answer(allowances, question, 3, now=0.1)
    assert decided(allowances, 0.1) == [(n, GRANTED) for n in range(3)]


def test_a_question_without_an_answer_is_asked_again(allowances):
    allowances.add(core.AllowanceId(1), 1.0, 0.0)
    first = allowances.question(0.0)
    second = allowances.question(0.4)
    assert second.sequence > first.sequence
    answer(allowances, first, 1, now=0.5)
    assert decided(allowances, 0.5) == []
    assert decided(allowances, 1.0) == [(1, UNANSWERED)]


def test_an_operation_that_can_not_wait_for_the_turn_is_refused_at_once(
    allowances,
):
    allowances.add(core.AllowanceId(1), 1.0, 0.0)
    allowances.add(core.AllowanceId(2), 3.0, 0.0)
    answer(allowances, allowances.question(0.0), 0, next_s=0.9)
    assert decided(allowances, 0.0) == [(1, OVER_LIMIT)]
    assert allowances.question(0.5) is None
    assert allowances.question(0.9) is not None


def test_an_operation_outwaits_a_change_of_keeper(allowances):
    """Failure: the keeper is gone, and its successor has little yet."""
    allowances.add(core.AllowanceId(1), 2.0, 0.0, max_turn_wait_s=0.2)
    assert allowances.question(0.0) is not None
    assert decided(allowances, 0.5) == []
    question = allowances.question(1.5)
    assert question.max_wait_s > 0.0
    answer(allowances, question, 0, next_s=0.1, now=1.5)
    assert decided(allowances, 1.5) == []
    answer(allowances, allowances.question(1.6), 1, now=1.6)
    assert decided(allowances, 1.6) == [(1, GRANTED)]


def test_what_is_over_the_limit_does_not_wait_as_for_a_keeper(allowances):
    allowances.add(core.AllowanceId(1), 2.0, 0.0, max_turn_wait_s=0.2)
    answer(allowances, allowances.question(0.0), 0, next_s=0.9)
    assert decided(allowances, 0.0) == [(1, OVER_LIMIT)]


def test_an_allowance_expires_from_when_it_was_asked_for(allowances):
    allowances.add(core.AllowanceId(1), 0.5, 0.0)
    question = allowances.question(0.0)
    allowances.cancel(core.AllowanceId(1))
    answer(allowances, question, 1, now=0.3)
    allowances.add(core.AllowanceId(2), 0.5, 1.01)
    assert decided(allowances, 1.01) == []


def test_a_large_demand_is_asked_for_in_advance(allowances):
    """A hundred operations a second: a question for four or more of them."""
    questions = 0
    now = 0.0
    for number in range(200):
        now += 0.01
        allowances.add(core.AllowanceId(number), 0.5, now)
        allowances.settle(now)
        question = allowances.question(now)
        if question is not None:
            questions += 1
            answer(allowances, question, question.wanted, now=now)
            allowances.settle(now)
    assert questions <= 200 / 4


def test_an_operation_a_second_is_not_asked_for_in_advance(allowances):
    for second in range(10):
        allowances.add(core.AllowanceId(second), 0.5, float(second))
        question = allowances.question(float(second))
        assert question.wanted == 1
        answer(allowances, question, 1, now=float(second))
        allowances.settle(float(second))


def test_a_rate_of_nothing_refuses_at_once(allowances):
    allowances.set_limit(0.0, 2.0)
    allowances.add(core.AllowanceId(1), 1.0, 0.0)
    answer(allowances, allowances.question(0.0), 0, next_s=math.inf)
    assert decided(allowances, 0.0) == [(1, OVER_LIMIT)]
    allowances.set_limit(5.0, 2.0)
    allowances.add(core.AllowanceId(2), 1.0, 0.1)
    assert allowances.question(0.1) is not None


def test_more_than_the_whole_limit_can_serve_is_refused_at_once(allowances):
    """A crowd of one team at one VM at the same moment."""
    allowances.set_limit(10.0, 2.0)
    for number in range(100):
        allowances.add(core.AllowanceId(number), 1.0, 0.0)
    answer(allowances, allowances.question(0.0), 0, next_s=0.1)
    refused = decided(allowances, 0.0)
    # Half a second of the limit may still wait for its turn.
    assert [number for number, _ in refused] == list(range(6, 100))


@pytest.mark.parametrize(
    ('rate', 'burst'), [(0.5, 0.5), (2.0, 2.0), (40.0, 40.0), (123.0, 10.0)]
)
def test_what_is_granted_stays_within_what_is_tolerated(rate, burst):
    """Load: a hot team that uses all that keepers grant, as late as it may."""
    granted_rate, granted_burst = decisions.granted_limit(
        rate, burst, TOLERANCE
    )
    validity_s = decisions.allowance_validity_s(rate, burst, TOLERANCE)
    window_s = TOLERANCE.window_s
    most = granted_burst + granted_rate * (window_s + validity_s)
    limit = rate * window_s + burst
    allowed = limit * (1.0 + TOLERANCE.ratio) + TOLERANCE.requests
    assert limit < most <= allowed


@pytest.mark.parametrize('rate', [0.5, 1.0, 3.0, 10.0, 100.0])
def test_a_keeper_of_few_vms_can_grant_an_operation_of_each_team(rate):
    """Failure: a split leaves two regions with a tenth of the VMs each."""
    granted = decisions.granted_limit(rate, rate, TOLERANCE)
    bucket = decisions.LimitBucket(*granted, 0.0)
    bucket.refill(60.0, 0.11)
    assert take(bucket, A, 1, share=0.11)[0] == 1


def test_a_small_team_may_send_several_operations_at_once():
    """Load: operations of a team of one a second that arrive bunched."""
    _, burst = decisions.granted_limit(1.0, 1.0, TOLERANCE)
    assert burst >= 4.0


def test_a_team_that_may_start_nothing_gets_nothing():
    assert decisions.granted_limit(0.0, 0.0, TOLERANCE) == (0.0, 0.0)


@pytest.mark.parametrize(('rate', 'burst'), [(20.0, 10.0), (500.0, 50.0)])
def test_late_starts_do_not_exceed_a_limit_without_tolerance(rate, burst):
    """All that a window may get: the burst, and the rate of it and more."""
    late_s = decisions.MIN_VALIDITY_S
    exact = core.LimitTolerance(ratio=0.0, requests=0.0, late_start_s=late_s)
    granted_rate, granted_burst = decisions.granted_limit(rate, burst, exact)
    assert decisions.allowance_validity_s(rate, burst, exact) == late_s
    window_s = exact.window_s
    most = granted_burst + granted_rate * (window_s + late_s)
    assert most <= rate * window_s + burst + 1e-9
    assert granted_rate >= 0.95 * rate


def test_an_operation_waits_no_longer_for_a_turn_than_it_may():
    allowances = decisions.TeamAllowances()
    allowances.set_limit(1.0, 0.5)
    allowances.add(core.AllowanceId('a'), 2.0, 0.0, 0.1)
    allowances.add(core.AllowanceId('b'), 2.0, 0.0)
    question = allowances.question(0.0)
    grant = core.GrantAllowance(
        core.VmName('k'), core.TeamName('t'), question.sequence, 0, 0.5
    )
    allowances.record_grant(grant, 0.01)
    decided = allowances.settle(0.01)
    assert [(one.allowance_id, one.outcome) for one in decided] == [
        ('a', core.AllowanceOutcome.OVER_LIMIT)
    ]
