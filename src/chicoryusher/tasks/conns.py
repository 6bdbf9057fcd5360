"""Backend connections of one gate, and the guard of their chart."""

from __future__ import annotations

import itertools

from chicoryusher import charts
from chicoryusher import core

__all__ = ['Conn', 'Conns']


class Conn:
    """One backend connection; lives by the chart ``connection``."""

    def __init__(self, conn_id: core.ConnId) -> None:
        self.state = core.ConnState.CONNECTING
        self.conn_id = conn_id
        self.request_id: core.RequestId | None = None
        self.transaction: core.TransactionId | None = None
        self.origin: core.VmName | None = None


@charts.guard('connection.in_transaction')
def _in_transaction(conn: Conn, pinned: bool) -> bool:
    return pinned


class Conns:
    """The connections of one gate, never more than the cap."""

    def __init__(self, cap: int) -> None:
        self.cap = cap
        self._chart = charts.compiled('connection')
        self._numbers = itertools.count(1)
        self._conns: dict[core.ConnId, Conn] = {}
        self._idle: list[Conn] = []
        self._by_transaction: dict[core.TransactionId, Conn] = {}
        self.connecting = 0
        self.most = 0

    def __len__(self) -> int:
        return len(self._conns)

    @property
    def idle(self) -> int:
        """Return how many connections are free."""
        return len(self._idle)

    def find(self, conn_id: core.ConnId) -> Conn | None:
        """Return a connection by its id."""
        return self._conns.get(conn_id)

    def of(self, transaction: core.TransactionId) -> Conn | None:
        """Return the connection that a transaction is pinned to."""
        return self._by_transaction.get(transaction)

    def transactions_from(self, vm: core.VmName) -> list[Conn]:
        """Return the connections pinned by a VM's transactions."""
        return [
            one for one in self._by_transaction.values() if one.origin == vm
        ]

    def all(self) -> list[Conn]:
        """Return every connection that is open or being opened."""
        return list(self._conns.values())

    def new(self) -> Conn | None:
        """Return a new connection to open, or None at the cap."""
        if len(self._conns) >= self.cap:
            return None
        conn = Conn(core.ConnId(next(self._numbers)))
        self._conns[conn.conn_id] = conn
        self.connecting += 1
        self.most = max(self.most, len(self._conns))
        return conn

    def opened(self, conn: Conn) -> None:
        """Note that a connection is ready."""
        if self._chart.fire(conn, 'opened'):
            self.connecting -= 1
            self._idle.append(conn)

    def take(self) -> Conn | None:
        """Return the idle connection that was used last, or None."""
        return self._idle.pop() if self._idle else None

    def run(self, conn: Conn, submit: core.Submit) -> None:
        """Occupy a connection with a request."""
        self._chart.fire(conn, 'run')
        request = submit.request
        conn.request_id = request.request_id
        conn.origin = submit.origin
        if request.transaction is not None:
            conn.transaction = request.transaction
            self._by_transaction[request.transaction] = conn

    def finished(self, conn: Conn, pinned: bool) -> None:
        """Free a connection, or keep it for its transaction."""
        self._chart.fire(conn, 'finished', pinned)
        conn.request_id = None
        if conn.state is core.ConnState.IDLE:
            self._unpin(conn)
            self._idle.append(conn)

    def lost(self, conn: Conn) -> None:
        """Forget a connection that has ended."""
        if conn.state is core.ConnState.CONNECTING:
            self.connecting -= 1
        self._chart.fire(conn, 'lost')
        self._conns.pop(conn.conn_id, None)
        if conn in self._idle:
            self._idle.remove(conn)
        self._unpin(conn)

    def _unpin(self, conn: Conn) -> None:
        if conn.transaction is not None:
            self._by_transaction.pop(conn.transaction, None)
            conn.transaction = None
