"""The forwarder: work that other VMs run for this one."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks import notices

__all__ = ['Forwarder']

# Seconds between looks at what is late, while work is under way.
SWEEP = 0.1
# Seconds over the patience of a read before its holder is given up; a
# round trip between regions and a pause of the holder's loop.
HOP = 0.1
_ENDED = core.Ended


@dataclasses.dataclass(slots=True)
class _Sent:
    """Work under way, and when it left on both clocks (seconds)."""

    via: core.VmName
    instance: core.InstanceName
    work: core.Work
    sent_at: float
    asked_at: float


class _Sweep(core.Message):
    """Time to look at what is late."""


class Forwarder(runtime.Task):
    """Send work to holders; tell its owner what became of it."""

    def __init__(self, loop: runtime.Runtime, vm: core.VmName) -> None:
        super().__init__(loop, vm, 'forwarder')
        self._clock = loop.clock
        self._sent: dict[core.WorkId, _Sent] = {}
        self._holders: dict[core.TransactionId, core.VmName] = {}
        self._sweeping = False

    @runtime.handles(core.ForwardWork)
    def _on_work(self, message: core.ForwardWork) -> None:
        work, entry = message.work, message.entry
        now = self.now()
        self._sent[work.work_id] = _Sent(
            message.via, entry.name, work, now, self._clock.running_on()
        )
        if work.transaction is not None:
            self._holders[work.transaction] = message.via
        self.meters.add(core.Metric.FORWARDED, instance=entry.name)
        relayed = core.RelayWork(
            self.vm,
            entry.name,
            entry.boot,
            work.work_id,
            work.request_id,
            work.statement,
            work.shape,
            work.values,
            work.priority,
            work.start_by - now,
            work.limit,
            work.patience,
            work.transaction,
            work.begins,
            work.after,
        )
        self._tell(message.via, relayed)
        self._sweep_soon()

    def _tell(self, vm: core.VmName, message: core.Message) -> None:
        self.send(names.peers(self.vm), core.ToPeer(vm, message))

    @runtime.handles(core.RelayEnded)
    def _on_ended(self, message: core.RelayEnded) -> None:
        sent = self._sent.get(message.work_id)
        if sent is None or sent.via != message.vm:
            return
        self._end(
            message.work_id,
            core.WorkEnded(
                message.work_id,
                message.instance,
                message.ended,
                message.rows,
                message.digest,
                message.refusal,
                message.detail,
                message.position,
                message.block,
                sent.sent_at if message.sent else None,
                sent.asked_at,
            ),
        )

    def _end(self, work_id: core.WorkId, ended: core.WorkEnded) -> None:
        sent = self._sent.pop(work_id)
        transaction = sent.work.transaction
        if transaction is not None and ended.block is core.BlockState.IDLE:
            self._holders.pop(transaction, None)
        self.send(sent.work.owner, ended)

    def _give_up(self, work_id: core.WorkId, ended: core.Ended) -> None:
        """End work without the holder's word; it may have been run."""
        sent = self._sent[work_id]
        self._end(
            work_id,
            core.WorkEnded(
                work_id,
                sent.instance,
                ended,
                sent_at=sent.sent_at,
                asked_at=sent.asked_at,
            ),
        )

    @runtime.handles(core.ForwardCancel)
    def _on_cancel(self, message: core.ForwardCancel) -> None:
        sent = self._sent.pop(message.work_id, None)
        if sent is not None:
            cancel = core.RelayCancel(self.vm, message.work_id)
            self._tell(sent.via, cancel)

    @runtime.handles(core.ForwardEnd)
    def _on_end(self, message: core.ForwardEnd) -> None:
        via = self._holders.pop(message.transaction, None)
        if via is not None:
            rollback = core.RelayRollback(self.vm, message.transaction)
            self._tell(via, rollback)

    @runtime.handles(core.ForwardStop)
    def _on_stop(self, message: core.ForwardStop) -> None:
        for work_id, sent in tuple(self._sent.items()):
            if sent.instance == message.instance:
                self._tell(sent.via, core.RelayCancel(self.vm, work_id))
                self._give_up(work_id, _ENDED.LOST)

    # -- holders that are lost -------------------------------------------

    @runtime.handles(core.PeerDown)
    def _on_down(self, message: core.PeerDown) -> None:
        for work_id, sent in tuple(self._sent.items()):
            if sent.via == message.vm:
                self._give_up(work_id, _ENDED.LOST)
        for transaction, via in tuple(self._holders.items()):
            if via == message.vm:
                del self._holders[transaction]

    @runtime.handles(notices.Undelivered)
    def _on_undelivered(self, message: notices.Undelivered) -> None:
        """End work that never left this VM."""
        relayed = message.message
        if not isinstance(relayed, core.RelayWork):
            return
        sent = self._sent.get(relayed.work_id)
        if sent is None or sent.via != message.vm:
            return
        continues = relayed.transaction is not None and relayed.begins is None
        ended = _ENDED.LOST if continues else _ENDED.NOT_STARTED
        self._end(
            relayed.work_id,
            core.WorkEnded(relayed.work_id, sent.instance, ended),
        )

    # -- time ------------------------------------------------------------

    def _sweep_soon(self) -> None:
        if self._sent and not self._sweeping:
            self._sweeping = True
            self.after(SWEEP, _Sweep())

    @runtime.handles(_Sweep)
    def _on_sweep(self, sweep: _Sweep) -> None:
        """Give up what the holder should have answered by now."""
        self._sweeping = False
        now = self.now()
        for work_id, sent in tuple(self._sent.items()):
            elapsed = now - sent.sent_at
            ended = _ENDED.OVERTIME
            late = elapsed >= sent.work.limit
            if decisions.may_repeat(sent.work):
                ended = _ENDED.LOST
                late = late or elapsed > sent.work.patience + HOP
            if late:
                self._tell(sent.via, core.RelayCancel(self.vm, work_id))
                self._give_up(work_id, ended)
        self._sweep_soon()
