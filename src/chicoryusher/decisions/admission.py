"""Whether an instance may run a request, by its gate's own probes."""

from __future__ import annotations

from chicoryusher import core

__all__ = ['InstanceAdmission', 'is_fresh_enough', 'refusal_reason']

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


class InstanceAdmission:
    """Which requests an instance may run, by the last state of its group.

    ``group_state`` is None before the first probe.
    """

    def __init__(self, instance: core.InstanceName, now: float) -> None:
        self._instance = instance
        self._majority_at = now
        self.group_state: core.GroupState | None = None

    def apply(self, state: core.GroupState, now: float) -> bool:
        """Store the group's state.

        Return whether requests that were admitted must be checked again.
        """
        before, self.group_state = self.group_state, state
        if state.has_majority:
            self._majority_at = now
        return before is None or _admission_state(before) != _admission_state(
            state
        )

    @property
    def is_leaving(self) -> bool:
        """Return whether the instance is about to stop."""
        state = self.group_state
        return state is not None and state.own_probe.leaving

    def refusal_reason(
        self, submit: core.Submit, now: float
    ) -> core.MoveReason | None:
        """Return why the instance may not run a request, None if it may."""
        return refusal_reason(
            self.group_state, self._instance, submit, self._majority_at, now
        )

    def is_proved_fresh(self, submit: core.Submit, now: float) -> bool:
        """Return whether the instance is proved fresh enough."""
        return is_fresh_enough(self.group_state, submit, now)

    def read_position(self) -> core.Position:
        """Return the position that stands for a read in a proof.

        A read has no position; offset 0 of the present term marks it.
        """
        state = self.group_state
        term = state.term if state is not None else core.Term(0)
        return core.Position(term, core.LogPosition(0))


def _admission_state(
    state: core.GroupState,
) -> tuple[core.InstanceName | None, core.Term, bool, bool]:
    """Return what decides which requests the instance may run."""
    own = state.own_probe
    return state.primary, state.term, own.alive, own.leaving
