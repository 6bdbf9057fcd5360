"""Messages that a gate sends to the monitor of its group."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import items
from chicoryusher.tasks import names

__all__ = ['GateSignals']

# Shortest interval between reports that requests come.
ACTIVITY_REPORT_INTERVAL_S = 1.0
# Shortest interval between reports that statements do not end.
SUSPICION_REPORT_INTERVAL_S = 0.1


class GateSignals:
    """Reports and requests for evidence of one gate, limited in rate."""

    def __init__(
        self, gate: runtime.Task, spec: decisions.InstanceSpec
    ) -> None:
        self._gate = gate
        self._instance = spec.name
        self._group_monitor = names.group_monitor(gate.vm, spec.database)
        self._activity_reported_at = float('-inf')
        self._suspicion_reported_at = float('-inf')

    def report_activity(self) -> None:
        """Report that requests come, unless that was reported recently."""
        now = self._gate.now()
        if now - self._activity_reported_at >= ACTIVITY_REPORT_INTERVAL_S:
            self._activity_reported_at = now
            self._send(core.GroupActive())

    def report_overrun(self) -> None:
        """Report that statements do not end, unless reported recently."""
        now = self._gate.now()
        if now - self._suspicion_reported_at >= SUSPICION_REPORT_INTERVAL_S:
            self._suspicion_reported_at = now
            self.suspect_instance()

    def suspect_instance(self) -> None:
        """Report the instance as suspected, so that it is probed soon."""
        self._send(core.InstanceSuspected(self._instance))

    def await_catch_up(self) -> None:
        """Ask for a probe that shows whether the replica has caught up."""
        self._send(core.CatchUpAwaited(self._instance))

    def ask_proof(
        self, item: items.GateRequest, position: core.Position
    ) -> None:
        """Ask for evidence that a majority holds a position."""
        self._send(
            core.ProveCommit(
                self._gate.task_name, item.request.request_id, position
            )
        )

    def _send(self, message: core.Message) -> None:
        self._gate.send(self._group_monitor, message)
