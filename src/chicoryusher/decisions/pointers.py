"""How a configuration stands in the platform: a pointer to an object.

The document is an object that is never changed; the table holds a small
pointer to it, and the pointer's version is the configuration's.  Nodes
read the pointer often and the document only when it is a new one.
"""

from __future__ import annotations

import json

import xxhash

from chicoryusher import core

__all__ = ['decode_pointer', 'encode_pointer', 'object_key']

OBJECT_PREFIX = 'config/'


def object_key(document: bytes) -> str:
    """Return the key of the object that holds ``document``."""
    return OBJECT_PREFIX + xxhash.xxh3_128_hexdigest(document)


def encode_pointer(key: str) -> bytes:
    """Return the table's value for a pointer to ``key``."""
    return json.dumps({'object': key}).encode()


def decode_pointer(value: bytes) -> str:
    """Return the object's key; ConfigError if it is no pointer."""
    try:
        return str(json.loads(value)['object'])
    except (KeyError, TypeError, ValueError) as exc:
        raise core.ConfigError('$', 'not a pointer to an object') from exc
