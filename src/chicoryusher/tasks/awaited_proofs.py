"""Requests of one gate whose answers wait for evidence."""

from __future__ import annotations

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.tasks import gate_signals
from chicoryusher.tasks import items

__all__ = ['AwaitedProofs']


class AwaitedProofs:
    """Requests that have run, and wait for evidence of a commit or a read."""

    def __init__(
        self,
        signals: gate_signals.GateSignals,
        admission: decisions.InstanceAdmission,
    ) -> None:
        self._signals = signals
        self._admission = admission
        self._chart = charts.load_machine('request')
        self._items: dict[core.RequestId, items.GateRequest] = {}

    def __len__(self) -> int:
        return len(self._items)

    def ask(self, item: items.GateRequest) -> None:
        """Ask for the evidence that a request needs."""
        self._items[item.request.request_id] = item
        position = item.position
        if position is None:
            position = self._admission.read_position()
        self._signals.ask_proof(item, position)

    def record_proof(self, request_id: core.RequestId) -> bool:
        """Answer a request; return False if it does not wait."""
        item = self._items.pop(request_id, None)
        if item is None:
            return False
        self._chart.fire(item, 'proved')
        return True

    def record_disproof(self, request_id: core.RequestId) -> bool:
        """End a request without proof; return False if it does not wait."""
        item = self._items.pop(request_id, None)
        if item is None:
            return False
        item.reason = 'a later term began before the commit was held'
        self._chart.fire(item, 'disproved')
        return True

    def expire(self, now: float) -> None:
        """End the requests whose deadline has passed."""
        for item in [*self._items.values()]:
            if item.deadline <= now:
                self._items.pop(item.request.request_id, None)
                item.reason = 'no evidence of the commit in time'
                self._chart.fire(item, 'expired')
