"""Typed messages of pooled sessions: statements, work, connections.

Times are seconds of the runtime's clock unless a field says otherwise.
"""

from __future__ import annotations

import dataclasses

from chicoryusher.core import enums
from chicoryusher.core import ids
from chicoryusher.core import messages
from chicoryusher.core import position

__all__ = [
    'CancelWork',
    'Command',
    'EndTransaction',
    'LinkAnswer',
    'LinkClosed',
    'LinkOpened',
    'OpenLink',
    'CloseLink',
    'PoolStatement',
    'Reply',
    'SendCommands',
    'SessionAnswer',
    'SessionLeft',
    'SessionStarted',
    'SessionVerdict',
    'Shape',
    'StartSession',
    'Statement',
    'StopLane',
    'Work',
    'WorkEnded',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """What a prepared statement does: its kind and its template."""

    kind: enums.ShapeKind
    template: str


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """One decoded statement.

    ``text`` is what the caller sent; ``name`` is the session value or
    prepared statement it names; ``rest`` is what follows that name.
    """

    verb: enums.Verb
    text: str
    name: str = ''
    rest: str = ''
    shape: Shape | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StartSession(messages.Message):
    """A caller asks for a session with a database."""

    session_id: ids.SessionId
    frontend: ids.TaskName
    database: ids.DatabaseName


@dataclasses.dataclass(frozen=True, slots=True)
class SessionStarted(messages.Message):
    """The session may go on, or why it may not."""

    session_id: ids.SessionId
    refusal: enums.Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PoolStatement(messages.Message):
    """One statement of a session; a session has one at a time."""

    session_id: ids.SessionId
    request_id: ids.RequestId
    statement: Statement


@dataclasses.dataclass(frozen=True, slots=True)
class SessionAnswer(messages.Message):
    """The answer to a session's statement.

    ``digest`` is the instance's proof that it ran the statement, None
    for a statement that this VM answered itself.
    """

    session_id: ids.SessionId
    request_id: ids.RequestId
    block: enums.BlockState
    rows: tuple[str, ...] = ()
    digest: str | None = None
    refusal: enums.Refusal | None = None
    detail: str = ''
    position: position.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SessionLeft(messages.Message):
    """The caller's connection has ended."""

    session_id: ids.SessionId


@dataclasses.dataclass(frozen=True, slots=True)
class SessionVerdict(messages.Message):
    """Close the caller's connection; nothing is outstanding on it."""

    session_id: ids.SessionId


@dataclasses.dataclass(frozen=True, slots=True)
class Work(messages.Message):
    """One statement for one instance.

    ``values`` and ``shape`` are made true on the connection first.
    ``begins`` asks for a transaction of that kind before the statement.
    ``after`` must be in the instance's log.  Work that has not started
    by ``start_by`` is refused; ``limit`` bounds its run in seconds, and
    ``patience`` that of a statement that may run again elsewhere.
    ``offered_at`` is when the lane was given it.
    """

    work_id: ids.WorkId
    owner: ids.TaskName
    request_id: ids.RequestId
    statement: Statement
    shape: Shape | None
    values: tuple[tuple[str, str], ...]
    priority: int
    start_by: float
    limit: float
    patience: float
    offered_at: float
    transaction: ids.TransactionId | None = None
    begins: enums.Begins | None = None
    after: position.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WorkEnded(messages.Message):
    """What became of a piece of work at its instance.

    ``sent_at`` is when its first byte went out, None if it never did.
    ``asked_at`` is the same on the clock that counts suspended time.
    """

    work_id: ids.WorkId
    instance: ids.InstanceName
    ended: enums.Ended
    rows: tuple[str, ...] = ()
    digest: str | None = None
    refusal: enums.Refusal | None = None
    detail: str = ''
    position: position.Position | None = None
    block: enums.BlockState = enums.BlockState.IDLE
    sent_at: float | None = None
    asked_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CancelWork(messages.Message):
    """Nobody waits for this work any more."""

    work_id: ids.WorkId


@dataclasses.dataclass(frozen=True, slots=True)
class EndTransaction(messages.Message):
    """Roll the transaction back and free its connection."""

    transaction: ids.TransactionId


@dataclasses.dataclass(frozen=True, slots=True)
class StopLane(messages.Message):
    """Close every connection to the instance and end its work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """One command for an instance's connection.

    ``after`` is sent with a read or a begin as a condition on the log.
    """

    op: enums.Op
    request_id: ids.RequestId | None = None
    statement: Statement | None = None
    name: str = ''
    value: str = ''
    shape: Shape | None = None
    after: position.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The instance's answer to one command."""

    block: enums.BlockState
    position: position.Position | None
    rows: tuple[str, ...] = ()
    digest: str | None = None
    refusal: enums.Refusal | None = None
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class OpenLink(messages.Message):
    """Open a connection to the instance."""

    conn_id: ids.ConnId


@dataclasses.dataclass(frozen=True, slots=True)
class CloseLink(messages.Message):
    """Close a connection at once."""

    conn_id: ids.ConnId


@dataclasses.dataclass(frozen=True, slots=True)
class SendCommands(messages.Message):
    """Send commands in one write; answers come one by one."""

    conn_id: ids.ConnId
    commands: tuple[Command, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened(messages.Message):
    """The instance has accepted a connection."""

    conn_id: ids.ConnId
    position: position.Position | None


@dataclasses.dataclass(frozen=True, slots=True)
class LinkClosed(messages.Message):
    """A connection has ended, and why."""

    conn_id: ids.ConnId
    reason: enums.LinkEnd


@dataclasses.dataclass(frozen=True, slots=True)
class LinkAnswer(messages.Message):
    """The answer to the oldest unanswered command of a connection."""

    conn_id: ids.ConnId
    reply: Reply
