"""Sessions, and the actions and guards of the chart ``session``."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from chicoryusher import charts
from chicoryusher import core

__all__ = ['Pending', 'Session', 'SessionHost']

Kind = core.StatementKind
_BEGINS = (Kind.BEGIN, Kind.BEGIN_READ_ONLY)
_ENDS = (Kind.COMMIT, Kind.ROLLBACK)
_EXPECTED_MOVES = 3


@dataclasses.dataclass(slots=True)
class Pending:
    """A request on its way, with the marks that the rules gave it."""

    session: Session
    request: core.Request
    marks: core.Marks
    deadline: float
    instance: core.InstanceName | None = None
    gate: core.VmName | None = None
    moves: int = 0
    waits: int = 0
    to_primary: bool = False

    @property
    def keeps_trying(self) -> bool:
        """Tell whether the next try may be made at once."""
        return self.moves <= _EXPECTED_MOVES


class SessionHost(Protocol):
    """What a session needs of the task that owns it."""

    draining: bool

    def reply(self, session: Session, answer: core.Answer) -> None:
        """Send an answer to the session's front end."""

    def route(self, session: Session, pending: Pending) -> None:
        """Choose an instance and send the request to its gate."""

    def abort(self, session: Session) -> None:
        """End the session's transaction at its gate."""

    def forget(self, session: Session) -> None:
        """Drop the session and its pending request."""


class Session:
    """One caller's session; lives by the chart ``session``."""

    def __init__(
        self,
        host: SessionHost,
        opened: core.SessionOpened,
        positions: dict[core.DatabaseName, core.Position],
        now: float,
    ) -> None:
        self.state = core.SessionState.GREETING
        self.host = host
        self.session_id = opened.session_id
        self.frontend = opened.frontend
        self.caller = opened.caller
        self.database = opened.database
        self.positions = positions
        self.known_since = float('-inf') if opened.token else now
        self.wrote_at: dict[core.DatabaseName, float] = {}
        self.transaction: core.TransactionId | None = None
        self.transactions = 0
        self.begin: core.Payload | None = None
        self.read_only = False
        self.started = False
        self.keeps = False
        self.instance: core.InstanceName | None = None
        self.gate: core.VmName | None = None
        self.request_id: core.RequestId | None = None


@charts.guard('session.draining')
def _draining(session: Session, pending: Pending) -> bool:
    return session.host.draining


@charts.guard('session.begins')
@charts.guard('session.rebegins')
def _begins(session: Session, pending: Pending) -> bool:
    return pending.request.kind in _BEGINS and not session.started


@charts.guard('session.ends')
def _ends(session: Session, pending: Pending) -> bool:
    return pending.request.kind in _ENDS


@charts.guard('session.ends_unstarted')
def _ends_unstarted(session: Session, pending: Pending) -> bool:
    return _ends(session, pending) and not session.started


@charts.guard('session.pins')
def _pins(session: Session, pending: Pending) -> bool:
    return pending.request.begin is not None


@charts.guard('session.still_open')
def _still_open(session: Session, answer: core.Answer) -> bool:
    if answer.error is not None:
        lost = isinstance(
            answer.error,
            core.TransactionLost | core.UnknownOutcomeError,
        )
        return not lost and (session.started or session.begin is not None)
    return answer.in_transaction or session.keeps


@charts.guard('session.unstarted')
def _unstarted(session: Session, pending: Pending) -> bool:
    return not session.started


@charts.action('session.begin')
def _begin(session: Session, pending: Pending) -> None:
    request = pending.request
    session.transactions += 1
    session.transaction = core.TransactionId(
        f'{session.session_id}:t{session.transactions}'
    )
    session.begin = request.begin
    if request.kind in _BEGINS:
        session.begin = request.payload
    session.read_only = request.kind is Kind.BEGIN_READ_ONLY
    session.started = False
    session.keeps = request.keeps_connection


@charts.action('session.answer_open')
def _answer_open(session: Session, pending: Pending) -> None:
    _answer_locally(session, pending, True)


@charts.action('session.answer_closed')
def _answer_closed(session: Session, pending: Pending) -> None:
    _answer_locally(session, pending, False)


def _answer_locally(
    session: Session, pending: Pending, in_transaction: bool
) -> None:
    session.host.reply(
        session,
        core.Answer(
            pending.request.request_id,
            core.Outcome.DONE,
            in_transaction=in_transaction,
        ),
    )


@charts.action('session.refuse_draining')
def _refuse_draining(session: Session, pending: Pending) -> None:
    session.host.reply(
        session,
        core.Answer(
            pending.request.request_id,
            core.Outcome.NOT_RUN,
            error=core.DrainingError('the proxy is shutting down'),
        ),
    )


@charts.action('session.route')
def _route(session: Session, pending: Pending) -> None:
    session.host.route(session, pending)


@charts.action('session.start')
def _start(session: Session, answer: core.Answer) -> None:
    if answer.outcome is core.Outcome.DONE:
        session.started = True
        session.begin = None


@charts.action('session.end')
def _end(session: Session, arg: core.Message) -> None:
    session.transaction = None
    session.begin = None
    session.started = False
    session.read_only = False
    session.keeps = False
    session.instance = None
    session.gate = None


@charts.action('session.answer')
def _answer(session: Session, answer: core.Answer) -> None:
    session.host.reply(session, answer)


@charts.action('session.lose')
def _lose(session: Session, pending: Pending) -> None:
    session.host.reply(
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
    session.host.abort(session)


@charts.action('session.forget')
def _forget(session: Session, arg: object) -> None:
    session.host.forget(session)
