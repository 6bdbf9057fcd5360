"""The link to one instance: owns its sockets, decides nothing."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher import wire
from chicoryusher.backends.mysql import conn as conn_module
from chicoryusher.backends.mysql import gatelock

__all__ = ['MysqlLink']

LOCK_CONN = core.ConnId(0)
KEEPALIVE_INTERVAL = 1.0
CONNECT_TIMEOUT = 1.0
WINDOW_BYTES = 1024 * 1024
COM_PING = b'\x0e'


@dataclasses.dataclass(frozen=True, slots=True)
class _Keepalive(core.Message):
    """Time to show the instance that the gate is alive."""

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class _ConnectLate(core.Message):
    """A connection may have taken too long to open."""

    conn_id: core.ConnId
    fileno: int


class MysqlLink(runtime.Task):
    """Statement connections and the gate lock at one instance."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        instance: core.InstanceName,
        database: core.DatabaseName,
        address: runtime.Address,
        user: conn_module.BackendUser,
        gate: core.TaskName,
    ) -> None:
        super().__init__(loop, vm, f'link/{instance}')
        self._poller = loop.poller
        self._address = address
        self._database = database
        self._user = user
        self._gate = gate
        self._conns: dict[core.ConnId, conn_module.BackendConn] = {}
        self._by_fileno: dict[int, conn_module.BackendConn] = {}
        self._ready: set[core.ConnId] = set()
        self._dirty: set[conn_module.BackendConn] = set()
        self._lock = gatelock.GateLock(user.name)
        self._epoch = 0

    # -- statement connections --------------------------------------

    @runtime.handles(core.OpenConn)
    def _on_open(self, message: core.OpenConn) -> None:
        if not self._open(message.conn_id, conn_module.SETUP):
            self.send(self._gate, core.ConnClosed(message.conn_id, True))

    def _open(self, conn_id: core.ConnId, setup: tuple[bytes, ...]) -> bool:
        stream = runtime.connect(self._address, self._poller, self.task_name)
        if stream is None:
            return False
        conn = conn_module.BackendConn(
            conn_id, stream, self._user, self._database, setup
        )
        self._conns[conn_id] = conn
        self._by_fileno[stream.fileno] = conn
        self.after(CONNECT_TIMEOUT, _ConnectLate(conn_id, stream.fileno))
        return True

    @runtime.handles(_ConnectLate)
    def _on_connect_late(self, late: _ConnectLate) -> None:
        conn = self._conns.get(late.conn_id)
        if conn is None or late.conn_id in self._ready:
            return
        if conn.stream.fileno == late.fileno:
            self._lost(conn, True)

    @runtime.handles(core.CloseConn)
    def _on_close(self, message: core.CloseConn) -> None:
        conn = self._conns.get(message.conn_id)
        if conn is not None:
            self._forget(conn)

    @runtime.handles(core.RunOnConn)
    def _on_run(self, message: core.RunOnConn) -> None:
        conn = self._conns.get(message.conn_id)
        if conn is None:
            self.send(self._gate, core.ConnClosed(message.conn_id))
            return
        conn.unconsumed = 0
        conn.run(message.payload)
        self._dirty.add(conn)

    @runtime.handles(core.ConnConsumed)
    def _on_consumed(self, message: core.ConnConsumed) -> None:
        conn = self._conns.get(message.conn_id)
        if conn is None:
            return
        conn.unconsumed -= message.size
        if conn.unconsumed < WINDOW_BYTES:
            conn.stream.set_reading(True)

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready: runtime.SocketReady) -> None:
        conn = self._by_fileno.get(ready.fileno)
        if conn is None:
            return
        if conn.stream.connecting:
            if not conn.stream.finish_connect():
                self._lost(conn, True)
            return
        if ready.writable:
            self._dirty.add(conn)
        if ready.readable:
            self._receive(conn)

    def _receive(self, conn: conn_module.BackendConn) -> None:
        data = conn.stream.read()
        if conn.stream.closed:
            self._lost(conn, conn.conn_id not in self._ready)
            return
        if not data:
            return
        try:
            progress = conn.receive(data)
        except (core.ProtocolError, AssertionError, IndexError) as exc:
            self.log.emit(
                core.LogEvent.CONN_REFUSED,
                address=str(self._address),
                why=str(exc),
            )
            self._lost(conn, conn.conn_id not in self._ready)
            return
        self._dirty.add(conn)
        if progress.opened:
            self._opened(conn)
        if progress.answer is not None:
            self._answered(conn, progress.answer)

    def _opened(self, conn: conn_module.BackendConn) -> None:
        self._ready.add(conn.conn_id)
        if conn.conn_id == LOCK_CONN:
            self._send_lock(conn)
            return
        self.send(self._gate, core.ConnOpened(conn.conn_id))

    def _answered(
        self, conn: conn_module.BackendConn, found: wire.Scanned
    ) -> None:
        if conn.conn_id == LOCK_CONN:
            self._lock_answer(conn, found)
            return
        if not found.final:
            conn.unconsumed += len(found.data)
            if conn.unconsumed >= WINDOW_BYTES:
                conn.stream.set_reading(False)
        else:
            conn.stream.set_reading(True)
        self.send(
            self._gate,
            core.ConnAnswer(
                conn.conn_id,
                found.data,
                found.final,
                found.error_code,
                found.position,
                found.in_transaction,
            ),
        )

    def _lost(self, conn: conn_module.BackendConn, refused: bool) -> None:
        self._forget(conn)
        if conn.conn_id == LOCK_CONN:
            self._lock_lost()
            return
        self.send(self._gate, core.ConnClosed(conn.conn_id, refused))

    def _forget(self, conn: conn_module.BackendConn) -> None:
        self._conns.pop(conn.conn_id, None)
        self._by_fileno.pop(conn.stream.fileno, None)
        self._ready.discard(conn.conn_id)
        conn.stream.close()

    def settled(self) -> None:
        """Send what the handled messages wrote."""
        dirty, self._dirty = self._dirty, set()
        for conn in dirty:
            if conn.stream.fileno < 0:
                continue
            conn.stream.flush()
            if conn.stream.closed:
                self._lost(conn, False)

    # -- the gate lock ----------------------------------------------

    @runtime.handles(core.ClaimGate)
    def _on_claim(self, claim: core.ClaimGate) -> None:
        if LOCK_CONN in self._conns:
            return
        self._lock = gatelock.GateLock(self._user.name)
        if not self._open(LOCK_CONN, gatelock.SETUP):
            self.send(self._gate, core.GateClaimed(False))

    def _send_lock(self, conn: conn_module.BackendConn) -> None:
        conn.run(self._lock.command())
        self._dirty.add(conn)

    def _lock_answer(
        self, conn: conn_module.BackendConn, found: wire.Scanned
    ) -> None:
        if self._lock.held:
            return
        result = self._lock.answered(found.data, found.final)
        if result is gatelock.LockResult.REFUSED:
            self._forget(conn)
            self.send(self._gate, core.GateClaimed(False))
        elif result is gatelock.LockResult.GRANTED:
            self._epoch += 1
            self.after(
                self.until_beat(KEEPALIVE_INTERVAL), _Keepalive(self._epoch)
            )
            self.send(self._gate, core.GateClaimed(True))
        elif found.final:
            self._send_lock(conn)

    @runtime.handles(_Keepalive)
    def _on_keepalive(self, tick: _Keepalive) -> None:
        conn = self._conns.get(LOCK_CONN)
        if conn is None or tick.epoch != self._epoch:
            return
        if conn.busy:
            self._lost(conn, False)
            return
        conn.run(core.Payload(COM_PING))
        self._dirty.add(conn)
        self.after(
            self.until_beat(KEEPALIVE_INTERVAL), _Keepalive(self._epoch)
        )

    @runtime.handles(core.ReleaseGate)
    def _on_release(self, message: core.ReleaseGate) -> None:
        conn = self._conns.get(LOCK_CONN)
        if conn is not None:
            self._forget(conn)

    def _lock_lost(self) -> None:
        if self._lock.held:
            self.send(self._gate, core.GateLost())
        else:
            self.send(self._gate, core.GateClaimed(False))
