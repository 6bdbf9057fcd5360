"""``make measure``: run every experiment and write one document."""

from __future__ import annotations

import argparse
import collections
import concurrent.futures
import dataclasses
import json
import pathlib
import statistics
from typing import Any

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher_standins import control
from chicoryusher_standins import deployments
from chicoryusher_standins import throughput
from chicoryusher_standins.lab import callers as callers_module
from chicoryusher_standins.lab import experiments
from chicoryusher_standins.lab import faults

__all__ = ['main']

SEED = 1
FAILOVER_SEEDS = 4
WORKERS = 5
LATEST = pathlib.Path('measurements') / 'latest.json'
DESIGN_NODES = 580
DESIGN_DATABASES = 1200
DESIGN_CONNECTIONS = 1_900_000
SLOPES = ('2:3', '4:3', '8:3', '16:3', '32:3', '8:1', '8:10', '8:100')
Job = experiments.Job
Figures = dict[str, Any]
BASELINES = (
    ('fifo_round_robin', 'fifo', 'round_robin', 'one_gate'),
    ('fifo', 'fifo', 'nearest_fresh_replica', 'one_gate'),
    (
        'primary_only',
        decisions.DEFAULT_POLICY,
        'primary_only',
        'one_gate',
    ),
    (
        'shares',
        decisions.DEFAULT_POLICY,
        'nearest_fresh_replica',
        'shares',
    ),
)


def _run(job: Job) -> tuple[Job, Figures]:
    with runtime.to_stream(core.LogLevel.ERROR).applicationbound():
        return job, experiments.run_job(job)


def _jobs(deployment: str) -> list[Job]:
    plain = [
        Job(name, deployment, SEED)
        for name in ('steady', 'crest', 'hol', 'drain')
    ]
    plain += [Job('hol', deployment, SEED, detail='hidden')]
    plain += [
        Job(name, deployment, SEED, detail=detail)
        for name, detail in (
            ('spread', ''),
            ('spread', 'cut'),
            ('leaving', 'primary'),
            ('leaving', 'replica'),
        )
    ]
    plain += [
        Job('failover', deployment, seed, detail=name)
        for name in faults.FAULTS
        for seed in range(1, FAILOVER_SEEDS + 1)
    ]
    plain += [
        Job(name, deployment, SEED, queue, routing, placement=placement)
        for _, queue, routing, placement in BASELINES
        for name in ('steady', 'crest', 'hol')
    ]
    return plain


def _keys(found: list[tuple[Job, Figures]]) -> Figures:
    """Return the keys of one deployment from its runs."""
    ours = [
        (job, figures)
        for job, figures in found
        if job.queue_policy == decisions.DEFAULT_POLICY
        and job.routing_policy == 'nearest_fresh_replica'
        and job.placement == decisions.DEFAULT_PLACEMENT
    ]
    keys: Figures = {}
    violations: collections.Counter[str] = collections.Counter()
    for _, figures in ours:
        violations.update(figures.get('violations', {}))
    names = dataclasses.fields(callers_module.Violations)
    keys.update({one.name: violations[one.name] for one in names})
    gaps = [one['gap_s'] for job, one in ours if job.experiment == 'failover']
    keys['failover_runs'] = len(gaps)
    keys['failover_gap_p50_s'] = statistics.median(gaps)
    keys['failover_gap_max_s'] = max(gaps)
    by_fault: dict[str, float] = {}
    for job, one in ours:
        if job.experiment == 'failover':
            known = by_fault.get(job.detail, 0.0)
            by_fault[job.detail] = max(known, one['gap_s'])
    keys['failover_gap_max_s_by_fault'] = by_fault
    for job, figures in ours:
        if job.experiment == 'failover':
            continue
        for name, value in figures.items():
            if name in ('violations', 'connections_max'):
                continue
            shown = name
            if job.detail == 'hidden':
                shown = f'hidden_{name}'
            known = keys.get(shown)
            worst = isinstance(known, float) and known > value
            keys[shown] = known if worst else value
    keys['connections_max'] = max(
        one['connections_max'] for _, one in ours if 'connections_max' in one
    )
    keys['baselines'] = _baselines(found)
    baseline = keys['baselines']['primary_only'].get(
        'cross_region_bytes_per_statement', 0.0
    )
    own = keys['cross_region_bytes_per_statement']
    keys['cross_region_bytes_of_baseline'] = own / max(baseline, 1e-9)
    return keys


def _baselines(found: list[tuple[Job, Figures]]) -> Figures:
    result: Figures = {}
    for name, *policies in BASELINES:
        merged: Figures = {}
        for job, figures in found:
            used = [job.queue_policy, job.routing_policy, job.placement]
            if used == policies:
                merged.update(figures)
        result[name] = merged
    return result


