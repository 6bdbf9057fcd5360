"""The project's own program, started as the deploy file says."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import tempfile
import tomllib

from standins import http

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 9464


class CannotRun(Exception):
    """The case can't run here."""


def render(template, fields):
    """Fill in a template as the users' page on deployment says."""

    def value(path):
        node = fields
        for part in path.split('.'):
            node = node[int(part)] if isinstance(node, list) else node.get(part)
            if node is None:
                return None
        return node

    def section(match):
        kind, path, inner = match.groups()
        holds = bool(value(path))
        return inner if holds == (kind == '#') else ''

    def placeholder(match):
        path, as_json = match.groups()
        found = value(path)
        return json.dumps(found) if as_json else str(found)

    text = re.sub(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', section, template)
    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', placeholder, text)


def free_network(prefixes=()):
    """Return the first loopback prefix on which the fixed port is free.

    Random prefixes are tried if none is named.
    """
    names = list(prefixes) or [
        f'127.{random.randrange(20, 250)}.{random.randrange(1, 250)}'
        for _ in range(20)
    ]
    for prefix in names:
        with socket.socket() as probe:
            try:
                probe.bind((f'{prefix}.1', METRICS_PORT))
                return prefix
            except OSError:
                continue
    raise CannotRun('no loopback prefix is free')


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Vm:
    """One entry process with its own loopback address."""

    folder = None

    def __init__(self, name, host, zone, zones, store, promotions,
                 grace_s=6, peer_port=None):
        if Vm.folder is None:
            Vm.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.name = name
        self.host = host
        self.callers = (host, free_port(host))
        self.ready = (host, free_port(host))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['entry']
        self._run = role['run'].split(' ')
        fields = {
            'nodeName': name, 'ip': host, 'zone': zone, 'zones': zones,
            'listen': {
                'front': '%s:%d' % self.callers, 'ready': '%s:%d' % self.ready,
            },
            'internalPorts': [peer_port or free_port(host), 0],
            'platform': {
                'address': '%s:%d' % store, 'crossPartition': True,
            },
            'cloudApi': {'address': '%s:%d' % promotions},
            'bounds': {'graceS': grace_s},
            'limits': {'linkMbps': 1000.0},
        }
        text = render((ROOT / role['template']).read_text(), fields)
        json.loads(text)
        self._settings = Vm.folder / f'{name}.settings'
        self._settings.write_text(text)
        self.process = None

    def start(self):
        deps = ROOT / 'target' / 'deps'
        if not deps.is_dir():
            raise CannotRun('the build of the deploy file has not been run')
        names = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in names if name in os.environ}
        env['PYTHONPATH'] = str(deps)
        env['CHICORYUSHER_SETTINGS'] = str(self._settings)
        log = open(Vm.folder / f'{self.name}.log', 'ab')
        self.process = subprocess.Popen(
            self._run, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()

    async def until_ready(self, timeout=20.0):
        """Wait until the process answers the ready check with 200."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        while loop.time() < end:
            if await http.get_status(self.ready, '/api/ready') == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} is not ready')

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    def end(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
