"""Selection of an instance for a statement, and creation of its work."""

from __future__ import annotations

from collections.abc import Set

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.tasks.pool.groups import group_state as group_state_module
from chicoryusher.tasks.pool.statements import selectors
from chicoryusher.tasks.pool.statements import sessions

__all__ = [
    'START_TARGET_SHARE',
    'begin_kind_of',
    'end_reserve',
    'can_run_elsewhere',
    'latest_start',
    'make_work',
    'read_needs_of',
    'select_instance',
    'wait_ends_at',
]

# Share of the latency target within which work must get a connection.
START_TARGET_SHARE = 0.8
# Share of the latency target for which a statement may wait until a primary
# or another suitable instance is available.  The caller can make better use
# of the remaining time itself.
MAX_WAIT_TARGET_SHARE = 0.2
# Share of the latency target after which a read is retried at another
# instance, and the upper limit of that time in seconds.  The limit is above
# the run time of the longest usual statements (0.5 s).
READ_TIMEOUT_TARGET_SHARE = 0.45
MAX_READ_TIMEOUT_S = 0.6
# A statement with less run time than this left is refused and not sent.
MIN_RUN_TIME_S = 0.05
# The same for one that another VM runs.  Work that has not started is given
# back so long before its time limit, so that its caller hears that it was not
# run: a round trip between regions, a check of the queue there, and
# the run of a statement at an instance that is busy.
FORWARDED_RESERVE_S = 0.2
# Most of a time limit that is reserved so.
MAX_RESERVE_RATIO = 0.25


def read_needs_of(
    attempt: sessions.Attempt, group: group_state_module.PoolGroup
) -> decisions.ReadRequirement:
    """Return the log position that a replica needs to run the statement.

    A write and a statement of a route to the primary have no such position:
    only the primary may run them.
    """
    route = attempt.route
    transaction = attempt.session.transaction
    reads = not attempt.writes
    if transaction is not None:
        reads = transaction.read_only
    if not reads or route.access is core.ReadAccess.PRIMARY:
        return decisions.ReadRequirement(None, 0.0)
    last_write = attempt.session.last_write_position
    return group.read_needs(
        attempt.arrived_at_boottime, route.max_staleness, last_write
    )


def select_instance(
    attempt: sessions.Attempt,
    group: group_state_module.PoolGroup,
    needs: decisions.ReadRequirement,
    authority: bool,
    now: float,
    boot_now: float,
    selector: selectors.Selector,
    out_of_reach: Set[core.InstanceName] = frozenset(),
) -> core.InstanceName | None:
    """Return the best instance, or None if no instance may run the statement.

    Without ``authority`` the primary is not used, and no instance in
    ``out_of_reach``.  ``boot_now`` is the time on the clock that also counts
    time while the machine is suspended.
    """
    primary = _usable_primary(group, authority, now, out_of_reach)
    return selector.choose(
        attempt,
        group,
        _candidates(group, primary, out_of_reach),
        primary,
        needs,
        now,
        boot_now,
    )


def can_run_elsewhere(
    attempt: sessions.Attempt,
    group: group_state_module.PoolGroup,
    authority: bool,
    now: float,
    boot_now: float,
    out_of_reach: Set[core.InstanceName] = frozenset(),
) -> bool:
    """Return whether another instance may run a statement in time."""
    if now >= latest_start(attempt):
        return False
    primary = _usable_primary(group, authority, now, out_of_reach)
    excluded = attempt.excluded
    if attempt.instance is not None:
        excluded |= {attempt.instance}
    name = decisions.choose_instance(
        _candidates(group, primary, out_of_reach),
        primary,
        read_needs_of(attempt, group),
        excluded,
        now,
        boot_now,
    )
    return name is not None


def _usable_primary(
    group: group_state_module.PoolGroup,
    authority: bool,
    now: float,
    out_of_reach: Set[core.InstanceName],
) -> core.InstanceName | None:
    """Return the primary if it may be used and can be reached."""
    primary = group.usable_primary(now) if authority else None
    return None if primary in out_of_reach else primary


