"""Work of attempts that waits or runs at instances.

The work goes to the instance pool of this VM, or through the forwarder to
the VM that owns the connections.
"""

from __future__ import annotations

import itertools

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.groups import group_table as group_table_module
from chicoryusher.tasks.pool.statements import instance_selection
from chicoryusher.tasks.pool.statements import sessions
from chicoryusher.tasks.pool.statements import work_numbers

__all__ = ['RunningWork']


class RunningWork:
    """The attempts that have work at an instance, by the work's number."""

    def __init__(
        self,
        dispatcher: runtime.Task,
        group_table: group_table_module.GroupTable,
    ) -> None:
        self._dispatcher = dispatcher
        self._group_table = group_table
        self._numbers = itertools.count(work_numbers.first_work_number())
        self._attempts: dict[core.WorkId, sessions.Attempt] = {}

    def add(
        self,
        attempt: sessions.Attempt,
        name: core.InstanceName,
        begin_kind: core.TransactionKind | None,
        min_position: core.Position | None,
        queue_limit: float,
    ) -> core.Work:
        """Create the work of an attempt for an instance."""
        work_id = core.WorkId(next(self._numbers))
        attempt.work_id = work_id
        attempt.instance = name
        attempt.try_count += 1
        self._attempts[work_id] = attempt
        pool_instance = self._pool_instance(attempt)
        if pool_instance is not None:
            pool_instance.outstanding_count += 1
        return instance_selection.make_work(
            attempt,
            work_id,
            self._dispatcher.task_name,
            self._dispatcher.now(),
            begin_kind,
            min_position,
            queue_limit,
        )

    def send(self, attempt: sessions.Attempt, work: core.Work) -> None:
        """Send work to the instance pool of this VM, or to the forwarder."""
        name = attempt.instance
        assert name is not None
        if attempt.conn_owner is None:
            self._dispatcher.send(self._group_table.pool_task(name), work)
            return
        forward = core.ForwardWork(
            attempt.conn_owner, self._group_table.entry(name), work
        )
        self._dispatcher.send(names.forwarder(self._dispatcher.vm), forward)

    def conn_owner_of(
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

    def get(self, work_id: core.WorkId) -> sessions.Attempt | None:
        """Return the attempt of a piece of work, None if it has none."""
        return self._attempts.get(work_id)

    def has(self, attempt: sessions.Attempt) -> bool:
        """Return whether an attempt has work at an instance."""
        return attempt.work_id in self._attempts

    def remove(self, work_id: core.WorkId) -> sessions.Attempt | None:
        """Remove work that has ended; return its attempt, if it is known."""
        attempt = self._attempts.pop(work_id, None)
        if attempt is None:
            return None
        pool_instance = self._pool_instance(attempt)
        if pool_instance is not None:
            pool_instance.outstanding_count = max(
                0, pool_instance.outstanding_count - 1
            )
        return attempt

    def cancel(self, attempt: sessions.Attempt) -> None:
        """Cancel an attempt's work, if it has any."""
        work_id = attempt.work_id
        if work_id is None or self.remove(work_id) is None:
            return
        transaction = attempt.session.transaction
        if transaction is not None:
            # The work may have ended, so that the transaction is open there.
            transaction.instance = attempt.instance
        if attempt.conn_owner is not None:
            self._dispatcher.send(
                names.forwarder(self._dispatcher.vm),
                core.ForwardCancel(work_id),
            )
        elif (
            attempt.instance is not None
            and attempt.instance in self._group_table
        ):
            self._dispatcher.send(
                self._group_table.pool_task(attempt.instance),
                core.CancelWork(work_id),
            )

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
        name = transaction.instance
        if name is None or name not in self._group_table:
            return
        self._dispatcher.send(
            self._group_table.pool_task(name),
            core.EndTransaction(transaction.transaction_id),
        )

    def is_at(self, name: core.InstanceName) -> bool:
        """Return whether a statement runs or is queued at an instance."""
        return any(
            attempt.instance == name for attempt in self._attempts.values()
        )

    def distrust(self, name: core.InstanceName) -> None:
        """Mark the results of the work at an instance as untrusted."""
        for attempt in self._attempts.values():
            if attempt.instance == name:
                attempt.result_untrusted = True

    def _pool_instance(
        self, attempt: sessions.Attempt
    ) -> decisions.InstanceLoad | None:
        return self._group_table.instance(
            attempt.route.service, attempt.instance
        )
