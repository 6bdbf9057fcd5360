"""Which instance a statement goes to, and the work that is made of it."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.tasks.pool import groups as groups_module
from chicoryusher.tasks.pool import sessions

__all__ = ['START', 'begins_of', 'choose', 'needs_of', 'work_of']

# Part of the latency target by which work must have a connection.
START = 0.8
# Part of the latency target after which a read is run elsewhere, and the
# most seconds that this takes: over the longest usual work (0.5 s).
READ_PATIENCE = 0.45
MAX_READ_PATIENCE = 0.6


def needs_of(
    attempt: sessions.Attempt, group: groups_module.PoolGroup
) -> decisions.ReadNeeds:
    """Return what the statement must see; primary only if it can't."""
    route = attempt.route
    transaction = attempt.session.transaction
    reads = not attempt.writes
    if transaction is not None:
        reads = transaction.read_only
    if not reads or route.access is core.Access.PRIMARY:
        return decisions.ReadNeeds(None, 0.0)
    own = attempt.session.wrote_at
    return group.needs(attempt.arrived_on, route.max_staleness, own)


def choose(
    attempt: sessions.Attempt,
    group: groups_module.PoolGroup,
    needs: decisions.ReadNeeds,
    authority: bool,
    now: float,
    now_on: float,
) -> core.InstanceName | None:
    """Return the best instance, None if none may run the statement.

    Without ``authority`` the primary is not used.
    """
    primary = group.usable_primary(now) if authority else None
    instances = list(group.instances.values())
    if primary is None and group.primary is not None:
        instances = [
            one for one in instances if one.entry.name != group.primary
        ]
    return decisions.choose_reader(
        instances, primary, needs, attempt.refused, now, now_on
    )


def begins_of(
    transaction: sessions.Transaction | None,
) -> core.Begins | None:
    """Return the kind of transaction that is begun first, if any."""
    if transaction is None:
        return None
    if transaction.read_only:
        return core.Begins.READ_ONLY
    return core.Begins.READ_WRITE


def work_of(
    attempt: sessions.Attempt,
    work_id: core.WorkId,
    owner: core.TaskName,
    now: float,
    begins: core.Begins | None,
    after: core.Position | None,
) -> core.Work:
    """Return the statement as work for a lane."""
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
        attempt.arrived + route.target * START,
        attempt.arrived + route.limit - now,
        min(route.target * READ_PATIENCE, MAX_READ_PATIENCE),
        now,
        None if transaction is None else transaction.number,
        begins,
        after,
    )
