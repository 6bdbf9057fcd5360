"""Metrics as text on an address, through OpenTelemetry.

Not imported by the package itself: only programs that serve metrics pay
for its libraries.
"""

from __future__ import annotations

from collections.abc import Callable

import prometheus_client
from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import view as views

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.runtime import http_server

__all__ = ['METRICS_PATH', 'MetricsServer', 'OtelMeters']

METRICS_PATH = '/metrics'
OK, NOT_FOUND = 200, 404
# Upper bounds of histograms, in seconds: latency targets are 0.6 to 1.5 s,
# work takes 0.007 to 0.5 s, and limits of statements end at 3 s.
BOUNDS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0)
_Kind = core.MetricKind
_Maker = Callable[[metrics.Meter, core.Metric], object]
_MAKERS: core.Registry[_Maker] = core.Registry('instrument')


@_MAKERS.register(_Kind.COUNTER.value)
def _counter(meter: metrics.Meter, one: core.Metric) -> metrics.Counter:
    return meter.create_counter(one.full_name, one.unit, one.meaning)


@_MAKERS.register(_Kind.HISTOGRAM.value)
def _histogram(meter: metrics.Meter, one: core.Metric) -> metrics.Histogram:
    return meter.create_histogram(one.full_name, one.unit, one.meaning)


@_MAKERS.register(_Kind.GAUGE.value)
def _gauge(meter: metrics.Meter, one: core.Metric) -> object:
    return meter.create_gauge(one.full_name, one.unit, one.meaning)


class OtelMeters:
    """Collect through OpenTelemetry; give all as Prometheus text."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self._registry,
        )
        aggregation = views.ExplicitBucketHistogramAggregation(BOUNDS)
        self._provider = sdk.MeterProvider(
            metric_readers=[reader],
            # An empty resource: its detectors would look at the machine.
            resource=resources.Resource({}),
            shutdown_on_exit=False,
            views=[
                views.View(
                    instrument_type=sdk.Histogram, aggregation=aggregation
                )
            ],
        )
        self._watched: dict[core.Metric, Callable[[], float]] = {}
        meter = self._provider.get_meter('chicoryusher')
        self._instruments = {
            one: _MAKERS.get(one.kind.value)(meter, one) for one in core.Metric
        }

    def add(self, metric: core.Metric, **labels: str) -> None:
        """Add one to a counter."""
        self._instruments[metric].add(1, labels)

    def record(
        self, metric: core.Metric, seconds: float, **labels: str
    ) -> None:
        """Add a duration to a histogram."""
        self._instruments[metric].record(seconds, labels)

    def show(self, metric: core.Metric, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._instruments[metric].set(value, labels)

    def watch(self, metric: core.Metric, read: Callable[[], float]) -> None:
        """Read a gauge whenever the metrics are asked for."""
        self._watched[metric] = read

    def text(self) -> bytes:
        """Return every metric in the text format of Prometheus."""
        for metric, read in self._watched.items():
            self.show(metric, read())
        return prometheus_client.generate_latest(self._registry)


class MetricsServer(runtime.Task):
    """Serve metrics to whoever asks."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        address: runtime.Address,
        meters: OtelMeters,
    ) -> None:
        super().__init__(loop, vm, 'metrics')
        self._collected = meters
        listener = runtime.Listener(address, loop.poller, self.task_name)
        self.address = listener.address
        self._server = http_server.HttpServer(listener, self._asked)

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready: runtime.SocketReady) -> None:
        self._server.ready(ready)

    def settled(self) -> None:
        """Send answers."""
        self._server.flush()

    def _asked(
        self, conn: http_server.HttpConn, req: http_server.HttpRequest
    ) -> None:
        if req.path.partition('?')[0] != METRICS_PATH:
            conn.reply(NOT_FOUND, None)
            return
        conn.reply_text(
            OK, prometheus_client.CONTENT_TYPE_LATEST, self._collected.text()
        )
