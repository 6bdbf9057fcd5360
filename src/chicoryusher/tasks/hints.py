"""Reports about one instance that its gate attaches to answers.

Routers choose instances by these reports; see ``decisions.routing``.
"""

from __future__ import annotations

from chicoryusher import core

__all__ = ['Hints']

# Shortest interval between two reports to the same router.
REPORT_INTERVAL_S = 0.05


class Hints:
    """Reports of one gate, limited in rate for each router."""

    def __init__(
        self, database: core.DatabaseName, instance: core.InstanceName
    ) -> None:
        self._database = database
        self._instance = instance
        self._sent_at: dict[core.VmName, float] = {}

    def due(self, origin: core.VmName, now: float) -> bool:
        """Return whether a router should get a new report."""
        last = self._sent_at.get(origin, float('-inf'))
        return now - last >= REPORT_INTERVAL_S

    def report(
        self,
        origin: core.VmName,
        state: core.GroupState | None,
        wait: float,
        now: float,
    ) -> core.InstanceReport | None:
        """Return a report for a router, or None before the first probe."""
        if state is None:
            return None
        self._sent_at[origin] = now
        return core.InstanceReport(
            self._database,
            self._instance,
            state.own_probe.alive and not state.own_probe.leaving,
            state.apply_delay,
            wait,
            state.primary,
            state.term,
        )
