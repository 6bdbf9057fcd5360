"""How the router's statements wait for their part of their team's limit."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks import session_rights
from chicoryusher.tasks import sessions
from chicoryusher.tasks.limits import allowance_requests

__all__ = ['StatementLimits', 'limit_error']

# Seconds for which a statement waits for the turn of its VM.  One that would
# wait longer is over the limit.
MAX_TURN_WAIT_S = 0.1
# Seconds after which a caller may try again.
RETRY_AFTER_S = 1.0
_Outcome = core.AllowanceOutcome


class StatementLimits:
    """Request allowances from the limiter for the router's statements.

    An operation is an autocommit statement, or the statement that begins a
    transaction at an instance.
    """

    def __init__(
        self,
        router: runtime.Task,
        rights: session_rights.SessionRights,
        clock: core.Clock,
    ) -> None:
        self._router = router
        self._rights = rights
        self._requests: allowance_requests.AllowanceRequests[
            sessions.PendingRequest
        ] = allowance_requests.AllowanceRequests(router, clock)

    def may_start(self, pending: sessions.PendingRequest) -> bool:
        """Return whether a statement may be sent; else request an allowance.

        The statement goes on when the limiter has decided.
        """
        if pending.allowance_id is not None:
            return False
        team = self._rights.team(pending.session.team)
        if team is None or team.rate is None or not _counts(pending):
            return True
        if self._requests.is_allowed(pending):
            return True
        wait_s = pending.deadline - self._router.now()
        self._requests.request(
            pending,
            team.name,
            max(0.0, min(allowance_requests.MAX_KEEPER_WAIT_S, wait_s)),
            MAX_TURN_WAIT_S,
        )
        return False

    def decided(
        self, decision: core.AllowanceDecided
    ) -> sessions.PendingRequest | None:
        """Apply the limiter's decision; None if nobody waits for it."""
        return self._requests.decided(decision)

    def cancel(self, pending: sessions.PendingRequest) -> None:
        """Withdraw the request of a statement that has ended."""
        self._requests.cancel(pending)


def _counts(pending: sessions.PendingRequest) -> bool:
    """Return whether a statement counts against the limit of its team.

    A command that only prepares a statement counts if it begins a transaction,
    since the statements after it are not the first ones.
    """
    session = pending.session
    if session.started:
        return False
    is_prepare = pending.request.kind is core.StatementKind.PREPARE
    return session.transaction is not None or not is_prepare


def limit_error(
    team: core.TeamName | None, outcome: core.AllowanceOutcome
) -> core.NotRunError:
    """Return the error for a statement that the limiter did not allow."""
    if outcome is _Outcome.OVER_LIMIT:
        return core.OverLimit(
            f'the team {team} is over its limit', RETRY_AFTER_S
        )
    return core.NotRunError(
        f'no VM could tell whether the team {team} is within its limit',
        RETRY_AFTER_S,
    )
