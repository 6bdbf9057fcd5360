"""A database group in memory: logs, roles and transactions.

Tests set the attributes of instances and groups to inject faults.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
from collections.abc import Callable

from chicoryusher import core

__all__ = ['Connection', 'Group', 'Instance', 'Run', 'decode_status']

# Usual time from a command to its reply.
REPLY_DELAY_S = 0.005

Op = core.Op
Block = core.TransactionStatus
Verb = core.Verb


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A statement that an instance ran, and the state it ran in.

    ``values`` are the connection's variables, ``position`` is the last
    position that the instance had applied before the statement.
    """

    instance: core.InstanceName
    request_id: core.RequestId | None
    text: str
    shape: core.PreparedQuery | None
    values: tuple[tuple[str, str], ...]
    block: core.TransactionStatus
    position: core.Position


class Connection:
    """State of one connection at its instance."""

    def __init__(self) -> None:
        self.block = Block.IDLE
        self.values: dict[str, str] = {}
        self.prepared: dict[str, core.PreparedQuery] = {}
        self.wrote = False
        self.read_only = False


class Instance:
    """One instance and the faults injected into it.

    ``dark``: accepts commands and never answers.  ``crashed``: refuses
    and resets connections.  ``deaf``: receives no log entries from the
    primary.  ``full``: refuses new connections because its limit is
    reached.  ``backlogged``: answers on open connections, and accepts no
    new one in time.  ``busy``: refuses statements.  ``lose_answers``: runs
    commands and drops their replies.  ``fails_every``: fails one statement
    of so many.  ``reply_delay``: seconds from a command to its reply.
    ``statuses`` counts the status commands on its connections.
    ``work_time``: returns the seconds that a statement takes one of the slots;
    without it, slots are not counted.
    """

    def __init__(self, group: Group, entry: core.InstanceEntry) -> None:
        self.group = group
        self.entry = entry
        self.role = entry.role
        self.term = core.Term(1)
        self.received = 0
        self.applied = 0
        self.dark = False
        self.crashed = False
        self.deaf = False
        self.full = False
        self.backlogged = False
        self.busy = False
        self.lose_answers = False
        self.fails_every = 0
        self.reply_delay = REPLY_DELAY_S
        self.run_count = 0
        self.work_time: Callable[[], float] | None = None
        # When each slot has done the work that was given to it.
        self._slots_free_at = [0.0] * entry.slots
        self.leads_at = 0.0
        self.statuses = 0

    @property
    def name(self) -> core.InstanceName:
        """Return the instance's name."""
        return self.entry.name

    @property
    def reachable(self) -> bool:
        """Return whether the instance responds."""
        return not (self.dark or self.crashed)

    def position(self, number: int) -> core.Position:
        """Return the position with this number in the instance's term."""
        return core.Position(self.term, core.LogPosition(number))

    def state(self) -> core.InstanceState:
        """Return the role, term and positions that the instance reports."""
        return core.InstanceState(
            self.role,
            self.term,
            self.position(self.received),
            self.position(self.applied),
        )

    def delay(self, now: float, seconds: float) -> float:
        """Return the seconds until a free slot has done so much work."""
        if self.work_time is None:
            return self.reply_delay
        start = max(now, heapq.heappop(self._slots_free_at))
        heapq.heappush(self._slots_free_at, start + seconds)
        return self.reply_delay + start + seconds - now

    def statement_delay(self, now: float, op: core.Op) -> float:
        """Return the seconds from a command to its reply."""
        if self.work_time is None or op is not Op.RUN:
            return self.reply_delay
        return self.delay(now, self.work_time())

    def run(
        self, conn: Connection, command: core.Command
    ) -> core.CommandReply:
        """Run one command on a connection."""
        handler = _OPS[command.op]
        return handler(self, conn, command)

    def reply(
        self,
        conn: Connection,
        refusal: core.Refusal | None = None,
        rows: tuple[str, ...] = (),
        digest: str | None = None,
    ) -> core.CommandReply:
        """Return a reply that carries the connection's transaction state."""
        return core.CommandReply(
            conn.block, self.position(self.applied), rows, digest, refusal
        )

    def refuse(
        self, conn: Connection, refusal: core.Refusal
    ) -> core.CommandReply:
        """Return a refusal; an open transaction becomes failed."""
        if conn.block is not Block.IDLE:
            conn.block = Block.FAILED
        return self.reply(conn, refusal)


