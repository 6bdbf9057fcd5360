"""Relay: runs work of other VMs on this VM's instance pools."""

from __future__ import annotations

import dataclasses
import itertools

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names

__all__ = ['Relay']

_Ended = core.Completion
# Share of the bytes that may be held for callers, for work of other VMs.
RELAYED_SHARE = 0.25
# Work up to this size is not refused for lack of room.
SMALL_WORK_BYTES = 4 * 1024
# The label of work that is refused here for lack of room.
_ROOM_PLACE = 'relay'


@dataclasses.dataclass(frozen=True, slots=True)
class _InstancePool:
    """The pool task of one incarnation of an instance.

    ``boot`` is the incarnation's number.
    """

    service: core.ServiceName
    boot: int
    task: core.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class _RelayedWork:
    """Work of another VM that runs on an instance pool of this VM.

    ``work_id`` is the other VM's id of the work.
    """

    vm: core.VmName
    work_id: core.WorkId
    pool_task: core.TaskName
    transaction: core.TransactionId | None


class Relay(runtime.Task):
    """Submit other VMs' work to instance pools, and return the results.

    The work and its transactions get ids that are unique on this VM.
    """

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        max_held_bytes: int = decisions.CallerLimits().max_held_bytes,
    ) -> None:
        super().__init__(loop, vm, 'relay')
        self._held: decisions.HeldBytes[core.WorkId] = decisions.HeldBytes(
            int(max_held_bytes * RELAYED_SHARE)
        )
        # Negative, so that they differ from the ids of the dispatcher's work.
        self._local_ids = itertools.count(-1, -1)
        self._pools: dict[core.InstanceName, _InstancePool] = {}
        self._relayed: dict[core.WorkId, _RelayedWork] = {}
        self._by_transaction: dict[core.TransactionId, _RelayedWork] = {}
        self._draining = False

    @property
    def outstanding(self) -> int:
        """Return the number of statements and transactions of other VMs."""
        return len(self._relayed) + len(self._by_transaction)

    @runtime.handles(core.AdvanceDrain)
    def _on_advance_drain(self, message: core.AdvanceDrain) -> None:
        """Take no more work that begins; its sender tries another VM."""
        self._draining = True

    @runtime.handles(core.GroupUpdate)
    def _on_group(self, message: core.GroupUpdate) -> None:
        """Update the instance pools of the group.

        The pools that are gone have reported the end of their work.
        """
        for name, pool in tuple(self._pools.items()):
            if pool.service == message.service:
                del self._pools[name]
        for entry in message.entries:
            self._pools[entry.name] = _InstancePool(
                message.service,
                entry.incarnation,
                names.instance_pool(self.vm, entry),
            )

    @runtime.handles(core.RelayWork)
    def _on_work(self, message: core.RelayWork) -> None:
        pool = self._pools.get(message.instance)
        begins = message.transaction is None or message.begin_kind is not None
        is_gone = pool is None or pool.boot != message.incarnation
        if pool is None or is_gone or (self._draining and begins):
            self._give_back(message)
            return
        if begins and not self._has_room(message):
            self.meters.add(
                core.Metric.STATEMENTS_WITHOUT_ROOM, place=_ROOM_PLACE
            )
            self.log.emit(core.LogEvent.NO_ROOM, request=message.request_id)
            self._give_back(message)
            return
        local_id = core.WorkId(next(self._local_ids))
        self._held.record(local_id, _size_of(message))
        transaction = None
        if message.transaction is not None:
            transaction = _qualified_id(message.vm, message.transaction)
        relayed = _RelayedWork(
            message.vm, message.work_id, pool.task, transaction
        )
        self._relayed[local_id] = relayed
        if transaction is not None:
            self._by_transaction[transaction] = relayed
        self._log_work(message)
        self.send(pool.task, self._local_work(message, local_id, transaction))

    def _has_room(self, message: core.RelayWork) -> bool:
        size = _size_of(message)
        return size <= SMALL_WORK_BYTES or not self._held.is_above(1.0)

    def _give_back(self, message: core.RelayWork) -> None:
        """Answer that the work was not started."""
        ended = core.RelayEnded(
            self.vm,
            message.work_id,
            message.instance,
            _Ended.NOT_STARTED,
            False,
        )
        self._answer(message.vm, ended)

    def _log_work(self, message: core.RelayWork) -> None:
        self.meters.add(core.Metric.RELAYED, instance=message.instance)
        self.log.emit(
            core.LogEvent.STATEMENT_RELAYED,
            request=message.request_id,
            peer=message.vm,
            instance=message.instance,
            after=message.min_position,
        )

    def _local_work(
        self,
        message: core.RelayWork,
        local_id: core.WorkId,
        transaction: core.TransactionId | None,
    ) -> core.Work:
        """Return the message as work for an instance pool of this VM."""
        now = self.now()
        return core.Work(
            local_id,
            self.task_name,
            message.request_id,
            message.statement,
            message.prepared,
            message.session_values,
            message.priority,
            now + message.start_timeout,
            message.timeout,
            message.retryable_timeout,
            now,
            transaction,
            message.begin_kind,
            message.min_position,
            message.team,
        )

    @runtime.handles(core.WorkEnded)
    def _on_ended(self, ended: core.WorkEnded) -> None:
        relayed = self._relayed.pop(ended.work_id, None)
        if relayed is None:
            return
        self._held.record(ended.work_id, 0)
        if ended.transaction_status is core.TransactionStatus.IDLE:
            self._forget_transaction(relayed)
        self._answer(
            relayed.vm,
            core.RelayEnded(
                self.vm,
                relayed.work_id,
                ended.instance,
                ended.completion,
                ended.sent_at is not None,
                ended.rows,
                ended.digest,
                ended.refusal,
                ended.detail,
                ended.position,
                ended.transaction_status,
                ended.expected_wait,
                ended.run_time,
            ),
        )

    def _forget_transaction(self, relayed: _RelayedWork) -> None:
        if relayed.transaction is not None:
            self._by_transaction.pop(relayed.transaction, None)

    def _answer(self, vm: core.VmName, message: core.RelayEnded) -> None:
        self.send(names.peers(self.vm), core.SendToPeer(vm, message))

    @runtime.handles(core.RelayCancel)
    def _on_cancel(self, message: core.RelayCancel) -> None:
        for local_id, relayed in tuple(self._relayed.items()):
            if (relayed.vm, relayed.work_id) == (
                message.vm,
                message.work_id,
            ):
                self._cancel(local_id, relayed)

    def _cancel(self, local_id: core.WorkId, relayed: _RelayedWork) -> None:
        """Cancel work, and roll back a transaction that it has opened.

        The work may have ended, with its result still in the mailbox.
        """
        del self._relayed[local_id]
        self._held.record(local_id, 0)
        self._forget_transaction(relayed)
        self.send(relayed.pool_task, core.CancelWork(local_id))
        if relayed.transaction is not None:
            self.send(
                relayed.pool_task, core.EndTransaction(relayed.transaction)
            )

    @runtime.handles(core.RelayPing)
    def _on_ping(self, message: core.RelayPing) -> None:
        pong = core.RelayPong(self.vm)
        self.send(names.peers(self.vm), core.SendToPeer(message.vm, pong))

    @runtime.handles(core.RelayRollback)
    def _on_rollback(self, message: core.RelayRollback) -> None:
        self._roll_back(_qualified_id(message.vm, message.transaction))

    def _roll_back(self, transaction: core.TransactionId) -> None:
        relayed = self._by_transaction.pop(transaction, None)
        if relayed is not None:
            self.send(relayed.pool_task, core.EndTransaction(transaction))

    @runtime.handles(core.PeerDown)
    def _on_peer_down(self, message: core.PeerDown) -> None:
        """Cancel all work and transactions of a VM whose stream has ended.

        Nobody waits for their results any more.
        """
        for local_id, relayed in tuple(self._relayed.items()):
            if relayed.vm == message.vm:
                self._cancel(local_id, relayed)
        for transaction, relayed in tuple(self._by_transaction.items()):
            if relayed.vm == message.vm:
                self._roll_back(transaction)


def _size_of(message: core.RelayWork) -> int:
    """Return the bytes of a statement and of what is set before it."""
    size = len(message.statement.text)
    size += sum(len(value) for _, value in message.session_values)
    if message.prepared is not None:
        size += len(message.prepared.template)
    return size


def _qualified_id(
    vm: core.VmName, transaction: core.TransactionId
) -> core.TransactionId:
    """Return a transaction id that is unique among all VMs."""
    return core.TransactionId(f'{vm}:{transaction}')
