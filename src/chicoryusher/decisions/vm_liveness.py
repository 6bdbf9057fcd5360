"""Which VMs are live, by their own responses and by reports of relays."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable

import xxhash

from chicoryusher import core

__all__ = ['PEER_TIMEOUT_S', 'SUSPECT_AFTER_S', 'VmLiveness', 'digest_of_vms']

# Seconds without a response after which a peer no longer counts as live.
PEER_TIMEOUT_S = 2.2
# Seconds without a response after which a VM is replaced as a relay; two
# pings across regions.
SUSPECT_AFTER_S = 1.2
# Seconds after which a suspect that has been replaced is tried again.
SUSPECT_RETRY_S = 5.0
# Seconds for which a relay's last report counts.  It outlasts the relay, so
# that no VM is taken for dead while another relay is chosen.
REPORT_LIFETIME_S = 4.5
_NEVER = float('-inf')


def digest_of_vms(vms: Iterable[core.VmName]) -> core.SetDigest:
    """Return a number above 0 that identifies a set of VMs."""
    digest = xxhash.xxh3_64_intdigest('\0'.join(sorted(vms)).encode())
    return core.SetDigest(digest or 1)


class VmLiveness:
    """Responses to pings, and the live VMs that relays report.

    Times are seconds of the runtime's clock.
    """

    def __init__(self) -> None:
        self._pinged_since: dict[core.VmName, float] = {}
        self._responded_at: dict[core.VmName, float] = {}
        self._suspected_at: dict[core.VmName, float] = {}
        self._reports: dict[core.VmName, frozenset[core.VmName]] = {}
        self._digests: dict[core.VmName, core.SetDigest] = {}
        self._reported_at: dict[core.VmName, float] = {}

    def set_pinged(self, vms: Collection[core.VmName], now: float) -> None:
        """Record which VMs are pinged from now on."""
        for vm in tuple(self._pinged_since):
            if vm not in vms:
                del self._pinged_since[vm]
        for vm in vms:
            self._pinged_since.setdefault(vm, now)

    def record_response(self, vm: core.VmName, now: float) -> None:
        """Record that a VM has responded, or has sent a ping itself."""
        self._responded_at[vm] = now
        self._suspected_at.pop(vm, None)

    def record_report(
        self,
        vm: core.VmName,
        digest: core.SetDigest,
        live: Iterable[core.VmName] | None,
        now: float,
    ) -> None:
        """Record the live VMs that a relay reports.

        ``live`` is None if they are those of its last report.
        """
        if live is not None:
            self._reports[vm] = frozenset(live)
            self._digests[vm] = digest
        if digest and self._digests.get(vm) == digest:
            self._reported_at[vm] = now

    def last_digest(self, vm: core.VmName) -> core.SetDigest:
        """Return the digest of a relay's last report, 0 without one."""
        return self._digests.get(vm, core.SetDigest(0))

    def reported(self, vm: core.VmName) -> frozenset[core.VmName]:
        """Return the VMs in a relay's last report."""
        return self._reports.get(vm, frozenset())

    def responding(self, now: float) -> frozenset[core.VmName]:
        """Return the VMs that have responded to this VM."""
        return frozenset(
            vm
            for vm, responded_at in self._responded_at.items()
            if now - responded_at < PEER_TIMEOUT_S
        )

    def live(self, now: float) -> frozenset[core.VmName]:
        """Return the VMs that respond to this VM or to a relay.

        What this VM finds out itself goes before a report.
        """
        reported = {
            vm
            for reporter, reported_at in self._reported_at.items()
            if now - reported_at < REPORT_LIFETIME_S
            for vm in self._reports[reporter]
        }
        return self.responding(now) | (reported - self._silent(now))

    def _silent(self, now: float) -> set[core.VmName]:
        return {
            vm
            for vm, pinged_since in self._pinged_since.items()
            if self._silence(vm, pinged_since, now) >= PEER_TIMEOUT_S
        }

    def _silence(
        self, vm: core.VmName, pinged_since: float, now: float
    ) -> float:
        return now - max(pinged_since, self._responded_at.get(vm, _NEVER))

    def suspects(self, now: float) -> frozenset[core.VmName]:
        """Return the VMs that are not to be chosen as relays."""
        for vm, pinged_since in self._pinged_since.items():
            if self._silence(vm, pinged_since, now) >= SUSPECT_AFTER_S:
                self._suspected_at.setdefault(vm, now)
        for vm, suspected_at in tuple(self._suspected_at.items()):
            if (
                vm not in self._pinged_since
                and now - suspected_at >= SUSPECT_RETRY_S
            ):
                del self._suspected_at[vm]
        return frozenset(self._suspected_at)
