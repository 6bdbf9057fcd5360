"""Which VMs live: the platform's list and what is seen directly.

The list lags, so silence alone only makes a VM suspected.  It is gone
once another VM misses it too, or the list no longer has it.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from chicoryusher import charts
from chicoryusher import core

__all__ = ['Membership', 'VmRecord']

SILENT_AFTER = 1.0
CONFIRM_AFTER = 3.0
WITNESSES = 2
WITNESS_LIFETIME = 3.0


@dataclasses.dataclass(slots=True)
class VmRecord:
    """What is known of one VM; lives by the chart ``vm``."""

    name: core.VmName
    state: core.VmState = core.VmState.LIVE
    heard_at: float | None = None
    suspected_at: float | None = None
    watched: bool = False
    witnesses: dict[core.VmName, float] = dataclasses.field(
        default_factory=dict
    )


class Membership:
    """The judgement of one VM about all others."""

    def __init__(self, own: core.VmName) -> None:
        self._own = own
        self._chart = charts.compiled('vm')
        self._records: dict[core.VmName, VmRecord] = {}

    def records(self) -> tuple[VmRecord, ...]:
        """Return every record in name order."""
        return tuple(self._records[name] for name in sorted(self._records))

    def live(self) -> tuple[core.VmName, ...]:
        """Return the VMs that may be gates: live or only suspected."""
        keeps = (core.VmState.LIVE, core.VmState.SUSPECTED)
        names = {
            one.name for one in self._records.values() if one.state in keeps
        }
        return tuple(sorted(names | {self._own}))

    def suspected(self) -> tuple[core.VmName, ...]:
        """Return the VMs that this VM itself misses."""
        return tuple(
            one.name
            for one in self._records.values()
            if one.suspected_at is not None
        )

    def configured(self, names: Iterable[core.VmName], now: float) -> None:
        """Follow the VMs of a configuration."""
        wanted = set(names) - {self._own}
        for name in wanted - set(self._records):
            self._records[name] = VmRecord(name)
        for gone in set(self._records) - wanted:
            del self._records[gone]

    def watch(self, names: Iterable[core.VmName], now: float) -> None:
        """Set which VMs this one expects heartbeats from."""
        wanted = set(names)
        for record in self._records.values():
            watched = record.name in wanted
            if watched and not record.watched:
                record.heard_at = now
            record.watched = watched

    def heard(self, name: core.VmName, leaving: bool, now: float) -> bool:
        """Note a direct sign of life; return whether a state changed."""
        record = self._records.get(name)
        if record is None:
            return False
        record.heard_at = now
        record.suspected_at = None
        record.witnesses.clear()
        if leaving:
            return self._fire(record, 'said_leaving')
        return self._fire(record, 'heard')

    def witnessed(
        self, witness: core.VmName, name: core.VmName, now: float
    ) -> bool:
        """Note that another VM misses ``name``."""
        record = self._records.get(name)
        if record is None:
            return False
        record.witnesses[witness] = now
        return self._confirm(record, now)

    def lost_stream(self, name: core.VmName, now: float) -> bool:
        """Note that a VM's stream broke and cannot be opened again."""
        record = self._records.get(name)
        if record is None or record.suspected_at is not None:
            return False
        record.suspected_at = now
        return self._fire(record, 'silent')

    def listed(
        self,
        names: Iterable[core.VmName],
        leaving: Iterable[core.VmName],
        now: float,
    ) -> bool:
        """Take in the platform's list; return whether a state changed."""
        present = set(names)
        going = set(leaving)
        changed = False
        for record in self._records.values():
            if record.name in going:
                changed |= self._fire(record, 'listed_leaving')
            elif record.name not in present:
                changed |= self._fire(record, 'unlisted')
                if record.suspected_at is not None:
                    changed |= self._fire(record, 'confirmed')
        return changed

    def tick(self, now: float) -> bool:
        """Judge silence; return whether a state changed."""
        changed = False
        for record in self._records.values():
            heard_at = record.heard_at
            if not record.watched or heard_at is None:
                continue
            if now - heard_at < SILENT_AFTER:
                continue
            if record.suspected_at is None:
                record.suspected_at = now
            changed |= self._fire(record, 'silent')
            changed |= self._confirm(record, now)
        return changed

    def _confirm(self, record: VmRecord, now: float) -> bool:
        fresh = [
            at
            for at in record.witnesses.values()
            if now - at <= WITNESS_LIFETIME
        ]
        own = record.suspected_at
        enough = len(fresh) + (own is not None) >= WITNESSES
        alone = own is not None and now - own >= CONFIRM_AFTER
        if not enough and not alone:
            return False
        self._fire(record, 'silent')
        return self._fire(record, 'confirmed')

    def _fire(self, record: VmRecord, event: str) -> bool:
        before = record.state
        self._chart.fire(record, event)
        return record.state is not before
