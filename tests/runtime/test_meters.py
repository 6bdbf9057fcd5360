"""Measurements that are made before a collector is started."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.runtime import meters as meters_module


class Collector(runtime.NullMeters):
    def __init__(self):
        self.measurements = []

    def add(self, metric, **labels):
        self.measurements.append((metric, labels))

    def record(self, metric, seconds, **labels):
        self.measurements.append((metric, seconds, labels))

    def show(self, metric, value, **labels):
        self.measurements.append((metric, value, labels))


def test_buffered_measurements_are_forwarded_in_order():
    buffering, collector = runtime.BufferingMeters(), Collector()
    buffering.add(core.Metric.RETRIES, why='a')
    buffering.record(core.Metric.QUEUE, 0.5, instance='i')
    buffering.start(collector)
    buffering.show(core.Metric.SESSIONS, 3)
    assert collector.measurements == [
        (core.Metric.RETRIES, {'why': 'a'}),
        (core.Metric.QUEUE, 0.5, {'instance': 'i'}),
        (core.Metric.SESSIONS, 3, {}),
    ]


def test_full_buffer_drops_the_oldest_measurements():
    buffering, collector = runtime.BufferingMeters(), Collector()
    for number in range(meters_module.MAX_BUFFERED_COUNT + 10):
        buffering.show(core.Metric.SESSIONS, number)
    buffering.start(collector)
    assert len(collector.measurements) == meters_module.MAX_BUFFERED_COUNT
    assert collector.measurements[0][1] == 10
