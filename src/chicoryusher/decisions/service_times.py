"""How long statements take at an instance, learned from those that ran."""

from __future__ import annotations

import collections

from chicoryusher import core

__all__ = ['INITIAL_SERVICE_TIME_S', 'ServiceTimes']

# Expected seconds of a statement before any has run.
INITIAL_SERVICE_TIME_S = 0.005
# Weight of a new sample in the moving averages of the service time.
SERVICE_TIME_SAMPLE_RATIO = 0.1
# Statement classes whose service time is remembered.
MAX_CLASSES = 4096


class ServiceTimes:
    """Average service time of each statement class, in seconds."""

    def __init__(self) -> None:
        self._means: collections.OrderedDict[core.StatementClass, float]
        self._means = collections.OrderedDict()
        self.mean = INITIAL_SERVICE_TIME_S

    def expected(self, name: core.StatementClass) -> float:
        """Return the expected service time of a class."""
        return self._means.get(name, self.mean)

    def observe(self, name: core.StatementClass, seconds: float) -> None:
        """Update the averages with the time of one statement."""
        mean_before = self._means.pop(name, seconds)
        self._means[name] = mean_before + SERVICE_TIME_SAMPLE_RATIO * (
            seconds - mean_before
        )
        self.mean += SERVICE_TIME_SAMPLE_RATIO * (seconds - self.mean)
        if len(self._means) > MAX_CLASSES:
            self._means.popitem(last=False)
