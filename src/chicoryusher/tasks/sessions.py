"""Callers' sessions, and the guards and actions of their chart.

A transaction begins at an instance only with its first statement: until
then the session stores the command that begins it.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Protocol

from chicoryusher import charts
from chicoryusher import core

__all__ = ['PendingRequest', 'Session', 'SessionOwner']

Kind = core.StatementKind
_BEGIN_KINDS = (Kind.BEGIN, Kind.BEGIN_READ_ONLY)
_END_KINDS = (Kind.COMMIT, Kind.ROLLBACK)
# Moves after which a request is routed again only with a delay.
_MAX_IMMEDIATE_MOVES = 3


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request that has not been answered yet.

    ``marks`` are its attributes from the caller and the rules.  ``moves``
    counts how often a gate has not run it, ``retry_count`` how often it
    was routed again after a delay.  ``requires_primary`` is set once a
    replica was not fresh enough for it.  ``allowance_id`` is set while it
    waits for its part of its team's limit; with one it may be sent until
    ``allowance_expires_at``, a time of the boot-time clock.
    """

    session: Session
    request: core.Request
    marks: core.Marks
    deadline: float
    instance: core.InstanceName | None = None
    gate: core.VmName | None = None
    moves: int = 0
    retry_count: int = 0
    requires_primary: bool = False
    allowance_id: core.AllowanceId | None = None
    allowance_expires_at: float = float('-inf')

    @property
    def may_move_at_once(self) -> bool:
        """Return whether the request may be routed again without delay."""
        return self.moves <= _MAX_IMMEDIATE_MOVES


class SessionOwner(Protocol):
    """Task that owns a session, as the session's actions use it."""

    draining: bool

    def reply(self, session: Session, answer: core.Answer) -> None:
        """Send an answer to the session's front end."""

    def route(self, session: Session, pending: PendingRequest) -> None:
        """Choose an instance and send a request to its gate."""

    def abort_transaction(self, session: Session) -> None:
        """Ask the gate to end the session's transaction."""

    def remove(self, session: Session) -> None:
        """Remove a session and its pending request."""


class Session:
    """One caller's session; its state chart is ``session``.

    ``positions`` are the log positions that the session's reads must
    see.  Reads also see every write that was answered before
    ``must_see_before``; it is minus infinity once a token has given the
    positions.  ``last_write_at`` is when the last write to each database
    was answered.

    ``begin`` is the command that begins the session's transaction at an
    instance; ``started`` is set once it has run there.  With
    ``keeps_pinned`` the session keeps its backend connection between
    statements.
    ``request_id`` is that of the last request.  ``key`` stands for the user
    in the teams; ``team`` is the one that the last statement ran for.
    """

    def __init__(
        self,
        owner: SessionOwner,
        opened: core.SessionOpened,
        positions: dict[core.DatabaseName, core.Position],
        now: float,
    ) -> None:
        self.state = core.SessionState.GREETING
        self.owner = owner
        self.session_id = opened.session_id
        self.frontend = opened.frontend
        self.caller = opened.caller
        self.database = opened.database
        self.positions = positions
        self.must_see_before = float('-inf') if opened.token else now
        self.last_write_at: dict[core.DatabaseName, float] = {}
        self.transaction: core.TransactionId | None = None
        self.transaction_count = 0
        self.begin: core.Payload | None = None
        self.read_only = False
        self.started = False
        self.keeps_pinned = False
        self.instance: core.InstanceName | None = None
        self.gate: core.VmName | None = None
        self.request_id: core.RequestId | None = None
        self.key = opened.key
        self.team: core.TeamName | None = None

    def add_positions(
        self, positions: Mapping[core.DatabaseName, core.Position]
    ) -> None:
        """Have the session's reads see these log positions too."""
        for database, position in positions.items():
            current = self.positions.get(database, core.ORIGIN)
            self.positions[database] = max(current, position)

    def state_row(self) -> tuple[tuple[str, str], ...]:
        """Return the (name, value) pairs that operators see."""
        return (
            ('session', str(self.session_id)),
            ('caller', str(self.caller)),
            ('team', str(self.team or '')),
            ('database', str(self.database or '')),
            ('state', self.state.value),
            ('instance', str(self.instance or '')),
        )


