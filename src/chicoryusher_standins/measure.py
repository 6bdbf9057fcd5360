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
FAILOVER_SEED_COUNT = 4
WORKER_COUNT = 5
LATEST = pathlib.Path('measurements') / 'latest.json'
DESIGN_NODE_COUNT = 580
DESIGN_DATABASE_COUNT = 1200
DESIGN_CONNECTION_COUNT = 1_900_000
SLOPE_SIZES = ('2:3', '4:3', '8:3', '16:3', '32:3', '8:1', '8:10', '8:100')
Job = experiments.Job
Figures = dict[str, Any]
BASELINES = (
    ('fifo_round_robin', 'fifo', 'round_robin', 'one_gate'),
    ('fifo', 'fifo', 'nearest_fresh_replica', 'one_gate'),
    (
        'primary_only',
        decisions.DEFAULT_QUEUE_POLICY,
        'primary_only',
        'one_gate',
    ),
    (
        'shares',
        decisions.DEFAULT_QUEUE_POLICY,
        'nearest_fresh_replica',
        'shares',
    ),
)


def _run_job(job: Job) -> tuple[Job, Figures]:
    with runtime.json_handler(core.LogLevel.ERROR).applicationbound():
        return job, experiments.run_job(job)


def _jobs(deployment: str) -> list[Job]:
    jobs = [
        Job(name, deployment, SEED)
        for name in ('steady', 'crest', 'hol', 'drain')
    ]
    jobs += [Job('hol', deployment, SEED, detail='hidden')]
    jobs += [
        Job(name, deployment, SEED, detail=detail)
        for name, detail in (
            ('spread', ''),
            ('spread', 'cut'),
            ('leaving', 'primary'),
            ('leaving', 'replica'),
        )
    ]
    jobs += [
        Job('failover', deployment, seed, detail=name)
        for name in faults.FAULTS
        for seed in range(1, FAILOVER_SEED_COUNT + 1)
    ]
    jobs += [
        Job(name, deployment, SEED, queue, routing, placement=placement)
        for _, queue, routing, placement in BASELINES
        for name in ('steady', 'crest', 'hol')
    ]
    return jobs


def _deployment_figures(runs: list[tuple[Job, Figures]]) -> Figures:
    """Combine the runs of one deployment into its measured figures."""
    default_runs = [
        (job, figures)
        for job, figures in runs
        if job.queue_policy == decisions.DEFAULT_QUEUE_POLICY
        and job.routing_policy == 'nearest_fresh_replica'
        and job.placement == decisions.DEFAULT_GATE_PLACEMENT
    ]
    keys: Figures = {}
    violations: collections.Counter[str] = collections.Counter()
    for _, figures in default_runs:
        violations.update(figures.get('violations', {}))
    violation_fields = dataclasses.fields(callers_module.Violations)
    keys.update(
        {item.name: violations[item.name] for item in violation_fields}
    )
    gaps = [
        item['gap_s']
        for job, item in default_runs
        if job.experiment == 'failover'
    ]
    keys['failover_runs'] = len(gaps)
    keys['failover_gap_p50_s'] = statistics.median(gaps)
    keys['failover_gap_max_s'] = max(gaps)
    by_fault: dict[str, float] = {}
    for job, item in default_runs:
        if job.experiment == 'failover':
            largest = by_fault.get(job.detail, 0.0)
            by_fault[job.detail] = max(largest, item['gap_s'])
    keys['failover_gap_max_s_by_fault'] = by_fault
    for job, figures in default_runs:
        if job.experiment == 'failover':
            continue
        for name, value in figures.items():
            if name in ('violations', 'connections_max'):
                continue
            shown = name
            if job.detail == 'hidden':
                shown = f'hidden_{name}'
            largest = keys.get(shown)
            worst = isinstance(largest, float) and largest > value
            keys[shown] = largest if worst else value
    keys['connections_max'] = max(
        item['connections_max']
        for _, item in default_runs
        if 'connections_max' in item
    )
    keys['baselines'] = _baselines(runs)
    baseline = keys['baselines']['primary_only'].get(
        'cross_region_bytes_per_statement', 0.0
    )
    own = keys['cross_region_bytes_per_statement']
    keys['cross_region_bytes_of_baseline'] = own / max(baseline, 1e-9)
    return keys


def _baselines(runs: list[tuple[Job, Figures]]) -> Figures:
    result: Figures = {}
    for name, *policies in BASELINES:
        merged: Figures = {}
        for job, figures in runs:
            job_policies = [
                job.queue_policy,
                job.routing_policy,
                job.placement,
            ]
            if job_policies == policies:
                merged.update(figures)
        result[name] = merged
    return result


