"""A small deployment: entry processes of the deploy file, and stand-ins."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import databases
import promotions
import settings_template
import store as store_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
ZONES = {'zone-a': 'region-1', 'zone-b': 'region-1', 'zone-c': 'region-1'}
BOUNDS = {
    'seedLagS': 3,
    'addrReuseS': 2,
    'stabilityWindowMs': 5000,
    'ackMs': 6000,
    'catchUpS': 4,
    'drainMs': 7000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configApplyMs': 4000,
    'rollbackSlackMs': 250,
    'maxSkewMs': 15000,
    'recoveryS': 12,
    'requireFencing': False,
    'thawSlackMs': 300,
}


class Record:
    """The file `record.txt`: what was sent, answered and run, with times."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began_at = time.monotonic()

    def write(self, text):
        at = time.monotonic() - self._began_at
        self._file.write(f'{at:9.3f} {text}\n')

    def note(self, text):
        self.write(text)
        print(text, flush=True)

    def close(self):
        self._file.close()


class Vm:
    """One entry process on a loopback address of its own."""

    def __init__(self, site, number, host):
        self.site = site
        self.name = f'front-{number}'
        self.host = host
        self.zone = tuple(ZONES)[number % len(ZONES)]
        self.front = (host, _free_port(host))
        self.ready = (host, _free_port(host))
        self.peer_port = _free_port(host)
        self.process = None
        self._log_path = site.folder / f'{self.name}.log'

    def fields(self):
        """Return the settings fields of DEPLOY.md for this machine."""
        site = self.site
        return {
            'nodeName': self.name,
            'role': 'entry',
            'machineClass': 'front',
            'serves': ['front'],
            'ip': self.host,
            'zone': self.zone,
            'region': ZONES[self.zone],
            'zones': ZONES,
            'listen': {
                'front': f'{self.front[0]}:{self.front[1]}',
                'ready': f'{self.ready[0]}:{self.ready[1]}',
            },
            'internalPorts': [self.peer_port, self.peer_port],
            'seeds': [],
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': 300,
                'maxFds': 4300,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'heartbeatMs': 1200,
            'bounds': BOUNDS,
            'platform': {
                'address': '{}:{}'.format(*site.store.service.address),
                'form': 'table',
                'crossPartition': True,
            },
            'cloudApi': {
                'address': '{}:{}'.format(*site.promotions.service.address),
                'dutyPerS': 50.0,
            },
        }

    def start(self):
        role = site_role()
        template = (ROOT / role['template']).read_text(encoding='utf-8')
        path = self.site.folder / f'{self.name}.json'
        path.write_text(settings_template.fill_in(template, self.fields()))
        json.loads(path.read_text())
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['CHICORYUSHER_SETTINGS'] = str(path)
        with self._log_path.open('ab') as log:
            self.process = subprocess.Popen(
                role['run'].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send_signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b'GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return b' 200 ' in line


def site_role():
    """Return the role of the deploy file."""
    text = (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
    return tomllib.loads(text)['roles']['entry']


def _free_port(host):
    with socket.create_server((host, 0)) as sock:
        return sock.getsockname()[1]


def _free_hosts(count):
    """Return loopback addresses on which the metrics port is free."""
    hosts, numbers = [], random.sample(range(2, 250), 60)
    block = random.randrange(20, 250)
    for number in numbers:
        host = f'127.{block}.0.{number}'
        try:
            with socket.create_server((host, METRICS_PORT)):
                hosts.append(host)
        except OSError:
            continue
        if len(hosts) == count:
            return hosts
    raise SetupFailed('no free loopback addresses')


class SetupFailed(Exception):
    """The case could not run."""


class Site:
    """The entry processes and the stand-ins around them."""

    def __init__(self, record, vms):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self.store = store_module.Store()
        self.groups = {}
        self.promotions = promotions.Promotions(self.groups)
        self.vms = [
            Vm(self, number, host)
            for number, host in enumerate(_free_hosts(vms))
        ]
        self._tasks = []
        self._version = 0

    def add_group(self, service, zones, on_run=None):
        """Add a group; its instances stand in these zones, primary first."""
        group = databases.Group(service, self.store, on_run)
        for number, zone in enumerate(zones):
            role = 'replica' if number else 'primary'
            group.add(f'i-{service}-{number}', zone, role)
        self.groups[service] = group
        return group

    def write_config(self, routes, connections=21):
        """Write a desired state; each route is (host, type, service)."""
        self._version += 3
        document = {
            'version': self._version,
            'routes': [
                {
                    'name': f'r-{host}',
                    'host': host,
                    'prefix': '/',
                    'routeType': kind,
                    'timeoutMs': 1000,
                    'targetLatencyMs': 600,
                    'priority': 1,
                    'service': service,
                    'attempts': 2,
                    'maxStalenessMs': 2500,
                }
                for host, kind, service in routes
            ],
            'services': [
                {
                    'name': service,
                    'healthPath': '/health',
                    'maxConnections': connections,
                    'syncReplicas': 0,
                }
                for service in self.groups
            ],
            'limits': {'txIdleMs': 3000},
        }
        self.store.put('op', 'config', document)

    async def start(self):
        host = '127.0.0.1'
        await self.store.service.start(host)
        await self.promotions.service.start(host)
        for group in self.groups.values():
            await group.start(host)
            self._tasks.append(asyncio.create_task(group.beat(1.2)))
            self._tasks.append(asyncio.create_task(group.follow()))

    async def start_vms(self, within_s=20.0):
        for vm in self.vms:
            vm.start()
        await self.wait_ready(within_s)

    async def wait_ready(self, within_s=20.0):
        ends_at = time.monotonic() + within_s
        for vm in self.vms:
            while not await vm.is_ready():
                if time.monotonic() > ends_at:
                    raise SetupFailed(f'{vm.name} is not ready')
                await asyncio.sleep(0.1)

    def kill_all(self):
        for vm in self.vms:
            vm.send_signal(signal.SIGKILL)
        for vm in self.vms:
            vm.process.wait()

    def close(self):
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            vm.kill()
        for group in self.groups.values():
            group.close()
        self.store.service.close()
        self.promotions.service.close()
        if os.environ.get('KEEP'):
            print(f'logs: {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, play):
    """Play a case: `play(record)` returns 1 if the rule was broken, else 0.

    Return the exit code of the case, 2 if it could not run.
    """
    signal.signal(signal.SIGTERM, lambda *args: sys.exit(2))
    record = Record(folder / 'record.txt')
    began = time.monotonic()
    try:
        code = asyncio.run(play(record))
    except (SetupFailed, OSError) as exc:
        record.note(f'could not run: {exc!r}')
        code = 2
    record.note(f'exit {code} after {time.monotonic() - began:.0f} s')
    record.close()
    return code
