"""Opens an instance pool's connections, within the share of its VM."""

from __future__ import annotations

from collections.abc import Iterable

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.connections import pool_conns

__all__ = ['ConnOpener']

# Pause in opening connections after one could not be opened.
CONNECT_PAUSE_S = 0.3
# Idle time after which a connection above this VM's share is closed.
SURPLUS_IDLE_S = 1.5


class ConnOpener:
    """Open and close the connections of the pool ``host``.

    ``share`` is how many connections the VM may have to the instance.
    """

    def __init__(
        self,
        host: runtime.Task,
        entry: core.InstanceEntry,
        conns: pool_conns.PoolConns,
    ) -> None:
        self._host = host
        self._name = entry.name
        self._link = names.pool_link(host.vm, entry)
        self._conns = conns
        self._paused_until = 0.0
        self.share = decisions.ConnShare(1, 1)

    @property
    def has_surplus(self) -> bool:
        """Return whether there are more connections than are kept open."""
        return len(self._conns) > self.share.kept_open

    def is_paused(self, now: float) -> bool:
        """Return whether no connection is opened at the moment."""
        return now < self._paused_until

    def pause(self, now: float) -> None:
        """Open none for a while, since one could not be opened."""
        self._paused_until = now + CONNECT_PAUSE_S

    def open_for_queue(
        self,
        queued: Iterable[core.TeamName | None],
        at_once: int,
        now: float,
    ) -> None:
        """Open a connection for each queued work, up to this VM's limit.

        ``queued`` has the team of each piece of work.  No more than
        ``at_once`` connections are being opened together.
        """
        if self.is_paused(now):
            return
        connecting = self._conns.connecting_teams()
        held_back: set[core.TeamName | None] = set()
        if self._is_full:
            if not self._conns.idle():
                return
            queued = tuple(queued)
            teams = self._team_conns(set(queued), now)
            held_back = {
                team
                for team in set(queued)
                if teams.to_close_for(team) is None
            }
        wanted = decisions.conns_to_open(
            queued, connecting, at_once - len(connecting), held_back
        )
        for team in wanted:
            if self._is_full:
                teams = self._team_conns(set(wanted), now)
                if not self._make_way(teams.to_close_for(team)):
                    continue
            self.open(now, team)

    def open_for_new_teams(
        self,
        queued: Iterable[core.TeamName | None],
        at_once: int,
        now: float,
    ) -> None:
        """Open connections for teams that have none, where no more may be.

        The idle connections of teams with more than their part make way,
        although their own work waits as well.
        """
        if self.is_paused(now) or not self._is_full:
            return
        if all(conn.team is None for conn in self._conns.all()):
            return
        queued = tuple(queued)
        teams = self._team_conns(set(queued), now)
        room = at_once - len(self._conns.connecting_teams())
        for team in teams.without_conn(queued)[: max(0, room)]:
            teams = self._team_conns(set(queued), now)
            if not self._make_way(teams.surplus_for(team)):
                return
            self.open(now, team)

    @property
    def _is_full(self) -> bool:
        return len(self._conns) >= self.share.max_open

    def _team_conns(
        self, queued: set[core.TeamName | None], now: float
    ) -> decisions.TeamConns:
        idle = core.ConnState.IDLE
        conns = [
            decisions.TeamConn(
                conn.conn_id,
                conn.team,
                conn.idle_since if conn.state is idle else None,
            )
            for conn in self._conns.all()
        ]
        return decisions.TeamConns(conns, queued, now)

    def _make_way(self, idle: decisions.TeamConn | None) -> bool:
        """Close an idle connection; return whether there was one."""
        if idle is None:
            return False
        conn = self._conns.find(idle.conn_id)
        assert conn is not None
        self._close_idle(conn)
        return True

    def open(self, now: float, team: core.TeamName | None = None) -> None:
        """Open a connection, for a team if any."""
        conn = self._conns.add(now, team)
        self._host.send(self._link, core.OpenLink(conn.conn_id, team))
        opened = core.Metric.CONNECTIONS_OPENED
        self._host.meters.add(opened, instance=self._name)
        self.show_connections()

    def show_connections(self) -> None:
        """Update the gauge of connections."""
        metric = core.Metric.CONNECTIONS
        self._host.meters.show(metric, len(self._conns), instance=self._name)

    def close_surplus(self, now: float) -> None:
        """Close connections above the share that were idle for long."""
        surplus = len(self._conns) - self.share.kept_open
        for conn in self._conns.idle():
            if surplus <= 0:
                return
            if now - conn.idle_since >= SURPLUS_IDLE_S:
                self._close_idle(conn)
                surplus -= 1

    def _close_idle(self, conn: pool_conns.PoolConn) -> None:
        self._host.send(self._link, core.CloseLink(conn.conn_id))
        self._conns.remove(conn)
        self.show_connections()
