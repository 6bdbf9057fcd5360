"""Pooled sessions: their data, and the handlers of their state chart."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from chicoryusher import charts
from chicoryusher import core

__all__ = ['Attempt', 'SessionOwner', 'PoolSession', 'Transaction']

Verb = core.Verb
Block = core.TransactionStatus
_BEGIN_VERBS = (Verb.BEGIN, Verb.BEGIN_READ_ONLY)
# Memory that a value or a prepared statement takes besides its text.
ENTRY_BYTES = 256
_LOCAL_VERBS = (Verb.SET, Verb.PREPARE, Verb.DEALLOCATE)


@dataclasses.dataclass(slots=True)
class Transaction:
    """A session's open transaction.

    ``began_at_boottime`` is when its BEGIN arrived, on the clock that also
    counts suspended time (``Clock.boottime``). ``conn_owner`` is the VM that
    owns its connection, None for this VM. ``team`` is the caller's team when
    its first statement was sent.
    """

    transaction_id: core.TransactionId
    read_only: bool
    began_at_boottime: float
    instance: core.InstanceName | None = None
    conn_owner: core.VmName | None = None
    wrote: bool = False
    route: core.PoolRoute | None = None
    team: core.TeamName | None = None


@dataclasses.dataclass(slots=True)
class Attempt:
    """A statement that has not been answered yet.

    ``arrived_at`` is when it arrived, on the runtime's clock;
    ``arrived_at_boottime`` is the same on the clock that also counts suspended
    time (``Clock.boottime``). ``position_age`` is the age in seconds of the
    log position that a read must see. ``excluded`` holds instances that did
    not run the statement. ``was_dispatched`` is set once an instance has given
    the statement back to be run again. ``result_untrusted`` is set if its
    instance was fenced meanwhile: its result then proves nothing about where
    the primary stands, and its commit is reported as unknown. ``wait_reason``
    is the reason why it waits for an instance. ``conn_owner`` is the VM that
    runs it, None for this VM; ``avoided_owners`` had no connection for it, and
    ``owner_changes`` counts how often another one was tried.
    ``lacked_connection`` is set while a pool had no connection for it since
    the last pause. ``was_sent`` is whether one of its tries may have
    reached an instance, None before the first try has ended. ``team`` is the
    caller's team, None without teams. ``allowance_id`` is set while it waits
    for its part of its team's limit; it may be sent until
    ``allowance_expires_at`` (``Clock.boottime``). ``was_failed`` is set once
    it runs again because an instance has failed it. ``may_start_late`` is
    set once it has waited for the announced end of a change of primary, or
    for a keeper of its team's limit.
    ``sent_without_lease`` is whether it was sent to the primary without a
    lease, and ``evidence`` what instances have said about its answer.
    """

    session: PoolSession
    message: core.PoolStatement
    route: core.PoolRoute
    shape: core.PreparedQuery | None
    arrived_at: float
    arrived_at_boottime: float
    work_id: core.WorkId | None = None
    instance: core.InstanceName | None = None
    conn_owner: core.VmName | None = None
    avoided_owners: frozenset[core.VmName] = frozenset()
    owner_changes: int = 0
    lacked_connection: bool = False
    at_primary: bool = False
    position_age: float = 0.0
    excluded: frozenset[core.InstanceName] = frozenset()
    try_count: int = 0
    was_dispatched: bool = False
    was_sent: bool | None = None
    result_untrusted: bool = False
    wait_reason: str = ''
    team: core.TeamName | None = None
    allowance_id: core.AllowanceId | None = None
    allowance_expires_at: float = float('-inf')
    was_failed: bool = False
    may_start_late: bool = False
    sent_without_lease: bool = False
    evidence: core.EvidenceGiven | None = None

    @property
    def is_proved(self) -> bool:
        """Return whether instances have confirmed its answer."""
        return self.evidence is not None and self.evidence.proved

    @property
    def writes(self) -> bool:
        """Return whether the statement changes data."""
        if self.shape is not None:
            return self.shape.kind is core.PreparedQueryKind.WRITE
        return self.message.statement.verb is Verb.WRITE

    @property
    def may_commit(self) -> bool:
        """Return whether the statement may commit a change."""
        if self.message.statement.verb is Verb.COMMIT:
            return True
        return self.writes and self.session.transaction is None

    @property
    def commits_change(self) -> bool:
        """Return whether its success means that a change was committed."""
        transaction = self.session.transaction
        return self.may_commit and (transaction is None or transaction.wrote)


class SessionOwner(Protocol):
    """The members of the sessions' owner that the chart's handlers use."""

    # Limit of the bytes that a session keeps.
    max_kept_bytes: int

    def start_attempt(
        self, session: PoolSession, message: core.PoolStatement
    ) -> None:
        """Send the statement to an instance."""

    def attempt_answered(
        self, session: PoolSession, answer: core.SessionAnswer
    ) -> None:
        """Apply the answer to the session's running statement."""

    def send_reply(
        self, session: PoolSession, answer: core.SessionAnswer
    ) -> None:
        """Send an answer to the session's caller."""

    def cancel_statement(self, session: PoolSession) -> None:
        """Cancel the session's statement: its caller has disconnected."""

    def roll_back(self, session: PoolSession) -> None:
        """Roll back the session's transaction at its instance."""

    def remove_session(self, session: PoolSession) -> None:
        """Remove the session."""

    def new_transaction(
        self, session: PoolSession, read_only: bool
    ) -> Transaction:
        """Return a new transaction for the session."""

    def new_transaction_id(self) -> core.TransactionId:
        """Return a transaction id that was not used before."""


