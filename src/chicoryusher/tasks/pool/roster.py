"""The instances of each group, and one VM's lanes to them."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks.pool import groups as groups_module
from chicoryusher.tasks.pool import lane as lane_module

__all__ = ['DeskSettings', 'LaneEdges', 'Roster']


class LaneEdges(Protocol):
    """Ports of a desk: the connections to instances."""

    def pool_link(
        self, vm: core.VmName, entry: core.InstanceEntry
    ) -> runtime.Task:
        """Start the sockets to one instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeskSettings:
    """Where the VM is."""

    zone: core.ZoneName
    regions: dict[core.ZoneName, core.RegionName]


class Roster:
    """Groups by service, and the lanes and links that a desk started."""

    def __init__(
        self,
        desk: runtime.Task,
        loop: runtime.Runtime,
        edges: LaneEdges,
        settings: DeskSettings,
    ) -> None:
        self._desk = desk
        self._loop = loop
        self._edges = edges
        self._settings = settings
        self._config: core.PoolConfig | None = None
        self._own = core.NodePlace(desk.vm, settings.zone)
        self._nodes: tuple[core.NodePlace, ...] = (self._own,)
        self._vias: dict[core.InstanceName, core.VmName] = {}
        self._links: dict[core.InstanceName, runtime.Task] = {}
        self._lanes: dict[core.InstanceName, lane_module.Lane] = {}
        self.groups: dict[core.ServiceName, groups_module.PoolGroup] = {}

    def __contains__(self, name: core.InstanceName) -> bool:
        return name in self._lanes

    def lane(self, name: core.InstanceName) -> core.TaskName:
        """Return the name of the lane to an instance that is here."""
        return self._lanes[name].task_name

    def via(self, name: core.InstanceName) -> core.VmName | None:
        """Return the VM to send an instance's work to, None for this one."""
        return self._vias.get(name)

    def entry(self, name: core.InstanceName) -> core.InstanceEntry:
        """Return the entry of an instance that is here."""
        return self._lanes[name].entry

    def instance(
        self, service: core.ServiceName, name: core.InstanceName | None
    ) -> decisions.PoolInstance | None:
        """Return what is known about an instance, None if it has gone."""
        group = self.groups.get(service)
        if group is None or name is None:
            return None
        return group.instances.get(name)

    def take_config(self, config: core.PoolConfig) -> None:
        """Deal connections out as the configuration says."""
        self._config = config
        self._deal_shares()

    def take_live(self, nodes: tuple[core.NodePlace, ...]) -> None:
        """Deal connections out among these VMs."""
        if nodes != self._nodes:
            self._nodes = nodes
            self._deal_shares()

    def take_group(
        self, message: core.GroupInForce
    ) -> tuple[core.InstanceName, ...]:
        """Take a group as it is now; return the instances that ended.

        The work on them is still to be ended.
        """
        group = self.groups.get(message.service)
        if group is None:
            group = groups_module.PoolGroup(message.service)
            self.groups[message.service] = group
        known = {one.name: one for one in message.entries}
        ended = tuple(
            name
            for name, one in group.instances.items()
            if name not in known or _moved(one.entry, known[name])
        )
        for name in ended:
            del group.instances[name]
            self._end_lane(name)
        for entry in message.entries:
            self._place(group, entry)
        group.take_primary(message.primary, self._desk.now())
        self._deal_shares()
        return ended

    def _place(
        self, group: groups_module.PoolGroup, entry: core.InstanceEntry
    ) -> None:
        desk = self._desk
        group.note_leaving(entry, desk.now())
        known = group.instances.get(entry.name)
        if known is not None:
            known.entry = entry
            return
        near = decisions.nearness(
            self._settings.zone, entry.zone, self._settings.regions.get
        )
        distance = groups_module.DISTANCES[near]
        group.instances[entry.name] = decisions.PoolInstance(entry, distance)
        self._links[entry.name] = self._edges.pool_link(desk.vm, entry)
        lane = lane_module.Lane(self._loop, desk.vm, entry)
        self._lanes[entry.name] = lane

    def _end_lane(self, name: core.InstanceName) -> None:
        lane = self._lanes.pop(name, None)
        link = self._links.pop(name, None)
        self._vias.pop(name, None)
        if lane is not None:
            lane.end()
        if link is not None:
            self._desk.send(link.task_name, core.StopLane())

    def _deal_shares(self) -> None:
        if self._config is None:
            return
        caps = {one.name: one.connections for one in self._config.services}
        for lane in self._lanes.values():
            cap = caps.get(lane.entry.service)
            if cap is None:
                continue
            share = self._share(lane.entry, cap)
            self._desk.send(lane.task_name, lane_module.LaneShare(share))

    def _share(
        self, entry: core.InstanceEntry, cap: int
    ) -> decisions.ConnShare:
        """Return this VM's share; note whom its work goes through."""
        self._vias.pop(entry.name, None)
        region_of = self._settings.regions.get
        count = decisions.holder_count(cap, len(self._nodes))
        holders = decisions.holders_of(entry, self._nodes, count, region_of)
        if self._own in holders:
            return decisions.connection_share(cap, count)
        nearest = decisions.nearest_holder(self._own, holders, region_of)
        if nearest is not None:
            self._vias[entry.name] = nearest
        return decisions.NO_SHARE


def _moved(old: core.InstanceEntry, new: core.InstanceEntry) -> bool:
    return (old.host, old.port, old.boot) != (new.host, new.port, new.boot)
