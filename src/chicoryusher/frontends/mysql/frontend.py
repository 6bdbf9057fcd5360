"""The MySQL front end: the task that owns the callers' sockets.

It converts between the MySQL protocol and messages with the router, which
makes all decisions about requests.
"""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher import wire
from chicoryusher.frontends.mysql import caller_conn
from chicoryusher.frontends.mysql import commands
from chicoryusher.frontends.mysql import frontend_settings
from chicoryusher.frontends.mysql import logins
from chicoryusher.tasks import caller_guard

__all__ = ['MysqlFrontend']

ConnPhase = caller_conn.ConnPhase
_LOGIN_PHASES = (ConnPhase.HANDSHAKE_RESPONSE, ConnPhase.AUTH_SWITCH_RESPONSE)
# The label of statements that are refused here for lack of room.
_ROOM_PLACE = 'caller'


@dataclasses.dataclass(frozen=True, slots=True)
class _HandshakeCheck(core.Message):
    """Timer: close connections whose handshake has timed out."""


class MysqlFrontend(runtime.Task):
    """Serve callers over the MySQL protocol; send requests to the router."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        incarnation: str,
        address: runtime.Address,
        users: tuple[frontend_settings.User, ...],
        limits: frontend_settings.FrontendLimits,
        router: core.TaskName,
    ) -> None:
        super().__init__(loop, vm, 'mysql')
        self._logins = logins.Logins(
            self.task_name, users, incarnation, limits.max_packet_bytes
        )
        self._limits = limits
        self._router = router
        self._incarnation = incarnation
        self._request_ids = commands.RequestIds(vm, incarnation)
        self._listener: runtime.Listener | None = runtime.Listener(
            address,
            loop.poller,
            self.task_name,
            runtime.CALLER_BUFFER_BYTES,
        )
        self.address = self._listener.address
        self._by_fileno: dict[int, caller_conn.CallerConn] = {}
        self._by_session: dict[core.SessionId, caller_conn.CallerConn] = {}
        self._by_request: dict[core.RequestId, caller_conn.CallerConn] = {}
        self._unflushed: set[caller_conn.CallerConn] = set()
        self._handshakes = decisions.PendingHandshakes(
            limits.max_newcomers, limits.handshake_timeout
        )
        self._accepted_count = 0
        self._draining = False
        self.statement_count = 0
        self._handshake_timer: core.TimerId | None = None
        self._guard = caller_guard.CallerGuard(
            self, limits.caller_limits(), self._close_for_limit
        )

    @property
    def callers(self) -> int:
        """Return the number of open connections of callers."""
        return len(self._by_fileno)

    @runtime.handles(runtime.SocketReady)
    def _on_socket_ready(self, ready: runtime.SocketReady) -> None:
        listener = self._listener
        if listener is not None and ready.fileno == listener.fileno:
            self._accept(listener)
            return
        conn = self._by_fileno.get(ready.fileno)
        if conn is None:
            return
        if ready.writable:
            self._unflushed.add(conn)
        if ready.readable and self._guard.may_read_now():
            self._receive(conn)

    def _accept(self, listener: runtime.Listener) -> None:
        while (stream := listener.accept()) is not None:
            self._accepted_count += 1
            session = core.SessionId(
                f'{self.vm}:{self._incarnation}:s{self._accepted_count}'
            )
            conn = caller_conn.CallerConn(
                session,
                stream,
                wire.new_nonce(),
                self._limits.max_kept_bytes,
            )
            self._by_fileno[stream.fileno] = conn
            self._by_session[session] = conn
            self._unflushed.add(conn)
            is_full = self.callers > self._limits.max_callers
            if is_full or not self._handshakes.admit(session, self.now()):
                conn.reply_sequence = 0
                self._refuse(conn, core.TooManyCallers('too many callers'))
                continue
            stream.write(
                wire.make_packets(
                    wire.make_greeting(self._accepted_count, conn.nonce)
                )
            )
            self._schedule_handshake_check()

    def _schedule_handshake_check(self) -> None:
        delay = self._handshakes.seconds_to_expiry(self.now())
        if delay is not None and self._handshake_timer is None:
            self._handshake_timer = self.after(delay, _HandshakeCheck())

    @runtime.handles(_HandshakeCheck)
    def _on_handshake_check(self, check: _HandshakeCheck) -> None:
        """Close connections whose handshake has timed out."""
        self._handshake_timer = None
        for session_id in self._handshakes.expired(self.now()):
            self.log.emit(
                core.LogEvent.HANDSHAKE_TIMED_OUT, session=session_id
            )
            self._close(self._by_session[session_id])
        self._schedule_handshake_check()

    def _receive(self, conn: caller_conn.CallerConn) -> None:
        data = conn.stream.read()
        if conn.stream.closed:
            self._close(conn)
            return
        if not conn.closing:
            conn.framer.add(data)
            self._run_pending(conn)
        use = conn.use()
        if not self._guard.may_read(use):
            conn.stream.set_reading(False)
        self._guard.record_read(conn.session_id, use, len(data))

    def _run_pending(self, conn: caller_conn.CallerConn) -> None:
        """Handle received packets until one has to wait for an answer."""
        while conn.may_handle:
            try:
                packet = conn.framer.next_packet()
            except core.OversizePacket as exc:
                self.log.emit(
                    core.LogEvent.PACKET_OVERSIZE,
                    session=conn.session_id,
                    why=str(exc),
                )
                self._refuse(conn, exc)
                return
            if packet is None:
                return
            self._guard.end_message(conn.session_id)
            self._unflushed.add(conn)
            self._handle_or_refuse(conn, packet)

    def _handle_or_refuse(
        self, conn: caller_conn.CallerConn, packet: wire.Packet
    ) -> None:
        """Handle a packet, or answer it with an error."""
        conn.reply_sequence = (packet.sequence + 1) % 256
        try:
            self._handle_packet(conn, packet.payload)
        except core.AuthError as exc:
            self._refuse_login(conn, exc)
        except core.ProtocolError as exc:
            self.log.emit(
                core.LogEvent.PACKET_BAD,
                session=conn.session_id,
                why=str(exc),
            )
            if conn.phase is not ConnPhase.READY:
                self._refuse(conn, exc)
                return
            conn.reply_error(exc)
        except core.CallerError as exc:
            conn.reply_error(exc)

    def _handle_packet(
        self, conn: caller_conn.CallerConn, payload: bytes
    ) -> None:
        if conn.phase in _LOGIN_PHASES:
            opened = self._logins.handle_packet(conn, payload)
            if opened is not None:
                self._handshakes.finish(conn.session_id)
                self.send(self._router, opened)
            return
        self._check_room(conn, payload)
        message = commands.run_command(self._request_ids, conn, payload)
        if message is None:
            return
        conn.running_bytes = len(payload)
        if isinstance(message, core.Request):
            conn.phase = ConnPhase.BUSY
            conn.request_id = message.request_id
            self._by_request[message.request_id] = conn
            self.statement_count += 1
        self.send(self._router, message)

    def _check_room(
        self, conn: caller_conn.CallerConn, payload: bytes
    ) -> None:
        """Raise NotRunError if a command may not run for lack of room.

        One of an open transaction may: the transaction would have to end.
        """
        may_run = conn.in_transaction or not commands.has_answer(payload)
        if may_run or self._guard.has_room(len(payload)):
            return
        self.log.emit(core.LogEvent.NO_ROOM, session=conn.session_id)
        self.meters.add(core.Metric.STATEMENTS_WITHOUT_ROOM, place=_ROOM_PLACE)
        raise core.NotRunError('too much is held for callers')

    @runtime.handles(core.SessionReply)
    def _on_session_reply(self, reply: core.SessionReply) -> None:
        conn = self._by_session.get(reply.session_id)
        if conn is None:
            return
        self._unflushed.add(conn)
        is_login = conn.handshake is not None
        conn.handshake = None
        if reply.error is not None:
            if isinstance(reply.error, core.UnknownDatabase):
                self.log.emit(
                    core.LogEvent.DATABASE_UNKNOWN, why=str(reply.error)
                )
            if is_login:
                self._refuse(conn, reply.error)
                return
            conn.reply_error(reply.error)
        else:
            conn.reply_ok()
            if is_login:
                self.log.emit(
                    core.LogEvent.CALLER_OPENED,
                    session=conn.session_id,
                    caller=conn.caller,
                )
        self._accept_commands(conn)

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
        for payload in commands.token_result_set(answer.token):
            conn.reply(payload)
            conn.reply_sequence = (conn.reply_sequence + 1) % 256
        self._accept_commands(conn)

    @runtime.handles(core.ResultChunk)
    def _on_chunk(self, chunk: core.ResultChunk) -> None:
        conn = self._by_request.get(chunk.request_id)
        if conn is None:
            return
        conn.stream.write(chunk.data)
        conn.unreported_bytes += len(chunk.data)
        self._unflushed.add(conn)

    @runtime.handles(core.Answer)
    def _on_answer(self, answer: core.Answer) -> None:
        conn = self._by_request.pop(answer.request_id, None)
        if conn is None:
            return
        conn.request_id = None
        conn.unreported_bytes = 0
        conn.in_transaction = answer.in_transaction
        pending_prepare, conn.pending_prepare = conn.pending_prepare, None
        if isinstance(answer.error, core.NoTeam):
            self._refuse_login(conn, answer.error)
        elif answer.error is not None:
            conn.reply_error(answer.error)
        elif not answer.data:
            conn.reply_ok()
        elif pending_prepare is not None:
            conn.finish_prepare(pending_prepare, answer.data)
        else:
            conn.stream.write(answer.data)
        self._accept_commands(conn)

    def _accept_commands(self, conn: caller_conn.CallerConn) -> None:
        """Continue with the next command, or close the connection on drain."""
        conn.phase = ConnPhase.READY
        conn.running_bytes = 0
        self._unflushed.add(conn)
        if self._draining and not conn.in_transaction:
            conn.closing = True

    def _refuse_login(
        self, conn: caller_conn.CallerConn, error: core.CallerError
    ) -> None:
        self.log.emit(
            core.LogEvent.CALLER_REFUSED,
            session=conn.session_id,
            user=conn.user,
            why=type(error).__name__,
        )
        self._refuse(conn, error)

    def _refuse(
        self, conn: caller_conn.CallerConn, error: core.CallerError
    ) -> None:
        conn.reply_error(error)
        conn.closing = True
        conn.framer.clear()
        self._unflushed.add(conn)

    def settled(self) -> None:
        """Flush the output that the handled messages have written."""
        while self._unflushed:
            unflushed, self._unflushed = self._unflushed, set()
            for conn in unflushed:
                if conn.stream.fileno >= 0:
                    self._settle(conn)
        self._guard.settle()

    def _settle(self, conn: caller_conn.CallerConn) -> None:
        """Send buffered data, and go on with the packets that wait."""
        conn.stream.flush()
        done = conn.closing and not conn.stream.pending
        if conn.stream.closed or done:
            self._close(conn)
            return
        if conn.unreported_bytes:
            self._report_consumed(conn)
        self._run_pending(conn)
        use = conn.use()
        self._guard.update(conn.session_id, use)
        conn.stream.set_reading(not conn.closing and self._guard.may_read(use))

    def _close_for_limit(self, session_id: core.SessionId) -> None:
        self._close(self._by_session[session_id])

    @runtime.handles(caller_guard.LimitCheck)
    def _on_limit_check(self, check: caller_guard.LimitCheck) -> None:
        self._guard.check()

    def _report_consumed(self, conn: caller_conn.CallerConn) -> None:
        """Report written result bytes to the router, which sends more."""
        if conn.stream.pending > self._limits.low_water_bytes:
            return
        if conn.request_id is None:
            return
        self._guard.end_answer_part(conn.session_id)
        self.send(
            self._router,
            core.AnswerConsumed(conn.request_id, conn.unreported_bytes),
        )
        conn.unreported_bytes = 0

    def _close(self, conn: caller_conn.CallerConn) -> None:
        self._by_fileno.pop(conn.stream.fileno, None)
        self._by_session.pop(conn.session_id, None)
        self._handshakes.finish(conn.session_id)
        self._guard.forget(conn.session_id)
        if conn.request_id is not None:
            self._by_request.pop(conn.request_id, None)
        conn.stream.close()
        if conn.phase is not ConnPhase.HANDSHAKE_RESPONSE:
            self.log.emit(core.LogEvent.CALLER_CLOSED, session=conn.session_id)
            self.send(self._router, core.SessionClosed(conn.session_id))

    @runtime.handles(core.Drain)
    def _on_drain(self, drain: core.Drain) -> None:
        self._draining = True
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for conn in tuple(self._by_fileno.values()):
            if conn.phase is ConnPhase.READY and not conn.in_transaction:
                self._close(conn)
