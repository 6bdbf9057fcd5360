"""How a statement goes on for each way in which its work can end.

A statement is answered, refused or retried.  It is retried only if it was
not run, or if running it twice does no harm.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from chicoryusher import core
from chicoryusher.tasks.pool.statements import sessions

__all__ = ['COMPLETIONS', 'may_trust', 'proves_not_run', 'timeout_refusal']

_Block = core.TransactionStatus
_Refusal = core.Refusal
# Refusals that prove that the instance did not run the statement.
_NOT_RUN = (
    _Refusal.BUSY,
    _Refusal.NOT_FRESH,
    _Refusal.READ_ONLY,
    _Refusal.NOT_PREPARED,
)


class AttemptRunner(Protocol):
    """The operations of ``Attempts`` that completions use."""

    def has_lease(self) -> bool:
        """Return whether this VM may use primaries now."""

    def try_elsewhere(
        self, attempt: sessions.Attempt, avoid: core.InstanceName, why: str
    ) -> None:
        """Retry at another instance; the statement may safely run again."""

    def try_other_owner(self, attempt: sessions.Attempt, why: str) -> None:
        """Retry through another VM that owns connections to the instance."""

    def repeats_failed(
        self, attempt: sessions.Attempt, ended: core.WorkEnded
    ) -> bool:
        """Return whether a failed statement runs again elsewhere."""

    def wait_and_retry(self, attempt: sessions.Attempt, why: str) -> None:
        """Retry at any instance of the group after a pause."""

    def report_trouble(self, name: core.InstanceName) -> None:
        """Have the reachability monitor check an instance."""

    def refuse(
        self,
        attempt: sessions.Attempt,
        refusal: core.Refusal,
        why: str,
        block: core.TransactionStatus = _Block.IDLE,
    ) -> None:
        """Answer with a refusal, and log the reason."""

    def deliver(
        self,
        attempt: sessions.Attempt,
        ended: core.WorkEnded,
        block: core.TransactionStatus,
    ) -> None:
        """Send the instance's answer to the caller."""


CompletionHandler = Callable[
    [AttemptRunner, sessions.Attempt, core.WorkEnded], None
]
COMPLETIONS: core.Registry[CompletionHandler] = core.Registry('work ending')


def proves_not_run(ended: core.WorkEnded) -> bool:
    """Return whether the work was certainly not run."""
    if ended.completion is core.Completion.ANSWERED:
        return ended.refusal in _NOT_RUN
    if ended.completion in (
        core.Completion.NOT_STARTED,
        core.Completion.NOT_RUN,
    ):
        return True
    return ended.sent_at is None


def timeout_refusal(attempt: sessions.Attempt) -> core.Refusal:
    """Return the refusal for a statement whose time limit has passed.

    Only for a statement that is not running at any instance: either it was
    never run, or running it twice does no harm.
    """
    if attempt.session.transaction is not None:
        return _Refusal.ABORTED
    return _Refusal.BUSY


def may_trust(host: AttemptRunner, attempt: sessions.Attempt) -> bool:
    """Return whether the primary led when it ran the statement.

    A lease that was regained says nothing about a statement that was sent
    without one.
    """
    if attempt.is_proved:
        return True
    return host.has_lease() and not attempt.sent_without_lease


def _continues_transaction(attempt: sessions.Attempt) -> bool:
    """Return whether an earlier statement of its transaction was run."""
    transaction = attempt.session.transaction
    return transaction is not None and transaction.instance is not None


