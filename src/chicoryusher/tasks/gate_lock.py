"""The lock that an instance gives to its only gate."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks import names

__all__ = ['ClaimRetryDue', 'GateLock']

# Delay before a gate lock that was refused or lost is claimed again.
CLAIM_RETRY_DELAY_S = 0.25


class ClaimRetryDue(core.Message):
    """Timer of a gate: claim the gate lock again."""


class GateLock:
    """Claims and releases the lock of one gate's instance.

    Only an ``exclusive`` gate needs the lock.
    """

    def __init__(
        self, gate: runtime.Task, instance: core.InstanceName
    ) -> None:
        self._gate = gate
        self._instance = instance
        self._link = names.link(gate.vm, instance)
        self.exclusive = True

    def claim(self) -> None:
        """Claim the lock; a gate that needs none has it at once."""
        if self.exclusive:
            self._gate.send(self._link, core.ClaimGate())
        else:
            self._gate.send(self._gate.task_name, core.GateClaimed(True))

    def claim_later(self) -> None:
        """Remind the gate after a delay to claim the lock again."""
        self._gate.after(CLAIM_RETRY_DELAY_S, ClaimRetryDue())

    def release(self) -> None:
        """Release the lock."""
        self._gate.send(self._link, core.ReleaseGate())
        self._gate.log.emit(
            core.LogEvent.GATE_RELEASED, instance=str(self._instance)
        )
