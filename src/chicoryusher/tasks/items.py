"""Requests at a gate, with the guards and actions of their chart.

A request runs as one or more steps, which are commands on one backend
connection.  The answer of a write, and of a read of the primary, is only
passed on with evidence that a majority of the group is in its term.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import Protocol

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions

__all__ = ['GateRequest', 'GateRequestOwner', 'READ_ONLY_ERRNOS']

Kind = core.StatementKind
# MySQL error numbers of an instance or transaction that is read-only.
READ_ONLY_ERRNOS = frozenset((1290, 1792, 1836))
_READ_KINDS = (Kind.READ, Kind.PREPARE)
_WRITE_KINDS = (Kind.WRITE, Kind.DDL)


class GateRequestOwner(Protocol):
    """Gate that owns a request, as the request's actions use it."""

    def finish(
        self,
        item: GateRequest,
        outcome: core.Outcome,
        error: core.CallerError | None,
    ) -> None:
        """Answer the request to the router that sent it."""

    def await_proof(self, item: GateRequest) -> None:
        """Ask the group monitor for evidence of a commit or a read."""

    def proved_fresh(self, submit: core.Submit) -> bool:
        """Return whether the instance is proved fresh enough."""

    def cancel_statement(self, item: GateRequest) -> None:
        """Stop the running statement by closing its connection."""

    def move_elsewhere(self, item: GateRequest) -> None:
        """Return the request to its router, to run elsewhere."""


class GateRequest(decisions.QueuedRequest):
    """One request at its gate; its state chart is ``request``.

    ``steps`` are the steps that have not been answered yet.  ``answer``
    is the instance's answer for the caller, ``position`` the log position
    of the commit, if there was one, and ``reason`` why the request
    failed.  ``key_was_used`` is set if a request with the same
    idempotency key has already run, ``ledger_created`` once the table of
    keys was created for this request, and ``partly_sent`` once a part of
    the answer was sent to the router.
    """

    __slots__ = (
        'answer',
        'conn',
        'key_was_used',
        'ledger_created',
        'owner',
        'partly_sent',
        'position',
        'reason',
        'sent_at',
        'steps',
    )

    def __init__(
        self, owner: GateRequestOwner, submit: core.Submit, now: float
    ) -> None:
        super().__init__(submit, now, now + submit.budget)
        self.owner = owner
        self.steps: collections.deque[decisions.RequestStep] = (
            collections.deque(decisions.request_steps(submit.request))
        )
        self.answer: core.ConnAnswer | None = None
        self.conn: core.ConnId | None = None
        self.position: core.Position | None = None
        self.sent_at = now
        self.reason = ''
        self.key_was_used = False
        self.ledger_created = False
        self.partly_sent = False

    def record_step_answer(self, answer: core.ConnAnswer) -> None:
        """Record the answer to the first step, and set the next steps.

        After an error in a transaction that was only begun for an
        idempotency key, that transaction is rolled back.
        """
        if answer.position is not None:
            self.position = answer.position
        step = self.steps.popleft()
        if step.purpose is decisions.StepPurpose.STATEMENT:
            self.answer = answer
        if not answer.error_code:
            return
        if step.purpose is decisions.StepPurpose.KEY:
            self._handle_key_error(answer)
            return
        self.answer = answer
        self.steps.clear()
        keyed = self.request.marks.idempotency_key is not None
        statement = step.purpose is decisions.StepPurpose.STATEMENT
        if statement and keyed and self.request.transaction is None:
            self.steps.append(decisions.ROLLBACK)

    def _handle_key_error(self, answer: core.ConnAnswer) -> None:
        """Set the next steps after the insert of an idempotency key failed.

        If the ledger does not exist, it is created and the request run
        again.  If the key was used before, the request succeeds without
        running again.
        """
        outside_transaction = self.request.transaction is None
        code = answer.error_code
        self.steps.clear()
        if (
            code == decisions.NO_SUCH_TABLE_ERRNO
            and outside_transaction
            and not self.ledger_created
        ):
            self.ledger_created = True
            self.steps.extend(decisions.steps_with_ledger_setup(self.request))
            return
        self.answer = answer
        if code == decisions.DUPLICATE_KEY_ERRNO:
            self.key_was_used = True
            self.answer = dataclasses.replace(answer, data=b'', error_code=0)
        if outside_transaction:
            self.steps.append(decisions.ROLLBACK)

    @property
    def _rolls_back_on_disconnect(self) -> bool:
        """Return whether the work is lost if the connection ends now.

        That holds inside of a transaction.  A session that only keeps its
        connection commits each statement by itself.
        """
        request = self.request
        return request.transaction is not None and not request.pins_connection

    @property
    def is_plain_read(self) -> bool:
        """Return whether the request is a read outside of a transaction."""
        outside_transaction = self.request.transaction is None
        return outside_transaction and self.request.kind in _READ_KINDS

    @property
    def commits_change(self) -> bool:
        """Return whether success means that a change was committed."""
        if self._rolls_back_on_disconnect:
            return self.request.kind in (Kind.COMMIT, Kind.DDL)
        return self.request.kind in _WRITE_KINDS

    @property
    def may_have_effect(self) -> bool:
        """Return whether the request may be in effect without an answer.

        Until the command that commits is sent, the instance rolls the
        work back when the connection ends.
        """
        if not self.commits_change:
            return (
                not self.is_plain_read and not self._rolls_back_on_disconnect
            )
        if not self.steps or self._rolls_back_on_disconnect:
            return True
        keyed = self.request.marks.idempotency_key is not None
        if keyed and self.request.kind is Kind.WRITE:
            return self.steps[0].purpose is decisions.StepPurpose.COMMIT
        return True

    @property
    def needs_commit_proof(self) -> bool:
        """Return whether the answer needs evidence of a commit."""
        if self.key_was_used:
            return True
        return self.commits_change or self.position is not None

    @property
    def needs_read_proof(self) -> bool:
        """Return whether a read still needs evidence that it is fresh.

        That holds for a read of the primary, which another may have
        replaced.  A read of a replica was proved fresh before it ran.
        """
        at_primary = self.submit.role is core.Role.PRIMARY
        return (
            self.is_plain_read
            and at_primary
            and not self.owner.proved_fresh(self.submit)
        )


