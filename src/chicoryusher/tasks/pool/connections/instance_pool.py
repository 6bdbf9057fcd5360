"""Instance pool: the connections to one instance, and its work queue."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.connections import conn_opening
from chicoryusher.tasks.pool.connections import instance_faults
from chicoryusher.tasks.pool.connections import pool_conns as conns_module
from chicoryusher.tasks.pool.connections import pool_pace
from chicoryusher.tasks.pool.connections import pool_timeouts
from chicoryusher.tasks.pool.groups import status_queries
from chicoryusher.tasks.pool.statements import command_results

__all__ = [
    'MAX_CONNECTING_CONNS',
    'InstancePool',
    'RestartPace',
    'SetConnectionShare',
]

MAX_CONNECTING_CONNS = decisions.MAX_CONNECTING_CONNS

# Interval between checks for work that has timed out, while there is work.
SWEEP_INTERVAL_S = 0.05
_Ended = core.Completion
# Used in results of work that the instance sent no reply to.
_NO_REPLY = core.CommandReply(core.TransactionStatus.IDLE, None)


@dataclasses.dataclass(frozen=True, slots=True)
class SetConnectionShare(core.Message):
    """Set how many connections this VM may have to the instance."""

    share: decisions.ConnShare


@dataclasses.dataclass(frozen=True, slots=True)
class RestartPace(core.Message):
    """Load the instance slowly at first, since something has changed."""

    why: str


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
        policy: core.LoadPolicy = core.LoadPolicy.PLAIN,
    ) -> None:
        super().__init__(loop, vm, f'lane/{names.incarnation_name(entry)}')
        self.entry = entry
        self._clock = loop.clock
        self._link = names.pool_link(vm, entry)
        self._conns = conns_module.PoolConns(conn_numbers)
        self._queue = decisions.WORK_QUEUES.get(policy)()
        self._opener = conn_opening.ConnOpener(self, entry, self._conns)
        self._pace = pool_pace.PoolPace(
            self, entry, policy, self._conns, self._opener
        )
        self._responses = pool_timeouts.Responsiveness()
        self._faults = instance_faults.InstanceFaults(
            self, self._conns, self._opener, self._pace, self._responses
        )
        self._status_queries = status_queries.StatusQueries(self, entry.name)
        self._sweep_scheduled = False

    @property
    def connections(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._conns)

    @runtime.handles(SetConnectionShare)
    def _on_share(self, message: SetConnectionShare) -> None:
        self._opener.share = message.share

    @runtime.handles(RestartPace)
    def _on_restart_pace(self, message: RestartPace) -> None:
        self._pace.restart(message.why)

    # -- new work -------------------------------------------------------

    @runtime.handles(core.Work)
    def _on_work(self, work: core.Work) -> None:
        if work.transaction is not None and work.begin_kind is None:
            self._continue_transaction(work)
            return
        ahead = self._queue.count_ahead_of(work.team)
        if self._pace.starts_too_late(work, ahead):
            self.meters.add(core.Metric.GIVEN_BACK, instance=self.entry.name)
            self.report_end(work, _Ended.NOT_STARTED)
            return
        self._queue.add(work)
        if not len(self._conns) and self._opener.is_paused(self.now()):
            # Another VM may have a connection.
            self.return_queued(_Ended.NOT_STARTED)
            return
        self.dispatch()

    def _continue_transaction(self, work: core.Work) -> None:
        """Run a statement on the connection of its open transaction."""
        assert work.transaction is not None
        conn = self._conns.pinned_to(work.transaction)
        if conn is None or conn.state is not core.ConnState.PINNED:
            self.report_end(work, _Ended.CONNECTION_LOST)
            return
        self._start_work(conn, work)

    def dispatch(self) -> None:
        """Start queued work on the idle connections that need least setup."""
        now = self.now()
        if self._conns.idle():
            self._pace.open_for_new_teams(self._queue.teams(), now)
        idle = self._conns.idle()
        while idle and self._pace.allows_start():
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
        self._pace.open_for_queue(self._queue.teams(), now)
        self._schedule_sweep()

    def _start_work(
        self, conn: conns_module.PoolConn, work: core.Work
    ) -> None:
        """Send setup commands, then the statement or its BEGIN."""
        commands = decisions.start_commands(conn.session_state, work)
        self._conns.mark_running(conn, work)
        conn.sent_at = self.now()
        self.meters.record(
            core.Metric.QUEUE,
            conn.sent_at - work.enqueued_at,
            instance=self.entry.name,
        )
        conn.sent_at_boottime = self._clock.boottime()
        self.send_commands(conn, commands)
        self._schedule_sweep()

    def send_commands(
        self, conn: conns_module.PoolConn, commands: list[core.Command]
    ) -> None:
        """Send commands on a connection."""
        if not self._conns.awaiting_reply():
            self._responses.record_first_command(self.now())
        conn.pending_ops.extend(command.op for command in commands)
        self.send(self._link, core.SendCommands(conn.conn_id, tuple(commands)))

    # -- replies --------------------------------------------------------

    @runtime.handles(core.LinkOpened)
    def _on_opened(self, message: core.LinkOpened) -> None:
        conn = self._conns.find(message.conn_id)
        if conn is None:
            return
        self._responses.record_response(self.now())
        conn.opened_at_boottime = self._clock.boottime()
        self._conns.mark_opened(conn, self.now())
        self.dispatch()

    @runtime.handles(core.LinkReply)
    def _on_answer(self, message: core.LinkReply) -> None:
        conn = self._conns.find(message.conn_id)
        if conn is None:
            return
        self._responses.record_response(self.now())
        if not conn.pending_ops:
            self.close(conn, _Ended.CONNECTION_LOST)
            return
        op = conn.pending_ops.popleft()
        command_results.RESULT_HANDLERS.get(op)(self, conn, message.reply)

    @runtime.handles(core.LastResponseQuery)
    def _on_last_response_query(self, query: core.LastResponseQuery) -> None:
        reply = core.LastResponse(self.entry.name, self._responses.received_at)
        self.send(query.reply_to, reply)

    def on_statement_result(
        self, conn: conns_module.PoolConn, reply: core.CommandReply
    ) -> None:
        """Report the result of the statement to the owner of the work."""
        command_results.report_statement(self, conn, reply)

    def release(self, conn: conns_module.PoolConn, pinned: bool) -> None:
        """Free a connection, or leave it pinned to its transaction."""
        self._conns.release(conn, pinned, self.now())

    def record_answer(
        self, work: core.Work, seconds: float, refusal: core.Refusal | None
    ) -> None:
        """Record how fast the instance answered a piece of work."""
        self._pace.record_answer(seconds, refusal)
        self._queue.record_use(work.team, seconds)

    # -- status queries -------------------------------------------------

    @runtime.handles(core.EnsureConnection)
    def _on_ensure_connection(self, message: core.EnsureConnection) -> None:
        now = self.now()
        keeps_conns = bool(self._opener.share.kept_open)
        if not len(self._conns) and keeps_conns:
            if not self._opener.is_paused(now):
                self._opener.open(now)

    @runtime.handles(core.ReadInstanceStatus)
    def _on_read_status(self, query: core.ReadInstanceStatus) -> None:
        conn = self._status_queries.start(query, self._conns.idle())
        if conn is None:
            return
        self._conns.mark_running(conn, None)
        conn.sent_at = self.now()
        self.send_commands(conn, [core.Command(core.Op.STATUS)])
        self._schedule_sweep()

    def on_status(
        self, conn: conns_module.PoolConn, reply: core.CommandReply
    ) -> None:
        """Report the status of the instance to the task that asked."""
        self._status_queries.end(conn.conn_id, reply)
        self._conns.release(conn, False, self.now())
        self.dispatch()

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
                self.close(conn, _Ended.CONNECTION_LOST)
            return
        self._conns.mark_running(conn, None)
        conn.sent_at = self.now()
        self.send_commands(conn, [core.Command(core.Op.ROLLBACK)])

    @runtime.handles(core.CancelWork)
    def _on_cancel(self, message: core.CancelWork) -> None:
        if self._queue.cancel(message.work_id):
            return
        for conn in self._conns.awaiting_reply():
            work = conn.work
            if work is not None and work.work_id == message.work_id:
                conn.work = None
                if work.transaction is not None:
                    self.close(conn, _Ended.CONNECTION_LOST)

    @runtime.handles(core.LinkClosed)
    def _on_closed(self, message: core.LinkClosed) -> None:
        conn = self._conns.find(message.conn_id)
        if conn is None:
            return
        was_connecting = conn.state is core.ConnState.CONNECTING
        if message.reason is core.LinkCloseReason.TOO_MANY_CONNECTIONS:
            self._opener.pause(self.now())
        self._remove(conn, _Ended.CONNECTION_LOST)
        if was_connecting:
            self._faults.open_failed(message.reason, conn.sent_at)
        elif message.reason is not core.LinkCloseReason.MALFORMED_REPLY:
            self._faults.report()
        self.dispatch()

    def return_queued(self, ended: core.Completion) -> None:
        """End all queued work with this outcome."""
        for work in self._queue.drain():
            self.report_end(work, ended)

    @runtime.handles(core.StopInstancePool)
    def _on_stop(self, message: core.StopInstancePool) -> None:
        self.return_queued(_Ended.NOT_STARTED)
        for conn in self._conns.all():
            self.close(conn, _Ended.CONNECTION_LOST)

    def remove(self) -> None:
        """End all work, and this task, since the instance has gone.

        Work that was sent to the instance may have been run.  Answers that
        have arrived are handled first.
        """
        self._on_deliver()
        self.return_queued(_Ended.NOT_STARTED)
        for conn in self._conns.all():
            self._remove(conn, _Ended.CONNECTION_LOST)
        self.end()

    def close(
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
        self._opener.show_connections()
        self._status_queries.end(conn.conn_id, None)
        if work is not None:
            self.report_end(
                work, ended, _NO_REPLY, conn.sent_at, conn.sent_at_boottime
            )

    def report_end(
        self,
        work: core.Work,
        ended: core.Completion,
        reply: core.CommandReply = _NO_REPLY,
        sent_at: float | None = None,
        asked_at: float | None = None,
    ) -> None:
        """Report the end of a piece of work to its owner."""
        ahead = self._queue.count_ahead_of(work.team)
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
                self._pace.known_wait(work, ahead, ended),
                None if sent_at is None else self.now() - sent_at,
            ),
        )

    # -- timeouts -------------------------------------------------------

    def _schedule_sweep(self) -> None:
        has_work = len(self._queue) or self._conns.awaiting_reply()
        has_surplus = self._opener.has_surplus
        if (has_work or has_surplus) and not self._sweep_scheduled:
            self._sweep_scheduled = True
            self.after(SWEEP_INTERVAL_S, _Sweep())

    @runtime.handles(_Sweep)
    def _on_sweep(self, timer: _Sweep) -> None:
        self._sweep_scheduled = False
        now = self.now()
        for work in self._queue.remove_expired(now):
            self.report_end(work, _Ended.NOT_STARTED)
        for conn in self._conns.awaiting_reply():
            ended = pool_timeouts.passed_limit(conn, now)
            if ended is not None:
                self._pace.record_timeout(now - conn.sent_at)
                self.close(conn, ended)
        self._faults.check_response(now)
        self._opener.close_surplus(now)
        self.dispatch()
