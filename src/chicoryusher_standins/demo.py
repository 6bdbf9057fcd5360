"""The demo: a scripted caller, three proxies, and a killed primary."""

from __future__ import annotations

import dataclasses
import json
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

import pymysql

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher_standins import deployments
from chicoryusher_standins import faults
from chicoryusher_standins import world as world_module

__all__ = ['main']

DATABASE = 'spoonbook_1'
READY_TIMEOUT_S = 10.0
RETRY_INTERVAL_S = 0.05
FAILOVER_TIMEOUT_S = 10.0
PROXIES = (
    ('vm1', 'akhmim-yard'),
    ('vm2', 'qena-mill'),
    ('vm3', 'akhmim-yard'),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One line of the demo's table."""

    what: str
    result: str
    seconds: float


class Script:
    """The steps of the scripted caller, and their results."""

    def __init__(self, world: world_module.World) -> None:
        self.world = world
        self.steps: list[Step] = []

    def connect(self, vm: str, **options: Any) -> pymysql.Connection:
        """Connect a stock driver to one proxy."""
        daemon = self.world.daemons[core.VmName(vm)]
        return pymysql.connect(
            host=world_module.HOST,
            port=daemon.frontend.address[1],
            user='clerk',
            password=world_module.ENVIRONMENT['CLERK_PASSWORD'],
            database=DATABASE,
            autocommit=True,
            **options,
        )

    def step(self, what: str, act: Callable[[], str]) -> None:
        """Run one step; record its result and duration."""
        began = time.monotonic()
        result = act()
        self.steps.append(Step(what, result, time.monotonic() - began))

    def run(self) -> float:
        """Run every step; return the failover time in seconds.

        The failover time is from the kill of the primary to the first write
        that succeeds.
        """
        first = self._connect_when_ready()
        with first.cursor() as cursor:
            cursor.execute(
                'CREATE TABLE lots (id INT PRIMARY KEY, '
                'wood VARCHAR(20), amount INT)'
            )
            self.step('write through vm1', lambda: self._write(cursor))
            cursor.execute('SELECT @@chicoryusher_token')
            token = cursor.fetchone()[0]
        second = self.connect('vm2', program_name='demo')
        with second.cursor() as cursor:
            cursor.execute(f"SET @@chicoryusher_token = '{token}'")
            self.step('read it back through vm2', lambda: self._read(cursor))
        self.step('transaction through vm3', self._transaction)
        gap = self._failover(first)
        self.step('every row is still there', self._count_rows)
        return gap

    def _connect_when_ready(self) -> pymysql.Connection:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            try:
                return self.connect('vm1')
            except pymysql.Error:
                if time.monotonic() > deadline:
                    raise
                time.sleep(RETRY_INTERVAL_S)

    @staticmethod
    def _write(cursor: Any) -> str:
        cursor.execute("INSERT INTO lots VALUES (1, 'beech', 10)")
        return f'{cursor.rowcount} row'

    @staticmethod
    def _read(cursor: Any) -> str:
        cursor.execute('SELECT wood, amount FROM lots WHERE id = 1')
        return str(cursor.fetchone())

    def _transaction(self) -> str:
        conn = self.connect('vm3')
        with conn.cursor() as cursor:
            cursor.execute('BEGIN')
            cursor.execute("INSERT INTO lots VALUES (2, 'olive', 4)")
            cursor.execute('UPDATE lots SET amount = 9 WHERE id = 1')
            cursor.execute('COMMIT')
        conn.close()
        return 'committed'

    def _failover(self, conn: pymysql.Connection) -> float:
        primary = self.world.primary_of(DATABASE)
        faults.order(self.world.loop, primary, faults.Fault.KILL)
        began = time.monotonic()
        self.step(
            f'primary {primary.name} killed; write until it lands',
            lambda: self._until_written(conn),
        )
        return time.monotonic() - began

    @staticmethod
    def _until_written(conn: pymysql.Connection) -> str:
        deadline = time.monotonic() + FAILOVER_TIMEOUT_S
        tries = 0
        while True:
            tries += 1
            try:
                with conn.cursor() as cursor:
                    cursor.execute(
                        "INSERT INTO lots VALUES (3, 'ash', 7) "
                        "/*idempotency_key='demo-3'*/"
                    )
                return f'landed at try {tries}'
            except pymysql.Error:
                if time.monotonic() > deadline:
                    raise
                time.sleep(RETRY_INTERVAL_S)

    def _count_rows(self) -> str:
        conn = self.connect('vm2')
        with conn.cursor() as cursor:
            cursor.execute("SELECT COUNT(*) FROM lots /*max_staleness='0'*/")
            count = cursor.fetchone()[0]
        conn.close()
        if count != len(PROXIES):
            raise core.ChicoryusherError(f'{count} rows, not 3')
        return f'{count} rows'


def main(arguments: list[str]) -> int:
    """Run the demo; ``--stay`` keeps it running until Enter is pressed."""
    world = world_module.World(deployments.DEPLOYMENTS['nile-grain'])
    for vm, zone in PROXIES:
        world.add_daemon(vm, zone)
    world.configure()
    with runtime.json_handler(core.LogLevel.ERROR).applicationbound():
        thread = threading.Thread(target=world.loop.run, daemon=True)
        thread.start()
        script = Script(world)
        gap = script.run()
        _print_steps(script.steps)
        outcome = {
            'ok': True,
            'failover_gap_s': round(gap, 3),
            'steps': [dataclasses.asdict(step) for step in script.steps],
        }
        if '--stay' in arguments:
            _wait_for_key(world)
        print(json.dumps(outcome))
        world.loop.stop()
        thread.join(timeout=READY_TIMEOUT_S)
    return 0


def _print_steps(steps: list[Step]) -> None:
    width = max(len(step.what) for step in steps)
    for step in steps:
        print(f'{step.what:<{width}}  {step.seconds:7.3f} s  {step.result}')


def _wait_for_key(world: world_module.World) -> None:
    for name, daemon in world.daemons.items():
        print(
            f'{name}: mysql -h {world_module.HOST} '
            f'-P {daemon.frontend.address[1]} -u clerk '
            f'-p{world_module.ENVIRONMENT["CLERK_PASSWORD"]} {DATABASE}'
        )
        print(
            f'     CHICORYUSHER_ADMIN_TOKEN='
            f'{world_module.ENVIRONMENT["CHICORYUSHER_ADMIN_TOKEN"]} '
            f'chicoryusher --admin {world_module.HOST}:'
            f'{daemon.admin.address[1]} status'
        )
    print('press Enter to end', flush=True)
    sys.stdin.readline()


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
