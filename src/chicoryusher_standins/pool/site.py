"""Several entry VMs with pooled sessions on one virtual clock.

The VMs run the real tasks; group, store, peers and platform are simulated.
"""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import peers
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.limits import limit_keeper
from chicoryusher.tasks.limits import limiter
from chicoryusher.tasks.pool.exchange import forwarder
from chicoryusher.tasks.pool.exchange import relay
from chicoryusher.tasks.pool.exchange import view_exchange
from chicoryusher.tasks.pool.groups import evidence_collector
from chicoryusher.tasks.pool.groups import (
    primary_manager as primary_manager_module,
)
from chicoryusher.tasks.pool.groups import reachability
from chicoryusher.tasks.pool.statements import dispatcher as dispatcher_module
from chicoryusher_standins.pool import callers
from chicoryusher_standins.pool import group as group_module
from chicoryusher_standins.pool import links
from chicoryusher_standins.pool import store as store_module

__all__ = ['CONFIG', 'REVOCATION_S', 'SERVICE', 'Site', 'Vm']

SERVICE = core.ServiceName('spoonbook')
ZONES = ('akhmim-yard', 'qena-mill', 'alex-depot')
REGIONS = {
    core.ZoneName('akhmim-yard'): core.RegionName('upper-nile'),
    core.ZoneName('qena-mill'): core.RegionName('upper-nile'),
    core.ZoneName('alex-depot'): core.RegionName('delta'),
}
PEER_DELAY_S = 0.003
# Seconds for which a team's key may still be used after its removal.
REVOCATION_S = 5.0
CONFIG = core.PoolConfig(
    core.ConfigVersion(1),
    tuple(
        core.PoolRoute(
            core.DatabaseName(access.value),
            SERVICE,
            access,
            1.5,
            1.0,
            0.6,
            1,
        )
        for access in core.ReadAccess
    ),
    (core.PoolService(SERVICE, 21),),
    3.0,
)


class SimPeers(runtime.Task):
    """Carries messages between VMs, except pairs in ``site.cut``."""

    def __init__(
        self, loop: runtime.Runtime, vm: core.VmName, site: Site
    ) -> None:
        super().__init__(loop, vm, 'peers')
        self._site = site
        self._timers = loop.timers

    @runtime.handles(core.SendToPeer)
    def _on_send(self, message: core.SendToPeer) -> None:
        sent = message.message
        self._site.sent.append((message.vm, sent))
        if self._site.parted(self.vm, message.vm):
            return
        if self._site.names_no_era and isinstance(sent, core.Ping | core.Pong):
            sent = dataclasses.replace(sent, era=core.StoreEra(0))
        receiver = peers.receiving_task(message.vm, sent)
        self._timers.add(PEER_DELAY_S, receiver, sent)

    @runtime.handles(core.LiveVms)
    def _on_live(self, message: core.LiveVms) -> None:
        """Report the streams to gone VMs as down, as the real task does."""
        for vm, state in message.states:
            if state is core.VmState.GONE:
                self.send(names.forwarder(self.vm), core.PeerDown(vm))
                self.send(names.relay(self.vm), core.PeerDown(vm))

    @runtime.handles(core.PeerAddresses)
    def _on_addresses(self, message: core.Message) -> None:
        """Ignore addresses: messages are delivered without sockets."""


