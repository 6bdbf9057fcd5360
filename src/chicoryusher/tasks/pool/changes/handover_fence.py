"""Fences of changes of primary: no VM uses the old one any more."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.changes import handover_claim

__all__ = ['FenceTask']

# Interval at which VMs that have not answered are fenced again.
FENCE_RETRY_S = 0.4
# VMs that a fence asks about; a whole fleet would make it too long.
MAX_ASKED_ABOUT = 64
# The shortest such interval; the last one ends when the earlier leases do.
MIN_FENCE_RETRY_S = 0.01
# Grace period for open transactions in a planned change, in which the old
# primary still serves.
PLANNED_GRACE_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class _RetryFencing(core.Message):
    """Timer: fence VMs again that have not confirmed yet."""

    revision: int


class FenceTask(handover_claim.ClaimTask):
    """Fence the old primary, and know who may still answer for it."""

    # -- fence ----------------------------------------------------------

    def fence_old_primary(self) -> None:
        """Ask every VM to stop using the old primary."""
        assert self._request is not None
        self._fencing = decisions.FencingProgress(
            (*self._request.vms_to_fence, self.vm),
            self._request.listers | {self.vm},
            self._request.listed_by_all_at,
        )
        self._wait_logged = False
        self.send(
            names.row_client(self.vm), core.ReadEntryVmRows(self.task_name)
        )
        self._send_fences()
        self._retry_fencing_later(_RetryFencing(self._claim.first_revision))

    def _retry_fencing_later(self, message: _RetryFencing) -> None:
        """Fence again after a pause, or when the earlier leases expire."""
        assert self._request is not None
        boot_now = self._clock.boottime()
        wait = self._lease_wait(boot_now)
        if self._fencing.done:
            wait = self._request.not_before - boot_now
        self.after(max(MIN_FENCE_RETRY_S, min(FENCE_RETRY_S, wait)), message)

    def _send_fences(self) -> None:
        """Send a fence to each VM that has not confirmed one yet."""
        request, row = self._request, self._claim.row
        assert request is not None and row is not None
        grace_s = PLANNED_GRACE_S if request.planned else 0.0
        unlisted = sorted(self._fencing.unlisted())[:MAX_ASKED_ABOUT]
        fence = core.FencePrimary(self.vm, row, grace_s, tuple(unlisted))
        # Those that have confirmed may know of the others.
        vms = self._fencing.vms if unlisted else self._fencing.pending
        for vm in sorted(vms):
            if vm == self.vm:
                self.send(names.primary_manager(vm), fence)
            else:
                self.send(names.peers(self.vm), core.SendToPeer(vm, fence))

    @runtime.handles(core.EntryVmRowsRead)
    def _on_nodes(self, message: core.EntryVmRowsRead) -> None:
        """Also fence VMs that are not in the request but in the store.

        They had registered by the time of the claim.
        """
        if self.state is not core.HandoverState.FENCING:
            return
        for row in message.rows:
            self._check_era(core.era_of(row.revision))
        if self.state is not core.HandoverState.FENCING:
            return
        has_new_vms = self._fencing.add_registered(message.rows)
        if self._is_fenced():
            self._fire('fenced')
        elif has_new_vms:
            self._send_fences()

    @runtime.handles(core.PrimaryFenced)
    def _on_fenced(self, message: core.PrimaryFenced) -> None:
        if message.revision < self._claim.first_revision:
            return
        self._fencing.record_stopped(
            message.vm, message.listed_by, message.closed_for
        )
        if self._is_fenced():
            self._fire('fenced')

    def _is_fenced(self) -> bool:
        """Return whether no VM may use the old primary any more.

        That is so once all have confirmed, or every lease from before the
        claim has expired.  ``not_before`` covers the VMs that are unknown
        because the store has lost their rows.
        """
        assert self._request is not None
        boot_now = self._clock.boottime()
        if boot_now < self._request.not_before:
            return False
        return self._fencing.done or self._lease_wait(boot_now) <= 0.0

    def _lease_wait(self, boot_now: float) -> float:
        """Return the seconds until no VM that is waited for has a lease."""
        begins_at = self._fencing.wait_begins_at(self._claim.closed_at)
        return self._claim.lease_wait(boot_now, begins_at)

    def _log_wait(self) -> None:
        """Log once that the leases of silent VMs may be extended further."""
        unlisted = self._fencing.unlisted()
        if unlisted and not self._wait_logged:
            self._wait_logged = True
            self.log.emit(
                core.LogEvent.HANDOVER_WAITS,
                service=self.service,
                vms=sorted(unlisted),
                seconds=round(self._lease_wait(self._clock.boottime()), 1),
            )

    @runtime.handles(_RetryFencing)
    def _on_retry_fencing(self, message: _RetryFencing) -> None:
        """Fence the remaining VMs again, or go on without them."""
        if self.state is not core.HandoverState.FENCING:
            return
        if message.revision != self._claim.first_revision:
            return
        if self._is_fenced():
            self._fire('fenced')
            return
        self._log_wait()
        self.announce_end(self._lease_wait(self._clock.boottime()))
        self.renew()
        self._send_fences()
        self._retry_fencing_later(message)

    def announce_end(self, lease_wait: float) -> None:
        """Tell the VMs when this change is expected to end, if they ask so.

        ``lease_wait`` is for how many seconds it waits for leases.
        """
        assert self._request is not None
        if not self._request.announces:
            return
        expected = core.PrimaryExpected(
            self.service,
            self._claim.first_revision,
            decisions.announced_seconds(lease_wait),
        )
        for vm in sorted(self._fencing.vms):
            if vm == self.vm:
                self.send(names.primary_manager(vm), expected)
            else:
                self.send(names.peers(self.vm), core.SendToPeer(vm, expected))

    # -- evidence from instances ----------------------------------------

    @runtime.handles(core.InstanceListings)
    def _on_listings(self, message: core.InstanceListings) -> None:
        self._new_successors.update(message)

    def _evidence_wait(self) -> float:
        """Return the seconds until no VM uses evidence from instances."""
        lease_wait = self._lease_wait(self._clock.boottime())
        return lease_wait + decisions.EVIDENCE_EXPIRY_WAIT_S

    def _evidence_users(self) -> frozenset[core.VmName] | None:
        """Return the VMs that may use evidence, None if all may.

        A VM that has confirmed the fence uses none.
        """
        if self._evidence_wait() <= 0.0:
            return frozenset()
        return self._fencing.unfenced()
