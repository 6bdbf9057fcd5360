"""A digest by which two VMs compare the leader rows that they know."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from chicoryusher import core

__all__ = ['digest_of_leaders']


def digest_of_leaders(rows: Iterable[core.LeaderRow]) -> core.SetDigest:
    """Return a number above 0 that identifies rows by group and revision."""
    known = sorted((row.service, row.revision) for row in rows)
    digest = xxhash.xxh3_64_intdigest(repr(known).encode())
    return core.SetDigest(digest or 1)
