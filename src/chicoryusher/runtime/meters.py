"""What tasks count and time, whoever collects it."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Protocol

from chicoryusher import core

__all__ = ['LateMeters', 'Meters', 'NoMeters']

# What is kept for a collector that starts late; a VM counts some 200
# things a second.
MOST_KEPT = 2000


class Meters(Protocol):
    """Port of tasks to a collector; labels are those of the metric."""

    def add(self, metric: core.Metric, **labels: str) -> None:
        """Add one to a counter."""

    def record(
        self, metric: core.Metric, seconds: float, **labels: str
    ) -> None:
        """Add a duration to a histogram."""

    def show(self, metric: core.Metric, value: float, **labels: str) -> None:
        """Set a gauge."""


class NoMeters:
    """Collect nothing."""

    def add(self, metric: core.Metric, **labels: str) -> None:
        """Count nothing."""

    def record(
        self, metric: core.Metric, seconds: float, **labels: str
    ) -> None:
        """Time nothing."""

    def show(self, metric: core.Metric, value: float, **labels: str) -> None:
        """Show nothing."""


class LateMeters:
    """Keep what is counted until a collector takes it over."""

    def __init__(self) -> None:
        self._kept: collections.deque[Callable[[Meters], None]] = (
            collections.deque(maxlen=MOST_KEPT)
        )
        self._target: Meters | None = None

    def start(self, target: Meters) -> None:
        """Hand over what was kept, and all that comes."""
        self._target = target
        while self._kept:
            self._kept.popleft()(target)

    def add(self, metric: core.Metric, **labels: str) -> None:
        """Add one to a counter."""
        self._tell(lambda to: to.add(metric, **labels))

    def record(
        self, metric: core.Metric, seconds: float, **labels: str
    ) -> None:
        """Add a duration to a histogram."""
        self._tell(lambda to: to.record(metric, seconds, **labels))

    def show(self, metric: core.Metric, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._tell(lambda to: to.show(metric, value, **labels))

    def _tell(self, call: Callable[[Meters], None]) -> None:
        if self._target is None:
            self._kept.append(call)
        else:
            call(self._target)
