"""Log lines and metrics about attempts."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.tasks.pool.statements import sessions

__all__ = ['AttemptLog']

_OUTCOME_DONE = 'done'
_NO_ROLE = 'none'
_PROVED = 'proved'
_NOT_PROVED = 'not_proved'


class AttemptLog:
    """Write the log lines and metrics of one dispatcher's attempts.

    ``authority`` is for how many seconds primaries may still be used.
    """

    def __init__(self, dispatcher: runtime.Task) -> None:
        self._dispatcher = dispatcher

    def log_dispatch(
        self,
        attempt: sessions.Attempt,
        after: core.Position | None,
        authority: float,
    ) -> None:
        """Log which instance was selected, and the state it was based on."""
        self._dispatcher.log.emit(
            core.LogEvent.STATEMENT_SENT,
            request=attempt.message.request_id,
            session=attempt.session.session_id,
            database=attempt.session.database,
            access=attempt.route.access.value,
            service=attempt.route.service,
            instance=attempt.instance,
            via=attempt.conn_owner,
            primary=attempt.at_primary,
            after=after,
            proved=round(attempt.position_age, 3),
            authority=round(authority, 3),
            tries=attempt.try_count,
        )

    def log_delay(
        self, attempt: sessions.Attempt, why: str, authority: float
    ) -> None:
        """Log and count that a statement waits or is retried."""
        self._dispatcher.meters.add(core.Metric.RETRIES, why=why)
        self._dispatcher.log.emit(
            core.LogEvent.STATEMENT_RETRIED,
            request=attempt.message.request_id,
            why=why,
            service=attempt.route.service,
            instance=attempt.instance,
            tries=attempt.try_count,
            waited=round(self._waited(attempt), 4),
            authority=round(authority, 3),
        )

    def log_evidence(
        self, attempt: sessions.Attempt, authority: float
    ) -> None:
        """Log and count whether instances confirm an answer."""
        given = attempt.evidence
        assert given is not None
        outcome = _PROVED if given.proved else _NOT_PROVED
        service = attempt.route.service
        self._dispatcher.meters.add(
            core.Metric.EVIDENCE, service=service, outcome=outcome
        )
        self._dispatcher.log.emit(
            core.LogEvent.ANSWER_PROVED
            if given.proved
            else core.LogEvent.ANSWER_NOT_PROVED,
            request=attempt.message.request_id,
            service=service,
            instance=attempt.instance,
            evidence='instances',
            asked=given.instances,
            took=round(given.seconds, 4),
            why=given.why,
            authority=round(authority, 3),
        )

    def log_refusal(
        self,
        attempt: sessions.Attempt,
        refusal: core.Refusal,
        why: str,
        authority: float,
    ) -> None:
        """Log and measure a statement that ended without success."""
        self._record_latency(attempt, refusal.value)
        if attempt.team is not None:
            self._dispatcher.meters.add(
                core.Metric.TEAM_REFUSED,
                team=attempt.team,
                refusal=refusal.value,
            )
        transaction = attempt.session.transaction
        self._dispatcher.log.emit(
            core.LogEvent.STATEMENT_REFUSED,
            request=attempt.message.request_id,
            refusal=refusal.value,
            why=why,
            team=attempt.team,
            database=attempt.session.database,
            service=attempt.route.service,
            instance=attempt.instance,
            via=attempt.conn_owner,
            sent=attempt.was_sent,
            wrote=None if transaction is None else transaction.wrote,
            tries=attempt.try_count,
            waited=round(self._waited(attempt), 4),
            authority=round(authority, 3),
        )

    def record_success(self, attempt: sessions.Attempt) -> None:
        """Measure a statement that ended with success."""
        self._record_latency(attempt, _OUTCOME_DONE)

    def _waited(self, attempt: sessions.Attempt) -> float:
        return self._dispatcher.now() - attempt.arrived_at

    def _record_latency(self, attempt: sessions.Attempt, outcome: str) -> None:
        role = core.Role.REPLICA
        if attempt.at_primary:
            role = core.Role.PRIMARY
        self._dispatcher.meters.record(
            core.Metric.STATEMENT,
            self._waited(attempt),
            access=attempt.route.access.value,
            outcome=outcome,
            role=role.value if attempt.try_count else _NO_ROLE,
        )
