"""A rush of new connections, as after a loss of power of all VMs.

New connections take the instance's slots, so it accepts others late.
"""

from __future__ import annotations

import pytest

import pool_sites
from chicoryusher import core
from chicoryusher.tasks.pool.connections import instance_pool

PRIMARY = core.ReadAccess.PRIMARY
write = pool_sites.write


@pytest.fixture
def site():
    with pool_sites.checked_site(3) as new_site:
        yield new_site


def test_a_vm_opens_few_connections_at_once(site):
    vm = site.vms[0]
    callers = [vm.caller(PRIMARY) for _ in range(8)]
    link = vm.links[site.group.primary().name]
    opened = link.opened
    for caller in callers:
        caller.ask(write())
    site.run(0.004)
    assert link.opened - opened <= instance_pool.MAX_CONNECTING_CONNS
    site.run(1.0)
    assert [caller.last.refusal for caller in callers] == [None] * 8


def test_a_primary_that_accepts_late_and_answers_is_kept(site):
    """Its connections were closed, and all VMs took it for unreachable."""
    primary = site.group.primary()
    callers = [vm.caller(PRIMARY) for vm in site.vms for _ in range(6)]
    for vm in site.vms:
        vm.caller(PRIMARY).ask(write())
    site.run(0.5)
    primary.backlogged = True
    refusals = []
    for _ in range(10):
        for caller in callers:
            caller.ask(write())
        site.run(0.3)
        refusals += [caller.last.refusal for caller in callers]
    assert refusals == [None] * len(refusals)
    assert site.tokens == []
    assert site.group.primary() is primary


@pytest.mark.parametrize('fault', ['dark', 'crashed'])
def test_a_primary_that_stops_to_answer_is_still_replaced(site, fault):
    primary = site.group.primary()
    callers = [vm.caller(PRIMARY) for vm in site.vms]
    for caller in callers:
        caller.ask(write())
    site.run(0.5)
    setattr(primary, fault, True)
    for caller in callers:
        caller.ask(write())
    site.run(2.0)
    assert site.group.primary() is not primary