class PoolSession:
    """A caller's session; the chart ``pool_session`` drives its state."""

    def __init__(
        self,
        host: SessionOwner,
        session_id: core.SessionId,
        frontend: core.TaskName,
        database: core.DatabaseName,
        key: core.KeyDigest | None = None,
    ) -> None:
        self.state = core.PoolSessionState.IDLE
        self.owner = host
        self.session_id = session_id
        self.frontend = frontend
        self.database = database
        self.key = key
        self.values: dict[str, str] = {}
        self.prepared: dict[str, core.PreparedQuery] = {}
        # Size of the values and prepared statements.
        self.kept_bytes = 0
        self.transaction: Transaction | None = None
        self.attempt: Attempt | None = None
        self.last_write_position: core.Position | None = None
        self.last_used_at = 0.0


def _verb(message: core.PoolStatement) -> core.Verb:
    return message.statement.verb


@charts.guard('pool.needs_no_instance')
def _is_local(session: PoolSession, message: core.PoolStatement) -> bool:
    """Return whether the statement can be answered without an instance."""
    return _verb(message) in _LOCAL_VERBS


@charts.guard('pool.keeps_too_much')
def _keeps_too_much(session: PoolSession, message: core.PoolStatement) -> bool:
    """Return whether the session would keep more than it may."""
    added_bytes = _added_bytes(session, message.statement)
    kept_bytes = session.kept_bytes + added_bytes
    return added_bytes > 0 and kept_bytes > session.owner.max_kept_bytes


@charts.guard('pool.begins')
def _begins_transaction(
    session: PoolSession, message: core.PoolStatement
) -> bool:
    return _verb(message) in _BEGIN_VERBS


@charts.guard('pool.rolls_back')
def _rolls_back(session: PoolSession, message: core.PoolStatement) -> bool:
    return _verb(message) is Verb.ROLLBACK


@charts.guard('pool.commits')
def _commits(session: PoolSession, message: core.PoolStatement) -> bool:
    return _verb(message) is Verb.COMMIT


@charts.guard('pool.transaction_open')
def _transaction_is_open(
    session: PoolSession, answer: core.SessionAnswer
) -> bool:
    return answer.transaction_status is Block.OPEN


@charts.guard('pool.transaction_failed')
def _transaction_has_failed(
    session: PoolSession, answer: core.SessionAnswer
) -> bool:
    return answer.transaction_status is Block.FAILED


@charts.action('pool.begin_transaction')
def _begin_transaction(
    session: PoolSession, message: core.PoolStatement
) -> None:
    read_only = _verb(message) is Verb.BEGIN_READ_ONLY
    session.transaction = session.owner.new_transaction(session, read_only)


