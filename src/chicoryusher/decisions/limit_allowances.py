"""The operations of one team that wait at a VM, and those it may start.

A VM asks the keeper for what waits, and for a little more if its demand
would use that soon.  While the keeper has given the VM a turn, operations
that can't wait for it are refused at once.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from chicoryusher import core

__all__ = ['TURN_WAIT_SHARE', 'AllowanceQuestion', 'TeamAllowances']

# Seconds without an answer after which a question is asked again.
ANSWER_TIMEOUT_S = 0.4
# Seconds until the next question if the keeper can't tell when to ask.
RETRY_S = 0.1
# Seconds over which the demand is averaged, and seconds of it that a VM asks
# for in advance.
DEMAND_PERIOD_S = 1.0
PREFETCH_S = 0.25
# Share of the validity within which what was asked for in advance is used.
PREFETCH_VALIDITY_SHARE = 0.5
# Share of the time for which an operation can wait that it waits for a turn.
# In an overload a longer wait delays every operation and serves no more.
TURN_WAIT_SHARE = 0.5
# Share of the last round trip by which a question goes out before the turn.
ROUND_TRIP_SHARE = 0.9
FIRST_ROUND_TRIP_S = 0.01
_NEVER = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceQuestion:
    """What to ask the keeper for."""

    sequence: int
    wanted: int
    max_wait_s: float


@dataclasses.dataclass(slots=True)
class _Operation:
    """Until when an operation can wait, for an answer and for a turn."""

    deadline: float
    turn_deadline: float
    turn_wait_s: float

    def start_turn_wait(self, now: float) -> None:
        """Wait for a turn from now on, after a wait for a keeper."""
        until = min(now + self.turn_wait_s, self.deadline)
        self.turn_deadline = max(self.turn_deadline, until)


class TeamAllowances:
    """One team's waiting operations and allowances at one VM.

    Times are those of the boot-time clock, in seconds.
    """

    def __init__(self) -> None:
        self._rate = 0.0
        self._validity_s = 0.0
        self._waiting: dict[core.AllowanceId, _Operation] = {}
        self._held: collections.deque[list[float]] = collections.deque()
        self._sequence = 0
        self._asked_at: float | None = None
        self._asked_count = 0
        self._round_trip_s = FIRST_ROUND_TRIP_S
        self._next_at = -_NEVER
        self._expected_at = -_NEVER
        self._knows_turn = False
        self._is_short = False
        self._demand = 0.0
        self._demand_at = 0.0

    def set_limit(self, rate: float, validity_s: float) -> None:
        """Set the team's rate, and for how long allowances are valid.

        What the keeper said about the next turn no longer holds.
        """
        self._rate = rate
        self._validity_s = validity_s
        self._next_at = -_NEVER
        self._knows_turn = False

    # -- operations -----------------------------------------------------

    def add(
        self,
        allowance_id: core.AllowanceId,
        max_wait_s: float,
        now: float,
        max_turn_wait_s: float | None = None,
    ) -> None:
        """Add an operation that can wait for some seconds.

        For a turn it waits for half of them if no other time is given, from
        when a keeper first tells it.
        """
        if max_turn_wait_s is None:
            max_turn_wait_s = max_wait_s * TURN_WAIT_SHARE
        self._waiting[allowance_id] = _Operation(
            now + max_wait_s,
            now + min(max_wait_s, max_turn_wait_s),
            max_turn_wait_s,
        )
        self._demand = self._demand_now(now) + 1.0 / DEMAND_PERIOD_S
        self._demand_at = now

    def cancel(self, allowance_id: core.AllowanceId) -> None:
        """Remove an operation that no longer waits."""
        self._waiting.pop(allowance_id, None)

    def settle(self, now: float) -> list[core.AllowanceDecided]:
        """Remove and return the operations that are decided.

        They are in the order of their arrival.
        """
        self._drop_expired(now)
        refusal = core.AllowanceOutcome.UNANSWERED
        if self._knows_turn:
            refusal = core.AllowanceOutcome.OVER_LIMIT
        decided: list[core.AllowanceDecided] = []
        ahead = 0
        for allowance_id, operation in tuple(self._waiting.items()):
            if self._held:
                outcome = core.AllowanceOutcome.GRANTED
                decision = core.AllowanceDecided(
                    allowance_id, outcome, self._use_held()
                )
            elif operation.deadline <= now or (
                operation.turn_deadline < self._earliest(ahead, now)
            ):
                decision = core.AllowanceDecided(allowance_id, refusal)
            else:
                ahead += 1
                continue
            del self._waiting[allowance_id]
            decided.append(decision)
        return decided

    def _earliest(self, ahead: int, now: float) -> float:
        """Return when an operation may be granted with others ahead of it.

        Even the whole limit grants the others first.  It is not known while
        an answer is under way.
        """
        if not self._knows_turn or not self._is_short:
            return -_NEVER
        if self._asked_at is not None or self._expected_at <= now:
            return -_NEVER
        if self._rate <= 0.0:
            return _NEVER
        return max(self._expected_at, now + ahead / self._rate)

    def _use_held(self) -> float:
        batch = self._held[0]
        batch[1] -= 1
        if batch[1] <= 0:
            self._held.popleft()
        return batch[0]

    def _drop_expired(self, now: float) -> None:
        while self._held and self._held[0][0] <= now:
            self._held.popleft()

    def _demand_now(self, now: float) -> float:
        """Return the operations a second of the last time."""
        elapsed = max(0.0, now - self._demand_at)
        return self._demand * math.exp(-elapsed / DEMAND_PERIOD_S)

    # -- the keeper -----------------------------------------------------

    def question(self, now: float) -> AllowanceQuestion | None:
        """Return what to ask the keeper for now, None for nothing."""
        if self._asked_at is not None:
            if now < self._asked_at + ANSWER_TIMEOUT_S:
                return None
            self._asked_at = None
            self._knows_turn = False
        prefetch = self._prefetch(now)
        held = sum(int(count) for _, count in self._held)
        is_low = bool(prefetch) and 2 * held < prefetch
        if not self._waiting and not is_low:
            return None
        if now < self._next_at:
            return None
        self._sequence += 1
        self._asked_at = now
        self._asked_count = len(self._waiting) + max(0, prefetch - held)
        return AllowanceQuestion(
            self._sequence, self._asked_count, self._max_turn_wait_s(now)
        )

    def _max_turn_wait_s(self, now: float) -> float:
        """Return for how long operations can wait for a turn, in seconds.

        They must still wait when it is known.
        """
        waiting = self._waiting.values()
        if not self._knows_turn:
            return max((one.turn_wait_s for one in waiting), default=0.0)
        latest = max((one.turn_deadline for one in waiting), default=now)
        return max(0.0, latest - self._round_trip_s - now)

    def _prefetch(self, now: float) -> int:
        if self._is_short:
            return 0
        seconds = min(PREFETCH_S, PREFETCH_VALIDITY_SHARE * self._validity_s)
        return int(self._demand_now(now) * seconds)

    def record_grant(self, grant: core.GrantAllowance, now: float) -> None:
        """Record the keeper's answer; one to an older question is ignored.

        Allowances are valid from when they were asked for.
        """
        if grant.sequence != self._sequence or self._asked_at is None:
            return
        asked_at, self._asked_at = self._asked_at, None
        self._round_trip_s = now - asked_at
        expires_at = asked_at + self._validity_s
        if grant.granted > 0 and expires_at > now:
            self._held.append([expires_at, grant.granted])
        self._is_short = grant.granted < self._asked_count
        knew_turn = self._knows_turn
        self._knows_turn = grant.next_s is not None
        if self._knows_turn and not knew_turn:
            for operation in self._waiting.values():
                operation.start_turn_wait(now)
        if not self._is_short:
            self._next_at = now
            return
        wait_s = RETRY_S if grant.next_s is None else grant.next_s
        self._expected_at = now + wait_s
        # The question is to reach the keeper when the turn comes.
        ahead_s = ROUND_TRIP_SHARE * self._round_trip_s
        self._next_at = max(now, self._expected_at - ahead_s)

    def wake_at(self, now: float) -> float:
        """Return when to settle and ask again, infinite if never."""
        if not self._waiting:
            return _NEVER
        times = [
            min(operation.deadline for operation in self._waiting.values())
        ]
        if self._asked_at is not None:
            times.append(self._asked_at + ANSWER_TIMEOUT_S)
        elif self._next_at > now:
            times.append(self._next_at)
        else:
            # There is no keeper to ask.
            times.append(now + RETRY_S)
        return min(times)
