"""Work goes through a VM with connections when its own VM has none.

After a loss of power the instances keep the connections of the VMs' earlier
incarnations for some seconds, and accept few new ones.  A VM that alone
cannot reach a primary is in the same position.
"""

from __future__ import annotations

import pytest

import pool_sites
from chicoryusher import core

PRIMARY = core.ReadAccess.PRIMARY
STATEMENTS = 5
write = pool_sites.write


def begin():
    return core.Statement(core.Verb.BEGIN, 'BEGIN')


def commit():
    return core.Statement(core.Verb.COMMIT, 'COMMIT')


@pytest.fixture
def site():
    with pool_sites.checked_site(3) as new_site:
        yield new_site


def ask(site, caller, *statements, seconds=1.2):
    refusals = []
    for statement in statements:
        caller.ask(statement)
        site.run(seconds)
        refusals.append(caller.last.refusal)
    return refusals


def connect(site, vms):
    for vm in vms:
        assert ask(site, vm.caller(PRIMARY), write(), seconds=0.1) == [None]


def test_a_full_instance_is_used_through_a_vm_that_has_connections(site):
    *connected, late = site.vms
    connect(site, connected)
    site.group.primary().full = True
    caller = late.caller(PRIMARY)
    statements = [write()] * STATEMENTS
    assert ask(site, caller, *statements) == [None] * STATEMENTS


def test_a_vm_that_alone_cannot_reach_the_primary_serves_writes(site):
    *_, alone = site.vms
    connect(site, site.vms)
    name = site.group.primary().name
    site.cut.add((str(alone.vm), str(name)))
    site.run(3.0)
    caller = alone.caller(PRIMARY)
    # The first one was sent on a connection that is silent from now on.
    assert ask(site, caller, write()) == [core.Refusal.UNKNOWN]
    statements = [write()] * STATEMENTS
    assert ask(site, caller, *statements) == [None] * STATEMENTS
    assert site.group.primary().name == name


def test_a_transaction_stays_at_the_vm_that_began_it(site):
    *connected, late = site.vms
    connect(site, connected)
    primary = site.group.primary()
    primary.full = True
    caller = late.caller(PRIMARY)
    assert ask(site, caller, begin(), write()) == [None, None]
    primary.full = False
    assert ask(site, caller, write(), commit()) == [None, None]


def test_an_instance_without_any_connection_costs_few_messages(site):
    primary = site.group.primary()
    primary.full = True
    for vm in site.vms:
        caller = vm.caller(PRIMARY)
        posted = site.loop.posted
        assert ask(site, caller, write()) == [core.Refusal.BUSY]
        assert site.loop.posted - posted < 400


def test_reads_of_a_group_without_any_connection_cost_few_messages(site):
    for instance in site.group.instances.values():
        instance.full = True
    caller = site.vms[0].caller(core.ReadAccess.BOUNDED)
    read = core.Statement(core.Verb.READ, 'READ 1a4', '1a4')
    posted = site.loop.posted
    assert ask(site, caller, read) == [core.Refusal.BUSY]
    assert site.loop.posted - posted < 400


def test_a_statement_that_waited_in_vain_is_not_sent_to_another_vm(site):
    """A busy instance got the same statements again through other VMs."""
    vm = site.vms[0]
    connect(site, site.vms)
    primary = site.group.primary()
    primary.lose_answers = True
    callers = [vm.caller(PRIMARY) for _ in range(12)]
    opened = [other.links[primary.name].opened for other in site.vms[1:]]
    for caller in callers:
        caller.ask(write())
    runs = len(site.group.runs)
    site.run(1.2)
    others = [other.links[primary.name].opened for other in site.vms[1:]]
    assert others == opened
    assert len(site.group.runs) - runs <= len(callers)
