"""Which instance of a group serves a read."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from chicoryusher import core

__all__ = ['InstanceLoad', 'ReadRequirement', 'choose_instance']

# Expected seconds of a statement before an instance has run any; the
# middle of the statement times that users have stated (7 to 47 ms).
INITIAL_SERVICE_TIME_S = 0.02
# Weight of a new sample in the moving average of the service time.
SERVICE_TIME_SAMPLE_RATIO = 0.15
# Weight of the primary's expected time in the comparison with a replica's.
# The primary is spared, because only it can serve writes, and it has no
# more slots than each of the two replicas.
PRIMARY_COST_RATIO = 2.0
# Seconds added to a replica's expected lag before it is compared with the
# age of the position that a read needs.
LAG_MARGIN_S = 0.02
# Seconds added to a lag estimate that has proved too low.
LAG_INCREMENT_S = 0.1
# Half-life in seconds of a lag estimate.  While a replica's estimate keeps
# reads away, nothing updates it, so it decays until reads are sent there
# again.
LAG_HALF_LIFE_S = 1.0
# Seconds for which an instance that did not respond, or that broke a
# connection, has a penalty; also the seconds that the penalty adds to its
# cost.  It gets new reads only if the others cost more or are unsuitable.
FAILURE_PENALTY_S = 0.5
# Half-life in seconds of a learned service time, where it is aged.  While a
# long one keeps statements away, nothing updates it.
SERVICE_TIME_HALF_LIFE_S = 2.0
# Half-life in seconds of a reported wait for a connection.
WAIT_HALF_LIFE_S = 0.25
# Statements that an instance runs at once for one VM before they queue.
PARALLEL_STATEMENT_COUNT = 2.0


class InstanceLoad:
    """Load and lag of an instance, learned from one VM's own traffic.

    ``round_trip_s`` is the round trip to the instance in seconds.
    """

    def __init__(self, entry: core.InstanceEntry, distance: float) -> None:
        self.entry = entry
        self.round_trip_s = distance
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self.served_at: float | None = None
        self.outstanding_count = 0
        self.applied_position: core.Position | None = None
        self.lag = 0.0
        self.lag_estimated_at = 0.0
        self.penalty_until = 0.0
        # For each team the wait that was last reported, and when.
        self._waits: dict[core.TeamName | None, tuple[float, float]] = {}

    def record_service_time(self, seconds: float) -> None:
        """Update the service time with the time of one statement."""
        self.service_time_s += SERVICE_TIME_SAMPLE_RATIO * (
            seconds - self.service_time_s
        )

    def expected_service_time(self, now: float) -> float:
        """Return the service time, which decays with its age.

        So an instance that was slow is tried again in the end.  ``served_at``
        is when the time was learned.
        """
        if self.served_at is None:
            return self.service_time_s
        age = now - self.served_at
        return self.service_time_s * 0.5 ** (age / SERVICE_TIME_HALF_LIFE_S)

    def record_wait(
        self, team: core.TeamName | None, seconds: float, now: float
    ) -> None:
        """Record the wait that a connection owner reports for a team."""
        self._waits[team] = (seconds, now)

    def expected_wait(self, team: core.TeamName | None, now: float) -> float:
        """Return the wait for a connection in seconds, 0 if not known.

        It decays with the age of the report.
        """
        seconds, reported_at = self._waits.get(team, (0.0, now))
        age = now - reported_at
        return seconds * 0.5 ** (age / WAIT_HALF_LIFE_S)

    def penalize(self, now: float) -> None:
        """Start the penalty after the instance failed to respond."""
        self.penalty_until = now + FAILURE_PENALTY_S

    def raise_lag_estimate(self, age: float, now: float) -> None:
        """Raise the lag estimate after a refused read.

        The instance's log did not have a position at which the primary
        had been ``age`` seconds before.
        """
        self.lag = max(self.expected_lag(now), age) + LAG_INCREMENT_S
        self.lag_estimated_at = now

    def expected_lag(self, now: float) -> float:
        """Return the estimated lag in seconds, which decays with age."""
        return self.lag * 0.5 ** (
            (now - self.lag_estimated_at) / LAG_HALF_LIFE_S
        )

    def cost(self, service_time: float | None = None) -> float:
        """Return the expected seconds until one more statement is done.

        ``service_time`` replaces the learned one.
        """
        if service_time is None:
            service_time = self.service_time_s
        rounds = 1.0 + self.outstanding_count / PARALLEL_STATEMENT_COUNT
        return self.round_trip_s + service_time * rounds


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequirement:
    """How current an instance must be to serve a read.

    ``min_position`` is the position that its log must contain; None means that
    only the primary may serve.  ``position_age`` is how many seconds ago the
    primary was seen at that position.
    """

    min_position: core.Position | None
    position_age: float


def choose_instance(
    instances: Iterable[InstanceLoad],
    primary: core.InstanceName | None,
    needs: ReadRequirement,
    excluded: frozenset[core.InstanceName],
    now: float,
    boottime: float,
) -> core.InstanceName | None:
    """Return the suitable instance with the least expected cost, or None.

    Instances that are leaving are not chosen, except the primary.  A
    caller that must not use the primary passes None for ``primary``.

    ``boottime`` is the time on the clock that also counts suspended time;
    lag estimates are timed by it.
    """
    best: core.InstanceName | None = None
    best_cost = float('inf')
    for instance in instances:
        name = instance.entry.name
        if not is_suitable(instance, primary, needs, excluded, boottime):
            continue
        cost = instance.cost()
        if name == primary:
            cost *= PRIMARY_COST_RATIO
        if now < instance.penalty_until:
            cost += FAILURE_PENALTY_S
        if cost < best_cost:
            best, best_cost = name, cost
    return best


def is_suitable(
    instance: InstanceLoad,
    primary: core.InstanceName | None,
    needs: ReadRequirement,
    excluded: frozenset[core.InstanceName],
    boottime: float,
) -> bool:
    """Return whether an instance may be sent a read; see above."""
    name = instance.entry.name
    if name in excluded:
        return False
    if name == primary:
        return True
    if instance.entry.leaving:
        return False
    return _is_probably_fresh(instance, needs, boottime)


def _is_probably_fresh(
    instance: InstanceLoad, needs: ReadRequirement, boottime: float
) -> bool:
    """Return whether a replica is expected to have the needed position."""
    if needs.min_position is None:
        return False
    if (
        instance.applied_position is not None
        and instance.applied_position >= needs.min_position
    ):
        return True
    return needs.position_age >= instance.expected_lag(boottime) + LAG_MARGIN_S
