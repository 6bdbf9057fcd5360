"""The view exchange of hundreds of entry VMs on one virtual clock.

Only the control plane runs: there are no callers and no instances.  It
shows how messages grow with the VMs, and how fast news spread.
"""

from __future__ import annotations

import collections
import dataclasses

from chicoryusher import core
from chicoryusher import peers
from chicoryusher import runtime
from chicoryusher.peers import codec
from chicoryusher.tasks import names
from chicoryusher.tasks.limits import limit_keeper
from chicoryusher.tasks.limits import limiter
from chicoryusher.tasks.pool.exchange import view_exchange
from chicoryusher_standins.pool import store as store_module

__all__ = ['Fleet', 'FleetVm']

REGIONS = {
    core.ZoneName(zone): core.RegionName(region)
    for zone, region in (
        ('akhmim-yard', 'upper-nile'),
        ('qena-mill', 'upper-nile'),
        ('luxor-kiln', 'upper-nile'),
        ('alex-depot', 'delta'),
        ('cairo-hall', 'delta'),
        ('tanta-store', 'delta'),
    )
}
ZONES = tuple(REGIONS)
PEER_DELAY_S = 0.003
NO_ROUTES = core.PoolConfig(core.ConfigVersion(1), (), (), 3.0)


class _Peers(runtime.Task):
    """Carries messages between the VMs that are up, and counts them."""

    def __init__(
        self, loop: runtime.Runtime, vm: core.VmName, fleet: Fleet
    ) -> None:
        super().__init__(loop, vm, 'peers')
        self._fleet = fleet
        self._timers = loop.timers

    @runtime.handles(core.SendToPeer)
    def _on_send(self, send: core.SendToPeer) -> None:
        fleet = self._fleet
        if self.vm in fleet.down or send.vm in fleet.down:
            return
        fleet.sent_messages[self.vm] += 1
        if type(send.message) in fleet.sent_by_kind:
            fleet.sent_by_kind[type(send.message)][self.vm] += 1
        if fleet.counts_bytes:
            fleet.sent_bytes[self.vm] += len(codec.encode(send.message))
        receiver = peers.receiving_task(send.vm, send.message)
        self._timers.add(PEER_DELAY_S, receiver, send.message)

    @runtime.handles(core.LiveVms)
    def _on_live(self, message: core.LiveVms) -> None:
        """Ignore gone VMs: there are no streams to close."""

    @runtime.handles(core.PeerAddresses)
    def _on_addresses(self, message: core.PeerAddresses) -> None:
        """Ignore addresses: messages are delivered without sockets."""


class _Receiver(runtime.Task):
    """Stands for a task that the view exchange reports to.

    It passes configurations on to the tasks ``config_users``.
    """

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        task: core.TaskName,
        config_users: tuple[core.TaskName, ...] = (),
    ) -> None:
        super().__init__(loop, vm, task.partition('/')[2])
        self._config_users = config_users
        self.lease_expires_at = float('-inf')
        self.live_count = 0
        self.config_version = 0
        self.leaders_agreed = False

    @runtime.handles(core.LeadersAgreed)
    def _on_agreed(self, message: core.LeadersAgreed) -> None:
        self.leaders_agreed = True

    @runtime.handles(core.PrimaryLeaseUpdate)
    def _on_lease(self, message: core.PrimaryLeaseUpdate) -> None:
        self.lease_expires_at = message.expires_at

    @runtime.handles(core.LiveEntryVms)
    def _on_live(self, message: core.LiveEntryVms) -> None:
        self.live_count = len(message.nodes)

    @runtime.handles(core.PoolConfigUpdate)
    def _on_config(self, message: core.PoolConfigUpdate) -> None:
        self.config_version = message.config.version
        for task in self._config_users:
            self.send(task, message)

    @runtime.handles(
        core.PeerSets,
        core.LeaderRowsRead,
        core.RegisteredInstances,
        core.StorePolled,
        core.StoreRestored,
        core.PrimaryPositionObserved,
        core.AllowanceDecided,
    )
    def _on_other(self, message: core.Message) -> None:
        """Ignore what does not matter to the control plane."""


