"""Registry of password authentication methods.

A method computes the response to the server's nonce from the password.
Both ends compute it, and the server compares the two responses in
constant time.
"""

from __future__ import annotations

import hmac
import secrets
from collections.abc import Callable

from pymysql import _auth

from chicoryusher import core

__all__ = [
    'DEFAULT_METHOD',
    'METHODS',
    'NONCE_BYTES',
    'new_nonce',
    'respond',
    'verify',
]

NONCE_BYTES = 20
DEFAULT_METHOD = 'caching_sha2_password'

Method = Callable[[bytes, bytes], bytes]
METHODS: core.Registry[Method] = core.Registry('authentication method')


@METHODS.register('mysql_native_password')
def _native(password: bytes, nonce: bytes) -> bytes:
    return _auth.scramble_native_password(password, nonce)


@METHODS.register('caching_sha2_password')
def _caching_sha2(password: bytes, nonce: bytes) -> bytes:
    return _auth.scramble_caching_sha2(password, nonce)


def new_nonce() -> bytes:
    """Return a random nonce without zero bytes."""
    return bytes(1 + secrets.randbelow(126) for _ in range(NONCE_BYTES))


def respond(method: str, password: str, nonce: bytes) -> bytes:
    """Return the response to ``nonce``; UnknownName if no such method."""
    return METHODS.get(method)(password.encode(), nonce[:NONCE_BYTES])


def verify(method: str, password: str, nonce: bytes, response: bytes) -> bool:
    """Return whether ``response`` is the expected response to ``nonce``."""
    return hmac.compare_digest(respond(method, password, nonce), response)
