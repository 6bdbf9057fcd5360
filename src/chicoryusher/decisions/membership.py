"""Which VMs are alive, by the platform's list and by direct contact.

The platform's list lags, so missing heartbeats alone only make a VM
suspected.  A suspected VM is considered gone once another VM cannot
reach it either, once the list no longer has it, or after a longer time
without contact.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from chicoryusher import charts
from chicoryusher import core

__all__ = ['Membership', 'VmRecord']

# Seconds without contact after which a monitored VM is suspected.
SUSPECT_AFTER_S = 1.0
# Seconds after which this VM's suspicion alone is enough.
CONFIRM_ALONE_AFTER_S = 3.0
# VMs, this VM included, that must have lost contact with a VM before it is
# considered gone.
MIN_CONFIRMING_VM_COUNT = 2
# Seconds for which another VM's report that it cannot reach a VM counts.
UNREACHABLE_REPORT_VALID_S = 3.0


@dataclasses.dataclass(slots=True)
class VmRecord:
    """What this VM has observed of another; its state chart is ``vm``.

    ``unreachable_reports`` has the time of the last report of each VM
    that could not reach this one.
    """

    name: core.VmName
    state: core.VmState = core.VmState.LIVE
    contact_at: float | None = None
    suspected_at: float | None = None
    monitored: bool = False
    unreachable_reports: dict[core.VmName, float] = dataclasses.field(
        default_factory=dict
    )


class Membership:
    """The state of all other VMs as one VM judges it."""

    def __init__(self, own: core.VmName) -> None:
        self._own = own
        self._chart = charts.load_machine('vm')
        self._records: dict[core.VmName, VmRecord] = {}

    def records(self) -> tuple[VmRecord, ...]:
        """Return every record in name order."""
        return tuple(self._records[name] for name in sorted(self._records))

    def usable(self) -> tuple[core.VmName, ...]:
        """Return the VMs that may be gates: live, suspected and this one."""
        usable_states = (core.VmState.LIVE, core.VmState.SUSPECTED)
        names = {
            record.name
            for record in self._records.values()
            if record.state in usable_states
        }
        return tuple(sorted(names | {self._own}))

    def suspected(self) -> tuple[core.VmName, ...]:
        """Return the VMs that this VM itself cannot reach."""
        return tuple(
            record.name
            for record in self._records.values()
            if record.suspected_at is not None
        )

    def set_configured(self, names: Iterable[core.VmName], now: float) -> None:
        """Add and remove records to match the configured VMs."""
        configured_names = set(names) - {self._own}
        for name in configured_names - set(self._records):
            self._records[name] = VmRecord(name)
        for removed in set(self._records) - configured_names:
            del self._records[removed]

    def set_monitored(self, names: Iterable[core.VmName], now: float) -> None:
        """Set which VMs this VM expects heartbeats from."""
        monitored_names = set(names)
        for record in self._records.values():
            monitored = record.name in monitored_names
            if monitored and not record.monitored:
                record.contact_at = now
            record.monitored = monitored

    def record_contact(
        self, name: core.VmName, leaving: bool, now: float
    ) -> bool:
        """Record a message from a VM; return whether its state changed."""
        record = self._records.get(name)
        if record is None:
            return False
        record.contact_at = now
        record.suspected_at = None
        record.unreachable_reports.clear()
        if leaving:
            return self._fire(record, 'said_leaving')
        return self._fire(record, 'heard')

    def record_unreachable_report(
        self, reporter: core.VmName, name: core.VmName, now: float
    ) -> bool:
        """Record that ``reporter`` cannot reach the VM ``name``.

        Return whether the VM's state changed.
        """
        record = self._records.get(name)
        if record is None:
            return False
        record.unreachable_reports[reporter] = now
        return self._confirm_gone(record, now)

    def record_stream_loss(self, name: core.VmName, now: float) -> bool:
        """Suspect a VM whose stream broke and cannot be opened again.

        Return whether its state changed.
        """
        record = self._records.get(name)
        if record is None or record.suspected_at is not None:
            return False
        record.suspected_at = now
        return self._fire(record, 'silent')

    def apply_vm_list(
        self,
        names: Iterable[core.VmName],
        leaving: Iterable[core.VmName],
        now: float,
    ) -> bool:
        """Apply the platform's list; return whether a state changed."""
        listed_names = set(names)
        leaving_names = set(leaving)
        changed = False
        for record in self._records.values():
            if record.name in leaving_names:
                changed |= self._fire(record, 'listed_leaving')
            elif record.name not in listed_names:
                changed |= self._fire(record, 'unlisted')
                if record.suspected_at is not None:
                    changed |= self._fire(record, 'confirmed')
        return changed

    def check_timeouts(self, now: float) -> bool:
        """Suspect monitored VMs whose heartbeats have timed out.

        Return whether a state changed.
        """
        changed = False
        for record in self._records.values():
            contact_at = record.contact_at
            if not record.monitored or contact_at is None:
                continue
            if now - contact_at < SUSPECT_AFTER_S:
                continue
            if record.suspected_at is None:
                record.suspected_at = now
            changed |= self._fire(record, 'silent')
            changed |= self._confirm_gone(record, now)
        return changed

    def _confirm_gone(self, record: VmRecord, now: float) -> bool:
        """Mark a VM gone if enough VMs cannot reach it, or for long enough.

        Return whether its state changed.
        """
        valid_reports = [
            reported_at
            for reported_at in record.unreachable_reports.values()
            if now - reported_at <= UNREACHABLE_REPORT_VALID_S
        ]
        own_suspicion_at = record.suspected_at
        enough_vms = (
            len(valid_reports) + (own_suspicion_at is not None)
            >= MIN_CONFIRMING_VM_COUNT
        )
        long_enough = (
            own_suspicion_at is not None
            and now - own_suspicion_at >= CONFIRM_ALONE_AFTER_S
        )
        if not enough_vms and not long_enough:
            return False
        self._fire(record, 'silent')
        return self._fire(record, 'confirmed')

    def _fire(self, record: VmRecord, event: str) -> bool:
        """Fire an event of the chart; return whether the state changed."""
        before = record.state
        self._chart.fire(record, event)
        return record.state is not before
