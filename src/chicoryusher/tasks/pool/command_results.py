"""Handlers of an instance's replies, registered by kind of command."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from chicoryusher import core
from chicoryusher.tasks.pool import pool_conns

__all__ = ['RESULT_HANDLERS']


class ResultReceiver(Protocol):
    """The methods of an instance pool that the handlers call."""

    def on_begun(
        self, conn: pool_conns.PoolConn, reply: core.CommandReply
    ) -> None:
        """Send the statement after its BEGIN, or report it as not run."""

    def on_statement_result(
        self, conn: pool_conns.PoolConn, reply: core.CommandReply
    ) -> None:
        """Report the result of the statement to the owner of the work."""

    def on_rolled_back(
        self, conn: pool_conns.PoolConn, reply: core.CommandReply
    ) -> None:
        """Release the connection of a transaction that was rolled back."""

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
    receiver.on_begun(conn, reply)


@RESULT_HANDLERS.register(core.Op.RUN)
def _on_statement_result(
    receiver: ResultReceiver,
    conn: pool_conns.PoolConn,
    reply: core.CommandReply,
) -> None:
    receiver.on_statement_result(conn, reply)


@RESULT_HANDLERS.register(core.Op.ROLLBACK)
def _on_rolled_back(
    receiver: ResultReceiver,
    conn: pool_conns.PoolConn,
    reply: core.CommandReply,
) -> None:
    receiver.on_rolled_back(conn, reply)


@RESULT_HANDLERS.register(core.Op.STATUS)
def _on_status(
    receiver: ResultReceiver,
    conn: pool_conns.PoolConn,
    reply: core.CommandReply,
) -> None:
    receiver.on_status(conn, reply)
