"""A whole deployment on the virtual clock, running the real tasks."""

from __future__ import annotations

import collections
import json
from typing import Any

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher import tasks
from chicoryusher_standins import deployments
from chicoryusher_standins import group as group_module
from chicoryusher_standins import platform as platform_module
from chicoryusher_standins.lab import edges as edges_module
from chicoryusher_standins.lab import instance as instance_module
from chicoryusher_standins.lab import network as network_module
from chicoryusher_standins.lab import pausing

__all__ = ['Site']

ADVANCE_INTERVAL_S = 0.002
LOCK_IDLE_TIMEOUT_S = 3.0
HOST = '127.0.0.1'
TOKEN_KEY = b'lab-token-key'
Place = network_module.Place


class _Advance(core.Message):
    """Time to replicate log entries."""


class _Replicator(runtime.Task):
    """Advance the replication of every group periodically."""

    def __init__(self, site: Site) -> None:
        super().__init__(site.loop, '', 'replicator')
        self._site = site
        self.after(ADVANCE_INTERVAL_S, _Advance())

    @runtime.handles(_Advance)
    def _on_advance(self, turn: _Advance) -> None:
        for group in self._site.groups.values():
            group.advance(self.now())
        self.after(ADVANCE_INTERVAL_S, _Advance())


class Site:
    """The nodes, instances and platform of one deployment."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        seed: int = 1,
        queue_policy: str = decisions.DEFAULT_QUEUE_POLICY,
        routing_policy: str = 'nearest_fresh_replica',
        lags: tuple[float, ...] = (0.0, 0.020, 0.080),
        placement: str = decisions.DEFAULT_GATE_PLACEMENT,
        **rules: Any,
    ) -> None:
        self.loop = pausing.LabRuntime()
        self.deployment = deployment
        self.queue_policy = queue_policy
        self.routing_policy = routing_policy
        self.placement = placement
        self.document = deployments.document(deployment, HOST, 1)
        self.document['rules'].update(rules)
        self.network = network_module.Network(self.loop, deployment)
        self.platform = platform_module.PlatformModel()
        self.platform_unreachable: set[str] = set()
        self.control_bytes: collections.Counter[str] = collections.Counter()
        zones = dict(deployment.zones)
        store = next(zone for zone in zones if zones[zone] == deployment.store)
        self.platform_place = Place('platform', store)
        self.vms: dict[core.VmName, edges_module.SimVm] = {}
        self.nodes: dict[core.VmName, tasks.Node] = {}
        self.groups: dict[core.DatabaseName, group_module.GroupModel] = {}
        self.servers: dict[core.InstanceName, instance_module.SimServer] = {}
        for database in self.document['register']['databases']:
            self._add_group(database, lags, seed)
        self.edges = edges_module.SimEdges(self)
        for vm in self.document['register']['vms']:
            self.add_vm(core.VmName(vm['name']), vm['zone'])
        self.replicator = _Replicator(self)
        self.put_config()

    def _add_group(
        self, database: dict[str, Any], lags: tuple[float, ...], seed: int
    ) -> None:
        specs = database['instances']
        names = [core.InstanceName(member['name']) for member in specs]
        name = core.DatabaseName(database['name'])
        model = group_module.GroupModel(name, names, seed)
        self.groups[name] = model
        rows: dict[core.InstanceName, instance_module.SimInstance] = {}
        for index, spec in enumerate(specs):
            member = model.instances[core.InstanceName(spec['name'])]
            member.lag = lags[index % len(lags)]
            place = Place(spec['name'], spec['zone'])
            rows[member.name] = instance_module.SimInstance(member)
            member.link_delay = self.network.delay(
                Place('', specs[0]['zone']), place
            )
            self.servers[member.name] = instance_module.SimServer(
                self.loop,
                model,
                rows[member.name],
                place,
                spec['slots'],
                spec['connections'],
            )
        model.on_apply = lambda member, entry: rows[member.name].apply(entry)
        model.on_rebuild = lambda member: rows[member.name].rebuild()
        model.reaches = lambda member, other: self.network.reaches(
            self.servers[member.name].place, self.servers[other.name].place
        )

    def add_vm(self, name: core.VmName, zone: str) -> None:
        """Start an entry VM and its node."""
        self.vms[name] = edges_module.SimVm(name, Place(name, zone))
        self.platform.vms[name] = False
        self.nodes[name] = tasks.Node(
            self.loop,
            name,
            self.edges,
            tasks.RouterSettings(
                core.ZoneName(zone),
                TOKEN_KEY,
                policy=self.routing_policy,
                placement=self.placement,
            ),
            self.queue_policy,
        )

    def put_config(self) -> None:
        """Publish the site's configuration document on the platform."""
        self.platform.put_config(json.dumps(self.document).encode())

    # -- faults -----------------------------------------------------

    def lock_is_free(
        self, server: instance_module.SimServer, claimant: core.VmName
    ) -> bool:
        """Return whether an instance would grant its gate lock.

        The lock of a paused or unreachable VM becomes free once its
        connection has been idle for ``LOCK_IDLE_TIMEOUT_S``.
        """
        holder = server.lock_owner
        if holder in (None, claimant):
            return True
        vm = self.vms[core.VmName(holder)]
        if not vm.alive:
            return True
        now = self.loop.clock.now()
        unresponsive_since = vm.paused_at
        if not self.network.reaches(vm.place, server.place):
            unresponsive_since = self.network.cut_at
        return (
            unresponsive_since is not None
            and now - unresponsive_since >= LOCK_IDLE_TIMEOUT_S
        )

    def links_broken(self, server: instance_module.SimServer) -> None:
        """Make links report the connections that an instance has ended."""
        for link in self.edges.links:
            if link.server is server:
                link.broken()

    def kill_instance(self, name: core.InstanceName) -> None:
        """Kill an instance; its connections end."""
        self.servers[name].die()
        self.links_broken(self.servers[name])

    def kill_vm(self, name: core.VmName) -> None:
        """Kill a VM; its connections and streams end."""
        self.vms[name].alive = False
        self.loop.kill(name)
        for server in self.servers.values():
            if server.lock_owner == name:
                server.lock_owner = None
            server.close_owner(name)
        for vm, peers in self.edges.peer_tasks.items():
            if vm != name and self.vms[vm].alive:
                peers.peer_down(name)

    def pause_vm(self, name: core.VmName) -> None:
        """Pause a VM; its connections stay open."""
        self.vms[name].paused_at = self.loop.clock.now()
        self.loop.pause(name)

    def resume_vm(self, name: core.VmName) -> None:
        """Resume a paused VM."""
        self.vms[name].paused_at = None
        self.loop.go_on(name)

    def primary(self, database: str) -> instance_module.SimServer:
        """Return the server of the group's primary."""
        leader = self.groups[core.DatabaseName(database)].primary()
        assert leader is not None
        return self.servers[leader.name]

    def databases(self) -> list[core.DatabaseName]:
        """Return the names of the databases."""
        return list(self.groups)

    def run_for(self, seconds: float) -> None:
        """Run the site for some virtual seconds."""
        self.loop.run_for(seconds)

    def close(self) -> None:
        """Close the event loop's file descriptors."""
        self.loop.close()
