"""Reports on the state of one group, to its gates and to operators."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import group_probes
from chicoryusher.tasks import names

__all__ = ['GroupReports']

# Time for which a majority that was seen in the term counts as present.
MAJORITY_LIFETIME_S = 3.0


class GroupReports:
    """What a monitor knows of its group, in the form that others get it."""

    def __init__(
        self,
        monitor: runtime.Task,
        database: core.DatabaseName,
        health: decisions.GroupHealth,
        freshness: decisions.StalenessBounds,
        probes: group_probes.GroupProbes,
    ) -> None:
        self._monitor = monitor
        self._database = database
        self._health = health
        self._freshness = freshness
        self._probes = probes

    def send(
        self, name: core.InstanceName, now: float, has_primary: bool
    ) -> None:
        """Send the state of the group to the gate of an instance.

        ``has_primary`` is unset while the primary is suspected or replaced.
        """
        probe_state = self._probes.last(name)
        if probe_state is None:
            return
        own_probe = self._health.last_answer(name)
        if own_probe is None:
            own_probe = core.ProbeAnswer(name, probe_state.sequence, False)
        elif self._health.is_unreachable(name, now):
            own_probe = dataclasses.replace(own_probe, alive=False)
        began_at = probe_state.began_at
        delay = 0.0
        if name == self._health.primary:
            lag = max(0.0, began_at - self._health.majority_seen_at)
        else:
            lag = self._freshness.max_staleness(own_probe.applied, began_at)
            delay = self._freshness.apply_delay(own_probe.applied, began_at)
        self._monitor.send(
            names.gate(self._monitor.vm, name),
            core.GroupState(
                self._database,
                self._health.primary if has_primary else None,
                self._health.term,
                own_probe,
                began_at,
                lag,
                delay,
                self._freshness.term_starts,
                self._health.has_majority(now, MAJORITY_LIFETIME_S),
            ),
        )

    def state_rows(
        self, state: core.GroupMonitorState, now: float
    ) -> tuple[tuple[tuple[str, str], ...], ...]:
        """Return (name, value) pairs of each instance for operators."""
        return tuple(
            self._state_row(name, state, now) for name in self._probes.members
        )

    def _state_row(
        self,
        name: core.InstanceName,
        state: core.GroupMonitorState,
        now: float,
    ) -> tuple[tuple[str, str], ...]:
        last = self._health.last_answer(name)
        alive = last is not None and not self._health.is_unreachable(name, now)
        return (
            ('database', str(self._database)),
            ('instance', str(name)),
            ('alive', str(alive).lower()),
            ('role', last.role.value if last else ''),
            ('term', str(last.term if last else 0)),
            ('received', str(last.received.offset if last else 0)),
            ('applied', str(last.applied.offset if last else 0)),
            ('watch', state.value),
        )
