"""Node: starts the tasks of one VM and assigns its gates.

The tasks with sockets are started by an ``TaskFactory`` object.  Tests and
simulations give another one, whose tasks handle the same messages.
"""

from __future__ import annotations

from typing import Protocol

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import config_evidence
from chicoryusher.tasks import configurator
from chicoryusher.tasks import gate
from chicoryusher.tasks import gate_actions  # noqa: F401 - fills a registry
from chicoryusher.tasks import group_monitor
from chicoryusher.tasks import group_monitor_actions  # noqa: F401 - fills a registry
from chicoryusher.tasks import membership
from chicoryusher.tasks import names
from chicoryusher.tasks import router
from chicoryusher.tasks import task_messages
from chicoryusher.tasks.limits import limit_keeper
from chicoryusher.tasks.limits import limiter

__all__ = ['TaskFactory', 'Node']

# Keepers grant no more than the register says, also with operations that start
# as late as an allowance is valid.
LIMIT_TOLERANCE = core.LimitTolerance(
    ratio=0.0, requests=0.0, late_start_s=decisions.MIN_VALIDITY_S
)


class TaskFactory(Protocol):
    """Starts the tasks of a node that have sockets.

    Each method starts a task with the task name from ``names``.
    """

    def platform(self, vm: core.VmName) -> None:
        """Start the client of the platform: table, objects, list of VMs."""

    def peers(self, vm: core.VmName) -> None:
        """Start the task with the streams to other VMs."""

    def link(
        self, vm: core.VmName, spec: decisions.InstanceSpec
    ) -> runtime.Task:
        """Start the task with the connections to one instance."""

    def agent(
        self, vm: core.VmName, spec: decisions.InstanceSpec
    ) -> runtime.Task:
        """Start the client of the agent beside one instance."""


