"""Status queries that run on the open connections of an instance pool."""

from __future__ import annotations

from collections.abc import Iterable

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks.pool.connections import pool_conns

__all__ = ['StatusQueries']


class StatusQueries:
    """Status queries by the connection that runs them.

    They open no connection: on a new one an instance may answer that has
    restarted, and does not know what it was before.
    """

    def __init__(
        self, instance_pool: runtime.Task, instance: core.InstanceName
    ) -> None:
        self._instance_pool = instance_pool
        self._instance = instance
        self._running: dict[core.ConnId, core.ReadInstanceStatus] = {}

    def start(
        self,
        query: core.ReadInstanceStatus,
        idle: Iterable[pool_conns.PoolConn],
    ) -> pool_conns.PoolConn | None:
        """Return the connection for a query, None if there is none."""
        for conn in idle:
            if conn.opened_at_boottime <= query.opened_by:
                self._running[conn.conn_id] = query
                return conn
        self._report(query, None)
        return None

    def end(
        self, conn_id: core.ConnId, reply: core.CommandReply | None
    ) -> None:
        """Report the reply to a connection's query, None if it was lost."""
        query = self._running.pop(conn_id, None)
        if query is not None:
            self._report(query, reply)

    def _report(
        self,
        query: core.ReadInstanceStatus,
        reply: core.CommandReply | None,
    ) -> None:
        read = core.InstanceStatusRead(query.number, self._instance, reply)
        self._instance_pool.send(query.reply_to, read)
