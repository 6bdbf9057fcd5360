"""For which teams connections to an instance are opened and closed.

A connection belongs to one team for its life, so each team whose work waits
needs one of its own.  Where no more may be opened, another team's idle one is
closed for it.  A team that has its part of the connections waits for one of
its own instead.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Collection
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Set

from chicoryusher import core

__all__ = ['TeamConn', 'TeamConns', 'conns_to_open']

# Seconds after its last use for which a team's connection counts as in use.
TEAM_IN_USE_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class TeamConn:
    """A connection of a team; ``idle_since`` is None while it is in use."""

    conn_id: core.ConnId
    team: core.TeamName | None
    idle_since: float | None


def conns_to_open(
    queued: Iterable[core.TeamName | None],
    connecting: Iterable[core.TeamName | None],
    most: int,
    held_back: Container[core.TeamName | None] = (),
) -> list[core.TeamName | None]:
    """Return the teams to open connections for, in the order of the queue.

    ``queued`` has the team of each piece of work that waits, ``connecting``
    that of each connection that is being opened; ``most`` limits the result.
    Nothing is opened for the teams ``held_back``.
    """
    coming = collections.Counter(connecting)
    wanted: list[core.TeamName | None] = []
    for team in queued:
        if len(wanted) >= most:
            break
        if coming[team] > 0:
            coming[team] -= 1
        elif team not in held_back:
            wanted.append(team)
    return wanted


class TeamConns:
    """The connections of a VM to one instance, to which no more may be added.

    ``queued`` are the teams whose work waits.  The part of each team is that
    of the teams that use the instance now: their work waits or runs, or did a
    moment ago.
    """

    def __init__(
        self,
        conns: Collection[TeamConn],
        queued: Set[core.TeamName | None],
        now: float,
    ) -> None:
        self._held = collections.Counter(conn.team for conn in conns)
        self._idle = sorted(
            (conn for conn in conns if conn.idle_since is not None),
            key=lambda conn: conn.idle_since or 0.0,
        )
        self._in_use = queued | {
            conn.team
            for conn in conns
            if conn.idle_since is None or now - conn.idle_since < TEAM_IN_USE_S
        }
        self._part = max(1, len(conns) // max(1, len(self._in_use)))

    def without_conn(
        self, queued: Iterable[core.TeamName | None]
    ) -> list[core.TeamName | None]:
        """Return each team of ``queued`` that has no connection."""
        return [team for team in dict.fromkeys(queued) if not self._held[team]]

    def to_close_for(self, team: core.TeamName | None) -> TeamConn | None:
        """Return the idle connection to close for a team, None for none.

        It is the one that was idle longest: of a team that does not use the
        instance or has more than its part, else of any other.
        """
        others = [conn for conn in self._idle if conn.team != team]
        unused = [conn for conn in others if conn.team not in self._in_use]
        if unused or self._held[team] >= self._part:
            return next(iter(unused), None)
        return self.surplus_for(team) or next(iter(others), None)

    def surplus_for(self, team: core.TeamName | None) -> TeamConn | None:
        """Return an idle connection of another team above its part."""
        for conn in self._idle:
            if conn.team != team and self._held[conn.team] > self._part:
                return conn
        return None
