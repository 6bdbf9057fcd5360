"""Time limits of the work on connections, and signs of life of an instance."""

from __future__ import annotations

from collections.abc import Sequence

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.tasks.pool.connections import pool_conns

__all__ = ['Responsiveness', 'passed_limit']

# Time without a byte from an instance with unanswered commands after which
# a new connection to it is tried; longer than most statements take (7 to
# 47 ms on average).
RESPONSE_TIMEOUT_S = 0.25
# Time limit of a rollback, after which the connection is closed.
ROLLBACK_LIMIT_S = 0.6


class Responsiveness:
    """When an instance last sent something (seconds).

    ``received_at`` is minus infinity before it has.  ``suspected`` is set
    while a test connection is being opened to an instance that is silent.
    """

    def __init__(self) -> None:
        self.received_at = float('-inf')
        self.suspected = False
        # The same, or when commands were sent after a time without any.
        self._last_response_at = 0.0

    def record_response(self, now: float) -> None:
        """Record that the instance has sent something."""
        self.received_at = now
        self._last_response_at = now
        self.suspected = False

    def record_first_command(self, now: float) -> None:
        """Record that commands are sent while none is unanswered."""
        self._last_response_at = now

    def is_silent(
        self, busy: Sequence[pool_conns.PoolConn], now: float
    ) -> bool:
        """Return whether connections in ``busy`` have waited for too long."""
        if not busy or self.suspected:
            return False
        oldest = min(conn.sent_at for conn in busy)
        silent_since = max(oldest, self._last_response_at)
        return now - silent_since >= RESPONSE_TIMEOUT_S


def passed_limit(
    conn: pool_conns.PoolConn, now: float
) -> core.Completion | None:
    """Return how work ends whose command exceeded its time limit, else None.

    A statement that may run again elsewhere is reported as lost after
    its ``retryable_timeout``, so that it can run at another instance.
    """
    work = conn.work
    elapsed = now - conn.sent_at
    if work is None:
        late = elapsed > ROLLBACK_LIMIT_S
        return core.Completion.CONNECTION_LOST if late else None
    if elapsed >= work.timeout:
        return core.Completion.TIMED_OUT
    if decisions.is_repeatable(work) and elapsed > work.retryable_timeout:
        return core.Completion.CONNECTION_LOST
    return None
