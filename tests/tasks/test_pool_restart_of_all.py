"""All VMs lose power and start again under the load of all callers.

Instances count the old connections for 3 s more, so what the VMs open in that
time must fit beside them.
"""

from __future__ import annotations

import pool_sites
from chicoryusher import core
from chicoryusher.tasks.pool.exchange import exchange_peers
from chicoryusher_standins import pool

PRIMARY = core.ReadAccess.PRIMARY
BEGIN = core.Statement(core.Verb.BEGIN, 'BEGIN')
CAP = pool.CONFIG.services[0].connections
# More transactions than an instance has connections.
CALLERS_PER_VM = 4


def open_conns(site):
    """Return the connections of all VMs to the primary."""
    name = site.group.primary().name
    return sum(
        vm.desk._group_table._pools[name].connections for vm in site.vms
    )


def most_conns(site, seconds):
    """Begin transactions on all VMs; return the most connections."""
    callers = [
        vm.caller(PRIMARY) for vm in site.vms for _ in range(CALLERS_PER_VM)
    ]
    for caller in callers:
        caller.ask(BEGIN)
    site.run(0.02)
    for caller in callers:
        caller.ask(pool_sites.WRITE)
    most = 0
    for _ in range(int(seconds / 0.05)):
        site.run(0.05)
        most = max(most, open_conns(site))
    for caller in callers:
        caller.leave()
    site.run(0.5)
    return most


def test_old_and_new_connections_fit_into_the_cap():
    with pool_sites.checked_site(
        pool_sites.FORWARDING_VM_COUNT, keeps_to_cap=True
    ) as site:
        restarted = most_conns(site, 0.5)
        site.run(3.0)
        usual = most_conns(site, 1.0)
    assert 0 < restarted < usual
    assert restarted + usual <= CAP


def test_without_the_setting_they_do_not():
    with pool_sites.checked_site(pool_sites.FORWARDING_VM_COUNT) as site:
        restarted = most_conns(site, 0.5)
        site.run(3.0)
        usual = most_conns(site, 1.0)
    assert restarted + usual > CAP


def test_a_vm_that_starts_does_not_take_itself_for_the_only_owner():
    """Others count until they have had the time to respond."""
    own, other = (
        core.EntryVmZone(core.VmName(name), core.ZoneName('akhmim-yard'))
        for name in ('vm0', 'vm1')
    )
    peers = exchange_peers.ExchangePeers(own, {})
    rows = tuple(
        core.EntryVmRow(place.vm, '10.0.0.1', 7440, place.zone, 'b1')
        for place in (own, other)
    )
    peers.update_live(9.0)
    peers.rows.replace_rows(rows, 10.0)
    peers.update_live(10.0)
    assert peers.live_nodes() == (own, other)
    assert peers.live == frozenset()
    peers.update_live(11.1)
    assert peers.live_nodes() == (own,)
