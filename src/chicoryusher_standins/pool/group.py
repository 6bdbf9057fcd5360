"""A database group in memory: logs, roles, transactions."""

from __future__ import annotations

import dataclasses
import itertools

from chicoryusher import core

__all__ = ['Connection', 'Group', 'Instance', 'Run']

Op = core.Op
Block = core.BlockState
Verb = core.Verb


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A statement that an instance ran, and in which circumstances."""

    instance: core.InstanceName
    request_id: core.RequestId | None
    text: str
    shape: core.Shape | None
    values: tuple[tuple[str, str], ...]
    block: core.BlockState
    position: core.Position


class Connection:
    """One connection's state at its instance."""

    def __init__(self) -> None:
        self.block = Block.IDLE
        self.values: dict[str, str] = {}
        self.prepared: dict[str, core.Shape] = {}
        self.wrote = False
        self.read_only = False


class Instance:
    """One instance; ``dark`` answers nothing, ``crashed`` resets."""

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
        self.busy = False
        self.lose_answers = False
        self.leads_at = 0.0

    @property
    def name(self) -> core.InstanceName:
        """Return the instance's name."""
        return self.entry.name

    @property
    def reachable(self) -> bool:
        """Tell whether the instance answers."""
        return not (self.dark or self.crashed)

    def position(self, number: int) -> core.Position:
        """Return a position in the instance's term."""
        return core.Position(self.term, core.LogPosition(number))

    def state(self) -> core.InstanceState:
        """Return what the instance says of itself."""
        return core.InstanceState(
            self.role,
            self.term,
            self.position(self.received),
            self.position(self.applied),
        )

    def run(self, conn: Connection, command: core.Command) -> core.Reply:
        """Run one command."""
        handler = _OPS[command.op]
        return handler(self, conn, command)

    def reply(
        self,
        conn: Connection,
        refusal: core.Refusal | None = None,
        rows: tuple[str, ...] = (),
        digest: str | None = None,
    ) -> core.Reply:
        """Return a reply with the connection's state."""
        return core.Reply(
            conn.block, self.position(self.applied), rows, digest, refusal
        )

    def refuse(self, conn: Connection, refusal: core.Refusal) -> core.Reply:
        """Refuse; an open transaction fails."""
        if conn.block is not Block.IDLE:
            conn.block = Block.FAILED
        return self.reply(conn, refusal)


def _set(one: Instance, conn: Connection, command: core.Command) -> core.Reply:
    conn.values[command.name] = command.value
    return one.reply(conn, digest='-')


def _reset(
    one: Instance, conn: Connection, command: core.Command
) -> core.Reply:
    conn.values.clear()
    conn.prepared.clear()
    return one.reply(conn, digest='-')


def _prepare(
    one: Instance, conn: Connection, command: core.Command
) -> core.Reply:
    assert command.shape is not None
    conn.prepared[command.name] = command.shape
    return one.reply(conn, digest='-')


def _behind(one: Instance, command: core.Command) -> bool:
    if command.after is None:
        return False
    return command.after > one.position(one.applied)


def _begin(
    one: Instance, conn: Connection, command: core.Command
) -> core.Reply:
    if _behind(one, command):
        return one.reply(conn, core.Refusal.NOT_FRESH)
    read_only = command.op is Op.BEGIN_READ_ONLY
    if not read_only and one.role is core.Role.REPLICA:
        return one.reply(conn, core.Refusal.READ_ONLY)
    conn.block = Block.OPEN
    conn.read_only = read_only
    conn.wrote = False
    return one.reply(conn, digest='-')


def _rollback(
    one: Instance, conn: Connection, command: core.Command
) -> core.Reply:
    conn.block = Block.IDLE
    conn.wrote = False
    return one.reply(conn, digest='-')


def _run(one: Instance, conn: Connection, command: core.Command) -> core.Reply:
    statement = command.statement
    assert statement is not None
    if one.busy:
        return one.refuse(conn, core.Refusal.BUSY)
    if _behind(one, command):
        return one.refuse(conn, core.Refusal.NOT_FRESH)
    shape = None
    if command.name:
        shape = conn.prepared.get(command.name)
        if shape is None:
            return one.refuse(conn, core.Refusal.NOT_PREPARED)
    commits = statement.verb is Verb.COMMIT
    writes = statement.verb is Verb.WRITE
    if shape is not None:
        writes = shape.kind is core.ShapeKind.WRITE
    lost_lead = one.role is core.Role.REPLICA and not conn.read_only
    in_block = conn.block is Block.OPEN
    if lost_lead and (writes or (in_block and not commits)):
        return one.refuse(conn, core.Refusal.READ_ONLY)
    return _land(one, conn, command, shape, writes, commits)


def _land(
    one: Instance,
    conn: Connection,
    command: core.Command,
    shape: core.Shape | None,
    writes: bool,
    commits: bool,
) -> core.Reply:
    assert command.statement is not None
    one.group.runs.append(
        Run(
            one.name,
            command.request_id,
            command.statement.text,
            shape,
            tuple(sorted(conn.values.items())),
            conn.block,
            one.position(one.applied),
        )
    )
    if writes and conn.block is Block.OPEN:
        conn.wrote = True
    elif writes:
        one.group.commit(one, command.request_id)
    if commits:
        if conn.wrote:
            one.group.commit(one, command.request_id)
        conn.block = Block.IDLE
    rows = () if writes or commits else (f'at {one.applied}',)
    return one.reply(conn, None, rows, f'd{next(one.group.digests)}')


def _state(
    one: Instance, conn: Connection, command: core.Command
) -> core.Reply:
    return one.reply(conn, digest='-')


_OPS = {
    Op.RUN: _run,
    Op.BEGIN: _begin,
    Op.BEGIN_READ_ONLY: _begin,
    Op.ROLLBACK: _rollback,
    Op.SET: _set,
    Op.RESET: _reset,
    Op.PREPARE: _prepare,
    Op.STATUS: _state,
    Op.DEMOTE: _state,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """A commit, where and in which term it landed."""

    instance: core.InstanceName
    request_id: core.RequestId | None
    position: core.Position


class Group:
    """Instances of one service, the first of them its primary."""

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
            one
            for one in self.instances.values()
            if one.role is core.Role.PRIMARY
        ]
        return max(leaders, key=lambda one: one.term)

    def commit(self, one: Instance, request_id: core.RequestId | None) -> None:
        """Append a commit to an instance's log, and replicate it."""
        one.received += 1
        one.applied = one.received
        self.commits.append(
            Commit(one.name, request_id, one.position(one.received))
        )
        if self.replicating:
            self.replicate()

    def replicate(self) -> None:
        """Bring every replica that can hear up to the primary."""
        primary = self.primary()
        if not primary.reachable:
            return
        for one in self.instances.values():
            if one is primary or one.deaf or not one.reachable:
                continue
            if one.term > primary.term:
                continue
            one.role = core.Role.REPLICA
            one.term = primary.term
            one.received = primary.received
            one.applied = primary.received

    def promote(self, name: core.InstanceName) -> bool:
        """Make an instance lead the next term; False if it is down."""
        one = self.instances[name]
        if not one.reachable:
            return False
        newest = max(other.term for other in self.instances.values())
        if one.role is core.Role.PRIMARY and one.term == newest:
            return True
        one.role = core.Role.PRIMARY
        one.term = core.Term(newest + 1)
        one.applied = one.received
        return True

    def entries(self) -> tuple[core.InstanceEntry, ...]:
        """Return what the instances register."""
        return tuple(
            dataclasses.replace(one.entry, role=one.role)
            for one in self.instances.values()
            if not one.crashed
        )
