"""Connections of callers that have not completed the handshake yet."""

from __future__ import annotations

from chicoryusher import core

__all__ = ['PendingHandshakes']


class PendingHandshakes:
    """Limits the pending handshakes in number and in time (seconds)."""

    def __init__(self, max_pending: int, timeout: float) -> None:
        self._max_pending = max_pending
        self._timeout = timeout
        self._began_at: dict[core.SessionId, float] = {}

    def __len__(self) -> int:
        return len(self._began_at)

    def admit(self, session_id: core.SessionId, now: float) -> bool:
        """Add a pending handshake; return False if there are too many."""
        if len(self._began_at) >= self._max_pending:
            return False
        self._began_at[session_id] = now
        return True

    def finish(self, session_id: core.SessionId) -> None:
        """Remove a handshake that is complete or whose caller has left."""
        self._began_at.pop(session_id, None)

    def expired(self, now: float) -> tuple[core.SessionId, ...]:
        """Return the sessions whose handshake has timed out.

        The handshakes are in the order in which they began.
        """
        expired = []
        for session_id, began_at in self._began_at.items():
            if now - began_at < self._timeout:
                break
            expired.append(session_id)
        return tuple(expired)

    def seconds_to_expiry(self, now: float) -> float | None:
        """Return the seconds until the next time-out, None without any."""
        for began_at in self._began_at.values():
            return max(0.0, began_at + self._timeout - now)
        return None
