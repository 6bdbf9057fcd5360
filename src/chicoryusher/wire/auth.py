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
    'AUTH_METHODS',
    'NONCE_BYTES',
    'new_nonce',
    'make_auth_response',
    'verify_auth_response',
]

NONCE_BYTES = 20
DEFAULT_METHOD = 'caching_sha2_password'

Method = Callable[[bytes, bytes], bytes]
AUTH_METHODS: core.Registry[Method] = core.Registry('authentication method')


@AUTH_METHODS.register('mysql_native_password')
def _native(password: bytes, nonce: bytes) -> bytes:
    return _auth.scramble_native_password(password, nonce)


@AUTH_METHODS.register('caching_sha2_password')
def _caching_sha2(password: bytes, nonce: bytes) -> bytes:
    return _auth.scramble_caching_sha2(password, nonce)


def new_nonce() -> bytes:
    """Return a random nonce without zero bytes."""
    return bytes(1 + secrets.randbelow(126) for _ in range(NONCE_BYTES))


def make_auth_response(method: str, password: str, nonce: bytes) -> bytes:
    """Return the response to ``nonce``; UnknownName if no such method."""
    return AUTH_METHODS.get(method)(password.encode(), nonce[:NONCE_BYTES])


def verify_auth_response(
    method: str, password: str, nonce: bytes, response: bytes
) -> bool:
    """Return whether ``response`` is the expected response to ``nonce``."""
    return hmac.compare_digest(
        make_auth_response(method, password, nonce), response
    )