class FleetVm:
    """The control plane of one entry VM."""

    def __init__(
        self, fleet: Fleet, name: core.VmName, zone: core.ZoneName
    ) -> None:
        loop = fleet.loop
        self._clock = fleet.clock
        self.vm = name
        self.zone = zone
        row = core.EntryVmRow(name, '10.0.0.1', 7440, zone, 'b1')
        self._dispatcher = _Receiver(loop, name, names.dispatcher(name))
        self._manager = _Receiver(
            loop,
            name,
            names.primary_manager(name),
            (names.limiter(name), names.limit_keeper(name)),
        )
        rows = store_module.SimRows(loop, name, fleet.store, [])
        exchange = view_exchange.ViewExchange(
            loop,
            name,
            row,
            REGIONS,
            dict.fromkeys(store_module.POLLED_VIEWS, rows.task_name),
        )
        self.tasks: tuple[runtime.Task, ...] = (
            self._dispatcher,
            self._manager,
            rows,
            exchange,
            limiter.Limiter(loop, name, core.LimitTolerance(), zone, REGIONS),
            limit_keeper.LimitKeeper(loop, name, core.LimitTolerance()),
            _Peers(loop, name, fleet),
            _Receiver(loop, name, names.reachability_monitor(name)),
        )
        loop.post(names.row_client(name), core.WriteEntryVmRow(row, 0))

    def has_lease(self) -> bool:
        """Return whether the VM may use primaries now."""
        return self._dispatcher.lease_expires_at > self._clock.boottime()

    @property
    def live_count(self) -> int:
        """Number of VMs that the VM takes for live, itself included."""
        return self._dispatcher.live_count

    @property
    def leaders_agreed(self) -> bool:
        """Whether the VM may write its leader rows after a restore."""
        return self._manager.leaders_agreed

    @property
    def config_version(self) -> int:
        """Version of the configuration that is in force on the VM."""
        return self._manager.config_version


class Fleet:
    """Many entry VMs in six zones of two regions, and a store.

    Messages from and to the VMs in ``down`` are lost.  ``sent_messages``
    and ``sent_bytes`` (without compression) are counted for each VM.
    """

    def __init__(
        self,
        vms: int,
        counts_bytes: bool = False,
        config: core.PoolConfig = NO_ROUTES,
    ) -> None:
        self.clock = core.VirtualClock(100.0)
        self.loop = runtime.Runtime(self.clock)
        self.store = store_module.Store()
        self.store.config = config
        self.down: set[core.VmName] = set()
        self.counts_bytes = counts_bytes
        self.sent_messages: collections.Counter[core.VmName] = (
            collections.Counter()
        )
        self.sent_by_kind: dict[
            type[core.Message], collections.Counter[core.VmName]
        ] = {}
        self.sent_bytes: collections.Counter[core.VmName] = (
            collections.Counter()
        )
        self.vms = [
            FleetVm(
                self, core.VmName(f'vm{number:04}'), ZONES[number % len(ZONES)]
            )
            for number in range(vms)
        ]

    def run(self, seconds: float) -> None:
        """Advance the virtual clock and run what is due."""
        self.loop.run_for(seconds)

    def take_down(self, vm: FleetVm) -> None:
        """Cut a VM off from its peers and from the store."""
        self.down.add(vm.vm)
        self.store.shut.add(vm.vm)

    def start_again(self, vm: FleetVm) -> None:
        """Replace a VM that is down by a new process on another machine."""
        self.down.discard(vm.vm)
        self.store.shut.discard(vm.vm)
        for task in vm.tasks:
            task.end()
        self.vms[self.vms.index(vm)] = FleetVm(self, vm.vm, vm.zone)

    def count_sent(
        self, kind: type[core.Message]
    ) -> collections.Counter[core.VmName]:
        """Count the messages of a type from now on, by their senders."""
        self.sent_by_kind[kind] = collections.Counter()
        return self.sent_by_kind[kind]

    def up(self) -> list[FleetVm]:
        """Return the VMs that are not down."""
        return [vm for vm in self.vms if vm.vm not in self.down]

    def publish_config(self) -> int:
        """Put a newer configuration into the store; return its version."""
        config = self.store.config
        assert config is not None
        version = core.ConfigVersion(config.version + 1)
        self.store.config = dataclasses.replace(config, version=version)
        return version

    def close(self) -> None:
        """Release the loop's descriptors."""
        self.loop.close()
