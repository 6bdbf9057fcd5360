"""Instance pool: the connections to one instance, and its work queue."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool import command_results
from chicoryusher.tasks.pool import pool_conns as conns_module
from chicoryusher.tasks.pool import status_queries

__all__ = ['InstancePool', 'SetConnectionShare']

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
# Connections that are opened at once.  Each takes a slot of the instance for
# some 12 ms, also if it is given up, so many of them would keep it busy.
MAX_CONNECTING_CONNS = 2
# Idle time after which a connection above this VM's share is closed.
SURPLUS_IDLE_S = 1.5
_Ended = core.Completion
# Used in results of work that the instance sent no reply to.
_NO_REPLY = core.CommandReply(core.TransactionStatus.IDLE, None)


@dataclasses.dataclass(frozen=True, slots=True)
class SetConnectionShare(core.Message):
    """Set how many connections this VM may have to the instance."""

    share: decisions.ConnShare


class _Sweep(core.Message):
    """Timer: check for work and connections that have timed out."""


class InstancePool(runtime.Task):
    """Task that queues work and runs it on connections to one instance."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        entry: core.InstanceEntry,
        conn_numbers: Iterator[int],
    ) -> None:
        super().__init__(loop, vm, f'lane/{names.incarnation_name(entry)}')
        self.entry = entry
        self._clock = loop.clock
        self._link = names.pool_link(vm, entry)
        self._conns = conns_module.PoolConns(conn_numbers)
        self._queue = decisions.WorkQueue()
        self._status_queries = status_queries.StatusQueries(self, entry.name)
        self._share = decisions.ConnShare(1, 1)
        self._connect_paused_until = 0.0
        # When the instance last sent something, or when commands were sent
        # to it after a time without any.
        self._last_response_at = 0.0
        # When the instance last sent something.
        self._last_received_at = float('-inf')
        self._suspected = False
        self._sweep_scheduled = False

    @property
    def connections(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._conns)

    @property
    def _kept_open(self) -> int:
        """Connections that stay open while they are idle.

        Those of teams all do: the next statement of a team finds none but
        its own.
        """
        teams = self._conns.has_teams
        return self._share.max_open if teams else self._share.kept_open

    @runtime.handles(SetConnectionShare)
    def _on_share(self, message: SetConnectionShare) -> None:
        self._share = message.share

    # -- new work -------------------------------------------------------

    @runtime.handles(core.Work)
    def _on_work(self, work: core.Work) -> None:
        if work.transaction is not None and work.begin_kind is None:
            self._continue_transaction(work)
            return
        self._queue.add(work)
        if not len(self._conns) and self.now() < self._connect_paused_until:
            # Another VM may have a connection.
            self._return_queued(_Ended.NOT_STARTED)
            return
        self._dispatch()

    def _continue_transaction(self, work: core.Work) -> None:
        """Run a statement on the connection of its open transaction."""
        assert work.transaction is not None
        conn = self._conns.pinned_to(work.transaction)
        if conn is None or conn.state is not core.ConnState.PINNED:
            self._report_end(work, _Ended.CONNECTION_LOST)
            return
        self._start_work(conn, work)

    def _dispatch(self) -> None:
        """Start queued work on the idle connections that need least setup."""
        now = self.now()
        idle = self._conns.idle()
        while idle:
            teams = {conn.team for conn in idle}
            work = self._queue.pop_next(now, teams)
            if work is None:
                break
            conn = min(
                (conn for conn in idle if conn.team == work.team),
                key=lambda idle_conn: decisions.setup_cost(
                    idle_conn.session_state, work
                ),
            )
            idle.remove(conn)
            self._start_work(conn, work)
        self._open_for_queue(now)
        self._schedule_sweep()

    def _open_for_queue(self, now: float) -> None:
        """Open a connection for each queued work, up to this VM's limit."""
        if now < self._connect_paused_until:
            return
        connecting = self._conns.connecting_teams()
        wanted = decisions.conns_to_open(
            self._queue.teams(),
            connecting,
            MAX_CONNECTING_CONNS - len(connecting),
        )
        for team in wanted:
            if len(self._conns) >= self._share.max_open:
                if not self._make_way_for(team):
                    return
            self._open_connection(now, team)

    def _make_way_for(self, team: core.TeamName | None) -> bool:
        """Close the connection of another team that was idle longest.

        Return whether there was one.
        """
        others = [conn for conn in self._conns.idle() if conn.team != team]
        if not others:
            return False
        conn = min(others, key=lambda conn: conn.idle_since)
        self._close(conn, _Ended.CONNECTION_LOST)
        return True

    def _open_connection(
        self, now: float, team: core.TeamName | None = None
    ) -> None:
        conn = self._conns.add(now, team)
        self.send(self._link, core.OpenLink(conn.conn_id, team))
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
        commands = decisions.setup_commands(conn.session_state, work)
        if work.begin_kind is None:
            commands.append(self._run_command(conn, work))
        else:
            commands.append(decisions.begin_command(work))
        self._conns.mark_running(conn, work)
        conn.sent_at = self.now()
        self.meters.record(
            core.Metric.QUEUE,
            conn.sent_at - work.enqueued_at,
            instance=self.entry.name,
        )
        conn.sent_at_boottime = self._clock.boottime()
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
        if work.prepared is not None:
            name = conn.session_state.prepared[work.prepared]
        after = work.min_position if work.transaction is None else None
        return core.Command(
            core.Op.RUN,
            request_id=work.request_id,
            statement=work.statement,
            name=name,
            min_position=after,
        )

    def _send_commands(
        self, conn: conns_module.PoolConn, commands: list[core.Command]
    ) -> None:
        if not self._conns.awaiting_reply():
            self._last_response_at = self.now()
        conn.pending_ops.extend(command.op for command in commands)
        self.send(self._link, core.SendCommands(conn.conn_id, tuple(commands)))

    # -- replies --------------------------------------------------------

    @runtime.handles(core.LinkOpened)
    def _on_opened(self, message: core.LinkOpened) -> None:
        conn = self._conns.find(message.conn_id)
        if conn is None:
            return
        self._record_response()
        conn.opened_at_boottime = self._clock.boottime()
        self._conns.mark_opened(conn, self.now())
        self._dispatch()

    @runtime.handles(core.LinkReply)
    def _on_answer(self, message: core.LinkReply) -> None:
        conn = self._conns.find(message.conn_id)
        if conn is None:
            return
        self._record_response()
        if not conn.pending_ops:
            self._close(conn, _Ended.CONNECTION_LOST)
            return
        op = conn.pending_ops.popleft()
        command_results.RESULT_HANDLERS.get(op)(self, conn, message.reply)

    @runtime.handles(core.LastResponseQuery)
    def _on_last_response_query(self, query: core.LastResponseQuery) -> None:
        reply = core.LastResponse(self.entry.name, self._last_received_at)
        self.send(query.reply_to, reply)

    def _record_response(self) -> None:
        self._last_received_at = self.now()
        self._last_response_at = self.now()
        self._suspected = False

    def on_begun(
        self, conn: conns_module.PoolConn, reply: core.CommandReply
    ) -> None:
        """Send the statement after its BEGIN, or report it as not run."""
        work = conn.work
        if work is None or conn.setup_failed:
            self._close(conn, _Ended.CONNECTION_LOST)
        elif reply.refusal is None:
            conn.sent_at = self.now()
            self._send_commands(conn, [self._run_command(conn, work)])
        else:
            self._conns.release(conn, False, self.now())
            self._report_end(work, _Ended.NOT_RUN, reply)
            self._dispatch()

    def on_statement_result(
        self, conn: conns_module.PoolConn, reply: core.CommandReply
    ) -> None:
        """Report the result of the statement to the owner of the work."""
        work = conn.work
        if work is None or conn.setup_failed:
            self._close(conn, _Ended.CONNECTION_LOST)
            return
        sent_at, asked_at = conn.sent_at, conn.sent_at_boottime
        is_open = reply.transaction_status is core.TransactionStatus.OPEN
        reusable = (
            reply.transaction_status is core.TransactionStatus.IDLE or is_open
        )
        if is_open and work.transaction is None:
            reusable = False
        if reusable:
            self._conns.release(conn, is_open, self.now())
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
            self._close(conn, _Ended.CONNECTION_LOST)
            return
        self._send_commands(conn, [core.Command(core.Op.ROLLBACK)])

    def on_rolled_back(
        self, conn: conns_module.PoolConn, reply: core.CommandReply
    ) -> None:
        """Release the connection of a transaction that was rolled back."""
        if reply.transaction_status is not core.TransactionStatus.IDLE:
            self._close(conn, _Ended.CONNECTION_LOST)
            return
        self._conns.release(conn, False, self.now())
        self._dispatch()

    # -- status queries -------------------------------------------------

    @runtime.handles(core.EnsureConnection)
    def _on_ensure_connection(self, message: core.EnsureConnection) -> None:
        now = self.now()
        is_paused = now < self._connect_paused_until
        if not len(self._conns) and self._share.kept_open and not is_paused:
            self._open_connection(now)

    @runtime.handles(core.ReadInstanceStatus)
    def _on_read_status(self, query: core.ReadInstanceStatus) -> None:
        conn = self._status_queries.start(query, self._conns.idle())
        if conn is None:
            return
        self._conns.mark_running(conn, None)
        conn.sent_at = self.now()
        self._send_commands(conn, [core.Command(core.Op.STATUS)])
        self._schedule_sweep()

    def on_status(
        self, conn: conns_module.PoolConn, reply: core.CommandReply
    ) -> None:
        """Report the status of the instance to the task that asked."""
        self._status_queries.end(conn.conn_id, reply)
        self._conns.release(conn, False, self.now())
        self._dispatch()

    # -- cancelled work and closed connections --------------------------

    @runtime.handles(core.EndTransaction)
    def _on_end_transaction(self, message: core.EndTransaction) -> None:
        conn = self._conns.pinned_to(message.transaction)
        if conn is None:
            return
        if conn.state is not core.ConnState.PINNED:
            if (
                not conn.pending_ops
                or conn.pending_ops[-1] is not core.Op.ROLLBACK
            ):
                self._close(conn, _Ended.CONNECTION_LOST)
            return
        self._conns.mark_running(conn, None)
        conn.sent_at = self.now()
        self._send_commands(conn, [core.Command(core.Op.ROLLBACK)])

    @runtime.handles(core.CancelWork)
    def _on_cancel(self, message: core.CancelWork) -> None:
        if self._queue.cancel(message.work_id):
            return
        for conn in self._conns.awaiting_reply():
            work = conn.work
            if work is not None and work.work_id == message.work_id:
                conn.work = None
                if work.transaction is not None:
                    self._close(conn, _Ended.CONNECTION_LOST)

    @runtime.handles(core.LinkClosed)
    def _on_closed(self, message: core.LinkClosed) -> None:
        conn = self._conns.find(message.conn_id)
        if conn is None:
            return
        was_connecting = conn.state is core.ConnState.CONNECTING
        if message.reason is core.LinkCloseReason.TOO_MANY_CONNECTIONS:
            self._connect_paused_until = self.now() + CONNECT_PAUSE_S
        self._remove(conn, _Ended.CONNECTION_LOST)
        if was_connecting:
            self._on_open_failed(message.reason, conn.sent_at)
        elif message.reason is not core.LinkCloseReason.MALFORMED_REPLY:
            self._report_trouble()
        self._dispatch()

    def _on_open_failed(
        self, reason: core.LinkCloseReason, began_at: float
    ) -> None:
        """Return the queued work, and report an instance that is silent.

        An instance that has sent something since ``began_at`` is busy with
        other connections.
        """
        if reason is core.LinkCloseReason.TOO_MANY_CONNECTIONS:
            if not len(self._conns):
                self._return_queued(_Ended.NOT_STARTED)
            return
        self._connect_paused_until = self.now() + CONNECT_PAUSE_S
        timed_out = reason is core.LinkCloseReason.TIMED_OUT
        if timed_out and self._last_received_at > began_at:
            if not len(self._conns):
                self._return_queued(_Ended.NOT_STARTED)
            return
        self._report_trouble()
        self._return_queued(_Ended.NOT_STARTED)
        if timed_out:
            self._suspected = True
            for conn in self._conns.all():
                if conn.state is not core.ConnState.CONNECTING:
                    self._close(conn, _Ended.CONNECTION_LOST)

    def _report_trouble(self) -> None:
        """Report a failed connection to the monitor and the dispatcher."""
        message = core.InstanceFault(self.entry.name)
        self.send(names.reachability_monitor(self.vm), message)
        self.send(names.dispatcher(self.vm), message)

    def _return_queued(self, ended: core.Completion) -> None:
        """End all queued work with this outcome."""
        for work in self._queue.drain():
            self._report_end(work, ended)

    @runtime.handles(core.StopInstancePool)
    def _on_stop(self, message: core.StopInstancePool) -> None:
        self._return_queued(_Ended.NOT_STARTED)
        for conn in self._conns.all():
            self._close(conn, _Ended.CONNECTION_LOST)

    def remove(self) -> None:
        """End all work, and this task, since the instance has gone.

        Work that was sent to the instance may have been run.  Answers that
        have arrived are handled first.
        """
        self._on_deliver()
        self._return_queued(_Ended.NOT_STARTED)
        for conn in self._conns.all():
            self._remove(conn, _Ended.CONNECTION_LOST)
        self.end()

    def _close(
        self, conn: conns_module.PoolConn, ended: core.Completion
    ) -> None:
        """Close a connection; its work, if any, ends with this outcome."""
        self.send(self._link, core.CloseLink(conn.conn_id))
        self._remove(conn, ended)

    def _remove(
        self, conn: conns_module.PoolConn, ended: core.Completion
    ) -> None:
        """Remove a closed connection; its work ends with this outcome."""
        work = conn.work
        conn.work = None
        self._conns.remove(conn)
        self._status_queries.end(conn.conn_id, None)
        self._show_connections()
        if work is not None:
            self._report_end(
                work, ended, _NO_REPLY, conn.sent_at, conn.sent_at_boottime
            )

    def _report_end(
        self,
        work: core.Work,
        ended: core.Completion,
        reply: core.CommandReply = _NO_REPLY,
        sent_at: float | None = None,
        asked_at: float | None = None,
    ) -> None:
        self.send(
            work.reply_to,
            core.WorkEnded(
                work.work_id,
                self.entry.name,
                ended,
                reply.rows,
                reply.digest,
                reply.refusal,
                reply.detail,
                reply.position,
                reply.transaction_status,
                sent_at,
                asked_at,
            ),
        )

    # -- timeouts -------------------------------------------------------

    def _schedule_sweep(self) -> None:
        has_work = len(self._queue) or self._conns.awaiting_reply()
        has_surplus = len(self._conns) > self._kept_open
        if (has_work or has_surplus) and not self._sweep_scheduled:
            self._sweep_scheduled = True
            self.after(SWEEP_INTERVAL_S, _Sweep())

    @runtime.handles(_Sweep)
    def _on_sweep(self, timer: _Sweep) -> None:
        self._sweep_scheduled = False
        now = self.now()
        for work in self._queue.remove_expired(now):
            self._report_end(work, _Ended.NOT_STARTED)
        for conn in self._conns.awaiting_reply():
            self._check_limits(conn, now)
        self._check_unresponsive(now)
        self._close_surplus(now)
        self._open_for_queue(now)
        self._schedule_sweep()

    def _check_limits(self, conn: conns_module.PoolConn, now: float) -> None:
        """Close a connection whose command exceeded its time limit.

        A statement that may run again elsewhere is reported as lost after
        its ``retryable_timeout``, so that it can run at another instance.
        """
        work = conn.work
        elapsed = now - conn.sent_at
        if work is None:
            if elapsed > ROLLBACK_LIMIT_S:
                self._close(conn, _Ended.CONNECTION_LOST)
        elif elapsed >= work.timeout:
            self._close(conn, _Ended.TIMED_OUT)
        elif (
            decisions.is_repeatable(work) and elapsed > work.retryable_timeout
        ):
            self._close(conn, _Ended.CONNECTION_LOST)

    def _check_unresponsive(self, now: float) -> None:
        """Open a test connection if an instance sends no replies.

        The reachability monitor is asked to check the instance too.
        """
        busy = self._conns.awaiting_reply()
        if not busy or self._conns.connecting_count or self._suspected:
            return
        oldest = min(conn.sent_at for conn in busy)
        if now - max(oldest, self._last_response_at) < RESPONSE_TIMEOUT_S:
            return
        self._suspected = True
        self.send(
            names.reachability_monitor(self.vm),
            core.InstanceFault(self.entry.name),
        )
        self._open_connection(now)

    def _close_surplus(self, now: float) -> None:
        surplus = len(self._conns) - self._kept_open
        for conn in self._conns.idle():
            if surplus <= 0:
                return
            if now - conn.idle_since >= SURPLUS_IDLE_S:
                self._close(conn, _Ended.CONNECTION_LOST)
                surplus -= 1
