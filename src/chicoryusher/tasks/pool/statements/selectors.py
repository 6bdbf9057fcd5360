"""Choice of an instance for a read, registered by policy.

A selector also learns from the results of the work that it has placed.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks.pool.groups import group_state
from chicoryusher.tasks.pool.groups import group_table as group_table_module
from chicoryusher.tasks.pool.statements import sessions

__all__ = ['SELECTORS', 'Selector']

# Seconds from which a read that was given up counts as slow, not as failed.
GIVEN_UP_S = 0.2
# Share of the latency target for which a read waits for a replica.
QUEUE_TARGET_SHARE = 0.4
# Refusals of a statement that the instance has run.
_RAN = (core.Refusal.FAILED, core.Refusal.TIMEOUT)


class Selector(Protocol):
    """Chooses instances for the statements of one VM."""

    def choose(
        self,
        attempt: sessions.Attempt,
        group: group_state.PoolGroup,
        instances: list[decisions.InstanceLoad],
        primary: core.InstanceName | None,
        needs: decisions.ReadRequirement,
        now: float,
        boot_now: float,
    ) -> core.InstanceName | None:
        """Return the instance to run a statement, or None.

        ``primary`` is None if the primary may not be used.  ``boot_now`` is
        the time on the clock that also counts suspended time.
        """

    def record(
        self,
        attempt: sessions.Attempt,
        group: group_state.PoolGroup,
        ended: core.WorkEnded,
        now: float,
    ) -> None:
        """Learn from the result of a piece of work."""

    def may_repeat(
        self, attempt: sessions.Attempt, ended: core.WorkEnded
    ) -> bool:
        """Return whether a statement that failed may run once more."""

    def queue_limit(self, attempt: sessions.Attempt) -> float:
        """Return how many seconds a statement may wait for a connection.

        It may not wait beyond its latest start in any case.
        """


SELECTORS: core.Registry[
    Callable[[runtime.Task, group_table_module.GroupTable], Selector]
] = core.Registry('selector')


@SELECTORS.register(core.LoadPolicy.PLAIN)
class PlainSelector:
    """Chooses by this VM's own traffic."""

    def __init__(
        self,
        dispatcher: runtime.Task,
        group_table: group_table_module.GroupTable,
    ) -> None:
        """Ignore the owner: nothing is logged."""

    def choose(
        self,
        attempt: sessions.Attempt,
        group: group_state.PoolGroup,
        instances: list[decisions.InstanceLoad],
        primary: core.InstanceName | None,
        needs: decisions.ReadRequirement,
        now: float,
        boot_now: float,
    ) -> core.InstanceName | None:
        """Return the instance with the least expected time."""
        return decisions.choose_instance(
            instances, primary, needs, attempt.excluded, now, boot_now
        )

    def record(
        self,
        attempt: sessions.Attempt,
        group: group_state.PoolGroup,
        ended: core.WorkEnded,
        now: float,
    ) -> None:
        """Record the time of a statement that was answered."""
        load = group.instances.get(ended.instance)
        if load is None or ended.sent_at is None:
            return
        if ended.completion is core.Completion.ANSWERED:
            load.record_service_time(now - ended.sent_at)

    def may_repeat(
        self, attempt: sessions.Attempt, ended: core.WorkEnded
    ) -> bool:
        """Return False: the caller gets the error."""
        return False

    def queue_limit(self, attempt: sessions.Attempt) -> float:
        """Return no limit."""
        return float('inf')


