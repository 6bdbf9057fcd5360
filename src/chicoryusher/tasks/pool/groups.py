"""What a desk knows about one database group."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions

__all__ = ['DISTANCES', 'PoolGroup']

# Seconds of a round trip to an instance.  The users state 0.5 to 1.4 ms
# one way between zones and 20 ms between regions.
DISTANCES = {
    core.Nearness.SAME_ZONE: 0.001,
    core.Nearness.SAME_REGION: 0.003,
    core.Nearness.OTHER_REGION: 0.042,
}
# Seconds that a change of primary usually takes, with a promotion of 300
# to 1,000 ms.
CHANGE_TIME = 1.5
# Seconds for which a primary that leaves gets new work; users allow 7 s
# from the store's answer, of which a view passed on may take 2 s.
LEAVING_USE = 4.0


class PoolGroup:
    """The instances of a group, its primary, and where that stood."""

    def __init__(self, service: core.ServiceName) -> None:
        self.service = service
        self.instances: dict[core.InstanceName, decisions.PoolInstance] = {}
        self.primary: core.InstanceName | None = None
        self.observations = decisions.Observations()
        self.stopping: core.StopPrimary | None = None
        self.stopped_at = float('-inf')
        self._known = False
        self._leaving_since: dict[core.InstanceName, float] = {}

    def take_primary(
        self, primary: core.InstanceName | None, now: float
    ) -> None:
        """Take the primary in use; without one, note since when."""
        known, self._known = self._known, True
        if primary is None and (self.primary is not None or not known):
            self.stopped_at = now
        self.primary = primary

    def note_leaving(self, entry: core.InstanceEntry, now: float) -> None:
        """Note since when an instance has been known to leave."""
        if entry.leaving:
            self._leaving_since.setdefault(entry.name, now)
        else:
            self._leaving_since.pop(entry.name, None)

    def usable_primary(self, now: float) -> core.InstanceName | None:
        """Return the primary that new work may go to.

        One that leaves serves on until its successor is there, but not
        to the end of the time in which it may get work.
        """
        primary = self.primary
        if primary is None or primary not in self.instances:
            return None
        since = self._leaving_since.get(primary, now)
        return primary if now - since < LEAVING_USE else None

    def expects_primary(self, now: float) -> bool:
        """Tell whether a primary should be there any moment."""
        return now - self.stopped_at < CHANGE_TIME

    def learn(
        self, ended: core.WorkEnded, authority: bool, now_on: float
    ) -> bool:
        """Take a position that an instance has shown.

        Tell whether it shows where the primary stood.
        """
        position = ended.position
        one = self.instances.get(ended.instance)
        if position is None or one is None:
            return False
        if ended.instance == self.primary:
            if not authority or ended.asked_at is None:
                return False
            self.observations.add(ended.asked_at, position)
            return True
        one.position = position
        one.lag = self.observations.lag(position, now_on)
        one.lag_seen_at = now_on
        return False

    def needs(
        self, arrived_on: float, bound: float, own: core.Position | None
    ) -> decisions.ReadNeeds:
        """Return what a read must see."""
        seen = self.observations.needed(arrived_on, bound)
        if seen is None:
            return decisions.ReadNeeds(None, 0.0)
        age = arrived_on - seen.asked_at
        if own is not None and own > seen.position:
            return decisions.ReadNeeds(own, 0.0)
        return decisions.ReadNeeds(seen.position, age)
