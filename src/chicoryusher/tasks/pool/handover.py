"""A change of a group's primary, step by step after its chart."""

from __future__ import annotations

import dataclasses

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names

__all__ = ['Handover']

# Seconds for an instance's status; a round trip between regions (42 ms),
# a new connection (12 ms) and a wait for a slot at full load.
STATUS_TIMEOUT = 0.4
# Seconds for the status of an old primary that most VMs miss: it is asked
# in case that it is back, and others do not wait for it.
MISSED_TIMEOUT = 0.12
# Seconds between fences to a VM that has not answered.
FENCE_AGAIN = 0.4
# Seconds between looks at a successor that does not lead yet; users
# state 300 to 1,000 ms for a promotion.
CONFIRM_PAUSE = 0.08
# Seconds after which a promotion is taken to have failed.
CONFIRM_LIMIT = 3.0
# Seconds between looks at instances of which none answers.
ASK_PAUSE = 0.25
# Seconds before the open row is written again.
OPEN_PAUSE = 0.1
# Seconds between looks at a successor that is still behind.
CATCH_UP_PAUSE = 0.05
# Seconds that a successor may take to receive the old primary's tail.
CATCH_UP_LIMIT = 2.0
# Seconds that open transactions get where the old primary still serves.
PLANNED_PATIENCE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class _FenceAgain(core.Message):
    """Time to ask VMs again that have not stopped yet."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class _AskAgain(core.Message):
    """Time to ask instances again."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenAgain(core.Message):
    """Time to write the lead row again."""

    revision: int


_ASKING = (core.HandoverState.CHOOSING, core.HandoverState.CATCHING_UP)


