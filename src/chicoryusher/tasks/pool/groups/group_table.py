"""Group table: the instances of each group, and this VM's pools to them."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterable
from collections.abc import Set
from typing import Protocol

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks.pool.connections import (
    instance_pool as instance_pool_module,
)
from chicoryusher.tasks.pool.groups import group_state as group_state_module

__all__ = [
    'DispatcherSettings',
    'GroupTable',
    'LinkFactory',
    'RestartOver',
]


class LinkFactory(Protocol):
    """Starts the tasks that own the sockets to instances."""

    def pool_link(
        self, vm: core.VmName, entry: core.InstanceEntry
    ) -> runtime.Task:
        """Start the task that owns the sockets to one instance.

        Its ``end`` closes them at once.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class DispatcherSettings:
    """The availability zone of this VM, and the region of each zone.

    ``revocation_s`` is how many seconds after its removal a team's key may
    still be used, None for no bound.  With ``paces_instances`` instances are
    loaded as far as their answers show that they can run the work.
    ``evidence`` is whether instances are asked for evidence when the primary
    lease has ended.  With ``keeps_to_cap`` no more connections are opened
    than instances accept, also after a restart of all VMs.
    ``max_kept_bytes`` limits the values and prepared statements that a session
    keeps.
    """

    zone: core.ZoneName
    regions: dict[core.ZoneName, core.RegionName]
    revocation_s: float | None = None
    paces_instances: bool = False
    evidence: core.EvidenceMode = core.EvidenceMode.OFF
    max_kept_bytes: int = decisions.CallerLimits().max_kept_bytes
    keeps_to_cap: bool = False

    @property
    def load_policy(self) -> core.LoadPolicy:
        """Return how the instances are loaded."""
        if self.paces_instances:
            return core.LoadPolicy.PACED
        return core.LoadPolicy.PLAIN


class RestartOver(core.Message):
    """The connections of this VM's earlier process are gone by now."""


