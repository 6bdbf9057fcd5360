"""This VM's own row in the store, by which it is registered."""

from __future__ import annotations

import dataclasses

from chicoryusher import core

__all__ = ['OwnRow']


class OwnRow:
    """The row that this VM has written, and the row that is stored.

    ``is_registered`` is whether changes of primary wait for this VM;
    ``has_left`` is set once it uses no primary any more.
    """

    def __init__(self, row: core.EntryVmRow) -> None:
        self.row = row
        self.is_registered = False
        self.has_left = False
        self._stored: core.EntryVmRow | None = None

    def check(
        self, rows: tuple[core.EntryVmRow, ...]
    ) -> core.WriteEntryVmRow | None:
        """Return the write that is needed if the stored row differs.

        The row of an earlier incarnation also counts as a registration if
        that incarnation was serving: a change of primary waits for the VM
        that responds at the row's address.
        """
        stored = next((row for row in rows if row.vm == self.row.vm), None)
        self._stored = stored
        self.is_registered = stored is not None and self._registers(stored)
        self.row = dataclasses.replace(
            self.row, listed_from=self.listed_from or 0
        )
        if stored == self.row or self.has_left:
            return None
        if stored is None or self._is_of_this_process(stored):
            return core.WriteEntryVmRow(self.row)
        # What the row takes over holds for the row that was read only.
        return core.WriteEntryVmRow(self.row, stored.revision)

    @property
    def listed_from(self) -> int | None:
        """Revision from which on lists of VMs have this VM.

        It is None while this VM is not registered.
        """
        if self._stored is None or not self.is_registered:
            return None
        return self._stored.listed_from or self._stored.revision

    @property
    def is_seen(self) -> bool:
        """Return whether the list of VMs has a row of this process."""
        stored = self._stored
        return (
            stored is not None
            and self._is_of_this_process(stored)
            and not stored.unreachable
        )

    def _is_of_this_process(self, stored: core.EntryVmRow) -> bool:
        return stored.incarnation == self.row.incarnation

    def _registers(self, stored: core.EntryVmRow) -> bool:
        """Return whether the stored row makes this VM count as registered."""
        if stored == self.row:
            return True
        serving = (
            stored.status is core.EntryVmStatus.SERVING
            and not stored.unreachable
        )
        address = (self.row.host, self.row.port)
        return serving and (stored.host, stored.port) == address

    def start_leaving(self) -> core.WriteEntryVmRow:
        """Return the write that registers this VM as leaving."""
        status = core.EntryVmStatus.LEAVING
        self.row = dataclasses.replace(self.row, status=status)
        return core.WriteEntryVmRow(self.row)

    def leave(self) -> core.WriteEntryVmRow | None:
        """Return the write that registers this VM as having left.

        The row is written only over the row that registers this VM as
        leaving.  The next incarnation of this VM gets no lease from a
        leaving row, so a delayed write can't replace a row that gives it a
        lease.
        """
        self.has_left = True
        self.is_registered = False
        stored = self._stored
        if stored is None or stored != self.row:
            return None
        left = dataclasses.replace(self.row, status=core.EntryVmStatus.LEFT)
        return core.WriteEntryVmRow(left, stored.revision)
