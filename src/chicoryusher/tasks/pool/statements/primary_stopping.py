"""Stops the use of a primary that is being replaced."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.groups import group_state as group_state_module
from chicoryusher.tasks.pool.groups import group_table as group_table_module
from chicoryusher.tasks.pool.statements import attempts as attempts_module
from chicoryusher.tasks.pool.statements import sessions as sessions_module

__all__ = ['PrimaryStopping', 'StopTimeout']


@dataclasses.dataclass(frozen=True, slots=True)
class StopTimeout(core.Message):
    """The time for running work at a primary that is being stopped is over."""

    revision: int
    service: core.ServiceName


class PrimaryStopping:
    """Stop primaries for the dispatcher once no work is left, or time is over.

    ``sessions`` are the dispatcher's open sessions.
    """

    def __init__(
        self,
        dispatcher: runtime.Task,
        group_table: group_table_module.GroupTable,
        attempts: attempts_module.Attempts,
        sessions: Mapping[core.SessionId, sessions_module.PoolSession],
    ) -> None:
        self._dispatcher = dispatcher
        self._group_table = group_table
        self._attempts = attempts
        self._sessions = sessions

    def begin(self, message: core.StopPrimary) -> None:
        """Use the primary no more for new work."""
        group = self._group_table.groups.get(message.service)
        if group is None:
            self._report_stopped(message)
            return
        group.primary = None
        group.stopping = message
        group.stopped_at = self._dispatcher.now()
        self._dispatcher.after(
            message.grace_period,
            StopTimeout(message.revision, message.service),
        )
        self.stop_if_unused(message.service)

    def stop_if_unused(self, service: core.ServiceName) -> None:
        """Stop the group's primary if that waits and nothing uses it."""
        group = self._group_table.groups.get(service)
        if group is None or group.stopping is None:
            return
        if not self._is_used(group.stopping.primary):
            self._stop(group)

    def end_time(self, timeout: StopTimeout) -> None:
        """Stop the primary whatever still uses it."""
        group = self._group_table.groups.get(timeout.service)
        if group is None or group.stopping is None:
            return
        if group.stopping.revision == timeout.revision:
            self._stop(group)

    def _is_used(self, name: core.InstanceName) -> bool:
        if self._attempts.has_work_at(name):
            return True
        return any(
            session.transaction is not None
            and session.transaction.instance == name
            for session in self._sessions.values()
        )

    def _stop(self, group: group_state_module.PoolGroup) -> None:
        """Close all connections to the primary and fence its running work."""
        stopping = group.stopping
        assert stopping is not None
        group.stopping = None
        self._attempts.fence(stopping.primary)
        if stopping.primary in self._group_table:
            pool_task = self._group_table.pool_task(stopping.primary)
            self._dispatcher.send(pool_task, core.StopInstancePool())
        self._dispatcher.send(
            names.forwarder(self._dispatcher.vm),
            core.StopForwarding(stopping.primary),
        )
        self._report_stopped(stopping)

    def _report_stopped(self, message: core.StopPrimary) -> None:
        self._dispatcher.send(
            names.primary_manager(self._dispatcher.vm),
            core.PrimaryStopped(message.service, message.revision),
        )
