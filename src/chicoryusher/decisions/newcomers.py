"""Callers that have connected and not said yet who they are."""

from __future__ import annotations

from chicoryusher import core

__all__ = ['Newcomers']


class Newcomers:
    """Bound how many there are, and how long each may take (seconds)."""

    def __init__(self, most: int, patience: float) -> None:
        self._most = most
        self._patience = patience
        self._since: dict[core.SessionId, float] = {}

    def __len__(self) -> int:
        return len(self._since)

    def admit(self, session_id: core.SessionId, now: float) -> bool:
        """Note a new caller; False if too many have said nothing yet."""
        if len(self._since) >= self._most:
            return False
        self._since[session_id] = now
        return True

    def settle(self, session_id: core.SessionId) -> None:
        """Forget a caller that has said who it is, or has left."""
        self._since.pop(session_id, None)

    def late(self, now: float) -> tuple[core.SessionId, ...]:
        """Return the callers whose time is over; they came in order."""
        found = []
        for session_id, since in self._since.items():
            if now - since < self._patience:
                break
            found.append(session_id)
        return tuple(found)

    def next_late(self, now: float) -> float | None:
        """Return the seconds until the next is late, None without any."""
        for since in self._since.values():
            return max(0.0, since + self._patience - now)
        return None
