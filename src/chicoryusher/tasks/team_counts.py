"""What became of the statements of each team on one VM."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from chicoryusher import core

__all__ = ['TeamCounts']

# Seconds for which a team counts as throttled after a statement was refused.
THROTTLED_S = 10.0
REFUSING_OUTCOMES = (
    core.AllowanceOutcome.OVER_LIMIT,
    core.AllowanceOutcome.UNANSWERED,
)

Row = tuple[tuple[str, str], ...]


class TeamCounts:
    """Answered statements by team and outcome, since the start.

    ``throttled`` counts those that the team's limit did not allow, by the
    limiter's decision.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self.answers: collections.Counter[
            tuple[core.TeamName, core.Outcome]
        ] = collections.Counter()
        self.throttled: collections.Counter[
            tuple[core.TeamName, core.AllowanceOutcome]
        ] = collections.Counter()
        self._last_refusal: dict[core.TeamName, str] = {}
        self._last_throttled: dict[
            core.TeamName, tuple[float, core.AllowanceOutcome]
        ] = {}

    def record(self, team: core.TeamName | None, answer: core.Answer) -> None:
        """Count an answer, and keep the text of a refusal."""
        if team is None:
            return
        self.answers[team, answer.outcome] += 1
        if answer.error is not None:
            self._last_refusal[team] = str(answer.error)

    def record_throttled(
        self, team: core.TeamName | None, outcome: core.AllowanceOutcome
    ) -> None:
        """Count a statement that the limit of its team did not allow."""
        if team is None:
            return
        self.throttled[team, outcome] += 1
        self._last_throttled[team] = (self._clock.now(), outcome)

    def _throttled_by(self, team: core.TeamName) -> str:
        """Return why statements of a team were refused lately."""
        at, outcome = self._last_throttled.get(team, (float('-inf'), None))
        if outcome is None or self._clock.now() - at > THROTTLED_S:
            return ''
        return outcome.value

    def rows(
        self,
        teams: tuple[core.Team, ...],
        sessions: Iterable[core.TeamName | None],
    ) -> tuple[Row, ...]:
        """Return the state of each team for operators.

        ``sessions`` has the team of each open session.
        """
        session_counts = collections.Counter(sessions)
        return tuple(
            (
                ('team', str(team.name)),
                ('users', str(len(team.keys))),
                ('priority', str(team.priority)),
                ('rate', '' if team.rate is None else f'{team.rate:g}'),
                ('burst', f'{team.burst:g}'),
                ('sessions', str(session_counts[team.name])),
                *(
                    (outcome.value, str(self.answers[team.name, outcome]))
                    for outcome in core.Outcome
                ),
                *(
                    (outcome.value, str(self.throttled[team.name, outcome]))
                    for outcome in REFUSING_OUTCOMES
                ),
                ('throttled', self._throttled_by(team.name)),
                ('last_refusal', self._last_refusal.get(team.name, '')),
            )
            for team in teams
        )
