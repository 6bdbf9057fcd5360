"""Counting before there is a collector."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.runtime import meters as meters_module


class Collector(runtime.NoMeters):
    def __init__(self):
        self.seen = []

    def add(self, metric, **labels):
        self.seen.append((metric, labels))

    def record(self, metric, seconds, **labels):
        self.seen.append((metric, seconds, labels))

    def show(self, metric, value, **labels):
        self.seen.append((metric, value, labels))


def test_what_was_counted_early_is_handed_over_in_order():
    late, collector = runtime.LateMeters(), Collector()
    late.add(core.Metric.RETRIES, why='a')
    late.record(core.Metric.QUEUE, 0.5, instance='i')
    late.start(collector)
    late.show(core.Metric.SESSIONS, 3)
    assert collector.seen == [
        (core.Metric.RETRIES, {'why': 'a'}),
        (core.Metric.QUEUE, 0.5, {'instance': 'i'}),
        (core.Metric.SESSIONS, 3, {}),
    ]


def test_no_more_is_kept_than_the_bound():
    late, collector = runtime.LateMeters(), Collector()
    for number in range(meters_module.MOST_KEPT + 10):
        late.show(core.Metric.SESSIONS, number)
    late.start(collector)
    assert len(collector.seen) == meters_module.MOST_KEPT
    assert collector.seen[0][1] == 10
