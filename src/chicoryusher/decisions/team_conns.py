"""For which teams connections to an instance are opened.

A connection belongs to one team for its life, so each team whose work waits
needs one of its own.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

from chicoryusher import core

__all__ = ['conns_to_open']


def conns_to_open(
    queued: Iterable[core.TeamName | None],
    connecting: Iterable[core.TeamName | None],
    most: int,
) -> list[core.TeamName | None]:
    """Return the teams to open connections for, in the order of the queue.

    ``queued`` has the team of each piece of work that waits, ``connecting``
    that of each connection that is being opened; ``most`` limits the result.
    """
    coming = collections.Counter(connecting)
    wanted: list[core.TeamName | None] = []
    for team in queued:
        if len(wanted) >= most:
            break
        if coming[team] > 0:
            coming[team] -= 1
        else:
            wanted.append(team)
    return wanted
