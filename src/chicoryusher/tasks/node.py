"""The node: composes the tasks of one VM and assigns its gates.

A harness can build a node with its own edges: it gives an ``Edges``
whose methods start tasks that speak the same messages.
"""

from __future__ import annotations

from typing import Protocol

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import configurator
from chicoryusher.tasks import gate
from chicoryusher.tasks import gate_actions  # noqa: F401 - fills a registry
from chicoryusher.tasks import group
from chicoryusher.tasks import group_actions  # noqa: F401 - fills a registry
from chicoryusher.tasks import membership
from chicoryusher.tasks import names
from chicoryusher.tasks import notices
from chicoryusher.tasks import router

__all__ = ['Edges', 'Node']


class Edges(Protocol):
    """Ports of a node: what it starts to meet the outside.

    Each method starts a task under the name that ``names`` gives it.
    """

    def platform(self, vm: core.VmName) -> None:
        """Start the client of the table and the list of VMs."""

    def peers(self, vm: core.VmName) -> None:
        """Start the streams to other VMs."""

    def link(
        self, vm: core.VmName, spec: decisions.InstanceSpec
    ) -> runtime.Task:
        """Start the connections to one instance."""

    def agent(
        self, vm: core.VmName, spec: decisions.InstanceSpec
    ) -> runtime.Task:
        """Start the client of one instance's group agent."""


