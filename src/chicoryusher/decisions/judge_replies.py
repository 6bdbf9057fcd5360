"""Replies of judges about a suspected primary, and what they decide.

Over half of the judges decide that a primary is unreachable.  In a network
partition the other judges may be on the other side of it, and the side that
has the store may have few.  Those then decide if all agree, the others have
been silent for a while, and the replicas that this side reaches receive
nothing new: the primary is gone, cut off from them too, or not written to.

Who begins a change concerns its availability only.  Its claim and the wait
for the leases of all VMs keep a primary from being used beside its successor.

Times are seconds of the runtime's clock.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from collections.abc import Iterable

from chicoryusher import core
from chicoryusher.decisions import failover

__all__ = ['JudgeReplies', 'ReplicaProgress']

# Age up to which a reply to an earlier check counts; a VM that has traffic
# checks again every 0.3 s.
KEPT_REPLY_S = 0.6
# Seconds for which a judge must not have replied, though asked, to count as
# silent: a probe, and a stream to another region that is opened first.
SILENT_AFTER_S = 0.6
# Longest pause between two checks of the same suspicion.
MAX_CHECK_PAUSE_S = 1.5
# Least share and least number of the judges that may decide while the others
# are silent: a VM that is alone must not replace what the others use.
MIN_SIDE_SHARE = 0.25
MIN_SIDE_JUDGES = 3
# Seconds from which on the replicas are asked what they have received.
ASK_REPLICAS_AFTER_S = 0.1
# Seconds for which no replica may have received anything.
QUIET_S = 0.4
# Greatest age of a replica's last status.
MAX_STATUS_AGE_S = 1.0


class JudgeReplies:
    """The judges' newest replies about one instance.

    ``True`` is a reply of a judge that has reached the instance.
    """

    def __init__(self) -> None:
        self._replies: dict[core.VmName, tuple[bool, float]] = {}
        self._first_asked_at = math.inf
        self._asked_at = -math.inf

    def start_check(self, now: float) -> None:
        """Forget the replies that are too old for a new check."""
        self._replies = {
            vm: (reached, at)
            for vm, (reached, at) in self._replies.items()
            if now - at <= KEPT_REPLY_S
        }

    def record_asked(self, now: float) -> None:
        """Record that the judges were asked."""
        if now - self._asked_at > MAX_CHECK_PAUSE_S:
            self._first_asked_at = now
        self._asked_at = now

    def record(self, vm: core.VmName, reached: bool, now: float) -> None:
        """Record a reply; one of a judge that reaches it ends a suspicion."""
        self._replies[vm] = (reached, now)
        if reached:
            self._asked_at = -math.inf

    def has_reached(self, vm: core.VmName) -> bool:
        """Return whether a VM's newest reply is that it has reached it."""
        return self._replies.get(vm, (False, 0.0))[0]

    def are_most(self, judges: Collection[core.VmName]) -> bool:
        """Return whether over half of the judges can't reach the instance."""
        reached = {vm: reached for vm, (reached, _) in self._replies.items()}
        return failover.unreachable_for_majority(reached, judges)

    def is_waiting(self, now: float) -> bool:
        """Return whether replies have been waited for since a while."""
        is_asking = now - self._asked_at <= MAX_CHECK_PAUSE_S
        waited_s = now - self._first_asked_at
        return is_asking and waited_s >= ASK_REPLICAS_AFTER_S

    def side(
        self, judges: Collection[core.VmName], now: float
    ) -> frozenset[core.VmName]:
        """Return the judges on this VM's side of a partition, if they decide.

        They do if there are enough of them, none of them reaches the instance
        and all others are silent; else the result is empty.
        """
        is_asking = now - self._asked_at <= MAX_CHECK_PAUSE_S
        if not is_asking or now - self._first_asked_at < SILENT_AFTER_S:
            return frozenset()
        heard = {
            vm: reached
            for vm, (reached, at) in self._replies.items()
            if vm in judges and now - at < SILENT_AFTER_S
        }
        least = max(MIN_SIDE_JUDGES, MIN_SIDE_SHARE * len(judges))
        if len(heard) < least or any(heard.values()):
            return frozenset()
        return frozenset(heard)


class ReplicaProgress:
    """Whether the replicas of a group still receive anything."""

    def __init__(self) -> None:
        self._received: dict[core.InstanceName, core.Position] = {}
        self._since: dict[core.InstanceName, float] = {}
        self._seen_at: dict[core.InstanceName, float] = {}

    def record(
        self, name: core.InstanceName, received: core.Position, now: float
    ) -> None:
        """Record what a replica says that it has received."""
        age_s = now - self._seen_at.get(name, -math.inf)
        is_same = self._received.get(name) == received
        if not is_same or age_s > MAX_STATUS_AGE_S:
            self._since[name] = now
        self._received[name] = received
        self._seen_at[name] = now

    def is_quiet(self, names: Iterable[core.InstanceName], now: float) -> bool:
        """Return whether none of the replicas that answer receives anything.

        At least one has to answer.
        """
        heard = [
            name
            for name in names
            if now - self._seen_at.get(name, -math.inf) <= MAX_STATUS_AGE_S
        ]
        return bool(heard) and all(
            self._seen_at[name] - self._since[name] >= QUIET_S
            for name in heard
        )
