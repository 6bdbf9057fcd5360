"""Things that must end within one and the same time."""

from __future__ import annotations

from typing import Generic
from typing import TypeVar

__all__ = ['Deadlines']

_Key = TypeVar('_Key')


class Deadlines(Generic[_Key]):
    """When each of several things began that must end within a time.

    All times are in seconds.
    """

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._began_at: dict[_Key, float] = {}

    def begin(self, key: _Key, now: float) -> None:
        """Note that a thing has begun, unless it has already."""
        self._began_at.setdefault(key, now)

    def end(self, key: _Key) -> None:
        """Forget a thing that has ended."""
        self._began_at.pop(key, None)

    def expired(self, now: float) -> list[_Key]:
        """Return the things that took too long, in the order they began."""
        expired = []
        for key, began_at in self._began_at.items():
            if now - began_at < self._timeout:
                break
            expired.append(key)
        return expired

    def seconds_to_expiry(self, now: float) -> float | None:
        """Return the seconds until the next one expires, None without any."""
        for began_at in self._began_at.values():
            return max(0.0, began_at + self._timeout - now)
        return None
