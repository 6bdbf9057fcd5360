"""Attempts: statements that wait for an instance or run at it.

An attempt selects an instance for a statement, sends the work to the pool
of that instance, retries where that is safe, and answers the caller.
"""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks.pool.groups import group_table as group_table_module
from chicoryusher.tasks.pool.statements import attempt_allowances
from chicoryusher.tasks.pool.statements import attempt_ends
from chicoryusher.tasks.pool.statements import attempt_log
from chicoryusher.tasks.pool.statements import attempt_results
from chicoryusher.tasks.pool.statements import completions
from chicoryusher.tasks.pool.statements import entitlement
from chicoryusher.tasks.pool.statements import held_answers
from chicoryusher.tasks.pool.statements import instance_selection
from chicoryusher.tasks.pool.statements import running_work
from chicoryusher.tasks.pool.statements import selectors
from chicoryusher.tasks.pool.statements import sessions

__all__ = ['Attempts', 'RetrySelection']

# Seconds between two selections of an instance for a waiting statement, and
# before a refused statement is retried.
RETRY_PAUSE_S = 0.02
# The same for a statement for which a pool had no connection.  Pools that may
# not open one give the statement back at once.
NO_CONNECTION_PAUSE_S = 0.1
_REFUSAL_BY_OUTCOME = {
    core.AllowanceOutcome.OVER_LIMIT: core.Refusal.OVER_LIMIT,
    core.AllowanceOutcome.UNANSWERED: core.Refusal.BUSY,
}


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySelection(core.Message):
    """Select an instance for a waiting statement again."""

    attempt: sessions.Attempt


