"""What the end of a piece of work shows about its instance and group."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.groups import group_table as group_table_module
from chicoryusher.tasks.pool.statements import selectors
from chicoryusher.tasks.pool.statements import sessions

__all__ = ['AttemptResults']


class AttemptResults:
    """Record positions, run times and lags that results show."""

    def __init__(
        self,
        dispatcher: runtime.Task,
        group_table: group_table_module.GroupTable,
        selector: selectors.Selector,
        clock: core.Clock,
    ) -> None:
        self._dispatcher = dispatcher
        self._group_table = group_table
        self._selector = selector
        self._clock = clock

    def record(
        self,
        attempt: sessions.Attempt,
        ended: core.WorkEnded,
        is_trusted: bool,
    ) -> None:
        """Record the position, run time and lag that the result shows.

        A position of the primary counts only if this VM had a lease on
        it, or evidence (``is_trusted``); it is passed on to the view exchange,
        which sends it to the peers.
        """
        group = self._group_table.groups.get(attempt.route.service)
        if group is None:
            return
        boot_now = self._clock.boottime()
        trusted = (
            attempt.at_primary and is_trusted and not attempt.result_untrusted
        )
        if group.record_position(ended, trusted, boot_now):
            assert (
                ended.position is not None
                and ended.sent_at_boottime is not None
            )
            observed = core.PrimaryPositionObserved(
                group.service, ended.position, ended.sent_at_boottime
            )
            self._dispatcher.send(
                names.view_exchange(self._dispatcher.vm), observed
            )
        pool_instance = group.instances.get(ended.instance)
        if pool_instance is None:
            return
        if ended.sent_at is not None:
            self._dispatcher.meters.record(
                core.Metric.RUN,
                self._dispatcher.now() - ended.sent_at,
                instance=ended.instance,
                ended=ended.completion.value,
            )
        self._selector.record(attempt, group, ended, self._dispatcher.now())
        if ended.refusal is core.Refusal.NOT_FRESH:
            pool_instance.raise_lag_estimate(attempt.position_age, boot_now)
