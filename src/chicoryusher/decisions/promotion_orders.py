"""What the orders of one change of primary prove about its successor.

An instance that was replaced while it was cut off answers as a primary until
it reaches its successor.  That answer proves nothing, and neither does its
term as long as the instances that know a newer one don't respond.
"""

from __future__ import annotations

from chicoryusher import core

__all__ = ['PROMOTION_EFFECT_S', 'PromotionOrders']

# Seconds within which a promotion that the platform has accepted takes
# effect; the users state 300 to 1,000 ms.
PROMOTION_EFFECT_S = 1.2


class PromotionOrders:
    """The newest promotion that a change of primary has ordered.

    A promotion begins a term above all others, and changes nothing for the
    present primary.  ``successor`` is the instance that was ordered last, None
    without an order.  Times are seconds of the runtime's clock.
    """

    def __init__(self) -> None:
        self._newest_term = core.Term(0)
        self.successor: core.InstanceName | None = None
        self._term_before = core.Term(0)
        self._led_before = False
        self._accepted_at: float | None = None
        self._state: core.InstanceState | None = None
        self._queried_at = 0.0

    def record_order(
        self, successor: core.InstanceName, led_before: bool = False
    ) -> None:
        """Record that the promotion of an instance is being ordered.

        ``led_before`` is set if it is certainly the present primary already.
        """
        self.successor = successor
        self._led_before = led_before
        self._term_before = self._newest_term
        self._accepted_at = None
        self._state = None

    def record_result(self, result: core.PromoteResult, now: float) -> None:
        """Record the platform's answer to the order."""
        if result is core.PromoteResult.DONE:
            self._accepted_at = now
        elif result is core.PromoteResult.REFUSED:
            self.successor = None

    def start_round(self) -> None:
        """Drop the successor's answer, before all instances are queried."""
        self._state = None

    def record_status(
        self, status: core.InstanceProbeResult, queried_at: float
    ) -> None:
        """Record an instance's answer to a query sent at ``queried_at``.

        A successor that has not answered may have missed its promotion, so
        the time that has passed since the order proves nothing any more.
        """
        state = status.state
        if state is not None:
            self._newest_term = max(self._newest_term, state.term)
        if status.instance != self.successor:
            return
        self._state, self._queried_at = state, queried_at
        if state is None and not status.refused:
            self._accepted_at = None

    def has_lapsed(self) -> bool:
        """Return whether the successor answers as primary, but no time counts.

        The order must then be repeated, since it may have been missed.
        """
        if self._state is None or self._accepted_at is not None:
            return False
        is_primary = self._state.role is core.Role.PRIMARY
        return is_primary and not self.in_effect()

    def in_effect(self) -> bool:
        """Return whether the last answers prove that the successor leads.

        They do if it is primary in a term that is newer than all before the
        order.  A successor that stays primary in the newest term was the
        present primary before; if that was not certain, only the time in
        which the order would have taken effect shows it.
        """
        state = self._state
        if state is None or state.role is not core.Role.PRIMARY:
            return False
        if state.term < self._newest_term:
            return False
        if state.term > self._term_before:
            return True
        if self._accepted_at is None:
            return False
        if self._led_before:
            return True
        return self._queried_at >= self._accepted_at + PROMOTION_EFFECT_S
