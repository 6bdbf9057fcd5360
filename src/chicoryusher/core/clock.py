"""Clocks: those of the operating system, and one that tests advance.

``now`` is the monotonic clock, which stands still while the machine is
suspended.  ``boottime`` is the boot-time clock, which counts that time
too; what must not outlast a suspension is measured by it.
"""

from __future__ import annotations

import time
from typing import Protocol

__all__ = ['Clock', 'SystemClock', 'VirtualClock']


class Clock(Protocol):
    """Source of two monotonic times in seconds."""

    def now(self) -> float:
        """Return monotonic seconds since an arbitrary origin.

        Time for which the machine was suspended is not counted.
        """

    def boottime(self) -> float:
        """Return monotonic seconds that include suspended time."""


class SystemClock:
    """Clocks of the operating system."""

    def now(self) -> float:
        """Return the seconds of CLOCK_MONOTONIC."""
        return time.monotonic()

    def boottime(self) -> float:
        """Return the seconds of CLOCK_BOOTTIME."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class VirtualClock:
    """Clock for tests, whose time changes only when it is advanced."""

    def __init__(self, start: float = 0.0) -> None:
        self._now = start
        self._suspended_s = 0.0

    def now(self) -> float:
        """Return the virtual seconds without suspended time."""
        return self._now

    def boottime(self) -> float:
        """Return the virtual seconds with suspended time."""
        return self._now + self._suspended_s

    def suspend(self, seconds: float) -> None:
        """Advance only ``boottime``, as a suspension does."""
        self._suspended_s += seconds

    def advance_to(self, when: float) -> None:
        """Advance ``now`` to ``when``; an earlier time is ignored."""
        self._now = max(self._now, when)
