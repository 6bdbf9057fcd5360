"""What failed and silent connections show about an instance."""

from __future__ import annotations

from typing import Protocol

from chicoryusher import core
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.connections import conn_opening
from chicoryusher.tasks.pool.connections import pool_conns
from chicoryusher.tasks.pool.connections import pool_pace
from chicoryusher.tasks.pool.connections import pool_timeouts

__all__ = ['InstanceFaults']

_Ended = core.Completion
_Reason = core.LinkCloseReason


class Pool(Protocol):
    """The members of an instance pool that are used here."""

    vm: core.VmName
    entry: core.InstanceEntry

    def now(self) -> float:
        """Return the time on the runtime's clock."""

    def send(self, task: core.TaskName, message: core.Message) -> None:
        """Send a message to a task."""

    def return_queued(self, ended: core.Completion) -> None:
        """End all queued work with this outcome."""

    def close(self, conn: pool_conns.PoolConn, ended: core.Completion) -> None:
        """Close a connection; its work, if any, ends with this outcome."""


class InstanceFaults:
    """Find and report the faults of the instance of one pool."""

    def __init__(
        self,
        pool: Pool,
        conns: pool_conns.PoolConns,
        opener: conn_opening.ConnOpener,
        pace: pool_pace.PoolPace,
        responses: pool_timeouts.Responsiveness,
    ) -> None:
        self._pool = pool
        self._conns = conns
        self._opener = opener
        self._pace = pace
        self._responses = responses

    def report(self) -> None:
        """Report a failed connection to the monitor and the dispatcher."""
        self._pace.restart('a connection failed')
        vm = self._pool.vm
        message = core.InstanceFault(self._pool.entry.name)
        self._pool.send(names.reachability_monitor(vm), message)
        self._pool.send(names.dispatcher(vm), message)

    def open_failed(
        self, reason: core.LinkCloseReason, began_at: float
    ) -> None:
        """Return the queued work, and report an instance that is silent.

        An instance that has sent something since ``began_at`` is busy with
        other connections.
        """
        if reason is _Reason.TOO_MANY_CONNECTIONS:
            if not len(self._conns):
                self._pool.return_queued(_Ended.NOT_STARTED)
            return
        self._opener.pause(self._pool.now())
        timed_out = reason is _Reason.TIMED_OUT
        if timed_out and self._responses.received_at > began_at:
            if not len(self._conns):
                self._pool.return_queued(_Ended.NOT_STARTED)
            return
        self.report()
        self._pool.return_queued(_Ended.NOT_STARTED)
        if timed_out:
            self._responses.suspected = True
            for conn in self._conns.all():
                if conn.state is not core.ConnState.CONNECTING:
                    self._pool.close(conn, _Ended.CONNECTION_LOST)

    def check_response(self, now: float) -> None:
        """Open a test connection if the instance sends no replies.

        The reachability monitor is asked to check the instance too.
        """
        busy = self._conns.awaiting_reply()
        if self._conns.connecting_count:
            return
        if not self._responses.is_silent(busy, now):
            return
        self._responses.suspected = True
        self._pool.send(
            names.reachability_monitor(self._pool.vm),
            core.InstanceFault(self._pool.entry.name),
        )
        self._opener.open(now)
