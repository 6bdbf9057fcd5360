"""When large documents are sent to peers, so that they do not fill the link.

A document for many peers would otherwise hold up pings, work and new
connections for as long as the link needs for all copies.  The copies are
sent one after the other, at a share of the rate of the link.
"""

from __future__ import annotations

from chicoryusher import core

__all__ = ['BULK_LINK_SHARE', 'BulkQueue']

# Share of the rate of a VM's link that documents may use.
BULK_LINK_SHARE = 0.5


class BulkQueue:
    """Documents that wait to be sent, the newest one for each peer.

    ``bytes_per_s`` is the rate of the link.  Times are seconds of the
    runtime's clock.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s * BULK_LINK_SHARE
        self._waiting: dict[core.VmName, core.Message] = {}
        self._free_at = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, vm: core.VmName, message: core.Message) -> None:
        """Queue a document for a peer, in place of an older one."""
        self._waiting[vm] = message

    def pop_next(self, now: float) -> tuple[core.VmName, core.Message] | None:
        """Remove and return the next peer and its document, None if early."""
        if not self._waiting or now < self._free_at:
            return None
        vm = next(iter(self._waiting))
        return vm, self._waiting.pop(vm)

    def record_sent(self, size: int, now: float) -> None:
        """Record that a document of ``size`` bytes was sent."""
        self._free_at = now + size / self._bytes_per_s

    def delay(self, now: float) -> float:
        """Return the seconds until the next document may be sent."""
        return max(0.0, self._free_at - now)