class Node(runtime.Task):
    """Start the VM's tasks; give gates out as the membership says."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        edges: Edges,
        settings: router.RouterSettings,
        policy: str = decisions.DEFAULT_POLICY,
        extra_receivers: tuple[core.TaskName, ...] = (),
    ) -> None:
        super().__init__(loop, vm, 'node')
        self._loop = loop
        self._edges = edges
        self._policy = policy
        self._placement = decisions.PLACEMENTS.get(settings.placement)()
        self._config: decisions.Configuration | None = None
        self._live: tuple[core.VmName, ...] | None = None
        self._gates: dict[core.InstanceName, gate.Gate] = {}
        self._links: dict[core.InstanceName, runtime.Task] = {}
        self._agents: dict[core.InstanceName, runtime.Task] = {}
        self._groups: dict[core.DatabaseName, group.Group] = {}
        self._draining = False
        edges.platform(vm)
        edges.peers(vm)
        self.router = router.Router(loop, vm, settings)
        self.membership = membership.MembershipTask(loop, vm)
        receivers = (
            names.peers(vm),
            names.router(vm),
            self.task_name,
            names.membership(vm),
            *extra_receivers,
        )
        self.configurator = configurator.Configurator(loop, vm, receivers)

    @property
    def gates(self) -> dict[core.InstanceName, gate.Gate]:
        """Return the gate tasks of this VM by instance."""
        return self._gates

    @property
    def groups(self) -> dict[core.DatabaseName, group.Group]:
        """Return the watches of this VM by database."""
        return self._groups

    @runtime.handles(notices.ConfigInForce)
    def _on_config(self, message: notices.ConfigInForce) -> None:
        self._config = message.config
        self._assign()

    @runtime.handles(core.LiveVms)
    def _on_live(self, live: core.LiveVms) -> None:
        self._live = live.vms
        self._assign()

    def _assign(self) -> None:
        config, live = self._config, self._live
        if config is None or live is None:
            return
        zones = decisions.LiveZones(config, live)
        mine = {
            spec.name: self._placement.part(spec, live)
            for spec in config.instances
            if not self._draining
            and self._placement.serves(spec, zones, self.vm)
        }
        self._watch_groups(config, zones, set(mine))
        for name, spec in mine.items():
            if name not in self._gates:
                self._add_gate(spec)
            self._tell_gate(name, spec, True)
        for name, one in self._gates.items():
            if name not in mine:
                self._tell_gate(name, one.spec, False)

    def _tell_gate(
        self,
        name: core.InstanceName,
        spec: decisions.InstanceSpec,
        assigned: bool,
    ) -> None:
        exclusive = self._placement.exclusive
        self.send(
            names.gate(self.vm, name),
            notices.AssignGate(spec, assigned, exclusive),
        )

    def _add_gate(self, spec: decisions.InstanceSpec) -> None:
        self._gates[spec.name] = gate.Gate(
            self._loop, self.vm, spec, self._policy
        )
        self._links[spec.name] = self._edges.link(self.vm, spec)

    def _watch_groups(
        self,
        config: decisions.Configuration,
        zones: decisions.LiveZones,
        mine: set[core.InstanceName],
    ) -> None:
        for database in config.databases:
            gates = tuple(one for one in database.instances if one in mine)
            if gates:
                self._watch_group(config, zones, database, gates)
        watched = {
            one.database for one in config.instances if one.name in mine
        }
        for name in set(self._groups) - watched:
            self._unwatch(name)

    def _watch_group(
        self,
        config: decisions.Configuration,
        zones: decisions.LiveZones,
        database: decisions.DatabaseSpec,
        gates: tuple[core.InstanceName, ...],
    ) -> None:
        specs = config.group(database.name)
        watchers = {
            vm
            for spec in specs
            if (vm := decisions.gate_of(spec, zones)) is not None
        }
        order = decisions.ranked(database.name, watchers)
        rank = order.index(self.vm) if self.vm in order else len(order)
        for spec in specs:
            if spec.name not in self._agents:
                self._agents[spec.name] = self._edges.agent(self.vm, spec)
        if database.name not in self._groups:
            self._groups[database.name] = group.Group(
                self._loop,
                self.vm,
                database.name,
                database.instances,
                gates,
                rank,
            )
            return
        self.send(
            names.group(self.vm, database.name),
            notices.WatchGroup(database.instances, gates, rank),
        )

    def _unwatch(self, name: core.DatabaseName) -> None:
        self._groups.pop(name).end()
        members = {
            one.name
            for one in (self._config.instances if self._config else ())
            if one.database == name
        }
        for member in members & set(self._agents):
            self._agents.pop(member).end()

    @runtime.handles(core.Submit)
    def _on_submit(self, submit: core.Submit) -> None:
        if submit.instance in self._gates:
            self.send(names.gate(self.vm, submit.instance), submit)
            return
        moved = core.GateMoved(
            submit.request.request_id,
            submit.instance,
            core.MoveReason.NOT_GATE,
        )
        self.send(names.peers(self.vm), core.ToPeer(submit.origin, moved))

    @runtime.handles(core.AbortTransaction)
    def _on_abort(self, abort: core.AbortTransaction) -> None:
        if abort.instance in self._gates:
            self.send(names.gate(self.vm, abort.instance), abort)

    @runtime.handles(core.Consumed)
    def _on_consumed(self, consumed: core.Consumed) -> None:
        if consumed.instance in self._gates:
            self.send(names.gate(self.vm, consumed.instance), consumed)

    @runtime.handles(core.PeerDown)
    def _on_peer_down(self, down: core.PeerDown) -> None:
        for name in self._gates:
            self.send(names.gate(self.vm, name), down)

    @runtime.handles(core.Drain)
    def _on_drain(self, drain: core.Drain) -> None:
        """Give every gate up; routers go to the next VMs."""
        self._draining = True
        self.send(names.membership(self.vm), drain)
        self.send(names.router(self.vm), drain)
        self._assign()

    @runtime.handles(notices.Ask)
    def _on_ask(self, ask: notices.Ask) -> None:
        row = (
            ('vm', str(self.vm)),
            ('state', 'draining' if self._draining else 'running'),
            ('config', str(self.configurator.version)),
            ('gates', str(len(self._gates))),
            ('reads', str(self.router.reads)),
            ('replica_reads', str(self.router.replica_reads)),
            ('moves', str(self.router.moves)),
            ('unknown', str(self.router.unknown)),
        )
        self.send(
            ask.reply_to, notices.Told(self.task_name, ask.number, (row,))
        )
