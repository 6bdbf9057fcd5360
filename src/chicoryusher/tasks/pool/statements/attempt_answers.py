"""Answers to the callers of attempts."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher.tasks.pool.statements import sessions

__all__ = ['refusal_answer', 'result_answer']


def refusal_answer(
    attempt: sessions.Attempt,
    refusal: core.Refusal,
    block: core.TransactionStatus,
) -> core.SessionAnswer:
    """Return the answer that refuses a statement."""
    return core.SessionAnswer(
        attempt.session.session_id,
        attempt.message.request_id,
        block,
        refusal=refusal,
        detail=str(attempt.instance or ''),
    )


def result_answer(
    attempt: sessions.Attempt,
    ended: core.WorkEnded,
    block: core.TransactionStatus,
) -> core.SessionAnswer:
    """Return the answer with what the instance has answered."""
    return core.SessionAnswer(
        attempt.session.session_id,
        attempt.message.request_id,
        block,
        ended.rows,
        ended.digest,
        ended.refusal,
        ended.detail,
        ended.position,
    )
