"""How a configuration is stored: a pointer to an immutable object.

The configuration document is an object in the object store that is never
changed.  A row of the platform's table has a small pointer to it, and
the version of that row is the configuration's version.  VMs read the
pointer often, and the document only when the pointer has changed.
"""

from __future__ import annotations

import json

import xxhash

from chicoryusher import core

__all__ = [
    'decode_config_pointer',
    'encode_config_pointer',
    'config_object_key',
    'read_interval_s',
]

OBJECT_PREFIX = 'config/'
# Reads of the pointer by all VMs together.
MAX_READS_PER_S = 120.0
MIN_READ_INTERVAL_S = 1.0


def config_object_key(document: bytes) -> str:
    """Return the key of the object that holds ``document``."""
    return OBJECT_PREFIX + xxhash.xxh3_128_hexdigest(document)


def encode_config_pointer(key: str) -> bytes:
    """Return the value to store in the table for the object ``key``."""
    return json.dumps({'object': key}).encode()


def decode_config_pointer(value: bytes) -> str:
    """Return the key of the object that a stored pointer names.

    Raise ConfigError if the value is not a pointer.
    """
    try:
        return str(json.loads(value)['object'])
    except (KeyError, TypeError, ValueError) as exc:
        raise core.ConfigError('$', 'not a pointer to an object') from exc


def read_interval_s(vms: int) -> float:
    """Return the seconds between two reads of the pointer by one VM."""
    return max(MIN_READ_INTERVAL_S, vms / MAX_READS_PER_S)
