"""Which team a caller belongs to, and until when its key may be used.

A key may have been taken away since the configuration of this VM was last
confirmed.  So a team's statement is admitted only if the configuration was
the newest one less than the bound for revocations before.
"""

from __future__ import annotations

import enum

from chicoryusher import core

__all__ = ['Right', 'TeamRights', 'key_of_user']

# Share of the bound for revocations for which a confirmation serves: clocks
# may run at different speeds.
EVIDENCE_SHARE = 0.95


def key_of_user(name: core.UserName) -> core.KeyDigest:
    """Return the key that stands for a user whose password was proved."""
    return core.KeyDigest(f'user/{name}')


class Right(enum.Enum):
    """Whether a caller may use a route.

    UNPROVED: its key was valid, but may have been taken away since.
    """

    GRANTED = 'granted'
    UNKNOWN_KEY = 'unknown_key'
    UNPROVED = 'unproved'


class TeamRights:
    """The teams of the configuration in force, by the digests of their keys.

    ``revocation_s`` is the time after which a key that was taken away must
    not be used, in seconds; None is no bound.  Times are on the boot-time
    clock, which also counts suspended time.
    """

    def __init__(self, revocation_s: float | None) -> None:
        self._revocation_s = revocation_s
        self._confirmed_at = float('-inf')
        self._teams: dict[core.TeamName, core.Team] = {}
        self._names: dict[core.KeyDigest, core.TeamName] = {}
        self._readable = True

    def apply(
        self, teams: tuple[core.Team, ...], readable: bool = True
    ) -> None:
        """Replace the teams by those of a newer configuration.

        If its teams are not ``readable``, those of the version before stay
        until the evidence for them is too old.
        """
        self._readable = readable
        if not readable:
            return
        self._teams = {team.name: team for team in teams}
        self._names = {key: team.name for team in teams for key in team.keys}

    def confirm(self, at: float) -> None:
        """Record that the configuration was the newest at a time.

        It is no evidence for teams of a version before.
        """
        if not self._readable:
            return
        self._confirmed_at = max(self._confirmed_at, at)

    @property
    def in_force(self) -> bool:
        """Return whether callers need a key at all."""
        return bool(self._teams) or not self._readable

    def team(self, name: core.TeamName | None) -> core.Team | None:
        """Return a team of the configuration in force."""
        return None if name is None else self._teams.get(name)

    def team_of(self, key: core.KeyDigest | None) -> core.TeamName | None:
        """Return the team that has a key, None if none has it."""
        return None if key is None else self._names.get(key)

    def evidence_age_s(self, now: float) -> float:
        """Return for how long the configuration has not been confirmed."""
        return now - self._confirmed_at

    def right(
        self, key: core.KeyDigest | None, public: bool, now: float
    ) -> Right:
        """Return whether a caller with this key may use a route now."""
        if not self.in_force or (public and key is None):
            return Right.GRANTED
        if self.team_of(key) is None and public:
            return Right.GRANTED
        if self.team_of(key) is None:
            may_be_new = key is not None and not self._readable
            return Right.UNPROVED if may_be_new else Right.UNKNOWN_KEY
        return Right.GRANTED if self.is_proved(now) else Right.UNPROVED

    def is_proved(self, now: float) -> bool:
        """Return whether the configuration was confirmed lately enough."""
        if self._revocation_s is None:
            return True
        max_age_s = self._revocation_s * EVIDENCE_SHARE
        return self.evidence_age_s(now) < max_age_s
