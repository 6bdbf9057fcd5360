"""Measure the cost of control work in a real daemon process.

The cost is measured for several numbers of databases.  One caller per
database sends a statement a second, so that every group counts as in use.
The daemon is the gate of all instances.
"""

from __future__ import annotations

import contextlib
import dataclasses
import json
import pathlib
import resource
import subprocess
import tempfile
import time
from collections.abc import Iterator
from typing import Any

from chicoryusher_standins import throughput
from chicoryusher_standins import world as world_module

__all__ = ['ControlPoint', 'kb_for_a_caller', 'measure']

DATABASE_COUNTS = (1, 4, 12)
SETTLE_S = 4.0
MEASURED_S = 8
STATEMENT_CPU_S = 0.0005
BYTES_PER_MB = 1024 * 1024
CALLER_COUNT = 400


@dataclasses.dataclass(frozen=True, slots=True)
class ControlPoint:
    """Processor time and memory of a daemon with so many databases.

    Processor time is a fraction of one core; memory is in MB.
    """

    databases: int
    cpu_fraction: float
    memory_mb: float


@contextlib.contextmanager
def _running_daemon(databases: int) -> Iterator[tuple[int, int, Any]]:
    """Run test doubles and a daemon; yield its pid, port and register."""
    standins, addresses = throughput.start(
        str(throughput.BIN / 'chicoryusher-standins'),
        '--databases',
        str(databases),
    )
    processes = [standins]
    ports = throughput.free_ports(3)
    document = world_module.settings_document(
        'vm1', 'akhmim-yard', addresses['platform_port'], ports[0]
    )
    document['mysql']['port'] = ports[1]
    document['admin']['port'] = ports[2]
    document['log_level'] = 'error'
    register = addresses['register']
    register['register']['vms'] = [
        {
            'name': 'vm1',
            'zone': 'akhmim-yard',
            'host': world_module.HOST,
            'port': ports[0],
        }
    ]
    try:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'settings.json'
            path.write_text(json.dumps(document))
            daemon = subprocess.Popen(
                [throughput.BIN / 'chicoryusherd', path],
                env=throughput.environment(),
            )
            processes.append(daemon)
            throughput.apply(folder, register, ports[2])
            yield daemon.pid, ports[1], register
    finally:
        for process in processes:
            process.kill()
            process.wait()


def _resident_mb(pid: int) -> float:
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * resource.getpagesize() / BYTES_PER_MB


def kb_for_a_caller() -> float:
    """Return the memory in KB of one idle connection of a caller."""
    with _running_daemon(1) as (pid, port, register):
        time.sleep(SETTLE_S)
        name = register['register']['databases'][0]['name']
        password = world_module.ENVIRONMENT['CLERK_PASSWORD']
        before = _resident_mb(pid)
        conns = [
            throughput.connect(port, 'clerk', password, name)
            for _ in range(CALLER_COUNT)
        ]
        after = _resident_mb(pid)
        for conn in conns:
            conn.close()
    return (after - before) * 1024 / CALLER_COUNT


def _measure_point(databases: int) -> ControlPoint:
    with _running_daemon(databases) as (pid, port, register):
        time.sleep(SETTLE_S)
        password = world_module.ENVIRONMENT['CLERK_PASSWORD']
        conns = [
            throughput.connect(port, 'clerk', password, database['name'])
            for database in register['register']['databases']
        ]
        before = throughput.processor_seconds(pid)
        for _ in range(MEASURED_S):
            for conn in conns:
                with conn.cursor() as cursor:
                    cursor.execute('SELECT 1')
            time.sleep(1.0)
        spent = throughput.processor_seconds(pid) - before
        spent -= MEASURED_S * databases * STATEMENT_CPU_S
        return ControlPoint(databases, spent / MEASURED_S, _resident_mb(pid))


def measure() -> list[ControlPoint]:
    """Measure one daemon process at each number of databases."""
    return [_measure_point(count) for count in DATABASE_COUNTS]


if __name__ == '__main__':
    for point in measure():
        print(json.dumps(dataclasses.asdict(point)))
    print(f'{kb_for_a_caller():.1f} KB for a caller')