class Handover(runtime.Task):
    """Changes of one group's primary; lives by the chart ``handover``."""

    def __init__(
        self, loop: runtime.Runtime, vm: core.VmName, service: core.ServiceName
    ) -> None:
        super().__init__(loop, vm, f'handover/{service}')
        self.state = core.HandoverState.IDLE
        self.service = service
        self._clock = loop.clock
        self._chart = charts.compiled('handover')
        self._want: core.WantHandover | None = None
        self.candidates = decisions.Candidates((), core.InstanceName(''))
        self._claim = decisions.LeadClaim(
            vm, service, core.InstanceName(''), 0
        )
        self._was_fenced = False
        self._fencing = decisions.Fencing()
        self._caught_up_by = 0.0
        self._confirm_by = 0.0

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
                silent=sorted(self._fencing.silent),
            )

    # -- claim ----------------------------------------------------------

    @runtime.handles(core.WantHandover)
    def _on_want(self, want: core.WantHandover) -> None:
        if self.state is not core.HandoverState.IDLE:
            return
        self._want = want
        self.candidates = decisions.Candidates(want.entries, want.old)
        self._claim = decisions.LeadClaim(
            self.vm, self.service, want.old, want.revision
        )
        self._was_fenced = False
        self._fire('wanted')

    def claim(self) -> None:
        """Write the closing row if the row is still as it was known."""
        self._write(self._claim.closing(self._clock.running_on()))

    def _write(self, row: core.LeadRow) -> None:
        expected = self._claim.expected
        wanted = core.WriteLead(row, expected, self.task_name)
        self.send(names.rows(self.vm), wanted)

    def renew(self) -> None:
        """Show the others that this change goes on."""
        if self._claim.renewal_due(self._clock.running_on()):
            self.claim()

    @runtime.handles(core.RowWritten)
    def _on_written(self, message: core.RowWritten) -> None:
        row = message.row
        if row is not None:
            self._tell(row)
        if self.state is core.HandoverState.OPENING:
            self._open_written(row)
        elif self.state is core.HandoverState.CLAIMING:
            self._claim_written(row)
        elif self.state is not core.HandoverState.IDLE:
            if not self._claim.written(row) and row is not None:
                self._fire('lost')

    def _claim_written(self, row: core.LeadRow | None) -> None:
        if not self._claim.written(row):
            self._fire('lost')
            return
        self._claim.begins(self._clock.running_on())
        self._fire('claimed')

    def _tell(self, row: core.LeadRow) -> None:
        rows = core.LeadsInStore((row,))
        self.send(names.exchange(self.vm), rows)
        self.send(names.keeper(self.vm), rows)

    # -- fence ----------------------------------------------------------

    def fence(self) -> None:
        """Ask every VM to stop using the old primary."""
        assert self._want is not None
        self._fencing = decisions.Fencing((*self._want.vms, self.vm))
        self.send(names.rows(self.vm), core.ReadNodes(self.task_name))
        self._ask_fences()
        self.after(FENCE_AGAIN, _FenceAgain(self._claim.first))

    def _ask_fences(self) -> None:
        want, row = self._want, self._claim.row
        assert want is not None and row is not None
        patience = PLANNED_PATIENCE if want.planned else 0.0
        fence = core.FencePrimary(self.vm, row, patience)
        for vm in sorted(self._fencing.silent):
            if vm == self.vm:
                self.send(names.keeper(vm), fence)
            else:
                self.send(names.peers(self.vm), core.ToPeer(vm, fence))

    @runtime.handles(core.NodesInStore)
    def _on_nodes(self, message: core.NodesInStore) -> None:
        """Fence VMs too that had registered by the time of the claim."""
        if self.state is not core.HandoverState.FENCING:
            return
        new = self._fencing.listed(message.rows)
        if self._fencing.done:
            self._fire('fenced')
        elif new:
            self._ask_fences()

    @runtime.handles(core.PrimaryFenced)
    def _on_fenced(self, message: core.PrimaryFenced) -> None:
        if message.revision < self._claim.first:
            return
        self._fencing.stopped(message.vm)
        if self._fencing.done:
            self._fire('fenced')

    @runtime.handles(_FenceAgain)
    def _on_fence_again(self, message: _FenceAgain) -> None:
        if self.state is not core.HandoverState.FENCING:
            return
        if message.revision != self._claim.first:
            return
        if self._claim.all_lapsed(self._clock.running_on()):
            self._fire('fenced')
            return
        self.renew()
        self._ask_fences()
        self.after(FENCE_AGAIN, message)

    # -- choose ---------------------------------------------------------

    def ask(self) -> None:
        """Ask every instance for its status."""
        self._was_fenced = True
        entries = self.candidates.ask()
        for entry in entries:
            self.send(
                names.prober(self.vm),
                core.ProbeInstance(
                    entry, self._patience(entry), True, self.task_name
                ),
            )
        if not entries:
            self.ask_in(ASK_PAUSE)

    def _patience(self, entry: core.InstanceEntry) -> float:
        assert self._want is not None
        if entry.name == self._want.old and not self._want.planned:
            return MISSED_TIMEOUT
        return STATUS_TIMEOUT

    def ask_in(self, delay: float) -> None:
        """Ask every instance after a pause."""
        self.after(delay, _AskAgain(self._claim.first))

    @runtime.handles(_AskAgain)
    def _on_ask_again(self, message: _AskAgain) -> None:
        if message.revision != self._claim.first:
            return
        if self.state is core.HandoverState.CONFIRMING:
            self.confirm_once()
        elif self.state in _ASKING:
            self.ask()

    @runtime.handles(core.InstanceStatus)
    def _on_status(self, status: core.InstanceStatus) -> None:
        if self.state is core.HandoverState.CONFIRMING:
            self._confirmed(status)
            return
        if self.candidates.answered(status):
            self._fire('asked')

    def overdue(self) -> bool:
        """Tell whether the claim is too old to order a promotion."""
        return self._claim.overdue(self._clock.running_on())

    def was_fenced(self) -> bool:
        """Tell whether nobody uses the old primary any more."""
        return self._was_fenced

    def behind(self) -> bool:
        """Tell whether the successor lacks what the old primary has."""
        if not self.candidates.old_leads():
            return False
        now = self.now()
        if self.state is core.HandoverState.CHOOSING:
            self._caught_up_by = now + CATCH_UP_LIMIT
        if now >= self._caught_up_by:
            return False
        return not self.candidates.has_all()

    # -- promote --------------------------------------------------------

    def demote(self) -> None:
        """Take the lead from an old primary that still answers."""
        assert self._want is not None
        entry = self.candidates.entries.get(self._want.old)
        if entry is None or not self.candidates.old_leads():
            return
        newest = self.candidates.newest_term()
        self.send(
            names.prober(self.vm),
            core.DemoteInstance(
                entry,
                core.Term(newest + 1),
                STATUS_TIMEOUT,
                self.task_name,
            ),
        )

    def promote(self) -> None:
        """Order the promotion; the row's revision is its token."""
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

    @runtime.handles(core.PromoteReplied)
    def _on_promoted(self, message: core.PromoteReplied) -> None:
        if self.state is not core.HandoverState.PROMOTING:
            return
        if message.result is core.PromoteResult.DONE:
            self._fire('promoted')
            return
        if message.result is core.PromoteResult.REFUSED:
            self.candidates.refuse()
        self._fire('refused')

    def confirm(self) -> None:
        """Look at the successor until it leads."""
        self._confirm_by = self.now() + CONFIRM_LIMIT
        self.ask_in(CONFIRM_PAUSE)

    def confirm_once(self) -> None:
        """Ask the successor for its status."""
        self.renew()
        successor = self.candidates.successor or core.InstanceName('')
        entry = self.candidates.entries.get(successor)
        if entry is None:
            self._fire('not_yet')
            return
        self.send(
            names.prober(self.vm),
            core.ProbeInstance(entry, STATUS_TIMEOUT, True, self.task_name),
        )

    def _confirmed(self, status: core.InstanceStatus) -> None:
        if status.instance != self.candidates.successor:
            return
        state = status.state
        if state is not None and state.role is core.Role.PRIMARY:
            self._fire('leads')
        else:
            self._fire('not_yet')

    def confirm_overdue(self) -> bool:
        """Tell whether the promotion is taken to have failed."""
        return self.now() >= self._confirm_by

    # -- open -----------------------------------------------------------

    def open(self) -> None:
        """Tell every VM of the new primary, then write it down."""
        row = self._open_row()
        reopened = core.Reopened(self._claim.revision, row)
        assert self._want is not None
        self.send(names.keeper(self.vm), reopened)
        for vm in sorted(self._fencing.vms):
            if vm != self.vm:
                self.send(names.peers(self.vm), core.ToPeer(vm, reopened))
        self.write_open()

    def _open_row(self) -> core.LeadRow:
        successor = self.candidates.successor
        assert successor is not None
        return self._claim.opening(successor)

    def write_open(self) -> None:
        """Write the open row over this change's closing one."""
        self._write(self._open_row())

    @runtime.handles(_OpenAgain)
    def _on_open_again(self, message: _OpenAgain) -> None:
        if self.state is not core.HandoverState.OPENING:
            return
        if message.revision == self._claim.revision:
            self.write_open()

    def open_later(self) -> None:
        """Write the open row again after a pause."""
        self.after(OPEN_PAUSE, _OpenAgain(self._claim.revision))

    def _open_written(self, row: core.LeadRow | None) -> None:
        if row is None:
            self._fire('unsure')
            return
        if self._claim.written(row):
            # A renewal that was still under way got there first.
            self._fire('unsure')
        elif row.state is core.LeadRowState.OPEN:
            self._fire('opened')
        else:
            self._fire('lost')

    def ended(self) -> None:
        """Tell the keeper that this change has ended here."""
        self._fencing = decisions.Fencing()
        self.send(names.keeper(self.vm), core.HandoverEnded(self.service))
