"""Connection phase of the MySQL protocol, for both ends.

The server sends a greeting with a nonce, and the client answers with a
handshake response.
"""

from __future__ import annotations

import dataclasses
import struct

from mysql_mimic import charset
from mysql_mimic import packets
from mysql_mimic import types
from pymysql import protocol

from chicoryusher import core
from chicoryusher.wire import auth

__all__ = [
    'BACKEND_CAPABILITIES',
    'CALLER_CAPABILITIES',
    'HandshakeResponse',
    'ServerGreeting',
    'make_auth_switch',
    'make_error',
    'make_greeting',
    'make_handshake_response',
    'make_ok',
    'parse_greeting',
    'parse_handshake_response',
]

_Capabilities = types.Capabilities
CALLER_CAPABILITIES = (
    _Capabilities.CLIENT_PROTOCOL_41
    | _Capabilities.CLIENT_LONG_PASSWORD
    | _Capabilities.CLIENT_FOUND_ROWS
    | _Capabilities.CLIENT_LONG_FLAG
    | _Capabilities.CLIENT_CONNECT_WITH_DB
    | _Capabilities.CLIENT_TRANSACTIONS
    | _Capabilities.CLIENT_SECURE_CONNECTION
    | _Capabilities.CLIENT_PLUGIN_AUTH
    | _Capabilities.CLIENT_CONNECT_ATTRS
    | _Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA
)
BACKEND_CAPABILITIES = (
    CALLER_CAPABILITIES
    & ~(_Capabilities.CLIENT_CONNECT_ATTRS | _Capabilities.CLIENT_FOUND_ROWS)
    | _Capabilities.CLIENT_SESSION_TRACK
)
SERVER_VERSION = '8.4.0-chicoryusher'
MAX_PACKET_BYTES = 1 << 30
UTF8MB4_COLLATION_ID = 45
# Sizes of the fields of a handshake response between flags and user name.
MAX_PACKET_FIELD_BYTES = 4
CHARSET_FIELD_BYTES = 1
FILLER_FIELD_BYTES = 23
# A NULL in place of a length-encoded string.
NULL_STRING = b'\xfb'
_Status = types.ServerStatus


@dataclasses.dataclass(frozen=True, slots=True)
class HandshakeResponse:
    """Contents of a caller's handshake response.

    ``response`` is the response to the nonce by the authentication
    ``method``, ``attributes`` are the connection attributes.
    """

    user: str
    response: bytes
    method: str
    database: str | None
    attributes: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerGreeting:
    """Contents of a server's first packet."""

    connection_id: int
    nonce: bytes
    method: str


def make_greeting(
    connection_id: int,
    nonce: bytes,
    capabilities: types.Capabilities = CALLER_CAPABILITIES,
) -> bytes:
    """Return the payload of the server's first packet."""
    return packets.make_handshake_v10(
        capabilities=capabilities,
        server_charset=charset.CharacterSet.utf8mb4,
        server_version=SERVER_VERSION,
        connection_id=connection_id,
        auth_data=nonce + b'\0',
        status_flags=_Status.SERVER_STATUS_AUTOCOMMIT,
        auth_plugin_name=auth.DEFAULT_METHOD,
    )


def parse_handshake_response(
    payload: bytes, capabilities: types.Capabilities = CALLER_CAPABILITIES
) -> HandshakeResponse:
    """Decode a handshake response; raise MalformedPacket if malformed."""
    packet = protocol.MysqlPacket(payload, 'utf8')
    try:
        return _read_hello(packet, capabilities)
    except (AssertionError, LookupError, ValueError, struct.error) as exc:
        raise core.MalformedPacket('handshake response') from exc


def _read_hello(
    packet: protocol.MysqlPacket, capabilities: types.Capabilities
) -> HandshakeResponse:
    """Decode the fields in their order; each read checks the bounds."""
    flags = _Capabilities(packet.read_uint32()) & capabilities
    if _Capabilities.CLIENT_PROTOCOL_41 not in flags:
        raise ValueError('protocol 4.1 is required')
    packet.read(
        MAX_PACKET_FIELD_BYTES + CHARSET_FIELD_BYTES + FILLER_FIELD_BYTES
    )
    user = _read_text(packet)
    response = _read_response(packet, flags)
    database, method = '', ''
    if _Capabilities.CLIENT_CONNECT_WITH_DB in flags:
        database = _read_text(packet)
    if _Capabilities.CLIENT_PLUGIN_AUTH in flags:
        method = _read_text(packet)
    attributes: tuple[tuple[str, str], ...] = ()
    if _Capabilities.CLIENT_CONNECT_ATTRS in flags:
        attributes = _read_attributes(packet)
    return HandshakeResponse(
        user,
        response,
        method or 'mysql_native_password',
        database or None,
        attributes,
    )


