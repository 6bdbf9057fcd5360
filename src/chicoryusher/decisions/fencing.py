"""Which VMs a change of primary still waits for."""

from __future__ import annotations

from collections.abc import Iterable

from chicoryusher import core

__all__ = ['Fencing']


class Fencing:
    """VMs that have not confirmed yet that they stopped using a primary.

    VMs that had registered in the store by the time of the claim must be
    waited for too.  The fencing is incomplete until the store has listed
    them, because until then a VM may be unknown here.
    """

    def __init__(self, vms: Iterable[core.VmName] = ()) -> None:
        self.vms = set(vms)
        self.silent = set(self.vms)
        self._store_listed = False

    @property
    def done(self) -> bool:
        """Return whether all VMs are known and have stopped."""
        return self._store_listed and not self.silent

    def listed(self, rows: Iterable[core.NodeRow]) -> bool:
        """Add the VMs that the store lists; return whether any is new."""
        new = {row.vm for row in rows if row.is_callable} - self.vms
        self.vms |= new
        self.silent |= new
        self._store_listed = True
        return bool(new)

    def stopped(self, vm: core.VmName) -> None:
        """Record that a VM has stopped using the primary."""
        self.silent.discard(vm)
