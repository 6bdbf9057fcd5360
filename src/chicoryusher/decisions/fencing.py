"""Which VMs a change of primary still waits for."""

from __future__ import annotations

from collections.abc import Iterable

from chicoryusher import core

__all__ = ['FencingProgress']


class FencingProgress:
    """VMs that have not confirmed yet that they stopped using a primary.

    VMs that had registered in the store by the time of the claim must be
    waited for too.  The fencing is incomplete until the store has listed
    them, because until then a VM may be unknown here.
    """

    def __init__(self, vms: Iterable[core.VmName] = ()) -> None:
        self.vms = set(vms)
        self.pending = set(self.vms)
        self._store_listed = False

    @property
    def done(self) -> bool:
        """Return whether all VMs are known and have stopped."""
        return self._store_listed and not self.pending

    def add_registered(self, rows: Iterable[core.EntryVmRow]) -> bool:
        """Add the VMs that the store lists; return whether any is new."""
        new = {row.vm for row in rows if row.may_be_contacted} - self.vms
        self.vms |= new
        self.pending |= new
        self._store_listed = True
        return bool(new)

    def record_stopped(self, vm: core.VmName) -> None:
        """Record that a VM has stopped using the primary."""
        self.pending.discard(vm)
