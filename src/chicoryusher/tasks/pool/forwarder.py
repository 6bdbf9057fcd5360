"""The forwarder: work that other VMs run for this one."""

from __future__ import annotations

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks import notices
from chicoryusher.tasks.pool import forwarded

__all__ = ['Forwarder']

# Seconds between looks at what is late, while work is under way.
SWEEP = 0.1
# Seconds over the patience of a read before its holder is given up; a
# round trip between regions and a pause of the holder's loop.
HOP = 0.1


class _Sweep(core.Message):
    """Time to look at what is late."""


class Forwarder(runtime.Task):
    """Send work to holders; tell its owner what became of it."""

    def __init__(self, loop: runtime.Runtime, vm: core.VmName) -> None:
        super().__init__(loop, vm, 'forwarder')
        self._clock = loop.clock
        self._chart = charts.compiled('forwarded')
        self._away: dict[core.WorkId, forwarded.Forwarded] = {}
        self._holders: dict[core.TransactionId, core.VmName] = {}
        self._sweeping = False

    # -- work out -------------------------------------------------------

    @runtime.handles(core.ForwardWork)
    def _on_work(self, message: core.ForwardWork) -> None:
        work, entry = message.work, message.entry
        now = self.now()
        self._away[work.work_id] = forwarded.Forwarded(
            self,
            message.via,
            entry.name,
            work,
            now,
            self._clock.running_on(),
        )
        if work.transaction is not None:
            self._holders[work.transaction] = message.via
        self.meters.add(core.Metric.FORWARDED, instance=entry.name)
        self._tell(message.via, self._relayed(entry, work, now))
        self._sweep_soon()

    def _relayed(
        self, entry: core.InstanceEntry, work: core.Work, now: float
    ) -> core.RelayWork:
        return core.RelayWork(
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

    def _tell(self, vm: core.VmName, message: core.Message) -> None:
        self.send(names.peers(self.vm), core.ToPeer(vm, message))

    # -- ends -----------------------------------------------------------

    def _fire(
        self,
        one: forwarded.Forwarded,
        event: str,
        arg: core.WorkEnded | None = None,
    ) -> None:
        del self._away[one.work.work_id]
        self._chart.fire(one, event, arg)

    def report(self, one: forwarded.Forwarded, ended: core.WorkEnded) -> None:
        """Tell the owner what became of its work."""
        transaction = one.work.transaction
        if transaction is not None and ended.block is core.BlockState.IDLE:
            self._holders.pop(transaction, None)
        self.send(one.work.owner, ended)

    def call_back(self, one: forwarded.Forwarded) -> None:
        """Tell the holder that nobody waits for the work."""
        self._tell(one.via, core.RelayCancel(self.vm, one.work.work_id))

    @runtime.handles(core.RelayEnded)
    def _on_ended(self, message: core.RelayEnded) -> None:
        one = self._away.get(message.work_id)
        if one is None or one.via != message.vm:
            return
        ended = core.WorkEnded(
            message.work_id,
            message.instance,
            message.ended,
            message.rows,
            message.digest,
            message.refusal,
            message.detail,
            message.position,
            message.block,
            one.sent_at if message.sent else None,
            one.asked_at,
        )
        self._fire(one, 'ended', ended)

    @runtime.handles(core.ForwardCancel)
    def _on_cancel(self, message: core.ForwardCancel) -> None:
        one = self._away.get(message.work_id)
        if one is not None:
            self._fire(one, 'cancelled')

    @runtime.handles(core.ForwardEnd)
    def _on_end(self, message: core.ForwardEnd) -> None:
        via = self._holders.pop(message.transaction, None)
        if via is not None:
            rollback = core.RelayRollback(self.vm, message.transaction)
            self._tell(via, rollback)

    @runtime.handles(core.ForwardStop)
    def _on_stop(self, message: core.ForwardStop) -> None:
        for one in tuple(self._away.values()):
            if one.instance == message.instance:
                self._fire(one, 'stopped')

    @runtime.handles(core.PeerDown)
    def _on_down(self, message: core.PeerDown) -> None:
        for one in tuple(self._away.values()):
            if one.via == message.vm:
                self._fire(one, 'holder_lost')
        for transaction, via in tuple(self._holders.items()):
            if via == message.vm:
                del self._holders[transaction]

    @runtime.handles(notices.Undelivered)
    def _on_undelivered(self, message: notices.Undelivered) -> None:
        """End work that never left this VM."""
        relayed = message.message
        if not isinstance(relayed, core.RelayWork):
            return
        one = self._away.get(relayed.work_id)
        if one is not None and one.via == message.vm:
            self._fire(one, 'undelivered')

    # -- time -----------------------------------------------------------

    def _sweep_soon(self) -> None:
        if self._away and not self._sweeping:
            self._sweeping = True
            self.after(SWEEP, _Sweep())

    @runtime.handles(_Sweep)
    def _on_sweep(self, sweep: _Sweep) -> None:
        """Give up what the holder should have answered by now."""
        self._sweeping = False
        now = self.now()
        for one in tuple(self._away.values()):
            elapsed = now - one.sent_at
            repeats = decisions.may_repeat(one.work)
            if repeats and elapsed > one.work.patience + HOP:
                self._fire(one, 'silent')
            elif elapsed >= one.work.limit:
                self._fire(one, 'overtime')
        self._sweep_soon()
