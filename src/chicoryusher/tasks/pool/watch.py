"""The watch: instances that traffic misses, and what other VMs see."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names

__all__ = ['Watch']

# Seconds for a connection to a missed instance; a round trip between
# regions is 42 ms.
PROBE_TIMEOUT = 0.2
# Seconds after which others are asked about an instance that has not
# answered yet; two round trips between regions.
ASK_OTHERS = 0.085
# Seconds for which an opinion about an instance counts.
OPINION = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Unanswered(core.Message):
    """An instance may not have answered a probe yet."""

    instance: core.InstanceName


@dataclasses.dataclass(slots=True)
class _Missed:
    """What VMs say of an instance that one of them missed."""

    asked_at: float
    opinions: dict[core.VmName, bool]


class Watch(runtime.Task):
    """Find out whether most VMs miss a primary."""

    def __init__(self, loop: runtime.Runtime, vm: core.VmName) -> None:
        super().__init__(loop, vm, 'watch')
        self._entries: dict[core.InstanceName, core.InstanceEntry] = {}
        self._primaries: dict[core.ServiceName, core.InstanceName] = {}
        self._live: tuple[core.VmName, ...] = ()
        self._voters: tuple[core.VmName, ...] = ()
        self._missed: dict[core.InstanceName, _Missed] = {}

    @runtime.handles(core.LivePeers)
    def _on_live(self, message: core.LivePeers) -> None:
        self._live = message.live
        self._voters = message.voters

    @runtime.handles(core.GroupInForce)
    def _on_group(self, message: core.GroupInForce) -> None:
        for name, entry in tuple(self._entries.items()):
            if entry.service == message.service:
                del self._entries[name]
        self._entries.update({one.name: one for one in message.entries})
        self._primaries.pop(message.service, None)
        if message.primary is not None:
            self._primaries[message.service] = message.primary

    @runtime.handles(core.InstanceTrouble)
    def _on_trouble(self, message: core.InstanceTrouble) -> None:
        if message.instance not in self._primaries.values():
            return
        if self._begin(message.instance):
            self.after(ASK_OTHERS, _Unanswered(message.instance))

    def _begin(self, name: core.InstanceName) -> bool:
        """Probe an instance unless that has just been done."""
        missed = self._missed.get(name)
        now = self.now()
        if missed is not None and now - missed.asked_at < PROBE_TIMEOUT:
            return False
        self._missed[name] = _Missed(now, {})
        entry = self._entries.get(name)
        if entry is None:
            self._opine(name, False)
            return True
        self.send(
            names.prober(self.vm),
            core.ProbeInstance(entry, PROBE_TIMEOUT, False, self.task_name),
        )
        return True

    @runtime.handles(_Unanswered)
    def _on_unanswered(self, message: _Unanswered) -> None:
        missed = self._missed.get(message.instance)
        if missed is None or missed.opinions.get(self.vm, False):
            return
        self._to_live(core.Suspicion(self.vm, message.instance))

    def _to_live(self, message: core.Message) -> None:
        for vm in self._live:
            self.send(names.peers(self.vm), core.ToPeer(vm, message))

    @runtime.handles(core.Suspicion)
    def _on_suspicion(self, message: core.Suspicion) -> None:
        self._begin(message.instance)

    @runtime.handles(core.InstanceStatus)
    def _on_status(self, status: core.InstanceStatus) -> None:
        self._opine(status.instance, status.reached)

    def _opine(self, name: core.InstanceName, reached: bool) -> None:
        if not reached:
            self.log.emit(core.LogEvent.INSTANCE_MISSED, instance=name)
        opinion = core.Opinion(self.vm, name, reached)
        self._on_opinion(opinion)
        self._to_live(opinion)

    @runtime.handles(core.Opinion)
    def _on_opinion(self, opinion: core.Opinion) -> None:
        missed = self._missed.get(opinion.instance)
        now = self.now()
        if missed is None or now - missed.asked_at > OPINION:
            missed = _Missed(now, {})
            self._missed[opinion.instance] = missed
        missed.opinions[opinion.vm] = opinion.reached
        voters = (*self._voters, self.vm)
        if decisions.missed_by_most(missed.opinions, voters):
            self.send(
                names.keeper(self.vm), core.PrimaryMissed(opinion.instance)
            )
