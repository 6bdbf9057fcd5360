"""Pooled sessions: what a session keeps, and its chart's handlers."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from chicoryusher import charts
from chicoryusher import core

__all__ = ['Attempt', 'Host', 'PoolSession', 'Transaction']

Verb = core.Verb
Block = core.BlockState
_BEGINS = (Verb.BEGIN, Verb.BEGIN_READ_ONLY)
_LOCAL = (Verb.SET, Verb.PREPARE, Verb.DEALLOCATE)


@dataclasses.dataclass(slots=True)
class Transaction:
    """A session's open transaction.

    ``arrived`` is when its begin came, on the running-on clock; ``via`` is
    the VM that holds its connection, None for this one.
    """

    number: core.TransactionId
    read_only: bool
    arrived: float
    instance: core.InstanceName | None = None
    via: core.VmName | None = None
    wrote: bool = False
    route: core.PoolRoute | None = None


@dataclasses.dataclass(slots=True)
class Attempt:
    """One statement on its way to an answer.

    ``arrived`` is on the runtime's clock, ``arrived_on`` on the one that
    runs on; ``refused`` are instances that did not run it; ``held_for``
    says why it waits for an instance; ``via`` is the
    VM that runs it, None for this one.
    """

    session: PoolSession
    message: core.PoolStatement
    route: core.PoolRoute
    shape: core.Shape | None
    arrived: float
    arrived_on: float
    work_id: core.WorkId | None = None
    instance: core.InstanceName | None = None
    via: core.VmName | None = None
    at_primary: bool = False
    needs_age: float = 0.0
    refused: frozenset[core.InstanceName] = frozenset()
    tries: int = 0
    offered: bool = False
    fenced: bool = False
    held_for: str = ''

    @property
    def writes(self) -> bool:
        """Tell whether the statement changes data."""
        if self.shape is not None:
            return self.shape.kind is core.ShapeKind.WRITE
        return self.message.statement.verb is Verb.WRITE

    @property
    def commits(self) -> bool:
        """Tell whether the statement may make a change last."""
        if self.message.statement.verb is Verb.COMMIT:
            return True
        return self.writes and self.session.transaction is None


class Host(Protocol):
    """The task that owns sessions, as their chart's actions see it."""

    def route(self, session: PoolSession, message: core.PoolStatement) -> None:
        """Send the statement to an instance."""

    def answered(
        self, session: PoolSession, answer: core.SessionAnswer
    ) -> None:
        """Take what an attempt came to."""

    def reply(self, session: PoolSession, answer: core.SessionAnswer) -> None:
        """Send an answer to the session's caller."""

    def abandon(self, session: PoolSession) -> None:
        """Nobody waits for the session's statement any more."""

    def roll_back(self, session: PoolSession) -> None:
        """End the session's transaction at its instance."""

    def forget(self, session: PoolSession) -> None:
        """Drop the session."""

    def begun(self, session: PoolSession, read_only: bool) -> Transaction:
        """Return a new transaction for the session."""


class PoolSession:
    """A caller's session; lives by the chart ``pool_session``."""

    def __init__(
        self,
        host: Host,
        session_id: core.SessionId,
        frontend: core.TaskName,
        database: core.DatabaseName,
    ) -> None:
        self.state = core.PoolSessionState.IDLE
        self.host = host
        self.session_id = session_id
        self.frontend = frontend
        self.database = database
        self.values: dict[str, str] = {}
        self.prepared: dict[str, core.Shape] = {}
        self.transaction: Transaction | None = None
        self.attempt: Attempt | None = None
        self.wrote_at: core.Position | None = None
        self.used_at = 0.0


def _verb(message: core.PoolStatement) -> core.Verb:
    return message.statement.verb


@charts.guard('pool.local')
def _local(session: PoolSession, message: core.PoolStatement) -> bool:
    return _verb(message) in _LOCAL


@charts.guard('pool.begins')
def _begins(session: PoolSession, message: core.PoolStatement) -> bool:
    return _verb(message) in _BEGINS


@charts.guard('pool.rolls_back')
def _rolls_back(session: PoolSession, message: core.PoolStatement) -> bool:
    return _verb(message) is Verb.ROLLBACK


@charts.guard('pool.commits')
def _commits(session: PoolSession, message: core.PoolStatement) -> bool:
    return _verb(message) is Verb.COMMIT


@charts.guard('pool.still_open')
def _still_open(session: PoolSession, answer: core.SessionAnswer) -> bool:
    return answer.block is Block.OPEN


@charts.guard('pool.has_failed')
def _has_failed(session: PoolSession, answer: core.SessionAnswer) -> bool:
    return answer.block is Block.FAILED


@charts.action('pool.begin')
def _begin(session: PoolSession, message: core.PoolStatement) -> None:
    read_only = _verb(message) is Verb.BEGIN_READ_ONLY
    session.transaction = session.host.begun(session, read_only)


@charts.action('pool.end')
def _end(session: PoolSession, arg: object) -> None:
    session.transaction = None


@charts.action('pool.answer_local')
def _answer_local(session: PoolSession, message: core.PoolStatement) -> None:
    keep = _KEEP.get(_verb(message), _keep_nothing)
    keep(session, message.statement)
    session.host.reply(
        session,
        core.SessionAnswer(
            session.session_id, message.request_id, _block(session)
        ),
    )


@charts.action('pool.refuse_malformed')
def _refuse_malformed(
    session: PoolSession, message: core.PoolStatement
) -> None:
    _refuse(session, message, core.Refusal.MALFORMED)


@charts.action('pool.refuse_aborted')
def _refuse_aborted(session: PoolSession, message: core.PoolStatement) -> None:
    _refuse(session, message, core.Refusal.ABORTED)


def _refuse(
    session: PoolSession, message: core.PoolStatement, why: core.Refusal
) -> None:
    session.host.reply(
        session,
        core.SessionAnswer(
            session.session_id,
            message.request_id,
            _block(session),
            refusal=why,
        ),
    )


@charts.action('pool.route')
def _route(session: PoolSession, message: core.PoolStatement) -> None:
    session.host.route(session, message)


@charts.action('pool.answer')
def _answer(session: PoolSession, answer: core.SessionAnswer) -> None:
    session.host.reply(session, answer)


@charts.action('pool.abandon')
def _abandon(session: PoolSession, arg: object) -> None:
    session.host.abandon(session)


@charts.action('pool.roll_back')
def _roll_back(session: PoolSession, arg: object) -> None:
    session.host.roll_back(session)


@charts.action('pool.forget')
def _forget(session: PoolSession, arg: object) -> None:
    session.host.forget(session)


_BLOCKS = {
    core.PoolSessionState.BEGUN: Block.OPEN,
    core.PoolSessionState.OPEN: Block.OPEN,
    core.PoolSessionState.FAILED: Block.FAILED,
}


def _block(session: PoolSession) -> core.BlockState:
    return _BLOCKS.get(session.state, Block.IDLE)


def _keep_nothing(session: PoolSession, statement: core.Statement) -> None:
    """Leave the session as it is."""


def _keep_value(session: PoolSession, statement: core.Statement) -> None:
    session.values[statement.name] = statement.rest


def _keep_shape(session: PoolSession, statement: core.Statement) -> None:
    assert statement.shape is not None
    session.prepared[statement.name] = statement.shape


def _drop_shape(session: PoolSession, statement: core.Statement) -> None:
    session.prepared.pop(statement.name, None)


_KEEP = {
    Verb.SET: _keep_value,
    Verb.PREPARE: _keep_shape,
    Verb.DEALLOCATE: _drop_shape,
}
