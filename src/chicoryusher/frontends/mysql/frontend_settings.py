"""Settings of the MySQL front end: its users and its limits."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions

__all__ = ['FrontendLimits', 'User']

MIB = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class User:
    """Login name and password of a user, and the caller that it belongs to."""

    name: str
    password: str = dataclasses.field(repr=False)
    caller: core.CallerName


@dataclasses.dataclass(frozen=True, slots=True)
class FrontendLimits:
    """Limits on callers' connections.

    ``max_newcomers`` bounds the connections in the handshake, and
    ``handshake_timeout`` (seconds) the time that a handshake may take. The
    router is asked for more of a result once at most ``low_water_bytes`` of
    it wait to be sent.  What is held for callers follows from ``memory_mb``,
    the memory of the machine; ``max_kept_bytes`` limits the prepared
    statements of each. A packet must end within ``message_timeout`` and an
    answer be taken within ``answer_timeout`` seconds.
    """

    max_packet_bytes: int = 16 * 1024 * 1024
    max_callers: int = 4096
    max_newcomers: int = 512
    handshake_timeout: float = 5.0
    low_water_bytes: int = 256 * 1024
    memory_mb: float = 1024
    max_kept_bytes: int = 64 * 1024 * 1024
    message_timeout: float = 60.0
    answer_timeout: float = 60.0

    def caller_limits(self) -> decisions.CallerLimits:
        """Return the limits of what is held for callers."""
        max_held = decisions.limits_for_memory(self.memory_mb * MIB)
        max_caller = self.max_kept_bytes * 2 + self.max_packet_bytes * 3
        return decisions.CallerLimits(
            max_held,
            min(max_held, max_caller),
            self.max_kept_bytes,
            self.message_timeout,
            self.answer_timeout,
        )
