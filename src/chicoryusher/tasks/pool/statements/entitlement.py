"""Whether a caller may use its key: at its start, and in an attempt."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.tasks.pool.statements import sessions

__all__ = ['Objection', 'objection_to', 'start_refusal']


@dataclasses.dataclass(frozen=True, slots=True)
class Objection:
    """Why an attempt may not go on now.

    ``refusal`` is None if it may go on once the configuration is confirmed.
    """

    refusal: core.Refusal | None
    why: str


_UNKNOWN_KEY = Objection(core.Refusal.UNKNOWN_KEY, 'no team has the key')
_OUTDATED = 'the configuration may be outdated'


def objection_to(
    attempt: sessions.Attempt, rights: decisions.TeamRights, boot_now: float
) -> Objection | None:
    """Return what is against the attempt, None if its key may be used.

    A key that has been taken away also ends statements that wait.
    """
    right = rights.right(attempt.session.key, attempt.route.public, boot_now)
    if right is decisions.Right.GRANTED:
        return None
    if right is decisions.Right.UNKNOWN_KEY:
        return _UNKNOWN_KEY
    transaction = attempt.session.transaction
    if transaction is not None and transaction.instance is not None:
        return Objection(core.Refusal.ABORTED, _OUTDATED)
    return Objection(None, _OUTDATED)


def start_refusal(
    message: core.StartSession,
    routes: Mapping[core.DatabaseName, core.PoolRoute],
    rights: decisions.TeamRights,
    boot_now: float,
) -> core.Refusal | None:
    """Return why a session cannot start, None if it can."""
    route = routes.get(message.database)
    if route is None:
        return core.Refusal.NO_DATABASE
    right = rights.right(message.key, route.public, boot_now)
    if right is decisions.Right.UNKNOWN_KEY:
        return core.Refusal.UNKNOWN_KEY
    return None
