"""Backend connections of one gate, and the guard of their chart."""

from __future__ import annotations

import itertools

from chicoryusher import charts
from chicoryusher import core

__all__ = ['Conn', 'Conns']


class Conn:
    """One backend connection; its state chart is ``connection``.

    ``request_id`` is the request that runs on it, ``transaction`` the
    transaction that it is pinned to, and ``origin`` the VM whose router
    sent the request.
    """

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
    """Connections of one gate, at most ``max_count``.

    ``connecting`` is how many are being opened, ``peak_count`` the most
    that existed at once.
    """

    def __init__(self, max_count: int) -> None:
        self.max_count = max_count
        self._chart = charts.load_machine('connection')
        self._numbers = itertools.count(1)
        self._conns: dict[core.ConnId, Conn] = {}
        self._idle: list[Conn] = []
        self._by_transaction: dict[core.TransactionId, Conn] = {}
        self.connecting = 0
        self.peak_count = 0

    def __len__(self) -> int:
        return len(self._conns)

    @property
    def idle(self) -> int:
        """Return how many connections are idle."""
        return len(self._idle)

    @property
    def pinned(self) -> int:
        """Return how many connections are pinned to transactions."""
        return sum(1 for conn in self._conns.values() if conn.transaction)

    def find(self, conn_id: core.ConnId) -> Conn | None:
        """Return a connection by its id, None if it does not exist."""
        return self._conns.get(conn_id)

    def pinned_to(self, transaction: core.TransactionId) -> Conn | None:
        """Return the connection that a transaction is pinned to."""
        return self._by_transaction.get(transaction)

    def transactions_from(self, vm: core.VmName) -> list[Conn]:
        """Return the connections pinned to transactions of a VM's router."""
        return [
            conn for conn in self._by_transaction.values() if conn.origin == vm
        ]

    def all(self) -> list[Conn]:
        """Return every connection that is open or being opened."""
        return list(self._conns.values())

    def add(self) -> Conn | None:
        """Add and return a connection to open; None at the maximum."""
        if len(self._conns) >= self.max_count:
            return None
        conn = Conn(core.ConnId(next(self._numbers)))
        self._conns[conn.conn_id] = conn
        self.connecting += 1
        self.peak_count = max(self.peak_count, len(self._conns))
        return conn

    def opened(self, conn: Conn) -> None:
        """Record that a connection was opened and is idle."""
        if self._chart.fire(conn, 'opened'):
            self.connecting -= 1
            self._idle.append(conn)

    def take(self) -> Conn | None:
        """Remove and return the idle connection that was used last.

        None if no connection is idle.
        """
        return self._idle.pop() if self._idle else None

    def occupy(self, conn: Conn, submit: core.Submit) -> None:
        """Record that a request runs on a connection.

        A request of a transaction pins the connection to it.
        """
        self._chart.fire(conn, 'run')
        request = submit.request
        conn.request_id = request.request_id
        conn.origin = submit.origin
        if request.transaction is not None:
            conn.transaction = request.transaction
            self._by_transaction[request.transaction] = conn

    def finished(self, conn: Conn, pinned: bool) -> None:
        """Mark a connection idle, or keep it pinned to its transaction."""
        self._chart.fire(conn, 'finished', pinned)
        conn.request_id = None
        if conn.state is core.ConnState.IDLE:
            self._unpin(conn)
            self._idle.append(conn)

    def drop(self, conn: Conn) -> None:
        """Remove a connection that has ended."""
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
