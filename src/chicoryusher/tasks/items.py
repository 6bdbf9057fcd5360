"""Requests at a gate, with the guards and actions of their chart."""

from __future__ import annotations

import collections
import dataclasses
from typing import Protocol

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions

__all__ = ['GateItem', 'ItemHost', 'READ_ONLY_CODES']

Kind = core.StatementKind
READ_ONLY_CODES = frozenset((1290, 1792, 1836))
_READS = (Kind.READ, Kind.PREPARE)
_WRITES = (Kind.WRITE, Kind.DDL)


class ItemHost(Protocol):
    """What a request needs of the gate that owns it."""

    def finish(
        self,
        item: GateItem,
        outcome: core.Outcome,
        error: core.CallerError | None,
    ) -> None:
        """Send the answer to the request's origin."""

    def await_proof(self, item: GateItem) -> None:
        """Ask the group for evidence of the request's commit."""

    def fresh(self, submit: core.Submit) -> bool:
        """Tell whether the instance is proved as fresh as asked for."""

    def cut(self, item: GateItem) -> None:
        """End the statement at the instance by closing its connection."""

    def move(self, item: GateItem) -> None:
        """Give the request back: it may run at another instance."""


class GateItem(decisions.Item):
    """A request at its gate; lives by the chart ``request``."""

    __slots__ = (
        'answer',
        'conn',
        'host',
        'keyed_before',
        'position',
        'reason',
        'sent_at',
        'setup_done',
        'steps',
        'streamed',
    )

    def __init__(
        self, host: ItemHost, submit: core.Submit, now: float
    ) -> None:
        super().__init__(submit, now, now + submit.budget)
        self.host = host
        self.steps: collections.deque[decisions.Step] = collections.deque(
            decisions.plan(submit.request)
        )
        self.answer: core.ConnAnswer | None = None
        self.conn: core.ConnId | None = None
        self.position: core.Position | None = None
        self.sent_at = now
        self.reason = ''
        self.keyed_before = False
        self.setup_done = False
        self.streamed = False

    def step_done(self, answer: core.ConnAnswer) -> None:
        """Take in the answer to the first step; plan what follows."""
        if answer.position is not None:
            self.position = answer.position
        step = self.steps.popleft()
        if step.purpose is decisions.Purpose.STATEMENT:
            self.answer = answer
        if not answer.error_code:
            return
        if step.purpose is decisions.Purpose.KEY:
            self._key_refused(answer)
            return
        self.answer = answer
        self.steps.clear()
        keyed = self.request.marks.idempotency_key is not None
        statement = step.purpose is decisions.Purpose.STATEMENT
        if statement and keyed and self.request.transaction is None:
            self.steps.append(decisions.ROLLBACK)

    def _key_refused(self, answer: core.ConnAnswer) -> None:
        """Make the ledger, or answer as the first run of the key was."""
        alone = self.request.transaction is None
        code = answer.error_code
        self.steps.clear()
        if code == decisions.NO_SUCH_TABLE and alone and not self.setup_done:
            self.setup_done = True
            self.steps.extend(decisions.setup_steps(self.request))
            return
        self.answer = answer
        if code == decisions.DUPLICATE_KEY:
            self.keyed_before = True
            self.answer = dataclasses.replace(answer, data=b'', error_code=0)
        if alone:
            self.steps.append(decisions.ROLLBACK)

    @property
    def _in_transaction(self) -> bool:
        """Tell whether the instance rolls the work back by itself.

        A session that only keeps its connection commits each statement.
        """
        request = self.request
        return request.transaction is not None and not request.keeps_connection

    @property
    def reads(self) -> bool:
        """Tell whether the request has no effect, wherever it runs."""
        alone = self.request.transaction is None
        return alone and self.request.kind in _READS

    @property
    def writes(self) -> bool:
        """Tell whether a good answer claims that an effect landed."""
        if self._in_transaction:
            return self.request.kind in (Kind.COMMIT, Kind.DDL)
        return self.request.kind in _WRITES

    @property
    def may_have_landed(self) -> bool:
        """Tell whether an effect may stay if no answer comes now.

        Before the command that commits is sent, the instance rolls the
        work back with the connection.
        """
        if not self.writes:
            return not self.reads and not self._in_transaction
        if not self.steps or self._in_transaction:
            return True
        keyed = self.request.marks.idempotency_key is not None
        if keyed and self.request.kind is Kind.WRITE:
            return self.steps[0].purpose is decisions.Purpose.COMMIT
        return True

    @property
    def commits(self) -> bool:
        """Tell whether the answer needs evidence before it is passed on."""
        if self.keyed_before:
            return True
        return self.writes or self.position is not None

    @property
    def unproved_read(self) -> bool:
        """Tell whether its primary must still prove that it led.

        A read of a replica was proved fresh before it ran.
        """
        at_primary = self.submit.role is core.Role.PRIMARY
        return self.reads and at_primary and not self.host.fresh(self.submit)


@charts.guard('request.needs_proof')
def _needs_proof(item: GateItem, answer: core.ConnAnswer) -> bool:
    return not answer.error_code and (item.commits or item.unproved_read)


@charts.guard('request.refused_here')
def _refused_here(item: GateItem, answer: core.ConnAnswer) -> bool:
    unstarted = item.request.transaction is None or item.request.begin
    return bool(unstarted) and answer.error_code in READ_ONLY_CODES


@charts.guard('request.proves_not_run')
def _proves_not_run(item: GateItem, answer: core.ConnAnswer) -> bool:
    return answer.error_code in READ_ONLY_CODES


@charts.guard('request.may_run_again')
def _may_run_again(item: GateItem, arg: object) -> bool:
    return item.reads and not item.streamed


@charts.guard('request.may_have_landed')
def _may_have_landed(item: GateItem, arg: object) -> bool:
    return item.may_have_landed or item.streamed


@charts.action('request.move')
def _move(item: GateItem, arg: object) -> None:
    item.host.move(item)


@charts.action('request.await_proof')
def _await_proof(item: GateItem, arg: object) -> None:
    item.host.await_proof(item)


@charts.action('request.cut')
def _cut(item: GateItem, arg: object) -> None:
    item.host.cut(item)


@charts.action('request.done')
def _done(item: GateItem, arg: object) -> None:
    item.host.finish(item, core.Outcome.DONE, None)


@charts.action('request.not_run')
def _not_run(item: GateItem, arg: object) -> None:
    request = item.request
    error: core.CallerError = core.NotRunError(item.reason or 'refused')
    if isinstance(arg, decisions.Shed):
        error = core.NotRunError(arg.reason, arg.retry_after)
    elif request.transaction is not None and request.begin is None:
        error = core.TransactionLost('the transaction ended without commit')
    item.host.finish(item, core.Outcome.NOT_RUN, error)


@charts.action('request.unknown')
def _unknown(item: GateItem, arg: object) -> None:
    error = core.UnknownOutcomeError(item.reason or 'no evidence in time')
    item.host.finish(item, core.Outcome.UNKNOWN, error)
