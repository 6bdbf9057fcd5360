"""The MySQL front end: owns the callers' sockets, decides nothing."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher import wire
from chicoryusher.frontends.mysql import callers
from chicoryusher.frontends.mysql import commands
from chicoryusher.frontends.mysql import marks

__all__ = ['FrontendLimits', 'MysqlFrontend', 'User']

Phase = callers.Phase


@dataclasses.dataclass(frozen=True, slots=True)
class User:
    """Credentials of one user, and the caller it belongs to."""

    name: str
    password: str = dataclasses.field(repr=False)
    caller: core.CallerName


@dataclasses.dataclass(frozen=True, slots=True)
class FrontendLimits:
    """Bounds on what callers may use up (bytes, connections, seconds)."""

    max_packet_bytes: int = 16 * 1024 * 1024
    max_callers: int = 4096
    max_newcomers: int = 512
    handshake_timeout: float = 5.0
    low_water_bytes: int = 256 * 1024
    max_backlog: int = 64


@dataclasses.dataclass(frozen=True, slots=True)
class _Sweep(core.Message):
    """Time to look for callers that never finish their handshake."""


class MysqlFrontend(runtime.Task):
    """Speak the MySQL protocol with callers and requests with the router."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        boot: str,
        address: runtime.Address,
        users: tuple[User, ...],
        limits: FrontendLimits,
        router: core.TaskName,
    ) -> None:
        super().__init__(loop, vm, 'mysql')
        self._users = {one.name: one for one in users}
        self._limits = limits
        self._router = router
        self._boot = boot
        self._context = commands.Context(vm, boot)
        self._listener: runtime.Listener | None = runtime.Listener(
            address, loop.poller, self.task_name
        )
        self.address = self._listener.address
        self._by_fileno: dict[int, callers.CallerConn] = {}
        self._by_session: dict[core.SessionId, callers.CallerConn] = {}
        self._by_request: dict[core.RequestId, callers.CallerConn] = {}
        self._dirty: set[callers.CallerConn] = set()
        self._newcomers = decisions.Newcomers(
            limits.max_newcomers, limits.handshake_timeout
        )
        self._opened = 0
        self._draining = False
        self.statements = 0
        self._sweep_timer: core.TimerId | None = None

    @property
    def callers(self) -> int:
        """Return how many callers are connected."""
        return len(self._by_fileno)

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready: runtime.SocketReady) -> None:
        listener = self._listener
        if listener is not None and ready.fileno == listener.fileno:
            self._accept(listener)
            return
        conn = self._by_fileno.get(ready.fileno)
        if conn is None:
            return
        if ready.writable:
            self._dirty.add(conn)
        if ready.readable:
            self._receive(conn)

    def _accept(self, listener: runtime.Listener) -> None:
        while (stream := listener.accept()) is not None:
            self._opened += 1
            session = core.SessionId(f'{self.vm}:{self._boot}:s{self._opened}')
            conn = callers.CallerConn(session, stream, wire.new_nonce())
            self._by_fileno[stream.fileno] = conn
            self._by_session[session] = conn
            self._dirty.add(conn)
            full = self.callers > self._limits.max_callers
            if full or not self._newcomers.admit(session, self.now()):
                conn.reply_sequence = 0
                self._refuse(conn, core.TooManyCallers('too many callers'))
                continue
            stream.write(
                wire.frame(wire.make_greeting(self._opened, conn.nonce))
            )
            self._sweep_later()

    def _sweep_later(self) -> None:
        delay = self._newcomers.next_late(self.now())
        if delay is not None and self._sweep_timer is None:
            self._sweep_timer = self.after(delay, _Sweep())

    @runtime.handles(_Sweep)
    def _on_sweep(self, sweep: _Sweep) -> None:
        """Close callers whose handshake takes too long."""
        self._sweep_timer = None
        for session_id in self._newcomers.late(self.now()):
            self.log.emit(core.LogEvent.CALLER_SILENT, session=session_id)
            self._close(self._by_session[session_id])
        self._sweep_later()

    def _receive(self, conn: callers.CallerConn) -> None:
        data = conn.stream.read()
        if conn.stream.closed:
            self._close(conn)
            return
        try:
            packets = conn.framer.feed(data)
        except core.OversizePacket as exc:
            self.log.emit(
                core.LogEvent.PACKET_OVERSIZE,
                session=conn.session_id,
                why=str(exc),
            )
            self._refuse(conn, exc)
            return
        conn.backlog.extend(packets)
        self._work(conn)
        if len(conn.backlog) > self._limits.max_backlog:
            conn.stream.set_reading(False)

    def _work(self, conn: callers.CallerConn) -> None:
        while conn.backlog and not conn.closing:
            if conn.phase in (Phase.BUSY, Phase.ADMISSION):
                return
            packet = conn.backlog.popleft()
            conn.reply_sequence = (packet.sequence + 1) % 256
            try:
                self._packet(conn, packet.payload)
            except core.AuthError as exc:
                self._refused(conn, exc)
            except core.ProtocolError as exc:
                self.log.emit(
                    core.LogEvent.PACKET_BAD,
                    session=conn.session_id,
                    why=str(exc),
                )
                if conn.phase is not Phase.READY:
                    self._refuse(conn, exc)
                    return
                conn.reply_error(exc)
            except core.CallerError as exc:
                conn.reply_error(exc)
            self._dirty.add(conn)

    def _packet(self, conn: callers.CallerConn, payload: bytes) -> None:
        if conn.phase is Phase.HELLO:
            self._hello(conn, payload)
            return
        if conn.phase is Phase.SWITCH:
            self._authenticate(conn, wire.DEFAULT_METHOD, payload)
            return
        message = commands.run(self._context, conn, payload)
        if message is None:
            return
        if isinstance(message, core.Request):
            conn.phase = Phase.BUSY
            conn.request_id = message.request_id
            self._by_request[message.request_id] = conn
            self.statements += 1
        self.send(self._router, message)

    def _hello(self, conn: callers.CallerConn, payload: bytes) -> None:
        hello = wire.parse_hello(payload)
        conn.hello = hello
        conn.user = hello.user
        if hello.method not in wire.METHODS:
            conn.phase = Phase.SWITCH
            conn.reply(wire.auth_switch(wire.DEFAULT_METHOD, conn.nonce))
            return
        self._authenticate(conn, hello.method, hello.response)

    def _authenticate(
        self, conn: callers.CallerConn, method: str, response: bytes
    ) -> None:
        user = self._users.get(conn.user)
        password = user.password if user is not None else self._boot
        good = wire.verify(method, password, conn.nonce, response)
        if user is None or not good:
            raise core.AuthError(f'access denied for user {conn.user!r}')
        if method == wire.DEFAULT_METHOD:
            conn.reply(b'\x01\x03')
            conn.reply_sequence = (conn.reply_sequence + 1) % 256
        hello = conn.hello
        assert hello is not None
        conn.caller = user.caller
        conn.framer.max_bytes = self._limits.max_packet_bytes
        conn.marks = marks.from_pairs(hello.attributes)
        conn.phase = Phase.ADMISSION
        self._newcomers.settle(conn.session_id)
        name = hello.database
        conn.database = core.DatabaseName(name) if name else None
        self.send(
            self._router,
            core.SessionOpened(
                conn.session_id,
                self.task_name,
                conn.caller,
                conn.database,
                conn.marks.token if conn.marks else None,
            ),
        )

    @runtime.handles(core.SessionReply)
    def _on_session_reply(self, reply: core.SessionReply) -> None:
        conn = self._by_session.get(reply.session_id)
        if conn is None:
            return
        self._dirty.add(conn)
        first = conn.hello is not None
        conn.hello = None
        if reply.error is not None:
            if isinstance(reply.error, core.UnknownDatabase):
                self.log.emit(
                    core.LogEvent.DATABASE_UNKNOWN, why=str(reply.error)
                )
            if first:
                self._refuse(conn, reply.error)
                return
            conn.reply_error(reply.error)
        else:
            conn.reply_ok()
            if first:
                self.log.emit(
                    core.LogEvent.CALLER_OPENED,
                    session=conn.session_id,
                    caller=conn.caller,
                )
        self._ready(conn)

    @runtime.handles(core.UseDatabase)
    def _on_use_database(self, message: core.UseDatabase) -> None:
        conn = self._by_session.get(message.session_id)
        if conn is not None:
            conn.database = message.database

    @runtime.handles(core.TokenAnswer)
    def _on_token(self, answer: core.TokenAnswer) -> None:
        conn = self._by_session.get(answer.session_id)
        if conn is None:
            return
        for payload in commands.token_rows(answer.token):
            conn.reply(payload)
            conn.reply_sequence = (conn.reply_sequence + 1) % 256
        self._ready(conn)

    @runtime.handles(core.ResultChunk)
    def _on_chunk(self, chunk: core.ResultChunk) -> None:
        conn = self._by_request.get(chunk.request_id)
        if conn is None:
            return
        conn.stream.write(chunk.data)
        conn.unconsumed += len(chunk.data)
        self._dirty.add(conn)

    @runtime.handles(core.Answer)
    def _on_answer(self, answer: core.Answer) -> None:
        conn = self._by_request.pop(answer.request_id, None)
        if conn is None:
            return
        conn.request_id = None
        conn.unconsumed = 0
        conn.in_transaction = answer.in_transaction
        preparing, conn.preparing = conn.preparing, None
        if answer.error is not None:
            conn.reply_error(answer.error)
        elif not answer.data:
            conn.reply_ok()
        elif preparing is not None:
            self._prepared(conn, preparing, answer.data)
        else:
            conn.stream.write(answer.data)
        self._ready(conn)

    def _prepared(
        self, conn: callers.CallerConn, prepared: callers.Prepared, data: bytes
    ) -> None:
        head = wire.HEADER_BYTES
        if data[head] == 0:
            number = conn.next_statement_id
            conn.next_statement_id += 1
            prepared.parameters = int.from_bytes(
                data[head + 7 : head + 9], 'little'
            )
            conn.prepared[number] = prepared
            place = slice(head + 1, head + 5)
            data = (
                data[: place.start]
                + number.to_bytes(4, 'little')
                + data[place.stop :]
            )
        conn.stream.write(data)

    def _ready(self, conn: callers.CallerConn) -> None:
        conn.phase = Phase.READY
        self._dirty.add(conn)
        conn.stream.set_reading(True)
        if self._draining and not conn.in_transaction:
            conn.closing = True
            return
        self._work(conn)

    def _refused(
        self, conn: callers.CallerConn, error: core.CallerError
    ) -> None:
        self.log.emit(
            core.LogEvent.CALLER_REFUSED,
            session=conn.session_id,
            user=conn.user,
            why=type(error).__name__,
        )
        self._refuse(conn, error)

    def _refuse(
        self, conn: callers.CallerConn, error: core.CallerError
    ) -> None:
        conn.reply_error(error)
        conn.closing = True
        self._dirty.add(conn)

    def settled(self) -> None:
        """Send what the handled messages wrote."""
        dirty, self._dirty = self._dirty, set()
        for conn in dirty:
            if conn.stream.fileno < 0:
                continue
            conn.stream.flush()
            if conn.stream.closed:
                self._close(conn)
            elif conn.closing and not conn.stream.pending:
                self._close(conn)
            elif conn.unconsumed:
                self._consume(conn)

    def _consume(self, conn: callers.CallerConn) -> None:
        if conn.stream.pending > self._limits.low_water_bytes:
            return
        if conn.request_id is None:
            return
        self.send(
            self._router, core.Consumed(conn.request_id, conn.unconsumed)
        )
        conn.unconsumed = 0

    def _close(self, conn: callers.CallerConn) -> None:
        self._by_fileno.pop(conn.stream.fileno, None)
        self._by_session.pop(conn.session_id, None)
        self._newcomers.settle(conn.session_id)
        if conn.request_id is not None:
            self._by_request.pop(conn.request_id, None)
        conn.stream.close()
        if conn.phase is not Phase.HELLO:
            self.log.emit(core.LogEvent.CALLER_CLOSED, session=conn.session_id)
            self.send(self._router, core.SessionClosed(conn.session_id))

    @runtime.handles(core.Drain)
    def _on_drain(self, drain: core.Drain) -> None:
        self._draining = True
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for conn in tuple(self._by_fileno.values()):
            if conn.phase is Phase.READY and not conn.in_transaction:
                self._close(conn)
