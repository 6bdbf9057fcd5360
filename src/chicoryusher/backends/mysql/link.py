"""The task that owns the sockets to one instance.

It carries out what the gate asks for and makes no decisions of its own.
"""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher import wire
from chicoryusher.backends.mysql import conn as conn_module
from chicoryusher.backends.mysql import gate_lock

__all__ = ['MysqlLink']

LOCK_CONN_ID = core.ConnId(0)
KEEPALIVE_INTERVAL_S = 1.0
CONNECT_TIMEOUT_S = 1.0
MAX_UNCONSUMED_BYTES = 1024 * 1024
COM_PING = b'\x0e'


@dataclasses.dataclass(frozen=True, slots=True)
class _Keepalive(core.Message):
    """Timer: ping the instance, which closes an idle lock connection."""

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class _ConnectTimeout(core.Message):
    """Timer: the connection is closed if it is not ready by now."""

    conn_id: core.ConnId
    fileno: int


class MysqlLink(runtime.Task):
    """Connections for statements and the gate lock at one instance."""

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
        self._by_id: dict[core.ConnId, conn_module.BackendConn] = {}
        self._by_fileno: dict[int, conn_module.BackendConn] = {}
        self._ready_ids: set[core.ConnId] = set()
        self._unflushed: set[conn_module.BackendConn] = set()
        self._lock = gate_lock.GateLock(user.name)
        self._epoch = 0

    # -- statement connections --------------------------------------

    @runtime.handles(core.OpenConn)
    def _on_open(self, message: core.OpenConn) -> None:
        if not self._open_conn(message.conn_id, conn_module.SESSION_SETUP):
            self.send(self._gate, core.ConnClosed(message.conn_id, True))

    def _open_conn(
        self, conn_id: core.ConnId, setup_statements: tuple[bytes, ...]
    ) -> bool:
        stream = runtime.connect(self._address, self._poller, self.task_name)
        if stream is None:
            return False
        conn = conn_module.BackendConn(
            conn_id, stream, self._user, self._database, setup_statements
        )
        self._by_id[conn_id] = conn
        self._by_fileno[stream.fileno] = conn
        self.after(CONNECT_TIMEOUT_S, _ConnectTimeout(conn_id, stream.fileno))
        return True

    @runtime.handles(_ConnectTimeout)
    def _on_connect_timeout(self, timeout: _ConnectTimeout) -> None:
        conn = self._by_id.get(timeout.conn_id)
        if conn is None or timeout.conn_id in self._ready_ids:
            return
        if conn.stream.fileno == timeout.fileno:
            self._report_lost(conn, True)

    @runtime.handles(core.CloseConn)
    def _on_close(self, message: core.CloseConn) -> None:
        conn = self._by_id.get(message.conn_id)
        if conn is not None:
            self._close_conn(conn)

    @runtime.handles(core.RunOnConn)
    def _on_run(self, message: core.RunOnConn) -> None:
        conn = self._by_id.get(message.conn_id)
        if conn is None:
            self.send(self._gate, core.ConnClosed(message.conn_id))
            return
        conn.unconsumed_bytes = 0
        conn.run(message.payload)
        self._unflushed.add(conn)

    @runtime.handles(core.ConnAnswerConsumed)
    def _on_consumed(self, message: core.ConnAnswerConsumed) -> None:
        conn = self._by_id.get(message.conn_id)
        if conn is None:
            return
        conn.unconsumed_bytes -= message.size
        if conn.unconsumed_bytes < MAX_UNCONSUMED_BYTES:
            conn.stream.set_reading(True)

    @runtime.handles(runtime.SocketReady)
    def _on_socket_ready(self, ready: runtime.SocketReady) -> None:
        conn = self._by_fileno.get(ready.fileno)
        if conn is None:
            return
        if conn.stream.connecting:
            if not conn.stream.finish_connect():
                self._report_lost(conn, True)
            return
        if ready.writable:
            self._unflushed.add(conn)
        if ready.readable:
            self._receive(conn)

    def _receive(self, conn: conn_module.BackendConn) -> None:
        data = conn.stream.read()
        if conn.stream.closed:
            self._report_lost(conn, conn.conn_id not in self._ready_ids)
            return
        if not data:
            return
        try:
            read_result = conn.receive(data)
        except (core.ProtocolError, AssertionError, IndexError) as exc:
            self.log.emit(
                core.LogEvent.CONN_REFUSED,
                address=str(self._address),
                why=str(exc),
            )
            self._report_lost(conn, conn.conn_id not in self._ready_ids)
            return
        self._unflushed.add(conn)
        if read_result.became_ready:
            self._on_conn_ready(conn)
        if read_result.answer is not None:
            self._on_answer_part(conn, read_result.answer)

    def _on_conn_ready(self, conn: conn_module.BackendConn) -> None:
        self._ready_ids.add(conn.conn_id)
        if conn.conn_id == LOCK_CONN_ID:
            self._send_lock_command(conn)
            return
        self.send(self._gate, core.ConnOpened(conn.conn_id))

    def _on_answer_part(
        self, conn: conn_module.BackendConn, scanned: wire.ScanResult
    ) -> None:
        if conn.conn_id == LOCK_CONN_ID:
            self._on_lock_answer(conn, scanned)
            return
        if not scanned.final:
            conn.unconsumed_bytes += len(scanned.data)
            if conn.unconsumed_bytes >= MAX_UNCONSUMED_BYTES:
                conn.stream.set_reading(False)
        else:
            conn.stream.set_reading(True)
        self.send(
            self._gate,
            core.ConnAnswer(
                conn.conn_id,
                scanned.data,
                scanned.final,
                scanned.error_code,
                scanned.position,
                scanned.in_transaction,
            ),
        )

    def _report_lost(
        self, conn: conn_module.BackendConn, refused: bool
    ) -> None:
        self._close_conn(conn)
        if conn.conn_id == LOCK_CONN_ID:
            self._report_lock_lost()
            return
        self.send(self._gate, core.ConnClosed(conn.conn_id, refused))

    def _close_conn(self, conn: conn_module.BackendConn) -> None:
        self._by_id.pop(conn.conn_id, None)
        self._by_fileno.pop(conn.stream.fileno, None)
        self._ready_ids.discard(conn.conn_id)
        conn.stream.close()

    def settled(self) -> None:
        """Flush the output that the handled messages have written."""
        unflushed, self._unflushed = self._unflushed, set()
        for conn in unflushed:
            if conn.stream.fileno < 0:
                continue
            conn.stream.flush()
            if conn.stream.closed:
                self._report_lost(conn, False)

    # -- the gate lock ----------------------------------------------

    @runtime.handles(core.ClaimGate)
    def _on_claim(self, claim: core.ClaimGate) -> None:
        if LOCK_CONN_ID in self._by_id:
            return
        self._lock = gate_lock.GateLock(self._user.name)
        if not self._open_conn(LOCK_CONN_ID, gate_lock.LOCK_SETUP_STATEMENTS):
            self.send(self._gate, core.GateClaimed(False))

    def _send_lock_command(self, conn: conn_module.BackendConn) -> None:
        conn.run(self._lock.next_command())
        self._unflushed.add(conn)

    def _on_lock_answer(
        self, conn: conn_module.BackendConn, scanned: wire.ScanResult
    ) -> None:
        if self._lock.is_granted:
            return
        result = self._lock.receive_answer(scanned.data, scanned.final)
        if result is gate_lock.LockResult.REFUSED:
            self._close_conn(conn)
            self.send(self._gate, core.GateClaimed(False))
        elif result is gate_lock.LockResult.GRANTED:
            self._epoch += 1
            self.after(
                self.until_beat(KEEPALIVE_INTERVAL_S), _Keepalive(self._epoch)
            )
            self.send(self._gate, core.GateClaimed(True))
        elif scanned.final:
            self._send_lock_command(conn)

    @runtime.handles(_Keepalive)
    def _on_keepalive(self, tick: _Keepalive) -> None:
        conn = self._by_id.get(LOCK_CONN_ID)
        if conn is None or tick.epoch != self._epoch:
            return
        if conn.awaits_answer:
            # The previous ping was not answered within an interval.
            self._report_lost(conn, False)
            return
        conn.run(core.Payload(COM_PING))
        self._unflushed.add(conn)
        self.after(
            self.until_beat(KEEPALIVE_INTERVAL_S), _Keepalive(self._epoch)
        )

    @runtime.handles(core.ReleaseGate)
    def _on_release(self, message: core.ReleaseGate) -> None:
        conn = self._by_id.get(LOCK_CONN_ID)
        if conn is not None:
            self._close_conn(conn)

    def _report_lock_lost(self) -> None:
        if self._lock.is_granted:
            self.send(self._gate, core.GateLost())
        else:
            self.send(self._gate, core.GateClaimed(False))