def _candidates(
    group: group_state_module.PoolGroup,
    primary: core.InstanceName | None,
    out_of_reach: Set[core.InstanceName],
) -> list[decisions.InstanceLoad]:
    """Return the instances that may be used and can be reached."""
    instances = [
        instance
        for name, instance in group.instances.items()
        if name not in out_of_reach
    ]
    if primary is None and group.primary is not None:
        instances = [
            instance
            for instance in instances
            if instance.entry.name != group.primary
        ]
    return instances


def begin_kind_of(
    transaction: sessions.Transaction | None,
) -> core.TransactionKind | None:
    """Return the kind of transaction to begin first, None for no begin."""
    if transaction is None:
        return None
    if transaction.read_only:
        return core.TransactionKind.READ_ONLY
    return core.TransactionKind.READ_WRITE


def latest_start(attempt: sessions.Attempt) -> float:
    """Return until when the statement may start, on the runtime's clock.

    One that has waited for a change of primary, or for a keeper of its
    team's limit, is better served late.
    """
    route = attempt.route
    if attempt.may_start_late:
        return decisions.latest_start_within_limit(
            attempt.arrived_at, route.statement_timeout
        )
    return attempt.arrived_at + min(
        route.latency_target * START_TARGET_SHARE,
        route.statement_timeout - MIN_RUN_TIME_S,
    )


def wait_ends_at(
    attempt: sessions.Attempt,
    group: group_state_module.PoolGroup | None,
    is_asking: bool,
    now: float,
) -> float:
    """Return until when a statement waits for an instance.

    ``is_asking`` is whether instances are being asked for evidence.
    """
    route = attempt.route
    change = None if group is None else group.announced_change(now)
    if change is not None:
        limit = route.statement_timeout
        attempt.may_start_late = change.waits(attempt.arrived_at, limit)
        return latest_start(attempt) if attempt.may_start_late else now
    is_expected = group is not None and group.expects_primary(now)
    if attempt.was_dispatched or is_expected or is_asking:
        return latest_start(attempt)
    return attempt.arrived_at + route.latency_target * MAX_WAIT_TARGET_SHARE


def end_reserve(attempt: sessions.Attempt) -> float:
    """Return how many seconds before its time limit it must start."""
    if attempt.conn_owner is None:
        return MIN_RUN_TIME_S
    time_limit = attempt.route.statement_timeout
    return min(FORWARDED_RESERVE_S, time_limit * MAX_RESERVE_RATIO)


def _start_deadline(
    attempt: sessions.Attempt, now: float, queue_limit: float
) -> float:
    """Return until when the work may start, on the runtime's clock.

    What waits at another VM for a replica is given back early, so that it
    can still run elsewhere.
    """
    deadline = min(latest_start(attempt), now + queue_limit)
    if attempt.conn_owner is None:
        return deadline
    time_limit = attempt.arrived_at + attempt.route.statement_timeout
    deadline = min(deadline, time_limit - end_reserve(attempt))
    if attempt.at_primary:
        return deadline
    return min(deadline, now + _retryable_timeout(attempt.route))


def _retryable_timeout(route: core.PoolRoute) -> float:
    """Return after how many seconds a read is retried elsewhere."""
    return min(
        route.latency_target * READ_TIMEOUT_TARGET_SHARE, MAX_READ_TIMEOUT_S
    )


def make_work(
    attempt: sessions.Attempt,
    work_id: core.WorkId,
    owner: core.TaskName,
    now: float,
    begin_kind: core.TransactionKind | None,
    min_position: core.Position | None,
    queue_limit: float,
) -> core.Work:
    """Create the work for an instance pool from the statement.

    It waits for a connection for ``queue_limit`` seconds at most.
    ``min_position`` is the log position that a replica must have reached.
    """
    session = attempt.session
    transaction = session.transaction
    route = attempt.route
    return core.Work(
        work_id,
        owner,
        attempt.message.request_id,
        attempt.message.statement,
        attempt.shape,
        tuple(session.values.items()),
        route.priority,
        _start_deadline(attempt, now, queue_limit),
        attempt.arrived_at + route.statement_timeout - now,
        _retryable_timeout(route),
        now,
        None if transaction is None else transaction.transaction_id,
        begin_kind,
        min_position,
        attempt.team,
    )