class GroupTable:
    """Groups by service, with the instance pool of each instance.

    Decides which VMs own connections to an instance, and so whether its
    work runs on this VM or is forwarded.
    """

    def __init__(
        self,
        dispatcher: runtime.Task,
        loop: runtime.Runtime,
        factory: LinkFactory,
        settings: DispatcherSettings,
    ) -> None:
        self._dispatcher = dispatcher
        self._loop = loop
        self._factory = factory
        self._settings = settings
        # Timers of an instance's earlier link reach the present one, which
        # must not take them for its own connections.
        self._conn_numbers = itertools.count(1)
        self._config: core.PoolConfig | None = None
        self._own_place = core.EntryVmZone(dispatcher.vm, settings.zone)
        self._live_vms: tuple[core.EntryVmZone, ...] = (self._own_place,)
        self._owners: dict[core.InstanceName, tuple[core.VmName, ...]] = {}
        self._links: dict[core.InstanceName, runtime.Task] = {}
        self._pools: dict[
            core.InstanceName, instance_pool_module.InstancePool
        ] = {}
        self._last_primaries: dict[core.ServiceName, core.InstanceName] = {}
        self.groups: dict[core.ServiceName, group_state_module.PoolGroup] = {}
        self._has_just_started = settings.keeps_to_cap
        if settings.keeps_to_cap:
            dispatcher.after(decisions.RESTART_S, RestartOver())
        # Connection owners that get no work, since they don't respond.
        self.silent_owners: frozenset[core.VmName] = frozenset()

    def __contains__(self, name: core.InstanceName) -> bool:
        return name in self._pools

    @property
    def load_policy(self) -> core.LoadPolicy:
        """Return how the instances are loaded."""
        return self._settings.load_policy

    def pool_task(self, name: core.InstanceName) -> core.TaskName:
        """Return the task name of a registered instance's pool."""
        return self._pools[name].task_name

    def conn_owner(
        self,
        name: core.InstanceName,
        team: core.TeamName | None,
        avoided: Set[core.VmName] = frozenset(),
    ) -> core.VmName | None:
        """Return the VM to forward an instance's work to, None for this VM.

        VMs in ``avoided`` are passed over unless there are no others, and so
        are silent ones.
        """
        avoided |= self.silent_owners
        owners = self._owners.get(name, ())
        if team is not None:
            owners = decisions.sort_team_owners(team, owners)
        candidates = [vm for vm in owners if vm not in avoided] or owners
        owner = candidates[0] if candidates else self._dispatcher.vm
        return None if owner == self._dispatcher.vm else owner

    def other_owners(self, name: core.InstanceName) -> tuple[core.VmName, ...]:
        """Return the other VMs that keep connections, the nearest first."""
        owners = self._owners.get(name, ())
        return tuple(vm for vm in owners if vm != self._dispatcher.vm)

    def has_other_owner(
        self, name: core.InstanceName, avoided: Set[core.VmName]
    ) -> bool:
        """Return whether an owner is left that is not in ``avoided``.

        A silent one is none.
        """
        avoided |= self.silent_owners
        return any(vm not in avoided for vm in self._owners.get(name, ()))

    def out_of_reach(
        self, service: core.ServiceName
    ) -> frozenset[core.InstanceName]:
        """Return the group's instances whose owners are all silent."""
        if not self.silent_owners:
            return frozenset()
        return frozenset(
            name
            for name in self.groups[service].instances
            if self._owners.get(name)
            and not self.has_other_owner(name, frozenset())
        )

    def entry(self, name: core.InstanceName) -> core.InstanceEntry:
        """Return the entry of a registered instance."""
        return self._pools[name].entry

    def instance(
        self, service: core.ServiceName, name: core.InstanceName | None
    ) -> decisions.InstanceLoad | None:
        """Return an instance's state for routing, None if not registered."""
        group = self.groups.get(service)
        if group is None or name is None:
            return None
        return group.instances.get(name)

    def apply_config(self, config: core.PoolConfig) -> None:
        """Apply the connection limits of a configuration."""
        self._config = config
        self._send_shares(self._pools)

    def end_restart(self) -> None:
        """Use the whole share of connections from now on."""
        self._has_just_started = False
        self._send_shares(self._pools)

    def apply_live_vms(self, nodes: tuple[core.EntryVmZone, ...]) -> None:
        """Distribute the connections among these VMs."""
        if nodes != self._live_vms:
            self._live_vms = nodes
            self._send_shares(self._pools)

    def apply_group(
        self, message: core.GroupUpdate
    ) -> tuple[core.InstanceName, ...]:
        """Apply a group's members and primary.

        Return the instances that were removed or restarted.  Their pools
        have reported the end of all their work; the caller has to end the
        work that was forwarded to other VMs.
        """
        group = self.groups.get(message.service)
        if group is None:
            group = group_state_module.PoolGroup(message.service)
            self.groups[message.service] = group
        by_name = {instance.name: instance for instance in message.entries}
        removed = tuple(
            name
            for name, instance in group.instances.items()
            if name not in by_name
            or _is_restarted(instance.entry, by_name[name])
        )
        for name in removed:
            del group.instances[name]
            if group.outliers.forget(name):
                ejected = core.Metric.EJECTED
                self._dispatcher.meters.show(ejected, 0.0, instance=name)
            self._close_pool(name)
        for entry in message.entries:
            self._add_or_update(group, entry)
        group.set_primary(message.primary, self._dispatcher.now())
        self._note_promotion(message)
        self._send_shares(by_name)
        return removed

    def _add_or_update(
        self, group: group_state_module.PoolGroup, entry: core.InstanceEntry
    ) -> None:
        dispatcher = self._dispatcher
        group.record_leaving(entry, dispatcher.now())
        registered = group.instances.get(entry.name)
        if registered is not None:
            registered.entry = entry
            return
        near = decisions.nearness(
            self._settings.zone, entry.zone, self._settings.regions.get
        )
        distance = group_state_module.ROUND_TRIP_S[near]
        group.instances[entry.name] = decisions.InstanceLoad(entry, distance)
        self._links[entry.name] = self._factory.pool_link(dispatcher.vm, entry)
        pool = instance_pool_module.InstancePool(
            self._loop,
            dispatcher.vm,
            entry,
            self._conn_numbers,
            self._settings.load_policy,
        )
        self._pools[entry.name] = pool

    def _note_promotion(self, message: core.GroupUpdate) -> None:
        """Have an instance that has become the primary loaded slowly."""
        primary = message.primary
        if primary is None:
            return
        last = self._last_primaries.get(message.service, primary)
        self._last_primaries[message.service] = primary
        if primary != last:
            self.restart_pace(primary, 'the instance was promoted')

    def restart_pace(self, name: core.InstanceName, why: str) -> None:
        """Have this VM's pool load an instance slowly at first."""
        pool = self._pools.get(name)
        if pool is not None:
            restart = instance_pool_module.RestartPace(why)
            self._dispatcher.send(pool.task_name, restart)

    def _close_pool(self, name: core.InstanceName) -> None:
        pool = self._pools.pop(name, None)
        link = self._links.pop(name, None)
        self._owners.pop(name, None)
        if pool is not None:
            pool.remove()
        if link is not None:
            link.end()

    def _send_shares(self, instances: Iterable[core.InstanceName]) -> None:
        """Send the pools of these instances their share of connections."""
        if self._config is None:
            return
        limits = {
            config.name: config.connections for config in self._config.services
        }
        pools = [
            self._pools[name] for name in instances if name in self._pools
        ]
        for pool in pools:
            max_connections = limits.get(pool.entry.service)
            if max_connections is None:
                continue
            share = self._own_share(pool.entry, max_connections)
            self._dispatcher.send(
                pool.task_name, instance_pool_module.SetConnectionShare(share)
            )

    def _own_share(
        self, entry: core.InstanceEntry, max_connections: int
    ) -> decisions.ConnShare:
        """Return this VM's share of the connections to an instance."""
        region_of = self._settings.regions.get
        count = decisions.conn_owner_count(
            max_connections,
            len(self._live_vms),
            self._config is not None and bool(self._config.teams),
        )
        owners = decisions.choose_conn_owners(
            entry, self._live_vms, count, region_of
        )
        self._owners[entry.name] = decisions.sort_conn_owners(
            self._own_place, owners, region_of
        )
        if self._own_place not in owners:
            return decisions.NON_OWNER_SHARE
        if not self._settings.keeps_to_cap:
            return decisions.connection_share(max_connections, count)
        if self._has_just_started:
            # Not all VMs may be known yet.
            count = max(count, decisions.few_owners(max_connections))
        return decisions.bounded_share(
            max_connections, count, self._has_just_started
        )


def _is_restarted(old: core.InstanceEntry, new: core.InstanceEntry) -> bool:
    """Return whether the instance has restarted or has another address."""
    return (old.host, old.port, old.incarnation) != (
        new.host,
        new.port,
        new.incarnation,
    )
