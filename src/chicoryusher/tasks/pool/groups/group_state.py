"""State of one database group, as the dispatcher knows it."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions

__all__ = ['ROUND_TRIP_S', 'PoolGroup']

# Seconds of a round trip to an instance.  One way takes 0.5 to 1.4 ms
# between zones and 20 ms between regions, as the users state.
ROUND_TRIP_S = {
    core.ZoneDistance.SAME_ZONE: 0.001,
    core.ZoneDistance.SAME_REGION: 0.003,
    core.ZoneDistance.OTHER_REGION: 0.042,
}
# Seconds that a change of primary usually takes; the promotion is 300 to
# 1,000 ms of that.
PRIMARY_CHANGE_S = 1.5
# Seconds for which a leaving primary gets new work.  The users allow 7 s
# from the store's answer, and a view received from a peer may be 2 s old.
LEAVING_PRIMARY_USE_S = 4.0


class PoolGroup:
    """The instances of a group, its primary and the primary's log positions.

    ``stopped_at`` is since when the group has no primary in use, and
    ``change`` when the change of primary is expected to end, if announced.
    """

    def __init__(self, service: core.ServiceName) -> None:
        self.service = service
        self.instances: dict[core.InstanceName, decisions.InstanceLoad] = {}
        self.primary: core.InstanceName | None = None
        self.observations = decisions.PrimaryPositions()
        self.outliers = decisions.Outliers()
        self.stopping: core.StopPrimary | None = None
        self.stopped_at = float('-inf')
        self.change: decisions.ChangeEstimate | None = None
        self._seen_before = False
        self._leaving_since: dict[core.InstanceName, float] = {}

    def set_primary(
        self, primary: core.InstanceName | None, now: float
    ) -> None:
        """Store the primary in use.

        Without a primary, record since when the group has none.
        """
        seen_before, self._seen_before = self._seen_before, True
        if primary is None and (self.primary is not None or not seen_before):
            self.stopped_at = now
        if primary is not None:
            self.change = None
        self.primary = primary

    def record_leaving(self, entry: core.InstanceEntry, now: float) -> None:
        """Record since when an instance is registered as leaving."""
        if entry.leaving:
            self._leaving_since.setdefault(entry.name, now)
        else:
            self._leaving_since.pop(entry.name, None)

    def usable_primary(self, now: float) -> core.InstanceName | None:
        """Return the primary that may get new work, None without one.

        A leaving primary serves until its successor does, but gets no new
        work after ``LEAVING_PRIMARY_USE_S``, before the allowed time ends.
        """
        primary = self.primary
        if primary is None or primary not in self.instances:
            return None
        since = self._leaving_since.get(primary, now)
        return primary if now - since < LEAVING_PRIMARY_USE_S else None

    def expects_primary(self, now: float) -> bool:
        """Return whether a change of primary is likely to end soon."""
        return now - self.stopped_at < PRIMARY_CHANGE_S

    def announced_change(self, now: float) -> decisions.ChangeEstimate | None:
        """Return the announced end of the change under way, if any."""
        if self.change is None or not self.change.is_believed(now):
            return None
        return self.change

    def record_position(
        self, ended: core.WorkEnded, authority: bool, boot_now: float
    ) -> bool:
        """Record the log position that an instance sent with its result.

        Return whether it is a valid position of the primary.  ``boot_now``
        is on the clock that also counts suspended time.
        """
        position = ended.position
        pool_instance = self.instances.get(ended.instance)
        if position is None or pool_instance is None:
            return False
        if ended.instance == self.primary:
            if not authority or ended.sent_at_boottime is None:
                return False
            self.observations.add(ended.sent_at_boottime, position)
            return True
        pool_instance.applied_position = position
        pool_instance.lag = self.observations.lag(position, boot_now)
        pool_instance.lag_estimated_at = boot_now
        return False

    def read_needs(
        self, arrived_at: float, bound: float, last_write: core.Position | None
    ) -> decisions.ReadRequirement:
        """Return the log position that a read must see.

        It proves the staleness bound and contains the session's last write.
        Without a recent position of the primary, only the primary may serve
        the read.
        ``arrived_at`` is when the read arrived, on the clock that also
        counts suspended time; ``bound`` is the allowed staleness in seconds.
        """
        observation = self.observations.lowest_sufficient(arrived_at, bound)
        if observation is None:
            return decisions.ReadRequirement(None, 0.0)
        age = arrived_at - observation.asked_at
        if last_write is not None and last_write > observation.position:
            return decisions.ReadRequirement(last_write, 0.0)
        return decisions.ReadRequirement(observation.position, age)
