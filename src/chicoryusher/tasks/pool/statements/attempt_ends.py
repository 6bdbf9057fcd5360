"""What becomes of an attempt whose work has ended: answer or next try."""

from __future__ import annotations

from typing import Protocol

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.groups import group_table as group_table_module
from chicoryusher.tasks.pool.statements import attempt_answers
from chicoryusher.tasks.pool.statements import attempt_log
from chicoryusher.tasks.pool.statements import instance_selection
from chicoryusher.tasks.pool.statements import selectors
from chicoryusher.tasks.pool.statements import sessions

__all__ = ['AttemptEnds']

# How often a statement is sent through another VM because the one before had
# no connection to the instance.
MAX_OWNER_CHANGES = 4
_Block = core.TransactionStatus


class AttemptStarter(Protocol):
    """Selects instances for attempts, and knows the primary lease."""

    def has_lease(self) -> bool:
        """Return whether this VM may use primaries now."""

    def lease_seconds_left(self) -> float:
        """Return for how many seconds this VM may use primaries."""

    def dispatch(self, attempt: sessions.Attempt) -> None:
        """Send the statement to the best instance, or make it wait."""

    def wait_or_refuse(self, attempt: sessions.Attempt, why: str) -> None:
        """Retry after a pause, or refuse if the statement waited too long."""


class AttemptEnds:
    """Answer, refuse or retry the attempts of a dispatcher.

    ``starter`` starts their next tries.
    """

    def __init__(
        self,
        dispatcher: runtime.Task,
        group_table: group_table_module.GroupTable,
        selector: selectors.Selector,
        log: attempt_log.AttemptLog,
        clock: core.Clock,
        starter: AttemptStarter,
    ) -> None:
        self._dispatcher = dispatcher
        self._group_table = group_table
        self._selector = selector
        self._log = log
        self._clock = clock
        self._starter = starter

    def has_lease(self) -> bool:
        """Return whether this VM may use primaries now."""
        return self._starter.has_lease()

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
            self._group_table.out_of_reach(group.service),
        )

    def try_elsewhere(
        self, attempt: sessions.Attempt, avoid: core.InstanceName, why: str
    ) -> None:
        """Retry at another instance; the statement may safely run again."""
        attempt.excluded |= {avoid}
        self._retry_now(attempt, why)

    def _retry_now(self, attempt: sessions.Attempt, why: str) -> None:
        self._reset_instance(attempt)
        self._log.log_delay(attempt, why, self._starter.lease_seconds_left())
        self._starter.dispatch(attempt)

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
        self._starter.wait_or_refuse(attempt, why)

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
            session.owner.roll_back(session)
        transaction.instance = None
        transaction.transaction_id = session.owner.new_transaction_id()

    def report_trouble(self, name: core.InstanceName) -> None:
        """Have the reachability monitor check an instance."""
        self._dispatcher.send(
            names.reachability_monitor(self._dispatcher.vm),
            core.InstanceFault(name),
        )

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
            session.owner.roll_back(session)
        lease_seconds_left = self._starter.lease_seconds_left()
        self._log.log_refusal(attempt, refusal, why, lease_seconds_left)
        answer = attempt_answers.refusal_answer(attempt, refusal, block)
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
            lease_seconds_left = self._starter.lease_seconds_left()
            self._log.log_refusal(
                attempt, ended.refusal, why, lease_seconds_left
            )
        answer = attempt_answers.result_answer(attempt, ended, block)
        session.owner.attempt_answered(session, answer)
