"""What is done with each way in which work may end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from chicoryusher import core
from chicoryusher.tasks.pool import sessions

__all__ = ['ENDINGS', 'spent']

_Block = core.BlockState
_Refusal = core.Refusal
# Refusals by which an instance proves that it did not run the statement.
_NOT_RUN = (
    _Refusal.BUSY,
    _Refusal.NOT_FRESH,
    _Refusal.READ_ONLY,
    _Refusal.NOT_PREPARED,
)


class Host(Protocol):
    """What runs attempts, as the endings of their work see it."""

    def authority(self) -> bool:
        """Tell whether primaries may be used now."""

    def try_elsewhere(
        self, attempt: sessions.Attempt, avoid: core.InstanceName, why: str
    ) -> None:
        """Run a statement that was not run, or may run again."""

    def wait_and_retry(self, attempt: sessions.Attempt, why: str) -> None:
        """Run a statement again at the same group a little later."""

    def report_trouble(self, name: core.InstanceName) -> None:
        """Let the watch look at an instance."""

    def finish(
        self,
        attempt: sessions.Attempt,
        refusal: core.Refusal,
        why: str,
        block: core.BlockState = _Block.IDLE,
    ) -> None:
        """Answer with a refusal."""

    def deliver(
        self,
        attempt: sessions.Attempt,
        ended: core.WorkEnded,
        block: core.BlockState,
    ) -> None:
        """Pass the instance's answer on."""


Ending = Callable[[Host, sessions.Attempt, core.WorkEnded], None]
ENDINGS: core.Registry[Ending] = core.Registry('work ending')


def spent(attempt: sessions.Attempt) -> core.Refusal:
    """Return what a statement is told whose time is over.

    Nothing of it is in flight: it was not run, or it may run again.
    """
    if attempt.session.transaction is not None:
        return _Refusal.ABORTED
    return _Refusal.BUSY


def _started(attempt: sessions.Attempt) -> bool:
    """Tell whether the statement's transaction ran one before."""
    transaction = attempt.session.transaction
    return transaction is not None and transaction.instance is not None


@ENDINGS.register(core.Ended.ANSWERED)
def _answered(
    host: Host, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    if ended.refusal is None:
        _succeeded(host, attempt, ended)
    elif ended.refusal in _NOT_RUN:
        _not_run(host, attempt, ended)
    else:
        _ran_and_failed(host, attempt, ended)


def _succeeded(
    host: Host, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    session = attempt.session
    transaction = session.transaction
    changed = attempt.commits
    if transaction is not None:
        changed = attempt.commits and transaction.wrote
    if changed and (attempt.fenced or not host.authority()):
        host.finish(
            attempt, _Refusal.UNKNOWN, 'authority lapsed before the answer'
        )
        return
    if changed and ended.position is not None:
        known = session.wrote_at
        if known is None or ended.position > known:
            session.wrote_at = ended.position
    if transaction is None or attempt.commits:
        host.deliver(attempt, ended, _Block.IDLE)
        return
    transaction.instance = ended.instance
    transaction.wrote = transaction.wrote or attempt.writes
    host.deliver(attempt, ended, _Block.OPEN)


def _not_run(
    host: Host, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    if _started(attempt):
        assert ended.refusal is not None
        if ended.refusal is _Refusal.READ_ONLY:
            host.report_trouble(ended.instance)
        host.finish(
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
    host: Host, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    if attempt.session.transaction is None:
        host.deliver(attempt, ended, _Block.IDLE)
        return
    if attempt.commits:
        host.deliver(attempt, ended, _Block.IDLE)
        return
    host.deliver(attempt, ended, _Block.FAILED)


@ENDINGS.register(core.Ended.NOT_RUN)
def _begin_refused(
    host: Host, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    _not_run(host, attempt, ended)


@ENDINGS.register(core.Ended.NOT_STARTED)
def _not_started(
    host: Host, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    if attempt.at_primary:
        host.wait_and_retry(attempt, 'no connection to the primary')
    else:
        why = 'no connection to a replica'
        host.try_elsewhere(attempt, ended.instance, why)


@ENDINGS.register(core.Ended.LOST)
def _lost(
    host: Host, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    transaction = attempt.session.transaction
    sent = ended.sent_at is not None
    if _started(attempt):
        assert transaction is not None
        if attempt.commits and transaction.wrote and sent:
            host.finish(attempt, _Refusal.UNKNOWN, 'lost in a commit')
        else:
            host.finish(attempt, _Refusal.ABORTED, 'connection lost')
        return
    if attempt.commits and transaction is None and sent:
        host.finish(attempt, _Refusal.UNKNOWN, 'lost in a write')
    elif attempt.at_primary:
        host.wait_and_retry(attempt, 'connection to the primary lost')
    else:
        why = 'connection to a replica lost'
        host.try_elsewhere(attempt, ended.instance, why)


@ENDINGS.register(core.Ended.OVERTIME)
def _overtime(
    host: Host, attempt: sessions.Attempt, ended: core.WorkEnded
) -> None:
    transaction = attempt.session.transaction
    if transaction is None:
        refusal = _Refusal.TIMEOUT
        if attempt.commits:
            refusal = _Refusal.UNKNOWN
    elif attempt.commits and transaction.wrote:
        refusal = _Refusal.UNKNOWN
    else:
        refusal = _Refusal.ABORTED
    host.finish(attempt, refusal, 'the statement ran over its time')
