"""Typed messages of pooled sessions: statements, work, connections.

A session is pooled if it owns no connection: each of its statements, or
transactions, runs on a connection of the pool of an instance.  A link is
the task that owns the sockets of one such pool.  Times are seconds of
the runtime's monotonic clock (``Clock.now``) unless a docstring says
otherwise.
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
    'LinkReply',
    'LinkClosed',
    'LinkOpened',
    'OpenLink',
    'CloseLink',
    'PoolStatement',
    'CommandReply',
    'SendCommands',
    'SessionAnswer',
    'CallerDisconnected',
    'SessionStarted',
    'CloseSession',
    'PreparedQuery',
    'StartSession',
    'Statement',
    'StopInstancePool',
    'Work',
    'WorkEnded',
]


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedQuery:
    """Definition of a prepared statement: its kind and its template."""

    kind: enums.PreparedQueryKind
    template: str


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """Decoded statement of a session.

    ``text`` is the statement as the caller sent it; ``name`` is the
    session value or prepared statement that it refers to; ``arguments``
    is the text after that name, such as the value or the arguments;
    ``prepared`` is the definition if it is a PREPARE.
    """

    verb: enums.Verb
    text: str
    name: str = ''
    arguments: str = ''
    prepared: PreparedQuery | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StartSession(messages.Message):
    """Start a session of a caller with a database.

    ``key`` is the digest of the caller's key, None without one.
    """

    session_id: ids.SessionId
    frontend: ids.TaskName
    database: ids.DatabaseName
    key: ids.KeyDigest | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SessionStarted(messages.Message):
    """Reply that the session has started, or why it is refused."""

    session_id: ids.SessionId
    refusal: enums.Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PoolStatement(messages.Message):
    """Run a statement of a session.

    A session runs one statement at a time.
    """

    session_id: ids.SessionId
    request_id: ids.RequestId
    statement: Statement


@dataclasses.dataclass(frozen=True, slots=True)
class SessionAnswer(messages.Message):
    """Answer to a session's statement.

    ``digest`` is the instance's proof that it ran the statement, None
    for a statement that this VM answered without an instance.
    ``transaction_status`` is the state of the session's transaction after the
    statement. ``kept_bytes`` is what the session keeps for its later
    statements, None if that has not changed.
    """

    session_id: ids.SessionId
    request_id: ids.RequestId
    transaction_status: enums.TransactionStatus
    rows: tuple[str, ...] = ()
    digest: str | None = None
    refusal: enums.Refusal | None = None
    detail: str = ''
    position: position.Position | None = None
    kept_bytes: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected(messages.Message):
    """Report that the caller's connection has ended."""

    session_id: ids.SessionId


@dataclasses.dataclass(frozen=True, slots=True)
class CloseSession(messages.Message):
    """Close the caller's connection, on which no answer is outstanding."""

    session_id: ids.SessionId


@dataclasses.dataclass(frozen=True, slots=True)
class Work(messages.Message):
    """Statement to run on a connection of an instance's pool.

    The values in ``session_values`` are set on the connection, and the
    statement ``prepared`` is prepared on it, before the statement
    is sent.  ``begin_kind`` is the kind of the transaction to begin before
    the statement.  The instance must have reached the log position
    ``min_position``.  Among waiting work, a lower number of ``priority`` goes
    first.  Work that has not started by ``start_deadline`` is refused.
    ``timeout`` is the timeout of its execution in seconds, and
    ``retryable_timeout`` the timeout of a statement that may be run again at
    another instance.  ``enqueued_at`` is when the work was sent to the
    instance pool.  ``reply_to`` is the task that receives the result.
    ``team`` is the team of the caller, None without teams; the work runs on
    a connection of that team.
    """

    work_id: ids.WorkId
    reply_to: ids.TaskName
    request_id: ids.RequestId
    statement: Statement
    prepared: PreparedQuery | None
    session_values: tuple[tuple[str, str], ...]
    priority: int
    start_deadline: float
    timeout: float
    retryable_timeout: float
    enqueued_at: float
    transaction: ids.TransactionId | None = None
    begin_kind: enums.TransactionKind | None = None
    min_position: position.Position | None = None
    team: ids.TeamName | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WorkEnded(messages.Message):
    """Result of a piece of work at its instance.

    ``sent_at`` is when the work was sent to the instance, None if it was
    not sent.  ``sent_at_boottime`` is that time by the boot-time clock
    (``Clock.boottime``), which also counts the time for which the
    machine was suspended.  ``expected_wait`` is how many seconds new work of
    the same team waits for a connection there, and ``run_time`` how many the
    instance took; None if the connection owner did not tell.
    """

    work_id: ids.WorkId
    instance: ids.InstanceName
    completion: enums.Completion
    rows: tuple[str, ...] = ()
    digest: str | None = None
    refusal: enums.Refusal | None = None
    detail: str = ''
    position: position.Position | None = None
    transaction_status: enums.TransactionStatus = enums.TransactionStatus.IDLE
    sent_at: float | None = None
    sent_at_boottime: float | None = None
    expected_wait: float | None = None
    run_time: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CancelWork(messages.Message):
    """Cancel a piece of work whose result is no longer needed."""

    work_id: ids.WorkId


@dataclasses.dataclass(frozen=True, slots=True)
class EndTransaction(messages.Message):
    """Roll the transaction back and free its connection."""

    transaction: ids.TransactionId


@dataclasses.dataclass(frozen=True, slots=True)
class StopInstancePool(messages.Message):
    """Close every connection to the instance and end its work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Command to send on a connection to an instance.

    ``min_position`` is a log position that the instance must have reached
    before it executes a read or begins a transaction.
    """

    op: enums.Op
    request_id: ids.RequestId | None = None
    statement: Statement | None = None
    name: str = ''
    value: str = ''
    prepared: PreparedQuery | None = None
    min_position: position.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CommandReply:
    """The instance's reply to one command."""

    transaction_status: enums.TransactionStatus
    position: position.Position | None
    rows: tuple[str, ...] = ()
    digest: str | None = None
    refusal: enums.Refusal | None = None
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class OpenLink(messages.Message):
    """Open a connection to the instance of the link, for a team if any."""

    conn_id: ids.ConnId
    team: ids.TeamName | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CloseLink(messages.Message):
    """Close a connection without waiting for outstanding replies."""

    conn_id: ids.ConnId


@dataclasses.dataclass(frozen=True, slots=True)
class SendCommands(messages.Message):
    """Send several commands in one write.

    Each command gets a ``LinkReply`` of its own.
    """

    conn_id: ids.ConnId
    commands: tuple[Command, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened(messages.Message):
    """Report that the instance has accepted a connection."""

    conn_id: ids.ConnId
    position: position.Position | None


@dataclasses.dataclass(frozen=True, slots=True)
class LinkClosed(messages.Message):
    """Report that a connection has ended, and why."""

    conn_id: ids.ConnId
    reason: enums.LinkCloseReason


@dataclasses.dataclass(frozen=True, slots=True)
class LinkReply(messages.Message):
    """Reply to the oldest unanswered command of a connection."""

    conn_id: ids.ConnId
    reply: CommandReply
