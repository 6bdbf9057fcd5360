"""Hints about one instance that its gate attaches to answers."""

from __future__ import annotations

from chicoryusher import core

__all__ = ['Hints']

HINT_INTERVAL = 0.05


class Hints:
    """Reports for routers, not more often than they are of use."""

    def __init__(
        self, database: core.DatabaseName, instance: core.InstanceName
    ) -> None:
        self._database = database
        self._instance = instance
        self._sent_at: dict[core.VmName, float] = {}

    def due(self, origin: core.VmName, now: float) -> bool:
        """Tell whether a router's last hint is old enough."""
        last = self._sent_at.get(origin, float('-inf'))
        return now - last >= HINT_INTERVAL

    def report(
        self,
        origin: core.VmName,
        state: core.GroupState | None,
        wait: float,
        now: float,
    ) -> core.InstanceReport | None:
        """Return a hint for a router, or None before the first probe."""
        if state is None:
            return None
        self._sent_at[origin] = now
        return core.InstanceReport(
            self._database,
            self._instance,
            state.own.alive and not state.own.leaving,
            state.apply_delay,
            wait,
            state.primary,
            state.term,
        )
