"""Connection phase of the MySQL protocol, both ends."""

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
    'CallerHello',
    'ServerGreeting',
    'auth_switch',
    'make_error',
    'make_greeting',
    'make_hello',
    'make_ok',
    'parse_greeting',
    'parse_hello',
]

_CAP = types.Capabilities
CALLER_CAPABILITIES = (
    _CAP.CLIENT_PROTOCOL_41
    | _CAP.CLIENT_LONG_PASSWORD
    | _CAP.CLIENT_FOUND_ROWS
    | _CAP.CLIENT_LONG_FLAG
    | _CAP.CLIENT_CONNECT_WITH_DB
    | _CAP.CLIENT_TRANSACTIONS
    | _CAP.CLIENT_SECURE_CONNECTION
    | _CAP.CLIENT_PLUGIN_AUTH
    | _CAP.CLIENT_CONNECT_ATTRS
    | _CAP.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA
)
BACKEND_CAPABILITIES = (
    CALLER_CAPABILITIES & ~(_CAP.CLIENT_CONNECT_ATTRS | _CAP.CLIENT_FOUND_ROWS)
    | _CAP.CLIENT_SESSION_TRACK
)
SERVER_VERSION = '8.4.0-chicoryusher'
MAX_PACKET_BYTES = 1 << 30
UTF8MB4 = 45
# Bytes of a handshake response before the user's name.
MAX_SIZE_BYTES = 4
CHARSET_BYTES = 1
FILLER_BYTES = 23
# A length-encoded NULL.
NULL = b'\xfb'
_STATUS = types.ServerStatus


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHello:
    """What a caller's handshake response says."""

    user: str
    response: bytes
    method: str
    database: str | None
    attributes: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerGreeting:
    """What a server's first packet says."""

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
        status_flags=_STATUS.SERVER_STATUS_AUTOCOMMIT,
        auth_plugin_name=auth.DEFAULT_METHOD,
    )


def parse_hello(
    payload: bytes, capabilities: types.Capabilities = CALLER_CAPABILITIES
) -> CallerHello:
    """Decode a handshake response; MalformedPacket if it can't be."""
    packet = protocol.MysqlPacket(payload, 'utf8')
    try:
        return _read_hello(packet, capabilities)
    except (AssertionError, LookupError, ValueError, struct.error) as exc:
        raise core.MalformedPacket('handshake response') from exc


def _read_hello(
    packet: protocol.MysqlPacket, capabilities: types.Capabilities
) -> CallerHello:
    """Read the fields in their order; each read checks its bounds."""
    flags = _CAP(packet.read_uint32()) & capabilities
    if _CAP.CLIENT_PROTOCOL_41 not in flags:
        raise ValueError('protocol 4.1 is required')
    packet.read(MAX_SIZE_BYTES + CHARSET_BYTES + FILLER_BYTES)
    user = _read_text(packet)
    response = _read_response(packet, flags)
    database, method = '', ''
    if _CAP.CLIENT_CONNECT_WITH_DB in flags:
        database = _read_text(packet)
    if _CAP.CLIENT_PLUGIN_AUTH in flags:
        method = _read_text(packet)
    attributes: tuple[tuple[str, str], ...] = ()
    if _CAP.CLIENT_CONNECT_ATTRS in flags:
        attributes = _read_attributes(packet)
    return CallerHello(
        user,
        response,
        method or 'mysql_native_password',
        database or None,
        attributes,
    )


def _read_text(packet: protocol.MysqlPacket) -> str:
    found = packet.read_string()
    if found is None:
        raise ValueError('a text is not terminated')
    return found.decode()


def _read_response(
    packet: protocol.MysqlPacket, flags: types.Capabilities
) -> bytes:
    if _CAP.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA in flags:
        return packet.read_length_coded_string() or b''
    if _CAP.CLIENT_SECURE_CONNECTION in flags:
        return packet.read(packet.read_uint8())
    return packet.read_string() or b''


def _read_attributes(
    packet: protocol.MysqlPacket,
) -> tuple[tuple[str, str], ...]:
    """Read pairs up to the end, which a NULL is put behind."""
    size = packet.read_length_encoded_integer()
    if size is None:
        raise ValueError('attributes without a size')
    part = protocol.MysqlPacket(packet.read(size) + NULL, 'utf8')
    found = []
    while (key := part.read_length_coded_string()) is not None:
        value = part.read_length_coded_string() or b''
        found.append((key.decode(), value.decode()))
    return tuple(sorted(found))


def parse_greeting(payload: bytes) -> ServerGreeting:
    """Decode a server's first packet; ProtocolError if it refuses."""
    packet = protocol.MysqlPacket(payload, 'utf8')
    if packet.read_uint8() != 10:
        raise core.ProtocolError('the server does not greet in version 10')
    packet.read_string()
    connection_id = packet.read_uint32()
    head = packet.read(8)
    packet.advance(1 + 2 + 1 + 2 + 2)
    size = packet.read_uint8()
    packet.advance(10)
    rest = packet.read(max(13, size - 8))
    method = (packet.read_string() or b'').decode()
    nonce = (head + rest)[: auth.NONCE_BYTES]
    return ServerGreeting(connection_id, nonce, method)


def make_hello(
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
            types.uint_1(UTF8MB4),
            types.str_fixed(23, b''),
            types.str_null(user.encode()),
            types.str_len(response),
            types.str_null(database.encode()),
            types.str_null(method.encode()),
        )
    )


def auth_switch(method: str, nonce: bytes) -> bytes:
    """Return the payload that asks for another method."""
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
    status = _STATUS(0)
    if autocommit:
        status |= _STATUS.SERVER_STATUS_AUTOCOMMIT
    if in_transaction:
        status |= _STATUS.SERVER_STATUS_IN_TRANS
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
