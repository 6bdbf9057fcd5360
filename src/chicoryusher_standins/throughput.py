"""Statements a second of one daemon process, on real sockets.

The stand-ins, the daemon and the callers are processes of their own.
The figures depend on the processor and are marked as noisy.
"""

from __future__ import annotations

import dataclasses
import json
import multiprocessing
import os
import pathlib
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Any

import pymysql

from chicoryusher import core
from chicoryusher import peers  # noqa: F401 - the codecs are warmed up
from chicoryusher_standins import world as world_module

__all__ = [
    'BIN',
    'Throughput',
    'apply',
    'connect',
    'environment',
    'free_ports',
    'measure',
    'processor_seconds',
    'start',
]

WARM_UP_SECONDS = 1.0
SETTLE_SECONDS = 8.0
SLOTS = 16
CONNECTIONS = 64
CALLER_TIMEOUT = 60.0
LONE_STATEMENTS = 400
READY_SECONDS = 15.0
IDLE_SECONDS = 8.0
BIN = pathlib.Path(sys.executable).parent


@dataclasses.dataclass(frozen=True, slots=True)
class Throughput:
    """Rates in statements/s, times in ms, processor time in fractions."""

    statements_per_s_per_process: float
    direct_statements_per_s: float
    proxy_p50_ms: float
    direct_p50_ms: float
    idle_cpu_fraction: float
    daemon_cpu_us_per_statement: float

    @property
    def proxy_added_ms_p50(self) -> float:
        """Return the time that the proxy adds for a lone caller."""
        return self.proxy_p50_ms - self.direct_p50_ms


def environment() -> dict[str, str]:
    """Return the environment of the processes: secrets for tests."""
    return {**os.environ, **world_module.ENVIRONMENT}


