"""Revisions: an era of the store and a version, packed into one integer.

A store that comes back from an older copy gives versions out again, in a new
era.  Revisions are ordered by the era first, so they stay ordered over that.
A revision of the first era is the plain version.
"""

from __future__ import annotations

from typing import NewType

from chicoryusher.core import errors

__all__ = [
    'FIRST_ERA',
    'MAX_ERA',
    'MAX_VERSION',
    'StoreEra',
    'era_of',
    'revision_in',
    'version_of',
]

StoreEra = NewType('StoreEra', int)

VERSION_BITS = 40
# Peers encode revisions as msgpack integers, which have 64 bits with a sign.
REVISION_BITS = 62
FIRST_ERA = StoreEra(1)
MAX_ERA = StoreEra(1 << (REVISION_BITS - VERSION_BITS))
MAX_VERSION = (1 << VERSION_BITS) - 1


def revision_in(era: StoreEra, version: int) -> int:
    """Return the revision of a version that the store gave in ``era``.

    An era below 1, as of a store that names none, counts as the first.
    Raises RevisionOutOfRange if the era is above MAX_ERA, or the version is
    negative or above MAX_VERSION.
    """
    if era > MAX_ERA or not 0 <= version <= MAX_VERSION:
        raise errors.RevisionOutOfRange(era, version)
    return (max(era, FIRST_ERA) - 1) << VERSION_BITS | version


def era_of(revision: int) -> StoreEra:
    """Return the era of a revision."""
    return StoreEra((revision >> VERSION_BITS) + 1)


def version_of(revision: int) -> int:
    """Return the version that the store gave in the era of a revision."""
    return revision & MAX_VERSION
