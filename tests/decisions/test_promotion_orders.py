"""Proof that an ordered promotion has taken effect."""

from __future__ import annotations

import pytest

from chicoryusher import core
from chicoryusher import decisions

SUCCESSOR = core.InstanceName('i-0')
OTHER = core.InstanceName('i-1')
PRIMARY, REPLICA = core.Role.PRIMARY, core.Role.REPLICA
DONE = core.PromoteResult.DONE
ORDERED_AT = 100.0
# When an accepted promotion has certainly taken effect.
IN_EFFECT_AT = ORDERED_AT + decisions.PROMOTION_EFFECT_S


def status(term=None, role=PRIMARY, instance=SUCCESSOR):
    """Return an instance's status; without a term it has not answered."""
    state = None
    if term is not None:
        end = core.Position(core.Term(term), core.LogPosition(5))
        state = core.InstanceState(role, core.Term(term), end, end)
    return core.InstanceProbeResult(instance, state is not None, state)


@pytest.fixture
def orders():
    """Return orders before which the newest answer was of term 2."""
    made = decisions.PromotionOrders()
    made.record_status(status(2, REPLICA, OTHER), 99.0)
    made.record_order(SUCCESSOR)
    return made


def leads(orders, answer, queried_at=ORDERED_AT + 0.1):
    orders.record_status(answer, queried_at)
    return orders.in_effect()


def test_a_newer_term_proves_a_promotion_whose_answer_is_lost(orders):
    orders.record_result(core.PromoteResult.UNKNOWN, ORDERED_AT)
    assert not leads(orders, status(2, REPLICA))
    assert not leads(orders, status(3, REPLICA))
    assert leads(orders, status(3))


def test_the_role_in_an_earlier_term_proves_nothing(orders):
    """Guards against the use of a replaced primary that is to lead again."""
    orders.record_result(DONE, ORDERED_AT)
    assert not leads(orders, status(1), IN_EFFECT_AT)
    assert leads(orders, status(3), IN_EFFECT_AT)


def test_a_primary_that_stays_in_the_newest_term_was_the_present_one(orders):
    orders.record_result(DONE, ORDERED_AT)
    assert not leads(orders, status(2), IN_EFFECT_AT - 0.01)
    assert leads(orders, status(2), IN_EFFECT_AT)


def test_time_proves_nothing_about_an_order_without_an_answer(orders):
    orders.record_result(core.PromoteResult.UNKNOWN, ORDERED_AT)
    assert not leads(orders, status(2), IN_EFFECT_AT)


def test_a_successor_that_was_away_may_have_missed_its_promotion(orders):
    orders.record_result(DONE, ORDERED_AT)
    assert not leads(orders, status())
    assert not leads(orders, status(2), IN_EFFECT_AT)
    assert leads(orders, status(3), IN_EFFECT_AT)


def test_an_order_that_may_have_been_missed_must_be_repeated(orders):
    orders.record_result(DONE, ORDERED_AT)
    assert not leads(orders, status(2))
    assert not orders.has_lapsed()
    assert not leads(orders, status())
    assert not orders.has_lapsed()
    assert not leads(orders, status(2))
    assert orders.has_lapsed()
    assert leads(orders, status(3))
    assert not orders.has_lapsed()


def test_a_successor_that_refuses_its_status_is_there(orders):
    orders.record_result(DONE, ORDERED_AT)
    busy = core.InstanceProbeResult(SUCCESSOR, True, refused=True)
    assert not leads(orders, busy, IN_EFFECT_AT - 0.01)
    assert leads(orders, status(2), IN_EFFECT_AT)


def test_an_answer_of_an_earlier_round_proves_nothing(orders):
    orders.record_result(core.PromoteResult.UNKNOWN, ORDERED_AT)
    assert leads(orders, status(3))
    orders.start_round()
    assert not orders.in_effect()


def test_another_instance_proves_nothing(orders):
    orders.record_result(DONE, ORDERED_AT)
    assert not leads(orders, status(3, instance=OTHER))


def test_a_newer_term_elsewhere_disproves_a_promotion(orders):
    orders.record_result(DONE, ORDERED_AT)
    orders.record_status(status(4, instance=OTHER), ORDERED_AT)
    assert not leads(orders, status(3), IN_EFFECT_AT)


def test_a_refused_order_proves_nothing(orders):
    orders.record_result(core.PromoteResult.REFUSED, ORDERED_AT)
    assert not leads(orders, status(3))


def test_a_new_order_must_be_proved_anew(orders):
    orders.record_result(DONE, ORDERED_AT)
    assert leads(orders, status(3))
    orders.record_order(SUCCESSOR)
    assert not orders.in_effect()
    assert not leads(orders, status(3), IN_EFFECT_AT)