@charts.guard('session.draining')
def _draining(session: Session, pending: PendingRequest) -> bool:
    return session.owner.draining


@charts.guard('session.begins')
@charts.guard('session.rebegins')
def _begins(session: Session, pending: PendingRequest) -> bool:
    return pending.request.kind in _BEGIN_KINDS and not session.started


@charts.guard('session.ends')
def _ends(session: Session, pending: PendingRequest) -> bool:
    return pending.request.kind in _END_KINDS


@charts.guard('session.ends_not_started')
def _ends_unstarted(session: Session, pending: PendingRequest) -> bool:
    return _ends(session, pending) and not session.started


@charts.guard('session.pins_connection')
def _pins(session: Session, pending: PendingRequest) -> bool:
    return pending.request.begin_payload is not None


@charts.guard('session.transaction_open')
def _still_open(session: Session, answer: core.Answer) -> bool:
    if answer.error is not None:
        lost = isinstance(
            answer.error,
            core.TransactionLost | core.UnknownOutcomeError,
        )
        return not lost and (session.started or session.begin is not None)
    return answer.in_transaction or session.keeps_pinned


@charts.guard('session.transaction_not_started')
def _unstarted(session: Session, pending: PendingRequest) -> bool:
    return not session.started


@charts.action('session.begin_transaction')
def _begin(session: Session, pending: PendingRequest) -> None:
    request = pending.request
    session.transaction_count += 1
    session.transaction = core.TransactionId(
        f'{session.session_id}:t{session.transaction_count}'
    )
    session.begin = request.begin_payload
    if request.kind in _BEGIN_KINDS:
        session.begin = request.payload
    session.read_only = request.kind is Kind.BEGIN_READ_ONLY
    session.started = False
    session.keeps_pinned = request.pins_connection


@charts.action('session.answer_open')
def _answer_open(session: Session, pending: PendingRequest) -> None:
    _answer_locally(session, pending, True)


@charts.action('session.answer_closed')
def _answer_closed(session: Session, pending: PendingRequest) -> None:
    _answer_locally(session, pending, False)


def _answer_locally(
    session: Session, pending: PendingRequest, in_transaction: bool
) -> None:
    session.owner.reply(
        session,
        core.Answer(
            pending.request.request_id,
            core.Outcome.DONE,
            in_transaction=in_transaction,
        ),
    )


@charts.action('session.refuse_draining')
def _refuse_draining(session: Session, pending: PendingRequest) -> None:
    session.owner.reply(
        session,
        core.Answer(
            pending.request.request_id,
            core.Outcome.NOT_RUN,
            error=core.DrainingError('the proxy is shutting down'),
        ),
    )


@charts.action('session.route')
def _route(session: Session, pending: PendingRequest) -> None:
    session.owner.route(session, pending)


@charts.action('session.mark_started')
def _start(session: Session, answer: core.Answer) -> None:
    if answer.outcome is core.Outcome.DONE:
        session.started = True
        session.begin = None


@charts.action('session.clear_transaction')
def _end(session: Session, arg: core.Message) -> None:
    session.transaction = None
    session.begin = None
    session.started = False
    session.read_only = False
    session.keeps_pinned = False
    session.instance = None
    session.gate = None


@charts.action('session.answer')
def _answer(session: Session, answer: core.Answer) -> None:
    session.owner.reply(session, answer)


@charts.action('session.report_transaction_lost')
def _lose(session: Session, pending: PendingRequest) -> None:
    session.owner.reply(
        session,
        core.Answer(
            pending.request.request_id,
            core.Outcome.NOT_RUN,
            error=core.TransactionLost(
                'the transaction ended without commit; it was not run'
            ),
        ),
    )


@charts.action('session.abort')
def _abort(session: Session, arg: object) -> None:
    session.owner.abort_transaction(session)


@charts.action('session.remove')
def _forget(session: Session, arg: object) -> None:
    session.owner.remove(session)
