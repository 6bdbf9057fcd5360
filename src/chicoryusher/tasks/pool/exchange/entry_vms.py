"""Entry VMs of the deployment, as registered in the store."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping

from chicoryusher import core
from chicoryusher import decisions

__all__ = ['EntryVms']

# Seconds without a response after which a VM is marked as missing.
MISSING_AFTER_S = 6.0
# Seconds after the mark until a missing VM is assumed to have no lease.
# If it reaches the store, it sees the mark and registers again; if it does
# not, its lease has expired by then.
MARK_ENDS_LEASE_S = 2.0 * decisions.LEASE_DURATION_S
# Seconds after the mark until a missing VM has no vote.  If it reaches the
# store, it has written its row again by then.
MARK_ENDS_VOTE_S = 1.0
# Extra seconds for which each VM waits for the one before it to mark a row.
MARK_TURN_S = 1.0
# Minimum seconds between two marks of the same VM.
MARK_INTERVAL_S = 3.0


class EntryVms:
    """Rows of the other VMs, and since when each row is unchanged."""

    def __init__(self, own: core.EntryVmZone) -> None:
        self._own = own
        self._rows: dict[core.VmName, core.EntryVmRow] = {}
        self._contactable: tuple[core.EntryVmRow, ...] = ()
        self._places: tuple[core.EntryVmZone, ...] = ()
        self._unchanged_since: dict[core.VmName, float] = {}
        self._marked_at: dict[core.VmName, float] = {}

    def replace_rows(
        self, rows: tuple[core.EntryVmRow, ...], now: float
    ) -> None:
        """Replace all rows by those of the store."""
        others = {node.vm: node for node in rows if node.vm != self._own.vm}
        for vm, row in others.items():
            if self._rows.get(vm) != row:
                self._unchanged_since[vm] = now
        self._rows = others
        self._contactable = tuple(
            row for row in others.values() if row.may_be_contacted
        )
        self._places = tuple(
            core.EntryVmZone(row.vm, row.zone) for row in self._contactable
        )

    def contactable(self) -> tuple[core.EntryVmRow, ...]:
        """Return the VMs that have not left and are not marked as missing."""
        return self._contactable

    def addresses(self) -> tuple[core.PeerAddress, ...]:
        """Return the addresses of the contactable VMs."""
        return tuple(
            core.PeerAddress(row.vm, row.host, row.port)
            for row in self._contactable
        )

    def places(self) -> tuple[core.EntryVmZone, ...]:
        """Return the contactable VMs with their zones."""
        return self._places

    def zone_of(self, vm: core.VmName) -> core.ZoneName | None:
        """Return the zone of another VM, None if it is not registered."""
        row = self._rows.get(vm)
        return None if row is None else row.zone

    def possible_lease_holders(self, now: float) -> tuple[core.VmName, ...]:
        """Return the VMs that may still use or change a primary."""
        return tuple(vm for vm in self._rows if self.may_hold_lease(vm, now))

    def may_hold_lease(self, vm: core.VmName, now: float) -> bool:
        """Return whether another VM may still use or change a primary."""
        row = self._rows.get(vm)
        return (
            row is not None
            and row.status is not core.EntryVmStatus.LEFT
            and not self._is_marked_for(row, MARK_ENDS_LEASE_S, now)
        )

    def holders_by_zone(
        self, now: float
    ) -> dict[core.ZoneName, list[core.VmName]]:
        """Return the possible lease holders of each zone, and this VM."""
        zones = {self._own.zone: [self._own.vm]}
        for vm in self.possible_lease_holders(now):
            zones.setdefault(self._rows[vm].zone, []).append(vm)
        return zones

    def voters(self, now: float) -> tuple[core.EntryVmZone, ...]:
        """Return the VMs that judge whether a primary can be reached.

        VMs that do not respond are included: a VM that is isolated by a
        network partition gets no responses, and must not replace a primary
        that the other VMs use.
        """
        return tuple(
            core.EntryVmZone(row.vm, row.zone)
            for row in self._rows.values()
            if row.status is not core.EntryVmStatus.LEFT
            and not self._is_marked_for(row, MARK_ENDS_VOTE_S, now)
        )

    def _is_marked_for(
        self, row: core.EntryVmRow, seconds: float, now: float
    ) -> bool:
        return (
            row.unreachable and now - self._unchanged_since[row.vm] >= seconds
        )

    def newly_missing(
        self,
        last_live: Mapping[core.VmName, float],
        turn_of: Callable[[core.EntryVmRow], int | None],
        now: float,
    ) -> tuple[core.EntryVmRow, ...]:
        """Return the rows of the VMs to mark as missing now.

        ``last_live`` is when each VM was last known to be live.  ``turn_of``
        returns this VM's place among those that mark a row, None if it does
        not mark it.
        """
        rows_to_mark = []
        for row in self.contactable():
            unresponsive_since = max(
                self._unchanged_since[row.vm], last_live.get(row.vm, 0.0)
            )
            marked_at = self._marked_at.get(row.vm, float('-inf'))
            if (
                now - unresponsive_since < MISSING_AFTER_S
                or now - marked_at < MARK_INTERVAL_S
            ):
                continue
            turn = turn_of(row)
            missing_since = unresponsive_since + MISSING_AFTER_S
            if turn is None or now - missing_since < turn * MARK_TURN_S:
                continue
            self._marked_at[row.vm] = now
            rows_to_mark.append(row)
        return tuple(rows_to_mark)
