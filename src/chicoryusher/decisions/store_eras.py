"""What a VM knows of the eras of the store, and may say because of it.

The store begins a new era each time that it continues from an older copy.
"""

from __future__ import annotations

from collections.abc import Iterable

from chicoryusher import core

__all__ = ['StoreEras']


class StoreEras:
    """The newest era that this VM knows of, and how it knows it.

    ``era`` is 0 before the first.  ``restored_at`` is when this VM learned
    of the era, minus infinity if it has known no earlier one.
    ``knew_earlier_era`` is whether this VM had read the leader rows in an
    earlier era than the newest, after its own start: such rows have what the
    earlier process of this VM wrote.  Times are those of the boot-time clock.
    """

    def __init__(self, booted_at: float) -> None:
        self.era = core.StoreEra(0)
        self.restored_at = float('-inf')
        self.knew_earlier_era = False
        self._booted_at = booted_at
        self._listed_era = core.StoreEra(0)
        self._has_read_leaders = False

    def enter(self, era: core.StoreEra, now: float) -> bool:
        """Enter a newer era; return whether the store was restored.

        The first era that a VM learns of is no restore.
        """
        is_first = not self.era
        self.era = era
        self.knew_earlier_era = self._has_read_leaders
        if not is_first:
            self.restored_at = now
        return not is_first

    def record_list(self, era: core.StoreEra) -> None:
        """Record the era of the list of VMs by which this VM is registered."""
        self._listed_era = era

    @property
    def is_listed(self) -> bool:
        """Return whether this VM has the list of VMs of the newest era."""
        return self._listed_era == self.era

    def record_leaders_view(self, valid_from: float) -> None:
        """Record a view of the leader rows, and when it was read."""
        if valid_from >= self._booted_at:
            self._has_read_leaders = True

    def confirms(
        self,
        rows: Iterable[core.LeaderRow],
        unconfirmed: Iterable[core.ServiceName],
        read_era: core.StoreEra,
    ) -> bool:
        """Return whether all leader rows are of the newest era.

        ``read_era`` is the newest era in which this VM has read the leader
        rows; without any row, it must be the newest that is known.
        """
        if tuple(unconfirmed):
            return False
        revisions = [row.revision for row in rows]
        if not revisions and self.era > core.FIRST_ERA:
            return read_era == self.era
        return all(core.era_of(revision) >= self.era for revision in revisions)

    def allows_grants(
        self,
        rows: Iterable[core.LeaderRow],
        unconfirmed: Iterable[core.ServiceName],
        read_era: core.StoreEra,
    ) -> bool:
        """Return whether this VM's leader rows allow it to grant leases.

        While a row may be lost, a VM that has started since can't know what
        its earlier process did, and a group that is closing has no primary
        to use.  The arguments are those of ``confirms``.
        """
        rows = tuple(rows)
        if self.confirms(rows, unconfirmed, read_era):
            return True
        is_open = all(row.state is core.LeaderRowState.OPEN for row in rows)
        return self.knew_earlier_era and is_open
