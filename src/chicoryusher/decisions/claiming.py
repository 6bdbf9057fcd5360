"""A VM's claim to change a group's primary: the lead row it holds.

Times are seconds of the clock that runs on while a VM is suspended.
"""

from __future__ import annotations

from chicoryusher import core
from chicoryusher.decisions import authority

__all__ = ['CLAIM_LASTS', 'RENEW', 'TAKEOVER', 'LeadClaim']

# Seconds after which a closing row that its holder has not renewed is
# taken over by another VM.
TAKEOVER = 2.5
# Seconds since its last claim within which a holder may order a
# promotion.  An order that hangs is reset after 0.8 s, so it arrives
# before another VM's.
CLAIM_LASTS = 1.0
# Seconds after which a holder renews its claim.
RENEW = 0.7


class LeadClaim:
    """The rows that one change writes, and how long its claim holds.

    ``first`` is the revision of its first closing row, 0 before that is
    written; ``closed_at`` is when that was known to be written.
    """

    def __init__(
        self,
        vm: core.VmName,
        service: core.ServiceName,
        old: core.InstanceName,
        known: int,
    ) -> None:
        self._vm = vm
        self._service = service
        self._old = old
        self._known = known
        self._writing_at = 0.0
        self._claimed_at = 0.0
        self._renewing = False
        self.row: core.LeadRow | None = None
        self.first = 0
        self.closed_at = 0.0

    @property
    def revision(self) -> int:
        """Return the revision of the newest closing row, 0 without one."""
        return 0 if self.row is None else self.row.revision

    @property
    def expected(self) -> int:
        """Return the revision that the next write is conditional on."""
        return self.revision or self._known

    def closing(self, now_on: float) -> core.LeadRow:
        """Return the row that claims the group, or renews the claim."""
        self._writing_at = now_on
        self._renewing = True
        return self._row(core.LeadRowState.CLOSING, self._old)

    def opening(self, successor: core.InstanceName) -> core.LeadRow:
        """Return the row that ends the change."""
        return self._row(core.LeadRowState.OPEN, successor)

    def _row(
        self, state: core.LeadRowState, primary: core.InstanceName
    ) -> core.LeadRow:
        """Return a row to write; the store gives it its revision."""
        return core.LeadRow(self._service, 0, state, primary, self._vm)

    def written(self, row: core.LeadRow | None) -> bool:
        """Take the row as the store has it; tell whether it is ours.

        Without a row, the outcome of the write is unknown.
        """
        self._renewing = False
        if row is None or not self.is_ours(row):
            return False
        self.row = row
        self._claimed_at = self._writing_at
        return True

    def is_ours(self, row: core.LeadRow) -> bool:
        """Tell whether a row says that this VM changes the primary."""
        closing = row.state is core.LeadRowState.CLOSING
        return closing and row.holder == self._vm

    def begins(self, now_on: float) -> None:
        """Note the first closing row."""
        if not self.first:
            self.first = self.revision
            self.closed_at = now_on

    def renewal_due(self, now_on: float) -> bool:
        """Tell whether the claim should be renewed now."""
        return not self._renewing and now_on - self._claimed_at >= RENEW

    def overdue(self, now_on: float) -> bool:
        """Tell whether the claim is too old to order a promotion."""
        return now_on - self._claimed_at > CLAIM_LASTS

    def all_lapsed(self, now_on: float) -> bool:
        """Tell whether every authority of before the claim has lapsed."""
        return now_on - self.closed_at >= authority.LAPSE_WAIT
