"""Leader table: the primary of each group, as this VM knows it."""

from __future__ import annotations

from collections.abc import Iterable

from chicoryusher import core
from chicoryusher import decisions

__all__ = ['LeaderTable']

_NO_INSTANCE = core.InstanceName('')


class LeaderTable:
    """The newest leader row of each group, and pending stops.

    A ``PrimaryReopened`` message from a VM that ends a change of primary
    makes the new primary usable before the open row arrives from the store.

    ``era`` is the newest era of the store that is known, 0 before the first
    read.  A row is unconfirmed if the store lacks it in that era, or has only
    a row of an earlier one.  ``digest`` identifies the rows.
    """

    def __init__(self) -> None:
        self._rows: dict[core.ServiceName, core.LeaderRow] = {}
        self._reopened: dict[core.ServiceName, core.PrimaryReopened] = {}
        self._stopping: dict[core.ServiceName, int] = {}
        self._closed_at: dict[core.ServiceName, float] = {}
        # The row that the store has from an earlier era, None if it has none.
        self._unconfirmed: dict[core.ServiceName, core.LeaderRow | None] = {}
        self.era = core.StoreEra(0)
        self.digest = decisions.digest_of_leaders(())

    def apply(
        self, message: core.LeaderRowsRead
    ) -> tuple[core.LeaderRow, ...]:
        """Store the rows that are newer; return them.

        A row that the store has from an earlier era is not stored: it may
        have been written by a VM that did not know of the present era, and its
        version, which the store has given out again, says nothing.
        """
        if message.era:
            self.era = max(self.era, message.era)
        newer = tuple(
            row
            for row in message.rows
            if core.era_of(row.revision) >= message.era
            and self.add_if_newer(row)
        )
        if message.era and message.era == self.era:
            self._record_unconfirmed(message)
        return newer

    def _record_unconfirmed(self, message: core.LeaderRowsRead) -> None:
        """Record the rows that the store has not from its present era."""
        stored = {row.service: row for row in message.rows}
        services = set(stored)
        if message.complete:
            services.update(self._rows)
        for service in services:
            if core.era_of(self.revision(service)) < self.era or (
                service not in self._rows
            ):
                self._unconfirmed[service] = stored.get(service)

    def unconfirmed(self) -> tuple[core.ServiceName, ...]:
        """Return the groups whose row is unconfirmed."""
        return tuple(self._unconfirmed)

    def add_if_newer(self, row: core.LeaderRow) -> bool:
        """Store a row if it is newer; return whether it was stored."""
        stored = self._rows.get(row.service)
        if stored is not None and stored.revision >= row.revision:
            return False
        self._rows[row.service] = row
        self.digest = decisions.digest_of_leaders(self._rows.values())
        if core.era_of(row.revision) >= self.era:
            self._unconfirmed.pop(row.service, None)
        return True

    def rows(self) -> tuple[core.LeaderRow, ...]:
        """Return the newest row of every group."""
        return tuple(self._rows.values())

    def revision(self, service: core.ServiceName) -> int:
        """Return the revision of a group's row, 0 if there is no row."""
        row = self._rows.get(service)
        return 0 if row is None else row.revision

    def expected_revision(self, service: core.ServiceName) -> int:
        """Return the revision that a write of a group's row must expect.

        It is of the newest era: an unconfirmed row has in the store the
        version that it had before, or does not exist there.
        """
        version = core.version_of(self.revision(service))
        if service in self._unconfirmed:
            row = self._unconfirmed[service]
            version = 0 if row is None else core.version_of(row.revision)
        era = max(self.era, core.era_of(self.revision(service)))
        return core.revision_in(era, version)

    def note_missing(
        self, service: core.ServiceName, era: core.StoreEra
    ) -> None:
        """Record that the store has no row of a group in an era."""
        self.era = max(self.era, era)
        if not self.is_confirmed(service):
            self._unconfirmed[service] = None

    def is_confirmed(self, service: core.ServiceName) -> bool:
        """Return whether a group has no row that may be lost."""
        if service in self._unconfirmed:
            return False
        row = self._rows.get(service)
        return row is None or core.era_of(row.revision) >= self.era

    def row_to_confirm(
        self, service: core.ServiceName
    ) -> core.LeaderRow | None:
        """Return the known row to write again, None if it is doubtful.

        That is so if no row is known, the group is closing, or the store has
        a row that is not older, and not the same.
        """
        row = self._rows.get(service)
        stored = self._unconfirmed[service]
        if row is None or self.is_closing(service):
            return None
        is_older = stored is None or stored.revision < row.revision
        if not is_older and stored != row:
            return None
        if row.state is core.LeaderRowState.OPEN:
            return row
        return self._reopened[service].row

    def unused_row(self, service: core.ServiceName) -> core.LeaderRow | None:
        """Return the newest row of a group that has no instances."""
        return self._rows.get(service) or self._unconfirmed[service]

    def last_primary(self, service: core.ServiceName) -> core.InstanceName:
        """Return the primary in the group's row, '' without a row."""
        row = self._rows.get(service)
        return _NO_INSTANCE if row is None else row.primary

    def coordinator(self, service: core.ServiceName) -> core.VmName | None:
        """Return the VM that wrote the group's row, None without a row.

        For a closing row this is the coordinator of the change.
        """
        row = self._rows.get(service)
        return None if row is None else row.coordinator

    def apply_reopened(self, message: core.PrimaryReopened) -> bool:
        """Store the end of a change, unless it is of an older change.

        Return whether it was stored.
        """
        service = message.row.service
        if self.revision(service) > message.closing_revision:
            return False
        self._reopened[service] = message
        return True

    def is_closing(self, service: core.ServiceName) -> bool:
        """Return whether a change of the group's primary is in progress."""
        row = self._rows.get(service)
        if row is None or row.state is core.LeaderRowState.OPEN:
            return False
        reopened = self._reopened.get(service)
        return reopened is None or reopened.closing_revision != row.revision

    def primary(
        self,
        service: core.ServiceName,
        entries: Iterable[core.InstanceEntry],
    ) -> core.InstanceName | None:
        """Return the primary that may be used, None if there is none.

        Before the first leader row, this is the instance that registered
        as primary.
        """
        row = self._rows.get(service)
        if row is None:
            return _registered_primary(entries)
        if row.state is core.LeaderRowState.OPEN:
            return row.primary
        if self.is_closing(service):
            return None
        return self._reopened[service].row.primary

    def record_closings(self, now: float) -> None:
        """Record since when, on the boot-time clock, groups are closing."""
        for service, row in self._rows.items():
            if row.state is core.LeaderRowState.OPEN:
                self._closed_at.pop(service, None)
            else:
                self._closed_at.setdefault(service, now)

    def closed_for(self, service: core.ServiceName, now: float) -> float:
        """Return for how long a group has been closing, in seconds."""
        return now - self._closed_at.get(service, now)

    def stop_requested(self, service: core.ServiceName, revision: int) -> None:
        """Record that the dispatcher was asked to stop using a primary."""
        self._stopping[service] = revision

    def stopped(self, service: core.ServiceName, revision: int) -> None:
        """Record that the dispatcher has stopped using it."""
        if self._stopping.get(service) == revision:
            del self._stopping[service]

    def is_stopping(self, service: core.ServiceName) -> bool:
        """Return whether the dispatcher may still use an old primary."""
        return service in self._stopping


def _registered_primary(
    entries: Iterable[core.InstanceEntry],
) -> core.InstanceName | None:
    """Return the only instance registered as primary, None otherwise."""
    primaries = [
        entry.name for entry in entries if entry.role is core.Role.PRIMARY
    ]
    return primaries[0] if len(primaries) == 1 else None
