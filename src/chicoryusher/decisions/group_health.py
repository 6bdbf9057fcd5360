"""When a group's primary is replaced, in which term, and by which instance.

The group monitor probes the instances.  Once the loss of the primary is
confirmed, a candidate fences a majority of the instances and promotes
one of them.

A term has one primary at most, because an instance accepts the fence of
a term from one candidate only, and a candidate needs a majority.  The
platform's table keeps candidates from competing; safety does not depend
on it, so a group also fails over while the platform is down.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from chicoryusher import core

__all__ = ['GroupHealth', 'InstanceProbes', 'choose_new_primary', 'next_term']

# Seconds after the start in which a group without a known primary isn't
# failed over yet.
NO_PRIMARY_GRACE_S = 0.40
# Failed probes in a row after which an instance counts as unreachable.
UNREACHABLE_PROBE_COUNT = 2
# Seconds without a response of the primary after which a replica confirms
# that the primary is lost.
REPLICA_SOURCE_TIMEOUT_S = 0.30


@dataclasses.dataclass(slots=True)
class InstanceProbes:
    """Results of the probes of one instance.

    ``failures`` counts the failed probes since the last answer.
    """

    name: core.InstanceName
    last: core.ProbeAnswer | None = None
    answered_at: float = float('-inf')
    failures: int = 0


class GroupHealth:
    """Probe results of one group, and the state of its primary."""

    def __init__(self, names: Iterable[core.InstanceName], now: float) -> None:
        self._started_at = now
        self._probes = {name: InstanceProbes(name) for name in names}
        self.primary: core.InstanceName | None = None
        self.term = core.Term(0)
        self.majority_seen_at = float('-inf')
        self._seen_in_term: dict[core.InstanceName, float] = {}

    @property
    def majority(self) -> int:
        """Return how many instances are a majority."""
        return len(self._probes) // 2 + 1

    def members(self) -> tuple[core.InstanceName, ...]:
        """Return the instances of the group."""
        return tuple(self._probes)

    def set_instances(self, names: Iterable[core.InstanceName]) -> None:
        """Replace the list of the group's instances."""
        members = tuple(names)
        for name in members:
            self._probes.setdefault(name, InstanceProbes(name))
        for removed in set(self._probes) - set(members):
            del self._probes[removed]
            self._seen_in_term.pop(removed, None)

    def last_answer(self, name: core.InstanceName) -> core.ProbeAnswer | None:
        """Return the last answer of an instance, or None."""
        probes = self._probes.get(name)
        return probes.last if probes is not None else None

    def is_unreachable(self, name: core.InstanceName, now: float) -> bool:
        """Return whether an instance is unreachable at present."""
        probes = self._probes.get(name)
        return probes is None or probes.failures >= UNREACHABLE_PROBE_COUNT

    def has_recent_failure(self) -> bool:
        """Return whether the last probe of an instance failed.

        Instances that have been unreachable for longer don't count.
        """
        return any(
            0 < probes.failures <= UNREACHABLE_PROBE_COUNT
            for probes in self._probes.values()
        )

    def record_probe(
        self, probe: core.ProbeAnswer, began_at: float, now: float
    ) -> None:
        """Record the result of a probe that began at ``began_at``."""
        probes = self._probes.get(probe.instance)
        if probes is None:
            return
        if not probe.alive:
            probes.failures += 1
            return
        probes.last = probe
        probes.answered_at = now
        probes.failures = 0
        if probe.term > self.term:
            self.term = probe.term
            self.primary = None
            self._seen_in_term.clear()
        if probe.term < self.term:
            return
        if probe.role is core.Role.PRIMARY:
            self.primary = probe.instance
        elif self.primary == probe.instance:
            self.primary = None
        self._seen_in_term[probe.instance] = began_at
        began = sorted(self._seen_in_term.values(), reverse=True)
        if len(began) >= self.majority and self.primary in self._seen_in_term:
            self.majority_seen_at = max(
                self.majority_seen_at, began[self.majority - 1]
            )

    def record_promotion(
        self, name: core.InstanceName, term: core.Term, now: float
    ) -> None:
        """Record a promotion before the next probe shows it."""
        probes = self._probes.get(name)
        if probes is None or term < self.term:
            return
        self.term = term
        self.primary = name
        self._seen_in_term.clear()
        probes.answered_at = now
        probes.failures = 0

    def has_majority(self, now: float, within: float) -> bool:
        """Return whether a majority was in the newest term recently.

        The primary has answered in the term, and probes that a majority
        of the instances answered in it began at most ``within`` seconds
        ago.
        """
        return now - self.majority_seen_at <= within

    def primary_unreachable(self, now: float) -> bool:
        """Return whether the primary is unreachable, unknown or leaving."""
        if self.primary is None:
            return now - self._started_at >= NO_PRIMARY_GRACE_S
        probes = self._probes[self.primary]
        if probes.last is not None and probes.last.leaving:
            return True
        return self.is_unreachable(self.primary, now)

    def failover_confirmed(self, now: float) -> bool:
        """Return whether the group may fail over to another instance.

        The reachable instances besides the primary must be a majority of
        the group, and none of them may have received a response of the
        primary recently.  So a primary that is only slow, or that only
        this VM cannot reach, is not replaced.  If the primary is leaving,
        one reachable instance that stays is enough.
        """
        primary = self.primary
        if primary is not None:
            last = self._probes[primary].last
            if last is not None and last.leaving:
                return self._leaving_confirmed(primary, now)
        missing = 0
        for name, probes in self._probes.items():
            if name == primary or probes.last is None:
                continue
            if self.is_unreachable(name, now):
                continue
            age = probes.last.primary_contact_age + now - probes.answered_at
            if age < REPLICA_SOURCE_TIMEOUT_S:
                return False
            missing += 1
        return missing >= self.majority

    def _leaving_confirmed(
        self, primary: core.InstanceName, now: float
    ) -> bool:
        """Return whether an instance can follow a primary that leaves."""
        staying = [
            probes
            for name, probes in self._probes.items()
            if name != primary
            and probes.last is not None
            and not probes.last.leaving
            and not self.is_unreachable(name, now)
        ]
        return bool(staying)


def next_term(health: GroupHealth, recorded: core.Term) -> core.Term:
    """Return the term that a candidate claims next.

    ``recorded`` is the term in the platform's table.
    """
    return core.Term(max(health.term, recorded) + 1)


def choose_new_primary(
    fenced: Iterable[core.FenceAnswer],
    leaving: frozenset[core.InstanceName],
) -> core.InstanceName:
    """Return the fenced instance with the longest log.

    A leaving instance is chosen only if no other has an equally long log.
    """
    answers = list(fenced)
    longest = max(answer.received for answer in answers)
    best = [
        answer.instance for answer in answers if answer.received == longest
    ]
    staying = [name for name in best if name not in leaving]
    return min(staying or best)
