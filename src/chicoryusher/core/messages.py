"""Typed messages that tasks exchange.

Times are seconds.  A ``budget`` is the time left until a deadline when
the message is sent; it is sent in place of the deadline, so that clocks
of two machines are never compared.
"""

from __future__ import annotations

import dataclasses

from chicoryusher.core import enums
from chicoryusher.core import errors
from chicoryusher.core import ids
from chicoryusher.core import position
from chicoryusher.core.message_parts import Marks
from chicoryusher.core.message_parts import Message
from chicoryusher.core.message_parts import Payload

__all__ = [
    'AbortTransaction',
    'Answer',
    'CloseConn',
    'ConnAnswer',
    'ConnClosed',
    'ConnAnswerConsumed',
    'ConnOpened',
    'ClaimGate',
    'AnswerConsumed',
    'AdvanceDrain',
    'Drain',
    'GateClaimed',
    'GateLost',
    'RequestMoved',
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


@dataclasses.dataclass(frozen=True, slots=True)
class Request(Message):
    """Statement of a session.

    ``begin_payload`` is the command that begins a transaction before the
    statement.  With ``pins_connection`` the session keeps its backend
    connection after the statement.  ``team`` is that of the session, if the
    configuration has teams.
    """

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
    begin_payload: Payload | None = None
    pins_connection: bool = False
    team: ids.TeamName | None = None

    @property
    def sharer(self) -> str:
        """Return the team, or else the caller, that shares with others."""
        return self.team or self.caller


@dataclasses.dataclass(frozen=True, slots=True)
class Submit(Message):
    """Ask a gate to run a request on its instance.

    The instance must have the role ``role``.  A replica must have
    applied its log up to ``min_position`` and be at most ``max_staleness``
    seconds behind; the gate waits up to ``catch_up_timeout`` seconds of the
    budget for the replica to catch up.
    """

    origin: ids.VmName
    instance: ids.InstanceName
    request: Request
    budget: float
    role: enums.Role
    min_position: position.Position | None = None
    max_staleness: float = float('inf')
    catch_up_timeout: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ResultChunk(Message):
    """Part of an answer that is not its last part."""

    request_id: ids.RequestId
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerConsumed(Message):
    """Report that ``size`` bytes of an answer were sent to the caller.

    The router adds the instance, whose gate the report is for.
    """

    request_id: ids.RequestId
    size: int
    instance: ids.InstanceName | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConnAnswerConsumed(Message):
    """Report to a link that ``size`` bytes of an answer were sent on."""

    conn_id: ids.ConnId
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceReport(Message):
    """State of one instance, from its gate to a router.

    ``lag`` estimates how many seconds the instance is behind its
    primary; ``queue_wait`` is the expected wait in the gate's queue in
    seconds.
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
    """End of a request: its outcome and the last part of its answer.

    ``data`` has the last bytes of the instance's answer, also if that
    answer is an error; ``error`` is set if the instance gave no answer.
    """

    request_id: ids.RequestId
    outcome: enums.Outcome
    data: bytes = b''
    error: errors.CallerError | None = None
    position: position.Position | None = None
    in_transaction: bool = False
    report: InstanceReport | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMoved(Message):
    """Reply that a gate did not run a request, and why.

    The router chooses another gate or instance by ``reason`` and
    ``report``.
    """

    request_id: ids.RequestId
    instance: ids.InstanceName
    reason: enums.MoveReason
    report: InstanceReport | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AbortTransaction(Message):
    """Ask a gate to end a transaction, which the instance rolls back."""

    instance: ids.InstanceName
    transaction: ids.TransactionId


@dataclasses.dataclass(frozen=True, slots=True)
class SessionOpened(Message):
    """Report that a caller has authenticated.

    ``frontend`` is the task that receives the answers of the session;
    ``key`` stands for the user in the teams.
    """

    session_id: ids.SessionId
    frontend: ids.TaskName
    caller: ids.CallerName
    database: ids.DatabaseName | None
    token: str | None = None
    key: ids.KeyDigest | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class UseDatabase(Message):
    """Change the database of a session."""

    session_id: ids.SessionId
    database: ids.DatabaseName


@dataclasses.dataclass(frozen=True, slots=True)
class SessionReply(Message):
    """Reply that a session is accepted, or why it is refused."""

    session_id: ids.SessionId
    error: errors.CallerError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest(Message):
    """Ask for the token of a session."""

    session_id: ids.SessionId


@dataclasses.dataclass(frozen=True, slots=True)
class TokenAnswer(Message):
    """Reply with the current token of a session."""

    session_id: ids.SessionId
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class SessionClosed(Message):
    """Report that a caller's connection has ended."""

    session_id: ids.SessionId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGate(Message):
    """Acquire the instance's gate lock and end the work of older gates."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseGate(Message):
    """Release the instance's gate lock."""


@dataclasses.dataclass(frozen=True, slots=True)
class GateClaimed(Message):
    """Reply whether the instance granted the gate lock."""

    granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GateLost(Message):
    """Report that the gate lock was lost with its connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class OpenConn(Message):
    """Open one backend connection."""

    conn_id: ids.ConnId


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConn(Message):
    """Close one backend connection, also if a command runs on it."""

    conn_id: ids.ConnId


@dataclasses.dataclass(frozen=True, slots=True)
class ConnOpened(Message):
    """Report that a backend connection is authenticated and idle."""

    conn_id: ids.ConnId


@dataclasses.dataclass(frozen=True, slots=True)
class ConnClosed(Message):
    """Report that a backend connection has ended or was refused."""

    conn_id: ids.ConnId
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RunOnConn(Message):
    """Run one command on a backend connection that is idle or pinned."""

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
    """Ask one instance for its state.

    ``sequence`` pairs the ``ProbeAnswer`` with its ``Probe``.
    """

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswer(Message):
    """State of one instance; ``alive`` is unset if it did not answer.

    ``received`` and ``applied`` are the ends of the log that it has
    received and applied.  ``primary_contact_age`` is how many seconds ago, by
    the instance's own clock, it last received anything from its primary; 0 on
    the primary itself.  ``term_starts`` are the log offsets at which terms
    began.
    """

    instance: ids.InstanceName
    sequence: int
    alive: bool
    role: enums.Role = enums.Role.REPLICA
    term: ids.Term = ids.Term(0)
    received: position.Position = position.ORIGIN
    applied: position.Position = position.ORIGIN
    primary_contact_age: float = 0.0
    leaving: bool = False
    term_starts: tuple[position.TermStart, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AdvanceDrain(Message):
    """Report that the shutdown of this process has reached a stage."""

    stage: enums.DrainStage


@dataclasses.dataclass(frozen=True, slots=True)
class Drain(Message):
    """Finish the work in progress within ``budget`` and accept no more."""

    budget: float
