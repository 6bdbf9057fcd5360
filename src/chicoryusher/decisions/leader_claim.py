"""A VM's claim to change a group's primary: the leader row it has written.

Times are seconds of the clock that also counts the time for which the VM
is suspended.
"""

from __future__ import annotations

from chicoryusher import core
from chicoryusher.decisions import primary_lease

__all__ = [
    'CLAIM_VALID_S',
    'CLAIM_RENEWAL_S',
    'CLAIM_TAKEOVER_S',
    'LeaderClaim',
]

# Seconds after which another VM takes over a closing row that its
# coordinator has not renewed.
CLAIM_TAKEOVER_S = 2.5
# Seconds since its last claim within which a coordinator may order a
# promotion.  An order without an answer is reset after 0.8 s, so it
# arrives before that of a VM that takes the claim over.
CLAIM_VALID_S = 1.0
# Seconds after which a coordinator renews its claim.
CLAIM_RENEWAL_S = 0.7


class LeaderClaim:
    """The leader rows that one change of primary writes.

    ``first_revision`` is the revision of the change's first closing row, 0
    before that row is written; ``closed_at`` is when this VM learned that the
    row was written.
    """

    def __init__(
        self,
        vm: core.VmName,
        service: core.ServiceName,
        old: core.InstanceName,
        prior_revision: int,
    ) -> None:
        self._vm = vm
        self._service = service
        self._old_primary = old
        self._prior_revision = prior_revision
        self._write_began_at = 0.0
        self._claimed_at = 0.0
        self._write_pending = False
        self.row: core.LeaderRow | None = None
        self.first_revision = 0
        self.closed_at = 0.0

    @property
    def revision(self) -> int:
        """Return the revision of the newest closing row, 0 without one."""
        return 0 if self.row is None else self.row.revision

    @property
    def expected_revision(self) -> int:
        """Return the revision that the next write is conditional on."""
        return self.revision or self._prior_revision

    def closing_row(self, boottime: float) -> core.LeaderRow:
        """Return the row to write to claim the group or renew the claim.

        The claim's time begins before the write is sent.
        """
        self._write_began_at = boottime
        self._write_pending = True
        return self._row(core.LeaderRowState.CLOSING, self._old_primary)

    def opening_row(self, successor: core.InstanceName) -> core.LeaderRow:
        """Return the row to write to end the change."""
        return self._row(core.LeaderRowState.OPEN, successor)

    def _row(
        self, state: core.LeaderRowState, primary: core.InstanceName
    ) -> core.LeaderRow:
        """Return a row to write; the store gives it its revision."""
        return core.LeaderRow(self._service, 0, state, primary, self._vm)

    def record_write(self, row: core.LeaderRow | None) -> bool:
        """Record the row that the store has after a write.

        None means that the outcome of the write is unknown.  Return
        whether the row is this VM's claim.
        """
        self._write_pending = False
        if row is None or not self.is_ours(row):
            return False
        self.row = row
        self._claimed_at = self._write_began_at
        return True

    def is_ours(self, row: core.LeaderRow) -> bool:
        """Return whether a row says that this VM changes the primary."""
        closing = row.state is core.LeaderRowState.CLOSING
        return closing and row.coordinator == self._vm

    def record_first_closing(self, boottime: float) -> None:
        """Record that the first closing row is written."""
        if not self.first_revision:
            self.first_revision = self.revision
            self.closed_at = boottime

    def renewal_due(self, boottime: float) -> bool:
        """Return whether the claim should be renewed now."""
        return (
            not self._write_pending
            and boottime - self._claimed_at >= CLAIM_RENEWAL_S
        )

    def is_expired(self, boottime: float) -> bool:
        """Return whether the claim is too old to order a promotion."""
        return boottime - self._claimed_at > CLAIM_VALID_S

    def may_be_taken_over(self, boottime: float) -> bool:
        """Return whether another VM may have taken the claim over."""
        return boottime - self._claimed_at >= CLAIM_TAKEOVER_S

    def earlier_leases_expired(
        self, boottime: float, begins_at: float = 0.0
    ) -> bool:
        """Return whether all leases from before the claim have expired."""
        return self.lease_wait(boottime, begins_at) <= 0.0

    def lease_wait(self, boottime: float, begins_at: float = 0.0) -> float:
        """Return the seconds until all leases from before have expired.

        ``begins_at`` is the earliest time at which they are extended no more.
        """
        begins_at = max(self.closed_at, begins_at)
        return begins_at + primary_lease.LEASE_EXPIRY_WAIT_S - boottime
