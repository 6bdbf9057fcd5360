"""What is logged and measured of statements on their way."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks.pool import sessions

__all__ = ['AttemptNotes']

_DONE = 'done'
_NOBODY = 'none'


class AttemptNotes:
    """Log lines and metrics of one desk's attempts.

    ``authority`` is for how many seconds primaries may still be used.
    """

    def __init__(self, desk: runtime.Task) -> None:
        self._desk = desk

    def sent(
        self,
        attempt: sessions.Attempt,
        after: core.Position | None,
        authority: float,
    ) -> None:
        """Note that an instance was chosen, and by what."""
        self._desk.log.emit(
            core.LogEvent.STATEMENT_SENT,
            request=attempt.message.request_id,
            session=attempt.session.session_id,
            database=attempt.session.database,
            access=attempt.route.access.value,
            service=attempt.route.service,
            instance=attempt.instance,
            via=attempt.via,
            primary=attempt.at_primary,
            after=after,
            proved=round(attempt.needs_age, 3),
            authority=round(authority, 3),
            tries=attempt.tries,
        )

    def held(
        self, attempt: sessions.Attempt, why: str, authority: float
    ) -> None:
        """Note that a statement was not run yet and is offered again."""
        self._desk.meters.add(core.Metric.RETRIES, why=why)
        self._desk.log.emit(
            core.LogEvent.STATEMENT_HELD,
            request=attempt.message.request_id,
            why=why,
            service=attempt.route.service,
            instance=attempt.instance,
            tries=attempt.tries,
            waited=round(self._waited(attempt), 4),
            authority=round(authority, 3),
        )

    def refused(
        self,
        attempt: sessions.Attempt,
        refusal: core.Refusal,
        why: str,
        authority: float,
    ) -> None:
        """Note that a statement ended without success."""
        self._measure(attempt, refusal.value)
        self._desk.log.emit(
            core.LogEvent.STATEMENT_REFUSED,
            request=attempt.message.request_id,
            refusal=refusal.value,
            why=why,
            database=attempt.session.database,
            service=attempt.route.service,
            instance=attempt.instance,
            tries=attempt.tries,
            waited=round(self._waited(attempt), 4),
            authority=round(authority, 3),
        )

    def done(self, attempt: sessions.Attempt) -> None:
        """Note that a statement ended with success."""
        self._measure(attempt, _DONE)

    def _waited(self, attempt: sessions.Attempt) -> float:
        return self._desk.now() - attempt.arrived

    def _measure(self, attempt: sessions.Attempt, outcome: str) -> None:
        role = core.Role.REPLICA
        if attempt.at_primary:
            role = core.Role.PRIMARY
        self._desk.meters.record(
            core.Metric.STATEMENT,
            self._waited(attempt),
            access=attempt.route.access.value,
            outcome=outcome,
            role=role.value if attempt.tries else _NOBODY,
        )
