"""Which VMs a change of primary still waits for."""

from __future__ import annotations

from collections.abc import Iterable

from chicoryusher import core

__all__ = ['Fencing']


class Fencing:
    """VMs that have not said yet that they stopped using a primary.

    The store has to be asked for those that had registered by the time of
    the claim; until it has answered, nobody knows whether all are asked.
    """

    def __init__(self, vms: Iterable[core.VmName] = ()) -> None:
        self.vms = set(vms)
        self.silent = set(self.vms)
        self._listed = False

    @property
    def done(self) -> bool:
        """Tell whether every VM has stopped."""
        return self._listed and not self.silent

    def listed(self, rows: Iterable[core.NodeRow]) -> bool:
        """Take the store's list; tell whether there is someone new."""
        new = {one.vm for one in rows if one.is_callable} - self.vms
        self.vms |= new
        self.silent |= new
        self._listed = True
        return bool(new)

    def stopped(self, vm: core.VmName) -> None:
        """Note that a VM has stopped."""
        self.silent.discard(vm)
