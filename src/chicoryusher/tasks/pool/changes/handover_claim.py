"""Claims of changes of primary: their leader rows in the store."""

from __future__ import annotations

import dataclasses

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.groups import new_successors

__all__ = ['STATUS_TIMEOUT_S', 'ClaimTask']

# Covers a round trip between regions (42 ms), a new connection (12 ms) and
# a wait for a slot of the instance at full load.
STATUS_TIMEOUT_S = 0.4
# Pause before the open leader row is written again, if the outcome of the
# last write is unknown or a renewal of the closing row was written first.
OPEN_ROW_RETRY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _RetryOpenRow(core.Message):
    """Timer: write the open leader row again."""

    revision: int


class ClaimTask(runtime.Task):
    """Claim one group, and write its open row at the end of the change."""

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
        self._orders = decisions.PromotionOrders()
        # Revision of a row on which a claim may rely on the earlier orders.
        self._restored_revision: int | None = None
        # When the instances that have not answered yet were queried.
        self._queried_at = 0.0
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
        if request.revision != self._restored_revision:
            self._orders = decisions.PromotionOrders()
        self._restored_revision = None
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
            self._keep_orders(message)
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

    def _keep_orders(self, message: core.LeaderRowWritten) -> None:
        """Keep what the orders prove, for a claim on the restored row.

        No other VM has changed the primary by then: none could take over the
        lost claim, and the next claim fails if the row was written since.
        """
        if self._claim.may_be_taken_over(self._clock.boottime()):
            return
        row = message.row
        version = 0 if row is None else core.version_of(row.revision)
        self._restored_revision = core.revision_in(message.era, version)

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

    # -- the open row ---------------------------------------------------

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
