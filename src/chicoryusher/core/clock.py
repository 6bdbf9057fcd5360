"""Clocks: monotonic seconds, real or advanced by a test."""

from __future__ import annotations

import time
from typing import Protocol

__all__ = ['Clock', 'SystemClock', 'VirtualClock']


class Clock(Protocol):
    """Source of monotonic time in seconds."""

    def now(self) -> float:
        """Return monotonic seconds since an arbitrary origin."""

    def running_on(self) -> float:
        """Return seconds that count suspended time too."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> float:
        """Return the system's monotonic time in seconds."""
        return time.monotonic()

    def running_on(self) -> float:
        """Return the system's time since boot in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class VirtualClock:
    """Clock that stands still until it is advanced."""

    def __init__(self, start: float = 0.0) -> None:
        self._now = start
        self._suspended = 0.0

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def running_on(self) -> float:
        """Return the virtual time plus the time suspended."""
        return self._now + self._suspended

    def suspend(self, seconds: float) -> None:
        """Let time pass that ``now`` does not count."""
        self._suspended += seconds

    def advance_to(self, when: float) -> None:
        """Move to ``when`` (seconds); an earlier time is ignored."""
        self._now = max(self._now, when)
