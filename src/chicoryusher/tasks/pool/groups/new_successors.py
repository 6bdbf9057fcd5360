"""Instances that registered too recently to be promoted at once.

A VM that cannot be reached may use evidence from the instances that it knows
of.  An instance that it does not know of must not lead while it does.
"""

from __future__ import annotations

from collections.abc import Iterable

from chicoryusher import core
from chicoryusher import decisions

__all__ = ['NewSuccessors']


class NewSuccessors:
    """Which candidates one change of primary must not promote yet.

    ``listings`` says which VMs list which instances, None if no VM uses
    evidence.
    """

    def __init__(self, listings: core.InstanceListings | None = None) -> None:
        self._listings = listings
        self._evidence_users: frozenset[core.VmName] | None = frozenset()
        self._wait_logged = False

    def update(self, listings: core.InstanceListings) -> None:
        """Adopt which VMs list which instances now."""
        self._listings = listings

    def start_round(
        self, evidence_users: frozenset[core.VmName] | None
    ) -> None:
        """Note which VMs may use evidence from now on, None if all may.

        The logs that the instances report from now on have every commit that
        was acknowledged by evidence, if no VM uses any.
        """
        self._evidence_users = evidence_users

    def avoided(
        self, names: Iterable[core.InstanceName]
    ) -> frozenset[core.InstanceName]:
        """Return the candidates that must not be promoted in this round."""
        return frozenset(name for name in names if self.must_wait_for(name))

    def must_wait_for(self, name: core.InstanceName) -> bool:
        """Return whether a candidate must not be promoted in this round."""
        if self._listings is None:
            return False
        if self._evidence_users is None:
            return name not in self._listings.in_every_list
        return not decisions.is_in_lists(
            name, self._evidence_users, self._listings
        )

    def log_wait(self) -> bool:
        """Return whether the wait is to be logged: the first time only."""
        is_first, self._wait_logged = not self._wait_logged, True
        return is_first
