"""Which VMs poll a view from the platform's store.

One VM polls for all; the others get the view from their peers.  A VM
whose view is not confirmed in time polls itself.  VMs do so one after the
other, in the order of their ranks, until the view of one is confirmed.
Whatever the number of VMs, and whichever of them the store turns away,
only a few VMs wait for an answer of the store at a time.
"""

from __future__ import annotations

from collections.abc import Set

from chicoryusher import core
from chicoryusher.decisions import failover

__all__ = ['poller_rank', 'polls_store']

# Maximum age of a view in seconds before further VMs poll: two waits of the
# poller and the time to pass the view on. The leader rows renew the leases
# of 3 s.
_MAX_AGE_S = {
    core.StoreView.LEADERS: 2.25,
    core.StoreView.INSTANCES: 5.5,
    core.StoreView.CONFIG: 3.0,
}
# Seconds without any copy of a view, after the start, before further VMs poll.
_MAX_START_WAIT_S = 0.8
# Seconds by which each further VM waits longer for its first copy.  The
# configuration may be large: if all VMs read it after a restart, it fills
# their links, which they need for connections to instances.
_START_RANK_STEP_S = {
    core.StoreView.LEADERS: 0.05,
    core.StoreView.INSTANCES: 0.1,
    core.StoreView.CONFIG: 0.5,
}
# Seconds by which each further VM waits longer.
_RANK_STEP_S = {
    core.StoreView.LEADERS: 0.05,
    core.StoreView.INSTANCES: 0.1,
    core.StoreView.CONFIG: 0.1,
}


def poller_rank(
    vm: core.VmName,
    vms: Set[core.VmName],
    turned_away: Set[core.VmName],
    ranking: core.ServiceName,
) -> int:
    """Return a VM's rank in the order in which VMs poll the store.

    The VMs that the store has ``turned_away`` lately rank last.
    """
    group = {*vms, vm}
    reaching = group - turned_away
    if vm in reaching:
        return failover.failover_rank(vm, reaching, ranking)
    rank = failover.failover_rank(vm, group & turned_away, ranking)
    return len(reaching) + rank


def polls_store(
    view: core.StoreView, rank: int, age_s: float, waited_s: float | None
) -> bool:
    """Return whether the VM with a rank polls a view from the store.

    ``age_s`` is how long ago the view was confirmed; ``waited_s`` is how
    long the VM has been without a copy of it, None if it has one.
    """
    if not rank:
        return True
    if waited_s is not None:
        return waited_s > _MAX_START_WAIT_S + rank * _START_RANK_STEP_S[view]
    return age_s > _MAX_AGE_S[view] + rank * _RANK_STEP_S[view]
