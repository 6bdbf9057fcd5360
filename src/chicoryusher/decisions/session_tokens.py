"""Signed tokens that carry a session's log positions.

A token has, for each database that the session wrote to, the position of
its last write.  It is signed, so that a caller cannot forge one.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import struct

from chicoryusher import core

__all__ = ['TokenCodec']

SIGNATURE_BYTES = 12
TOKEN_VERSION = 1
MAX_TOKEN_CHARS = 4096
_HEADER = struct.Struct('<BB')
_ENTRY = struct.Struct('<BIQ')


class TokenCodec:
    """Encode tokens with a secret key, and decode and verify tokens.

    Tokens that were signed with one of ``old_keys`` are accepted too.
    """

    def __init__(self, key: bytes, old_keys: tuple[bytes, ...] = ()) -> None:
        self._key = key
        self._keys = (key, *old_keys)

    def encode(self, positions: dict[core.DatabaseName, core.Position]) -> str:
        """Return a URL-safe token for ``positions``."""
        parts = [_HEADER.pack(TOKEN_VERSION, len(positions))]
        for name, position in sorted(positions.items()):
            encoded = name.encode()
            parts.append(
                _ENTRY.pack(len(encoded), position.term, position.offset)
            )
            parts.append(encoded)
        body = b''.join(parts)
        signed = self._sign(self._key, body) + body
        return base64.urlsafe_b64encode(signed).rstrip(b'=').decode()

    def decode(self, token: str) -> dict[core.DatabaseName, core.Position]:
        """Return a token's positions; raise TokenError if it is invalid."""
        if len(token) > MAX_TOKEN_CHARS:
            raise core.TokenError('the token is too long')
        try:
            padded = token + '=' * (-len(token) % 4)
            signed = base64.urlsafe_b64decode(padded.encode('ascii'))
        except (binascii.Error, UnicodeEncodeError, ValueError):
            raise core.TokenError('the token cannot be decoded') from None
        signature, body = signed[:SIGNATURE_BYTES], signed[SIGNATURE_BYTES:]
        matches = [
            hmac.compare_digest(signature, self._sign(key, body))
            for key in self._keys
        ]
        if not any(matches):
            raise core.TokenError('the signature of the token is wrong')
        try:
            return _parse(body)
        except (struct.error, UnicodeDecodeError, ValueError):
            raise core.TokenError('the token is malformed') from None

    @staticmethod
    def _sign(key: bytes, body: bytes) -> bytes:
        digest = hmac.new(key, body, hashlib.sha256).digest()
        return digest[:SIGNATURE_BYTES]


def _parse(body: bytes) -> dict[core.DatabaseName, core.Position]:
    """Return the positions in a token's body, after its signature."""
    version, count = _HEADER.unpack_from(body)
    if version != TOKEN_VERSION:
        raise core.TokenError(f'token version {version} is not known')
    index = _HEADER.size
    positions = {}
    for _ in range(count):
        size, term, offset = _ENTRY.unpack_from(body, index)
        index += _ENTRY.size
        name = core.DatabaseName(body[index : index + size].decode())
        index += size
        positions[name] = core.Position(
            core.Term(term), core.LogPosition(offset)
        )
    return positions
