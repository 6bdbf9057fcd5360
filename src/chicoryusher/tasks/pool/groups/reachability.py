"""Reachability monitor: whether a suspected primary can be reached.

The majority of an instance's judges decides.  In a small fleet these are
all VMs, else some of each zone, so that a doubt causes few checks.  If the
settings ask for it, a few judges may decide in a network partition, where the
others are silent.
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
# Timeout for the status of a replica: a round trip between regions, a new
# connection and a wait for a slot.
STATUS_TIMEOUT_S = 0.2
# Seconds between two checks while judges are silent.
RECHECK_INTERVAL_S = 0.25
# Time for which replies about an instance are collected after a check began.
REPLY_LIFETIME_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class _QueryPeers(core.Message):
    """Timer: ask other VMs unless the instance has answered the probe."""

    instance: core.InstanceName


@dataclasses.dataclass(frozen=True, slots=True)
class _Recheck(core.Message):
    """Timer: check again while judges are silent."""

    instance: core.InstanceName


@dataclasses.dataclass(slots=True)
class _Check:
    """Check of whether VMs reach an instance, with their replies."""

    started_at: float
    replies: decisions.JudgeReplies


class ReachabilityMonitor(runtime.Task):
    """Ask the judges about a suspected primary, and count their replies."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        zone: core.ZoneName,
        judges_in_partition: bool = False,
    ) -> None:
        super().__init__(loop, vm, 'watch')
        self._judges_in_partition = judges_in_partition
        self._progress = decisions.ReplicaProgress()
        self._few_judges_logged_until: dict[core.InstanceName, float] = {}
        # The replicas whose status has been asked for.
        self._asked_replicas: set[core.InstanceName] = set()
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
        self._begin_check(name)
        entry = self._entries.get(name)
        if entry is None:
            self._record_probe(name, False)
            return True
        self.send(
            names.prober(self.vm),
            core.ProbeInstance(entry, PROBE_TIMEOUT_S, False, self.task_name),
        )
        return True

    def _begin_check(self, name: core.InstanceName) -> _Check:
        """Begin a check, without the replies that are too old for it."""
        now = self.now()
        last = self._checks.get(name)
        check = _Check(now, decisions.JudgeReplies())
        if last is not None and self._judges_in_partition:
            check.replies = last.replies
            check.replies.start_check(now)
        self._checks[name] = check
        return check

    @runtime.handles(_QueryPeers)
    def _on_query_peers(self, message: _QueryPeers) -> None:
        check = self._checks.get(message.instance)
        if check is None or check.replies.has_reached(self.vm):
            return
        check.replies.record_asked(self.now())
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
        check = self._checks[message.instance]
        check.replies.record_asked(self.now())

    @runtime.handles(core.InstanceProbeResult)
    def _on_status(self, status: core.InstanceProbeResult) -> None:
        """Record a successful probe; compare another with the traffic.

        An instance that is busy with new connections answers a probe late.
        """
        if status.instance in self._asked_replicas:
            self._record_replica(status)
            return
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
            if self._judges_in_partition and not reached:
                self._recheck_while_judges_are_silent(name)

    @runtime.handles(core.ReachabilityReply)
    def _on_reply(self, reply: core.ReachabilityReply) -> None:
        """Report the primary as unreachable if most judges say so."""
        check = self._checks.get(reply.instance)
        now = self.now()
        if check is None or now - check.started_at > REPLY_LIFETIME_S:
            check = self._begin_check(reply.instance)
        check.replies.record(reply.vm, reply.reached, now)
        self._decide(reply.instance, check)

    def _decide(self, name: core.InstanceName, check: _Check) -> None:
        """Report the primary as unreachable if its judges say so."""
        judges = self._judges(name)
        if not check.replies.are_most(judges):
            judges = self._side(name, check)
            self._log_side(name, judges)
        if judges:
            self.send(
                names.primary_manager(self.vm),
                core.PrimaryUnreachable(name, judges),
            )

    # -- decisions without the silent judges ----------------------------------

    def _side(
        self, name: core.InstanceName, check: _Check
    ) -> frozenset[core.VmName]:
        """Return the judges that decide though most are silent, if any."""
        if not self._judges_in_partition:
            return frozenset()
        side = check.replies.side(self._judges(name), self.now())
        replicas = [entry.name for entry in self._replicas(name)]
        if not self._progress.is_quiet(replicas, self.now()):
            return frozenset()
        return side

    def _log_side(
        self, name: core.InstanceName, judges: frozenset[core.VmName]
    ) -> None:
        """Log once per suspicion that few judges decide."""
        is_first = self.now() >= self._few_judges_logged_until.get(name, 0.0)
        if judges:
            self._few_judges_logged_until[name] = self.now() + REPLY_LIFETIME_S
        if judges and is_first:
            self.log.emit(
                core.LogEvent.PRIMARY_JUDGED_BY_FEW,
                instance=name,
                judges=sorted(judges),
            )

    def _replicas(self, name: core.InstanceName) -> list[core.InstanceEntry]:
        """Return the other instances of a primary's group."""
        services = [
            service
            for service, primary in self._primaries.items()
            if primary == name
        ]
        return [
            entry
            for entry in self._entries.values()
            if entry.service in services and entry.name != name
        ]

    def _recheck_while_judges_are_silent(
        self, name: core.InstanceName
    ) -> None:
        """Check on, and ask the replicas, while most judges are silent."""
        check = self._checks.get(name)
        if check is None or check.replies.are_most(self._judges(name)):
            return
        next_at = check.started_at + RECHECK_INTERVAL_S
        self.after(max(0.0, next_at - self.now()), _Recheck(name))
        if check.replies.is_waiting(self.now()):
            self._query_replicas(name)

    @runtime.handles(_Recheck)
    def _on_recheck(self, message: _Recheck) -> None:
        name = message.instance
        check = self._checks.get(name)
        if check is None or name not in self._primaries.values():
            return
        if check.replies.is_waiting(self.now()):
            self._start_check(name)

    def _query_replicas(self, name: core.InstanceName) -> None:
        for entry in self._replicas(name):
            self._asked_replicas.add(entry.name)
            self.send(
                names.prober(self.vm),
                core.ProbeInstance(
                    entry, STATUS_TIMEOUT_S, True, self.task_name
                ),
            )

    def _record_replica(self, status: core.InstanceProbeResult) -> None:
        name, state = status.instance, status.state
        self._asked_replicas.discard(name)
        entry = self._entries.get(name)
        if state is None or entry is None:
            return
        self._progress.record(name, state.received, self.now())
        primary = self._primaries.get(entry.service)
        check = None if primary is None else self._checks.get(primary)
        if primary is not None and check is not None:
            self._decide(primary, check)
