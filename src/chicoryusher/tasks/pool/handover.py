"""A change of a group's primary, step by step after its chart."""

from __future__ import annotations

import dataclasses

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names

__all__ = ['TAKEOVER', 'Handover', 'HandoverEnded', 'WantHandover']

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
# Seconds after which a closing row that its holder has not renewed is
# taken over by another VM.
TAKEOVER = 2.5
# Seconds since its last claim within which a holder may order a
# promotion.  An order that hangs is reset after 0.8 s, so it arrives
# before another VM's.
CLAIM_LASTS = 1.0
# Seconds after which a holder renews its claim.
RENEW = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class WantHandover(core.Message):
    """Replace the primary of a group.

    ``revision`` is the lead row's, 0 where there is none.  ``planned``
    says that the old primary still serves.
    """

    entries: tuple[core.InstanceEntry, ...]
    old: core.InstanceName
    revision: int
    planned: bool
    vms: tuple[core.VmName, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverEnded(core.Message):
    """A change of primary has ended here, done or not."""

    service: core.ServiceName


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


# Stands for VMs that the store lists and this VM does not know yet.
_UNLISTED = core.VmName('')
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
        self._want: WantHandover | None = None
        self._entries: dict[core.InstanceName, core.InstanceEntry] = {}
        self._row: core.LeadRow | None = None
        self._first_claim = 0
        self._closed_at = 0.0
        self._claimed_at = 0.0
        self._writing_at = 0.0
        self._renewing = False
        self._was_fenced = False
        self._silent: set[core.VmName] = set()
        self._asked: set[core.InstanceName] = set()
        self._states: dict[core.InstanceName, core.InstanceState] = {}
        self._refused: set[core.InstanceName] = set()
        self._successor: core.InstanceName | None = None
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
                revision=self._revision(),
                successor=self._successor,
                silent=sorted(self._silent),
            )

    def _revision(self) -> int:
        return 0 if self._row is None else self._row.revision

    # -- claim ----------------------------------------------------------

    @runtime.handles(WantHandover)
    def _on_want(self, want: WantHandover) -> None:
        if self.state is not core.HandoverState.IDLE:
            return
        self._want = want
        self._entries = {one.name: one for one in want.entries}
        self._row = None
        self._first_claim = 0
        self._renewing = False
        self._was_fenced = False
        self._refused.clear()
        self._fire('wanted')

    def claim(self) -> None:
        """Write the closing row if the row is still as it was known."""
        want = self._want
        assert want is not None
        row = self._row_with(core.LeadRowState.CLOSING, want.old)
        self._writing_at = self._clock.running_on()
        self._write(row, self._revision() or want.revision)

    def _row_with(
        self, state: core.LeadRowState, primary: core.InstanceName
    ) -> core.LeadRow:
        """Return a row to write; the store gives it its revision."""
        return core.LeadRow(self.service, 0, state, primary, self.vm)

    def _write(self, row: core.LeadRow, expected: int) -> None:
        wanted = core.WriteLead(row, expected, self.task_name)
        self.send(names.rows(self.vm), wanted)

    def renew(self) -> None:
        """Show the others that this change goes on."""
        waited = self._clock.running_on() - self._claimed_at
        if waited >= RENEW and not self._renewing:
            self._renewing = True
            self.claim()

    @runtime.handles(core.RowWritten)
    def _on_written(self, message: core.RowWritten) -> None:
        row = message.row
        if self.state is core.HandoverState.IDLE:
            if row is not None:
                self._tell(row)
        elif self.state is core.HandoverState.OPENING:
            self._open_written(row)
        elif self.state is core.HandoverState.CLAIMING:
            self._claim_written(row)
        else:
            self._renewing = False
            if row is not None and not self._keep_claim(row):
                self._fire('lost')

    def _claim_written(self, row: core.LeadRow | None) -> None:
        self._renewing = False
        if row is None or not self._keep_claim(row):
            self._fire('lost')
            return
        if not self._first_claim:
            self._first_claim = row.revision
            self._closed_at = self._clock.running_on()
        self._fire('claimed')

    def _keep_claim(self, row: core.LeadRow) -> bool:
        """Take the row as it is now; tell whether it is still ours."""
        self._tell(row)
        if not self._is_ours(row):
            return False
        self._row = row
        self._claimed_at = self._writing_at
        return True

    def _is_ours(self, row: core.LeadRow) -> bool:
        closing = row.state is core.LeadRowState.CLOSING
        return closing and row.holder == self.vm

    def _tell(self, row: core.LeadRow) -> None:
        rows = core.LeadsInStore((row,))
        self.send(names.exchange(self.vm), rows)
        self.send(names.keeper(self.vm), rows)

    # -- fence ----------------------------------------------------------

    def fence(self) -> None:
        """Ask every VM to stop using the old primary."""
        assert self._want is not None and self._row is not None
        self._silent = {*self._want.vms, self.vm, _UNLISTED}
        self.send(names.rows(self.vm), core.ReadNodes(self.task_name))
        self._ask_fences()
        self.after(FENCE_AGAIN, _FenceAgain(self._first_claim))

    def _ask_fences(self) -> None:
        want, row = self._want, self._row
        assert want is not None and row is not None
        patience = PLANNED_PATIENCE if want.planned else 0.0
        fence = core.FencePrimary(self.vm, row, patience)
        for vm in sorted(self._silent):
            if vm == _UNLISTED:
                continue
            if vm == self.vm:
                self.send(names.keeper(vm), fence)
            else:
                self.send(names.peers(self.vm), core.ToPeer(vm, fence))

    @runtime.handles(core.NodesInStore)
    def _on_nodes(self, message: core.NodesInStore) -> None:
        """Fence VMs too that had registered by the time of the claim."""
        assert self._want is not None
        if self.state is not core.HandoverState.FENCING:
            return
        known = {*self._want.vms, self.vm}
        new = {
            one.vm
            for one in message.rows
            if one.is_callable and one.vm not in known
        }
        self._want = dataclasses.replace(
            self._want, vms=(*self._want.vms, *sorted(new))
        )
        self._silent |= new
        self._silent.discard(_UNLISTED)
        if not self._silent:
            self._fire('fenced')
        elif new:
            self._ask_fences()

    @runtime.handles(core.PrimaryFenced)
    def _on_fenced(self, message: core.PrimaryFenced) -> None:
        if message.revision < self._first_claim:
            return
        self._silent.discard(message.vm)
        if not self._silent:
            self._fire('fenced')

    @runtime.handles(_FenceAgain)
    def _on_fence_again(self, message: _FenceAgain) -> None:
        if self.state is not core.HandoverState.FENCING:
            return
        if message.revision != self._first_claim:
            return
        waited = self._clock.running_on() - self._closed_at
        if waited >= decisions.LAPSE_WAIT:
            self._fire('fenced')
            return
        self.renew()
        self._ask_fences()
        self.after(FENCE_AGAIN, message)

    # -- choose ---------------------------------------------------------

    def ask(self) -> None:
        """Ask every instance for its status."""
        self._was_fenced = True
        self._states = {}
        self._asked = set(self._entries)
        for entry in self._entries.values():
            self.send(
                names.prober(self.vm),
                core.ProbeInstance(
                    entry, self._patience(entry), True, self.task_name
                ),
            )
        if not self._asked:
            self.ask_in(ASK_PAUSE)

    def _patience(self, entry: core.InstanceEntry) -> float:
        assert self._want is not None
        if entry.name == self._want.old and not self._want.planned:
            return MISSED_TIMEOUT
        return STATUS_TIMEOUT

    def ask_in(self, delay: float) -> None:
        """Ask every instance after a pause."""
        self.after(delay, _AskAgain(self._first_claim))

    @runtime.handles(_AskAgain)
    def _on_ask_again(self, message: _AskAgain) -> None:
        if message.revision != self._first_claim:
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
        if status.instance not in self._asked:
            return
        self._asked.discard(status.instance)
        if status.state is not None:
            self._states[status.instance] = status.state
        if not self._asked:
            self._successor = decisions.best_successor(
                self._candidates(), self._leaving()
            )
            self._fire('asked')

    def _candidates(
        self,
    ) -> dict[core.InstanceName, core.InstanceState]:
        assert self._want is not None
        return {
            name: state
            for name, state in self._states.items()
            if name != self._want.old and name not in self._refused
        }

    def _leaving(self) -> frozenset[core.InstanceName]:
        return frozenset(
            one.name for one in self._entries.values() if one.leaving
        )

    def overdue(self) -> bool:
        """Tell whether the claim is too old to order a promotion."""
        waited = self._clock.running_on() - self._claimed_at
        return waited > CLAIM_LASTS

    def was_fenced(self) -> bool:
        """Tell whether nobody uses the old primary any more."""
        return self._was_fenced

    def already_led(self) -> bool:
        """Tell whether another instance leads the newest term already."""
        newest = max((one.term for one in self._states.values()), default=0)
        for name, state in self._candidates().items():
            leads = state.role is core.Role.PRIMARY and state.term == newest
            if leads:
                self._successor = name
                return True
        return False

    def nobody(self) -> bool:
        """Tell whether no instance can take over."""
        if self._successor is None:
            self._refused.clear()
        return self._successor is None

    def behind(self) -> bool:
        """Tell whether the successor lacks what the old primary has."""
        assert self._want is not None
        if not self._old_leads():
            return False
        now = self.now()
        if self.state is core.HandoverState.CHOOSING:
            self._caught_up_by = now + CATCH_UP_LIMIT
        if now >= self._caught_up_by:
            return False
        return not decisions.caught_up(
            self._states, self._want.old, self._successor
        )

    def _old_leads(self) -> bool:
        """Tell whether the old primary answers, and as the primary."""
        assert self._want is not None
        state = self._states.get(self._want.old)
        return state is not None and state.role is core.Role.PRIMARY

    # -- promote --------------------------------------------------------

    def demote(self) -> None:
        """Take the lead from an old primary that still answers."""
        assert self._want is not None
        entry = self._entries.get(self._want.old)
        if entry is None or not self._old_leads():
            return
        newest = max(one.term for one in self._states.values())
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
        assert self._row is not None and self._successor is not None
        self.send(
            names.promotions(self.vm),
            core.PromoteInstance(
                self.service,
                self._successor,
                self.vm,
                self._row.revision,
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
            assert self._successor is not None
            self._refused.add(self._successor)
        self._fire('refused')

    def confirm(self) -> None:
        """Look at the successor until it leads."""
        self._confirm_by = self.now() + CONFIRM_LIMIT
        self.ask_in(CONFIRM_PAUSE)

    def confirm_once(self) -> None:
        """Ask the successor for its status."""
        self.renew()
        entry = self._entries.get(self._successor or core.InstanceName(''))
        if entry is None:
            self._fire('not_yet')
            return
        self.send(
            names.prober(self.vm),
            core.ProbeInstance(entry, STATUS_TIMEOUT, True, self.task_name),
        )

    def _confirmed(self, status: core.InstanceStatus) -> None:
        if status.instance != self._successor:
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
        reopened = core.Reopened(self._revision(), row)
        assert self._want is not None
        self.send(names.keeper(self.vm), reopened)
        for vm in self._want.vms:
            if vm != self.vm:
                self.send(names.peers(self.vm), core.ToPeer(vm, reopened))
        self.write_open()

    def _open_row(self) -> core.LeadRow:
        assert self._successor is not None
        return self._row_with(core.LeadRowState.OPEN, self._successor)

    def write_open(self) -> None:
        """Write the open row over this change's closing one."""
        self._write(self._open_row(), self._revision())

    @runtime.handles(_OpenAgain)
    def _on_open_again(self, message: _OpenAgain) -> None:
        if self.state is not core.HandoverState.OPENING:
            return
        if message.revision == self._revision():
            self.write_open()

    def open_later(self) -> None:
        """Write the open row again after a pause."""
        self.after(OPEN_PAUSE, _OpenAgain(self._revision()))

    def _open_written(self, row: core.LeadRow | None) -> None:
        if row is None:
            self._fire('unsure')
            return
        self._tell(row)
        if self._is_ours(row):
            # A renewal that was still under way got there first.
            self._row = row
            self._fire('unsure')
        elif row.state is core.LeadRowState.OPEN:
            self._fire('opened')
        else:
            self._fire('lost')

    def ended(self) -> None:
        """Tell the keeper that this change has ended here."""
        self._silent.clear()
        self.send(names.keeper(self.vm), HandoverEnded(self.service))
