"""The pace of an instance pool, as its log and its metrics show it."""

from __future__ import annotations

from collections.abc import Iterable

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks.pool.connections import conn_opening
from chicoryusher.tasks.pool.connections import pool_conns

__all__ = ['PoolPace']

# Work is given back at once if its expected wait is longer than the time
# that it has left by this ratio: what waits may go faster than expected.
WAIT_MARGIN_RATIO = 1.5


class PoolPace:
    """Limits what the pool ``host`` runs at its instance at once."""

    def __init__(
        self,
        host: runtime.Task,
        entry: core.InstanceEntry,
        policy: core.LoadPolicy,
        conns: pool_conns.PoolConns,
        opener: conn_opening.ConnOpener,
    ) -> None:
        self._host = host
        self._name = entry.name
        self._policy = policy
        self._pace = decisions.PACES.get(policy)(entry.slots)
        self._conns = conns
        self._opener = opener
        self._shown_limit = 0

    @property
    def _running(self) -> int:
        now = self._host.now()
        return sum(
            not self._pace.is_overdue(now - conn.sent_at)
            for conn in self._conns.awaiting_reply()
        )

    @property
    def _most(self) -> int:
        return self._opener.share.max_open

    def allows_start(self) -> bool:
        """Return whether another statement may start now."""
        return self._pace.allows(self._running, self._most)

    def open_for_queue(
        self, queued: Iterable[core.TeamName | None], now: float
    ) -> None:
        """Open connections for queued work that has none.

        While the pace holds work back, a team that has a connection needs no
        more of them.
        """
        if not self.allows_start():
            teams = {conn.team for conn in self._conns.all()}
            queued = (team for team in queued if team not in teams)
        at_once = self._pace.connecting_limit(self._running, self._most)
        self._opener.open_for_queue(queued, at_once, now)

    def open_for_new_teams(
        self, queued: Iterable[core.TeamName | None], now: float
    ) -> None:
        """Open connections for queued work of teams that have none."""
        at_once = self._pace.connecting_limit(self._running, self._most)
        self._opener.open_for_new_teams(queued, at_once, now)

    def known_wait(
        self, work: core.Work, ahead: int, ended: core.Completion
    ) -> float:
        """Return the seconds that work like ``work`` waits now.

        Work that was not started has waited for so long already.
        """
        wait = self.expected_wait(ahead)
        if ended is core.Completion.NOT_STARTED:
            wait = max(wait, self._host.now() - work.enqueued_at)
        return wait

    def expected_wait(self, ahead: int) -> float:
        """Return the seconds that new work waits behind ``ahead`` others."""
        return self._pace.expected_wait(ahead, self._running, self._most)

    def starts_too_late(self, work: core.Work, ahead: int) -> bool:
        """Return whether new work would start after its latest start."""
        wait = self.expected_wait(ahead)
        time_left = work.start_deadline - self._host.now()
        return wait > 0.0 and wait > WAIT_MARGIN_RATIO * time_left

    def restart(self, why: str) -> None:
        """Start low again."""
        if self._policy is core.LoadPolicy.PLAIN:
            return
        limit = self._pace.limit(self._most)
        self._pace.restart()
        if limit > self._pace.limit(self._most):
            self._host.log.emit(
                core.LogEvent.PACE_RESTARTED,
                instance=self._name,
                why=why,
                before=limit,
            )
        self._show()

    def record_answer(
        self, seconds: float, refusal: core.Refusal | None
    ) -> None:
        """Record an answer ``seconds`` after its statement was sent.

        Other refusals than BUSY say nothing about the instance's load.
        """
        now = self._host.now()
        if refusal is None:
            running = self._running + 1
            self._pace.record_success(seconds, running, self._most, now)
        elif refusal is core.Refusal.BUSY:
            self._pace.record_refusal(now)
        self._show()

    def record_timeout(self, seconds: float) -> None:
        """Record that a statement was given up after so many seconds."""
        self._pace.record_timeout(seconds, self._host.now())
        self._show()

    def _show(self) -> None:
        if self._policy is core.LoadPolicy.PLAIN:
            return
        limit = self._pace.limit(self._most)
        if limit == self._shown_limit:
            return
        self._shown_limit = limit
        self._host.meters.show(
            core.Metric.PACE, float(limit), instance=self._name
        )