def _set_variable(
    instance: Instance, conn: Connection, command: core.Command
) -> core.CommandReply:
    conn.values[command.name] = command.value
    return instance.reply(conn, digest='-')


def _reset_conn(
    instance: Instance, conn: Connection, command: core.Command
) -> core.CommandReply:
    conn.values.clear()
    conn.prepared.clear()
    return instance.reply(conn, digest='-')


def _prepare(
    instance: Instance, conn: Connection, command: core.Command
) -> core.CommandReply:
    assert command.prepared is not None
    conn.prepared[command.name] = command.prepared
    return instance.reply(conn, digest='-')


def _lacks_position(instance: Instance, command: core.Command) -> bool:
    if command.min_position is None:
        return False
    return command.min_position > instance.position(instance.applied)


def _begin(
    instance: Instance, conn: Connection, command: core.Command
) -> core.CommandReply:
    if _lacks_position(instance, command):
        return instance.reply(conn, core.Refusal.NOT_FRESH)
    read_only = command.op is Op.BEGIN_READ_ONLY
    if not read_only and instance.role is core.Role.REPLICA:
        return instance.reply(conn, core.Refusal.READ_ONLY)
    conn.block = Block.OPEN
    conn.read_only = read_only
    conn.wrote = False
    return instance.reply(conn, digest='-')


def _rollback(
    instance: Instance, conn: Connection, command: core.Command
) -> core.CommandReply:
    conn.block = Block.IDLE
    conn.wrote = False
    return instance.reply(conn, digest='-')


def _run_statement(
    instance: Instance, conn: Connection, command: core.Command
) -> core.CommandReply:
    statement = command.statement
    assert statement is not None
    if instance.busy:
        return instance.refuse(conn, core.Refusal.BUSY)
    if _lacks_position(instance, command):
        return instance.refuse(conn, core.Refusal.NOT_FRESH)
    instance.run_count += 1
    if instance.fails_every and instance.run_count % instance.fails_every == 0:
        return instance.refuse(conn, core.Refusal.FAILED)
    shape = None
    if command.name:
        shape = conn.prepared.get(command.name)
        if shape is None:
            return instance.refuse(conn, core.Refusal.NOT_PREPARED)
    commits = statement.verb is Verb.COMMIT
    writes = statement.verb is Verb.WRITE
    if shape is not None:
        writes = shape.kind is core.PreparedQueryKind.WRITE
    is_read_only = instance.role is core.Role.REPLICA and not conn.read_only
    in_block = conn.block is Block.OPEN
    if is_read_only and (writes or (in_block and not commits)):
        return instance.refuse(conn, core.Refusal.READ_ONLY)
    return _execute(instance, conn, command, shape, writes, commits)


def _execute(
    instance: Instance,
    conn: Connection,
    command: core.Command,
    shape: core.PreparedQuery | None,
    writes: bool,
    commits: bool,
) -> core.CommandReply:
    assert command.statement is not None
    instance.group.runs.append(
        Run(
            instance.name,
            command.request_id,
            command.statement.text,
            shape,
            tuple(sorted(conn.values.items())),
            conn.block,
            instance.position(instance.applied),
        )
    )
    if writes and conn.block is Block.OPEN:
        conn.wrote = True
    elif writes:
        instance.group.commit(instance, command.request_id)
    if commits:
        if conn.wrote:
            instance.group.commit(instance, command.request_id)
        conn.block = Block.IDLE
    rows = () if writes or commits else (f'at {instance.applied}',)
    return instance.reply(conn, None, rows, f'd{next(instance.group.digests)}')


