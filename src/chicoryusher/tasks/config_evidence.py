"""Evidence that the configuration in force is the newest one.

It comes from the store, through the configurator.  A VM that the store does
not answer asks other VMs for theirs.  Without teams nobody asks.
"""

from __future__ import annotations

import dataclasses
import random

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks import task_messages

__all__ = ['ConfigEvidence']

CHECK_INTERVAL_S = 0.5
# Reads of the configuration that may fail before other VMs are asked.
READS_BEFORE_ASKING = 1.5
VMS_ASKED_AT_ONCE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _CheckAge(core.Message):
    """Timer: check whether other VMs are to be asked."""


class ConfigEvidence(runtime.Task):
    """Task that keeps the time at which the configuration was the newest.

    Times are on the boot-time clock of this VM.  What another VM answers
    counts from the moment at which it was asked, less the age that it tells,
    so ages add up over several VMs.
    """

    def __init__(self, loop: runtime.Runtime, vm: core.VmName) -> None:
        super().__init__(loop, vm, 'evidence')
        self._clock = loop.clock
        self._rng = random.Random(f'{vm} evidence')
        self._version = core.ConfigVersion(0)
        self._rights = decisions.TeamRights(None)
        self._was_proved = True
        self._max_age_s = float('inf')
        self._live: tuple[core.VmName, ...] = ()
        self._confirmed_at = float('-inf')
        self.after(CHECK_INTERVAL_S, _CheckAge())

    @runtime.handles(task_messages.ConfigUpdate)
    def _on_config(self, message: task_messages.ConfigUpdate) -> None:
        config = message.config
        self._version = config.version
        self._rights = decisions.TeamRights(config.revocation_s)
        self._rights.apply(config.teams)
        self._rights.confirm(self._confirmed_at)
        interval_s = decisions.read_interval_s(len(config.vms))
        self._max_age_s = READS_BEFORE_ASKING * interval_s

    @runtime.handles(core.LiveVms)
    def _on_live(self, message: core.LiveVms) -> None:
        self._live = tuple(vm for vm in message.vms if vm != self.vm)

    @runtime.handles(core.ConfigConfirmed)
    def _on_confirmed(self, message: core.ConfigConfirmed) -> None:
        self._confirm(message.confirmed_at)

    def _confirm(self, at: float) -> None:
        if at <= self._confirmed_at:
            return
        self._confirmed_at = at
        self._rights.confirm(at)
        self.send(names.router(self.vm), core.ConfigConfirmed(at))

    @runtime.handles(_CheckAge)
    def _on_check(self, check: _CheckAge) -> None:
        self.after(CHECK_INTERVAL_S, check)
        if not self._rights.in_force:
            return
        now = self._clock.boottime()
        self._log_proof(now)
        age_s = now - self._confirmed_at
        if age_s <= self._max_age_s:
            return
        count = min(VMS_ASKED_AT_ONCE, len(self._live))
        for vm in self._rng.sample(self._live, count):
            self._send_to_peer(vm, core.AskConfigAge(self.vm, now))

    def _log_proof(self, now: float) -> None:
        """Log when the teams' work begins to be refused, and when it ends."""
        proved = self._rights.is_proved(now)
        if proved == self._was_proved:
            return
        self._was_proved = proved
        event = core.LogEvent.CONFIG_UNPROVED
        if proved:
            event = core.LogEvent.CONFIG_PROVED
        self.log.emit(
            event,
            version=self._version,
            age=round(self._rights.evidence_age_s(now), 3),
        )

    @runtime.handles(core.AskConfigAge)
    def _on_asked(self, question: core.AskConfigAge) -> None:
        age_s = self._clock.boottime() - self._confirmed_at
        if age_s <= self._max_age_s:
            self._send_to_peer(
                question.vm,
                core.ConfigAge(self._version, age_s, question.asked_at),
            )

    @runtime.handles(core.ConfigAge)
    def _on_answer(self, answer: core.ConfigAge) -> None:
        is_plausible = (
            answer.age >= 0.0 and answer.asked_at <= self._clock.boottime()
        )
        if is_plausible and answer.version == self._version:
            self._confirm(answer.asked_at - answer.age)

    def _send_to_peer(self, vm: core.VmName, message: core.Message) -> None:
        self.send(names.peers(self.vm), core.SendToPeer(vm, message))
