"""Requests that wait at a gate until they can run."""

from __future__ import annotations

from typing import cast

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import items

__all__ = ['WaitingRequests']


class WaitingRequests:
    """The queue of one gate, and reads that wait for the replica.

    The reads in ``awaiting_catch_up`` need a position that the replica has
    not applied yet.  ``shed`` counts the requests that the queue refused.
    """

    def __init__(self, gate: runtime.Task, policy: str, slots: int) -> None:
        self._gate = gate
        self._chart = charts.load_machine('request')
        self.queue: decisions.QueuePolicy = decisions.QUEUE_POLICIES.get(
            policy
        )(slots)
        self.awaiting_catch_up: list[items.GateRequest] = []
        self.shed = 0

    def __len__(self) -> int:
        return len(self.queue) + len(self.awaiting_catch_up)

    def offer(self, item: items.GateRequest) -> bool:
        """Queue a request; return False if the queue refused it."""
        shed = self.queue.offer(item, self._gate.now())
        if shed is None:
            return True
        self.shed += 1
        self._gate.log.emit(
            core.LogEvent.REQUEST_NOT_ADMITTED,
            request=str(item.request.request_id),
            why=shed.reason,
        )
        self._chart.fire(item, 'refused', shed)
        return False

    def pop_next(self, now: float) -> items.GateRequest | None:
        """Remove and return the request to run next, None if none may."""
        return cast('items.GateRequest | None', self.queue.pop_next(now))

    def drain_queue(self) -> list[items.GateRequest]:
        """Remove and return all queued requests."""
        return cast('list[items.GateRequest]', self.queue.drain())

    def drain_awaiting_catch_up(self) -> list[items.GateRequest]:
        """Remove and return the reads that wait for the replica."""
        waiting, self.awaiting_catch_up = self.awaiting_catch_up, []
        return waiting

    def expire(self, now: float) -> None:
        """End the queued requests that can't be answered in time."""
        expired = self.queue.remove_expired(now)
        for item in cast('list[items.GateRequest]', expired):
            item.reason = 'the deadline passed in the queue'
            self._chart.fire(item, 'expired')