@COMPLETIONS.register(core.Completion.ANSWERED)
def _answered(
    host: AttemptRunner, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    if ended.refusal is None:
        _succeeded(host, attempt, ended)
    elif ended.refusal in _NOT_RUN:
        _not_run(host, attempt, ended)
    else:
        _ran_and_failed(host, attempt, ended)


def _succeeded(
    host: AttemptRunner, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    """Answer a statement that the instance ran.

    A committed change is answered with UNKNOWN if this VM had no primary lease
    over the primary any more, and no evidence from instances.  Otherwise its
    log position is stored, so that later reads of the session see the change.
    """
    session = attempt.session
    transaction = session.transaction
    commits_change = attempt.commits_change
    is_trusted = may_trust(host, attempt) and not attempt.result_untrusted
    if commits_change and not is_trusted:
        host.refuse(
            attempt,
            _Refusal.UNKNOWN,
            'primary lease expired before the answer came',
        )
        return
    if attempt.sent_without_lease and not is_trusted:
        _answered_without_evidence(host, attempt, ended)
        return
    if commits_change and ended.position is not None:
        last_write = session.last_write_position
        if last_write is None or ended.position > last_write:
            session.last_write_position = ended.position
    if transaction is None or attempt.may_commit:
        host.deliver(attempt, ended, _Block.IDLE)
        return
    transaction.instance = ended.instance
    transaction.wrote = transaction.wrote or attempt.writes
    host.deliver(attempt, ended, _Block.OPEN)


def _answered_without_evidence(
    host: AttemptRunner, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    """Retry a statement that may have run at a replaced primary.

    A transaction that it began is rolled back.
    """
    why = 'no evidence that the primary leads'
    transaction = attempt.session.transaction
    if transaction is None:
        host.wait_and_retry(attempt, why)
        return
    transaction.instance = ended.instance
    host.refuse(attempt, _Refusal.ABORTED, why)


def _not_run(
    host: AttemptRunner, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    """Retry a statement that the instance refused without running it.

    Inside a transaction that already ran a statement it can't be retried
    elsewhere, so the transaction is aborted.
    """
    if _continues_transaction(attempt):
        assert ended.refusal is not None
        if ended.refusal is _Refusal.READ_ONLY:
            host.report_trouble(ended.instance)
        host.refuse(
            attempt, _Refusal.ABORTED, f'refused: {ended.refusal.value}'
        )
        return
    if ended.refusal is _Refusal.READ_ONLY:
        host.report_trouble(ended.instance)
        host.wait_and_retry(attempt, 'the primary takes no writes')
    elif ended.refusal is _Refusal.BUSY and attempt.at_primary:
        host.wait_and_retry(attempt, 'the primary is busy')
    else:
        why = f'refused: {ended.refusal.value}'
        host.try_elsewhere(attempt, ended.instance, why)


def _ran_and_failed(
    host: AttemptRunner, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    """Deliver the error; an open transaction has failed.

    A read outside of transactions may run once more at another instance.
    """
    if host.repeats_failed(attempt, ended):
        attempt.was_failed = True
        host.try_elsewhere(attempt, ended.instance, 'an instance failed it')
        return
    if attempt.session.transaction is None:
        host.deliver(attempt, ended, _Block.IDLE)
        return
    if attempt.may_commit:
        host.deliver(attempt, ended, _Block.IDLE)
        return
    host.deliver(attempt, ended, _Block.FAILED)


@COMPLETIONS.register(core.Completion.NOT_RUN)
def _begin_not_run(
    host: AttemptRunner, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    """Retry a transaction whose begin the instance refused."""
    _not_run(host, attempt, ended)


@COMPLETIONS.register(core.Completion.NOT_STARTED)
def _not_started(
    host: AttemptRunner, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    """Retry work that got no connection to the instance.

    A further statement of a transaction is not: what ran before it is lost.
    """
    if _continues_transaction(attempt):
        why = 'the connection of the transaction is gone'
        host.refuse(attempt, _Refusal.ABORTED, why)
        return
    attempt.lacked_connection = True
    if attempt.at_primary:
        host.try_other_owner(attempt, 'no connection to the primary')
    else:
        why = 'no connection to a replica'
        host.try_elsewhere(attempt, ended.instance, why)


@COMPLETIONS.register(core.Completion.CONNECTION_LOST)
def _lost(
    host: AttemptRunner, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    """Retry or refuse a statement whose connection was lost.

    A change that may have been committed is refused with UNKNOWN.  Any
    other transaction that already ran a statement is aborted.
    """
    transaction = attempt.session.transaction
    sent = ended.sent_at is not None
    if _continues_transaction(attempt):
        assert transaction is not None
        if attempt.may_commit and transaction.wrote and sent:
            host.refuse(
                attempt, _Refusal.UNKNOWN, 'connection lost during a commit'
            )
        else:
            host.refuse(attempt, _Refusal.ABORTED, 'connection lost')
        return
    if attempt.may_commit and transaction is None and sent:
        host.refuse(
            attempt, _Refusal.UNKNOWN, 'connection lost during a write'
        )
    elif attempt.at_primary:
        host.wait_and_retry(attempt, 'connection to the primary lost')
    else:
        why = 'connection to a replica lost'
        host.try_elsewhere(attempt, ended.instance, why)


@COMPLETIONS.register(core.Completion.TIMED_OUT)
def _overtime(
    host: AttemptRunner, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    """Refuse a statement that ran longer than its time limit.

    A change that may have been committed is refused with UNKNOWN.
    """
    transaction = attempt.session.transaction
    if transaction is None:
        refusal = _Refusal.TIMEOUT
        if attempt.may_commit:
            refusal = _Refusal.UNKNOWN
    elif attempt.may_commit and transaction.wrote:
        refusal = _Refusal.UNKNOWN
    else:
        refusal = _Refusal.ABORTED
    host.refuse(attempt, refusal, 'the statement exceeded its time limit')
