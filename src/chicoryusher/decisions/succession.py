"""Who changes a group's primary, when, and which instance follows."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import xxhash

from chicoryusher import core

__all__ = ['best_successor', 'caught_up', 'missed_by_most', 'rank_of']


def rank_of(
    vm: core.VmName, live: Iterable[core.VmName], service: core.ServiceName
) -> int:
    """Return the place of a VM in the order of who acts first."""

    def digest(one: core.VmName) -> int:
        return xxhash.xxh64_intdigest(f'{service} {one}'.encode())

    order = sorted({*live, vm}, key=digest)
    return order.index(vm)


def missed_by_most(
    opinions: Mapping[core.VmName, bool], live: Iterable[core.VmName]
) -> bool:
    """Tell whether over half of the live VMs miss an instance.

    ``opinions`` has True for a VM that reached it.
    """
    voters = set(live)
    missed = sum(
        1 for vm, reached in opinions.items() if vm in voters and not reached
    )
    return 2 * missed > len(voters)


def best_successor(
    states: Mapping[core.InstanceName, core.InstanceState],
    leaving: frozenset[core.InstanceName],
) -> core.InstanceName | None:
    """Return the instance that has received most, None without any.

    One that is leaving is taken only if no other answers.
    """
    names = [one for one in states if one not in leaving] or list(states)
    return max(
        names,
        key=lambda one: (states[one].term, states[one].received, one),
        default=None,
    )


def caught_up(
    states: Mapping[core.InstanceName, core.InstanceState],
    old: core.InstanceName,
    successor: core.InstanceName | None,
) -> bool:
    """Tell whether the successor has all that the old primary has."""
    if successor is None or old not in states:
        return False
    return states[successor].received >= states[old].received
