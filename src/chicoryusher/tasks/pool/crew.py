"""The entry VMs of a deployment, as one of them knows them."""

from __future__ import annotations

from collections.abc import Mapping

from chicoryusher import core
from chicoryusher import decisions

__all__ = ['Crew']

# Seconds of silence after which a VM is marked as missing.
MISSING_AFTER = 6.0
# Seconds that a mark must stand before its VM needs no asking any more: one
# that reaches the store sees it and registers again, one that does not has
# no authority left.
MARK_SETTLES = 2.0 * decisions.LAPSE
# Seconds that a mark must stand before its VM has no vote: one that reaches
# the store has written its row again by then.
MARK_STANDS = 1.0
# Seconds between marks of one VM.
MARK_AGAIN = 3.0


class Crew:
    """Rows of other VMs, and when they were first seen as they are."""

    def __init__(self, own: core.VmName) -> None:
        self._own = own
        self._rows: dict[core.VmName, core.NodeRow] = {}
        self._since: dict[core.VmName, float] = {}
        self._marked_at: dict[core.VmName, float] = {}

    def take(self, rows: tuple[core.NodeRow, ...], now: float) -> None:
        """Take every row that the store has."""
        found = {one.vm: one for one in rows if one.vm != self._own}
        for vm, row in found.items():
            if self._rows.get(vm) != row:
                self._since[vm] = now
        self._rows = found

    def callable(self) -> tuple[core.NodeRow, ...]:
        """Return the VMs that are worth a call."""
        return tuple(one for one in self._rows.values() if one.is_callable)

    def concerned(self, now: float) -> tuple[core.VmName, ...]:
        """Return the VMs that may use a primary, or change one."""
        return tuple(
            vm
            for vm, row in self._rows.items()
            if row.life is not core.NodeLife.LEFT
            and not self._marked_for(row, MARK_SETTLES, now)
        )

    def voters(self, now: float) -> tuple[core.VmName, ...]:
        """Return the VMs of which most must miss a primary.

        Not only those that are heard: a VM that is alone in a partition
        hears nobody, and may not replace what the others use.
        """
        return tuple(
            vm
            for vm, row in self._rows.items()
            if row.life is not core.NodeLife.LEFT
            and not self._marked_for(row, MARK_STANDS, now)
        )

    def _marked_for(
        self, row: core.NodeRow, seconds: float, now: float
    ) -> bool:
        return row.missing and now - self._since[row.vm] >= seconds

    def silent(
        self, heard: Mapping[core.VmName, float], now: float
    ) -> tuple[core.NodeRow, ...]:
        """Return the VMs to be marked as missing now."""
        found = []
        for row in self.callable():
            known = max(self._since[row.vm], heard.get(row.vm, 0.0))
            marked = self._marked_at.get(row.vm, float('-inf'))
            if now - known < MISSING_AFTER or now - marked < MARK_AGAIN:
                continue
            self._marked_at[row.vm] = now
            found.append(row)
        return tuple(found)
