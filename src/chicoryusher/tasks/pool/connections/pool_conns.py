"""Connections of one instance pool; their states follow ``connection``."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.tasks import conns as gate_conns  # noqa: F401 - its guard

__all__ = ['PoolConn', 'PoolConns']


class PoolConn:
    """One connection with its session state and the commands in flight.

    ``pending_ops`` are the operations whose replies have not come yet;
    ``setup_failed`` is set when the instance refused a setup command, so that
    the connection must be closed and not used.  ``sent_at`` is when the
    last commands were sent, on the runtime's clock, and ``sent_at_boottime``
    when the work was sent, on the clock that also counts suspended time.
    ``team`` is the team that the connection belongs to for its life;
    ``opened_at_boottime`` is when the instance had accepted it.
    """

    def __init__(
        self,
        conn_id: core.ConnId,
        now: float,
        team: core.TeamName | None = None,
    ) -> None:
        self.state = core.ConnState.CONNECTING
        self.conn_id = conn_id
        self.team = team
        self.session_state = decisions.ConnSessionState()
        self.pending_ops: collections.deque[core.Op] = collections.deque()
        self.work: core.Work | None = None
        self.transaction: core.TransactionId | None = None
        self.sent_at = now
        self.sent_at_boottime = 0.0
        self.opened_at_boottime = float('inf')
        self.idle_since = now
        self.setup_failed = False


class PoolConns:
    """The connections of one instance pool.

    ``numbers`` gives their ids, which no other pool of the VM uses.
    """

    def __init__(self, numbers: Iterator[int]) -> None:
        self._chart = charts.load_machine('connection')
        self._numbers = numbers
        self._conns: dict[core.ConnId, PoolConn] = {}
        self._pinned: dict[core.TransactionId, PoolConn] = {}

    def __len__(self) -> int:
        return len(self._conns)

    @property
    def connecting_count(self) -> int:
        """Return the number of connections that are being opened."""
        return len(self._in_state(core.ConnState.CONNECTING))

    def connecting_teams(self) -> list[core.TeamName | None]:
        """Return the team of each connection that is being opened."""
        return [
            conn.team for conn in self._in_state(core.ConnState.CONNECTING)
        ]

    def _in_state(self, state: core.ConnState) -> list[PoolConn]:
        return [conn for conn in self._conns.values() if conn.state is state]

    def all(self) -> list[PoolConn]:
        """Return every connection."""
        return list(self._conns.values())

    def idle(self) -> list[PoolConn]:
        """Return the connections that are free for new work."""
        return self._in_state(core.ConnState.IDLE)

    def awaiting_reply(self) -> list[PoolConn]:
        """Return the connections that wait for a reply."""
        return [conn for conn in self._conns.values() if conn.pending_ops]

    def find(self, conn_id: core.ConnId) -> PoolConn | None:
        """Return the connection with an id, None if it is closed."""
        return self._conns.get(conn_id)

    def pinned_to(self, transaction: core.TransactionId) -> PoolConn | None:
        """Return the connection that is pinned to a transaction, if any."""
        return self._pinned.get(transaction)

    def add(self, now: float, team: core.TeamName | None = None) -> PoolConn:
        """Create a connection for a team, which the caller must open."""
        conn = PoolConn(core.ConnId(next(self._numbers)), now, team)
        self._conns[conn.conn_id] = conn
        return conn

    def mark_opened(self, conn: PoolConn, now: float) -> None:
        """Record that a connection is open and idle."""
        self._chart.fire(conn, 'opened')
        conn.idle_since = now

    def mark_running(self, conn: PoolConn, work: core.Work | None) -> None:
        """Mark a connection as running work, and pin it to its transaction.

        Without ``work`` the connection rolls a transaction back.
        """
        self._chart.fire(conn, 'run')
        conn.work = work
        if work is not None and work.transaction is not None:
            conn.transaction = work.transaction
            self._pinned[work.transaction] = conn

    def release(self, conn: PoolConn, pinned: bool, now: float) -> None:
        """Free a connection, or leave it pinned to its transaction."""
        self._chart.fire(conn, 'finished', pinned)
        conn.work = None
        conn.idle_since = now
        if not pinned:
            conn.session_state.trim()
            self._unpin(conn)

    def remove(self, conn: PoolConn) -> None:
        """Remove a closed connection."""
        self._chart.fire(conn, 'lost')
        self._conns.pop(conn.conn_id, None)
        self._unpin(conn)

    def _unpin(self, conn: PoolConn) -> None:
        if conn.transaction is None:
            return
        if self._pinned.get(conn.transaction) is conn:
            del self._pinned[conn.transaction]
        conn.transaction = None
