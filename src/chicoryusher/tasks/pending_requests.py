"""Requests of one router that have not been answered yet.

A request that was not run is routed again until its deadline.
"""

from __future__ import annotations

import dataclasses
import random

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import request_routing
from chicoryusher.tasks import sessions
from chicoryusher.tasks import statement_limits

__all__ = ['ExpiryCheckDue', 'PendingRequests', 'RetryDue']

# Interval between checks for requests whose gate has not answered.
EXPIRY_CHECK_INTERVAL_S = 0.25
# Seconds after a request's deadline for which the router still waits for
# the gate's answer.
ANSWER_GRACE_S = 1.0
_COMMIT_KINDS = (core.StatementKind.COMMIT, core.StatementKind.DDL)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDue(core.Message):
    """Timer of a router: route a request again that no gate has accepted."""

    request_id: core.RequestId


class ExpiryCheckDue(core.Message):
    """Timer of a router: check for requests without an answer in time."""


class PendingRequests:
    """The requests that a router has sent to gates or will send again.

    ``moves`` counts how often a request was routed again, ``unknown`` how
    many requests ended without a known outcome.
    """

    def __init__(
        self, router: runtime.Task, limits: statement_limits.StatementLimits
    ) -> None:
        self._router = router
        self._limits = limits
        self._chart = charts.load_machine('session')
        self._requests: dict[core.RequestId, sessions.PendingRequest] = {}
        self._expiry_timer: core.TimerId | None = None
        self._retry_budgets = decisions.RetryBudgets()
        self._rng = random.Random(router.vm)
        self.moves = 0
        self.unknown = 0

    def add(self, pending: sessions.PendingRequest) -> None:
        """Add a request that is being routed."""
        self._requests[pending.request.request_id] = pending

    def get(
        self, request_id: core.RequestId
    ) -> sessions.PendingRequest | None:
        """Return a request, None if it is not pending."""
        return self._requests.get(request_id)

    def pop(
        self, request_id: core.RequestId
    ) -> sessions.PendingRequest | None:
        """Remove and return a request, None if it is not pending.

        It no longer waits for an allowance.
        """
        pending = self._requests.pop(request_id, None)
        if pending is not None:
            self._limits.cancel(pending)
        return pending

    def pop_answered(
        self, answer: core.Answer
    ) -> sessions.PendingRequest | None:
        """Remove and return an answered request, None if it is not pending."""
        pending = self.pop(answer.request_id)
        if pending is not None and answer.outcome is core.Outcome.UNKNOWN:
            self.unknown += 1
        return pending

    def sent_to(self, gate: core.VmName) -> list[sessions.PendingRequest]:
        """Return the requests that wait for the answer of a VM."""
        return [
            entry for entry in self._requests.values() if entry.gate == gate
        ]

    def earn_retries(self, caller: core.CallerName) -> None:
        """Credit a new request to its caller's retry budget."""
        self._retry_budgets.earn(caller, self._router.now())

    def move(
        self, pending: sessions.PendingRequest, reason: core.MoveReason
    ) -> None:
        """Route a request again that a gate did not run.

        It is routed after a delay if its group has no primary or the VM
        is not the gate, or once it has been moved too often; otherwise at
        once.
        """
        self.moves += 1
        pending.moves += 1
        if reason is core.MoveReason.NOT_FRESH:
            pending.requires_primary = True
        needs_delay = reason in (
            core.MoveReason.NO_PRIMARY,
            core.MoveReason.NOT_GATE,
        )
        if pending.session.started:
            self.pop(pending.request.request_id)
            self._chart.fire(pending.session, 'moved', pending)
        elif needs_delay or not pending.may_move_at_once:
            self.retry(pending)
        else:
            self._chart.fire(pending.session, 'moved', pending)

    def retry(self, pending: sessions.PendingRequest) -> None:
        """Route a request again after a delay.

        It fails as not run if the delay would exceed its deadline or the
        caller's retry budget is used up.
        """
        pending.gate = None
        pending.retry_count += 1
        now = self._router.now()
        delay = decisions.retry_delay(pending.retry_count, self._rng)
        if now + delay >= pending.deadline:
            reason = 'no instance took it in time'
        elif self._retry_budgets.spend(pending.request.caller, now):
            self._router.after(delay, RetryDue(pending.request.request_id))
            return
        else:
            reason = "the caller's retry budget is spent"
        self.fail_not_run(pending, core.NotRunError(reason, delay))

    def retry_now(self, request_id: core.RequestId) -> None:
        """Route a request whose delay has passed, if it is still pending."""
        pending = self.get(request_id)
        if pending is not None:
            self._chart.fire(pending.session, 'moved', pending)

    def lose_gate(self, pending: sessions.PendingRequest) -> None:
        """End or move a request whose gate can no longer be reached.

        A read outside of a transaction runs elsewhere.  The outcome of a
        write or a commit is unknown, and of any statement of a session
        that keeps its connection.  Other statements in a transaction have
        no effect, as the instance rolls it back with the connection.
        """
        request = pending.request
        if pending.session.transaction is not None:
            if request.kind in _COMMIT_KINDS or pending.session.keeps_pinned:
                self._fail_unknown(pending, 'the gate was lost during commit')
                return
            self.fail_not_run(
                pending,
                core.TransactionLost('the gate was lost; it was not run'),
            )
        elif request.kind in request_routing.READ_KINDS:
            # It may have run, so that the next try counts as another one.
            pending.allowance_expires_at = float('-inf')
            self.move(pending, core.MoveReason.DOWN)
        else:
            self._fail_unknown(pending, 'the gate was lost')

    def apply_allowance(
        self, decision: core.AllowanceDecided
    ) -> sessions.PendingRequest | None:
        """Route a request that may start, else end it as not run.

        Return one that was refused.
        """
        pending = self._limits.decided(decision)
        if pending is None:
            return None
        if decision.outcome is core.AllowanceOutcome.GRANTED:
            self._chart.fire(pending.session, 'moved', pending)
            return None
        team = pending.session.team
        self.fail_not_run(
            pending, statement_limits.limit_error(team, decision.outcome)
        )
        return pending

    def fail_not_run(
        self, pending: sessions.PendingRequest, error: core.CallerError
    ) -> None:
        """End a request that has certainly had no effect."""
        self._fail(pending, core.Outcome.NOT_RUN, error)

    def _fail_unknown(
        self, pending: sessions.PendingRequest, why: str
    ) -> None:
        self.unknown += 1
        self._router.log.emit(
            core.LogEvent.REQUEST_UNKNOWN,
            request=pending.request.request_id,
            why=why,
        )
        self._fail(
            pending, core.Outcome.UNKNOWN, core.UnknownOutcomeError(why)
        )

    def _fail(
        self,
        pending: sessions.PendingRequest,
        outcome: core.Outcome,
        error: core.CallerError,
    ) -> None:
        """End a request, also in its session's chart, with an error."""
        request_id = pending.request.request_id
        self.pop(request_id)
        self._chart.fire(
            pending.session,
            'answered',
            core.Answer(request_id, outcome, error=error),
        )

    def schedule_expiry_check(self) -> None:
        """Start the timer of the next check unless it is running."""
        if self._expiry_timer is None:
            self._expiry_timer = self._router.after(
                EXPIRY_CHECK_INTERVAL_S, ExpiryCheckDue()
            )

    def check_expiry(self) -> None:
        """End the requests that no gate has answered in time."""
        self._expiry_timer = None
        cutoff = self._router.now() - ANSWER_GRACE_S
        for pending in tuple(self._requests.values()):
            is_sent = pending.allowance_id is None
            if is_sent and pending.deadline < cutoff:
                self._fail_unknown(pending, 'no answer came from the gate')
        if self._requests:
            self.schedule_expiry_check()
