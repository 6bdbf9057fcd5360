"""Which VMs a change of primary still waits for, and until when."""

from __future__ import annotations

import math
from collections.abc import Iterable

from chicoryusher import core
from chicoryusher.decisions import primary_lease

__all__ = ['FencingProgress']


class FencingProgress:
    """VMs that have not confirmed yet that they stopped using a primary.

    VMs that had registered in the store by the time of the claim must be
    waited for too.  The fencing is incomplete until the store has listed
    them, because until then a VM may be unknown here.

    The lease of a VM that does not respond certainly ends only if a VM in
    its list of VMs refuses to extend it: the coordinator, or one that has
    confirmed.  ``listers`` are the VMs that list the coordinator, and
    ``listed_by_all_at`` is when every VM does.  Times are those of the
    boot-time clock.
    """

    def __init__(
        self,
        vms: Iterable[core.VmName] = (),
        listers: Iterable[core.VmName] = (),
        listed_by_all_at: float = -math.inf,
    ) -> None:
        self.vms = set(vms)
        self.pending = set(self.vms)
        self._listers = frozenset(listers)
        self._listed_by_all_at = listed_by_all_at
        self._store_listed = False
        self._stopped: set[core.VmName] = set()
        self._without_lease: set[core.VmName] = set()
        self._marked: frozenset[core.VmName] = frozenset()

    @property
    def done(self) -> bool:
        """Return whether all VMs are known and have stopped."""
        return self._store_listed and not self.pending

    def add_registered(self, rows: Iterable[core.EntryVmRow]) -> bool:
        """Add the VMs that the store lists; return whether any is new."""
        rows = tuple(rows)
        self._marked = frozenset(
            row.vm
            for row in rows
            if row.unreachable and row.status is not core.EntryVmStatus.LEFT
        )
        new = {row.vm for row in rows if row.may_be_contacted} - self.vms
        self.vms |= new
        self.pending |= new
        self._store_listed = True
        return bool(new)

    def unfenced(self) -> frozenset[core.VmName] | None:
        """Return the VMs that have not confirmed, None if not all are known.

        Those that are marked as missing are among them: they have no lease,
        but may still use evidence from instances.
        """
        if not self._store_listed:
            return None
        return self._marked.difference(self._stopped).union(self.pending)

    def record_stopped(
        self,
        vm: core.VmName,
        listed_by: Iterable[core.VmName] = (),
        closed_for: float = 0.0,
    ) -> None:
        """Record that a VM has stopped using the primary.

        It has refused to extend the lease of the VMs in ``listed_by`` for
        ``closed_for`` seconds.
        """
        self.pending.discard(vm)
        self._stopped.add(vm)
        if closed_for >= primary_lease.LEASE_EXPIRY_WAIT_S:
            self._without_lease.update(listed_by)

    def unlisted(self) -> frozenset[core.VmName]:
        """Return the VMs waited for that may not list the coordinator."""
        return frozenset(self.pending - self._listers - self._without_lease)

    def wait_begins_at(self, closed_at: float) -> float:
        """Return when the wait for the leases of silent VMs begins.

        ``closed_at`` is when the coordinator closed the group, from which on
        it extends no lease.
        """
        if not self.unlisted():
            return closed_at
        return max(closed_at, self._listed_by_all_at)
