"""Experiments that give the keys of the measurements."""

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

__all__ = ['EXPERIMENTS', 'Job', 'run_job']

BOOT_SECONDS = 3.0
WARM_SECONDS = 2.0
AFTER_SECONDS = 9.0
SETTLE_SECONDS = 6.0
Site = site_module.Site
Load = callers_module.Load
Done = callers_module.Done


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One run of one experiment: what, where, under which policies."""

    experiment: str
    deployment: str
    seed: int
    queue_policy: str = decisions.DEFAULT_POLICY
    routing_policy: str = 'nearest_fresh_replica'
    detail: str = ''
    placement: str = decisions.DEFAULT_PLACEMENT


Experiment = Callable[[Job], dict[str, Any]]
EXPERIMENTS: core.Registry[Experiment] = core.Registry('experiment')


def run_job(job: Job) -> dict[str, Any]:
    """Run one job and return its figures."""
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
    site.run_for(BOOT_SECONDS)
    return site


def _percentile(values: Iterable[float], share: float) -> float:
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _finish(
    site: Site, callers: callers_module.Callers
) -> callers_module.Violations:
    """Stop the load, heal everything, and check what was told."""
    callers.stop()
    site.run_for(SETTLE_SECONDS)
    return callers.check_landings()


@EXPERIMENTS.register('steady')
def steady(job: Job) -> dict[str, Any]:
    """Measure replica reads, fresh reads and bytes on the slow link."""
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
    site.run_for(WARM_SECONDS)
    skipped = len(callers.done)
    crossed = dict(site.network.crossed)
    site.run_for(8.0)
    done = len(callers.done) - skipped
    statements = site.network.crossed['statements'] - crossed.get(
        'statements', 0
    )
    control = site.network.crossed['control'] - crossed.get('control', 0)
    routers = [node.router for node in site.nodes.values()]
    reads = sum(one.reads for one in routers)
    violations = _finish(site, callers)
    site.close()
    return {
        'replica_read_share': sum(one.replica_reads for one in routers)
        / max(1, reads),
        'cross_region_bytes_per_statement': statements / max(1, done),
        'cross_region_control_bytes_per_s': control / 8.0,
        'violations': dataclasses.asdict(violations),
    }


@EXPERIMENTS.register('failover')
def failover(job: Job) -> dict[str, Any]:
    """Measure the gap in writes around one fault, and broken promises."""
    site = _site(job, databases=1)
    callers = callers_module.Callers(site, job.seed)
    vms = list(site.vms)
    callers.start(Load('desk', 14, 4.0, 0.004, 0.5), vms)
    callers.start(Load('batch', 7, 3.0, 0.004, 1.0, keyed=True), vms)
    callers.start(
        Load('buyer', 7, 2.0, 0.004, 0.1, staleness=1.0, private_rows=False),
        vms,
    )
    site.run_for(WARM_SECONDS + 0.1 * (job.seed % 10))
    began = site.loop.clock.now()
    database = str(site.databases()[0])
    end = faults.FAULTS.get(job.detail)(site, database)
    site.run_for(faults.FAULT_SECONDS)
    if end is not None:
        end()
    site.run_for(AFTER_SECONDS - faults.FAULT_SECONDS)
    stopped = site.loop.clock.now()
    violations = _finish(site, callers)
    gap = _gap(callers.done, began, stopped)
    most = max(one.most / one.cap for one in site.servers.values())
    site.close()
    return {
        'gap_s': gap,
        'fault': job.detail,
        'violations': dataclasses.asdict(violations),
        'connections_max': most,
    }


def _gap(done: list[Done], began: float, stopped: float) -> float:
    """Return the longest time without a good write around a fault."""
    ends = [
        one.ended
        for one in done
        if one.write
        and one.outcome is core.Outcome.DONE
        and one.ended <= stopped
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
    site.run_for(WARM_SECONDS + 1.0)
    usual_p99 = _percentile(
        (one.ended - one.sent for one in callers.done[len(vms) :]), 0.99
    )
    crowd = callers_module.Callers(site, job.seed + 1, 'crowd')
    surge = Load('surge', 1400, 4 * usual / 1400, seconds, 0.08, deadline)
    crowd.start(surge, vms)
    began = site.loop.clock.now()
    busy = sum(one.busy_seconds for one in site.servers.values())
    site.run_for(crest_seconds)
    ended = site.loop.clock.now()
    busy = sum(one.busy_seconds for one in site.servers.values()) - busy
    crowd.stop()
    site.run_for(5.0)
    good = sum(
        1
        for one in (*callers.done, *crowd.done)
        if one.good and began <= one.ended <= ended
    )
    capacity = slots * crest_seconds / seconds
    recovery = _recovery(callers.done, ended, usual_p99)
    refused = sum(
        1 for one in crowd.done if one.outcome is core.Outcome.NOT_RUN
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
            one.most / one.cap for one in site.servers.values()
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
    """Return the time until statements take no longer than usual.

    The tolerance over the usual p99 is a half; a window is 0.25 s.
    """
    window = 0.25
    step = ended
    last_bad = ended
    horizon = max((one.ended for one in done), default=ended)
    while step < horizon:
        times = [
            one.ended - one.sent
            for one in done
            if step <= one.sent < step + window
        ]
        if times and _percentile(times, 0.95) > usual_p99 * 1.5:
            last_bad = step + window
        step += window
    return last_bad - ended


@EXPERIMENTS.register('hol')
def head_of_line(job: Job) -> dict[str, Any]:
    """Measure how much stragglers delay short work.

    With ``detail`` ``hidden`` stragglers share the short work's class,
    so that nothing tells them apart before they run.
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
        site.run_for(WARM_SECONDS)
        skipped = len(callers.done)
        site.run_for(6.0)
        short = [
            one.ended - one.sent
            for one in callers.done[skipped:]
            if not one.straggler
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
    """Measure how long an accepted configuration takes to be in force.

    ``detail`` ``cut`` cuts the last zone off from the platform alone.
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
        wanted = site.platform.rows[tasks.CONFIG_KEY].version
        began = site.loop.clock.now()
        while site.loop.clock.now() - began < 10.0:
            site.run_for(0.05)
            versions = [
                one.configurator.version for one in site.nodes.values()
            ]
            if min(versions) >= wanted:
                break
        times.append(site.loop.clock.now() - began)
    site.close()
    return {'config_spread_max_s': max(times)}


@EXPERIMENTS.register('leaving')
def leaving(job: Job) -> dict[str, Any]:
    """Measure when a leaving instance gets its last new work."""
    site = _site(job, databases=1)
    callers = callers_module.Callers(site, job.seed)
    callers.start(Load('desk', 28, 5.0, 0.004, 0.3), list(site.vms))
    site.run_for(WARM_SECONDS)
    database = str(site.databases()[0])
    server = site.primary(database)
    if job.detail == 'replica':
        server = next(
            one for one in site.servers.values() if one is not server
        )
    server.model.leaving = True
    began = site.loop.clock.now()
    site.run_for(8.0)
    violations = _finish(site, callers)
    last = max(0.0, server.last_new_work - began)
    site.close()
    return {
        'leaving_last_work_s': last,
        'violations': dataclasses.asdict(violations),
    }


@EXPERIMENTS.register('drain')
def drain(job: Job) -> dict[str, Any]:
    """Count requests that a graceful shutdown of each VM cuts off."""
    site = _site(job, databases=1)
    callers = callers_module.Callers(site, job.seed)
    callers.start(
        Load('desk', 28, 5.0, 0.030, 0.3, keyed=True), list(site.vms)
    )
    site.run_for(WARM_SECONDS)
    began = site.loop.clock.now()
    for name in list(site.vms)[:3]:
        site.loop.post(tasks.names.node(name), core.Drain(5.0))
        site.run_for(3.0)
    violations = _finish(site, callers)
    cut = sum(
        1
        for one in callers.done
        if one.outcome is core.Outcome.UNKNOWN and one.ended > began
    )
    most = max(one.most / one.cap for one in site.servers.values())
    site.close()
    return {
        'drain_cut_requests': cut + callers.open,
        'connections_max': most,
        'violations': dataclasses.asdict(violations),
    }


@EXPERIMENTS.register('slope')
def slope(job: Job) -> dict[str, Any]:
    """Measure what control costs each node of an otherwise idle site.

    ``detail`` is ``VMS:DATABASES``.  Processor time is real, time is
    virtual; memory is what the nodes add to the process.
    """
    vms, databases = (int(one) for one in job.detail.split(':'))
    before = _resident_mb()
    site = _site(job, vms=vms, databases=databases)
    site.run_for(8.0)
    memory = (_resident_mb() - before) / vms
    seconds = 10.0
    sent = site.control_bytes.total()
    reads = site.platform.reads
    posted = site.loop.posted
    began = time.process_time()
    site.run_for(seconds)
    spent = time.process_time() - began
    share = seconds * vms
    figures = {
        'vms': vms,
        'databases': databases,
        'gates_per_vm': 3 * databases / vms,
        'groups_per_vm': sum(len(one.groups) for one in site.nodes.values())
        / vms,
        'control_cpu_fraction': spent / share,
        'control_bytes_per_s': (site.control_bytes.total() - sent) / share,
        'platform_reads_per_s': (site.platform.reads - reads) / share,
        'messages_per_s': (site.loop.posted - posted) / share,
        'mb': memory,
    }
    site.close()
    return figures


def _resident_mb() -> float:
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize() / 1e6
