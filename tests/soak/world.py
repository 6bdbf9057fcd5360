"""Entry processes, and the stand-ins around them in one loop."""

from __future__ import annotations

import base64
import json
import os
import pathlib
import random
import subprocess
import sys

import stand_ins
from chicoryusher import core
from chicoryusher import runtime
from chicoryusher_standins import pool
from soak import backends
from soak import consumers
from soak import proxies

ROOT = pathlib.Path(__file__).parents[2]
HOST = '127.0.0.1'
SERVICE = core.ServiceName('spoonbook')
ZONES = ('akhmim-yard', 'qena-mill', 'alex-depot')
REGIONS = {
    'akhmim-yard': 'upper-nile',
    'qena-mill': 'upper-nile',
    'alex-depot': 'delta',
}
ACCESS = {
    core.Access.PRIMARY: 'primary',
    core.Access.BOUNDED: 'bounded_staleness',
    core.Access.OWN_WRITES: 'read_your_writes',
}
STALENESS = 1.5
CONSUMERS_EACH = 2
GRACE = 4
# Seconds between the instances' looks at the primary's log.
REPLICATE = 0.02


class _Replicate(core.Message):
    """Time for replicas to receive what the primary has."""


class Replication(runtime.Task):
    """Keeps replicas a little behind."""

    def __init__(self, loop, group):
        super().__init__(loop, 'soak', 'replication')
        self._group = group
        self.after(REPLICATE, _Replicate())

    @runtime.handles(_Replicate)
    def _on_replicate(self, message):
        self._group.replicate()
        self.after(REPLICATE, message)


class Vm:
    """One entry process and the settings that it starts with."""

    def __init__(self, world, number, folder):
        self.name = f'front-{number}'
        self.store = proxies.Proxy(
            world.loop, f'store/{number}', world.store.address
        )
        self.callers = (HOST, stand_ins.free_port())
        self._log = folder / f'{self.name}.log'
        self._settings = folder / f'{self.name}.json'
        self.process = None
        self.wanted = False
        document = {
            'name': self.name,
            'host': HOST,
            'zone': ZONES[number % len(ZONES)],
            'regions': REGIONS,
            'callers': f'{HOST}:{self.callers[1]}',
            'ready': f'{HOST}:{stand_ins.free_port()}',
            'peer_port': stand_ins.free_port(),
            'store': f'{HOST}:{self.store.address[1]}',
            'promotions': f'{HOST}:{world.promotions.address[1]}',
            'metrics': f'{HOST}:{stand_ins.free_port()}',
            'spread': True,
            'grace_s': GRACE,
        }
        # Two VMs of one host are told apart by their names.
        self._settings.write_text(json.dumps(document))

    def start(self):
        """Start the process; its log goes on where it was."""
        self.wanted = True
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / 'platform' / 'serve.py')],
                env={
                    **os.environ,
                    'CHICORYUSHER_SETTINGS': str(self._settings),
                },
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    def signal(self, number):
        """Send a signal to the process that was started here."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def ended_by_itself(self):
        """Tell whether the process ended though nobody asked it to."""
        return self.wanted and self.process.poll() is not None

    def end(self):
        """Kill the process and wait for it."""
        self.wanted = False
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class World:
    """A store, promotions, a group, entry processes and their callers."""

    def __init__(self, seed, folder, vms):
        self.dice = random.Random(seed)
        self.loop = runtime.Runtime()
        self.group = pool.Group(SERVICE, ZONES)
        self.group.replicating = False
        Replication(self.loop, self.group)
        self.store = stand_ins.StoreServer(self.loop)
        self.promotions = backends.Promotions(
            self.loop, self.group, self.register
        )
        self.proxies = {}
        for instance in self.group.instances.values():
            backend = backends.Backend(self.loop, instance)
            self.proxies[instance.name] = proxies.Proxy(
                self.loop, f'to/{instance.name}', backend.address
            )
        self.version = 0
        self.configure()
        self.register()
        self.vms = [Vm(self, number, folder) for number in range(vms)]
        self.seen = []
        self.consumers = []

    def configure(self):
        """Write the next version of the configuration."""
        self.version += self.dice.randrange(1, 4)
        routes = [
            {
                'name': access.value,
                'host': access.value,
                'routeType': word,
                'maxStalenessMs': STALENESS * 1000,
                'timeoutMs': self.dice.choice([900, 1000, 1100]),
                'targetLatencyMs': 600,
                'priority': 1,
                'service': SERVICE,
            }
            for access, word in ACCESS.items()
        ]
        document = {
            'version': self.version,
            'routes': routes,
            'services': [{'name': SERVICE, 'maxConnections': 21}],
            'limits': {'txIdleMs': 3000},
        }
        self._put('op', 'config', document)

    def register(self):
        """Let the instances register as they are now."""
        for entry in self.group.entries():
            port = self.proxies[entry.name].address[1]
            document = {
                'service': SERVICE,
                'address': f'{HOST}:{port}',
                'zone': entry.zone,
                'slots': 3,
                'state': 'draining' if entry.leaving else 'ready',
                'dbRole': entry.role.value,
                'seq': 1,
                'born': entry.boot,
            }
            self._put('servers', entry.name, document)

    def _put(self, table, key, document):
        data = base64.b64encode(json.dumps(document).encode()).decode()
        self.store.put(table, key, data)

    def start(self):
        """Start every process and its callers."""
        for vm in self.vms:
            vm.start()
        addresses = [vm.callers for vm in self.vms]
        for access in core.Access:
            for number in range(CONSUMERS_EACH * len(self.vms)):
                name = f'{access.value}-{number}'
                self.consumers.append(
                    consumers.Consumer(
                        self.loop,
                        name,
                        addresses,
                        access.value,
                        random.Random(f'{name} {self.dice.random()}'),
                        self.seen,
                    )
                )

    def run(self, seconds):
        """Let real time pass."""
        until = self.loop.clock.now() + seconds
        stand_ins.run_until(
            self.loop,
            lambda: self.loop.clock.now() >= until,
            turns=10_000_000,
        )

    def close(self):
        """End every process that was started here."""
        for vm in self.vms:
            vm.end()
        self.loop.close()
