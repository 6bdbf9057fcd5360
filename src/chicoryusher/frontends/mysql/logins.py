"""Checks who a caller is, by its answers to the greeting."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import wire
from chicoryusher.frontends.mysql import caller_conn
from chicoryusher.frontends.mysql import frontend_settings
from chicoryusher.frontends.mysql import marks

__all__ = ['Logins']

ConnPhase = caller_conn.ConnPhase


class Logins:
    """The users of one front end, and what they must answer.

    A user that does not exist is checked against ``no_password``, and
    refused in any case.  Requests of callers that have logged in may have
    ``max_packet_bytes``.
    """

    def __init__(
        self,
        frontend: core.TaskName,
        users: tuple[frontend_settings.User, ...],
        no_password: str,
        max_packet_bytes: int,
    ) -> None:
        self._frontend = frontend
        self._users = {user.name: user for user in users}
        self._no_password = no_password
        self._max_packet_bytes = max_packet_bytes

    def handle_packet(
        self, conn: caller_conn.CallerConn, payload: bytes
    ) -> core.SessionOpened | None:
        """Handle a packet of a login.

        Return the message that asks for the session, None if another packet
        must follow.  Raises AuthError if access is denied.
        """
        if conn.phase is ConnPhase.AUTH_SWITCH_RESPONSE:
            return self._authenticate(conn, wire.DEFAULT_METHOD, payload)
        handshake = wire.parse_handshake_response(payload)
        conn.handshake = handshake
        conn.user = handshake.user
        if handshake.method not in wire.AUTH_METHODS:
            conn.phase = ConnPhase.AUTH_SWITCH_RESPONSE
            conn.reply(wire.make_auth_switch(wire.DEFAULT_METHOD, conn.nonce))
            return None
        return self._authenticate(conn, handshake.method, handshake.response)

    def _authenticate(
        self, conn: caller_conn.CallerConn, method: str, response: bytes
    ) -> core.SessionOpened:
        user = self._users.get(conn.user)
        password = user.password if user is not None else self._no_password
        is_valid = wire.verify_auth_response(
            method, password, conn.nonce, response
        )
        if user is None or not is_valid:
            raise core.AuthError(f'access denied for user {conn.user!r}')
        if method == wire.DEFAULT_METHOD:
            conn.reply(b'\x01\x03')
            conn.reply_sequence = (conn.reply_sequence + 1) % 256
        handshake = conn.handshake
        assert handshake is not None
        conn.caller = user.caller
        conn.framer.max_bytes = self._max_packet_bytes
        conn.marks = marks.marks_from_pairs(handshake.attributes)
        conn.phase = ConnPhase.AWAITING_ROUTER
        database_name = handshake.database
        conn.database = (
            core.DatabaseName(database_name) if database_name else None
        )
        return core.SessionOpened(
            conn.session_id,
            self._frontend,
            conn.caller,
            conn.database,
            conn.marks.token if conn.marks else None,
            decisions.key_of_user(core.UserName(user.name)),
        )
