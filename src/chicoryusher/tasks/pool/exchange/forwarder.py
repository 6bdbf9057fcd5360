"""Forwarder: sends work to the VMs that own the needed connections."""

from __future__ import annotations

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks import task_messages
from chicoryusher.tasks.pool.exchange import forwarded_work
from chicoryusher.tasks.pool.exchange import owner_watch

__all__ = ['Forwarder']

# Seconds between checks for timed-out work, while work is in flight.
CHECK_INTERVAL_S = 0.1
# The same where it is watched whether connection owners respond.
WATCH_INTERVAL_S = 0.05
# Seconds added to the timeout of repeatable work, such as a read, before it
# is given up here: a round trip between regions, and a pause of the event
# loop of the connection owner.
FORWARDING_ALLOWANCE_S = 0.1
# Seconds after the last forwarded work for which its connection owner is
# still pinged, and interval at which this is checked.
PEER_IN_USE_S = 5.0
PEER_CHECK_INTERVAL_S = 1.0


class _CheckTimeouts(core.Message):
    """Check the work in flight for timeouts."""


class _CheckPeers(core.Message):
    """Check to which VMs work has been forwarded lately."""


class Forwarder(runtime.Task):
    """Send work to connection owners; report the results to its sender.

    With ``watches_owners`` owners that don't respond are found, and work that
    may run again is not left with them.
    """

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        watches_owners: bool = False,
    ) -> None:
        super().__init__(loop, vm, 'forwarder')
        self._watch = owner_watch.OwnerWatch(self) if watches_owners else None
        self._clock = loop.clock
        self._chart = charts.load_machine('forwarded')
        self._in_flight: dict[core.WorkId, forwarded_work.ForwardedWork] = {}
        self._conn_owners: dict[core.TransactionId, core.VmName] = {}
        self._check_scheduled = False
        self._used_at: dict[core.VmName, float] = {}
        self._reported_peers: frozenset[core.VmName] = frozenset()

    # -- sending --------------------------------------------------------

    @runtime.handles(core.ForwardWork)
    def _on_work(self, message: core.ForwardWork) -> None:
        work, entry = message.work, message.entry
        now = self.now()
        self._in_flight[work.work_id] = forwarded_work.ForwardedWork(
            self,
            message.conn_owner,
            entry.name,
            work,
            now,
            self._clock.boottime(),
        )
        if work.transaction is not None:
            self._conn_owners[work.transaction] = message.conn_owner
        self._note_peer(message.conn_owner, now)
        if self._watch is not None:
            self._watch.note_use(message.conn_owner)
        self.meters.add(core.Metric.FORWARDED, instance=entry.name)
        self._send_to_peer(
            message.conn_owner, self._relay_message(entry, work, now)
        )
        self._schedule_check()

    def _note_peer(self, vm: core.VmName, now: float) -> None:
        if not self._used_at:
            self.after(PEER_CHECK_INTERVAL_S, _CheckPeers())
        self._used_at[vm] = now
        if vm not in self._reported_peers:
            self._report_peers()

    def _report_peers(self) -> None:
        self._reported_peers = frozenset(self._used_at)
        self.send(
            names.view_exchange(self.vm),
            core.ForwardingPeers(self._reported_peers),
        )

    @runtime.handles(_CheckPeers)
    def _on_check_peers(self, check: _CheckPeers) -> None:
        """Report the VMs in use if some are no longer used."""
        oldest = self.now() - PEER_IN_USE_S
        for vm, used_at in tuple(self._used_at.items()):
            if used_at < oldest:
                del self._used_at[vm]
        if len(self._used_at) < len(self._reported_peers):
            self._report_peers()
        if self._used_at:
            self.after(PEER_CHECK_INTERVAL_S, check)

    def _relay_message(
        self, entry: core.InstanceEntry, work: core.Work, now: float
    ) -> core.RelayWork:
        return core.RelayWork(
            self.vm,
            entry.name,
            entry.incarnation,
            work.work_id,
            work.request_id,
            work.statement,
            work.prepared,
            work.session_values,
            work.priority,
            work.start_deadline - now,
            work.timeout,
            work.retryable_timeout,
            work.transaction,
            work.begin_kind,
            work.min_position,
            work.team,
        )

    def _send_to_peer(self, vm: core.VmName, message: core.Message) -> None:
        self.send(names.peers(self.vm), core.SendToPeer(vm, message))

    # -- results and cancellation ---------------------------------------

    def _settle(
        self,
        remote_work: forwarded_work.ForwardedWork,
        event: str,
        arg: core.WorkEnded | None = None,
    ) -> None:
        del self._in_flight[remote_work.work.work_id]
        self._chart.fire(remote_work, event, arg)

    def report(
        self, remote_work: forwarded_work.ForwardedWork, ended: core.WorkEnded
    ) -> None:
        """Report the result to the task that sent the work."""
        transaction = remote_work.work.transaction
        if (
            transaction is not None
            and ended.transaction_status is core.TransactionStatus.IDLE
        ):
            self._conn_owners.pop(transaction, None)
        self.send(remote_work.work.reply_to, ended)

    def cancel_remote(self, remote_work: forwarded_work.ForwardedWork) -> None:
        """Cancel the work at the connection owner.

        If it has ended there, its transaction may be open and is rolled back.
        """
        work = remote_work.work
        self._send_to_peer(
            remote_work.via, core.RelayCancel(self.vm, work.work_id)
        )
        if work.transaction is not None:
            self._roll_back(work.transaction)

    @runtime.handles(core.RelayEnded)
    def _on_ended(self, message: core.RelayEnded) -> None:
        if self._watch is not None:
            self._watch.record_heard(message.vm)
        remote_work = self._in_flight.get(message.work_id)
        if remote_work is None or remote_work.via != message.vm:
            return
        ended = core.WorkEnded(
            message.work_id,
            message.instance,
            message.completion,
            message.rows,
            message.digest,
            message.refusal,
            message.detail,
            message.position,
            message.transaction_status,
            remote_work.sent_at if message.sent else None,
            remote_work.asked_at,
            message.expected_wait,
            message.run_time,
        )
        self._settle(remote_work, 'ended', ended)

    @runtime.handles(core.ForwardCancel)
    def _on_cancel(self, message: core.ForwardCancel) -> None:
        remote_work = self._in_flight.get(message.work_id)
        if remote_work is not None:
            self._settle(remote_work, 'cancelled')

    @runtime.handles(core.ForwardRollback)
    def _on_end(self, message: core.ForwardRollback) -> None:
        self._roll_back(message.transaction)

    def _roll_back(self, transaction: core.TransactionId) -> None:
        via = self._conn_owners.pop(transaction, None)
        if via is not None:
            rollback = core.RelayRollback(self.vm, transaction)
            self._send_to_peer(via, rollback)

    @runtime.handles(core.StopForwarding)
    def _on_stop(self, message: core.StopForwarding) -> None:
        for remote_work in tuple(self._in_flight.values()):
            if remote_work.instance == message.instance:
                self._settle(remote_work, 'stopped')

    @runtime.handles(core.PeerDown)
    def _on_down(self, message: core.PeerDown) -> None:
        for remote_work in tuple(self._in_flight.values()):
            if remote_work.via == message.vm:
                self._settle(remote_work, 'holder_lost')
        for transaction, via in tuple(self._conn_owners.items()):
            if via == message.vm:
                del self._conn_owners[transaction]

    @runtime.handles(task_messages.Undelivered)
    def _on_undelivered(self, message: task_messages.Undelivered) -> None:
        """Settle work that could not be sent to the connection owner."""
        relayed = message.message
        if not isinstance(relayed, core.RelayWork):
            return
        remote_work = self._in_flight.get(relayed.work_id)
        if remote_work is not None and remote_work.via == message.vm:
            self._settle(remote_work, 'undelivered')

    # -- timeouts -------------------------------------------------------

    def _schedule_check(self) -> None:
        watch = self._watch
        has_silent = watch is not None and bool(watch.silent)
        if not (self._in_flight or has_silent) or self._check_scheduled:
            return
        self._check_scheduled = True
        interval = CHECK_INTERVAL_S if watch is None else WATCH_INTERVAL_S
        self.after(interval, _CheckTimeouts())

    @runtime.handles(core.RelayPong)
    def _on_pong(self, message: core.RelayPong) -> None:
        if self._watch is not None:
            self._watch.record_heard(message.vm)

    def _give_up_at_silent(self, watch: owner_watch.OwnerWatch) -> None:
        """Give up the work of silent owners of which nothing is kept."""
        waiting: dict[core.VmName, float] = {}
        for remote_work in self._in_flight.values():
            waiting.setdefault(remote_work.via, remote_work.sent_at)
        watch.check(waiting)
        if not watch.silent:
            return
        for remote_work in tuple(self._in_flight.values()):
            if remote_work.via in watch.silent and not decisions.may_commit(
                remote_work.work
            ):
                self._settle(remote_work, 'silent')

    @runtime.handles(_CheckTimeouts)
    def _on_check_timeouts(self, message: _CheckTimeouts) -> None:
        """Give up work whose result should have come by now.

        Where owners are watched, work that may run again stays at one that
        responds: it waits there, and its owner limits how long it runs.
        """
        self._check_scheduled = False
        if self._watch is not None:
            self._give_up_at_silent(self._watch)
        now = self.now()
        for remote_work in tuple(self._in_flight.values()):
            elapsed = now - remote_work.sent_at
            may_leave = self._watch is None and decisions.is_repeatable(
                remote_work.work
            )
            if (
                may_leave
                and elapsed
                > remote_work.work.retryable_timeout + FORWARDING_ALLOWANCE_S
            ):
                self._settle(remote_work, 'silent')
            elif elapsed >= remote_work.work.timeout:
                self._settle(remote_work, 'overtime')
        self._schedule_check()
