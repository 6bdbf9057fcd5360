"""Cost of the control plane of a large fleet whose teams have limits.

``python -m chicoryusher_standins.lab.control VMS:TEAMS:RATE`` prints it.
"""

from __future__ import annotations

import itertools
import json
import pickle
import statistics
import sys
import time
from typing import Any

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher_standins import deployments
from chicoryusher_standins.lab import experiments
from chicoryusher_standins.pool import fleet as fleet_module

__all__ = ['control', 'main']

OBSERVED_S = 8.0
LOAD_STEP_S = 0.1
MAX_WAIT_S = 1.0
TEAM_RATE = 20.0
TEAM_BURST = 20.0
KEYS_PER_TEAM = 2
# What a VM may send for control, in KB a second.
MAX_KB_PER_S = 12.0
# Copies of a configuration whose memory is measured.
CONFIG_COPIES = 20
Fleet = fleet_module.Fleet


def _teams(count: int) -> tuple[core.Team, ...]:
    return tuple(
        core.Team(
            core.TeamName(f'team{number:04}'),
            tuple(
                core.KeyDigest(f'{number * KEYS_PER_TEAM + key:064x}')
                for key in range(KEYS_PER_TEAM)
            ),
            0,
            TEAM_RATE,
            TEAM_BURST,
        )
        for number in range(count)
    )


def _config_mb(config: core.PoolConfig) -> float:
    """Return the memory of one copy of a configuration."""
    data = pickle.dumps(config)
    before = experiments.resident_mb()
    copies = [pickle.loads(data) for _ in range(CONFIG_COPIES)]
    return (experiments.resident_mb() - before) / len(copies)


def _relays(fleet: Fleet) -> frozenset[core.VmName]:
    """Return the VMs that relay the views of the others of their zone."""
    return frozenset(
        relay
        for zone in fleet_module.ZONES
        for relay in decisions.zone_relays(
            zone, [vm.vm for vm in fleet.vms if vm.zone == zone]
        )
    )


def _load(
    fleet: Fleet, teams: tuple[core.Team, ...], rate: float, seconds: float
) -> None:
    """Start ``rate`` operations a second at each VM, of all teams in turn."""
    allowance_ids = itertools.count(1)
    turns = itertools.cycle(teams)
    owed = 0.0
    for _ in range(round(seconds / LOAD_STEP_S)):
        owed += rate * LOAD_STEP_S
        while owed >= 1.0:
            owed -= 1.0
            for vm in fleet.vms:
                request = core.RequestAllowance(
                    core.AllowanceId(str(next(allowance_ids))),
                    next(turns).name,
                    MAX_WAIT_S,
                    names.dispatcher(vm.vm),
                )
                fleet.loop.post(names.limiter(vm.vm), request)
        fleet.run(LOAD_STEP_S)


@experiments.EXPERIMENTS.register('control')
def control(job: experiments.Job) -> dict[str, Any]:
    """Measure the messages, bytes, processor time and memory of a VM.

    ``detail`` is ``VMS:TEAMS:RATE``, the last being the operations a second
    of each VM.  Only messages between VMs are counted, without compression.
    Processor time is that of the real process, elapsed time is virtual, and
    memory is the growth of the process by VM, whose VMs share one
    configuration; ``config_mb`` is a copy of it.
    """
    vms, team_count, rate = (int(item) for item in job.detail.split(':'))
    teams = _teams(team_count)
    config = core.PoolConfig(core.ConfigVersion(1), (), (), 3.0, teams)
    config_mb = _config_mb(config)
    before = experiments.resident_mb()
    fleet = Fleet(vms, counts_bytes=True, config=config)
    # Until the keepers know all VMs, they grant nothing.
    fleet.run(4.0 * decisions.follow_timing(vms).counted_s)
    _load(fleet, teams, rate, OBSERVED_S)
    memory_mb = (experiments.resident_mb() - before) / vms
    fleet.sent_messages.clear()
    fleet.sent_bytes.clear()
    began = time.process_time()
    _load(fleet, teams, rate, OBSERVED_S)
    spent = time.process_time() - began
    by_vm = [
        (fleet.sent_messages[vm.vm], fleet.sent_bytes[vm.vm])
        for vm in fleet.vms
    ]
    messages = [count / OBSERVED_S for count, _ in by_vm]
    kb_per_s = [size / OBSERVED_S / 1000 for _, size in by_vm]
    over = {
        vm.vm
        for vm, vm_kb_per_s in zip(fleet.vms, kb_per_s, strict=True)
        if vm_kb_per_s > MAX_KB_PER_S
    }
    fleet.close()
    return {
        'vms': vms,
        'teams': team_count,
        'operations_per_s': rate,
        'messages_per_s': statistics.mean(messages),
        'messages_per_s_max': max(messages),
        'kb_per_s': statistics.mean(kb_per_s),
        'kb_per_s_median': statistics.median(kb_per_s),
        'kb_per_s_max': max(kb_per_s),
        'vms_over_kb_bound': len(over),
        'relays_over_kb_bound': len(over & _relays(fleet)),
        'cpu_fraction': spent / OBSERVED_S / vms,
        'mb': memory_mb,
        'config_mb': config_mb,
    }


def main() -> None:
    """Measure each fleet that the command line names."""
    deployment = next(iter(deployments.DEPLOYMENTS))
    with runtime.json_handler(core.LogLevel.ERROR).applicationbound():
        for detail in sys.argv[1:]:
            job = experiments.Job('control', deployment, 1, detail=detail)
            print(json.dumps(experiments.run_job(job)), flush=True)


if __name__ == '__main__':
    main()
