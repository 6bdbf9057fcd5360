"""Interface by which tasks report counts, durations and gauges."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Protocol

from chicoryusher import core

__all__ = ['BufferingMeters', 'Meters', 'NullMeters']

# Measurements that are buffered for a collector that starts later; a VM makes
# some 200 a second.  The oldest ones are dropped.
MAX_BUFFERED_COUNT = 2000


class Meters(Protocol):
    """Interface of collectors; labels are those of the metric."""

    def add(self, metric: core.Metric, **labels: str) -> None:
        """Add one to a counter."""

    def record(
        self, metric: core.Metric, seconds: float, **labels: str
    ) -> None:
        """Add a duration to a histogram."""

    def show(self, metric: core.Metric, value: float, **labels: str) -> None:
        """Set a gauge."""


class NullMeters:
    """Collector that ignores all measurements."""

    def add(self, metric: core.Metric, **labels: str) -> None:
        """Ignore the count."""

    def record(
        self, metric: core.Metric, seconds: float, **labels: str
    ) -> None:
        """Ignore the duration."""

    def show(self, metric: core.Metric, value: float, **labels: str) -> None:
        """Ignore the value."""


class BufferingMeters:
    """Buffer measurements until a collector is started."""

    def __init__(self) -> None:
        self._buffered: collections.deque[Callable[[Meters], None]] = (
            collections.deque(maxlen=MAX_BUFFERED_COUNT)
        )
        self._target: Meters | None = None

    def start(self, target: Meters) -> None:
        """Forward buffered and all later measurements to ``target``."""
        self._target = target
        while self._buffered:
            self._buffered.popleft()(target)

    def add(self, metric: core.Metric, **labels: str) -> None:
        """Add one to a counter."""
        self._forward(lambda meters: meters.add(metric, **labels))

    def record(
        self, metric: core.Metric, seconds: float, **labels: str
    ) -> None:
        """Add a duration to a histogram."""
        self._forward(lambda meters: meters.record(metric, seconds, **labels))

    def show(self, metric: core.Metric, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._forward(lambda meters: meters.show(metric, value, **labels))

    def _forward(self, call: Callable[[Meters], None]) -> None:
        if self._target is None:
            self._buffered.append(call)
        else:
            call(self._target)
