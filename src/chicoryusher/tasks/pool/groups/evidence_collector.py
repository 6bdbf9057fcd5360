"""Evidence collector: asks replicas whether a primary still leads.

It asks only for answers that this VM may not give by its primary lease.
"""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Callable

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.groups import evidence_rounds

__all__ = ['EvidenceCollector', 'StatusDecoder']

# Seconds for which requests are gathered that one round of queries serves.
GATHER_S = 0.01
# Seconds after which another VM is asked for a replica that has not replied:
# its path may be cut, where an open connection does not show it.
LATE_REPLY_S = 0.05
# Seconds after which a round ends without the replicas that have not replied.
ROUND_LIMIT_S = 0.15
# Seconds for which an answer is held for evidence: some rounds, while a
# replica is still behind or busy.
REQUEST_LIMIT_S = 0.5
# Seconds before the end of the lease at which connections are opened to the
# replicas that have none: later ones give no evidence.
PREPARE_S = 0.8
# Other VMs that are asked for a replica to which this VM has no connection.
MAX_ASKED_OWNERS = 3

StatusDecoder = Callable[[core.CommandReply], core.InstanceState | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _StartRound(core.Message):
    """Timer: query the replicas for the requests that wait."""

    service: core.ServiceName


@dataclasses.dataclass(frozen=True, slots=True)
class _Prepare(core.Message):
    """Timer: the lease that ends at ``lease_end`` may soon be over."""

    lease_end: float


@dataclasses.dataclass(frozen=True, slots=True)
class _AskOwners(core.Message):
    """Timer: ask other VMs for the replicas that have not replied."""

    service: core.ServiceName
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class _RoundTimeout(core.Message):
    """Timer: end a round without the replicas that have not replied."""

    service: core.ServiceName
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class _ForgetQuery(core.Message):
    """Timer: a peer no longer waits for the reply to its query."""

    number: int


class EvidenceCollector(runtime.Task):
    """Query the replicas of a group in rounds, and judge their statuses."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        mode: core.EvidenceMode,
        decode_status: StatusDecoder,
    ) -> None:
        super().__init__(loop, vm, 'evidence')
        self._clock = loop.clock
        self._mode = mode
        self._decode_status = decode_status
        self._numbers = itertools.count(1)
        self._groups: dict[core.ServiceName, evidence_rounds.Group] = {}
        self._lease_end = float('-inf')
        # The group of each query of this VM.
        self._queries: dict[int, core.ServiceName] = {}
        # The query of a peer that each query to a pool of this VM serves.
        self._peer_queries: dict[int, core.StatusQuery] = {}

    # -- what this VM knows ---------------------------------------------

    @runtime.handles(core.GroupUpdate)
    def _on_group(self, message: core.GroupUpdate) -> None:
        group = self._groups.get(message.service)
        if group is None:
            group = evidence_rounds.Group(message, decisions.WitnessList(), [])
            self._groups[message.service] = group
        primary_changed = group.update.primary != message.primary
        group.update = message
        registered = [entry.name for entry in message.entries]
        group.witnesses.update(registered, self._clock.boottime())
        if primary_changed:
            self._refuse_all(group, 'the primary is being replaced')

    @runtime.handles(core.StorePolled)
    def _on_store_polled(self, message: core.StorePolled) -> None:
        if message.view is not core.StoreView.INSTANCES:
            return
        for group in self._groups.values():
            group.witnesses.confirm(message.requested_at)

    @runtime.handles(core.PrimaryLeaseUpdate)
    def _on_lease(self, message: core.PrimaryLeaseUpdate) -> None:
        self._lease_end = message.expires_at
        left = message.expires_at - self._clock.boottime()
        if left > PREPARE_S:
            self.after(left - PREPARE_S, _Prepare(message.expires_at))

    @runtime.handles(_Prepare)
    def _on_prepare(self, message: _Prepare) -> None:
        """Open connections to the replicas, unless the lease was extended."""
        if message.lease_end != self._lease_end:
            return
        for group in self._groups.values():
            primary = group.update.primary
            for entry in group.update.entries:
                if primary is not None and entry.name != primary:
                    pool = names.instance_pool(self.vm, entry)
                    self.send(pool, core.EnsureConnection())

    # -- requests and rounds --------------------------------------------

    @runtime.handles(core.EvidenceWanted)
    def _on_wanted(self, message: core.EvidenceWanted) -> None:
        now = self.now()
        request = evidence_rounds.Request(message, now, now + REQUEST_LIMIT_S)
        group = self._groups.get(message.service)
        if group is None or group.update.primary != message.primary:
            self._reply(request, False, 'the primary is being replaced')
            return
        why = self._why_not(group)
        if why:
            self._reply(request, False, why)
            return
        group.waiting.append(request)
        if group.round is None:
            self._schedule_round(group)

    def _schedule_round(self, group: evidence_rounds.Group) -> None:
        if group.waiting and not group.scheduled:
            group.scheduled = True
            self.after(GATHER_S, _StartRound(group.update.service))

    def _why_not(self, group: evidence_rounds.Group) -> str:
        """Return why a group's instances give no evidence, '' if they may."""
        if self._mode is not core.EvidenceMode.USE:
            return 'no evidence is used'
        if not group.witnesses.serves(self._lease_end, self._clock.boottime()):
            return 'the list of instances is too old'
        replicas = self._replicas(group)
        if not replicas:
            return 'the group has no replica'
        if any(group.entry(name) is None for name in replicas):
            return 'a replica is registered no more'
        return ''

    def _replicas(
        self, group: evidence_rounds.Group
    ) -> frozenset[core.InstanceName]:
        primary = group.update.primary
        assert primary is not None
        return group.witnesses.replicas(primary, self._lease_end)

    @runtime.handles(_StartRound)
    def _on_start_round(self, message: _StartRound) -> None:
        group = self._groups[message.service]
        group.scheduled = False
        if not group.waiting or group.round is not None:
            return
        why = self._why_not(group)
        if why:
            self._refuse_all(group, why)
            return
        requests, group.waiting = group.waiting, []
        owners = {
            name: list(vms[:MAX_ASKED_OWNERS])
            for name, vms in requests[-1].message.owners
        }
        number = next(self._numbers)
        group.round = evidence_rounds.Round(
            number,
            requests,
            {name: owners.get(name, []) for name in self._replicas(group)},
            {},
            {},
        )
        self.after(LATE_REPLY_S, _AskOwners(message.service, number))
        self.after(ROUND_LIMIT_S, _RoundTimeout(message.service, number))
        for name in sorted(group.round.owners):
            entry = group.entry(name)
            assert entry is not None
            query = self._new_query(group, group.round, name)
            self._query_pool(entry, query)

    def _new_query(
        self,
        group: evidence_rounds.Group,
        current: evidence_rounds.Round,
        name: core.InstanceName,
    ) -> int:
        number = next(self._numbers)
        current.running[number] = name
        self._queries[number] = group.update.service
        return number

    def _query_pool(self, entry: core.InstanceEntry, number: int) -> None:
        self.send(
            names.instance_pool(self.vm, entry),
            core.ReadInstanceStatus(number, self._lease_end, self.task_name),
        )

    @runtime.handles(core.InstanceStatusRead)
    def _on_status(self, message: core.InstanceStatusRead) -> None:
        state = None
        if message.reply is not None:
            state = self._decode_status(message.reply)
        peer_query = self._peer_queries.pop(message.number, None)
        if peer_query is not None:
            self._report(peer_query, state)
        else:
            self._record(message.number, state)

    @runtime.handles(core.StatusReport)
    def _on_report(self, message: core.StatusReport) -> None:
        self._record(message.number, message.state)

    def _record(self, number: int, state: core.InstanceState | None) -> None:
        """Record a replica's status, or ask another VM for it."""
        service = self._queries.pop(number, None)
        if service is None:
            return
        group = self._groups[service]
        current = group.round
        if current is None:
            return
        name = current.running.pop(number)
        if name not in current.owners:
            return
        if state is not None:
            current.states[name] = state
        elif self._ask_owner(group, current, name):
            return
        if state is not None or name not in current.running.values():
            del current.owners[name]
        if not current.owners:
            self._end_round(group)

    def _ask_owner(
        self,
        group: evidence_rounds.Group,
        current: evidence_rounds.Round,
        name: core.InstanceName,
    ) -> bool:
        """Ask the next VM for a status; return whether there is one."""
        primary = group.update.primary
        if not current.owners[name] or primary is None:
            return False
        owner = current.owners[name].pop(0)
        number = self._new_query(group, current, name)
        query = core.StatusQuery(
            self.vm, number, group.update.service, primary, name
        )
        self.send(names.peers(self.vm), core.SendToPeer(owner, query))
        return True

    @runtime.handles(_AskOwners)
    def _on_ask_owners(self, message: _AskOwners) -> None:
        group = self._groups[message.service]
        current = group.round
        if current is None or current.number != message.number:
            return
        for name in current.owners:
            self._ask_owner(group, current, name)

    @runtime.handles(_RoundTimeout)
    def _on_round_timeout(self, message: _RoundTimeout) -> None:
        group = self._groups[message.service]
        if group.round is not None and group.round.number == message.number:
            self._end_round(group)

    def _end_round(self, group: evidence_rounds.Group) -> None:
        """Judge the requests; those without a verdict get another round."""
        current, group.round = group.round, None
        assert current is not None
        for number in current.running:
            del self._queries[number]
        why = self._why_not(group)
        now = self.now()
        for request in current.requests:
            verdict = decisions.judge_statuses(
                self._replicas(group),
                current.states,
                request.message.term,
                request.message.position,
            )
            if why:
                self._reply(request, False, why)
            elif verdict is core.EvidenceVerdict.PROVED:
                self._reply(request, True, '', tuple(sorted(current.states)))
            elif verdict is core.EvidenceVerdict.REFUTED:
                self._reply(request, False, 'another instance leads')
            elif now >= request.deadline:
                self._reply(request, False, 'not all replicas confirm it')
            else:
                group.waiting.append(request)
        self._schedule_round(group)

    def _refuse_all(self, group: evidence_rounds.Group, why: str) -> None:
        requests, group.waiting = group.waiting, []
        if group.round is not None:
            requests += group.round.requests
            for number in group.round.running:
                del self._queries[number]
            group.round = None
        for request in requests:
            self._reply(request, False, why)

    def _reply(
        self,
        request: evidence_rounds.Request,
        proved: bool,
        why: str,
        instances: tuple[core.InstanceName, ...] = (),
    ) -> None:
        given = core.EvidenceGiven(
            request.message.number,
            request.message.service,
            proved,
            self.now() - request.received_at,
            instances,
            why,
        )
        self.send(names.dispatcher(self.vm), given)

    # -- queries of peers -----------------------------------------------

    @runtime.handles(core.StatusQuery)
    def _on_peer_query(self, query: core.StatusQuery) -> None:
        """Read the status on a connection of this VM.

        It counts for a peer that uses the same primary, from before the end
        of this VM's own lease.
        """
        group = self._groups.get(query.service)
        entry = None
        if group is not None and group.update.primary == query.primary:
            entry = group.entry(query.instance)
        if entry is None or self._mode is not core.EvidenceMode.USE:
            self._report(query, None)
            return
        number = next(self._numbers)
        self._peer_queries[number] = query
        self.after(ROUND_LIMIT_S, _ForgetQuery(number))
        self._query_pool(entry, number)

    def _report(
        self, query: core.StatusQuery, state: core.InstanceState | None
    ) -> None:
        report = core.StatusReport(
            self.vm, query.number, query.instance, state
        )
        self.send(names.peers(self.vm), core.SendToPeer(query.vm, report))

    @runtime.handles(_ForgetQuery)
    def _on_forget(self, message: _ForgetQuery) -> None:
        self._peer_queries.pop(message.number, None)