@charts.guard('request.needs_proof')
def _needs_proof(item: GateRequest, answer: core.ConnAnswer) -> bool:
    return not answer.error_code and (
        item.needs_commit_proof or item.needs_read_proof
    )


@charts.guard('request.refused_read_only')
def _refused_here(item: GateRequest, answer: core.ConnAnswer) -> bool:
    unstarted = item.request.transaction is None or item.request.begin_payload
    return bool(unstarted) and answer.error_code in READ_ONLY_ERRNOS


@charts.guard('request.proves_not_run')
def _proves_not_run(item: GateRequest, answer: core.ConnAnswer) -> bool:
    return answer.error_code in READ_ONLY_ERRNOS


@charts.guard('request.may_run_again')
def _may_run_again(item: GateRequest, arg: object) -> bool:
    return item.is_plain_read and not item.partly_sent


@charts.guard('request.may_have_run')
def _may_have_effect(item: GateRequest, arg: object) -> bool:
    return item.may_have_effect or item.partly_sent


@charts.action('request.move')
def _move(item: GateRequest, arg: object) -> None:
    item.owner.move_elsewhere(item)


@charts.action('request.await_proof')
def _await_proof(item: GateRequest, arg: object) -> None:
    item.owner.await_proof(item)


@charts.action('request.cancel_statement')
def _cancel_statement(item: GateRequest, arg: object) -> None:
    item.owner.cancel_statement(item)


@charts.action('request.done')
def _done(item: GateRequest, arg: object) -> None:
    item.owner.finish(item, core.Outcome.DONE, None)


@charts.action('request.not_run')
def _not_run(item: GateRequest, arg: object) -> None:
    request = item.request
    error: core.CallerError = core.NotRunError(item.reason or 'refused')
    if isinstance(arg, decisions.Rejection):
        error = core.NotRunError(arg.reason, arg.retry_after)
    elif request.transaction is not None and request.begin_payload is None:
        error = core.TransactionLost('the transaction ended without commit')
    item.owner.finish(item, core.Outcome.NOT_RUN, error)


@charts.action('request.unknown')
def _unknown(item: GateRequest, arg: object) -> None:
    error = core.UnknownOutcomeError(item.reason or 'no evidence in time')
    item.owner.finish(item, core.Outcome.UNKNOWN, error)
