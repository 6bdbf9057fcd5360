"""Answers of attempts: what callers are told, and what results show."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool import attempt_log
from chicoryusher.tasks.pool import completions
from chicoryusher.tasks.pool import group_table as group_table_module
from chicoryusher.tasks.pool import sessions

__all__ = ['AttemptAnswers']

_Block = core.TransactionStatus
_Metric = core.Metric


class AttemptAnswers:
    """Answer callers, and record what the results of their statements show.

    ``lease_expires_at`` is when the primary lease ends, on the
    clock that also counts time while the machine is suspended.
    """

    def __init__(
        self,
        dispatcher: runtime.Task,
        group_table: group_table_module.GroupTable,
        clock: core.Clock,
    ) -> None:
        self._dispatcher = dispatcher
        self._group_table = group_table
        self._clock = clock
        self._log = attempt_log.AttemptLog(dispatcher)
        self._running: dict[core.WorkId, sessions.Attempt] = {}
        self.lease_expires_at = float('-inf')

    def has_lease(self) -> bool:
        """Return whether this VM may use primaries now."""
        return self._lease_seconds_left() > 0.0

    def _lease_seconds_left(self) -> float:
        return self.lease_expires_at - self._clock.boottime()

    # -- results --------------------------------------------------------

    def _pool_instance(
        self, attempt: sessions.Attempt
    ) -> decisions.InstanceLoad | None:
        return self._group_table.instance(
            attempt.route.service, attempt.instance
        )

    def _decrement_outstanding(self, attempt: sessions.Attempt) -> None:
        pool_instance = self._pool_instance(attempt)
        if pool_instance is not None:
            pool_instance.outstanding_count = max(
                0, pool_instance.outstanding_count - 1
            )

    def _record_result(
        self, attempt: sessions.Attempt, ended: core.WorkEnded
    ) -> None:
        """Record the position, run time and lag that the result shows.

        A position of the primary counts only if this VM had a lease on
        it, or evidence; it is passed on to the view exchange, which sends it
        to the peers.
        """
        group = self._group_table.groups.get(attempt.route.service)
        if group is None:
            return
        boot_now = self._clock.boottime()
        trusted = (
            attempt.at_primary
            and completions.may_trust(self, attempt)
            and not attempt.result_untrusted
        )
        if group.record_position(ended, trusted, boot_now):
            assert (
                ended.position is not None
                and ended.sent_at_boottime is not None
            )
            observed = core.PrimaryPositionObserved(
                group.service, ended.position, ended.sent_at_boottime
            )
            self._dispatcher.send(
                names.view_exchange(self._dispatcher.vm), observed
            )
        pool_instance = group.instances.get(ended.instance)
        if pool_instance is None:
            return
        if ended.sent_at is not None:
            self._record_run_time(
                pool_instance, ended, self._dispatcher.now() - ended.sent_at
            )
        if ended.refusal is core.Refusal.NOT_FRESH:
            pool_instance.raise_lag_estimate(attempt.position_age, boot_now)

    def _record_run_time(
        self,
        pool_instance: decisions.InstanceLoad,
        ended: core.WorkEnded,
        seconds: float,
    ) -> None:
        self._dispatcher.meters.record(
            _Metric.RUN,
            seconds,
            instance=ended.instance,
            ended=ended.completion.value,
        )
        if ended.completion is core.Completion.ANSWERED:
            pool_instance.record_service_time(seconds)

    def report_trouble(self, name: core.InstanceName) -> None:
        """Have the reachability monitor check an instance."""
        self._dispatcher.send(
            names.reachability_monitor(self._dispatcher.vm),
            core.InstanceFault(name),
        )

    # -- ends of statements ---------------------------------------------

    def cancel_statement(self, session: sessions.PoolSession) -> None:
        """Cancel the statement of a session whose caller is gone.

        A statement that waits for an instance is not run any more.
        """
        attempt, session.attempt = session.attempt, None
        if attempt is None or attempt.work_id not in self._running:
            return
        del self._running[attempt.work_id]
        self._decrement_outstanding(attempt)
        transaction = session.transaction
        if transaction is not None:
            # The work may have ended, so that the transaction is open there.
            transaction.instance = attempt.instance
        if attempt.conn_owner is not None:
            self._dispatcher.send(
                names.forwarder(self._dispatcher.vm),
                core.ForwardCancel(attempt.work_id),
            )
        elif attempt.instance in self._group_table:
            self._dispatcher.send(
                self._group_table.pool_task(attempt.instance),
                core.CancelWork(attempt.work_id),
            )

    def end_statement(self, attempt: sessions.Attempt) -> None:
        """End a statement that waits or runs, and answer its caller.

        A change that may have been committed is refused with UNKNOWN.
        """
        refusal = completions.timeout_refusal(attempt)
        if attempt.work_id in self._running:
            transaction = attempt.session.transaction
            wrote = transaction is None or transaction.wrote
            if attempt.may_commit and wrote:
                refusal = core.Refusal.UNKNOWN
            self.cancel_statement(attempt.session)
        self.refuse(attempt, refusal, 'this VM shuts down')

    def has_work_at(self, name: core.InstanceName) -> bool:
        """Return whether a statement runs or is queued at an instance."""
        return any(
            attempt.instance == name for attempt in self._running.values()
        )

    # -- answers --------------------------------------------------------

    def refuse(
        self,
        attempt: sessions.Attempt,
        refusal: core.Refusal,
        why: str,
        block: core.TransactionStatus = _Block.IDLE,
    ) -> None:
        """Answer with a refusal, and log the reason."""
        session = attempt.session
        if block is _Block.IDLE:
            self.roll_back(session)
        lease_seconds_left = self._lease_seconds_left()
        self._log.log_refusal(attempt, refusal, why, lease_seconds_left)
        answer = core.SessionAnswer(
            session.session_id,
            attempt.message.request_id,
            block,
            refusal=refusal,
            detail=str(attempt.instance or ''),
        )
        session.owner.attempt_answered(session, answer)

    def deliver(
        self,
        attempt: sessions.Attempt,
        ended: core.WorkEnded,
        block: core.TransactionStatus,
    ) -> None:
        """Send the instance's answer to the caller."""
        session = attempt.session
        if ended.refusal is None:
            self._log.record_success(attempt)
        else:
            why = 'the statement failed at the instance'
            lease_seconds_left = self._lease_seconds_left()
            self._log.log_refusal(
                attempt, ended.refusal, why, lease_seconds_left
            )
        answer = core.SessionAnswer(
            session.session_id,
            attempt.message.request_id,
            block,
            ended.rows,
            ended.digest,
            ended.refusal,
            ended.detail,
            ended.position,
        )
        session.owner.attempt_answered(session, answer)

    def roll_back(self, session: sessions.PoolSession) -> None:
        """Roll the session's transaction back at its instance."""
        transaction = session.transaction
        if transaction is None:
            return
        if transaction.conn_owner is not None:
            self._dispatcher.send(
                names.forwarder(self._dispatcher.vm),
                core.ForwardRollback(transaction.transaction_id),
            )
            return
        if transaction.instance not in self._group_table:
            return
        self._dispatcher.send(
            self._group_table.pool_task(transaction.instance),
            core.EndTransaction(transaction.transaction_id),
        )
