"""Which other VMs have this VM in their list of VMs.

A VM's lease is extended by grants of the VMs in its own list.  Another VM
may take it that a silent VM's lease expires only if that list has it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from chicoryusher import core

__all__ = ['LIST_EXPIRY_WAIT_S', 'LIST_VALID_S', 'VmListing']

# Seconds since its last confirmation for which a list of VMs serves for
# grants.  A longer outage of the whole store ends the use of primaries.
LIST_VALID_S = 60.0
# Seconds after a VM's registration until no VM uses an older list: as long
# as a list is valid, 4% for clocks that run at different speeds, and 0.1 s
# for timers that fire late.
LIST_EXPIRY_WAIT_S = LIST_VALID_S * 1.04 + 0.1


class VmListing:
    """The VMs that are known to list this VM.

    A VM that lists this VM goes on doing so until this VM's row has left or
    is marked, so what is known holds until this VM registers anew.  Times
    are those of the boot-time clock.
    """

    def __init__(self) -> None:
        self._listed_from: int | None = None
        self._registered_at = math.inf
        self._listers: set[core.VmName] = set()
        self._shown: dict[core.VmName, int] = {}

    def set_registration(self, listed_from: int | None, now: float) -> None:
        """Set the revision from which on a list has this VM.

        It is None while this VM is not registered.
        """
        if listed_from == self._listed_from:
            return
        self._listed_from = listed_from
        self._registered_at = math.inf if listed_from is None else now
        self._listers = {
            vm for vm, revision in self._shown.items() if self._has(revision)
        }

    def record_list(self, vm: core.VmName, revision: int) -> None:
        """Record the revision of the list that a VM has."""
        self._shown[vm] = max(revision, self._shown.get(vm, 0))
        if self._has(revision):
            self._listers.add(vm)

    def lowest_list(self, vms: Iterable[core.VmName]) -> int:
        """Return the lowest revision of the lists that VMs have shown."""
        return min((self._shown.get(vm, 0) for vm in vms), default=0)

    def record_rows(self, rows: Iterable[core.EntryVmRow]) -> None:
        """Record the VMs that have registered after this one.

        A VM has read the list of VMs with its own row before grants extend
        its lease.
        """
        for row in rows:
            is_serving = row.status is core.EntryVmStatus.SERVING
            if is_serving and not row.unreachable and self._has(row.revision):
                self._listers.add(row.vm)

    def _has(self, revision: int) -> bool:
        """Return whether a list of this revision has this VM."""
        return self._listed_from is not None and revision >= self._listed_from

    def listers(self) -> frozenset[core.VmName]:
        """Return the VMs that are known to list this VM."""
        return frozenset(self._listers)

    def listed_by_all_at(self) -> float:
        """Return when every VM lists this VM or has no valid list."""
        return self._registered_at + LIST_EXPIRY_WAIT_S