def start(*command: str) -> tuple[subprocess.Popen[str], Any]:
    """Start stand-ins; return the process and what it printed."""
    process = subprocess.Popen(
        command, env=environment(), stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    return process, json.loads(process.stdout.readline())


def connect(port: int, user: str, password: str, name: str) -> Any:
    """Connect a stock driver to a loopback port."""
    return pymysql.connect(
        host=world_module.HOST,
        port=port,
        user=user,
        password=password,
        database=name,
        autocommit=True,
    )


def _caller(
    port: int,
    user: str,
    password: str,
    name: str,
    seconds: float,
    connections: int,
    counts: Any,
    begin: Any,
) -> None:
    """Run statements from several connections until time is up."""
    conns = [connect(port, user, password, name) for _ in range(connections)]
    begin.wait()
    until = time.monotonic() + seconds
    count = 0
    while time.monotonic() < until:
        for conn in conns:
            conn._execute_command(3, 'SELECT 1')  # noqa: SLF001
        for conn in conns:
            conn._affected_rows = conn._read_query_result()  # noqa: SLF001
            count += 1
    counts.put(count)


def _rate(
    targets: list[tuple[int, str]],
    user: str,
    password: str,
    seconds: float,
    callers: int,
    connections: int,
) -> float:
    context = multiprocessing.get_context('spawn')
    counts = context.Queue()
    begin = context.Barrier(callers + 1, timeout=CALLER_TIMEOUT)
    processes = []
    for number in range(callers):
        port, name = targets[number % len(targets)]
        processes.append(
            context.Process(
                target=_caller,
                args=(
                    port,
                    user,
                    password,
                    name,
                    seconds,
                    connections,
                    counts,
                    begin,
                ),
            )
        )
    for process in processes:
        process.start()
    begin.wait()
    total = sum(counts.get(timeout=CALLER_TIMEOUT) for _ in processes)
    for process in processes:
        process.join()
    return total / seconds


def _lone(conn: Any) -> float:
    """Return the median time of a lone statement in ms."""
    times = []
    with conn.cursor() as cursor:
        for _ in range(LONE_STATEMENTS):
            began = time.perf_counter()
            cursor.execute('SELECT 1')
            cursor.fetchall()
            times.append(time.perf_counter() - began)
    return statistics.median(times[LONE_STATEMENTS // 4 :]) * 1000


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    ticks = int(fields[13]) + int(fields[14])
    return ticks / os.sysconf('SC_CLK_TCK')


def measure(seconds: float = 4.0, callers: int = 3) -> Throughput:
    """Measure one daemon process beside a direct connection."""
    standins, register = [], None
    started = []
    for number in range(1, 4):
        process, found = start(
            str(BIN / 'chicoryusher-standins'),
            '--databases',
            '1',
            '--first',
            str(number),
            '--slots',
            str(SLOTS),
            '--connections',
            str(CONNECTIONS),
        )
        started.append(process)
        standins.append(found)
    register = standins[0]['register']
    for found in standins[1:]:
        register['register']['databases'] += found['register']['register'][
            'databases'
        ]
    try:
        return _with_standins(
            register, standins[0]['platform_port'], started, seconds, callers
        )
    finally:
        for process in started:
            process.kill()
            process.wait()


def _with_standins(
    register: Any,
    platform_port: int,
    started: Any,
    seconds: float,
    callers: int,
) -> Throughput:
    with tempfile.TemporaryDirectory() as folder:
        ports = free_ports(3)
        document = world_module.settings_document(
            'vm1', 'akhmim-yard', platform_port, ports[0]
        )
        document['mysql']['port'] = ports[1]
        document['admin']['port'] = ports[2]
        document['log_level'] = 'error'
        register['register']['vms'] = [
            {
                'name': 'vm1',
                'zone': 'akhmim-yard',
                'host': world_module.HOST,
                'port': ports[0],
            }
        ]
        for database in register['register']['databases']:
            for instance in database['instances']:
                instance['slots'] = SLOTS
        path = pathlib.Path(folder) / 'settings.json'
        path.write_text(json.dumps(document))
        daemon = subprocess.Popen(
            [BIN / 'chicoryusherd', path], env=environment()
        )
        started.append(daemon)
        apply(folder, register, ports[2])
        return _measured(register, daemon.pid, ports[1], seconds, callers)


def free_ports(count: int) -> list[int]:
    """Return ports that are free at this moment."""
    socks = [
        socket.create_server((world_module.HOST, 0)) for _ in range(count)
    ]
    ports = [one.getsockname()[1] for one in socks]
    for one in socks:
        one.close()
    return ports


def apply(folder: str, register: Any, admin_port: int) -> None:
    """Apply a register with the operators' tool, once it can."""
    path = pathlib.Path(folder) / 'register.json'
    path.write_text(json.dumps(register))
    until = time.monotonic() + READY_SECONDS
    while True:
        found = subprocess.run(
            [
                BIN / 'chicoryusher',
                'register',
                'apply',
                path,
                '--admin',
                f'{world_module.HOST}:{admin_port}',
            ],
            env=environment(),
            capture_output=True,
            check=False,
        )
        if found.returncode == 0:
            return
        if time.monotonic() > until:
            raise core.ChicoryusherError(found.stdout.decode())


def _measured(
    register: Any, pid: int, port: int, seconds: float, callers: int
) -> Throughput:
    databases = register['register']['databases']
    user, password = world_module.BACKEND_USER
    time.sleep(SETTLE_SECONDS)
    before = processor_seconds(pid)
    time.sleep(IDLE_SECONDS)
    idle = (processor_seconds(pid) - before) / IDLE_SECONDS
    clerk = 'clerk', world_module.ENVIRONMENT['CLERK_PASSWORD']
    name = databases[0]['name']
    proxied = _lone(connect(port, *clerk, name))
    first = databases[0]['instances'][0]['port']
    direct = _lone(connect(first, user, password, name))
    through = [(port, one['name']) for one in databases]
    _rate(through, *clerk, WARM_UP_SECONDS, callers, 8)
    before = processor_seconds(pid)
    rate = _rate(through, *clerk, seconds, callers, 8)
    spent = processor_seconds(pid) - before
    straight = [
        (one['instances'][0]['port'], one['name']) for one in databases
    ]
    direct_rate = _rate(straight, user, password, seconds, callers, 5)
    return Throughput(
        rate,
        direct_rate,
        proxied,
        direct,
        idle,
        spent / (rate * seconds) * 1e6,
    )


if __name__ == '__main__':
    print(json.dumps(dataclasses.asdict(measure()), indent=2))
