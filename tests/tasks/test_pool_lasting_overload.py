"""An overload that outlasts its cause, at a primary that serves all reads.

The replicas lag, so reads go to the primary.  A burst fills its queue; reads
that leave the queue for another try, and waited in vain, come back as new
load, and the primary serves nobody in time though the burst has ended.
"""

from __future__ import annotations

import pytest
import test_pool_load

import pool_sites

# Statements a second: three slots of 28 ms on average can run 107.
USUAL_RATE = 95.0
BURST_RATE = 3.0 * USUAL_RATE


def make_load(site):
    """Return a load on a group whose replicas receive nothing."""
    load = test_pool_load.Load(site)
    for instance in site.group.instances.values():
        instance.deaf = instance is not site.group.primary()
    load.run(2.5, USUAL_RATE)
    return load


@pytest.fixture
def loads():
    """Return a load without and one with watched owners."""
    count = pool_sites.FORWARDING_VM_COUNT
    with (
        pool_sites.checked_site(count) as plain,
        pool_sites.checked_site(count, watches_owners=True) as watched,
    ):
        yield make_load(plain), make_load(watched)


def test_an_overload_ends_soon_after_the_burst(loads):
    refused = []
    for load in loads:
        load.run(2.0, BURST_RATE)
        load.run(2.0, USUAL_RATE)
        before = load.refused[None]
        load.run(3.0, USUAL_RATE)
        refused.append(load.refused[None] - before)
    plain, watched = refused
    assert plain > 30
    assert watched < plain / 10


def test_what_the_primary_runs_is_not_run_twice(loads):
    runs = []
    for load in loads:
        load.run(2.0, BURST_RATE)
        load.run(1.0, USUAL_RATE)
        ids = [run.request_id for run in load.site.group.runs]
        runs.append(len(ids) - len(set(ids)))
    assert runs[1] <= 2
