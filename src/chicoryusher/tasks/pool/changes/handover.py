"""Replace the primary of a database group.

The steps are the states of the state chart ``handover``.
"""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.changes import handover_claim
from chicoryusher.tasks.pool.changes import handover_fence

__all__ = ['Handover']

STATUS_TIMEOUT_S = handover_claim.STATUS_TIMEOUT_S
# Timeout for the status of an old primary that most VMs can't reach. It is
# queried in case it is back, and is short because the change of primary
# waits for every query of a round.
OLD_PRIMARY_TIMEOUT_S = 0.12
# The same while the logs of instances are needed that have not answered. Their
# slots are taken, and a query that is given up loses its place in the queue.
PATIENT_STATUS_TIMEOUT_S = 2.0
# Interval between checks whether the claim must be renewed meanwhile.
RENEWAL_CHECK_S = 0.2
# Interval between status queries to a successor that is not primary yet;
# the users state 300 to 1,000 ms for a promotion.
CONFIRM_PAUSE_S = 0.08
# Time after which a promotion counts as failed.
CONFIRM_LIMIT_S = 3.0
# Pause before all instances are queried again if none can be promoted.
QUERY_PAUSE_S = 0.25
# Interval between queries while the successor's log is still behind.
CATCH_UP_PAUSE_S = 0.05
# Longest wait for a successor to receive the end of the old primary's log.
CATCH_UP_LIMIT_S = 2.0
_QUERYING_STATES = (
    core.HandoverState.CHOOSING,
    core.HandoverState.CATCHING_UP,
)


@dataclasses.dataclass(frozen=True, slots=True)
class _QueryAgain(core.Message):
    """Timer: query the status of instances again."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class _RenewClaim(core.Message):
    """Timer: renew the claim during a long round of queries."""

    revision: int


class Handover(handover_fence.FenceTask):
    """Task that replaces one group's primary, by the chart ``handover``."""

    # -- choose a successor ---------------------------------------------

    def start_round(self) -> None:
        """Query the status of every instance of the group."""
        self._old_primary_fenced = True
        self._queried_at = self.now()
        self._orders.start_round()
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
        if self.state in _QUERYING_STATES:
            self._orders.record_status(status, self._queried_at)
        if self.candidates.record_status(status):
            self._fire('asked')

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

    def promotion_in_effect(self) -> bool:
        """Return whether the successor leads by an order of this change."""
        if self._orders.successor != self.candidates.successor:
            return False
        return self._orders.in_effect()

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
        self.send(
            names.prober(self.vm),
            core.DemoteInstance(
                entry,
                self.candidates.term_to_demote_in(),
                STATUS_TIMEOUT_S,
                self.task_name,
            ),
        )

    def request_promotion(self) -> None:
        """Order the successor's promotion from the platform.

        The revision of the closing leader row serves as its token.
        """
        successor = self.candidates.successor
        assert successor is not None and self._request is not None
        led_before = self.candidates.successor_leads(self._request.members)
        self._orders.record_order(successor, led_before)
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
        self._orders.record_result(message.result, self.now())
        if message.result is core.PromoteResult.DONE:
            self._fire('promoted')
            return
        if message.result is core.PromoteResult.REFUSED:
            self.candidates.exclude_successor()
        self._fire('refused')

    def start_confirming(self) -> None:
        """Query the successor until it is proved to lead."""
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
        self._queried_at = self.now()
        self.send(
            names.prober(self.vm),
            core.ProbeInstance(entry, STATUS_TIMEOUT_S, True, self.task_name),
        )

    def _check_successor(self, status: core.InstanceProbeResult) -> None:
        if status.instance != self.candidates.successor:
            return
        self._orders.record_status(status, self._queried_at)
        self._fire('leads' if self._orders.in_effect() else 'not_yet')

    def confirmation_timed_out(self) -> bool:
        """Return whether the promotion has failed or must be repeated."""
        return (
            self._orders.has_lapsed() or self.now() >= self._confirm_deadline
        )

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

    def finish(self) -> None:
        """End a change whose primary is in use; its orders prove no more."""
        self._orders = decisions.PromotionOrders()
        self.report_end()

    def report_end(self) -> None:
        """Report to the primary manager that this change has ended here."""
        self._fencing = decisions.FencingProgress()
        self.send(
            names.primary_manager(self.vm), core.HandoverEnded(self.service)
        )
