"""Limits of what a process holds for its callers, and for how long.

Callers that are out of our control may send more than the process can hold.
What is held is kept in bounds in three steps: the front end reads no further
from callers that have work here, then refuses large statements, and then
closes the connections that hold most.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from chicoryusher import core
from chicoryusher.decisions import deadlines
from chicoryusher.decisions import held_bytes

__all__ = ['CallerLimits', 'CallerUse', 'CallerWatch', 'limits_for_memory']

MIB = 1024 * 1024
# Memory of a process that holds nothing for callers, and the share of a small
# machine's memory that is set aside for it.
BASE_BYTES = 100 * MIB
MAX_BASE_SHARE = 0.5
# Share of the machine's memory that the process may use.
MEMORY_SHARE = 0.8
# Copies of a held byte: the statement, its arguments, the encoded command,
# and the buffer that it is sent from.
COPIES = 4
MIN_HELD_BYTES = 8 * MIB
# Share of the limit above which nothing is read ahead, and that above which
# large statements are refused.
READ_AHEAD_SHARE = 0.5
REFUSAL_SHARE = 0.75
# A statement up to this size is not refused for lack of room.
SMALL_STATEMENT_BYTES = 4 * 1024
# Bytes that may be read ahead from a caller while its statement runs.
MAX_READ_AHEAD_BYTES = 64 * 1024
# Share of the limit of all callers that is read in one turn of the loop.
READ_SHARE_PER_TURN = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of what is held for callers.

    ``max_held_bytes`` is for all callers together, ``max_caller_bytes`` for
    each, and ``max_kept_bytes`` for the values and prepared statements that
    each keeps for its later statements.  A message that has begun must end
    within ``message_timeout`` seconds, and an answer must be taken within
    ``answer_timeout`` seconds.
    """

    max_held_bytes: int = 35 * MIB
    max_caller_bytes: int = 8 * MIB
    max_kept_bytes: int = 2 * MIB
    message_timeout: float = 60.0
    answer_timeout: float = 60.0


def limits_for_memory(memory_bytes: float) -> int:
    """Return how many bytes may be held for callers on a machine."""
    base = min(BASE_BYTES, memory_bytes * MAX_BASE_SHARE)
    free = memory_bytes * MEMORY_SHARE - base
    return max(MIN_HELD_BYTES, int(free / COPIES))


class CallerUse(NamedTuple):
    """What is held for one caller, in bytes.

    ``received`` was received and not handled; ``running`` belongs to the
    statement that waits for its answer, 0 without one; ``unsent`` was
    answered and not taken; ``kept`` is kept for later statements.
    ``message_begun`` is set while the end of a message is awaited.
    """

    received: int = 0
    running: int = 0
    unsent: int = 0
    kept: int = 0
    message_begun: bool = False

    @property
    def total(self) -> int:
        """Return the sum.

        What is kept is sent along with the statement that runs.
        """
        held = self.received + self.running + self.unsent + self.kept
        return held + self.kept if self.running else held


class CallerWatch:
    """Decide which callers are read, refused and closed."""

    def __init__(self, limits: CallerLimits) -> None:
        self._limits = limits
        self._held: held_bytes.HeldBytes[core.SessionId] = (
            held_bytes.HeldBytes(limits.max_held_bytes)
        )
        self._messages: deadlines.Deadlines[core.SessionId] = (
            deadlines.Deadlines(limits.message_timeout)
        )
        self._answers: deadlines.Deadlines[core.SessionId] = (
            deadlines.Deadlines(limits.answer_timeout)
        )
        self._over_own_limit: set[core.SessionId] = set()

    @property
    def held_bytes(self) -> int:
        """Return how many bytes are held for all callers."""
        return self._held.total

    def update(
        self, session_id: core.SessionId, use: CallerUse, now: float
    ) -> None:
        """Note what is held for a caller."""
        total = use.total
        self._held.record(session_id, total)
        if total > self._limits.max_caller_bytes:
            self._over_own_limit.add(session_id)
        else:
            self._over_own_limit.discard(session_id)
        if use.message_begun:
            self._messages.begin(session_id, now)
        else:
            self._messages.end(session_id)
        if use.unsent:
            self._answers.begin(session_id, now)
        else:
            self._answers.end(session_id)

    def end_message(self, session_id: core.SessionId) -> None:
        """Note that a message of a caller is complete."""
        self._messages.end(session_id)

    def end_answer_part(self, session_id: core.SessionId) -> None:
        """Note that a caller has taken a part of a long answer.

        The next part has a time of its own.
        """
        self._answers.end(session_id)

    def forget(self, session_id: core.SessionId) -> None:
        """Forget a caller that has left."""
        self._held.record(session_id, 0)
        self._over_own_limit.discard(session_id)
        self._messages.end(session_id)
        self._answers.end(session_id)

    def may_read(self, use: CallerUse) -> bool:
        """Return whether the next bytes of a caller should be read.

        One without a statement and an answer here may always finish its
        message.
        """
        if not use.running and not use.unsent:
            return True
        if self._held.is_above(READ_AHEAD_SHARE):
            return False
        return use.received <= MAX_READ_AHEAD_BYTES

    def may_read_more(self, bytes_of_turn: int) -> bool:
        """Return whether more may be read in this turn of the loop."""
        share = self._limits.max_held_bytes * READ_SHARE_PER_TURN
        return bytes_of_turn < share

    def has_room(self, statement_bytes: int) -> bool:
        """Return whether a statement that was received may run."""
        if statement_bytes <= SMALL_STATEMENT_BYTES:
            return True
        return not self._held.is_above(REFUSAL_SHARE)

    @property
    def has_excess(self) -> bool:
        """Return whether more is held than the limits of bytes allow."""
        return bool(self._over_own_limit) or self._held.is_above(1.0)

    def to_close(
        self, now: float
    ) -> list[tuple[core.SessionId, core.CallerLimit]]:
        """Return the callers to close, each once, and the limit."""
        kind = core.CallerLimit
        limit_by_session = {
            **dict.fromkeys(self._answers.expired(now), kind.ANSWER_TIME),
            **dict.fromkeys(self._messages.expired(now), kind.MESSAGE_TIME),
            **dict.fromkeys(self._held.excess_holders(), kind.ALL_BYTES),
            **dict.fromkeys(self._over_own_limit, kind.OWN_BYTES),
        }
        return list(limit_by_session.items())

    def seconds_to_expiry(self, now: float) -> float | None:
        """Return the seconds to the next time limit, None without any."""
        delays = (
            self._messages.seconds_to_expiry(now),
            self._answers.seconds_to_expiry(now),
        )
        return min((d for d in delays if d is not None), default=None)
