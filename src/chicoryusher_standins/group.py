"""A model of one database group: logs, terms, lag and faults.

It has no sockets: the test doubles of MySQL servers and group agents, and
the experiments, all use this model.  Times are seconds of the clock that
the caller passes in.
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

RECEIVE_DELAY_S = 0.002


class NotPrimary(core.ChicoryusherError):
    """The instance is not the primary and accepts no writes."""


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
    """One instance: its log, its term and the faults injected into it.

    ``promised_to`` is the candidate that fenced the instance for its term.
    ``lag`` is the time in seconds from a commit at the primary until this
    instance applies it, ``link_delay`` the time until it receives it.
    ``cut`` isolates it from the network; ``leaving`` marks it as about to
    be removed; ``heard_at`` is when the primary last reached it; and
    ``rebuilt`` counts how often its rows were built again from the log.
    """

    name: core.InstanceName
    lag: float = 0.05
    link_delay: float = RECEIVE_DELAY_S
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
        """Return whether the process is alive and not paused."""
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
        """Return the log position before each term, up to the last applied."""
        starts: dict[core.Term, int] = {}
        for entry in self.log[: self.applied]:
            starts.setdefault(entry.position.term, entry.position.offset - 1)
        return tuple(
            core.TermStart(term, core.LogPosition(offset))
            for term, offset in sorted(starts.items())
        )


class GroupModel:
    """The instances of a group and the replication between them."""

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
            lambda instance, other: not (instance.cut or other.cut)
        )
        first = next(iter(self.instances.values()))
        for instance in self.instances.values():
            instance.term = core.Term(1)
        first.role = core.Role.PRIMARY
        self._append(first, (), 0.0)

    def primary(self) -> InstanceModel | None:
        """Return the running primary of the highest term, or None."""
        leading = [
            instance
            for instance in self.instances.values()
            if instance.role is core.Role.PRIMARY and instance.alive
        ]
        return max(leading, key=lambda instance: instance.term, default=None)

    def _append(
        self,
        instance: InstanceModel,
        statements: tuple[Command, ...],
        now: float,
    ) -> core.Position:
        offset = len(instance.log) + 1
        position = core.Position(instance.term, core.LogPosition(offset))
        instance.log.append(Entry(position, now, statements))
        instance.applied = len(instance.log)
        return position

    def commit(
        self,
        name: core.InstanceName,
        statements: tuple[Command, ...],
        now: float,
    ) -> core.Position:
        """Append a transaction to the log; raise NotPrimary at a replica."""
        instance = self.instances[name]
        if instance.role is not core.Role.PRIMARY:
            raise NotPrimary(name)
        return self._append(instance, statements, now)

    def _can_replicate(
        self, source: InstanceModel, other: InstanceModel
    ) -> bool:
        return source.running and other.running and self.reaches(source, other)

    def advance(self, now: float) -> None:
        """Replicate and apply the entries that are due by ``now``."""
        for primary in self._running_primaries():
            for other in self.instances.values():
                if other is not primary and self._can_replicate(
                    primary, other
                ):
                    self._replicate(primary, other, now)
        for instance in self.instances.values():
            if instance.running:
                self._apply_due(instance, now)

    def _running_primaries(self) -> list[InstanceModel]:
        leading = [
            instance
            for instance in self.instances.values()
            if instance.role is core.Role.PRIMARY and instance.running
        ]
        return sorted(
            leading, key=lambda instance: instance.term, reverse=True
        )

    def _replicate(
        self, primary: InstanceModel, replica: InstanceModel, now: float
    ) -> None:
        if replica.term > primary.term:
            primary.role = core.Role.REPLICA
            return
        if replica.term < primary.term:
            replica.term = primary.term
            replica.promised_to = primary.promised_to
            replica.role = core.Role.REPLICA
        replica.heard_at = now
        self._truncate(primary, replica)
        received_until = now - replica.link_delay
        while len(replica.log) < len(primary.log):
            entry = primary.log[len(replica.log)]
            if entry.at > received_until:
                break
            replica.log.append(entry)

    def _truncate(
        self, primary: InstanceModel, replica: InstanceModel
    ) -> None:
        common_length = min(len(replica.log), len(primary.log))
        while (
            common_length
            and replica.log[common_length - 1]
            is not primary.log[common_length - 1]
        ):
            common_length -= 1
        if common_length == len(replica.log):
            return
        del replica.log[common_length:]
        if replica.applied > common_length:
            replica.applied = 0
            replica.rebuilt += 1
            if self.on_rebuild is not None:
                self.on_rebuild(replica)

    def _apply_due(self, instance: InstanceModel, now: float) -> None:
        applied_until = now - instance.lag
        while instance.applied < len(instance.log):
            entry = instance.log[instance.applied]
            if (
                instance.role is not core.Role.PRIMARY
                and entry.at > applied_until
            ):
                break
            instance.applied += 1
            if self.on_apply is not None:
                self.on_apply(instance, entry)

    def fence(
        self, name: core.InstanceName, term: core.Term, candidate: str
    ) -> bool:
        """Enter a candidate's term and accept no entries of earlier terms.

        Return whether the instance is fenced for this candidate.
        """
        instance = self.instances[name]
        if term > instance.term:
            instance.term = term
            instance.promised_to = candidate
            instance.role = core.Role.REPLICA
            return True
        return (
            term == instance.term
            and instance.promised_to == candidate
            and instance.role is core.Role.REPLICA
        )

    def promote(
        self,
        name: core.InstanceName,
        term: core.Term,
        candidate: str,
        now: float,
    ) -> bool:
        """Become primary of a term that the instance was fenced for.

        Return whether it is the primary now.
        """
        instance = self.instances[name]
        if instance.term != term or instance.promised_to != candidate:
            return False
        if instance.role is core.Role.PRIMARY:
            return True
        while instance.applied < len(instance.log):
            entry = instance.log[instance.applied]
            instance.applied += 1
            if self.on_apply is not None:
                self.on_apply(instance, entry)
        instance.role = core.Role.PRIMARY
        self._append(instance, (), now)
        return True

    def source_age(self, name: core.InstanceName, now: float) -> float:
        """Return the seconds since an instance was reached by its primary."""
        instance = self.instances[name]
        if instance.role is core.Role.PRIMARY:
            return 0.0
        return max(0.0, now - instance.heard_at)

    def probe(
        self, name: core.InstanceName, sequence: int, now: float
    ) -> core.ProbeAnswer:
        """Return the answer of a running instance to a probe."""
        instance = self.instances[name]
        return core.ProbeAnswer(
            name,
            sequence,
            True,
            instance.role,
            instance.term,
            instance.received_position(),
            instance.applied_position(),
            self.source_age(name, now),
            instance.leaving,
            instance.term_starts(),
        )