class Node(runtime.Task):
    """Task that starts the other tasks of its VM.

    Gates and group monitors are started when this VM becomes the gate of
    an instance, by the configuration and the live VMs.
    """

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        factory: TaskFactory,
        settings: router.RouterSettings,
        policy: str = decisions.DEFAULT_QUEUE_POLICY,
        extra_receivers: tuple[core.TaskName, ...] = (),
    ) -> None:
        super().__init__(loop, vm, 'node')
        self._loop = loop
        self._factory = factory
        self._policy = policy
        self._placement = decisions.GATE_PLACEMENTS.get(settings.placement)()
        self._configuration: decisions.Configuration | None = None
        self._live_vms: tuple[core.VmName, ...] | None = None
        self._gates: dict[core.InstanceName, gate.Gate] = {}
        self._links: dict[core.InstanceName, runtime.Task] = {}
        self._agents: dict[core.InstanceName, runtime.Task] = {}
        self._groups: dict[core.DatabaseName, group_monitor.GroupMonitor] = {}
        self._draining = False
        factory.platform(vm)
        factory.peers(vm)
        self.router = router.Router(loop, vm, settings)
        self.membership = membership.MembershipTask(loop, vm)
        self.config_evidence = config_evidence.ConfigEvidence(loop, vm)
        limiter.Limiter(loop, vm, LIMIT_TOLERANCE, settings.zone, {})
        limit_keeper.LimitKeeper(loop, vm, LIMIT_TOLERANCE)
        receivers = (
            names.peers(vm),
            # The limiter must know a team before the router asks for it.
            names.limiter(vm),
            names.limit_keeper(vm),
            names.router(vm),
            names.config_evidence(vm),
            self.task_name,
            names.membership(vm),
            *extra_receivers,
        )
        self.configurator = configurator.Configurator(loop, vm, receivers)

    @property
    def gates(self) -> dict[core.InstanceName, gate.Gate]:
        """Return the gates of this VM by instance."""
        return self._gates

    @property
    def groups(self) -> dict[core.DatabaseName, group_monitor.GroupMonitor]:
        """Return the group monitors of this VM by database."""
        return self._groups

    @runtime.handles(task_messages.ConfigUpdate)
    def _on_config(self, message: task_messages.ConfigUpdate) -> None:
        self._configuration = message.config
        self._assign_gates()
        self._send_limit_vms()

    @runtime.handles(core.LiveVms)
    def _on_live(self, live: core.LiveVms) -> None:
        self._live_vms = live.vms
        self._assign_gates()
        self._send_limit_vms()

    def _send_limit_vms(self) -> None:
        """Report which VMs share the limits of teams, if there are any."""
        config, live = self._configuration, self._live_vms
        if config is None or live is None:
            return
        if not decisions.limited_teams(config.teams):
            return
        message = decisions.limit_vms(config, frozenset(live), self.vm)
        self.send(names.limiter(self.vm), message)
        self.send(names.limit_keeper(self.vm), message)

    def _assign_gates(self) -> None:
        """Start, update and release gates by the current assignment.

        A gate that is no longer assigned keeps its task.
        """
        config, live = self._configuration, self._live_vms
        if config is None or live is None:
            return
        zones = decisions.LiveVmsByZone(config, live)
        served = {
            spec.name: self._placement.share(spec, live)
            for spec in config.instances
            if not self._draining
            and self._placement.is_gate(spec, zones, self.vm)
        }
        self._monitor_groups(config, zones, set(served))
        for name, spec in served.items():
            if name not in self._gates:
                self._start_gate(spec)
            self._send_assignment(name, spec, True)
        for name, gate_task in self._gates.items():
            if name not in served:
                self._send_assignment(name, gate_task.spec, False)

    def _send_assignment(
        self,
        name: core.InstanceName,
        spec: decisions.InstanceSpec,
        assigned: bool,
    ) -> None:
        exclusive = self._placement.exclusive
        self.send(
            names.gate(self.vm, name),
            task_messages.AssignGate(spec, assigned, exclusive),
        )

    def _start_gate(self, spec: decisions.InstanceSpec) -> None:
        self._gates[spec.name] = gate.Gate(
            self._loop, self.vm, spec, self._policy
        )
        self._links[spec.name] = self._factory.link(self.vm, spec)

    def _monitor_groups(
        self,
        config: decisions.Configuration,
        zones: decisions.LiveVmsByZone,
        served: set[core.InstanceName],
    ) -> None:
        for database in config.databases:
            gates = tuple(
                entry for entry in database.instances if entry in served
            )
            if gates:
                self._monitor_group(config, zones, database, gates)
        monitored = {
            entry.database
            for entry in config.instances
            if entry.name in served
        }
        for name in set(self._groups) - monitored:
            self._stop_monitor(name)

    def _monitor_group(
        self,
        config: decisions.Configuration,
        zones: decisions.LiveVmsByZone,
        database: decisions.DatabaseSpec,
        gates: tuple[core.InstanceName, ...],
    ) -> None:
        """Start or update the group monitor of a database.

        Its rank follows an order of the VMs that are gates of the group,
        which every VM computes alike.
        """
        specs = config.group(database.name)
        monitor_vms = {
            vm
            for spec in specs
            if (vm := decisions.gate_of(spec, zones)) is not None
        }
        order = decisions.rank_vms(database.name, monitor_vms)
        rank = order.index(self.vm) if self.vm in order else len(order)
        for spec in specs:
            if spec.name not in self._agents:
                self._agents[spec.name] = self._factory.agent(self.vm, spec)
        if database.name not in self._groups:
            self._groups[database.name] = group_monitor.GroupMonitor(
                self._loop,
                self.vm,
                database.name,
                database.instances,
                gates,
                rank,
            )
            return
        self.send(
            names.group_monitor(self.vm, database.name),
            task_messages.MonitorGroup(database.instances, gates, rank),
        )

    def _stop_monitor(self, name: core.DatabaseName) -> None:
        """End a group monitor and the agents' clients of its instances."""
        self._groups.pop(name).end()
        members = {
            spec.name
            for spec in (
                self._configuration.instances if self._configuration else ()
            )
            if spec.database == name
        }
        for member in members & set(self._agents):
            self._agents.pop(member).end()

    @runtime.handles(core.Submit)
    def _on_submit(self, submit: core.Submit) -> None:
        if submit.instance in self._gates:
            self.send(names.gate(self.vm, submit.instance), submit)
            return
        moved = core.RequestMoved(
            submit.request.request_id,
            submit.instance,
            core.MoveReason.NOT_GATE,
        )
        self.send(names.peers(self.vm), core.SendToPeer(submit.origin, moved))

    @runtime.handles(core.AbortTransaction)
    def _on_abort(self, abort: core.AbortTransaction) -> None:
        if abort.instance in self._gates:
            self.send(names.gate(self.vm, abort.instance), abort)

    @runtime.handles(core.AnswerConsumed)
    def _on_consumed(self, consumed: core.AnswerConsumed) -> None:
        if consumed.instance in self._gates:
            self.send(names.gate(self.vm, consumed.instance), consumed)

    @runtime.handles(core.PeerDown)
    def _on_peer_down(self, down: core.PeerDown) -> None:
        for name in self._gates:
            self.send(names.gate(self.vm, name), down)

    @runtime.handles(core.Drain)
    def _on_drain(self, drain: core.Drain) -> None:
        """Release every gate, so that other VMs become the gates."""
        self._draining = True
        self.send(names.membership(self.vm), drain)
        self.send(names.router(self.vm), drain)
        self.send(names.limit_keeper(self.vm), drain)
        self._assign_gates()

    @runtime.handles(task_messages.StateQuery)
    def _on_query(self, query: task_messages.StateQuery) -> None:
        row = (
            ('vm', str(self.vm)),
            ('state', 'draining' if self._draining else 'running'),
            ('config', str(self.configurator.version)),
            ('gates', str(len(self._gates))),
            ('reads', str(self.router.reads)),
            ('replica_reads', str(self.router.replica_reads)),
            ('moves', str(self.router.moves)),
            ('unknown', str(self.router.unknown)),
            *self._team_fields(),
        )
        self.send(
            query.reply_to,
            task_messages.StateReport(self.task_name, query.number, (row,)),
        )

    def _team_fields(self) -> tuple[tuple[str, str], ...]:
        """Return the fields that only deployments with teams have.

        ``confirmed`` is how many seconds ago the configuration was last known
        to be the newest.
        """
        rights = self.router.rights
        if not rights.teams:
            return ()
        return (
            ('teams', str(len(rights.teams))),
            ('confirmed', f'{rights.evidence_age_s:.1f}'),
        )
