"""A team over its limit at two daemons, as processes on loopback.

The bound is checked over the time that the test itself has measured, so a slow
machine serves fewer statements and breaks nothing.
"""

from __future__ import annotations

import collections
import json
import os
import pathlib
import socket
import subprocess
import sys
import threading
import time

import pymysql
import pytest

import crowds
from chicoryusher import core
from chicoryusher_standins import deployments
from chicoryusher_standins import world as world_module

BIN = pathlib.Path(sys.executable).parent
ZONES = {'vm1': 'akhmim-yard', 'vm2': 'qena-mill'}
RATE, BURST = 5.0, 5.0
TEAM = {'name': 'red', 'users': ['clerk'], 'rate': RATE, 'burst': BURST}
CALLERS_PER_VM = 6
# Seconds from which on the limit holds over any time without a remainder.
LEAST_S = 6.0
OK = 0
OVER_LIMIT = core.OverLimit.code


class Fleet:
    """Two daemon processes beside the platform and the instances."""

    def __init__(self, folder):
        self.world = world_module.World(deployments.DEPLOYMENTS['nile-grain'])
        ports = _free_ports(len(ZONES))
        register = self.world.register['register']
        register['teams'] = [TEAM]
        register['vms'] = [
            {'name': vm, 'zone': zone, 'host': world_module.HOST, 'port': port}
            for (vm, zone), port in zip(ZONES.items(), ports, strict=True)
        ]
        self.world.platform.vms.update(dict.fromkeys(ZONES, False))
        document = json.dumps(self.world.register).encode()
        self.world.platform.put_config(document)
        self._thread = threading.Thread(
            target=self.world.loop.run, daemon=True
        )
        self._thread.start()
        self.processes = {}
        self._logs = {}
        for (vm, zone), port in zip(ZONES.items(), ports, strict=True):
            self._start(folder, vm, zone, port)

    def _start(self, folder, vm, zone, port):
        platform_port = self.world.platform_server.address[1]
        document = world_module.settings_document(
            vm, zone, platform_port, port
        )
        path = folder / f'{vm}.json'
        path.write_text(json.dumps(document))
        self._logs[vm] = crowds.ProcessLog(folder / f'{vm}.log')
        self.processes[vm] = subprocess.Popen(
            [BIN / 'chicoryusherd', path],
            env={**os.environ, **world_module.ENVIRONMENT},
            stderr=self._logs[vm].file,
        )

    def address(self, vm, name):
        """Return an address that a daemon has logged at its start."""
        log = self._logs[vm]
        crowds.wait_until(lambda: log.first_line().endswith('\n'))
        text = json.loads(log.first_line())[name]
        host, port = text.strip('()').split(', ')
        return host.strip("'"), int(port)

    def connect(self, vm):
        host, port = self.address(vm, 'mysql')
        return pymysql.connect(
            host=host,
            port=port,
            user='clerk',
            password=world_module.ENVIRONMENT['CLERK_PASSWORD'],
            database='spoonbook_1',
            autocommit=True,
            read_timeout=30,
        )

    def teams(self, vm):
        """Return what ``chicoryusher teams`` lists."""
        _, port = self.address(vm, 'admin')
        result = subprocess.run(
            [BIN / 'chicoryusher', 'teams', '--json']
            + ['--admin', f'{world_module.HOST}:{port}'],
            env={**os.environ, **world_module.ENVIRONMENT},
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        return json.loads(result.stdout)

    def stop(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        for log in self._logs.values():
            log.file.close()
        self.world.loop.stop()
        self._thread.join(timeout=10)


def _free_ports(count):
    sockets = [
        socket.create_server((world_module.HOST, 0)) for _ in range(count)
    ]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.stop()


class Caller(threading.Thread):
    """Sends statements in one session until it is told to stop."""

    def __init__(self, fleet, vm, results):
        super().__init__(daemon=True)
        self._fleet = fleet
        self._vm = vm
        self._results = results
        self.ending = threading.Event()

    def run(self):
        with self._fleet.connect(self._vm) as conn, conn.cursor() as cursor:
            while not self.ending.is_set():
                self._results[self._vm, _ask(cursor)] += 1
                self.ending.wait(0.02)


def _ask(cursor):
    """Send a statement; return the number of its error, or OK."""
    try:
        cursor.execute('SELECT 1')
    except pymysql.Error as exc:
        return exc.args[0]
    return OK


def _is_served(fleet, vm):
    try:
        with fleet.connect(vm) as conn, conn.cursor() as cursor:
            return _ask(cursor) == OK
    except pymysql.Error:
        return False


def test_a_team_over_its_limit_at_two_vms_gets_its_limit_once(fleet):
    """Each daemon must not grant the whole limit."""
    for vm in ZONES:
        crowds.wait_until(lambda vm=vm: _is_served(fleet, vm))
    results = collections.Counter()
    callers = [
        Caller(fleet, vm, results)
        for vm in ZONES
        for _ in range(CALLERS_PER_VM)
    ]
    began = time.monotonic()
    for caller in callers:
        caller.start()

    def enough():
        return time.monotonic() - began >= LEAST_S and all(
            results[vm, code] for vm in ZONES for code in (OK, OVER_LIMIT)
        )

    crowds.wait_until(enough)
    for caller in callers:
        caller.ending.set()
    for caller in callers:
        caller.join()
    elapsed_s = time.monotonic() - began
    served = sum(results[vm, OK] for vm in ZONES)
    assert served <= RATE * elapsed_s + BURST
    for vm in ZONES:
        assert fleet.processes[vm].poll() is None
        (team,) = fleet.teams(vm)
        assert team['team'] == 'red'
        assert int(team['over_limit']) >= results[vm, OVER_LIMIT]
        assert 'over its limit' in team['last_refusal']
