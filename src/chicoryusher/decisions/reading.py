"""Which instance of a group serves a read."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from chicoryusher import core

__all__ = ['PoolInstance', 'ReadNeeds', 'choose_reader']

# Seconds that a statement is expected to take where none has run yet;
# the middle of the work times that users state (7 to 47 ms).
INITIAL_SERVICE = 0.02
# Share of a new sample in the learned service time.
LEARNING = 0.15
# Cost of a second of the primary's time against one of a replica's: it
# alone can serve writes, and has as many slots as each of two replicas.
PRIMARY_WEIGHT = 2.0
# Seconds of slack before a replica is expected to have a position.
LAG_SLACK = 0.02
# Seconds added to a lag estimate that has just proved too low.
LAG_STEP = 0.1
# Seconds in which an unconfirmed lag counts for half: reads try a
# replica again although its lag keeps them away.
LAG_HALVES = 1.0
# Seconds for which an instance that was in trouble gets no new reads.
TROUBLE_PAUSE = 0.5
# Statements an instance runs at once for one VM before they queue up.
LANES = 2.0


class PoolInstance:
    """What one VM knows about an instance from its own traffic."""

    def __init__(self, entry: core.InstanceEntry, distance: float) -> None:
        self.entry = entry
        self.distance = distance
        self.service = INITIAL_SERVICE
        self.outstanding = 0
        self.position: core.Position | None = None
        self.lag = 0.0
        self.lag_seen_at = 0.0
        self.trouble_until = 0.0

    def answered(self, seconds: float) -> None:
        """Learn from the time that one statement took."""
        self.service += LEARNING * (seconds - self.service)

    def troubled(self, now: float) -> None:
        """Keep new reads away for a while."""
        self.trouble_until = now + TROUBLE_PAUSE

    def fell_behind(self, age: float, now: float) -> None:
        """Note that the log lacked what was ``age`` seconds old."""
        self.lag = max(self.expected_lag(now), age) + LAG_STEP
        self.lag_seen_at = now

    def expected_lag(self, now: float) -> float:
        """Return the lag in seconds, trusted less as it gets old."""
        return self.lag * 0.5 ** ((now - self.lag_seen_at) / LAG_HALVES)

    def cost(self) -> float:
        """Return the expected seconds until one more statement is done."""
        waiting = 1.0 + self.outstanding / LANES
        return self.distance + self.service * waiting


@dataclasses.dataclass(frozen=True, slots=True)
class ReadNeeds:
    """What a read must see; without ``after`` only the primary serves.

    ``age`` is how many seconds ago the primary was seen at ``after``.
    """

    after: core.Position | None
    age: float


def choose_reader(
    instances: Iterable[PoolInstance],
    primary: core.InstanceName | None,
    needs: ReadNeeds,
    refused: frozenset[core.InstanceName],
    now: float,
    now_on: float,
) -> core.InstanceName | None:
    """Return the instance with the least expected cost, None without.

    A leaving instance is passed over; whether a leaving primary may still
    be used is for the caller to say, by naming it or not.

    ``now_on`` is ``now`` on the clock that lags are kept by.
    """
    best: core.InstanceName | None = None
    best_cost = float('inf')
    for one in instances:
        name = one.entry.name
        if name in refused:
            continue
        if one.entry.leaving and name != primary:
            continue
        if name != primary and not _may_be_fresh(one, needs, now_on):
            continue
        cost = one.cost()
        if name == primary:
            cost *= PRIMARY_WEIGHT
        if now < one.trouble_until:
            cost += TROUBLE_PAUSE
        if cost < best_cost:
            best, best_cost = name, cost
    return best


def _may_be_fresh(one: PoolInstance, needs: ReadNeeds, now_on: float) -> bool:
    if needs.after is None:
        return False
    if one.position is not None and one.position >= needs.after:
        return True
    return needs.age >= one.expected_lag(now_on) + LAG_SLACK