@SELECTORS.register(core.LoadPolicy.PACED)
class PacedSelector:
    """Chooses by the waits that owners report, and ejects outliers."""

    def __init__(
        self,
        dispatcher: runtime.Task,
        group_table: group_table_module.GroupTable,
    ) -> None:
        self._dispatcher = dispatcher
        self._group_table = group_table
        # VMs draw differently, and each in the same way when it is replayed.
        self._random = random.Random(str(dispatcher.vm))

    def choose(
        self,
        attempt: sessions.Attempt,
        group: group_state.PoolGroup,
        instances: list[decisions.InstanceLoad],
        primary: core.InstanceName | None,
        needs: decisions.ReadRequirement,
        now: float,
        boot_now: float,
    ) -> core.InstanceName | None:
        """Return the instance with the least expected time and wait.

        The first try of a read outside of transactions may test an instance
        that was ejected: it can run again elsewhere.
        """
        may_try = _is_plain_read(attempt) and attempt.try_count == 0
        choice = decisions.PacedChoice(
            needs,
            attempt.excluded,
            attempt.team,
            self._random.random(),
            may_try,
        )
        return decisions.choose_paced_instance(
            instances, primary, choice, group.outliers, now, boot_now
        )

    def record(
        self,
        attempt: sessions.Attempt,
        group: group_state.PoolGroup,
        ended: core.WorkEnded,
        now: float,
    ) -> None:
        """Record the wait, the time and the outcome of a statement.

        Refusals and errors come fast; their time says nothing.
        """
        load = group.instances.get(ended.instance)
        if load is None:
            return
        if ended.expected_wait is not None:
            load.record_wait(attempt.team, ended.expected_wait, now)
        if ended.sent_at is None:
            return
        seconds = now - ended.sent_at
        answered = ended.completion is core.Completion.ANSWERED
        if answered and ended.refusal is None or seconds >= GIVEN_UP_S:
            load.record_service_time(seconds)
            load.served_at = now
        if _is_plain_read(attempt):
            self._record_read(attempt, group, ended, now)

    def _record_read(
        self,
        attempt: sessions.Attempt,
        group: group_state.PoolGroup,
        ended: core.WorkEnded,
        now: float,
    ) -> None:
        """Compare the instance with its peers, and eject or readmit it."""
        failed = _has_failed(attempt, ended)
        if failed is None:
            return
        outliers = group.outliers
        replicas = {
            name
            for name, load in group.instances.items()
            if name != group.primary and not load.entry.leaving
        }
        if outliers.record(
            ended.instance, failed, ended.run_time, replicas, now
        ):
            self._report(ended.instance, outliers.standing(ended.instance))

    def may_repeat(
        self, attempt: sessions.Attempt, ended: core.WorkEnded
    ) -> bool:
        """Return whether it is a read that has failed only once."""
        failed = ended.refusal is core.Refusal.FAILED
        return failed and not attempt.was_failed and _is_plain_read(attempt)

    def queue_limit(self, attempt: sessions.Attempt) -> float:
        """Return a part of the target for the first try of a read.

        So a read that waited in vain at a replica has time left for another
        instance.  There it waits as long as it can: where all are full,
        going on would only bring the reads of replicas to the primary.
        """
        first = attempt.try_count <= 1 and not attempt.at_primary
        if not first or not _is_plain_read(attempt):
            return float('inf')
        return attempt.route.latency_target * QUEUE_TARGET_SHARE

    def _report(
        self, name: core.InstanceName, standing: core.Standing
    ) -> None:
        is_ejected = standing is not core.Standing.SERVING
        event = core.LogEvent.INSTANCE_READMITTED
        if is_ejected:
            event = core.LogEvent.INSTANCE_EJECTED
            self._group_table.restart_pace(name, 'the instance was ejected')
        self._dispatcher.log.emit(event, instance=name)
        self._dispatcher.meters.show(
            core.Metric.EJECTED, float(is_ejected), instance=name
        )


def _is_plain_read(attempt: sessions.Attempt) -> bool:
    """Return whether a statement is a read outside of transactions."""
    return not attempt.writes and attempt.session.transaction is None


def _has_failed(
    attempt: sessions.Attempt, ended: core.WorkEnded
) -> bool | None:
    """Return whether the instance failed, None if the result doesn't say.

    Work that was lost with its connection owner says nothing of the instance;
    neither does a refusal of work that was not run.
    """
    if ended.completion is core.Completion.ANSWERED:
        if ended.refusal is None:
            return False
        return True if ended.refusal in _RAN else None
    if attempt.conn_owner is not None and ended.expected_wait is None:
        return None
    return ended.run_time is None or ended.run_time < GIVEN_UP_S