class Attempts:
    """Run the statements of the dispatcher that owns this object.

    ``lease_expires_at`` is when the primary lease ends, on the
    clock that also counts time while the machine is suspended.
    """

    def __init__(
        self,
        dispatcher: runtime.Task,
        group_table: group_table_module.GroupTable,
        rights: decisions.TeamRights,
        clock: core.Clock,
        evidence: core.EvidenceMode,
    ) -> None:
        self._dispatcher = dispatcher
        self._group_table = group_table
        self._rights = rights
        self._clock = clock
        make_selector = selectors.SELECTORS.get(group_table.load_policy)
        self._selector = make_selector(dispatcher, group_table)
        self._log = attempt_log.AttemptLog(dispatcher)
        self._allowances = attempt_allowances.AttemptAllowances(
            dispatcher, rights, clock
        )
        self._results = attempt_results.AttemptResults(
            dispatcher, group_table, self._selector, clock
        )
        self._running = running_work.RunningWork(dispatcher, group_table)
        self._held = held_answers.HeldAnswers(
            dispatcher, group_table, clock, evidence
        )
        self._ends = attempt_ends.AttemptEnds(
            dispatcher, group_table, self._selector, self._log, clock, self
        )
        self.lease_expires_at = float('-inf')

    def has_lease(self) -> bool:
        """Return whether this VM may use primaries now."""
        return self.lease_seconds_left() > 0.0

    def lease_seconds_left(self) -> float:
        """Return for how many seconds this VM may use primaries."""
        return self.lease_expires_at - self._clock.boottime()

    # -- instance selection ---------------------------------------------

    def start(
        self,
        session: sessions.PoolSession,
        message: core.PoolStatement,
        route: core.PoolRoute,
        shape: core.PreparedQuery | None,
        team: core.TeamName | None,
    ) -> None:
        """Start an attempt to run a statement."""
        attempt = sessions.Attempt(
            session,
            message,
            route,
            shape,
            self._dispatcher.now(),
            self._clock.boottime(),
            team=team,
        )
        session.attempt = attempt
        self.dispatch(attempt)

    def retry_selection(self, attempt: sessions.Attempt) -> None:
        """Select an instance again if the caller still waits."""
        if attempt.session.attempt is attempt:
            self.dispatch(attempt)

    def dispatch(self, attempt: sessions.Attempt) -> None:
        """Send the statement to the best instance, or make it wait."""
        if not self._is_entitled(attempt):
            return
        transaction = attempt.session.transaction
        if transaction is not None and transaction.instance is not None:
            self._continue_transaction(attempt, transaction.instance)
            return
        group = self._group_table.groups.get(attempt.route.service)
        if group is None:
            self.wait_or_refuse(attempt, 'no instance of the group is known')
            return
        needs = instance_selection.read_needs_of(attempt, group)
        has_lease = self.has_lease()
        name = instance_selection.select_instance(
            attempt,
            group,
            needs,
            has_lease
            or self._held.may_use_primary(group, self.lease_expires_at),
            self._dispatcher.now(),
            self._clock.boottime(),
            self._selector,
            self._group_table.out_of_reach(group.service),
        )
        if name is None:
            self.wait_or_refuse(attempt, 'no instance may serve it')
            return
        if not self._allowances.may_start(attempt):
            return
        attempt.position_age = needs.position_age
        attempt.at_primary = name == group.primary
        attempt.sent_without_lease = attempt.at_primary and not has_lease
        attempt.evidence = None
        after = None if attempt.at_primary else needs.min_position
        self._submit(
            attempt, name, instance_selection.begin_kind_of(transaction), after
        )

    def _is_entitled(self, attempt: sessions.Attempt) -> bool:
        """Return whether the caller's key may be used; else end or delay."""
        objection = entitlement.objection_to(
            attempt, self._rights, self._clock.boottime()
        )
        if objection is None:
            return True
        if objection.refusal is None:
            self.wait_or_refuse(attempt, objection.why)
        else:
            self._ends.refuse(attempt, objection.refusal, objection.why)
        return False

    def allowance_decided(self, decision: core.AllowanceDecided) -> None:
        """Go on with an operation of a team with a limit, or refuse it."""
        attempt = self._allowances.decided(decision)
        if attempt is None:
            return
        refusal = _REFUSAL_BY_OUTCOME.get(decision.outcome)
        if refusal is None:
            self.dispatch(attempt)
        else:
            self._ends.refuse(attempt, refusal, decision.outcome.value)

    def _continue_transaction(
        self, attempt: sessions.Attempt, instance: core.InstanceName
    ) -> None:
        """Run a further statement at the instance of its transaction."""
        transaction = attempt.session.transaction
        assert transaction is not None
        if instance not in self._group_table:
            why = 'the instance of the transaction is gone'
            self._ends.refuse(attempt, core.Refusal.ABORTED, why)
        elif transaction.conn_owner in self._group_table.silent_owners:
            why = 'the VM that holds the transaction does not respond'
            self._ends.refuse(attempt, core.Refusal.ABORTED, why)
        else:
            self._submit(attempt, instance, None, None)

    def _submit(
        self,
        attempt: sessions.Attempt,
        name: core.InstanceName,
        begin_kind: core.TransactionKind | None,
        min_position: core.Position | None,
    ) -> None:
        """Queue the statement at an instance, or refuse it if too late."""
        now = self._dispatcher.now()
        time_left = attempt.arrived_at + attempt.route.statement_timeout - now
        attempt.conn_owner = self._running.conn_owner_of(attempt, name)
        if time_left < instance_selection.end_reserve(attempt):
            self._ends.refuse(
                attempt,
                completions.timeout_refusal(attempt),
                'no time left to run the statement',
            )
            return
        work = self._running.add(
            attempt,
            name,
            begin_kind,
            min_position,
            self._selector.queue_limit(attempt),
        )
        self._log.log_dispatch(
            attempt, min_position, self.lease_seconds_left()
        )
        self._running.send(attempt, work)

    def wait_or_refuse(self, attempt: sessions.Attempt, why: str) -> None:
        """Retry after a pause, or refuse if the statement waited too long.

        If a primary is expected soon or an instance was tried already, the
        statement may wait as long as it can still be started in time.
        """
        if attempt.excluded:
            attempt.excluded = frozenset()
        now = self._dispatcher.now()
        group = self._group_table.groups.get(attempt.route.service)
        is_asking = self._held.is_asking(attempt.route.service)
        ends_at = instance_selection.wait_ends_at(
            attempt, group, is_asking, now
        )
        if now >= ends_at:
            self._ends.refuse(attempt, core.Refusal.BUSY, why)
            return
        if attempt.wait_reason != why:
            attempt.wait_reason = why
            self._log.log_delay(attempt, why, self.lease_seconds_left())
        pause_s = RETRY_PAUSE_S
        if attempt.lacked_connection:
            attempt.lacked_connection = False
            pause_s = NO_CONNECTION_PAUSE_S
        self._dispatcher.after(pause_s, RetrySelection(attempt))

    # -- results --------------------------------------------------------

    def work_ended(self, ended: core.WorkEnded) -> core.ServiceName | None:
        """Process a finished piece of work.

        Return the database group that it was for, None if the attempt was
        cancelled in the meantime.
        """
        attempt = self._running.get(ended.work_id)
        if attempt is None:
            return None
        attempt.was_sent = bool(attempt.was_sent) or ended.sent_at is not None
        is_held = self._held.needs_evidence(
            attempt, ended, self.has_lease()
        ) and self._held.hold(attempt, ended)
        if not is_held:
            self._finish(attempt, ended)
        return attempt.route.service

    def evidence_given(
        self, message: core.EvidenceGiven
    ) -> core.ServiceName | None:
        """Answer a statement that was held for this evidence, if any."""
        released = self._held.release(message)
        if released is None:
            return None
        attempt, ended = released
        # Its caller may have gone meanwhile.
        if self._running.get(ended.work_id) is not attempt:
            return None
        attempt.evidence = message
        self._log.log_evidence(attempt, self.lease_seconds_left())
        self._finish(attempt, ended)
        return attempt.route.service

    def _finish(
        self, attempt: sessions.Attempt, ended: core.WorkEnded
    ) -> None:
        """Answer, refuse or retry a statement whose work has ended."""
        self._running.remove(ended.work_id)
        self._allowances.record_end(attempt, ended)
        is_trusted = completions.may_trust(self._ends, attempt)
        self._results.record(attempt, ended, is_trusted)
        completions.COMPLETIONS.get(ended.completion)(
            self._ends, attempt, ended
        )

    def cancel_statement(self, session: sessions.PoolSession) -> None:
        """Cancel the statement of a session whose caller is gone.

        A statement that waits for an instance is not run any more.
        """
        attempt, session.attempt = session.attempt, None
        if attempt is None:
            return
        self._allowances.cancel(attempt)
        self._running.cancel(attempt)

    def end_statement(self, attempt: sessions.Attempt) -> None:
        """End a statement that waits or runs, and answer its caller.

        A change that may have been committed is refused with UNKNOWN.
        """
        refusal = completions.timeout_refusal(attempt)
        self._allowances.cancel(attempt)
        if self._running.has(attempt):
            transaction = attempt.session.transaction
            wrote = transaction is None or transaction.wrote
            if attempt.may_commit and wrote:
                refusal = core.Refusal.UNKNOWN
            self.cancel_statement(attempt.session)
        self._ends.refuse(attempt, refusal, 'this VM shuts down')

    def roll_back(self, session: sessions.PoolSession) -> None:
        """Roll the session's transaction back at its instance."""
        self._running.roll_back(session)

    def has_work_at(self, name: core.InstanceName) -> bool:
        """Return whether a statement runs or is queued at an instance."""
        return self._running.is_at(name)

    def fence(self, name: core.InstanceName) -> None:
        """Fence the running work of an instance that is being replaced.

        Its answers no longer prove a commit or the primary's position.
        """
        self._running.distrust(name)
        for attempt, ended in self._held.release_all(name):
            if self._running.get(ended.work_id) is attempt:
                self._finish(attempt, ended)
