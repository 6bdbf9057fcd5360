"""Which instance a statement is sent to first.

A router knows groups by hints that gates attach to their answers.  The
gate that gets the statement checks what matters (role, position,
staleness) against its own probes, so an outdated hint costs a hop and
never a wrong answer.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from chicoryusher import core
from chicoryusher.decisions import configuration

__all__ = ['GroupView', 'InstanceView', 'POLICIES', 'Route', 'Wanted']

CATCH_UP_PATIENCE = 0.050
LAG_MARGIN = 1.25
PRIMARY_PENALTY = 0.020
HINT_LIFETIME = 2.0
DOWN_LIFETIME = 0.5
BUSY_LIFETIME = 0.1
BUSY_WAIT = 0.05
UNKNOWN_LAG = 0.25


@dataclasses.dataclass(slots=True)
class InstanceView:
    """A router's hints about one instance.

    ``path`` is the round trip in seconds to the instance through its
    gate; ``refused_until`` keeps new work away after a refusal, and
    until ``busy_until`` its slots are known to run long.
    """

    spec: configuration.InstanceSpec
    path: float = 0.0
    report: core.InstanceReport | None = None
    heard_at: float = float('-inf')
    refused_until: float = float('-inf')
    busy_until: float = float('-inf')

    def lag(self, now: float) -> float:
        """Return the last estimate of the lag, or a cautious guess."""
        if self.report is None or now - self.heard_at > HINT_LIFETIME:
            return UNKNOWN_LAG
        return self.report.lag

    def cost(self, now: float) -> float:
        """Return the expected wait in seconds before an answer."""
        if self.busy_until > now:
            return self.path + BUSY_WAIT
        if self.report is None or now - self.heard_at > HINT_LIFETIME:
            return self.path
        return self.path + self.report.queue_wait


class Route(NamedTuple):
    """A chosen instance, the role it must have, and the patience."""

    instance: core.InstanceName
    role: core.Role
    patience: float = 0.0


class Wanted(NamedTuple):
    """What a statement needs of the instance that runs it.

    ``since_write`` is how long ago (seconds) this router saw the
    session's last write finish; infinity without one.
    """

    writes: bool
    position: core.Position | None
    max_staleness: float
    since_write: float = float('inf')


class GroupView:
    """A router's hints about one database group."""

    def __init__(self, database: core.DatabaseName) -> None:
        self.database = database
        self.instances: dict[core.InstanceName, InstanceView] = {}
        self.primary: core.InstanceName | None = None
        self.term = core.Term(0)
        self.turn = 0

    def place(self, view: InstanceView) -> None:
        """Add an instance, or replace its specification and path."""
        known = self.instances.get(view.spec.name)
        if known is not None:
            view.report = known.report
            view.heard_at = known.heard_at
            view.refused_until = known.refused_until
            view.busy_until = known.busy_until
        self.instances[view.spec.name] = view

    def keep_only(self, names: frozenset[core.InstanceName]) -> None:
        """Forget instances that have left the register."""
        for gone in set(self.instances) - names:
            del self.instances[gone]
        if self.primary not in names:
            self.primary = None

    def learn(self, report: core.InstanceReport, now: float) -> None:
        """Take in a hint; a primary of an older term is ignored."""
        view = self.instances.get(report.instance)
        if view is not None:
            view.report = report
            view.heard_at = now
            if not report.alive:
                view.refused_until = now + DOWN_LIFETIME
        if report.primary is not None and report.term >= self.term:
            self.term = report.term
            self.primary = report.primary

    def refused(
        self, name: core.InstanceName, reason: core.MoveReason, now: float
    ) -> None:
        """Keep new work away from an instance that refused some."""
        view = self.instances.get(name)
        if view is None:
            return
        if reason is core.MoveReason.NOT_FRESH:
            return
        if reason is core.MoveReason.BUSY:
            view.busy_until = now + BUSY_LIFETIME
            return
        if self.primary == name and reason is not core.MoveReason.NOT_GATE:
            self.primary = None
        if reason in (core.MoveReason.DOWN, core.MoveReason.LEAVING):
            view.refused_until = now + DOWN_LIFETIME

    def writer(self, now: float) -> Route:
        """Return the primary, or in turn an instance that may know it."""
        name = self.primary
        if name is None or self.instances[name].refused_until > now:
            name = self._ask_in_turn(now)
        return Route(name, core.Role.PRIMARY)

    def _ask_in_turn(self, now: float) -> core.InstanceName:
        names = sorted(
            one.spec.name
            for one in self.instances.values()
            if one.refused_until <= now
        ) or sorted(self.instances)
        if not names:
            raise core.NotRunError('the group has no instance')
        self.turn += 1
        return names[self.turn % len(names)]


Policy = type
POLICIES: core.Registry[Policy] = core.Registry('routing policy')


@POLICIES.register('nearest_fresh_replica')
class NearestFreshReplica:
    """The replica with the least expected wait that is fresh enough."""

    def choose(self, group: GroupView, wanted: Wanted, now: float) -> Route:
        """Return where to run a statement; NotRunError if nowhere."""
        if wanted.writes or wanted.max_staleness <= 0:
            return group.writer(now)
        best: tuple[float, core.InstanceName, float] | None = None
        for name, view in group.instances.items():
            if name == group.primary or view.refused_until > now:
                continue
            patience = _patience(view, wanted, now)
            if patience is None:
                continue
            rank = (view.cost(now) + patience, name, patience)
            best = rank if best is None else min(best, rank)
        if best is None:
            return group.writer(now)
        cost, name, patience = best
        primary = group.instances.get(group.primary or name)
        if primary is not None and primary.refused_until <= now:
            if primary.cost(now) + PRIMARY_PENALTY < cost - patience:
                return group.writer(now)
        return Route(name, core.Role.REPLICA, CATCH_UP_PATIENCE)


def _patience(view: InstanceView, wanted: Wanted, now: float) -> float | None:
    """Return the expected wait until fresh, None if it is too long."""
    lag = view.lag(now)
    if lag > wanted.max_staleness:
        return None
    if wanted.position is None:
        return 0.0
    missing = max(0.0, lag * LAG_MARGIN - wanted.since_write)
    return missing if missing <= CATCH_UP_PATIENCE else None


@POLICIES.register('primary_only')
class PrimaryOnly:
    """Baseline: every statement runs on the primary."""

    def choose(self, group: GroupView, wanted: Wanted, now: float) -> Route:
        """Return the primary."""
        return group.writer(now)


@POLICIES.register('round_robin')
class RoundRobin:
    """Baseline: reads go to the instances in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, group: GroupView, wanted: Wanted, now: float) -> Route:
        """Return the primary for a write, else the next instance."""
        if wanted.writes:
            return group.writer(now)
        names = sorted(group.instances)
        self._turn += 1
        name = names[self._turn % len(names)]
        if name == group.primary:
            return group.writer(now)
        return Route(name, core.Role.REPLICA, CATCH_UP_PATIENCE)
