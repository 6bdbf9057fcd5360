"""A run of one VM in the lab whose metrics are saved as text.

Two teams with a limit, one of them with more demand than that, and one
without use paced instances.  Instances are not used before the load; the
primary restarts during it.
"""

from __future__ import annotations

import dataclasses
import pathlib
import shutil

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.runtime import metrics_export
from chicoryusher_standins import pool

__all__ = ['METRICS_FOLDER', 'save_run']

METRICS_FOLDER = pathlib.Path('build') / 'metrics'
# Until the keeper grants allowances.
START_S = 5.0
RUN_S = 20.0
RESTART_AT_S = 10.0
DOWN_S = 1.0
STEP_S = 0.05
SAVE_INTERVAL_S = 0.1
# Seconds for which a statement takes one of an instance's slots.
WORK_S = 0.02
CALLERS_PER_TEAM = 12
WRITE = core.Statement(core.Verb.WRITE, 'WRITE 1a4 x', '1a4', 'x')
# Teams with the statements a second that their callers send.
DEMANDS = (
    (core.Team(core.TeamName('over'), (core.KeyDigest('a1'),), 0, 20, 5), 30),
    (core.Team(core.TeamName('under'), (core.KeyDigest('b2'),), 0, 40, 5), 30),
    (core.Team(core.TeamName('free'), (core.KeyDigest('c3'),)), 30),
)


class _Demand:
    """The callers of a team, which send its statements in turn."""

    def __init__(self, site: pool.Site, team: core.Team, rate: float) -> None:
        self._rate = rate
        self._owed = 0.0
        self._turn = 0
        self._callers = [
            site.vms[0].caller(core.ReadAccess.PRIMARY, team.keys[0])
            for _ in range(CALLERS_PER_TEAM)
        ]

    def send(self, seconds: float) -> None:
        """Send the statements of the next ``seconds``."""
        self._owed += self._rate * seconds
        while self._owed >= 1.0:
            self._owed -= 1.0
            self._turn = (self._turn + 1) % len(self._callers)
            self._callers[self._turn].ask(WRITE)


def save_run(folder: pathlib.Path) -> None:
    """Run, and save the metrics as ``<seconds since the load>.txt``.

    The folder and what it has are replaced.
    """
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    with runtime.json_handler(core.LogLevel.ERROR).applicationbound():
        _run(folder)


def _run(folder: pathlib.Path) -> None:
    meters = metrics_export.OtelMeters()
    site = pool.Site(1, paces_instances=True, meters=meters)
    for instance in site.group.instances.values():
        instance.work_time = lambda: WORK_S
    config = site.store.config
    assert config is not None
    site.store.config = dataclasses.replace(
        config,
        version=core.ConfigVersion(config.version + 1),
        teams=tuple(team for team, _ in DEMANDS),
    )
    site.run(START_S)
    demands = [_Demand(site, team, rate) for team, rate in DEMANDS]
    primary = site.group.primary()
    saved_steps = round(SAVE_INTERVAL_S / STEP_S)
    for step in range(round(RUN_S / STEP_S)):
        now = step * STEP_S
        primary.crashed = RESTART_AT_S <= now < RESTART_AT_S + DOWN_S
        if step % saved_steps == 0:
            (folder / f'{now:07.2f}.txt').write_bytes(meters.text())
        for demand in demands:
            demand.send(STEP_S)
        site.run(STEP_S)
    site.close()
