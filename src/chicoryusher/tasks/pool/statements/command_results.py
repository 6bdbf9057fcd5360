"""Handlers of an instance's replies, registered by kind of command."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.tasks.pool.connections import pool_conns

__all__ = ['RESULT_HANDLERS', 'report_statement']

_Ended = core.Completion
_Status = core.TransactionStatus


class ResultReceiver(Protocol):
    """The methods of an instance pool that the handlers call."""

    def now(self) -> float:
        """Return the time on the runtime's clock."""

    def send_commands(
        self, conn: pool_conns.PoolConn, commands: list[core.Command]
    ) -> None:
        """Send commands on a connection."""

    def on_statement_result(
        self, conn: pool_conns.PoolConn, reply: core.CommandReply
    ) -> None:
        """Report the result of the statement to the owner of the work."""

    def release(self, conn: pool_conns.PoolConn, pinned: bool) -> None:
        """Free a connection, or leave it pinned to its transaction."""

    def close(self, conn: pool_conns.PoolConn, ended: core.Completion) -> None:
        """Close a connection; its work, if any, ends with this outcome."""

    def record_answer(
        self, work: core.Work, seconds: float, refusal: core.Refusal | None
    ) -> None:
        """Record how fast the instance answered a piece of work."""

    def report_end(
        self,
        work: core.Work,
        ended: core.Completion,
        reply: core.CommandReply,
        sent_at: float | None = None,
        asked_at: float | None = None,
    ) -> None:
        """Report the result to the owner of the work."""

    def dispatch(self) -> None:
        """Start queued work on idle connections."""

    def on_status(
        self, conn: pool_conns.PoolConn, reply: core.CommandReply
    ) -> None:
        """Report the status of the instance to the task that asked."""


ResultHandler = Callable[
    [ResultReceiver, pool_conns.PoolConn, core.CommandReply], None
]
RESULT_HANDLERS: core.Registry[ResultHandler] = core.Registry('command result')


def _on_setup_result(
    receiver: ResultReceiver,
    conn: pool_conns.PoolConn,
    reply: core.CommandReply,
) -> None:
    """Mark a connection as unusable if it refused a setup command."""
    if reply.refusal is not None:
        conn.setup_failed = True


for _op in (core.Op.SET, core.Op.RESET, core.Op.PREPARE):
    RESULT_HANDLERS.register(_op)(_on_setup_result)


@RESULT_HANDLERS.register(core.Op.BEGIN)
@RESULT_HANDLERS.register(core.Op.BEGIN_READ_ONLY)
def _on_begun(
    receiver: ResultReceiver,
    conn: pool_conns.PoolConn,
    reply: core.CommandReply,
) -> None:
    """Send the statement after its BEGIN, or report it as not run."""
    work = conn.work
    if work is None or conn.setup_failed:
        receiver.close(conn, _Ended.CONNECTION_LOST)
    elif reply.refusal is None:
        conn.sent_at = receiver.now()
        run = decisions.run_command(conn.session_state, work)
        receiver.send_commands(conn, [run])
    else:
        seconds = receiver.now() - conn.sent_at
        receiver.record_answer(work, seconds, reply.refusal)
        receiver.release(conn, False)
        receiver.report_end(work, _Ended.NOT_RUN, reply)
        receiver.dispatch()


@RESULT_HANDLERS.register(core.Op.RUN)
def _on_statement_result(
    receiver: ResultReceiver,
    conn: pool_conns.PoolConn,
    reply: core.CommandReply,
) -> None:
    receiver.on_statement_result(conn, reply)


def report_statement(
    receiver: ResultReceiver,
    conn: pool_conns.PoolConn,
    reply: core.CommandReply,
) -> None:
    """Report the result of the statement to the owner of the work."""
    work = conn.work
    if work is None or conn.setup_failed:
        receiver.close(conn, _Ended.CONNECTION_LOST)
        return
    sent_at, asked_at = conn.sent_at, conn.sent_at_boottime
    receiver.record_answer(work, receiver.now() - sent_at, reply.refusal)
    is_open = reply.transaction_status is _Status.OPEN
    reusable = reply.transaction_status is _Status.IDLE or is_open
    if is_open and work.transaction is None:
        reusable = False
    if reusable:
        receiver.release(conn, is_open)
    else:
        conn.work = None
        _roll_back(receiver, conn, work)
    receiver.report_end(work, _Ended.ANSWERED, reply, sent_at, asked_at)
    receiver.dispatch()


def _roll_back(
    receiver: ResultReceiver, conn: pool_conns.PoolConn, work: core.Work
) -> None:
    """Roll back a failed transaction, and keep its connection.

    If the work was in no transaction, the connection's state is not
    known, and it is closed.
    """
    if work.transaction is None:
        receiver.close(conn, _Ended.CONNECTION_LOST)
        return
    receiver.send_commands(conn, [core.Command(core.Op.ROLLBACK)])


@RESULT_HANDLERS.register(core.Op.ROLLBACK)
def _on_rolled_back(
    receiver: ResultReceiver,
    conn: pool_conns.PoolConn,
    reply: core.CommandReply,
) -> None:
    """Release the connection of a transaction that was rolled back."""
    if reply.transaction_status is not _Status.IDLE:
        receiver.close(conn, _Ended.CONNECTION_LOST)
        return
    receiver.release(conn, False)
    receiver.dispatch()


@RESULT_HANDLERS.register(core.Op.STATUS)
def _on_status(
    receiver: ResultReceiver,
    conn: pool_conns.PoolConn,
    reply: core.CommandReply,
) -> None:
    receiver.on_status(conn, reply)
