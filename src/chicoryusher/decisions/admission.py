"""Whether an instance may run a request, by what its gate has proved."""

from __future__ import annotations

from chicoryusher import core

__all__ = ['is_fresh', 'refusal']

STATE_LIFETIME = 5.0
MAJORITY_GRACE = 1.0
_REASON = core.MoveReason


def is_fresh(
    state: core.GroupState | None, submit: core.Submit, now: float
) -> bool:
    """Tell whether the instance is proved as fresh as asked for."""
    if state is None:
        return False
    after = submit.after
    if after is not None and not core.covers(
        state.own.applied, after, state.starts
    ):
        return False
    age = now - state.observed_at
    return state.lag + age <= submit.max_staleness


def refusal(
    state: core.GroupState | None,
    instance: core.InstanceName,
    submit: core.Submit,
    majority_at: float,
    now: float,
) -> core.MoveReason | None:
    """Return why the instance may not run a request, None if it may."""
    if state is None or not state.own.alive:
        return _REASON.DOWN
    if now - state.observed_at > STATE_LIFETIME:
        return _REASON.DOWN
    if submit.role is core.Role.PRIMARY:
        return _primary_refusal(state, instance, majority_at, now)
    if state.own.leaving:
        return _REASON.LEAVING
    if not submit.patience and not is_fresh(state, submit, now):
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
    if now - majority_at > MAJORITY_GRACE:
        return _REASON.NO_PRIMARY
    return None