class Vm(runtime.Task):
    """One entry VM: the real tasks, connected to the site's test doubles.

    ``enough`` is set once the VM has read enough of the store to serve.
    """

    def __init__(self, site: Site, name: str, zone: str) -> None:
        vm = core.VmName(name)
        super().__init__(site.loop, vm, 'entry')
        self._site = site
        self.row = core.EntryVmRow(
            vm, '10.0.0.1', 7440, core.ZoneName(zone), 'b1'
        )
        self.enough = False
        self.links: dict[core.InstanceName, links.SimLink] = {}
        SimPeers(site.loop, vm, site)
        self.keeper = primary_manager_module.PrimaryManager(
            site.loop,
            vm,
            self.task_name,
            site.evidence,
            site.announces_changes,
        )
        self.collector = evidence_collector.EvidenceCollector(
            site.loop, vm, site.evidence, group_module.decode_status
        )
        reachability.ReachabilityMonitor(
            site.loop, vm, self.row.zone, site.judges_in_partition
        )
        forwarder.Forwarder(site.loop, vm, site.watches_owners)
        relay.Relay(site.loop, vm)
        limiter.Limiter(
            site.loop, vm, core.LimitTolerance(), self.row.zone, REGIONS
        )
        self.limit_keeper = limit_keeper.LimitKeeper(
            site.loop, vm, site.limit_tolerance
        )
        rows = store_module.SimRows(site.loop, vm, site.store, site.entries)
        self._exchange = view_exchange.ViewExchange(
            site.loop,
            vm,
            self.row,
            REGIONS,
            dict.fromkeys(store_module.POLLED_VIEWS, rows.task_name),
            site.evidence,
        )
        self.desk = dispatcher_module.Dispatcher(
            site.loop,
            vm,
            self,
            dispatcher_module.DispatcherSettings(
                core.ZoneName(zone),
                REGIONS,
                REVOCATION_S,
                site.paces_instances,
                site.evidence,
                keeps_to_cap=site.keeps_to_cap,
            ),
        )
        groups = (site.group,)
        self.prober = links.SimProber(site.loop, vm, groups, site.cut)
        self.promotions = links.SimPromotions(
            site.loop, vm, groups, site.tokens
        )
        self.send(names.row_client(vm), core.WriteEntryVmRow(self.row, 0))

    @runtime.handles(core.ReadyToServe)
    def _on_knows(self, message: core.ReadyToServe) -> None:
        self.enough = True

    def pool_link(
        self, vm: core.VmName, entry: core.InstanceEntry
    ) -> runtime.Task:
        """Create the task that holds the connections to one instance."""
        instance = self._site.group.instances[entry.name]
        link = links.SimLink(self._site.loop, vm, instance, self._site.cut)
        self.links[entry.name] = link
        return link

    def view_age(self, kind: core.StoreView) -> float:
        """Return the age of this VM's view of a partition of the store."""
        return self._exchange.view_age_s(kind)

    def handover_state(self) -> core.HandoverState:
        """Return the step of this VM's change of primary."""
        task = self.keeper.handovers.get(SERVICE)
        return core.HandoverState.IDLE if task is None else task.state

    def caller(
        self, access: core.ReadAccess, key: core.KeyDigest | None = None
    ) -> callers.Caller:
        """Open a session on the route with this kind of access."""
        return callers.Caller(
            self._site.loop,
            self.vm,
            names.dispatcher(self.vm),
            access.value,
            key,
        )


class Site:
    """VMs, one group and a store, on which tests inject faults.

    ``cut`` holds pairs of names (VMs, instances) between which no message
    passes; ``tokens`` records the VM and token of every promotion, and
    ``sent`` the messages between VMs with their receivers.  With
    ``names_no_era`` pings are those of an older release, without an era.
    """

    def __init__(
        self,
        vms: int = 3,
        store: store_module.Store | None = None,
        paces_instances: bool = False,
        evidence: core.EvidenceMode = core.EvidenceMode.OFF,
        announces_changes: bool = False,
        judges_in_partition: bool = False,
        limit_tolerance: core.LimitTolerance | None = None,
        watches_owners: bool = False,
        keeps_to_cap: bool = False,
        meters: runtime.Meters | None = None,
    ) -> None:
        self.limit_tolerance = limit_tolerance or core.LimitTolerance()
        self.paces_instances = paces_instances
        self.evidence = evidence
        self.announces_changes = announces_changes
        self.watches_owners = watches_owners
        self.keeps_to_cap = keeps_to_cap
        self.judges_in_partition = judges_in_partition
        self.clock = core.VirtualClock(100.0)
        self.loop = runtime.Runtime(self.clock, meters)
        self.group = group_module.Group(SERVICE, ZONES)
        self.store = store or store_module.Store()
        self.store.config = CONFIG
        self.entries = list(self.group.entries())
        self.cut: set[tuple[str, str]] = set()
        self.tokens: list[tuple[core.VmName, int]] = []
        self.sent: list[tuple[core.VmName, core.Message]] = []
        self.names_no_era = False
        self.vms = [
            Vm(self, f'vm{number}', ZONES[number % len(ZONES)])
            for number in range(vms)
        ]
        self.run(2.0)

    def run(self, seconds: float) -> None:
        """Advance the virtual clock and run what is due."""
        self.loop.run_for(seconds)

    def parted(self, vm: core.VmName, other: core.VmName) -> bool:
        """Return whether two VMs cannot reach each other."""
        return bool({(vm, other), (other, vm)} & self.cut)

    @property
    def forwarded(self) -> list[tuple[core.VmName, core.RelayWork]]:
        """The work that VMs have sent, with its connection owner."""
        return [
            (vm, message)
            for vm, message in self.sent
            if isinstance(message, core.RelayWork)
        ]

    def isolate(self, vm: Vm) -> None:
        """Cut a VM off from its peers and from the store."""
        for other in self.vms:
            self.cut.add((str(vm.vm), str(other.vm)))
        self.store.shut.add(vm.vm)

    def register(self) -> None:
        """Put the instances' current roles in the register."""
        self.entries[:] = self.group.entries()
        self.store.version += 1

    def close(self) -> None:
        """Release the loop's descriptors."""
        self.loop.close()
