"""The relay: runs other VMs' work on this VM's lanes."""

from __future__ import annotations

import dataclasses
import itertools

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks import names

__all__ = ['Relay']

_ENDED = core.Ended


@dataclasses.dataclass(frozen=True, slots=True)
class _Lane:
    """The lane to one life of an instance."""

    boot: int
    task: core.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    """Another VM's work on a lane of this one."""

    vm: core.VmName
    work_id: core.WorkId
    lane: core.TaskName
    transaction: core.TransactionId | None


class Relay(runtime.Task):
    """Give work to lanes under numbers and names of its own."""

    def __init__(self, loop: runtime.Runtime, vm: core.VmName) -> None:
        super().__init__(loop, vm, 'relay')
        # Below 0, so that no number is that of the desk's own work.
        self._numbers = itertools.count(-1, -1)
        self._lanes: dict[core.InstanceName, _Lane] = {}
        self._running: dict[core.WorkId, _Running] = {}
        self._held: dict[core.TransactionId, _Running] = {}

    @runtime.handles(core.GroupInForce)
    def _on_group(self, message: core.GroupInForce) -> None:
        """Follow the instances; end the work of those that have gone."""
        for entry in message.entries:
            task = names.pool_lane(self.vm, entry)
            known = self._lanes.get(entry.name)
            if known is not None and known.task != task:
                self._end_all(entry.name, known.task)
            self._lanes[entry.name] = _Lane(entry.boot, task)

    def _end_all(
        self, instance: core.InstanceName, lane: core.TaskName
    ) -> None:
        for number, running in tuple(self._running.items()):
            if running.lane == lane:
                ended = core.WorkEnded(number, instance, _ENDED.LOST)
                self._on_ended(dataclasses.replace(ended, sent_at=0.0))

    @runtime.handles(core.RelayWork)
    def _on_work(self, message: core.RelayWork) -> None:
        lane = self._lanes.get(message.instance)
        if lane is None or lane.boot != message.boot:
            self._answer(
                message.vm,
                core.RelayEnded(
                    self.vm,
                    message.work_id,
                    message.instance,
                    _ENDED.NOT_STARTED,
                    False,
                ),
            )
            return
        number = core.WorkId(next(self._numbers))
        transaction = None
        if message.transaction is not None:
            transaction = _owned(message.vm, message.transaction)
        running = _Running(message.vm, message.work_id, lane.task, transaction)
        self._running[number] = running
        if transaction is not None:
            self._held[transaction] = running
        self._note(message)
        self.send(lane.task, self._work(message, number, transaction))

    def _note(self, message: core.RelayWork) -> None:
        self.meters.add(core.Metric.RELAYED, instance=message.instance)
        self.log.emit(
            core.LogEvent.STATEMENT_RELAYED,
            request=message.request_id,
            peer=message.vm,
            instance=message.instance,
            after=message.after,
        )

    def _work(
        self,
        message: core.RelayWork,
        number: core.WorkId,
        transaction: core.TransactionId | None,
    ) -> core.Work:
        now = self.now()
        return core.Work(
            number,
            self.task_name,
            message.request_id,
            message.statement,
            message.shape,
            message.values,
            message.priority,
            now + message.start_in,
            message.limit,
            message.patience,
            now,
            transaction,
            message.begins,
            message.after,
        )

    @runtime.handles(core.WorkEnded)
    def _on_ended(self, ended: core.WorkEnded) -> None:
        running = self._running.pop(ended.work_id, None)
        if running is None:
            return
        if ended.block is core.BlockState.IDLE:
            self._forget(running)
        self._answer(
            running.vm,
            core.RelayEnded(
                self.vm,
                running.work_id,
                ended.instance,
                ended.ended,
                ended.sent_at is not None,
                ended.rows,
                ended.digest,
                ended.refusal,
                ended.detail,
                ended.position,
                ended.block,
            ),
        )

    def _forget(self, running: _Running) -> None:
        if running.transaction is not None:
            self._held.pop(running.transaction, None)

    def _answer(self, vm: core.VmName, message: core.RelayEnded) -> None:
        self.send(names.peers(self.vm), core.ToPeer(vm, message))

    @runtime.handles(core.RelayCancel)
    def _on_cancel(self, message: core.RelayCancel) -> None:
        for number, running in tuple(self._running.items()):
            if (running.vm, running.work_id) == (
                message.vm,
                message.work_id,
            ):
                self._cancel(number, running)

    def _cancel(self, number: core.WorkId, running: _Running) -> None:
        del self._running[number]
        self._forget(running)
        self.send(running.lane, core.CancelWork(number))

    @runtime.handles(core.RelayRollback)
    def _on_rollback(self, message: core.RelayRollback) -> None:
        self._roll_back(_owned(message.vm, message.transaction))

    def _roll_back(self, transaction: core.TransactionId) -> None:
        running = self._held.pop(transaction, None)
        if running is not None:
            self.send(running.lane, core.EndTransaction(transaction))

    @runtime.handles(core.PeerDown)
    def _on_down(self, message: core.PeerDown) -> None:
        """End what a VM had here: nobody waits for it any more."""
        for number, running in tuple(self._running.items()):
            if running.vm == message.vm:
                self._cancel(number, running)
        for transaction, running in tuple(self._held.items()):
            if running.vm == message.vm:
                self._roll_back(transaction)


def _owned(
    vm: core.VmName, transaction: core.TransactionId
) -> core.TransactionId:
    """Return a transaction's name that no other VM's has."""
    return core.TransactionId(f'{vm}:{transaction}')
