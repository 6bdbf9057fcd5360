"""How long a VM may use primaries: the VM's authority.

A VM that changes a group's primary first writes the change to the store.
It then waits until every VM has stopped using the old primary, or until
the authority of the VMs that did not respond has certainly expired.
A VM's authority begins when the request for its newest view of the
leader rows was sent, not when the answer arrived.

While no VM can reach the store, grants extend an authority that has not
expired.  A grant is the answer of a VM that could begin a change of
primary: it has the current leader rows and no change under way.  If that
VM begins a change afterwards, the change waits, as every change does,
until the authority extended by its grant has expired.
"""

from __future__ import annotations

__all__ = ['LAPSE', 'LAPSE_WAIT', 'Views']

# Seconds of authority that a view of the leader rows, or a grant, gives.
# When a primary and a VM fail at the same time, the primary is still
# replaced within the accepted outage of 5 s: this time passes, and
# detection and promotion take another 1 to 1.5 s.
LAPSE = 3.0
# Seconds that a change of primary waits for a VM that does not respond:
# the duration of authority, 4% for clocks that run at different speeds,
# and 0.1 s for timers that fire late.
LAPSE_WAIT = LAPSE * 1.04 + 0.1


class Views:
    """Time and revision of the newest view of one kind of store rows.

    The view was read from the store by this VM, or by a peer that passed
    it on.
    """

    def __init__(self) -> None:
        self.seen_at = float('-inf')
        self.revision = 0

    def know(self, revision: int) -> None:
        """Record the revision of a row that this VM has received."""
        self.revision = max(self.revision, revision)

    def own(self, asked_at: float) -> bool:
        """Record a read of the store that was sent at ``asked_at``.

        Return whether it is newer than the view so far, so that the
        authority is extended.
        """
        if asked_at <= self.seen_at:
            return False
        self.seen_at = asked_at
        return True

    def passed_on(self, sent_at: float, age: float, revision: int) -> bool:
        """Adopt a peer's view, received in reply to a request.

        ``sent_at`` is when the request was sent, ``age`` the age of the
        peer's view in seconds.  The view is adopted only if this VM has
        every row that the peer has.  Return whether it was newer.
        """
        if revision > self.revision:
            return False
        return self.own(sent_at - age)

    def granted(self, sent_at: float, now: float) -> bool:
        """Extend the authority by grants that all VMs have sent.

        ``sent_at`` is when the oldest of the granted requests was sent.
        Grants cannot renew an authority that has expired; that takes a
        new view.  Return whether the authority was extended.
        """
        if now >= self.until():
            return False
        return self.own(sent_at)

    def age(self, now: float) -> float:
        """Return the age of the view in seconds."""
        return now - self.seen_at

    def until(self) -> float:
        """Return the time at which the authority expires."""
        return self.seen_at + LAPSE
