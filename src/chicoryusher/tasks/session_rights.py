"""Rights of one VM's sessions by the teams of the configuration in force."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.tasks import sessions

__all__ = ['SessionRights']

# Delay after which a confirmation of the configuration may have come.
CONFIRMATION_DELAY_S = 1.0


class SessionRights:
    """The teams in force, and the time up to which they are known to be.

    Without teams every session has all rights.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._rights = decisions.TeamRights(None)
        self._confirmed_at = float('-inf')
        self._public: frozenset[core.DatabaseName] = frozenset()
        self.teams: tuple[core.Team, ...] = ()

    def apply(self, config: decisions.Configuration) -> None:
        """Replace the teams by those of a newer configuration.

        What confirmed an older version also tells how new this one is.
        """
        self._rights = decisions.TeamRights(config.revocation_s)
        self._rights.apply(config.teams)
        self._rights.confirm(self._confirmed_at)
        self.teams = config.teams
        self._public = frozenset(
            database.name for database in config.databases if database.public
        )

    def confirm(self, at: float) -> None:
        """Record that the configuration was the newest at a time."""
        self._confirmed_at = max(self._confirmed_at, at)
        self._rights.confirm(at)

    @property
    def evidence_age_s(self) -> float:
        """Return for how long the configuration has not been confirmed."""
        return self._clock.boottime() - self._confirmed_at

    def team(self, name: core.TeamName | None) -> core.Team | None:
        """Return a team of the configuration in force."""
        return self._rights.team(name)

    def team_of(self, session: sessions.Session) -> core.TeamName | None:
        """Return the team of a session, None if it has none."""
        return self._rights.team_of(session.key)

    def may_start(
        self, key: core.KeyDigest | None, database: core.DatabaseName | None
    ) -> bool:
        """Return whether a session may use a database.

        Without a database, some of them must be open to it.
        """
        public = database in self._public
        if database is None:
            public = bool(self._public)
        return self._right(key, public) is not decisions.Right.UNKNOWN_KEY

    def _right(
        self, key: core.KeyDigest | None, public: bool
    ) -> decisions.Right:
        return self._rights.right(key, public, self._clock.boottime())

    def is_unentitled(self, session: sessions.Session) -> bool:
        """Return whether a session's transaction must not go on.

        Its user may have been taken away, or have moved to another team.
        """
        if not self._rights.in_force or session.database is None:
            return False
        moved = session.team not in (None, self.team_of(session))
        return moved or not self.may_start(session.key, session.database)

    def refusal(
        self, session: sessions.Session, database: core.DatabaseName
    ) -> core.CallerError | None:
        """Return why a statement is refused, None if it may run.

        A transaction that has started keeps the team of its first statement.
        """
        right = self._right(session.key, database in self._public)
        if right is decisions.Right.UNKNOWN_KEY:
            return core.NoTeam('the user belongs to no team')
        if right is decisions.Right.UNPROVED:
            return core.NotRunError(
                'the configuration may be outdated', CONFIRMATION_DELAY_S
            )
        if session.started and self.is_unentitled(session):
            return core.NotRunError('the user belongs to another team')
        return None
