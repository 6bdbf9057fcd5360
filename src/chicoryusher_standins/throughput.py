"""Measure the throughput of one daemon process on real sockets.

The test doubles, the daemon and the callers are separate processes.  The
figures depend on the processor and are marked as noisy.
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
from chicoryusher import peers  # noqa: F401 - warms up the codecs
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

WARM_UP_S = 1.0
SETTLE_S = 8.0
SLOT_COUNT = 16
MAX_CONNECTIONS = 64
CALLER_TIMEOUT_S = 60.0
LATENCY_STATEMENT_COUNT = 400
READY_TIMEOUT_S = 15.0
IDLE_S = 8.0
BIN = pathlib.Path(sys.executable).parent


@dataclasses.dataclass(frozen=True, slots=True)
class Throughput:
    """Throughput and latency, through the proxy and directly.

    Rates are in statements per second; ``p50`` is the median latency.
    """

    statements_per_s_per_process: float
    direct_statements_per_s: float
    proxy_p50_ms: float
    direct_p50_ms: float
    idle_cpu_fraction: float
    daemon_cpu_us_per_statement: float

    @property
    def proxy_added_ms_p50(self) -> float:
        """Return the latency that the proxy adds for a single caller."""
        return self.proxy_p50_ms - self.direct_p50_ms


def environment() -> dict[str, str]:
    """Return the processes' environment, with the secrets for tests."""
    return {**os.environ, **world_module.ENVIRONMENT}


def start(*command: str) -> tuple[subprocess.Popen[str], Any]:
    """Start test doubles; return the process and the JSON it printed."""
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


def _run_caller(
    port: int,
    user: str,
    password: str,
    name: str,
    seconds: float,
    connections: int,
    counts: Any,
    start_barrier: Any,
) -> None:
    """Run statements on several connections until the time is over."""
    conns = [connect(port, user, password, name) for _ in range(connections)]
    start_barrier.wait()
    deadline = time.monotonic() + seconds
    count = 0
    while time.monotonic() < deadline:
        for conn in conns:
            conn._execute_command(3, 'SELECT 1')  # noqa: SLF001
        for conn in conns:
            conn._affected_rows = conn._read_query_result()  # noqa: SLF001
            count += 1
    counts.put(count)


def _measure_rate(
    targets: list[tuple[int, str]],
    user: str,
    password: str,
    seconds: float,
    callers: int,
    connections: int,
) -> float:
    context = multiprocessing.get_context('spawn')
    counts = context.Queue()
    start_barrier = context.Barrier(callers + 1, timeout=CALLER_TIMEOUT_S)
    processes = []
    for number in range(callers):
        port, name = targets[number % len(targets)]
        processes.append(
            context.Process(
                target=_run_caller,
                args=(
                    port,
                    user,
                    password,
                    name,
                    seconds,
                    connections,
                    counts,
                    start_barrier,
                ),
            )
        )
    for process in processes:
        process.start()
    start_barrier.wait()
    total = sum(counts.get(timeout=CALLER_TIMEOUT_S) for _ in processes)
    for process in processes:
        process.join()
    return total / seconds


def _measure_latency_ms(conn: Any) -> float:
    """Return the median latency in ms of statements sent one at a time."""
    times = []
    with conn.cursor() as cursor:
        for _ in range(LATENCY_STATEMENT_COUNT):
            began = time.perf_counter()
            cursor.execute('SELECT 1')
            cursor.fetchall()
            times.append(time.perf_counter() - began)
    return statistics.median(times[LATENCY_STATEMENT_COUNT // 4 :]) * 1000


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    ticks = int(fields[13]) + int(fields[14])
    return ticks / os.sysconf('SC_CLK_TCK')


def measure(seconds: float = 4.0, callers: int = 3) -> Throughput:
    """Measure one daemon process, and direct connections to compare."""
    standins, register = [], None
    processes = []
    for number in range(1, 4):
        process, addresses = start(
            str(BIN / 'chicoryusher-standins'),
            '--databases',
            '1',
            '--first',
            str(number),
            '--slots',
            str(SLOT_COUNT),
            '--connections',
            str(MAX_CONNECTIONS),
        )
        processes.append(process)
        standins.append(addresses)
    register = standins[0]['register']
    for addresses in standins[1:]:
        register['register']['databases'] += addresses['register']['register'][
            'databases'
        ]
    try:
        return _measure_daemon(
            register, standins[0]['platform_port'], processes, seconds, callers
        )
    finally:
        for process in processes:
            process.kill()
            process.wait()


def _measure_daemon(
    register: Any,
    platform_port: int,
    processes: Any,
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
                instance['slots'] = SLOT_COUNT
        path = pathlib.Path(folder) / 'settings.json'
        path.write_text(json.dumps(document))
        daemon = subprocess.Popen(
            [BIN / 'chicoryusherd', path], env=environment()
        )
        processes.append(daemon)
        apply(folder, register, ports[2])
        return _measure_running_daemon(
            register, daemon.pid, ports[1], seconds, callers
        )


def free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    socks = [
        socket.create_server((world_module.HOST, 0)) for _ in range(count)
    ]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def apply(folder: str, register: Any, admin_port: int) -> None:
    """Apply a register with the command line tool.

    Retry until the daemon is ready.
    """
    path = pathlib.Path(folder) / 'register.json'
    path.write_text(json.dumps(register))
    deadline = time.monotonic() + READY_TIMEOUT_S
    while True:
        result = subprocess.run(
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
        if result.returncode == 0:
            return
        if time.monotonic() > deadline:
            raise core.ChicoryusherError(result.stdout.decode())


def _measure_running_daemon(
    register: Any, pid: int, port: int, seconds: float, callers: int
) -> Throughput:
    databases = register['register']['databases']
    user, password = world_module.BACKEND_USER
    time.sleep(SETTLE_S)
    before = processor_seconds(pid)
    time.sleep(IDLE_S)
    idle_fraction = (processor_seconds(pid) - before) / IDLE_S
    clerk = 'clerk', world_module.ENVIRONMENT['CLERK_PASSWORD']
    name = databases[0]['name']
    proxied_ms = _measure_latency_ms(connect(port, *clerk, name))
    first_port = databases[0]['instances'][0]['port']
    direct_ms = _measure_latency_ms(connect(first_port, user, password, name))
    proxy_targets = [(port, database['name']) for database in databases]
    _measure_rate(proxy_targets, *clerk, WARM_UP_S, callers, 8)
    before = processor_seconds(pid)
    rate = _measure_rate(proxy_targets, *clerk, seconds, callers, 8)
    cpu_s = processor_seconds(pid) - before
    direct_targets = [
        (database['instances'][0]['port'], database['name'])
        for database in databases
    ]
    direct_rate = _measure_rate(
        direct_targets, user, password, seconds, callers, 5
    )
    return Throughput(
        rate,
        direct_rate,
        proxied_ms,
        direct_ms,
        idle_fraction,
        cpu_s / (rate * seconds) * 1e6,
    )


if __name__ == '__main__':
    print(json.dumps(dataclasses.asdict(measure()), indent=2))