def fit(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Fit a straight line; return intercept, slope and largest error."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    error = max(abs(y - intercept - slope * x) for x, y in points)
    return intercept, slope, error


def _extrapolate_simulated_cost(points: list[Figures]) -> Figures:
    """Extrapolate simulated control costs to the design size.

    Costs are fitted against the number of groups that a VM monitors, at 8
    VMs, and against the number of VMs, at 3 databases.
    """
    by_groups = [point for point in points if point['vms'] == 8]
    groups_per_vm = 3 * DESIGN_DATABASE_COUNT / DESIGN_NODE_COUNT
    result: Figures = {'points': points, 'groups_per_vm': groups_per_vm}
    for name in ('control_cpu_fraction', 'control_bytes_per_s', 'mb'):
        intercept, slope, error = fit(
            [(point['groups_per_vm'], point[name]) for point in by_groups]
        )
        by_vms = [point for point in points if point['databases'] == 3]
        remainders = [
            (point['vms'], point[name] - slope * point['groups_per_vm'])
            for point in by_vms
        ]
        _, per_vm, vm_error = fit(remainders)
        result[name] = {
            'at_8_nodes': next(
                point[name]
                for point in points
                if (point['vms'], point['databases']) == (8, 3)
            ),
            'per_group': slope,
            'per_vm': per_vm,
            'fit_error': error,
            'vm_fit_error': vm_error,
            'at_580_nodes': intercept
            + slope * groups_per_vm
            + max(0.0, per_vm) * (DESIGN_NODE_COUNT - 8),
        }
    return result


def _extrapolate_process_cost(
    points: list[control.ControlPoint], caller_kb: float
) -> Figures:
    """Extrapolate a real daemon's control cost to the design size.

    At each measured point the daemon has three gates per group; at the
    design size a node has one per group.  The result is therefore an upper
    bound.
    """
    groups_per_node = 3 * DESIGN_DATABASE_COUNT / DESIGN_NODE_COUNT
    cpu = fit([(point.databases, point.cpu_fraction) for point in points])
    memory = fit([(point.databases, point.memory_mb) for point in points])
    callers = DESIGN_CONNECTION_COUNT / DESIGN_NODE_COUNT * caller_kb / 1024
    return {
        'points': [dataclasses.asdict(point) for point in points],
        'kb_for_a_caller': caller_kb,
        'cpu_per_group': cpu[1],
        'cpu_fit_error': cpu[2],
        'control_cpu_fraction_at_580': cpu[0] + cpu[1] * groups_per_node,
        'control_mb_at_580': memory[0] + memory[1] * groups_per_node,
        'callers_mb_at_580': callers,
    }


def _print_table(document: Figures) -> None:
    for name, keys in document['deployments'].items():
        print(name)
        for key, value in keys.items():
            if isinstance(value, (int, float)):
                print(f'  {key:<36} {value:10.4f}')


def main() -> None:
    """Run the experiments and write ``measurements/latest.json``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--no-sockets', action='store_true')
    parser.add_argument('--workers', type=int, default=WORKER_COUNT)
    arguments = parser.parse_args()
    names = list(deployments.DEPLOYMENTS)
    jobs = [job for name in names for job in _jobs(name)]
    jobs += [Job('slope', names[0], SEED, detail=size) for size in SLOPE_SIZES]
    with concurrent.futures.ProcessPoolExecutor(
        arguments.workers, max_tasks_per_child=1
    ) as pool:
        results = list(pool.map(_run_job, jobs))
    document: Figures = {'seed': SEED, 'deployments': {}}
    for name in names:
        document['deployments'][name] = _deployment_figures(
            [
                (job, figures)
                for job, figures in results
                if job.deployment == name and job.experiment != 'slope'
            ]
        )
    document['control'] = _extrapolate_simulated_cost(
        [figures for job, figures in results if job.experiment == 'slope']
    )
    if not arguments.no_sockets:
        document['control_process_noisy'] = _extrapolate_process_cost(
            control.measure(), control.kb_for_a_caller()
        )
        sockets = throughput.measure()
        document['sockets_noisy'] = {
            **dataclasses.asdict(sockets),
            'proxy_added_ms_p50': sockets.proxy_added_ms_p50,
        }
    LATEST.parent.mkdir(exist_ok=True)
    LATEST.write_text(json.dumps(document, indent=1) + '\n')
    _print_table(document)
    for key, value in document['control'].items():
        if isinstance(value, dict):
            print(f'  {key:<36} {value["at_580_nodes"]:10.4f} at 580 nodes')
    process = document.get('control_process_noisy', {})
    for key, value in (*process.items(), *_socket_figures(document)):
        if isinstance(value, (int, float)):
            print(f'  {key:<36} {value:10.4f} (noisy)')


def _socket_figures(document: Figures) -> tuple[tuple[str, Any], ...]:
    return tuple(document.get('sockets_noisy', {}).items())


if __name__ == '__main__':
    main()
