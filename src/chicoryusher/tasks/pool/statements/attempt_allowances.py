"""How attempts wait for their part of their team's limit."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks.limits import allowance_requests
from chicoryusher.tasks.pool.statements import completions
from chicoryusher.tasks.pool.statements import instance_selection
from chicoryusher.tasks.pool.statements import sessions

__all__ = ['AttemptAllowances']

# Seconds for which a statement may wait that has waited for an instance
# before: a question to a keeper of another region.
MIN_WAIT_S = 0.15


class AttemptAllowances:
    """Request allowances from the limiter for the dispatcher's attempts.

    An operation is a single statement or the first statement of a transaction
    that is sent.
    """

    def __init__(
        self,
        dispatcher: runtime.Task,
        rights: decisions.TeamRights,
        clock: core.Clock,
    ) -> None:
        self._dispatcher = dispatcher
        self._rights = rights
        self._requests: allowance_requests.AllowanceRequests[
            sessions.Attempt
        ] = allowance_requests.AllowanceRequests(dispatcher, clock)

    def may_start(self, attempt: sessions.Attempt) -> bool:
        """Return whether an operation may start; else request an allowance.

        The attempt goes on when the limiter has decided.
        """
        if attempt.allowance_id is not None:
            return False
        team = self._rights.team(attempt.team)
        if team is None or team.rate is None:
            return True
        if self._requests.is_allowed(attempt):
            return True
        now = self._dispatcher.now()
        in_time = instance_selection.latest_start(attempt)
        late = decisions.latest_start_within_limit(
            attempt.arrived_at, attempt.route.statement_timeout
        )
        wait_s = max(MIN_WAIT_S, in_time - now)
        keeper_wait_s = min(late - now, allowance_requests.MAX_KEEPER_WAIT_S)
        self._requests.request(
            attempt,
            team.name,
            max(wait_s, keeper_wait_s),
            wait_s * decisions.TURN_WAIT_SHARE,
        )
        return False

    def decided(
        self, decision: core.AllowanceDecided
    ) -> sessions.Attempt | None:
        """Apply the limiter's decision; None if nobody waits for it."""
        attempt = self._requests.decided(decision)
        if attempt is None:
            return None
        latest_start = instance_selection.latest_start(attempt)
        if self._dispatcher.now() > latest_start - MIN_WAIT_S:
            attempt.may_start_late = True
        return attempt

    def cancel(self, attempt: sessions.Attempt) -> None:
        """Withdraw the request of an attempt that has ended."""
        self._requests.cancel(attempt)

    def record_end(
        self, attempt: sessions.Attempt, ended: core.WorkEnded
    ) -> None:
        """Record that a try has ended; one that may have run was counted."""
        if not completions.proves_not_run(ended):
            attempt.allowance_expires_at = float('-inf')
