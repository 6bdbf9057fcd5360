"""What became of the statements of each team on one VM."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from chicoryusher import core

__all__ = ['TeamCounts']

Row = tuple[tuple[str, str], ...]


class TeamCounts:
    """Answered statements by team and outcome, since the start."""

    def __init__(self) -> None:
        self.answers: collections.Counter[
            tuple[core.TeamName, core.Outcome]
        ] = collections.Counter()
        self._last_refusal: dict[core.TeamName, str] = {}

    def record(self, team: core.TeamName | None, answer: core.Answer) -> None:
        """Count an answer, and keep the text of a refusal."""
        if team is None:
            return
        self.answers[team, answer.outcome] += 1
        if answer.error is not None:
            self._last_refusal[team] = str(answer.error)

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
                ('last_refusal', self._last_refusal.get(team.name, '')),
            )
            for team in teams
        )
