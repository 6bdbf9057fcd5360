"""Enforces the limits of what a front end holds for its callers."""

from __future__ import annotations

from collections.abc import Callable

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime

__all__ = ['CallerGuard', 'LimitCheck']

# Step in which the metric of held bytes changes.
HELD_BYTES_STEP = 64 * 1024


class LimitCheck(core.Message):
    """Close the callers whose message or answer took too long."""


class CallerGuard:
    """Watch over the callers of the front end that owns this object.

    ``close`` closes the connection of a caller, which the front end must
    then ``forget``.
    """

    def __init__(
        self,
        frontend: runtime.Task,
        limits: decisions.CallerLimits,
        close: Callable[[core.SessionId], None],
    ) -> None:
        self._frontend = frontend
        self._close = close
        self._watch = decisions.CallerWatch(limits)
        self._timer: core.TimerId | None = None
        # Bytes read since the other tasks could last act.
        self._bytes_of_turn = 0
        self._shown_held_bytes = 0

    def may_read_now(self) -> bool:
        """Return whether more may be read in this turn of the loop."""
        return self._watch.may_read_more(self._bytes_of_turn)

    def may_read(self, use: decisions.CallerUse) -> bool:
        """Return whether the next bytes of a caller should be read."""
        return self._watch.may_read(use)

    def has_room(self, statement_bytes: int) -> bool:
        """Return whether a statement that was received may run."""
        return self._watch.has_room(statement_bytes)

    def end_message(self, session_id: core.SessionId) -> None:
        """Note that a message of a caller is complete."""
        self._watch.end_message(session_id)

    def end_answer_part(self, session_id: core.SessionId) -> None:
        """Note that a caller has taken a part of a long answer."""
        self._watch.end_answer_part(session_id)

    def forget(self, session_id: core.SessionId) -> None:
        """Forget a caller that has left."""
        self._watch.forget(session_id)

    def record_read(
        self, session_id: core.SessionId, use: decisions.CallerUse, count: int
    ) -> None:
        """Note bytes that were read, and close callers over a limit."""
        self._bytes_of_turn += count
        self.update(session_id, use)
        if self._watch.has_excess:
            self._close_over_limit()

    def update(
        self, session_id: core.SessionId, use: decisions.CallerUse
    ) -> None:
        """Note what is held for a caller."""
        self._watch.update(session_id, use, self._frontend.now())

    def settle(self) -> None:
        """End a turn of the loop: close callers over a limit."""
        self._bytes_of_turn = 0
        if self._watch.has_excess:
            self._close_over_limit()
        self._schedule_check()
        held = self._watch.held_bytes // HELD_BYTES_STEP * HELD_BYTES_STEP
        if held != self._shown_held_bytes:
            self._shown_held_bytes = held
            self._frontend.meters.show(core.Metric.HELD_BYTES, held)

    def check(self) -> None:
        """Handle a ``LimitCheck``."""
        self._timer = None
        self._close_over_limit()

    def _schedule_check(self) -> None:
        delay = self._watch.seconds_to_expiry(self._frontend.now())
        if delay is not None and self._timer is None:
            self._timer = self._frontend.after(delay, LimitCheck())

    def _close_over_limit(self) -> None:
        for session_id, limit in self._watch.to_close(self._frontend.now()):
            self._frontend.log.emit(
                core.LogEvent.CALLER_OVER_LIMIT,
                session=session_id,
                limit=limit.value,
                held=self._watch.held_bytes,
            )
            self._frontend.meters.add(
                core.Metric.CALLERS_CLOSED, limit=limit.value
            )
            self._close(session_id)
