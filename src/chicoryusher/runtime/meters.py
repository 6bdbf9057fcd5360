"""What tasks count and time, whoever collects it."""

from __future__ import annotations

from typing import Protocol

from chicoryusher import core

__all__ = ['Meters', 'NoMeters']


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
