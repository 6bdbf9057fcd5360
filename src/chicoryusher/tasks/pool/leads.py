"""Who leads each group, as far as this VM knows."""

from __future__ import annotations

from collections.abc import Iterable

from chicoryusher import core

__all__ = ['Leads']

_NOBODY = core.InstanceName('')


class Leads:
    """Lead rows by their newest revision, and what reopened them."""

    def __init__(self) -> None:
        self._rows: dict[core.ServiceName, core.LeadRow] = {}
        self._reopened: dict[core.ServiceName, core.Reopened] = {}
        self._stopping: dict[core.ServiceName, int] = {}

    def take(self, row: core.LeadRow) -> bool:
        """Keep a row unless a newer one is known; tell whether kept."""
        known = self._rows.get(row.service)
        if known is not None and known.revision >= row.revision:
            return False
        self._rows[row.service] = row
        return True

    def rows(self) -> tuple[core.LeadRow, ...]:
        """Return every row."""
        return tuple(self._rows.values())

    def revision(self, service: core.ServiceName) -> int:
        """Return the revision of a group's row, 0 without one."""
        row = self._rows.get(service)
        return 0 if row is None else row.revision

    def last(self, service: core.ServiceName) -> core.InstanceName:
        """Return the primary that the group's row names, or no name."""
        row = self._rows.get(service)
        return _NOBODY if row is None else row.primary

    def holder(self, service: core.ServiceName) -> core.VmName | None:
        """Return the VM that wrote the group's row, None without one."""
        row = self._rows.get(service)
        return None if row is None else row.holder

    def reopen(self, message: core.Reopened) -> bool:
        """Take the end of a change; tell whether it ends the known one."""
        service = message.row.service
        if self.revision(service) > message.closing:
            return False
        self._reopened[service] = message
        return True

    def is_closing(self, service: core.ServiceName) -> bool:
        """Tell whether a change of the group's primary is under way."""
        row = self._rows.get(service)
        if row is None or row.state is core.LeadRowState.OPEN:
            return False
        reopened = self._reopened.get(service)
        return reopened is None or reopened.closing != row.revision

    def primary(
        self,
        service: core.ServiceName,
        entries: Iterable[core.InstanceEntry],
    ) -> core.InstanceName | None:
        """Return the primary that may be used, None without one."""
        row = self._rows.get(service)
        if row is None:
            return _says_so(entries)
        if row.state is core.LeadRowState.OPEN:
            return row.primary
        if self.is_closing(service):
            return None
        return self._reopened[service].row.primary

    def stopping(self, service: core.ServiceName, revision: int) -> None:
        """Note that the desk has been told to stop."""
        self._stopping[service] = revision

    def stopped(self, service: core.ServiceName, revision: int) -> None:
        """Note that the desk has stopped."""
        if self._stopping.get(service) == revision:
            del self._stopping[service]

    def is_stopping(self, service: core.ServiceName) -> bool:
        """Tell whether the desk may still use an old primary."""
        return service in self._stopping


def _says_so(
    entries: Iterable[core.InstanceEntry],
) -> core.InstanceName | None:
    """Return the one instance that calls itself the primary."""
    named = [one.name for one in entries if one.role is core.Role.PRIMARY]
    return named[0] if len(named) == 1 else None
