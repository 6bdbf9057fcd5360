"""A simulated network: delays, cuts and bytes between places."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher_standins import deployments

__all__ = ['Network', 'Place']

IN_ZONE_DELAY_S = 0.0002
IN_REGION_DELAY_S = 0.0015
CROSS_REGION_DELAY_S = 0.020
LINK_BYTES_PER_S = 15e6 / 8
HEADER_BYTES = 66


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where something runs: its name and its availability zone."""

    name: str
    zone: str


@dataclasses.dataclass(slots=True)
class _DelayedMessage:
    """A message held back because its path is cut."""

    source: Place
    target: Place
    size: int
    deliver: Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Deliver(core.Message):
    """The network delay of a message is over."""

    deliver: Callable[[], None]


class Network(runtime.Task):
    """Deliver messages between places; hold them back where cut.

    ``crossed`` counts the bytes sent between regions, by purpose;
    ``cut_at`` is when the last cut was made.
    """

    def __init__(
        self, loop: runtime.Runtime, deployment: deployments.Deployment
    ) -> None:
        super().__init__(loop, '', 'network')
        self._regions = dict(deployment.zones)
        self._cut_zones: set[str] = set()
        self._cut_places: set[str] = set()
        self._messages_held_back: list[_DelayedMessage] = []
        self.cut_at = float('inf')
        self._busy_until: dict[tuple[str, str], float] = {}
        self.crossed: collections.Counter[str] = collections.Counter()

    def cut_zone(self, zone: str) -> None:
        """Cut a zone off from every other zone."""
        self._cut_zones.add(zone)
        self.cut_at = self.now()

    def cut_place(self, name: str) -> None:
        """Cut one place off from everything."""
        self._cut_places.add(name)
        self.cut_at = self.now()

    def heal(self) -> None:
        """End every cut and send the messages that were held back."""
        self._cut_zones.clear()
        self._cut_places.clear()
        messages, self._messages_held_back = self._messages_held_back, []
        for message in messages:
            self.carry(
                message.source, message.target, message.size, message.deliver
            )

    def reaches(self, source: Place, target: Place) -> bool:
        """Return whether messages pass between two places."""
        if source.name == target.name:
            return True
        if {source.name, target.name} & self._cut_places:
            return False
        if source.zone == target.zone:
            return True
        return not {source.zone, target.zone} & self._cut_zones

    def delay(self, source: Place, target: Place) -> float:
        """Return the one-way delay in seconds between two places."""
        if source.zone == target.zone:
            return IN_ZONE_DELAY_S
        if self._region(source) == self._region(target):
            return IN_REGION_DELAY_S
        return CROSS_REGION_DELAY_S

    def _region(self, place: Place) -> str:
        return self._regions.get(place.zone, '')

    def carry(
        self,
        source: Place,
        target: Place,
        size: int,
        deliver: Callable[[], None],
        purpose: str = 'statements',
    ) -> None:
        """Call ``deliver`` once a message of ``size`` bytes arrives."""
        if not self.reaches(source, target):
            self._messages_held_back.append(
                _DelayedMessage(source, target, size, deliver)
            )
            return
        delay = self.delay(source, target)
        pair = self._region(source), self._region(target)
        if pair[0] != pair[1]:
            size += HEADER_BYTES
            self.crossed[purpose] += size
            send_begin = max(self.now(), self._busy_until.get(pair, 0.0))
            send_end = send_begin + size / LINK_BYTES_PER_S
            self._busy_until[pair] = send_end
            delay += send_end - self.now()
        self.after(delay, _Deliver(deliver))

    @runtime.handles(_Deliver)
    def _on_deliver(self, message: _Deliver) -> None:
        message.deliver()
