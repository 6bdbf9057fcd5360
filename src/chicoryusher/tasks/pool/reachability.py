"""Reachability monitor: whether a suspected primary can be reached.

The majority of an instance's judges decides.  In a small fleet these are
all VMs, else some of each zone, so that a doubt causes few checks.
"""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names

__all__ = ['ReachabilityMonitor']

# Timeout for a connection to a suspected instance; a round trip between
# regions is 42 ms.
PROBE_TIMEOUT_S = 0.2
# Time without an answer to the probe after which other VMs are asked about
# the instance; two round trips between regions.
PEER_QUERY_DELAY_S = 0.085
# Seconds after the start of a check from which on a message of the instance
# to this VM's pool shows that it can be reached; what came before may have
# been under way when the instance failed.
RESPONSE_MARGIN_S = 0.05
# Time for which replies about an instance are collected after a check began.
REPLY_LIFETIME_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class _QueryPeers(core.Message):
    """Timer: ask other VMs unless the instance has answered the probe."""

    instance: core.InstanceName


@dataclasses.dataclass(slots=True)
class _Check:
    """Check of whether VMs reach an instance, with their replies.

    ``reached_by`` is True for a VM that reached the instance.
    """

    started_at: float
    reached_by: dict[core.VmName, bool]


class ReachabilityMonitor(runtime.Task):
    """Ask the judges about a suspected primary, and count their replies."""

    def __init__(
        self, loop: runtime.Runtime, vm: core.VmName, zone: core.ZoneName
    ) -> None:
        super().__init__(loop, vm, 'watch')
        self._own_place = core.EntryVmZone(vm, zone)
        self._entries: dict[core.InstanceName, core.InstanceEntry] = {}
        self._primaries: dict[core.ServiceName, core.InstanceName] = {}
        self._live: tuple[core.VmName, ...] = ()
        self._voters: tuple[core.EntryVmZone, ...] = ()
        self._checks: dict[core.InstanceName, _Check] = {}

    @runtime.handles(core.PeerSets)
    def _on_live_peers(self, message: core.PeerSets) -> None:
        self._live = message.live
        self._voters = message.voters

    @runtime.handles(core.GroupUpdate)
    def _on_group(self, message: core.GroupUpdate) -> None:
        for name, entry in tuple(self._entries.items()):
            if entry.service == message.service:
                del self._entries[name]
        self._entries.update(
            {member.name: member for member in message.entries}
        )
        self._primaries.pop(message.service, None)
        if message.primary is not None:
            self._primaries[message.service] = message.primary

    @runtime.handles(core.InstanceFault)
    def _on_trouble(self, message: core.InstanceFault) -> None:
        """Probe a primary on which traffic has failed."""
        if message.instance not in self._primaries.values():
            return
        if self._start_check(message.instance):
            self.after(PEER_QUERY_DELAY_S, _QueryPeers(message.instance))

    def _start_check(self, name: core.InstanceName) -> bool:
        """Probe an instance, unless a check of it has just begun.

        Return whether a check was started.
        """
        check = self._checks.get(name)
        now = self.now()
        if check is not None and now - check.started_at < PROBE_TIMEOUT_S:
            return False
        self._checks[name] = _Check(now, {})
        entry = self._entries.get(name)
        if entry is None:
            self._record_probe(name, False)
            return True
        self.send(
            names.prober(self.vm),
            core.ProbeInstance(entry, PROBE_TIMEOUT_S, False, self.task_name),
        )
        return True

    @runtime.handles(_QueryPeers)
    def _on_query_peers(self, message: _QueryPeers) -> None:
        check = self._checks.get(message.instance)
        if check is None or check.reached_by.get(self.vm, False):
            return
        query = core.ReachabilityQuery(self.vm, message.instance)
        self._send_to_judges(message.instance, query)

    def _judges(self, name: core.InstanceName) -> frozenset[core.VmName]:
        voters = (*self._voters, self._own_place)
        return decisions.choose_judges(name, voters)

    def _send_to_judges(
        self, name: core.InstanceName, message: core.Message
    ) -> None:
        judges = self._judges(name)
        for vm in self._live:
            if vm in judges:
                self.send(names.peers(self.vm), core.SendToPeer(vm, message))

    @runtime.handles(core.ReachabilityQuery)
    def _on_query(self, message: core.ReachabilityQuery) -> None:
        self._start_check(message.instance)

    @runtime.handles(core.InstanceProbeResult)
    def _on_status(self, status: core.InstanceProbeResult) -> None:
        """Record a successful probe; compare another with the traffic.

        An instance that is busy with new connections answers a probe late.
        """
        entry = self._entries.get(status.instance)
        if status.reached or entry is None:
            self._record_probe(status.instance, status.reached)
            return
        self.send(
            names.instance_pool(self.vm, entry),
            core.LastResponseQuery(self.task_name),
        )

    @runtime.handles(core.LastResponse)
    def _on_last_response(self, response: core.LastResponse) -> None:
        check = self._checks.get(response.instance)
        reached = (
            check is not None
            and response.received_at >= check.started_at + RESPONSE_MARGIN_S
        )
        self._record_probe(response.instance, reached)

    def _record_probe(self, name: core.InstanceName, reached: bool) -> None:
        """Count this VM's own result, and send it to the other judges."""
        if not reached:
            self.log.emit(core.LogEvent.INSTANCE_UNREACHABLE, instance=name)
        reply = core.ReachabilityReply(self.vm, name, reached)
        self._on_reply(reply)
        if self.vm in self._judges(name):
            self._send_to_judges(name, reply)

    @runtime.handles(core.ReachabilityReply)
    def _on_reply(self, reply: core.ReachabilityReply) -> None:
        """Report the primary as unreachable if most judges say so."""
        check = self._checks.get(reply.instance)
        now = self.now()
        if check is None or now - check.started_at > REPLY_LIFETIME_S:
            check = _Check(now, {})
            self._checks[reply.instance] = check
        check.reached_by[reply.vm] = reply.reached
        judges = self._judges(reply.instance)
        if decisions.unreachable_for_majority(check.reached_by, judges):
            self.send(
                names.primary_manager(self.vm),
                core.PrimaryUnreachable(reply.instance, judges),
            )
