"""Whether an instance may run a request, by its gate's own probes."""

from __future__ import annotations

from chicoryusher import core

__all__ = ['is_fresh_enough', 'refusal_reason']

# Seconds after which the state of a group is too old to admit requests.
MAX_STATE_AGE_S = 5.0
# Seconds for which a primary is used after a majority was last seen.
MAJORITY_GRACE_S = 1.0
_REASON = core.MoveReason


def is_fresh_enough(
    state: core.GroupState | None, submit: core.Submit, now: float
) -> bool:
    """Return whether the instance is proved fresh enough for a request.

    It must have applied the position that the request asks for, and its
    proved staleness must be within the request's bound.
    """
    if state is None:
        return False
    after = submit.min_position
    if after is not None and not core.log_contains(
        state.own_probe.applied, after, state.term_starts
    ):
        return False
    age = now - state.observed_at
    return state.staleness + age <= submit.max_staleness


def refusal_reason(
    state: core.GroupState | None,
    instance: core.InstanceName,
    submit: core.Submit,
    majority_at: float,
    now: float,
) -> core.MoveReason | None:
    """Return why the instance may not run a request, None if it may.

    ``majority_at`` is when a majority was last seen in the term.
    """
    if state is None or not state.own_probe.alive:
        return _REASON.DOWN
    if now - state.observed_at > MAX_STATE_AGE_S:
        return _REASON.DOWN
    if submit.role is core.Role.PRIMARY:
        return _primary_refusal(state, instance, majority_at, now)
    if state.own_probe.leaving:
        return _REASON.LEAVING
    if not submit.catch_up_timeout and not is_fresh_enough(state, submit, now):
        return _REASON.NOT_FRESH
    return None


def _primary_refusal(
    state: core.GroupState,
    instance: core.InstanceName,
    majority_at: float,
    now: float,
) -> core.MoveReason | None:
    if state.primary is None:
        return _REASON.NO_PRIMARY
    if state.primary != instance:
        return _REASON.NOT_PRIMARY
    if now - majority_at > MAJORITY_GRACE_S:
        return _REASON.NO_PRIMARY
    return None