def _report_state(
    instance: Instance, conn: Connection, command: core.Command
) -> core.CommandReply:
    instance.statuses += 1
    if instance.busy:
        return instance.refuse(conn, core.Refusal.BUSY)
    fields = (instance.role.value, instance.term, instance.received)
    return instance.reply(conn, None, tuple(map(str, fields)), '-')


def decode_status(reply: core.CommandReply) -> core.InstanceState | None:
    """Return the state in the reply to STATUS, None in other replies."""
    if reply.refusal is not None or len(reply.rows) != 3:
        return None
    role, term, received = reply.rows
    position = core.Position(
        core.Term(int(term)), core.LogPosition(int(received))
    )
    return core.InstanceState(
        core.Role(role), position.term, position, position
    )


_OPS = {
    Op.RUN: _run_statement,
    Op.BEGIN: _begin,
    Op.BEGIN_READ_ONLY: _begin,
    Op.ROLLBACK: _rollback,
    Op.SET: _set_variable,
    Op.RESET: _reset_conn,
    Op.PREPARE: _prepare,
    Op.STATUS: _report_state,
    Op.DEMOTE: _report_state,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """A commit: the instance and the log position that it got.

    ``newest_term`` is the group's newest term when it was made.
    """

    instance: core.InstanceName
    request_id: core.RequestId | None
    position: core.Position
    newest_term: core.Term


class Group:
    """Instances of one service; the first one starts as its primary."""

    def __init__(
        self, service: core.ServiceName, zones: tuple[str, ...]
    ) -> None:
        self.service = service
        self.digests = itertools.count(1)
        self.runs: list[Run] = []
        self.commits: list[Commit] = []
        self.replicating = True
        self.instances: dict[core.InstanceName, Instance] = {}
        for number, zone in enumerate(zones):
            role = core.Role.REPLICA if number else core.Role.PRIMARY
            entry = core.InstanceEntry(
                core.InstanceName(f'{service}-{number}'),
                service,
                '10.0.0.1',
                7000 + number,
                core.ZoneName(zone),
                3,
                False,
                role,
                1,
            )
            self.instances[entry.name] = Instance(self, entry)

    def primary(self) -> Instance:
        """Return the primary of the newest term."""
        leaders = [
            instance
            for instance in self.instances.values()
            if instance.role is core.Role.PRIMARY
        ]
        return max(leaders, key=lambda instance: instance.term)

    def newest_term(self) -> core.Term:
        """Return the newest term that an instance has."""
        return max(instance.term for instance in self.instances.values())

    def commit(
        self, instance: Instance, request_id: core.RequestId | None
    ) -> None:
        """Append a commit to an instance's log, and replicate it."""
        instance.received += 1
        instance.applied = instance.received
        self.commits.append(
            Commit(
                instance.name,
                request_id,
                instance.position(instance.received),
                self.newest_term(),
            )
        )
        if self.replicating:
            self.replicate()

    def replicate(self) -> None:
        """Bring every replica that the primary can reach up to date."""
        primary = self.primary()
        if not primary.reachable:
            return
        for instance in self.instances.values():
            if instance is primary or instance.deaf or not instance.reachable:
                continue
            if instance.term > primary.term:
                continue
            instance.role = core.Role.REPLICA
            instance.term = primary.term
            instance.received = primary.received
            instance.applied = primary.received

    def promote(self, name: core.InstanceName) -> bool:
        """Make an instance primary of the next term.

        Return False if it is unreachable.  The primary of the newest term
        stays in its term.
        """
        instance = self.instances[name]
        if not instance.reachable:
            return False
        newest = self.newest_term()
        if instance.role is core.Role.PRIMARY and instance.term == newest:
            return True
        instance.role = core.Role.PRIMARY
        instance.term = core.Term(newest + 1)
        instance.applied = instance.received
        return True

    def entries(self) -> tuple[core.InstanceEntry, ...]:
        """Return the rows that running instances put in the register."""
        return tuple(
            dataclasses.replace(instance.entry, role=instance.role)
            for instance in self.instances.values()
            if not instance.crashed
        )
