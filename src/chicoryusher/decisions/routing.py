"""Which instance a statement is sent to first.

A router chooses by hints that gates attach to their answers.  The gate
that receives the statement checks the instance's role, position and
staleness against its own probes, so an outdated hint costs another hop
but never a wrong answer.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from chicoryusher import core
from chicoryusher.decisions import configuration

__all__ = [
    'GroupHints',
    'InstanceHints',
    'POLICIES',
    'Route',
    'RouteRequirement',
]

# Seconds that a read may wait at a replica until it has caught up.
CATCH_UP_TIMEOUT_S = 0.050
# Factor on a replica's reported lag when its catch-up is estimated.
LAG_MARGIN_RATIO = 1.25
# Seconds by which the primary must be faster than the best replica to be
# sent a read.
PRIMARY_PENALTY_S = 0.020
# Seconds after which an instance's report is no longer used.
REPORT_LIFETIME_S = 2.0
# Seconds without new work for an instance that is down or leaving.
DOWN_PAUSE_S = 0.5
# Seconds for which an instance counts as busy after it refused a read.
BUSY_PERIOD_S = 0.1
# Expected wait in seconds at a busy instance.
BUSY_WAIT_S = 0.05
# Lag in seconds that is assumed without a current report.
ASSUMED_LAG_S = 0.25


@dataclasses.dataclass(slots=True)
class InstanceHints:
    """A router's hints about one instance.

    ``round_trip`` is the round trip in seconds to the instance through its
    gate.  New work is kept away until ``refused_until``.  Until
    ``busy_until`` all slots of the instance are assumed to be occupied
    by long statements.
    """

    spec: configuration.InstanceSpec
    round_trip: float = 0.0
    report: core.InstanceReport | None = None
    reported_at: float = float('-inf')
    refused_until: float = float('-inf')
    busy_until: float = float('-inf')

    def lag(self, now: float) -> float:
        """Return the last reported lag in seconds, or an assumed one."""
        if self.report is None or now - self.reported_at > REPORT_LIFETIME_S:
            return ASSUMED_LAG_S
        return self.report.lag

    def cost(self, now: float) -> float:
        """Return the expected wait in seconds before an answer."""
        if self.busy_until > now:
            return self.round_trip + BUSY_WAIT_S
        if self.report is None or now - self.reported_at > REPORT_LIFETIME_S:
            return self.round_trip
        return self.round_trip + self.report.queue_wait


class Route(NamedTuple):
    """The chosen instance, and the role that it must have.

    ``catch_up_timeout`` is how many seconds the request may wait there until a
    replica has caught up.
    """

    instance: core.InstanceName
    role: core.Role
    catch_up_timeout: float = 0.0


class RouteRequirement(NamedTuple):
    """Requirements of a statement on the instance that runs it.

    The instance must have applied ``min_position`` and be stale by at most
    ``max_staleness`` seconds.  ``since_write`` is how many seconds ago
    this router saw the session's last write finish; infinity without a
    write.
    """

    writes: bool
    min_position: core.Position | None
    max_staleness: float
    since_write: float = float('inf')


class GroupHints:
    """A router's hints about one database group."""

    def __init__(self, database: core.DatabaseName) -> None:
        self.database = database
        self.instances: dict[core.InstanceName, InstanceHints] = {}
        self.primary: core.InstanceName | None = None
        self.term = core.Term(0)
        self.turn = 0

    def put_instance(self, view: InstanceHints) -> None:
        """Add an instance, or replace its specification and path."""
        previous = self.instances.get(view.spec.name)
        if previous is not None:
            view.report = previous.report
            view.reported_at = previous.reported_at
            view.refused_until = previous.refused_until
            view.busy_until = previous.busy_until
        self.instances[view.spec.name] = view

    def retain(self, names: frozenset[core.InstanceName]) -> None:
        """Remove the instances that are no longer in the register."""
        for removed in set(self.instances) - names:
            del self.instances[removed]
        if self.primary not in names:
            self.primary = None

    def apply_report(self, report: core.InstanceReport, now: float) -> None:
        """Store a report; ignore its primary if its term is older."""
        view = self.instances.get(report.instance)
        if view is not None:
            view.report = report
            view.reported_at = now
            if not report.alive:
                view.refused_until = now + DOWN_PAUSE_S
        if report.primary is not None and report.term >= self.term:
            self.term = report.term
            self.primary = report.primary

    def record_refusal(
        self, name: core.InstanceName, reason: core.MoveReason, now: float
    ) -> None:
        """Update the hints after an instance refused a request."""
        view = self.instances.get(name)
        if view is None:
            return
        if reason is core.MoveReason.NOT_FRESH:
            return
        if reason is core.MoveReason.BUSY:
            view.busy_until = now + BUSY_PERIOD_S
            return
        if self.primary == name and reason is not core.MoveReason.NOT_GATE:
            self.primary = None
        if reason in (core.MoveReason.DOWN, core.MoveReason.LEAVING):
            view.refused_until = now + DOWN_PAUSE_S

    def primary_route(self, now: float) -> Route:
        """Return a route to the primary.

        While the primary is unknown or gets no new work, the route is to
        one of the instances in turn, whose gate may know the primary.
        """
        name = self.primary
        if name is None or self.instances[name].refused_until > now:
            name = self._next_in_turn(now)
        return Route(name, core.Role.PRIMARY)

    def _next_in_turn(self, now: float) -> core.InstanceName:
        names = sorted(
            view.spec.name
            for view in self.instances.values()
            if view.refused_until <= now
        ) or sorted(self.instances)
        if not names:
            raise core.NotRunError('the group has no instance')
        self.turn += 1
        return names[self.turn % len(names)]


