"""How many statements run at an instance at once, for one connection owner.

The limit follows from how the instance answers: it starts low, grows with
each success while it is used, and shrinks when the instance refuses, times
out, or takes much longer than at its best.  The same controller serves
start, recovery and overload.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Protocol

from chicoryusher import core

__all__ = [
    'MAX_CONNECTING_CONNS',
    'PACES',
    'FullPace',
    'InstancePace',
    'Pace',
]

# Connections that are opened at once.  Each takes a slot of the instance for
# some 12 ms, also if it is given up, so many of them would keep it busy.
MAX_CONNECTING_CONNS = 2
# Statements at once after a start, a promotion, or trouble.
INITIAL_LIMIT = 1.0
# Factors on the limit after a refusal or timeout, and after slow answers.
REFUSAL_RATIO = 0.5
SLOW_RATIO = 0.7
# Slow answers alone don't bring the limit below this: an instance that is
# slow for another reason than its load would only be left idle.
SLOW_FLOOR = 2.0
# Answers from which one estimate of the service time is taken.
WINDOW_SAMPLES = 12
# The estimate is this quantile of the window: statements that take ten times
# as long as others don't move it while the others are a quarter.
QUANTILE = 0.25
# Ratio of the estimate to the best one from which answers count as slow.
SLOW_ANSWER_RATIO = 2.0
# Share of the difference by which the best estimate follows a slow one at the
# floor: what is slow with so few statements is not slow from their number.
BEST_DRIFT_RATIO = 0.2
# A statement without an answer no longer counts as running after this many
# seconds, and this many times the mean service time: the answer may be lost,
# and others need not wait for it.
OVERDUE_S = 0.25
OVERDUE_RATIO = 4.0
# Mean service time in seconds before any answer, and the weight of a sample.
INITIAL_SERVICE_TIME_S = 0.02
MEAN_SAMPLE_RATIO = 0.1


class Pace(Protocol):
    """Limit of the statements that one connection owner runs at once."""

    def allows(self, running: int, most: int) -> bool:
        """Return whether another statement may start beside ``running``.

        ``most`` is how many connections the owner may have.
        """

    def connecting_limit(self, running: int, most: int) -> int:
        """Return how many connections may be opened at once."""

    def is_overdue(self, seconds: float) -> bool:
        """Return whether an answer is missing for so long that it is lost."""

    def limit(self, most: int) -> int:
        """Return how many statements may run at once, at least 1."""

    def restart(self) -> None:
        """Start low again after trouble or a change of role."""

    def record_success(
        self, seconds: float, running: int, most: int, now: float
    ) -> None:
        """Record an answer ``seconds`` after its statement was sent.

        ``running`` statements were at the instance with it.
        """

    def record_refusal(self, now: float) -> None:
        """Record that the instance was busy."""

    def record_timeout(self, seconds: float, now: float) -> None:
        """Record a statement that was given up after so many seconds."""

    def expected_wait(self, ahead: int, running: int, most: int) -> float:
        """Return the seconds that new work waits behind ``ahead`` others."""


class FullPace:
    """No limit but the connections; waits are not known."""

    def allows(self, running: int, most: int) -> bool:
        """Return True: a statement with a connection starts."""
        return True

    def connecting_limit(self, running: int, most: int) -> int:
        """Return the limit for all instances."""
        return MAX_CONNECTING_CONNS

    def is_overdue(self, seconds: float) -> bool:
        """Return False: all that was sent counts."""
        return False

    def limit(self, most: int) -> int:
        """Return the number of connections."""
        return most

    def restart(self) -> None:
        """Ignore the restart."""

    def record_success(
        self, seconds: float, running: int, most: int, now: float
    ) -> None:
        """Ignore the answer."""

    def record_refusal(self, now: float) -> None:
        """Ignore the refusal."""

    def record_timeout(self, seconds: float, now: float) -> None:
        """Ignore the timeout."""

    def expected_wait(self, ahead: int, running: int, most: int) -> float:
        """Return 0: no wait is known."""
        return 0.0


class InstancePace:
    """Limit that follows the answers of an instance with ``slots`` slots."""

    def __init__(self, slots: int) -> None:
        self._slots = float(max(1, slots))
        # Up to this limit each success adds one, beyond it one a round.
        self._fast_until = self._slots
        self._limit = INITIAL_LIMIT
        self._decreased_at = float('-inf')
        self._window: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SAMPLES
        )
        self._best: float | None = None
        self._mean_s = INITIAL_SERVICE_TIME_S

    def allows(self, running: int, most: int) -> bool:
        """Return whether another statement may start beside ``running``."""
        return running < self.limit(most)

    def connecting_limit(self, running: int, most: int) -> int:
        """Return how many connections may be opened at once, at least 1.

        One that is opened takes a slot of the instance like a statement.
        """
        free = self.limit(most) - running
        return max(1, min(MAX_CONNECTING_CONNS, free))

    def is_overdue(self, seconds: float) -> bool:
        """Return whether an answer is missing for so long that it is lost."""
        return seconds > max(OVERDUE_S, OVERDUE_RATIO * self._mean_s)

    def limit(self, most: int) -> int:
        """Return the limit, at least 1 and at most ``most``."""
        return max(1, min(int(self._limit), most))

    def restart(self) -> None:
        """Start low again after trouble or a change of role."""
        self._limit = INITIAL_LIMIT
        self._fast_until = self._slots
        self._window.clear()

    def record_success(
        self, seconds: float, running: int, most: int, now: float
    ) -> None:
        """Record an answer; grow if the limit is used, shrink if slow."""
        self._mean_s += MEAN_SAMPLE_RATIO * (seconds - self._mean_s)
        self._window.append(seconds)
        if len(self._window) == WINDOW_SAMPLES and self._is_slow():
            floor = min(self._limit, SLOW_FLOOR)
            self._decrease(SLOW_RATIO, floor, now)
        elif 2 * running >= self._limit:
            self._increase(most)

    def _is_slow(self) -> bool:
        """Return whether the window is slow against the best; empty it."""
        ordered = sorted(self._window)
        self._window.clear()
        estimate = ordered[int(len(ordered) * QUANTILE)]
        if self._best is None or estimate < self._best:
            self._best = estimate
            return False
        is_slow = estimate > SLOW_ANSWER_RATIO * self._best
        if is_slow and self._limit <= SLOW_FLOOR:
            self._best += BEST_DRIFT_RATIO * (estimate - self._best)
        return is_slow

    def _increase(self, most: int) -> None:
        step = 1.0 if self._limit < self._fast_until else 1.0 / self._limit
        self._limit = min(self._limit + step, float(max(1, most)))

    def record_refusal(self, now: float) -> None:
        """Record that the instance was busy.

        Further refusals within the time of one statement answer what was
        sent before the decrease, and change nothing.
        """
        if now - self._decreased_at >= self._mean_s:
            self._decrease(REFUSAL_RATIO, 1.0, now)

    def record_timeout(self, seconds: float, now: float) -> None:
        """Record a statement that was given up after so many seconds.

        It would have taken longer still.
        """
        self._mean_s += MEAN_SAMPLE_RATIO * (seconds - self._mean_s)
        self.record_refusal(now)

    def _decrease(self, ratio: float, floor: float, now: float) -> None:
        self._limit = max(self._limit * ratio, floor)
        self._fast_until = self._limit
        self._decreased_at = now

    def expected_wait(self, ahead: int, running: int, most: int) -> float:
        """Return the seconds that new work waits behind ``ahead`` others.

        A limit that has just started low counts as what it soon grows to.
        """
        soon = min(int(self._fast_until), most)
        limit = max(self.limit(most), soon)
        rounds = ahead + 1 - (limit - running)
        return max(0, rounds) * self._mean_s / limit


PACES: core.Registry[Callable[[int], Pace]] = core.Registry('pace')


@PACES.register(core.LoadPolicy.PLAIN)
def _full_pace(slots: int) -> Pace:
    return FullPace()


@PACES.register(core.LoadPolicy.PACED)
def _learned_pace(slots: int) -> Pace:
    return InstancePace(slots)
