"""Probes of the instances of one group."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Iterable

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks import names

__all__ = ['GroupProbes', 'ProbeRoundDue', 'ProbeState']

PROBE_TIMEOUT_S = 0.35


class ProbeRoundDue(core.Message):
    """Timer of a group monitor: probe all instances of the group."""


@dataclasses.dataclass(slots=True)
class ProbeState:
    """Last probe of one instance: its number and when it began.

    ``pending`` is set until the probe is answered or times out.
    """

    sequence: int = 0
    began_at: float = 0.0
    pending: bool = False


class GroupProbes:
    """Sends the probes of one group, one at a time to each instance.

    ``on_answer`` is called with each answer, also with one that says that a
    probe has timed out.
    """

    def __init__(
        self,
        monitor: runtime.Task,
        members: Iterable[core.InstanceName],
        on_answer: Callable[[core.ProbeAnswer, float], None],
    ) -> None:
        self._monitor = monitor
        self._on_answer = on_answer
        self._probes = {name: ProbeState() for name in members}
        self._round_due_at = 0.0
        self._round_timer: core.TimerId | None = None

    @property
    def members(self) -> tuple[core.InstanceName, ...]:
        """Return the instances that are probed."""
        return tuple(self._probes)

    def set_members(self, members: tuple[core.InstanceName, ...]) -> None:
        """Probe these instances only."""
        for name in members:
            self._probes.setdefault(name, ProbeState())
        for removed in set(self._probes) - set(members):
            del self._probes[removed]

    def last(self, name: core.InstanceName) -> ProbeState | None:
        """Return the last probe of an instance, None if it is no member."""
        return self._probes.get(name)

    def schedule_round(self, delay: float) -> None:
        """Start the next round of probes in at most ``delay`` seconds."""
        due = self._monitor.now() + delay
        if self._round_timer is not None and self._round_due_at <= due:
            return
        self._monitor.cancel(self._round_timer)
        self._round_due_at = due
        self._round_timer = self._monitor.after(delay, ProbeRoundDue())

    def start_round(self) -> None:
        """Probe all instances because the round is due."""
        self._round_timer = None
        self.probe_all()

    def probe_all(self) -> None:
        """Probe all instances."""
        for name in self.members:
            self.probe(name)

    def probe(self, name: core.InstanceName) -> None:
        """Probe an instance unless its last probe is still pending."""
        probe_state = self._probes.get(name)
        if probe_state is None:
            return
        now = self._monitor.now()
        if probe_state.pending:
            if now - probe_state.began_at < PROBE_TIMEOUT_S:
                return
            failed = core.ProbeAnswer(name, probe_state.sequence, False)
            self._finish(probe_state, failed)
        probe_state.pending = True
        probe_state.sequence += 1
        probe_state.began_at = now
        self._monitor.send(
            names.agent(self._monitor.vm, name),
            core.Probe(probe_state.sequence),
        )

    def record_answer(self, answer: core.ProbeAnswer) -> None:
        """Handle an answer, unless it is late or not to the last probe."""
        probe_state = self._probes.get(answer.instance)
        if probe_state is None or answer.sequence != probe_state.sequence:
            return
        if probe_state.pending:
            self._finish(probe_state, answer)

    def _finish(
        self, probe_state: ProbeState, answer: core.ProbeAnswer
    ) -> None:
        probe_state.pending = False
        self._on_answer(answer, probe_state.began_at)
