"""Typed messages that tasks exchange.

Times are seconds.  A ``budget`` is the time left at the moment of
sending, so that no two machines' clocks are ever compared.
"""

from __future__ import annotations

import dataclasses

from chicoryusher.core import enums
from chicoryusher.core import errors
from chicoryusher.core import ids
from chicoryusher.core import position

__all__ = [
    'AbortTransaction',
    'Answer',
    'CloseConn',
    'ConnAnswer',
    'ConnClosed',
    'ConnConsumed',
    'ConnOpened',
    'ClaimGate',
    'Consumed',
    'Drain',
    'GateClaimed',
    'GateLost',
    'GateMoved',
    'InstanceReport',
    'Marks',
    'Message',
    'OpenConn',
    'Payload',
    'Probe',
    'ProbeAnswer',
    'ReleaseGate',
    'Request',
    'ResultChunk',
    'RunOnConn',
    'SessionClosed',
    'SessionOpened',
    'SessionReply',
    'Submit',
    'TokenAnswer',
    'TokenRequest',
    'UseDatabase',
]


class Message:
    """Base of everything one task may send to another."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Marks:
    """What a caller or a rule says about one statement."""

    max_staleness: float | None = None
    idempotency_key: ids.IdempotencyKey | None = None
    non_idempotent: bool = False
    may_wait: bool = False
    deadline: float | None = None
    token: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Payload:
    """Encoded command, opaque to every decision.

    ``prepare`` is the statement text to prepare first (empty for a plain
    command); ``long_data`` are commands to send ahead of ``command``.
    """

    command: bytes
    prepare: bytes = b''
    long_data: tuple[bytes, ...] = ()

    def size(self) -> int:
        """Return the encoded size in bytes."""
        return len(self.command) + sum(len(one) for one in self.long_data)


@dataclasses.dataclass(frozen=True, slots=True)
class Request(Message):
    """One statement of one session."""

    request_id: ids.RequestId
    session_id: ids.SessionId
    caller: ids.CallerName
    database: ids.DatabaseName
    kind: enums.StatementKind
    statement_class: ids.StatementClass
    payload: Payload
    marks: Marks = Marks()
    tables: tuple[str, ...] = ()
    transaction: ids.TransactionId | None = None
    begin: Payload | None = None
    keeps_connection: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Submit(Message):
    """Ask a gate to run a request on its instance.

    ``role`` is what the instance must be.  A replica must have applied
    ``after`` and be at most ``max_staleness`` seconds behind; it may
    take up to ``patience`` seconds of the budget to get there.
    """

    origin: ids.VmName
    instance: ids.InstanceName
    request: Request
    budget: float
    role: enums.Role
    after: position.Position | None = None
    max_staleness: float = float('inf')
    patience: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ResultChunk(Message):
    """Part of an answer, with more to come."""

    request_id: ids.RequestId
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Consumed(Message):
    """Tell that ``size`` bytes of an answer left for the caller.

    The router adds the instance, so that the gate can be found.
    """

    request_id: ids.RequestId
    size: int
    instance: ids.InstanceName | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConnConsumed(Message):
    """Tell a link that ``size`` bytes of a connection's answer left."""

    conn_id: ids.ConnId
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceReport(Message):
    """State of one instance, as its gate passes it on to a router.

    ``lag`` estimates in seconds how far it is behind its primary;
    ``queue_wait`` is the expected wait there in seconds.
    """

    database: ids.DatabaseName
    instance: ids.InstanceName
    alive: bool
    lag: float
    queue_wait: float
    primary: ids.InstanceName | None
    term: ids.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Answer(Message):
    """End of a request: its outcome and the rest of its answer.

    ``data`` holds the last bytes of the instance's answer, also where
    that answer is an error; ``error`` is set when there is no answer.
    """

    request_id: ids.RequestId
    outcome: enums.Outcome
    data: bytes = b''
    error: errors.CallerError | None = None
    position: position.Position | None = None
    in_transaction: bool = False
    report: InstanceReport | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class GateMoved(Message):
    """A gate did not run a request, and where to go instead."""

    request_id: ids.RequestId
    instance: ids.InstanceName
    reason: enums.MoveReason
    report: InstanceReport | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AbortTransaction(Message):
    """End a transaction at its gate; the instance rolls it back."""

    instance: ids.InstanceName
    transaction: ids.TransactionId


@dataclasses.dataclass(frozen=True, slots=True)
class SessionOpened(Message):
    """A caller has authenticated; ``frontend`` gets its answers."""

    session_id: ids.SessionId
    frontend: ids.TaskName
    caller: ids.CallerName
    database: ids.DatabaseName | None
    token: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class UseDatabase(Message):
    """A session names another database."""

    session_id: ids.SessionId
    database: ids.DatabaseName


@dataclasses.dataclass(frozen=True, slots=True)
class SessionReply(Message):
    """The session may go on, or why it may not."""

    session_id: ids.SessionId
    error: errors.CallerError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest(Message):
    """Ask for the session's token."""

    session_id: ids.SessionId


@dataclasses.dataclass(frozen=True, slots=True)
class TokenAnswer(Message):
    """The session's token at this moment."""

    session_id: ids.SessionId
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class SessionClosed(Message):
    """A caller's connection has ended."""

    session_id: ids.SessionId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGate(Message):
    """Take the gate lock of the instance, and end older gates' work."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseGate(Message):
    """Give the gate lock back."""


@dataclasses.dataclass(frozen=True, slots=True)
class GateClaimed(Message):
    """Whether the instance granted the gate lock."""

    granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GateLost(Message):
    """The gate lock was lost with its connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class OpenConn(Message):
    """Open one backend connection."""

    conn_id: ids.ConnId


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConn(Message):
    """Close one backend connection at once."""

    conn_id: ids.ConnId


@dataclasses.dataclass(frozen=True, slots=True)
class ConnOpened(Message):
    """A backend connection is authenticated and idle."""

    conn_id: ids.ConnId


@dataclasses.dataclass(frozen=True, slots=True)
class ConnClosed(Message):
    """A backend connection has ended."""

    conn_id: ids.ConnId
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RunOnConn(Message):
    """Run one command on an idle or pinned backend connection."""

    conn_id: ids.ConnId
    database: ids.DatabaseName
    payload: Payload


@dataclasses.dataclass(frozen=True, slots=True)
class ConnAnswer(Message):
    """Part of the instance's answer on one connection.

    ``error_code`` is the instance's error number, 0 for success;
    ``position`` is set when the command committed a write.
    """

    conn_id: ids.ConnId
    data: bytes
    final: bool
    error_code: int = 0
    position: position.Position | None = None
    in_transaction: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Probe(Message):
    """Ask one instance for its state."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswer(Message):
    """State of one instance, or that it did not answer.

    ``source_age`` is how long ago, by the instance's own clock, it last
    heard from its primary; 0 on the primary itself.
    """

    instance: ids.InstanceName
    sequence: int
    alive: bool
    role: enums.Role = enums.Role.REPLICA
    term: ids.Term = ids.Term(0)
    received: position.Position = position.ORIGIN
    applied: position.Position = position.ORIGIN
    source_age: float = 0.0
    leaving: bool = False
    starts: tuple[position.TermStart, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Drain(Message):
    """Finish what is in flight and take nothing new."""

    budget: float
