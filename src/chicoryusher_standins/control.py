"""What control costs a real daemon process, by the databases it watches.

One caller for each database sends a statement a second, so that every
group counts as in use; the daemon is the gate of all their instances.
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

DATABASES = (1, 4, 12)
SETTLE_SECONDS = 4.0
MEASURED_SECONDS = 8
STATEMENT_SECONDS = 0.0005
MB = 1024 * 1024
CALLERS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class ControlPoint:
    """Processor time (fraction of a core) and memory (MB) at one size."""

    databases: int
    cpu_fraction: float
    memory_mb: float


@contextlib.contextmanager
def _daemon(databases: int) -> Iterator[tuple[int, int, Any]]:
    """Run stand-ins and a daemon; yield its pid, port and register."""
    standins, found = throughput.start(
        str(throughput.BIN / 'chicoryusher-standins'),
        '--databases',
        str(databases),
    )
    processes = [standins]
    ports = throughput.free_ports(3)
    document = world_module.settings_document(
        'vm1', 'akhmim-yard', found['platform_port'], ports[0]
    )
    document['mysql']['port'] = ports[1]
    document['admin']['port'] = ports[2]
    document['log_level'] = 'error'
    register = found['register']
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
    return pages * resource.getpagesize() / MB


def kb_for_a_caller() -> float:
    """Return the memory in KB that an idle caller's connection takes."""
    with _daemon(1) as (pid, port, register):
        time.sleep(SETTLE_SECONDS)
        name = register['register']['databases'][0]['name']
        password = world_module.ENVIRONMENT['CLERK_PASSWORD']
        before = _resident_mb(pid)
        conns = [
            throughput.connect(port, 'clerk', password, name)
            for _ in range(CALLERS)
        ]
        after = _resident_mb(pid)
        for conn in conns:
            conn.close()
    return (after - before) * 1024 / CALLERS


def _point(databases: int) -> ControlPoint:
    with _daemon(databases) as (pid, port, register):
        time.sleep(SETTLE_SECONDS)
        password = world_module.ENVIRONMENT['CLERK_PASSWORD']
        conns = [
            throughput.connect(port, 'clerk', password, one['name'])
            for one in register['register']['databases']
        ]
        before = throughput.processor_seconds(pid)
        for _ in range(MEASURED_SECONDS):
            for conn in conns:
                with conn.cursor() as cursor:
                    cursor.execute('SELECT 1')
            time.sleep(1.0)
        spent = throughput.processor_seconds(pid) - before
        spent -= MEASURED_SECONDS * databases * STATEMENT_SECONDS
        return ControlPoint(
            databases, spent / MEASURED_SECONDS, _resident_mb(pid)
        )


def measure() -> list[ControlPoint]:
    """Measure one daemon process at each number of databases."""
    return [_point(one) for one in DATABASES]


if __name__ == '__main__':
    for point in measure():
        print(json.dumps(dataclasses.asdict(point)))
    print(f'{kb_for_a_caller():.1f} KB for a caller')