def _read_text(packet: protocol.MysqlPacket) -> str:
    text = packet.read_string()
    if text is None:
        raise ValueError('a string is not terminated by a zero byte')
    return text.decode()


def _read_response(
    packet: protocol.MysqlPacket, flags: types.Capabilities
) -> bytes:
    if _Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA in flags:
        return packet.read_length_coded_string() or b''
    if _Capabilities.CLIENT_SECURE_CONNECTION in flags:
        return packet.read(packet.read_uint8())
    return packet.read_string() or b''


def _read_attributes(
    packet: protocol.MysqlPacket,
) -> tuple[tuple[str, str], ...]:
    """Decode the connection attributes, which are key and value pairs.

    A NULL is appended to the pairs, so that reading a key at their end
    returns None.
    """
    size = packet.read_length_encoded_integer()
    if size is None:
        raise ValueError('connection attributes without a size')
    attributes = protocol.MysqlPacket(packet.read(size) + NULL_STRING, 'utf8')
    pairs = []
    while (key := attributes.read_length_coded_string()) is not None:
        value = attributes.read_length_coded_string() or b''
        pairs.append((key.decode(), value.decode()))
    return tuple(sorted(pairs))


def parse_greeting(payload: bytes) -> ServerGreeting:
    """Decode a server's first packet; ProtocolError if not version 10."""
    packet = protocol.MysqlPacket(payload, 'utf8')
    if packet.read_uint8() != 10:
        raise core.ProtocolError(
            'the server does not use handshake version 10'
        )
    packet.read_string()
    connection_id = packet.read_uint32()
    nonce_start = packet.read(8)
    # Filler, capabilities, character set, status flags, capabilities.
    packet.advance(1 + 2 + 1 + 2 + 2)
    size = packet.read_uint8()
    packet.advance(10)
    nonce_end = packet.read(max(13, size - 8))
    method = (packet.read_string() or b'').decode()
    nonce = (nonce_start + nonce_end)[: auth.NONCE_BYTES]
    return ServerGreeting(connection_id, nonce, method)


def make_handshake_response(
    user: str,
    method: str,
    response: bytes,
    database: str,
    capabilities: types.Capabilities = BACKEND_CAPABILITIES,
) -> bytes:
    """Return the payload of a client's handshake response."""
    return b''.join(
        (
            types.uint_4(capabilities),
            types.uint_4(MAX_PACKET_BYTES),
            types.uint_1(UTF8MB4_COLLATION_ID),
            types.str_fixed(23, b''),
            types.str_null(user.encode()),
            types.str_len(response),
            types.str_null(database.encode()),
            types.str_null(method.encode()),
        )
    )


def make_auth_switch(method: str, nonce: bytes) -> bytes:
    """Return the payload that requests another authentication method."""
    return packets.make_auth_switch_request(
        charset.CharacterSet.utf8mb4, method, nonce + b'\0'
    )


def make_ok(
    in_transaction: bool = False,
    autocommit: bool = True,
    affected_rows: int = 0,
    last_insert_id: int = 0,
) -> bytes:
    """Return the payload of an OK packet."""
    status = _Status(0)
    if autocommit:
        status |= _Status.SERVER_STATUS_AUTOCOMMIT
    if in_transaction:
        status |= _Status.SERVER_STATUS_IN_TRANS
    return packets.make_ok(
        CALLER_CAPABILITIES,
        status,
        affected_rows=affected_rows,
        last_insert_id=last_insert_id,
    )


def make_error(code: int, sqlstate: str, text: str) -> bytes:
    """Return the payload of an error packet."""
    return b''.join(
        (
            types.uint_1(0xFF),
            types.uint_2(code),
            b'#',
            types.str_fixed(5, sqlstate.encode()),
            text.encode(),
        )
    )
