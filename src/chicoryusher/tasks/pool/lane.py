"""Instance pool: the connections to one instance, and its work queue."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool import conns as conns_module
from chicoryusher.tasks.pool import lane_answers

__all__ = ['Lane', 'SetConnectionShare']

# Interval between checks for work that has timed out, while there is work.
SWEEP_INTERVAL_S = 0.05
# Time without a byte from an instance with unanswered commands after which
# a new connection to it is tried; longer than most statements take (7 to
# 47 ms on average).
RESPONSE_TIMEOUT_S = 0.25
# Time limit of a rollback, after which the connection is closed.
ROLLBACK_LIMIT_S = 0.6
# Pause in was_connecting connections after one could not be opened.
CONNECT_PAUSE_S = 0.3
# Idle time after which a connection above this VM's share is closed.
SURPLUS_IDLE_S = 1.5
_Ended = core.Ended
# Used in results of work that the instance sent no reply to.
_NO_REPLY = core.Reply(core.BlockState.IDLE, None)


@dataclasses.dataclass(frozen=True, slots=True)
class SetConnectionShare(core.Message):
    """Set how many connections this VM may have to the instance."""

    share: decisions.ConnShare


class _Sweep(core.Message):
    """Timer: check for work and connections that have timed out."""


class Lane(runtime.Task):
    """Task that queues work and runs it on connections to one instance."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        entry: core.InstanceEntry,
    ) -> None:
        super().__init__(loop, vm, f'lane/{names.life_of(entry)}')
        self.entry = entry
        self._clock = loop.clock
        self._link = names.pool_link(vm, entry)
        self._conns = conns_module.PoolConns()
        self._queue = decisions.WaitingWork()
        self._share = decisions.ConnShare(1, 1)
        self._connect_paused_until = 0.0
        self._last_response_at = 0.0
        self._suspected = False
        self._sweep_scheduled = False

    @property
    def connections(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._conns)

    @runtime.handles(SetConnectionShare)
    def _on_share(self, message: SetConnectionShare) -> None:
        self._share = message.share

    # -- new work -------------------------------------------------------

    @runtime.handles(core.Work)
    def _on_work(self, work: core.Work) -> None:
        if work.transaction is not None and work.begins is None:
            self._continue_transaction(work)
            return
        self._queue.add(work)
        self._dispatch()

    def _continue_transaction(self, work: core.Work) -> None:
        """Run a statement on the connection of its open transaction."""
        assert work.transaction is not None
        conn = self._conns.of(work.transaction)
        if conn is None or conn.state is not core.ConnState.PINNED:
            self._report_end(work, _Ended.LOST)
            return
        self._start_work(conn, work)

    def _dispatch(self) -> None:
        """Start queued work on the idle connections that need least setup."""
        now = self.now()
        idle = self._conns.idle()
        while idle and (work := self._queue.take(now)) is not None:
            conn = min(
                idle,
                key=lambda idle_conn: decisions.fits(idle_conn.memory, work),
            )
            idle.remove(conn)
            self._start_work(conn, work)
        self._open_for_queue(now)
        self._schedule_sweep()

    def _open_for_queue(self, now: float) -> None:
        """Open a connection for each queued work, up to this VM's limit."""
        if now < self._connect_paused_until:
            return
        needed = len(self._queue) - self._conns.connecting
        while needed > 0 and len(self._conns) < self._share.most:
            self._open_connection(now)
            needed -= 1

    def _open_connection(self, now: float) -> None:
        conn = self._conns.new(now)
        self.send(self._link, core.OpenLink(conn.conn_id))
        opened = core.Metric.CONNECTIONS_OPENED
        self.meters.add(opened, instance=self.entry.name)
        self._show_connections()

    def _show_connections(self) -> None:
        metric, name = core.Metric.CONNECTIONS, self.entry.name
        self.meters.show(metric, len(self._conns), instance=name)

    def _start_work(
        self, conn: conns_module.PoolConn, work: core.Work
    ) -> None:
        """Send setup commands, then the statement or its BEGIN."""
        commands = decisions.suit(conn.memory, work)
        if work.begins is None:
            commands.append(self._run_command(conn, work))
        else:
            commands.append(decisions.begin_command(work))
        self._conns.run(conn, work)
        conn.sent_at = self.now()
        self.meters.record(
            core.Metric.QUEUE,
            conn.sent_at - work.offered_at,
            instance=self.entry.name,
        )
        conn.asked_at = self._clock.running_on()
        self._send_commands(conn, commands)
        self._schedule_sweep()

    @staticmethod
    def _run_command(
        conn: conns_module.PoolConn, work: core.Work
    ) -> core.Command:
        """Return the command that runs the statement.

        Inside a transaction, the BEGIN has carried the condition on the
        log position already.
        """
        name = ''
        if work.shape is not None:
            name = conn.memory.prepared[work.shape]
        after = work.after if work.transaction is None else None
        return core.Command(
            core.Op.RUN,
            request_id=work.request_id,
            statement=work.statement,
            name=name,
            after=after,
        )

    def _send_commands(
        self, conn: conns_module.PoolConn, commands: list[core.Command]
    ) -> None:
        if not self._conns.busy():
            self._last_response_at = self.now()
        conn.sent.extend(command.op for command in commands)
        self.send(self._link, core.SendCommands(conn.conn_id, tuple(commands)))

    # -- replies --------------------------------------------------------

    @runtime.handles(core.LinkOpened)
    def _on_opened(self, message: core.LinkOpened) -> None:
        conn = self._conns.find(message.conn_id)
        if conn is None:
            return
        self._record_response()
        self._conns.opened(conn, self.now())
        self._dispatch()

    @runtime.handles(core.LinkAnswer)
    def _on_answer(self, message: core.LinkAnswer) -> None:
        conn = self._conns.find(message.conn_id)
        if conn is None:
            return
        self._record_response()
        if not conn.sent:
            self._close(conn, _Ended.LOST)
            return
        op = conn.sent.popleft()
        lane_answers.RESULT_HANDLERS.get(op)(self, conn, message.reply)

    def _record_response(self) -> None:
        self._last_response_at = self.now()
        self._suspected = False

    def on_begun(self, conn: conns_module.PoolConn, reply: core.Reply) -> None:
        """Send the statement after its BEGIN, or report it as not run."""
        work = conn.work
        if work is None or conn.doubtful:
            self._close(conn, _Ended.LOST)
        elif reply.refusal is None:
            conn.sent_at = self.now()
            self._send_commands(conn, [self._run_command(conn, work)])
        else:
            self._conns.finished(conn, False, self.now())
            self._report_end(work, _Ended.NOT_RUN, reply)
            self._dispatch()

    def on_statement_result(
        self, conn: conns_module.PoolConn, reply: core.Reply
    ) -> None:
        """Report the result of the statement to the owner of the work."""
        work = conn.work
        if work is None or conn.doubtful:
            self._close(conn, _Ended.LOST)
            return
        sent_at, asked_at = conn.sent_at, conn.asked_at
        is_open = reply.block is core.BlockState.OPEN
        reusable = reply.block is core.BlockState.IDLE or is_open
        if is_open and work.transaction is None:
            reusable = False
        if reusable:
            self._conns.finished(conn, is_open, self.now())
        else:
            conn.work = None
            self._roll_back(conn, work)
        self._report_end(work, _Ended.ANSWERED, reply, sent_at, asked_at)
        self._dispatch()

    def _roll_back(self, conn: conns_module.PoolConn, work: core.Work) -> None:
        """Roll back a failed transaction, and keep its connection.

        If the work was in no transaction, the connection's state is not
        known, and it is closed.
        """
        if work.transaction is None:
            self._close(conn, _Ended.LOST)
            return
        self._send_commands(conn, [core.Command(core.Op.ROLLBACK)])

    def on_rolled_back(
        self, conn: conns_module.PoolConn, reply: core.Reply
    ) -> None:
        """Release the connection of a transaction that was rolled back."""
        if reply.block is not core.BlockState.IDLE:
            self._close(conn, _Ended.LOST)
            return
        self._conns.finished(conn, False, self.now())
        self._dispatch()

    # -- cancelled work and closed connections --------------------------

    @runtime.handles(core.EndTransaction)
    def _on_end_transaction(self, message: core.EndTransaction) -> None:
        conn = self._conns.of(message.transaction)
        if conn is None:
            return
        if conn.state is not core.ConnState.PINNED:
            if not conn.sent or conn.sent[-1] is not core.Op.ROLLBACK:
                self._close(conn, _Ended.LOST)
            return
        self._conns.run(conn, None)
        conn.sent_at = self.now()
        self._send_commands(conn, [core.Command(core.Op.ROLLBACK)])

    @runtime.handles(core.CancelWork)
    def _on_cancel(self, message: core.CancelWork) -> None:
        if self._queue.cancel(message.work_id):
            return
        for conn in self._conns.busy():
            work = conn.work
            if work is not None and work.work_id == message.work_id:
                conn.work = None
                if work.transaction is not None:
                    self._close(conn, _Ended.LOST)

    @runtime.handles(core.LinkClosed)
    def _on_closed(self, message: core.LinkClosed) -> None:
        conn = self._conns.find(message.conn_id)
        if conn is None:
            return
        was_connecting = conn.state is core.ConnState.CONNECTING
        if message.reason is core.LinkEnd.TOO_MANY:
            self._connect_paused_until = self.now() + CONNECT_PAUSE_S
        self._remove(conn, _Ended.LOST)
        if was_connecting:
            self._on_open_failed(message.reason)
        elif message.reason is not core.LinkEnd.GARBLED:
            self._report_trouble()
        self._dispatch()

    def _on_open_failed(self, reason: core.LinkEnd) -> None:
        if reason is core.LinkEnd.TOO_MANY:
            if not len(self._conns):
                self._return_queued(_Ended.NOT_STARTED)
            return
        self._connect_paused_until = self.now() + CONNECT_PAUSE_S
        self._report_trouble()
        self._return_queued(_Ended.NOT_STARTED)
        if reason is core.LinkEnd.SILENT:
            self._suspected = True
            for conn in self._conns.all():
                if conn.state is not core.ConnState.CONNECTING:
                    self._close(conn, _Ended.LOST)

    def _report_trouble(self) -> None:
        """Report a failed connection to the monitor and the dispatcher."""
        message = core.InstanceTrouble(self.entry.name)
        self.send(names.watch(self.vm), message)
        self.send(names.desk(self.vm), message)

    def _return_queued(self, ended: core.Ended) -> None:
        """End all queued work with this outcome."""
        for work in self._queue.drain():
            self._report_end(work, ended)

    @runtime.handles(core.StopLane)
    def _on_stop(self, message: core.StopLane) -> None:
        self._return_queued(_Ended.NOT_STARTED)
        for conn in self._conns.all():
            self._close(conn, _Ended.LOST)

    def _close(self, conn: conns_module.PoolConn, ended: core.Ended) -> None:
        """Close a connection; its work, if any, ends with this outcome."""
        self.send(self._link, core.CloseLink(conn.conn_id))
        self._remove(conn, ended)

    def _remove(self, conn: conns_module.PoolConn, ended: core.Ended) -> None:
        """Remove a closed connection; its work ends with this outcome."""
        work = conn.work
        conn.work = None
        self._conns.lost(conn)
        self._show_connections()
        if work is not None:
            self._report_end(
                work, ended, _NO_REPLY, conn.sent_at, conn.asked_at
            )

    def _report_end(
        self,
        work: core.Work,
        ended: core.Ended,
        reply: core.Reply = _NO_REPLY,
        sent_at: float | None = None,
        asked_at: float | None = None,
    ) -> None:
        self.send(
            work.owner,
            core.WorkEnded(
                work.work_id,
                self.entry.name,
                ended,
                reply.rows,
                reply.digest,
                reply.refusal,
                reply.detail,
                reply.position,
                reply.block,
                sent_at,
                asked_at,
            ),
        )

    # -- timeouts -------------------------------------------------------

    def _schedule_sweep(self) -> None:
        has_work = len(self._queue) or self._conns.busy()
        has_surplus = len(self._conns) > self._share.kept
        if (has_work or has_surplus) and not self._sweep_scheduled:
            self._sweep_scheduled = True
            self.after(SWEEP_INTERVAL_S, _Sweep())

    @runtime.handles(_Sweep)
    def _on_sweep(self, timer: _Sweep) -> None:
        self._sweep_scheduled = False
        now = self.now()
        for work in self._queue.expire(now):
            self._report_end(work, _Ended.NOT_STARTED)
        for conn in self._conns.busy():
            self._check_limits(conn, now)
        self._check_unresponsive(now)
        self._close_surplus(now)
        self._open_for_queue(now)
        self._schedule_sweep()

    def _check_limits(self, conn: conns_module.PoolConn, now: float) -> None:
        """Close a connection whose command exceeded its time limit.

        A statement that may run again elsewhere is reported as lost after
        its ``patience``, so that it can run at another instance.
        """
        work = conn.work
        elapsed = now - conn.sent_at
        if work is None:
            if elapsed > ROLLBACK_LIMIT_S:
                self._close(conn, _Ended.LOST)
        elif elapsed >= work.limit:
            self._close(conn, _Ended.OVERTIME)
        elif decisions.may_repeat(work) and elapsed > work.patience:
            self._close(conn, _Ended.LOST)

    def _check_unresponsive(self, now: float) -> None:
        """Open a test connection if an instance sends no replies.

        The reachability monitor is asked to check the instance too.
        """
        busy = self._conns.busy()
        if not busy or self._conns.connecting or self._suspected:
            return
        oldest = min(conn.sent_at for conn in busy)
        if now - max(oldest, self._last_response_at) < RESPONSE_TIMEOUT_S:
            return
        self._suspected = True
        self.send(names.watch(self.vm), core.InstanceTrouble(self.entry.name))
        self._open_connection(now)

    def _close_surplus(self, now: float) -> None:
        surplus = len(self._conns) - self._share.kept
        for conn in self._conns.idle():
            if surplus <= 0:
                return
            if now - conn.idle_since >= SURPLUS_IDLE_S:
                self._close(conn, _Ended.LOST)
                surplus -= 1
