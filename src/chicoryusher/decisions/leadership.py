"""Who leads a group: suspicion, fence and promotion.

A term is unique because an instance takes the fence of a term from one
candidate only, and a candidate needs a majority.  The platform's table
keeps candidates from duels; it is not needed for safety, so a group
fails over also while the platform is down.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from chicoryusher import core

__all__ = ['GroupHealth', 'Watched', 'choose_leader', 'next_term']

SILENT_AFTER = 0.40
UNREACHABLE_PROBES = 2
SOURCE_SILENT_AFTER = 0.30


@dataclasses.dataclass(slots=True)
class Watched:
    """One instance as the watcher's own probes show it."""

    name: core.InstanceName
    last: core.ProbeAnswer | None = None
    heard_at: float = float('-inf')
    failures: int = 0


class GroupHealth:
    """Probe results of one group, and what they say of its primary."""

    def __init__(self, names: Iterable[core.InstanceName], now: float) -> None:
        self._started_at = now
        self._watched = {name: Watched(name) for name in names}
        self.primary: core.InstanceName | None = None
        self.term = core.Term(0)
        self.majority_at = float('-inf')
        self._in_term: dict[core.InstanceName, float] = {}

    @property
    def majority(self) -> int:
        """Return how many instances are a majority."""
        return len(self._watched) // 2 + 1

    def members(self) -> tuple[core.InstanceName, ...]:
        """Return the instances of the group."""
        return tuple(self._watched)

    def resize(self, names: Iterable[core.InstanceName]) -> None:
        """Follow a change of the group's instances."""
        wanted = tuple(names)
        for name in wanted:
            self._watched.setdefault(name, Watched(name))
        for gone in set(self._watched) - set(wanted):
            del self._watched[gone]
            self._in_term.pop(gone, None)

    def last(self, name: core.InstanceName) -> core.ProbeAnswer | None:
        """Return the last answer of an instance, or None."""
        watched = self._watched.get(name)
        return watched.last if watched is not None else None

    def missing(self, name: core.InstanceName, now: float) -> bool:
        """Tell whether an instance does not answer at present."""
        watched = self._watched.get(name)
        return watched is None or watched.failures >= UNREACHABLE_PROBES

    def any_failure(self) -> bool:
        """Tell whether an instance missed its last probe."""
        return any(
            0 < one.failures <= UNREACHABLE_PROBES
            for one in self._watched.values()
        )

    def heard(
        self, probe: core.ProbeAnswer, began_at: float, now: float
    ) -> None:
        """Take in the end of one probe, good or bad."""
        watched = self._watched.get(probe.instance)
        if watched is None:
            return
        if not probe.alive:
            watched.failures += 1
            return
        watched.last = probe
        watched.heard_at = now
        watched.failures = 0
        if probe.term > self.term:
            self.term = probe.term
            self.primary = None
            self._in_term.clear()
        if probe.term < self.term:
            return
        if probe.role is core.Role.PRIMARY:
            self.primary = probe.instance
        elif self.primary == probe.instance:
            self.primary = None
        self._in_term[probe.instance] = began_at
        began = sorted(self._in_term.values(), reverse=True)
        if len(began) >= self.majority and self.primary in self._in_term:
            self.majority_at = max(self.majority_at, began[self.majority - 1])

    def promoted(
        self, name: core.InstanceName, term: core.Term, now: float
    ) -> None:
        """Note a promotion before the next probe shows it."""
        watched = self._watched.get(name)
        if watched is None or term < self.term:
            return
        self.term = term
        self.primary = name
        self._in_term.clear()
        watched.heard_at = now
        watched.failures = 0

    def has_majority(self, now: float, within: float) -> bool:
        """Tell whether a majority was seen in the term recently."""
        return now - self.majority_at <= within

    def primary_silent(self, now: float) -> bool:
        """Tell whether this watcher misses the primary."""
        if self.primary is None:
            return now - self._started_at >= SILENT_AFTER
        watched = self._watched[self.primary]
        if watched.last is not None and watched.last.leaving:
            return True
        return self.missing(self.primary, now)

    def silence_confirmed(self, now: float) -> bool:
        """Tell whether a majority can do without the primary.

        Enough other instances must answer, and each must have missed
        its primary too: a primary that is only slow, or cut off from
        this watcher alone, is left in peace.
        """
        primary = self.primary
        if primary is not None:
            last = self._watched[primary].last
            if last is not None and last.leaving:
                return self._leaving_confirmed(primary, now)
        missing = 0
        for name, watched in self._watched.items():
            if name == primary or watched.last is None:
                continue
            if self.missing(name, now):
                continue
            age = watched.last.source_age + now - watched.heard_at
            if age < SOURCE_SILENT_AFTER:
                return False
            missing += 1
        return missing >= self.majority

    def _leaving_confirmed(
        self, primary: core.InstanceName, now: float
    ) -> bool:
        staying = [
            one
            for name, one in self._watched.items()
            if name != primary
            and one.last is not None
            and not one.last.leaving
            and not self.missing(name, now)
        ]
        return bool(staying)


def next_term(health: GroupHealth, recorded: core.Term) -> core.Term:
    """Return the term a candidate shall claim."""
    return core.Term(max(health.term, recorded) + 1)


def choose_leader(
    fenced: Iterable[core.FenceAnswer],
    leaving: frozenset[core.InstanceName],
) -> core.InstanceName:
    """Return the fenced instance with the longest log.

    One that is leaving is taken only where no other has as long a log.
    """
    answers = list(fenced)
    longest = max(one.received for one in answers)
    best = [one.instance for one in answers if one.received == longest]
    staying = [name for name in best if name not in leaving]
    return min(staying or best)