@charts.action('pool.clear_transaction')
def _end_transaction(session: PoolSession, arg: object) -> None:
    session.transaction = None


@charts.action('pool.answer_local')
def _answer_local(session: PoolSession, message: core.PoolStatement) -> None:
    """Apply a statement that needs no instance, and answer it."""
    session.kept_bytes += _added_bytes(session, message.statement)
    apply_effect = _LOCAL_EFFECTS.get(_verb(message), _change_nothing)
    apply_effect(session, message.statement)
    session.owner.send_reply(
        session,
        core.SessionAnswer(
            session.session_id,
            message.request_id,
            _block_state(session),
            kept_bytes=session.kept_bytes,
        ),
    )


@charts.action('pool.refuse_too_large')
def _refuse_too_large(
    session: PoolSession, message: core.PoolStatement
) -> None:
    _refuse(session, message, core.Refusal.TOO_LARGE)


@charts.action('pool.refuse_malformed')
def _refuse_malformed(
    session: PoolSession, message: core.PoolStatement
) -> None:
    _refuse(session, message, core.Refusal.MALFORMED)


@charts.action('pool.refuse_aborted')
def _refuse_aborted(session: PoolSession, message: core.PoolStatement) -> None:
    _refuse(session, message, core.Refusal.ABORTED)


def _refuse(
    session: PoolSession, message: core.PoolStatement, reason: core.Refusal
) -> None:
    session.owner.send_reply(
        session,
        core.SessionAnswer(
            session.session_id,
            message.request_id,
            _block_state(session),
            refusal=reason,
        ),
    )


@charts.action('pool.route')
def _route_statement(
    session: PoolSession, message: core.PoolStatement
) -> None:
    session.owner.start_attempt(session, message)


@charts.action('pool.answer')
def _answer(session: PoolSession, answer: core.SessionAnswer) -> None:
    session.owner.send_reply(session, answer)


@charts.action('pool.cancel_statement')
def _cancel_statement(session: PoolSession, arg: object) -> None:
    session.owner.cancel_statement(session)


@charts.action('pool.roll_back')
def _roll_back(session: PoolSession, arg: object) -> None:
    session.owner.roll_back(session)


@charts.action('pool.remove_session')
def _remove_session(session: PoolSession, arg: object) -> None:
    session.owner.remove_session(session)


_BLOCK_STATES = {
    core.PoolSessionState.BEGUN: Block.OPEN,
    core.PoolSessionState.OPEN: Block.OPEN,
    core.PoolSessionState.FAILED: Block.FAILED,
}


def _block_state(session: PoolSession) -> core.TransactionStatus:
    return _BLOCK_STATES.get(session.state, Block.IDLE)


def _added_bytes(session: PoolSession, statement: core.Statement) -> int:
    """Return how many bytes more the session keeps after a statement."""
    verb, name = statement.verb, statement.name
    if verb is Verb.SET:
        new, old = statement.arguments, session.values.get(name)
    elif verb in (Verb.PREPARE, Verb.DEALLOCATE):
        prepared = session.prepared.get(name)
        new = statement.prepared.template if statement.prepared else None
        old = None if prepared is None else prepared.template
    else:
        return 0
    return _kept_size(name, new) - _kept_size(name, old)


def _kept_size(name: str, text: str | None) -> int:
    return 0 if text is None else ENTRY_BYTES + len(name) + len(text)


def _change_nothing(session: PoolSession, statement: core.Statement) -> None:
    """Leave the session's values and prepared statements unchanged."""


def _set_value(session: PoolSession, statement: core.Statement) -> None:
    session.values[statement.name] = statement.arguments


def _add_prepared(session: PoolSession, statement: core.Statement) -> None:
    assert statement.prepared is not None
    session.prepared[statement.name] = statement.prepared


def _remove_prepared(session: PoolSession, statement: core.Statement) -> None:
    session.prepared.pop(statement.name, None)


_LOCAL_EFFECTS = {
    Verb.SET: _set_value,
    Verb.PREPARE: _add_prepared,
    Verb.DEALLOCATE: _remove_prepared,
}
