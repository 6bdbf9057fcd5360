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
from chicoryusher.tasks.pool import attempt_answers
from chicoryusher.tasks.pool import completions
from chicoryusher.tasks.pool import group_table as group_table_module
from chicoryusher.tasks.pool import held_answers
from chicoryusher.tasks.pool import instance_selection
from chicoryusher.tasks.pool import sessions
from chicoryusher.tasks.pool import work_numbers

__all__ = ['Attempts', 'RetrySelection']

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


class Attempts(attempt_answers.AttemptAnswers):
    """Run the statements of the dispatcher that owns this object."""

    def __init__(
        self,
        dispatcher: runtime.Task,
        group_table: group_table_module.GroupTable,
        rights: decisions.TeamRights,
        clock: core.Clock,
        evidence: core.EvidenceMode,
    ) -> None:
        super().__init__(dispatcher, group_table, clock)
        self._rights = rights
        self._numbers = itertools.count(work_numbers.first_work_number())
        self._held = held_answers.HeldAnswers(
            dispatcher, group_table, clock, evidence
        )

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
        has_lease = self.has_lease()
        name = instance_selection.select_instance(
            attempt,
            group,
            needs,
            has_lease
            or self._held.may_use_primary(group, self.lease_expires_at),
            self._dispatcher.now(),
            self._clock.boottime(),
        )
        if name is None:
            self._wait_or_refuse(attempt, 'no instance may serve it')
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
        is_asking = self._held.is_asking(attempt.route.service)
        ends_at = instance_selection.wait_ends_at(
            attempt, group, is_asking, now
        )
        if now >= ends_at:
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
        attempt = self._running.get(ended.work_id)
        if attempt is None:
            return None
        self._decrement_outstanding(attempt)
        was_sent = ended.sent_at is not None
        attempt.was_sent = bool(attempt.was_sent) or was_sent
        has_lease = self.has_lease()
        if self._held.needs_evidence(attempt, ended, has_lease):
            if not self._held.hold(attempt, ended):
                self._finish(attempt, ended)
        else:
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
        self._log.log_evidence(attempt, self._lease_seconds_left())
        self._finish(attempt, ended)
        return attempt.route.service

    def _finish(
        self, attempt: sessions.Attempt, ended: core.WorkEnded
    ) -> None:
        """Answer, refuse or retry a statement whose work has ended."""
        del self._running[ended.work_id]
        self._record_result(attempt, ended)
        completions.COMPLETIONS.get(ended.completion)(self, attempt, ended)

    def fence(self, name: core.InstanceName) -> None:
        """Fence the running work of an instance that is being replaced.

        Its answers no longer prove a commit or the primary's position.
        """
        for attempt in self._running.values():
            if attempt.instance == name:
                attempt.result_untrusted = True
        for attempt, ended in self._held.release_all(name):
            if self._running.get(ended.work_id) is attempt:
                self._finish(attempt, ended)

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
