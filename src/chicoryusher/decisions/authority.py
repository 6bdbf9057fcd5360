"""Until when a VM may use primaries.

A change of primary is written to the store before it begins, and waits
until every VM has stopped using the old one or its authority must have
lapsed.  A VM's authority counts from the moment at which it asked for
the newest view of the lead rows that it has.

While nobody reaches the store, authority that has not lapsed is carried on
by grants: every VM that could begin a change answers that it knows the
lead rows and has none under way.  A change that it begins later waits, as
any does, until what its grant allowed has lapsed.
"""

from __future__ import annotations

__all__ = ['LAPSE', 'LAPSE_WAIT', 'Views']

# Seconds that a view of the lead rows, or a grant, allows to use primaries.
# A primary and a VM that fall silent at once are then replaced within the
# accepted gap of 5 s: noticing and promoting take 1 to 1.5 s.
LAPSE = 3.0
# Seconds that a change of primary waits for a silent VM: the lapse, and
# 4% for clocks that run at different speeds, and timers that are late.
LAPSE_WAIT = LAPSE * 1.04 + 0.1


class Views:
    """The newest view of the lead rows, own or passed on."""

    def __init__(self) -> None:
        self.seen_at = float('-inf')
        self.revision = 0

    def know(self, revision: int) -> None:
        """Note the newest revision of a lead row that is known."""
        self.revision = max(self.revision, revision)

    def own(self, asked_at: float) -> bool:
        """Take the store's answer; tell whether authority grew."""
        if asked_at <= self.seen_at:
            return False
        self.seen_at = asked_at
        return True

    def passed_on(self, sent_at: float, age: float, revision: int) -> bool:
        """Take a peer's answer to a question sent at ``sent_at``.

        It counts only if every row that the peer has is known here.
        """
        if revision > self.revision:
            return False
        return self.own(sent_at - age)

    def granted(self, sent_at: float, now: float) -> bool:
        """Take grants of all VMs, the oldest asked for at ``sent_at``.

        They carry authority on; what has lapsed needs a view again.
        """
        if now >= self.until():
            return False
        return self.own(sent_at)

    def age(self, now: float) -> float:
        """Return the age of the view in seconds."""
        return now - self.seen_at

    def until(self) -> float:
        """Return until when primaries may be used."""
        return self.seen_at + LAPSE
