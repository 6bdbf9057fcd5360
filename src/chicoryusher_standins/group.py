"""A model of one database group: logs, terms, lag and faults.

It has no sockets; the MySQL and agent stand-ins and the experiments
all drive the same model.  Times are seconds of the caller's clock.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from chicoryusher import core

__all__ = ['Command', 'Entry', 'GroupModel', 'InstanceModel', 'NotPrimary']

RECEIVE_DELAY = 0.002


class NotPrimary(core.ChicoryusherError):
    """The instance takes no writes."""


class Command(NamedTuple):
    """One statement and the values of its parameters."""

    sql: str
    values: tuple[Any, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One committed transaction in a log."""

    position: core.Position
    at: float
    statements: tuple[Command, ...] = ()


@dataclasses.dataclass(slots=True)
class InstanceModel:
    """One instance: its log, its promise and its faults.

    ``lag`` is the time from a commit to its being applied here;
    ``link_delay`` the time until it is received.
    """

    name: core.InstanceName
    lag: float = 0.05
    link_delay: float = RECEIVE_DELAY
    role: core.Role = core.Role.REPLICA
    term: core.Term = core.Term(0)
    promised_to: str = ''
    log: list[Entry] = dataclasses.field(default_factory=list)
    applied: int = 0
    alive: bool = True
    paused: bool = False
    leaving: bool = False
    cut: bool = False
    heard_at: float = 0.0
    rebuilt: int = 0

    @property
    def running(self) -> bool:
        """Tell whether the process answers."""
        return self.alive and not self.paused

    def received_position(self) -> core.Position:
        """Return the position of the last entry received."""
        return self.log[-1].position if self.log else core.ORIGIN

    def applied_position(self) -> core.Position:
        """Return the position of the last entry applied."""
        if not self.applied:
            return core.ORIGIN
        return self.log[self.applied - 1].position

    def term_starts(self) -> tuple[core.TermStart, ...]:
        """Return where each term began, as far as entries are applied."""
        starts: dict[core.Term, int] = {}
        for entry in self.log[: self.applied]:
            starts.setdefault(entry.position.term, entry.position.offset - 1)
        return tuple(
            core.TermStart(term, core.LogPosition(offset))
            for term, offset in sorted(starts.items())
        )


class GroupModel:
    """The instances of a group and what passes between them."""

    def __init__(
        self,
        database: core.DatabaseName,
        names: Iterable[core.InstanceName],
        seed: int = 1,
    ) -> None:
        self.database = database
        self.random = random.Random(seed)
        self.instances = {name: InstanceModel(name) for name in names}
        self.on_apply: Callable[[InstanceModel, Entry], None] | None = None
        self.on_rebuild: Callable[[InstanceModel], None] | None = None
        self.reaches: Callable[[InstanceModel, InstanceModel], bool] = (
            lambda one, other: not (one.cut or other.cut)
        )
        first = next(iter(self.instances.values()))
        for one in self.instances.values():
            one.term = core.Term(1)
        first.role = core.Role.PRIMARY
        self._append(first, (), 0.0)

    def primary(self) -> InstanceModel | None:
        """Return the running primary of the highest term, or None."""
        leading = [
            one
            for one in self.instances.values()
            if one.role is core.Role.PRIMARY and one.alive
        ]
        return max(leading, key=lambda one: one.term, default=None)

    def _append(
        self, one: InstanceModel, statements: tuple[Command, ...], now: float
    ) -> core.Position:
        offset = len(one.log) + 1
        position = core.Position(one.term, core.LogPosition(offset))
        one.log.append(Entry(position, now, statements))
        one.applied = len(one.log)
        return position

    def commit(
        self,
        name: core.InstanceName,
        statements: tuple[Command, ...],
        now: float,
    ) -> core.Position:
        """Append a transaction at the primary; NotPrimary if it is not."""
        one = self.instances[name]
        if one.role is not core.Role.PRIMARY:
            raise NotPrimary(name)
        return self._append(one, statements, now)

    def _reach(self, one: InstanceModel, other: InstanceModel) -> bool:
        return one.running and other.running and self.reaches(one, other)

    def advance(self, now: float) -> None:
        """Pass entries on and apply what is due by ``now``."""
        for primary in self._leading():
            for other in self.instances.values():
                if other is not primary and self._reach(primary, other):
                    self._replicate(primary, other, now)
        for one in self.instances.values():
            if one.running:
                self._apply_due(one, now)

    def _leading(self) -> list[InstanceModel]:
        leading = [
            one
            for one in self.instances.values()
            if one.role is core.Role.PRIMARY and one.running
        ]
        return sorted(leading, key=lambda one: one.term, reverse=True)

    def _replicate(
        self, primary: InstanceModel, other: InstanceModel, now: float
    ) -> None:
        if other.term > primary.term:
            primary.role = core.Role.REPLICA
            return
        if other.term < primary.term:
            other.term = primary.term
            other.promised_to = primary.promised_to
            other.role = core.Role.REPLICA
        other.heard_at = now
        self._truncate(primary, other)
        due = now - other.link_delay
        while len(other.log) < len(primary.log):
            entry = primary.log[len(other.log)]
            if entry.at > due:
                break
            other.log.append(entry)

    def _truncate(self, primary: InstanceModel, other: InstanceModel) -> None:
        same = min(len(other.log), len(primary.log))
        while same and other.log[same - 1] is not primary.log[same - 1]:
            same -= 1
        if same == len(other.log):
            return
        del other.log[same:]
        if other.applied > same:
            other.applied = 0
            other.rebuilt += 1
            if self.on_rebuild is not None:
                self.on_rebuild(other)

    def _apply_due(self, one: InstanceModel, now: float) -> None:
        due = now - one.lag
        while one.applied < len(one.log):
            entry = one.log[one.applied]
            if one.role is not core.Role.PRIMARY and entry.at > due:
                break
            one.applied += 1
            if self.on_apply is not None:
                self.on_apply(one, entry)

    def fence(
        self, name: core.InstanceName, term: core.Term, candidate: str
    ) -> bool:
        """Promise to accept nothing of an earlier term."""
        one = self.instances[name]
        if term > one.term:
            one.term = term
            one.promised_to = candidate
            one.role = core.Role.REPLICA
            return True
        return (
            term == one.term
            and one.promised_to == candidate
            and one.role is core.Role.REPLICA
        )

    def promote(
        self,
        name: core.InstanceName,
        term: core.Term,
        candidate: str,
        now: float,
    ) -> bool:
        """Lead a term that the instance was fenced for."""
        one = self.instances[name]
        if one.term != term or one.promised_to != candidate:
            return False
        if one.role is core.Role.PRIMARY:
            return True
        while one.applied < len(one.log):
            entry = one.log[one.applied]
            one.applied += 1
            if self.on_apply is not None:
                self.on_apply(one, entry)
        one.role = core.Role.PRIMARY
        self._append(one, (), now)
        return True

    def source_age(self, name: core.InstanceName, now: float) -> float:
        """Return how long ago an instance heard from its primary."""
        one = self.instances[name]
        if one.role is core.Role.PRIMARY:
            return 0.0
        return max(0.0, now - one.heard_at)

    def probe(
        self, name: core.InstanceName, sequence: int, now: float
    ) -> core.ProbeAnswer:
        """Return what a probe of a running instance would see."""
        one = self.instances[name]
        return core.ProbeAnswer(
            name,
            sequence,
            True,
            one.role,
            one.term,
            one.received_position(),
            one.applied_position(),
            self.source_age(name, now),
            one.leaving,
            one.term_starts(),
        )
