"""Evidence from a group's instances, in place of a primary lease.

A primary lease says that no other instance can have been promoted yet.  When
it has ended, the instances can say that none has been: a statement ran at
the primary, and afterwards every replica that a change of primary may have
promoted still follows the term in which it ran.  The specification
``evidence`` of the model has the protocol.

Times are seconds of the clock that also counts the time for which the VM
is suspended.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from chicoryusher import core

__all__ = [
    'EVIDENCE_EXPIRY_WAIT_S',
    'EVIDENCE_S',
    'InstanceLists',
    'KnownInstances',
    'WitnessList',
    'is_in_lists',
    'judge_statuses',
]

# Seconds after the end of its lease for which a VM uses evidence.
EVIDENCE_S = 8.0
# Seconds after the end of all leases after which no VM uses evidence any
# more: 4% for clocks that run at different speeds, and timers that fire late.
EVIDENCE_EXPIRY_WAIT_S = EVIDENCE_S * 1.04 + 0.1
# Greatest age of the list of instances at the end of the lease.
MAX_LIST_AGE_S = 8.0
# Seconds for which an instance may be missing from the store's list while a
# VM does not see it.  A VM whose list was not confirmed for longer counts all
# instances as new, and two confirmations that are further apart than that
# are needed for evidence, of which at least one has the instance.  If the VM
# that polls the list is lost, the next confirmation comes up to 7.5 s later.
MAX_UNSEEN_ABSENCE_S = 8.0
MIN_CONFIRMATION_SPAN_S = MAX_UNSEEN_ABSENCE_S + 1.0
# Seconds before the end of the lease from which on lists count.
LIST_MEMORY_S = MAX_LIST_AGE_S + MIN_CONFIRMATION_SPAN_S + 2.0
# Seconds for which an instance must have been registered until every list
# that serves for evidence has it: from the earliest list that counts to the
# end of all evidence, with an absence that was not seen, and 4% for clocks.
KNOWN_AFTER_S = (LIST_MEMORY_S + EVIDENCE_S + MAX_UNSEEN_ABSENCE_S) * 1.04


class WitnessList:
    """The replicas that a VM must ask for evidence about one group.

    They are those of all lists that the VM had since shortly before the end
    of its lease.
    """

    def __init__(self) -> None:
        self._present: frozenset[core.InstanceName] = frozenset()
        self._last_listed: dict[core.InstanceName, float] = {}
        self._confirmed_at: collections.deque[float] = collections.deque()

    def update(self, names: Iterable[core.InstanceName], now: float) -> None:
        """Adopt the instances that are registered now."""
        present = frozenset(names)
        self._last_listed.update(dict.fromkeys(self._present | present, now))
        self._present = present

    def confirm(self, asked_at: float) -> None:
        """Record that the store had this list when it was asked."""
        if self._confirmed_at and asked_at <= self._confirmed_at[-1]:
            return
        self._confirmed_at.append(asked_at)
        while self._confirmed_at[0] < asked_at - 2 * LIST_MEMORY_S:
            self._confirmed_at.popleft()

    def serves(self, lease_end: float, now: float) -> bool:
        """Return whether the list serves for evidence."""
        if now > lease_end + EVIDENCE_S or not self._confirmed_at:
            return False
        newest = self._confirmed_at[-1]
        if newest < lease_end - MAX_LIST_AGE_S:
            return False
        earliest = lease_end - LIST_MEMORY_S
        latest = newest - MIN_CONFIRMATION_SPAN_S
        return any(earliest <= at <= latest for at in self._confirmed_at)

    def replicas(
        self, primary: core.InstanceName, lease_end: float
    ) -> frozenset[core.InstanceName]:
        """Return the replicas to ask, also those that are listed no more."""
        oldest = lease_end - LIST_MEMORY_S
        listed = {
            name for name, at in self._last_listed.items() if at >= oldest
        }
        return (self._present | listed) - {primary}


class InstanceLists:
    """The revision of the newest list of instances that each VM has shown."""

    def __init__(self) -> None:
        self._shown: dict[core.VmName, int] = {}

    def record(self, vm: core.VmName, revision: int) -> None:
        """Record the revision of the list that a VM has."""
        self._shown[vm] = max(revision, self._shown.get(vm, 0))

    def lowest(self, vms: Iterable[core.VmName]) -> int:
        """Return the lowest revision of the lists that VMs have shown."""
        return min((self._shown.get(vm, 0) for vm in vms), default=0)

    def shown(self) -> tuple[core.ShownList, ...]:
        """Return the newest list that each VM has shown."""
        return tuple(
            core.ShownList(vm, revision)
            for vm, revision in sorted(self._shown.items())
        )


class KnownInstances:
    """Since when a VM has seen the instances registered, without a break.

    For each instance there is the time, and the revision of the list.
    """

    def __init__(self) -> None:
        self._since: dict[core.InstanceName, tuple[float, int]] = {}
        self._revision = 0
        self._confirmed_at = float('-inf')

    def update(
        self, names: Iterable[core.InstanceName], revision: int, now: float
    ) -> None:
        """Adopt the instances that are registered now."""
        self._revision = revision
        self._since = {
            name: self._since.get(name, (now, revision))
            for name in frozenset(names)
        }

    def confirm(self, asked_at: float, now: float) -> None:
        """Record that the store had this list when it was asked."""
        if asked_at - self._confirmed_at > MAX_UNSEEN_ABSENCE_S:
            self._since = dict.fromkeys(self._since, (now, self._revision))
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def listings(
        self, shown: tuple[core.ShownList, ...], now: float
    ) -> core.InstanceListings:
        """Return what is known of the lists of all VMs.

        ``shown`` are the lists that the other VMs have shown.
        """
        since = self._since
        if now - self._confirmed_at > MAX_UNSEEN_ABSENCE_S:
            since = {}
        return core.InstanceListings(
            frozenset(
                name
                for name, (at, _) in since.items()
                if now - at >= KNOWN_AFTER_S
            ),
            tuple(
                core.ListedSince(name, revision)
                for name, (_, revision) in since.items()
            ),
            shown,
        )


def is_in_lists(
    name: core.InstanceName,
    vms: Iterable[core.VmName],
    listings: core.InstanceListings,
) -> bool:
    """Return whether the VMs' lists of instances have an instance."""
    vms = frozenset(vms)
    if not vms or name in listings.in_every_list:
        return True
    since = {listed.instance: listed.revision for listed in listings.since}
    shown = {one.vm: one.revision for one in listings.shown}
    if name not in since:
        return False
    return all(_is_newer(shown.get(vm, 0), since[name]) for vm in vms)


def _is_newer(shown: int, since: int) -> bool:
    """Return whether a list has what was in all lists from ``since`` on.

    A list of another era of the store may be a copy from before.
    """
    return core.era_of(shown) == core.era_of(since) and shown >= since


def judge_statuses(
    replicas: Iterable[core.InstanceName],
    states: Mapping[core.InstanceName, core.InstanceState],
    term: core.Term,
    position: core.Position | None,
) -> core.EvidenceVerdict:
    """Return what the replicas' statuses say about an answer of the primary.

    The answer is of ``term``; ``position`` is that of the commit that it
    reports.  The statuses were asked for after the answer had come.
    """
    verdict = core.EvidenceVerdict.PROVED
    for name in replicas:
        state = states.get(name)
        if state is None or state.term < term:
            verdict = core.EvidenceVerdict.PENDING
        elif state.role is not core.Role.REPLICA or state.term > term:
            return core.EvidenceVerdict.REFUTED
        elif position is not None and state.received < position:
            verdict = core.EvidenceVerdict.PENDING
    return verdict
