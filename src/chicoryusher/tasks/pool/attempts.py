"""Attempts: statements that wait for an instance or run at it.

An attempt selects an instance for a statement, sends the work to the pool
of that instance, retries where that is safe, and answers the caller.
"""

from __future__ import annotations

import dataclasses
import itertools

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool import attempt_log
from chicoryusher.tasks.pool import completions
from chicoryusher.tasks.pool import group_table as group_table_module
from chicoryusher.tasks.pool import instance_selection
from chicoryusher.tasks.pool import selectors
from chicoryusher.tasks.pool import sessions
from chicoryusher.tasks.pool import work_numbers

__all__ = ['Attempts', 'RetrySelection']

# Share of the latency target for which a statement may wait until a primary
# or another suitable instance is available.  The caller can make better use
# of the remaining time itself.
MAX_WAIT_TARGET_SHARE = 0.2
# Seconds between two selections of an instance for a waiting statement, and
# before a refused statement is retried.
RETRY_PAUSE_S = 0.02
# The same for a statement for which a pool had no connection.  Pools that may
# not open one give the statement back at once.
NO_CONNECTION_PAUSE_S = 0.1
# How often a statement is sent through another VM because the one before had
# no connection to the instance.
MAX_OWNER_CHANGES = 4
# A statement with less run time than this left is refused and not sent.
MIN_RUN_TIME_S = 0.05
_Block = core.TransactionStatus
_Metric = core.Metric


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
    ) -> None:
        self._dispatcher = dispatcher
        self._group_table = group_table
        self._rights = rights
        self._clock = clock
        self._numbers = itertools.count(work_numbers.first_work_number())
        make_selector = selectors.SELECTORS.get(group_table.load_policy)
        self._selector = make_selector(dispatcher, group_table)
        self._log = attempt_log.AttemptLog(dispatcher)
        self._running: dict[core.WorkId, sessions.Attempt] = {}
        self.lease_expires_at = float('-inf')

    def has_lease(self) -> bool:
        """Return whether this VM may use primaries now."""
        return self._lease_seconds_left() > 0.0

    def _lease_seconds_left(self) -> float:
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
        self._dispatch(attempt)

    def retry_selection(self, attempt: sessions.Attempt) -> None:
        """Select an instance again if the caller still waits."""
        if attempt.session.attempt is attempt:
            self._dispatch(attempt)

    def _dispatch(self, attempt: sessions.Attempt) -> None:
        """Send the statement to the best instance, or make it wait."""
        if not self._is_entitled(attempt):
            return
        transaction = attempt.session.transaction
        if transaction is not None and transaction.instance is not None:
            self._continue_transaction(attempt, transaction.instance)
            return
        group = self._group_table.groups.get(attempt.route.service)
        if group is None:
            self._wait_or_refuse(attempt, 'no instance of the group is known')
            return
        needs = instance_selection.read_needs_of(attempt, group)
        name = instance_selection.select_instance(
            attempt,
            group,
            needs,
            self.has_lease(),
            self._dispatcher.now(),
            self._clock.boottime(),
            self._selector,
        )
        if name is None:
            self._wait_or_refuse(attempt, 'no instance may serve it')
            return
        attempt.position_age = needs.position_age
        attempt.at_primary = name == group.primary
        after = None if attempt.at_primary else needs.min_position
        self._submit(
            attempt, name, instance_selection.begin_kind_of(transaction), after
        )

    def _is_entitled(self, attempt: sessions.Attempt) -> bool:
        """Return whether the caller's key may be used; else end or delay.

        A key that has been taken away also ends statements that wait.
        """
        right = self._rights.right(
            attempt.session.key, attempt.route.public, self._clock.boottime()
        )
        if right is decisions.Right.GRANTED:
            return True
        if right is decisions.Right.UNKNOWN_KEY:
            why = 'no team has the key'
            self.refuse(attempt, core.Refusal.UNKNOWN_KEY, why)
            return False
        why = 'the configuration may be outdated'
        transaction = attempt.session.transaction
        if transaction is not None and transaction.instance is not None:
            self.refuse(attempt, core.Refusal.ABORTED, why)
        else:
            self._wait_or_refuse(attempt, why)
        return False

    def _continue_transaction(
        self, attempt: sessions.Attempt, instance: core.InstanceName
    ) -> None:
        """Run a further statement at the instance of its transaction."""
        if instance in self._group_table:
            self._submit(attempt, instance, None, None)
        else:
            self.refuse(
                attempt,
                core.Refusal.ABORTED,
                'the instance of the transaction is gone',
            )

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
        if time_left < MIN_RUN_TIME_S:
            self.refuse(
                attempt,
                completions.timeout_refusal(attempt),
                'no time left to run the statement',
            )
            return
        work_id = core.WorkId(next(self._numbers))
        attempt.work_id = work_id
        attempt.instance = name
        attempt.conn_owner = self._conn_owner_of(attempt, name)
        attempt.try_count += 1
        self._running[work_id] = attempt
        pool_instance = self._pool_instance(attempt)
        if pool_instance is not None:
            pool_instance.outstanding_count += 1
        self._log.log_dispatch(
            attempt, min_position, self._lease_seconds_left()
        )
        work = instance_selection.make_work(
            attempt,
            work_id,
            self._dispatcher.task_name,
            now,
            begin_kind,
            min_position,
            self._selector.queue_limit(attempt),
        )
        self._send_work(attempt, name, work)

    def _send_work(
        self,
        attempt: sessions.Attempt,
        name: core.InstanceName,
        work: core.Work,
    ) -> None:
        """Send work to the instance pool of this VM, or to the forwarder.

        The forwarder sends it to the VM that owns the connections.
        """
        if attempt.conn_owner is None:
            self._dispatcher.send(self._group_table.pool_task(name), work)
            return
        forward = core.ForwardWork(
            attempt.conn_owner, self._group_table.entry(name), work
        )
        self._dispatcher.send(names.forwarder(self._dispatcher.vm), forward)

    def _conn_owner_of(
        self, attempt: sessions.Attempt, name: core.InstanceName
    ) -> core.VmName | None:
        """Return the VM whose connections are used, None for this VM.

        All statements of a transaction use the same VM.
        """
        transaction = attempt.session.transaction
        avoided = attempt.avoided_owners
        if transaction is None:
            return self._group_table.conn_owner(name, attempt.team, avoided)
        if transaction.instance is None:
            transaction.conn_owner = self._group_table.conn_owner(
                name, attempt.team, avoided
            )
        return transaction.conn_owner

    def _wait_or_refuse(self, attempt: sessions.Attempt, why: str) -> None:
        """Retry after a pause, or refuse if the statement waited too long.

        If a primary is expected soon or an instance was tried already, the
        statement may wait as long as it can still be started in time.
        """
        if attempt.excluded:
            attempt.excluded = frozenset()
        now = self._dispatcher.now()
        group = self._group_table.groups.get(attempt.route.service)
        primary_expected = group is not None and group.expects_primary(now)
        share = (
            instance_selection.START_TARGET_SHARE
            if attempt.was_dispatched or primary_expected
            else MAX_WAIT_TARGET_SHARE
        )
        if now >= attempt.arrived_at + attempt.route.latency_target * share:
            self.refuse(attempt, core.Refusal.BUSY, why)
            return
        if attempt.wait_reason != why:
            attempt.wait_reason = why
            self._log.log_delay(attempt, why, self._lease_seconds_left())
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
        attempt = self._running.pop(ended.work_id, None)
        if attempt is None:
            return None
        self._decrement_outstanding(attempt)
        was_sent = ended.sent_at is not None
        attempt.was_sent = bool(attempt.was_sent) or was_sent
        self._record_result(attempt, ended)
        completions.COMPLETIONS.get(ended.completion)(self, attempt, ended)
        return attempt.route.service

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

    def has_work_at(self, name: core.InstanceName) -> bool:
        """Return whether a statement runs or is queued at an instance."""
        return any(
            attempt.instance == name for attempt in self._running.values()
        )

    def fence(self, name: core.InstanceName) -> None:
        """Fence the running work of an instance that is being replaced.

        Its answers no longer prove a commit or the primary's position.
        """
        for attempt in self._running.values():
            if attempt.instance == name:
                attempt.result_untrusted = True

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
        it; it is passed on to the view exchange, which sends it to the peers.
        """
        group = self._group_table.groups.get(attempt.route.service)
        if group is None:
            return
        boot_now = self._clock.boottime()
        trusted = (
            attempt.at_primary
            and self.has_lease()
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
            self._dispatcher.meters.record(
                _Metric.RUN,
                self._dispatcher.now() - ended.sent_at,
                instance=ended.instance,
                ended=ended.completion.value,
            )
        self._selector.record(attempt, group, ended, self._dispatcher.now())
        if ended.refusal is core.Refusal.NOT_FRESH:
            pool_instance.raise_lag_estimate(attempt.position_age, boot_now)

    def repeats_failed(
        self, attempt: sessions.Attempt, ended: core.WorkEnded
    ) -> bool:
        """Return whether a failed statement runs again elsewhere."""
        group = self._group_table.groups.get(attempt.route.service)
        if group is None or not self._selector.may_repeat(attempt, ended):
            return False
        return instance_selection.can_run_elsewhere(
            attempt,
            group,
            self.has_lease(),
            self._dispatcher.now(),
            self._clock.boottime(),
        )

    def try_elsewhere(
        self, attempt: sessions.Attempt, avoid: core.InstanceName, why: str
    ) -> None:
        """Retry at another instance; the statement may safely run again."""
        attempt.excluded |= {avoid}
        self._retry_now(attempt, why)

    def _retry_now(self, attempt: sessions.Attempt, why: str) -> None:
        self._reset_instance(attempt)
        self._log.log_delay(attempt, why, self._lease_seconds_left())
        self._dispatch(attempt)

    def try_other_owner(self, attempt: sessions.Attempt, why: str) -> None:
        """Retry through another VM that owns connections to the instance.

        If there is none, or enough of them were tried, wait and retry.  A
        statement that waited in a queue until its start time has passed is
        refused: the instance is overloaded, whoever sends to it.
        """
        name = attempt.instance
        assert name is not None
        attempt.avoided_owners |= {attempt.conn_owner or self._dispatcher.vm}
        now = self._dispatcher.now()
        if (
            now >= instance_selection.latest_start(attempt)
            or attempt.owner_changes >= MAX_OWNER_CHANGES
            or not self._group_table.has_other_owner(
                name, attempt.avoided_owners
            )
        ):
            attempt.avoided_owners = frozenset()
            self.wait_and_retry(attempt, why)
            return
        attempt.owner_changes += 1
        self._retry_now(attempt, why)

    def wait_and_retry(self, attempt: sessions.Attempt, why: str) -> None:
        """Retry at any instance of the group after a pause."""
        self._reset_instance(attempt)
        self._wait_or_refuse(attempt, why)

    def _reset_instance(self, attempt: sessions.Attempt) -> None:
        """Detach the statement from its instance so that it may run at any.

        Its transaction begins again under a new id, because the end of the
        earlier try may still be under way at its connection owner.  A pool
        of this VM has ended or rolled back that try by itself.
        """
        attempt.was_dispatched = True
        session = attempt.session
        transaction = session.transaction
        if transaction is None:
            return
        if transaction.conn_owner is not None:
            self.roll_back(session)
        transaction.instance = None
        transaction.transaction_id = session.owner.new_transaction_id()

    def report_trouble(self, name: core.InstanceName) -> None:
        """Have the reachability monitor check an instance."""
        self._dispatcher.send(
            names.reachability_monitor(self._dispatcher.vm),
            core.InstanceFault(name),
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
