"""Experiments on simulated sites that yield the measured figures."""

from __future__ import annotations

import dataclasses
import math
import pathlib
import resource
import time
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import tasks
from chicoryusher_standins import deployments
from chicoryusher_standins.lab import callers as callers_module
from chicoryusher_standins.lab import faults
from chicoryusher_standins.lab import site as site_module

__all__ = ['EXPERIMENTS', 'Job', 'resident_mb', 'run_job']

BOOT_S = 3.0
WARM_UP_S = 2.0
OBSERVED_AFTER_FAULT_S = 9.0
SETTLE_S = 6.0
Site = site_module.Site
Load = callers_module.Load
Done = callers_module.Done


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One run of one experiment on a deployment, under given policies.

    The meaning of ``detail`` depends on the experiment.
    """

    experiment: str
    deployment: str
    seed: int
    queue_policy: str = decisions.DEFAULT_QUEUE_POLICY
    routing_policy: str = 'nearest_fresh_replica'
    detail: str = ''
    placement: str = decisions.DEFAULT_GATE_PLACEMENT


Experiment = Callable[[Job], dict[str, Any]]
EXPERIMENTS: core.Registry[Experiment] = core.Registry('experiment')


def run_job(job: Job) -> dict[str, Any]:
    """Run one job and return its measured figures."""
    return EXPERIMENTS.get(job.experiment)(job)


def _site(job: Job, **changes: Any) -> Site:
    lags = changes.pop('lags', (0.0, 0.020, 0.080))
    deployment = dataclasses.replace(
        deployments.DEPLOYMENTS[job.deployment], **changes
    )
    site = Site(
        deployment,
        job.seed,
        job.queue_policy,
        job.routing_policy,
        lags,
        job.placement,
    )
    site.run_for(BOOT_S)
    return site


def _percentile(values: Iterable[float], share: float) -> float:
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _finish(
    site: Site, callers: callers_module.Callers
) -> callers_module.Violations:
    """Stop the load, let the site settle, and check the answers."""
    callers.stop()
    site.run_for(SETTLE_S)
    return callers.check_landings()


@EXPERIMENTS.register('steady')
def steady(job: Job) -> dict[str, Any]:
    """Measure the share of replica reads and the cross-region traffic."""
    site = _site(job, lags=(0.0, 0.020, 0.500))
    callers = callers_module.Callers(site, job.seed)
    vms = list(site.vms)
    callers.start(Load('desk', 14, 2.0, 0.004, 0.3), vms)
    callers.start(Load('yard', 14, 4.0, 0.004, 0.02, staleness=2.0), vms)
    callers.start(
        Load('buyer', 14, 4.0, 0.004, 0.05, staleness=1.0, private_rows=False),
        vms,
    )
    callers.start(Load('batch', 7, 1.0, 0.004, 1.0, keyed=True), vms)
    site.run_for(WARM_UP_S)
    skipped = len(callers.done)
    crossed = dict(site.network.crossed)
    site.run_for(8.0)
    done = len(callers.done) - skipped
    statements = site.network.crossed['statements'] - crossed.get(
        'statements', 0
    )
    control = site.network.crossed['control'] - crossed.get('control', 0)
    routers = [node.router for node in site.nodes.values()]
    reads = sum(router_task.reads for router_task in routers)
    violations = _finish(site, callers)
    site.close()
    return {
        'replica_read_share': sum(
            router_task.replica_reads for router_task in routers
        )
        / max(1, reads),
        'cross_region_bytes_per_statement': statements / max(1, done),
        'cross_region_control_bytes_per_s': control / 8.0,
        'violations': dataclasses.asdict(violations),
    }


@EXPERIMENTS.register('failover')
def failover(job: Job) -> dict[str, Any]:
    """Measure the gap in writes around a fault, and broken guarantees.

    ``detail`` is the name of the fault.
    """
    site = _site(job, databases=1)
    callers = callers_module.Callers(site, job.seed)
    vms = list(site.vms)
    callers.start(Load('desk', 14, 4.0, 0.004, 0.5), vms)
    callers.start(Load('batch', 7, 3.0, 0.004, 1.0, keyed=True), vms)
    callers.start(
        Load('buyer', 7, 2.0, 0.004, 0.1, staleness=1.0, private_rows=False),
        vms,
    )
    site.run_for(WARM_UP_S + 0.1 * (job.seed % 10))
    began = site.loop.clock.now()
    database = str(site.databases()[0])
    end = faults.FAULTS.get(job.detail)(site, database)
    site.run_for(faults.FAULT_SECONDS)
    if end is not None:
        end()
    site.run_for(OBSERVED_AFTER_FAULT_S - faults.FAULT_SECONDS)
    stopped = site.loop.clock.now()
    violations = _finish(site, callers)
    gap = _longest_write_gap(callers.done, began, stopped)
    most = max(server.most / server.cap for server in site.servers.values())
    site.close()
    return {
        'gap_s': gap,
        'fault': job.detail,
        'violations': dataclasses.asdict(violations),
        'connections_max': most,
    }


def _longest_write_gap(
    done: list[Done], began: float, stopped: float
) -> float:
    """Return the longest time without a successful write.

    It counts from the last success before the fault until ``stopped``.
    """
    ends = [
        statement.ended
        for statement in done
        if statement.write
        and statement.outcome is core.Outcome.DONE
        and statement.ended <= stopped
    ]
    before = max((at for at in ends if at <= began), default=began)
    after = [before, *(at for at in ends if at > began), stopped]
    return max(b - a for a, b in zip(after, after[1:], strict=False))


@EXPERIMENTS.register('crest')
def crest(job: Job) -> dict[str, Any]:
    """Measure goodput at five times the usual demand, and recovery."""
    site = _site(job, databases=1)
    slots = sum(server_slots(site))
    seconds, deadline, crest_seconds = 0.020, 1.0, 5.0
    usual = 0.5 * slots / seconds
    vms = list(site.vms)
    callers = callers_module.Callers(site, job.seed)
    base = Load('usual', 70, usual / 70, seconds, 0.08, deadline)
    callers.start(base, vms)
    site.run_for(WARM_UP_S + 1.0)
    usual_p99 = _percentile(
        (item.ended - item.sent for item in callers.done[len(vms) :]), 0.99
    )
    crowd = callers_module.Callers(site, job.seed + 1, 'crowd')
    surge = Load('surge', 1400, 4 * usual / 1400, seconds, 0.08, deadline)
    crowd.start(surge, vms)
    began = site.loop.clock.now()
    busy = sum(item.busy_seconds for item in site.servers.values())
    site.run_for(crest_seconds)
    ended = site.loop.clock.now()
    busy = sum(item.busy_seconds for item in site.servers.values()) - busy
    crowd.stop()
    site.run_for(5.0)
    good = sum(
        1
        for item in (*callers.done, *crowd.done)
        if item.good and began <= item.ended <= ended
    )
    capacity = slots * crest_seconds / seconds
    recovery = _recovery(callers.done, ended, usual_p99)
    refused = sum(
        1 for item in crowd.done if item.outcome is core.Outcome.NOT_RUN
    )
    violations = _finish(site, callers)
    violations.add(crowd.check_landings())
    site.close()
    return {
        'crest_goodput': good / capacity,
        'crest_recovery_s': recovery,
        'crest_refused': refused,
        'crest_slots_busy': busy / (slots * crest_seconds),
        'usual_p99_s': usual_p99,
        'violations': dataclasses.asdict(violations),
        'connections_max': max(
            item.most / item.cap for item in site.servers.values()
        ),
    }


def server_slots(site: Site) -> list[int]:
    """Return the slots of every instance of a site."""
    return [
        instance['slots']
        for database in site.document['register']['databases']
        for instance in database['instances']
    ]


def _recovery(done: list[Done], ended: float, usual_p99: float) -> float:
    """Return the seconds until latencies are back to normal.

    In each window of 0.25 s the p95 may exceed the usual p99 by a half.
    """
    window = 0.25
    step = ended
    last_bad = ended
    horizon = max((statement.ended for statement in done), default=ended)
    while step < horizon:
        times = [
            statement.ended - statement.sent
            for statement in done
            if step <= statement.sent < step + window
        ]
        if times and _percentile(times, 0.95) > usual_p99 * 1.5:
            last_bad = step + window
        step += window
    return last_bad - ended


@EXPERIMENTS.register('hol')
def head_of_line(job: Job) -> dict[str, Any]:
    """Measure how much slow statements (stragglers) delay short ones.

    With ``detail`` ``hidden`` stragglers have the statement class of the
    short ones, so that they cannot be recognized before they run.
    """
    ratios = {}
    for name, share in (('without', 0.0), ('with', 0.02)):
        site = _site(job, databases=1)
        slots = sum(server_slots(site))
        seconds = 0.005
        rate = 0.15 * slots / seconds
        callers = callers_module.Callers(site, job.seed)
        load = Load(
            'mixed',
            70,
            rate / 70,
            seconds,
            0.1,
            5.0,
            straggler=share,
            straggler_hidden=job.detail == 'hidden',
        )
        callers.start(load, list(site.vms))
        site.run_for(WARM_UP_S)
        skipped = len(callers.done)
        site.run_for(6.0)
        short = [
            statement.ended - statement.sent
            for statement in callers.done[skipped:]
            if not statement.straggler
        ]
        ratios[name] = _percentile(short, 0.99)
        site.close()
    return {
        'hol_ratio': ratios['with'] / ratios['without'],
        'short_p99_s': ratios['with'],
        'short_p99_without_s': ratios['without'],
    }


@EXPERIMENTS.register('spread')
def spread(job: Job) -> dict[str, Any]:
    """Measure the time until a new configuration is in force on all nodes.

    With ``detail`` ``cut`` the last zone cannot reach the platform, but
    can reach the other zones.
    """
    site = _site(job)
    if job.detail == 'cut':
        zone = site.deployment.zones[-1][0]
        site.platform_unreachable.add(zone)
        site.run_for(1.0)
    times = []
    for number in range(4):
        site.document['rules']['default_deadline'] = 9.0 - number * 0.5
        site.run_for(0.37 + 0.1 * number)
        site.put_config()
        new_version = site.platform.rows[tasks.CONFIG_KEY].version
        began = site.loop.clock.now()
        while site.loop.clock.now() - began < 10.0:
            site.run_for(0.05)
            versions = [
                node.configurator.version for node in site.nodes.values()
            ]
            if min(versions) >= new_version:
                break
        times.append(site.loop.clock.now() - began)
    site.close()
    return {'config_spread_max_s': max(times)}


@EXPERIMENTS.register('leaving')
def leaving(job: Job) -> dict[str, Any]:
    """Measure how long a leaving instance still gets new statements.

    ``detail`` is the role of the instance: ``primary`` or ``replica``.
    """
    site = _site(job, databases=1)
    callers = callers_module.Callers(site, job.seed)
    callers.start(Load('desk', 28, 5.0, 0.004, 0.3), list(site.vms))
    site.run_for(WARM_UP_S)
    database = str(site.databases()[0])
    server = site.primary(database)
    if job.detail == 'replica':
        server = next(
            candidate
            for candidate in site.servers.values()
            if candidate is not server
        )
    server.model.leaving = True
    began = site.loop.clock.now()
    site.run_for(8.0)
    violations = _finish(site, callers)
    last_new_work_s = max(0.0, server.last_new_work - began)
    site.close()
    return {
        'leaving_last_work_s': last_new_work_s,
        'violations': dataclasses.asdict(violations),
    }


@EXPERIMENTS.register('drain')
def drain(job: Job) -> dict[str, Any]:
    """Count requests cut off by the graceful shutdown of three VMs."""
    site = _site(job, databases=1)
    callers = callers_module.Callers(site, job.seed)
    callers.start(
        Load('desk', 28, 5.0, 0.030, 0.3, keyed=True), list(site.vms)
    )
    site.run_for(WARM_UP_S)
    began = site.loop.clock.now()
    for name in list(site.vms)[:3]:
        site.loop.post(tasks.names.node(name), core.Drain(5.0))
        site.run_for(3.0)
    violations = _finish(site, callers)
    cut = sum(
        1
        for item in callers.done
        if item.outcome is core.Outcome.UNKNOWN and item.ended > began
    )
    most = max(item.most / item.cap for item in site.servers.values())
    site.close()
    return {
        'drain_cut_requests': cut + callers.open,
        'connections_max': most,
        'violations': dataclasses.asdict(violations),
    }


@EXPERIMENTS.register('slope')
def slope(job: Job) -> dict[str, Any]:
    """Measure the cost of control work per node of an idle site.

    ``detail`` is ``VMS:DATABASES``.  Processor time is that of the real
    process, elapsed time is virtual, and memory is the growth of the
    process per node.
    """
    vms, databases = (int(item) for item in job.detail.split(':'))
    before = resident_mb()
    site = _site(job, vms=vms, databases=databases)
    site.run_for(8.0)
    memory = (resident_mb() - before) / vms
    seconds = 10.0
    sent = site.control_bytes.total()
    reads = site.platform.reads
    posted = site.loop.posted
    began = time.process_time()
    site.run_for(seconds)
    spent = time.process_time() - began
    node_seconds = seconds * vms
    figures = {
        'vms': vms,
        'databases': databases,
        'gates_per_vm': 3 * databases / vms,
        'groups_per_vm': sum(len(item.groups) for item in site.nodes.values())
        / vms,
        'control_cpu_fraction': spent / node_seconds,
        'control_bytes_per_s': (site.control_bytes.total() - sent)
        / node_seconds,
        'platform_reads_per_s': (site.platform.reads - reads) / node_seconds,
        'messages_per_s': (site.loop.posted - posted) / node_seconds,
        'mb': memory,
    }
    site.close()
    return figures


def resident_mb() -> float:
    """Return the memory of this process in MB."""
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize() / 1e6