def fit(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Return intercept, slope and largest error of a straight line."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    error = max(abs(y - intercept - slope * x) for x, y in points)
    return intercept, slope, error


def _slopes(found: list[Figures]) -> Figures:
    """Extrapolate control costs to the size to design for.

    Costs are fitted against the groups a VM watches, at 8 VMs, and
    against the number of VMs, at 3 databases.
    """
    by_groups = [one for one in found if one['vms'] == 8]
    groups = 3 * DESIGN_DATABASES / DESIGN_NODES
    result: Figures = {'points': found, 'groups_per_vm': groups}
    for name in ('control_cpu_fraction', 'control_bytes_per_s', 'mb'):
        start, slope, error = fit(
            [(one['groups_per_vm'], one[name]) for one in by_groups]
        )
        by_vms = [one for one in found if one['databases'] == 3]
        rest = [
            (one['vms'], one[name] - slope * one['groups_per_vm'])
            for one in by_vms
        ]
        _, per_vm, vm_error = fit(rest)
        result[name] = {
            'at_8_nodes': next(
                one[name]
                for one in found
                if (one['vms'], one['databases']) == (8, 3)
            ),
            'per_group': slope,
            'per_vm': per_vm,
            'fit_error': error,
            'vm_fit_error': vm_error,
            'at_580_nodes': start
            + slope * groups
            + max(0.0, per_vm) * (DESIGN_NODES - 8),
        }
    return result


def _process(points: list[control.ControlPoint], caller_kb: float) -> Figures:
    """Extrapolate a real daemon's control cost to the design size.

    A point has three gates for each group; a node has one for each, so
    the result is an upper bound.
    """
    groups = 3 * DESIGN_DATABASES / DESIGN_NODES
    cpu = fit([(one.databases, one.cpu_fraction) for one in points])
    memory = fit([(one.databases, one.memory_mb) for one in points])
    callers = DESIGN_CONNECTIONS / DESIGN_NODES * caller_kb / 1024
    return {
        'points': [dataclasses.asdict(one) for one in points],
        'kb_for_a_caller': caller_kb,
        'cpu_per_group': cpu[1],
        'cpu_fit_error': cpu[2],
        'control_cpu_fraction_at_580': cpu[0] + cpu[1] * groups,
        'control_mb_at_580': memory[0] + memory[1] * groups,
        'callers_mb_at_580': callers,
    }


def _table(document: Figures) -> None:
    for name, keys in document['deployments'].items():
        print(name)
        for key, value in keys.items():
            if isinstance(value, (int, float)):
                print(f'  {key:<36} {value:10.4f}')


def main() -> None:
    """Run the experiments and write ``measurements/latest.json``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--no-sockets', action='store_true')
    parser.add_argument('--workers', type=int, default=WORKERS)
    chosen = parser.parse_args()
    names = list(deployments.DEPLOYMENTS)
    jobs = [job for name in names for job in _jobs(name)]
    jobs += [Job('slope', names[0], SEED, detail=one) for one in SLOPES]
    with concurrent.futures.ProcessPoolExecutor(
        chosen.workers, max_tasks_per_child=1
    ) as pool:
        found = list(pool.map(_run, jobs))
    document: Figures = {'seed': SEED, 'deployments': {}}
    for name in names:
        document['deployments'][name] = _keys(
            [
                (job, figures)
                for job, figures in found
                if job.deployment == name and job.experiment != 'slope'
            ]
        )
    document['control'] = _slopes(
        [figures for job, figures in found if job.experiment == 'slope']
    )
    if not chosen.no_sockets:
        document['control_process_noisy'] = _process(
            control.measure(), control.kb_for_a_caller()
        )
        sockets = throughput.measure()
        document['sockets_noisy'] = {
            **dataclasses.asdict(sockets),
            'proxy_added_ms_p50': sockets.proxy_added_ms_p50,
        }
    LATEST.parent.mkdir(exist_ok=True)
    LATEST.write_text(json.dumps(document, indent=1) + '\n')
    _table(document)
    for key, value in document['control'].items():
        if isinstance(value, dict):
            print(f'  {key:<36} {value["at_580_nodes"]:10.4f} at 580 nodes')
    process = document.get('control_process_noisy', {})
    for key, value in (*process.items(), *_sockets(document)):
        if isinstance(value, (int, float)):
            print(f'  {key:<36} {value:10.4f} (noisy)')


def _sockets(document: Figures) -> tuple[tuple[str, Any], ...]:
    return tuple(document.get('sockets_noisy', {}).items())


if __name__ == '__main__':
    main()
