"""A small deployment: groups, the platform and entry VMs."""

import asyncio
import os
import pathlib
import shutil
import sys
import traceback

from standins import callers
from standins import instances
from standins import network
from standins import platform
from standins import record as record_module
from standins import vms

ZONES = {'kigali-a': 'kigali', 'kigali-b': 'kigali', 'musanze-a': 'musanze'}
ROUTES = {
    'batch-log': ('primary', 1000, 800, 1),
    'stock-look': ('bounded_staleness', 3000, 1200, 2),
    'order-settle': ('read_your_writes', 1000, 1500, 2),
}
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class Scene:
    """Everything that a case starts."""

    def __init__(self, record, prefixes):
        self.record = record
        self.network = vms.free_network(prefixes)
        self.store = platform.Store()
        self.groups = {}
        self.promotions = platform.Promotions(record, self.groups)
        self.vms = []

    async def set_up(self, services, vm_count, sync_replicas=0,
                     slots=5, connections=55, spare=0,
                     vm_zones=tuple(ZONES), primaries_in_one_zone=False):
        """Start the platform, the groups and the VMs; wait for the VMs.

        The last ``spare`` VMs are not started yet.
        """
        await self.store.listen(f'{self.network}.250')
        await self.promotions.listen(f'{self.network}.251')
        names = list(ZONES)
        self.network_links = network.Network(self.store)
        for number, service in enumerate(services):
            group = instances.Group(
                self.record, self.store, service, sync_replicas
            )
            self.groups[service] = group
            for index in range(3):
                first = 0 if primaries_in_one_zone else number
                zone = names[(first + index) % len(names)]
                host = f'{self.network}.{100 + 3 * number + index}'
                name = f'i-{service}-{index + 1}'
                await group.add(name, host, zone, slots, connections)
        self.configure(services, sync_replicas, connections)
        for number in range(vm_count + spare):
            name = f'front-{number + 1}'
            host = f'{self.network}.{number + 1}'
            peer_port = vms.free_port(host)
            store = await self.network_links.add(
                name, (host, peer_port), f'{self.network}.{200 + number}'
            )
            self.vms.append(vms.Vm(
                name, host, vm_zones[number % len(vm_zones)], ZONES, store,
                self.promotions.address, peer_port=peer_port,
            ))
        for vm in self.vms[:vm_count]:
            vm.start()
        for vm in self.vms[:vm_count]:
            await vm.until_ready()

    def configure(self, services, sync_replicas, connections):
        routes = [
            {
                'name': f'r-{service}-{host}', 'host': f'{service}-{host}',
                'prefix': '/', 'routeType': kind, 'timeoutMs': timeout_ms,
                'targetLatencyMs': target_ms, 'priority': priority,
                'service': service, 'attempts': 2,
                'maxStalenessMs': 2500 if host == 'order-settle' else 1500,
            }
            for service in services
            for host, (kind, timeout_ms, target_ms, priority) in ROUTES.items()
        ]
        self.store.put('op', 'config', {
            'version': 7, 'routes': routes,
            'services': [
                {
                    'name': service, 'healthPath': '/health',
                    'maxConnections': connections, 'protocol': 'h1',
                    'tls': False, 'syncReplicas': sync_replicas,
                }
                for service in services
            ],
            'limits': {
                'maxHeaderBytes': 16384, 'maxBodyBytes': 262144,
                'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
                'txIdleMs': 3000,
            },
        })

    @property
    def arrived(self):
        """Ids of the requests that have reached an instance."""
        return set().union(*(one.arrived for one in self.groups.values()))

    def session(self, vm, database):
        return callers.Session(self.record, vm.callers, database)

    def end(self):
        for vm in self.vms:
            vm.end()
        if vms.Vm.folder is not None and 'KEEP_LOGS' not in os.environ:
            shutil.rmtree(vms.Vm.folder, ignore_errors=True)
        elif vms.Vm.folder is not None:
            print('logs:', vms.Vm.folder)


def main(play, folder, limit_s=110, prefixes=()):
    """Play a case; exit with 1 if the rule was broken, 2 if it can't run.

    ``play(scene)`` returns the violations.
    """
    record = record_module.Record(pathlib.Path(folder) / 'record.txt')

    async def run():
        scene = Scene(record, prefixes)
        try:
            return await asyncio.wait_for(play(scene), limit_s)
        finally:
            scene.end()

    try:
        violations = asyncio.run(run())
    except Exception:
        record.add('cannot run', why=traceback.format_exc())
        traceback.print_exc()
        sys.exit(2)
    for violation in violations:
        record.add('broken', **violation)
        print('broken:', violation)
    print('the rule was broken' if violations else 'the rule held')
    record.close()
    sys.exit(1 if violations else 0)