Policy = type
POLICIES: core.Registry[Policy] = core.Registry('routing policy')


@POLICIES.register('nearest_fresh_replica')
class NearestFreshReplica:
    """Choose the sufficiently fresh replica with the least expected wait.

    A write goes to the primary, and so does a read for which no replica
    is suitable or the primary is clearly faster.
    """

    def choose(
        self, group: GroupHints, requirement: RouteRequirement, now: float
    ) -> Route:
        """Return where to run a statement.

        Raise NotRunError if the group has no instance.
        """
        if requirement.writes or requirement.max_staleness <= 0:
            return group.primary_route(now)
        best: tuple[float, core.InstanceName, float] | None = None
        for name, view in group.instances.items():
            if name == group.primary or view.refused_until > now:
                continue
            catch_up = _catch_up_wait(view, requirement, now)
            if catch_up is None:
                continue
            rank = (view.cost(now) + catch_up, name, catch_up)
            best = rank if best is None else min(best, rank)
        if best is None:
            return group.primary_route(now)
        cost, name, catch_up = best
        primary = group.instances.get(group.primary or name)
        if primary is not None and primary.refused_until <= now:
            if primary.cost(now) + PRIMARY_PENALTY_S < cost - catch_up:
                return group.primary_route(now)
        return Route(name, core.Role.REPLICA, CATCH_UP_TIMEOUT_S)


def _catch_up_wait(
    view: InstanceHints, requirement: RouteRequirement, now: float
) -> float | None:
    """Return the expected seconds until a replica has caught up.

    None if it is too stale or the wait is too long.
    """
    lag = view.lag(now)
    if lag > requirement.max_staleness:
        return None
    if requirement.min_position is None:
        return 0.0
    wait = max(0.0, lag * LAG_MARGIN_RATIO - requirement.since_write)
    return wait if wait <= CATCH_UP_TIMEOUT_S else None


@POLICIES.register('primary_only')
class PrimaryOnly:
    """Run every statement on the primary; a baseline for comparison."""

    def choose(
        self, group: GroupHints, requirement: RouteRequirement, now: float
    ) -> Route:
        """Return the primary."""
        return group.primary_route(now)


@POLICIES.register('round_robin')
class RoundRobin:
    """Send reads to the instances in turn; a baseline for comparison."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, group: GroupHints, requirement: RouteRequirement, now: float
    ) -> Route:
        """Return the primary for a write, else the next instance."""
        if requirement.writes:
            return group.primary_route(now)
        names = sorted(group.instances)
        self._turn += 1
        name = names[self._turn % len(names)]
        if name == group.primary:
            return group.primary_route(now)
        return Route(name, core.Role.REPLICA, CATCH_UP_TIMEOUT_S)
