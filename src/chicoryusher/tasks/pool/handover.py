"""Replace the primary of a database group.

The steps are the states of the state chart ``handover``.
"""

from __future__ import annotations

import dataclasses

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool import new_successors

__all__ = ['Handover']

# Covers a round trip between regions (42 ms), a new connection (12 ms) and
# a wait for a slot of the instance at full load.
STATUS_TIMEOUT_S = 0.4
# Timeout for the status of an old primary that most VMs can't reach. It is
# queried in case it is back, and is short because the change of primary
# waits for every query of a round.
OLD_PRIMARY_TIMEOUT_S = 0.12
# The same while the logs of instances are needed that have not answered. Their
# slots are taken, and a query that is given up loses its place in the queue.
PATIENT_STATUS_TIMEOUT_S = 2.0
# Interval between checks whether the claim must be renewed meanwhile.
RENEWAL_CHECK_S = 0.2
# Interval at which VMs that have not answered are fenced again.
FENCE_RETRY_S = 0.4
# VMs that a fence asks about; a whole fleet would make it too long.
MAX_ASKED_ABOUT = 64
# The shortest such interval; the last one ends when the earlier leases do.
MIN_FENCE_RETRY_S = 0.01
# Interval between status queries to a successor that is not primary yet;
# the users state 300 to 1,000 ms for a promotion.
CONFIRM_PAUSE_S = 0.08
# Time after which a promotion counts as failed.
CONFIRM_LIMIT_S = 3.0
# Pause before all instances are queried again if none can be promoted.
QUERY_PAUSE_S = 0.25
# Pause before the open leader row is written again, if the outcome of the
# last write is unknown or a renewal of the closing row was written first.
OPEN_ROW_RETRY_S = 0.1
# Interval between queries while the successor's log is still behind.
CATCH_UP_PAUSE_S = 0.05
# Longest wait for a successor to receive the end of the old primary's log.
CATCH_UP_LIMIT_S = 2.0
# Grace period for open transactions in a planned change, in which the old
# primary still serves.
PLANNED_GRACE_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class _RetryFencing(core.Message):
    """Timer: fence VMs again that have not confirmed yet."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class _QueryAgain(core.Message):
    """Timer: query the status of instances again."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class _RetryOpenRow(core.Message):
    """Timer: write the open leader row again."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class _RenewClaim(core.Message):
    """Timer: renew the claim during a long round of queries."""

    revision: int


_QUERYING_STATES = (
    core.HandoverState.CHOOSING,
    core.HandoverState.CATCHING_UP,
)


class Handover(runtime.Task):
    """Task that replaces one group's primary, by the chart ``handover``."""

    def __init__(
        self, loop: runtime.Runtime, vm: core.VmName, service: core.ServiceName
    ) -> None:
        super().__init__(loop, vm, f'handover/{service}')
        self.state = core.HandoverState.IDLE
        self.service = service
        self._clock = loop.clock
        self._chart = charts.load_machine('handover')
        self._request: core.StartHandover | None = None
        self.candidates = decisions.SuccessorCandidates(
            (), core.InstanceName('')
        )
        self._claim = decisions.LeaderClaim(
            vm, service, core.InstanceName(''), 0
        )
        self._old_primary_fenced = False
        self._fencing = decisions.FencingProgress()
        self._wait_logged = False
        self._status_timeout_s = STATUS_TIMEOUT_S
        self._new_successors = new_successors.NewSuccessors()
        # Kept while the claim is renewed; None before the first wait.
        self._catch_up_deadline: float | None = None
        self._confirm_deadline = 0.0

    def _fire(self, event: str) -> None:
        before = self.state
        if self._chart.fire(self, event):
            self.meters.add(
                core.Metric.PRIMARY_CHANGES, service=self.service, step=event
            )
            self.log.emit(
                core.LogEvent.HANDOVER_STEP,
                service=self.service,
                step=event,
                before=before.value,
                state=self.state.value,
                revision=self._claim.revision,
                successor=self.candidates.successor,
                silent=sorted(self._fencing.pending),
            )

    # -- claim ----------------------------------------------------------

    @runtime.handles(core.StartHandover)
    def _on_start(self, request: core.StartHandover) -> None:
        if self.state is not core.HandoverState.IDLE:
            return
        self._request = request
        excluded = request.old_primary
        if request.may_keep_primary:
            excluded = core.InstanceName('')
        self.candidates = decisions.SuccessorCandidates(
            request.entries, excluded, request.sync_replicas
        )
        self._status_timeout_s = STATUS_TIMEOUT_S
        self._claim = decisions.LeaderClaim(
            self.vm, self.service, request.old_primary, request.revision
        )
        self._new_successors = new_successors.NewSuccessors(request.listings)
        self._old_primary_fenced = False
        self._catch_up_deadline = None
        self._fire('wanted')

    def write_closing_row(self) -> None:
        """Claim the change of primary, or renew the claim.

        Writes a closing leader row on condition that the row in the store
        still has the expected revision.
        """
        self._write_row(self._claim.closing_row(self._clock.boottime()))

    def _write_row(self, row: core.LeaderRow) -> None:
        expected = self._claim.expected_revision
        write = core.WriteLeaderRow(row, expected, self.task_name)
        self.send(names.row_client(self.vm), write)

    def renew(self) -> None:
        """Renew the claim when due, so that no other VM takes it over."""
        if self._claim.renewal_due(self._clock.boottime()):
            self.write_closing_row()

    @runtime.handles(core.LeaderRowWritten)
    def _on_written(self, message: core.LeaderRowWritten) -> None:
        row = message.row
        if row is not None:
            self._share_row(row, message.era)
        elif message.era:
            # The store has no such row.
            self.send(names.primary_manager(self.vm), message)
        if self._is_of_lost_era(message):
            self._claim.record_write(None)
            if self.state is not core.HandoverState.IDLE:
                self._fire('lost')
        elif self.state is core.HandoverState.OPENING:
            self._on_open_written(row)
        elif self.state is core.HandoverState.CLAIMING:
            self._on_claim_written(row)
        elif self.state is not core.HandoverState.IDLE:
            if not self._claim.record_write(row) and row is not None:
                self._fire('lost')

    def _is_of_lost_era(self, message: core.LeaderRowWritten) -> bool:
        """Return whether the store has lost what this change relies on.

        A row that carries an earlier era than that of the answer was written
        before the store came back from a copy, or by a VM that did not know
        of it.
        """
        if message.row is None:
            expected = self._claim.expected_revision
            return message.era > core.era_of(expected)
        return core.era_of(message.row.revision) < message.era

    def _on_claim_written(self, row: core.LeaderRow | None) -> None:
        if not self._claim.record_write(row):
            self._fire('lost')
            return
        self._claim.record_first_closing(self._clock.boottime())
        self._fire('claimed')

    def _share_row(self, row: core.LeaderRow, era: core.StoreEra) -> None:
        rows = core.LeaderRowsRead((row,), era)
        self.send(names.view_exchange(self.vm), rows)
        self.send(names.primary_manager(self.vm), rows)

    @runtime.handles(core.StoreRestored)
    def _on_store_restored(self, message: core.StoreRestored) -> None:
        self._check_era(message.era)

    def _check_era(self, era: core.StoreEra) -> None:
        """Give up if the store has lost the claim of this change."""
        if self.state is core.HandoverState.IDLE:
            return
        if era > core.era_of(self._claim.expected_revision):
            self._claim.record_write(None)
            self._fire('lost')

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

    # -- choose a successor ---------------------------------------------

    def start_round(self) -> None:
        """Query the status of every instance of the group."""
        self._old_primary_fenced = True
        self._new_successors.start_round(self._evidence_users())
        avoided = self._new_successors.avoided(self.candidates.entries)
        entries = self.candidates.start_round(avoided)
        for entry in entries:
            self.send(
                names.prober(self.vm),
                core.ProbeInstance(
                    entry, self._status_timeout(entry), True, self.task_name
                ),
            )
        if not entries:
            self.query_after(QUERY_PAUSE_S)

    def _status_timeout(self, entry: core.InstanceEntry) -> float:
        assert self._request is not None
        if (
            entry.name == self._request.old_primary
            and not self._request.planned
        ):
            return OLD_PRIMARY_TIMEOUT_S
        return self._status_timeout_s

    def query_patiently(self) -> None:
        """Query the instances again, and wait longer for their logs.

        No other instance is promoted: it may lack acknowledged commits.
        """
        if self._status_timeout_s == STATUS_TIMEOUT_S:
            self._status_timeout_s = PATIENT_STATUS_TIMEOUT_S
            self.after(
                RENEWAL_CHECK_S, _RenewClaim(self._claim.first_revision)
            )
            self.log.emit(
                core.LogEvent.HANDOVER_LACKS_EVIDENCE,
                service=self.service,
                instances=sorted(self.candidates.missing_evidence()),
            )
        self.query_after(QUERY_PAUSE_S)

    @runtime.handles(_RenewClaim)
    def _on_renew_claim(self, message: _RenewClaim) -> None:
        if message.revision != self._claim.first_revision:
            return
        if self.state in _QUERYING_STATES:
            self.renew()
        if self.state is not core.HandoverState.IDLE:
            self.after(RENEWAL_CHECK_S, message)

    @runtime.handles(core.GroupUpdate)
    def _on_group_update(self, message: core.GroupUpdate) -> None:
        """Adopt instances that were added or removed meanwhile."""
        if self._request is not None and self._request.sync_replicas:
            self.candidates.update_entries(message.entries, self.now())

    def query_after(self, delay: float) -> None:
        """Query again after a delay in seconds.

        While the promotion is being confirmed, this queries the successor
        only, otherwise every instance.
        """
        self.after(delay, _QueryAgain(self._claim.first_revision))

    @runtime.handles(_QueryAgain)
    def _on_query_again(self, message: _QueryAgain) -> None:
        if message.revision != self._claim.first_revision:
            return
        if self.state is core.HandoverState.CONFIRMING:
            self.query_successor()
        elif self.state in _QUERYING_STATES:
            self.start_round()

    @runtime.handles(core.InstanceProbeResult)
    def _on_status(self, status: core.InstanceProbeResult) -> None:
        if self.state is core.HandoverState.CONFIRMING:
            self._check_successor(status)
            return
        if self.candidates.record_status(status):
            self._fire('asked')

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

    def successor_is_new(self) -> bool:
        """Return whether a VM may use evidence without the successor.

        Its list of instances may be from before the successor registered.
        """
        successor = self.candidates.successor
        assert successor is not None
        if not self._new_successors.must_wait_for(successor):
            return False
        if self._new_successors.log_wait():
            self.log.emit(
                core.LogEvent.HANDOVER_WAITS_FOR_EVIDENCE,
                service=self.service,
                successor=successor,
                vms=sorted(self._evidence_users() or ()),
                seconds=round(self._evidence_wait(), 1),
            )
        return True

    def is_expired(self) -> bool:
        """Return whether the claim is too old to order a promotion."""
        return self._claim.is_expired(self._clock.boottime())

    def old_primary_fenced(self) -> bool:
        """Return whether no VM uses the old primary any more."""
        return self._old_primary_fenced

    def keeps_current_leader(self) -> bool:
        """Return whether to keep the instance that leads, the old one too.

        It is promoted like a new one: that changes nothing, unless another
        instance that has not answered was promoted after it.
        """
        assert self._request is not None
        return (
            self._request.may_keep_primary
            and self.candidates.adopt_current_leader()
        )

    def successor_behind(self) -> bool:
        """Return whether to wait for the successor to catch up.

        It is waited for while the old primary answers as primary and has
        log entries that the successor has not received, for at most
        ``CATCH_UP_LIMIT_S`` seconds.
        """
        if not self.candidates.old_primary_leads():
            return False
        now = self.now()
        if self._catch_up_deadline is None:
            self._catch_up_deadline = now + CATCH_UP_LIMIT_S
        if now >= self._catch_up_deadline:
            return False
        return not self.candidates.successor_caught_up()

    # -- promote --------------------------------------------------------

    def demote_old_primary(self) -> None:
        """Demote the old primary if it still answers as primary."""
        assert self._request is not None
        entry = self.candidates.entries.get(self._request.old_primary)
        if entry is None or not self.candidates.old_primary_leads():
            return
        newest = self.candidates.newest_term()
        self.send(
            names.prober(self.vm),
            core.DemoteInstance(
                entry,
                core.Term(newest + 1),
                STATUS_TIMEOUT_S,
                self.task_name,
            ),
        )

    def request_promotion(self) -> None:
        """Order the successor's promotion from the platform.

        The revision of the closing leader row serves as its token.
        """
        successor = self.candidates.successor
        assert successor is not None
        self.send(
            names.promotions(self.vm),
            core.PromoteInstance(
                self.service,
                successor,
                self.vm,
                self._claim.revision,
                self.task_name,
            ),
        )

    @runtime.handles(core.PromotionReply)
    def _on_promoted(self, message: core.PromotionReply) -> None:
        if self.state is not core.HandoverState.PROMOTING:
            return
        if message.result is core.PromoteResult.DONE:
            self._fire('promoted')
            return
        if message.result is core.PromoteResult.REFUSED:
            self.candidates.exclude_successor()
        self._fire('refused')

    def start_confirming(self) -> None:
        """Query the successor repeatedly until it is the primary."""
        self._confirm_deadline = self.now() + CONFIRM_LIMIT_S
        self.query_after(CONFIRM_PAUSE_S)

    def query_successor(self) -> None:
        """Query the status of the successor once."""
        self.renew()
        successor = self.candidates.successor or core.InstanceName('')
        entry = self.candidates.entries.get(successor)
        if entry is None:
            self._fire('not_yet')
            return
        self.send(
            names.prober(self.vm),
            core.ProbeInstance(entry, STATUS_TIMEOUT_S, True, self.task_name),
        )

    def _check_successor(self, status: core.InstanceProbeResult) -> None:
        if status.instance != self.candidates.successor:
            return
        state = status.state
        if state is not None and state.role is core.Role.PRIMARY:
            self._fire('leads')
        else:
            self._fire('not_yet')

    def confirmation_timed_out(self) -> bool:
        """Return whether the promotion counts as failed."""
        return self.now() >= self._confirm_deadline

    # -- open the group again -------------------------------------------

    def announce_primary(self) -> None:
        """Send the new primary to every VM, then write it to the store."""
        row = self._open_row()
        reopened = core.PrimaryReopened(self._claim.revision, row)
        assert self._request is not None
        self.send(names.primary_manager(self.vm), reopened)
        for vm in sorted(self._fencing.vms):
            if vm != self.vm:
                self.send(names.peers(self.vm), core.SendToPeer(vm, reopened))
        self.write_open_row()

    def _open_row(self) -> core.LeaderRow:
        successor = self.candidates.successor
        assert successor is not None
        return self._claim.opening_row(successor)

    def write_open_row(self) -> None:
        """Replace this change's closing leader row by the open one."""
        self._write_row(self._open_row())

    @runtime.handles(_RetryOpenRow)
    def _on_retry_open_row(self, message: _RetryOpenRow) -> None:
        if self.state is not core.HandoverState.OPENING:
            return
        if message.revision == self._claim.revision:
            self.write_open_row()

    def retry_open_row(self) -> None:
        """Write the open leader row again after a pause."""
        self.after(OPEN_ROW_RETRY_S, _RetryOpenRow(self._claim.revision))

    def _on_open_written(self, row: core.LeaderRow | None) -> None:
        if row is None:
            self._fire('unsure')
            return
        if self._claim.record_write(row):
            # A pending renewal of the closing row was written first, so
            # the write of the open row failed.
            self._fire('unsure')
        elif row.state is core.LeaderRowState.OPEN:
            self._fire('opened')
        else:
            self._fire('lost')

    def report_end(self) -> None:
        """Report to the primary manager that this change has ended here."""
        self._fencing = decisions.FencingProgress()
        self.send(
            names.primary_manager(self.vm), core.HandoverEnded(self.service)
        )
