"""Reports on the lease of this VM, to its tasks and to operators."""

from __future__ import annotations

import math

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime

__all__ = ['LeaseReports']


class LeaseReports:
    """Tells the tasks that use primaries until when this VM may use them.

    ``users`` are these tasks.  ``leaders_view`` is the view of the leader
    rows, whose age gives the lease.
    """

    def __init__(
        self,
        exchange: runtime.Task,
        clock: core.Clock,
        leaders_view: decisions.PrimaryLease,
        users: tuple[core.TaskName, ...],
    ) -> None:
        self._exchange = exchange
        self._clock = clock
        self._view = leaders_view
        self._users = users
        self._had_lease = False

    def send(self) -> None:
        """Send the end of the lease to the tasks that use it."""
        until = self._view.expires_at()
        self._send(until)
        valid = self._clock.boottime() < until
        if valid and not self._had_lease:
            self._had_lease = True
            self._exchange.log.emit(core.LogEvent.LEASE_REGAINED)

    def send_end(self) -> None:
        """Have the tasks stop to use primaries at once."""
        self._send(float('-inf'))

    def _send(self, until: float) -> None:
        for user in self._users:
            self._exchange.send(user, core.PrimaryLeaseUpdate(until))

    def show(self) -> None:
        """Show the remaining lease time; log once when it has expired."""
        boot_now = self._clock.boottime()
        seconds_left = self._view.expires_at() - boot_now
        if math.isfinite(seconds_left):
            self._exchange.meters.show(
                core.Metric.AUTHORITY_LEFT, seconds_left
            )
        if self._had_lease and seconds_left <= 0.0:
            self._had_lease = False
            self._exchange.log.emit(
                core.LogEvent.LEASE_EXPIRED,
                age=round(self._view.age(boot_now), 3),
            )
