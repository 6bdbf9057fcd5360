"""Which connection owners don't respond to this VM.

A VM that was cut off or is suspended counts as running for some seconds
more.  Work that is sent to it meanwhile is lost time at best; the outcome of
a write is unknown.  So an owner from which nothing is heard while work waits
there is pinged, and gets no new work while it does not answer.

Times are seconds of the runtime's clock.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from chicoryusher import core

__all__ = ['OwnerSilence']

# Seconds without a word from an owner with work, after which it is pinged:
# usual statements have been answered by then.
PING_AFTER_S = 0.1
# Seconds without an answer to a ping from which an owner is silent: a round
# trip between regions, and a pause of its event loop.
SILENT_AFTER_S = 0.15
# The same for an owner that was not heard before: the stream to it may have
# to be opened first.
NEW_SILENT_AFTER_S = 0.6
# Seconds between pings that are not answered.
PING_INTERVAL_S = 0.2
# Seconds after which a silent owner is forgotten; the list of live VMs has
# it no more by then.
FORGET_AFTER_S = 8.0


@dataclasses.dataclass(slots=True)
class _Owner:
    """What is known of one owner.

    ``asked_at`` is when the first ping since its last word was sent, None
    without one.
    """

    heard_at: float
    asked_at: float | None = None
    pinged_at: float = float('-inf')
    was_heard: bool = False
    is_silent: bool = False


class OwnerSilence:
    """The connection owners that this VM uses, and which are silent."""

    def __init__(self) -> None:
        self._owners: dict[core.VmName, _Owner] = {}

    @property
    def silent(self) -> frozenset[core.VmName]:
        """Return the owners that don't respond."""
        return frozenset(
            vm for vm, owner in self._owners.items() if owner.is_silent
        )

    def note_use(self, vm: core.VmName, now: float) -> None:
        """Record that work is sent to an owner."""
        if vm not in self._owners:
            self._owners[vm] = _Owner(now)

    def record_heard(self, vm: core.VmName, now: float) -> None:
        """Record a message of an owner."""
        owner = self._owners.get(vm)
        if owner is None:
            return
        owner.heard_at = now
        owner.asked_at = None
        owner.is_silent = False
        owner.was_heard = True

    def pings_due(
        self, waiting: Mapping[core.VmName, float], now: float
    ) -> list[core.VmName]:
        """Return the owners to ping now.

        ``waiting`` has the owners with work, and since when it waits.
        """
        due = [
            vm
            for vm, owner in self._owners.items()
            if _is_due(owner, waiting.get(vm), now)
        ]
        for vm in due:
            owner = self._owners[vm]
            owner.pinged_at = now
            if owner.asked_at is None:
                owner.asked_at = now
        return due

    def update(self, now: float) -> None:
        """Find the owners that have become silent; forget old ones."""
        for vm, owner in tuple(self._owners.items()):
            if _is_forgotten(owner, now):
                del self._owners[vm]
            else:
                owner.is_silent = owner.is_silent or _is_silent(owner, now)


def _is_due(owner: _Owner, waits_since: float | None, now: float) -> bool:
    if owner.asked_at is not None or owner.is_silent:
        return now - owner.pinged_at >= PING_INTERVAL_S
    if waits_since is None:
        return False
    return now - max(owner.heard_at, waits_since) >= PING_AFTER_S


def _is_forgotten(owner: _Owner, now: float) -> bool:
    if owner.asked_at is None or not owner.is_silent:
        return False
    return now - owner.asked_at >= FORGET_AFTER_S


def _is_silent(owner: _Owner, now: float) -> bool:
    if owner.asked_at is None:
        return False
    limit = SILENT_AFTER_S if owner.was_heard else NEW_SILENT_AFTER_S
    return now - owner.asked_at >= limit
