"""How a task's operations wait for their part of their team's limit."""

from __future__ import annotations

import itertools
from typing import Generic
from typing import Protocol
from typing import TypeVar

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks import names

__all__ = ['MAX_KEEPER_WAIT_S', 'AllowanceRequests', 'LimitedOperation']

# Seconds for which an operation waits at most for a keeper that can tell its
# turn: until the VM follows another one after its keeper has gone.
MAX_KEEPER_WAIT_S = 2.0


class LimitedOperation(Protocol):
    """An operation that counts against its team's limit.

    ``allowance_id`` is set while it waits for an allowance; it may be sent
    until ``allowance_expires_at``, a time of the boot-time clock.
    """

    allowance_id: core.AllowanceId | None
    allowance_expires_at: float


_Operation = TypeVar('_Operation', bound=LimitedOperation)


class AllowanceRequests(Generic[_Operation]):
    """Requests of the task ``owner`` to the limiter of its VM.

    A try that was certainly not run leaves its allowance to the next one.
    """

    def __init__(self, owner: runtime.Task, clock: core.Clock) -> None:
        self._owner = owner
        self._clock = clock
        self._numbers = itertools.count(1)
        self._waiting: dict[core.AllowanceId, _Operation] = {}

    def is_allowed(self, operation: _Operation) -> bool:
        """Return whether an operation has an allowance that is valid."""
        return self._clock.boottime() < operation.allowance_expires_at

    def request(
        self,
        operation: _Operation,
        team: core.TeamName,
        max_wait_s: float,
        max_turn_wait_s: float | None = None,
    ) -> None:
        """Request an allowance; the limiter sends ``AllowanceDecided``."""
        owner = self._owner.task_name
        allowance_id = core.AllowanceId(f'{owner}:{next(self._numbers)}')
        operation.allowance_id = allowance_id
        self._waiting[allowance_id] = operation
        self._send(
            core.RequestAllowance(
                allowance_id, team, max_wait_s, owner, max_turn_wait_s
            )
        )

    def _send(self, message: core.Message) -> None:
        self._owner.send(names.limiter(self._owner.vm), message)

    def decided(self, decision: core.AllowanceDecided) -> _Operation | None:
        """Apply the limiter's decision; None if nobody waits for it."""
        operation = self._waiting.pop(decision.allowance_id, None)
        if operation is None:
            return None
        operation.allowance_id = None
        operation.allowance_expires_at = decision.expires_at
        return operation

    def cancel(self, operation: _Operation) -> None:
        """Withdraw the request of an operation that has ended."""
        allowance_id = operation.allowance_id
        if allowance_id is None:
            return
        operation.allowance_id = None
        del self._waiting[allowance_id]
        self._send(core.CancelAllowance(allowance_id))
