"""How long a VM may use primaries: the VM's primary lease.

A VM that changes a group's primary first writes the change to the store.
It then waits until every VM has stopped using the old primary, or until
the leases of the VMs that did not respond have certainly expired.
A VM's lease begins when the request for its newest view of the
leader rows was sent, not when the answer arrived.

While no VM can reach the store, grants extend a lease that has not
expired.  A grant is the answer of a VM that could begin a change of
primary: it has the current leader rows and no change under way.  If that
VM begins a change afterwards, the change waits, as every change does,
until the lease extended by its grant has expired.
"""

from __future__ import annotations

__all__ = ['LEASE_DURATION_S', 'LEASE_EXPIRY_WAIT_S', 'PrimaryLease']

# Seconds that a lease lasts after a view of the leader rows, or a grant.
# When a primary and a VM fail at the same time, the primary is still
# replaced within the accepted outage of 5 s: this time passes, and
# detection and promotion take another 1 to 1.5 s.
LEASE_DURATION_S = 3.0
# Seconds that a change of primary waits for a VM that does not respond:
# the duration of a lease, 4% for clocks that run at different speeds,
# and 0.1 s for timers that fire late.
LEASE_EXPIRY_WAIT_S = LEASE_DURATION_S * 1.04 + 0.1


class PrimaryLease:
    """A lease that begins with the newest view of one kind of store rows.

    The view was read from the store by this VM, or by a peer that passed
    it on.  For rows other than the leader rows only the view's age and
    revision are used.
    """

    def __init__(self) -> None:
        self.valid_from = float('-inf')
        self.newest_revision = 0

    def note_revision(self, revision: int) -> None:
        """Record the revision of a row that this VM has received."""
        self.newest_revision = max(self.newest_revision, revision)

    def extend_from_store(self, asked_at: float) -> bool:
        """Record a read of the store that was sent at ``asked_at``.

        Return whether it is newer than the view so far, so that the
        lease is extended.
        """
        if asked_at <= self.valid_from:
            return False
        self.valid_from = asked_at
        return True

    def extend_from_peer(
        self, sent_at: float, age: float, revision: int
    ) -> bool:
        """Adopt a peer's view, received in reply to a request.

        ``sent_at`` is when the request was sent, ``age`` the age of the
        peer's view in seconds.  The view is adopted only if this VM has
        every row that the peer has.  Return whether it was newer.
        """
        if revision > self.newest_revision:
            return False
        return self.extend_from_store(sent_at - age)

    def extend_by_grants(self, sent_at: float, now: float) -> bool:
        """Extend the lease by grants that all VMs have sent.

        ``sent_at`` is when the oldest of the granted requests was sent.
        Grants cannot renew a lease that has expired; that takes a
        new view.  Return whether the lease was extended.
        """
        if now >= self.expires_at():
            return False
        return self.extend_from_store(sent_at)

    def age(self, now: float) -> float:
        """Return the age of the view in seconds."""
        return now - self.valid_from

    def expires_at(self) -> float:
        """Return the time at which the lease expires."""
        return self.valid_from + LEASE_DURATION_S
