"""Metrics in the Prometheus text format, served over HTTP.

The runtime package does not import this module, so that only programs
that serve metrics load OpenTelemetry and the Prometheus client.
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
HTTP_OK, HTTP_NOT_FOUND = 200, 404
# Upper bounds of the histogram buckets.  They cover work of 0.007 to 0.5 s,
# latency targets of 0.6 to 1.5 s and statement time limits of up to 3 s.
BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0)
# There may be a thousand teams.
METRICS_WITHOUT_BUCKETS = (core.Metric.TEAM_WAIT,)
_Kind = core.MetricKind
_InstrumentFactory = Callable[[metrics.Meter, core.Metric], object]
_INSTRUMENT_FACTORIES: core.Registry[_InstrumentFactory] = core.Registry(
    'instrument'
)


@_INSTRUMENT_FACTORIES.register(_Kind.COUNTER.value)
def _counter(meter: metrics.Meter, metric: core.Metric) -> metrics.Counter:
    return meter.create_counter(metric.full_name, metric.unit, metric.meaning)


@_INSTRUMENT_FACTORIES.register(_Kind.HISTOGRAM.value)
def _histogram(meter: metrics.Meter, metric: core.Metric) -> metrics.Histogram:
    return meter.create_histogram(
        metric.full_name, metric.unit, metric.meaning
    )


@_INSTRUMENT_FACTORIES.register(_Kind.GAUGE.value)
def _gauge(meter: metrics.Meter, metric: core.Metric) -> object:
    return meter.create_gauge(metric.full_name, metric.unit, metric.meaning)


def _histogram_view(metric: core.Metric) -> views.View:
    """Return the view that sets the buckets of a histogram."""
    buckets = () if metric in METRICS_WITHOUT_BUCKETS else BUCKETS_S
    aggregation = views.ExplicitBucketHistogramAggregation(buckets)
    return views.View(
        instrument_name=metric.full_name, aggregation=aggregation
    )


class OtelMeters:
    """Collector that uses OpenTelemetry and renders Prometheus text."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self._registry,
        )
        self._provider = sdk.MeterProvider(
            metric_readers=[reader],
            # Empty, since resource detectors would inspect the machine.
            resource=resources.Resource({}),
            shutdown_on_exit=False,
            views=[
                _histogram_view(metric)
                for metric in core.Metric
                if metric.kind is _Kind.HISTOGRAM
            ],
        )
        self._gauge_readers: dict[core.Metric, Callable[[], float]] = {}
        meter = self._provider.get_meter('chicoryusher')
        self._instruments = {
            metric: _INSTRUMENT_FACTORIES.get(metric.kind.value)(meter, metric)
            for metric in core.Metric
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
        """Set a gauge from ``read`` whenever the metrics are rendered."""
        self._gauge_readers[metric] = read

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for metric, read in self._gauge_readers.items():
            self.show(metric, read())
        return prometheus_client.generate_latest(self._registry)


class MetricsServer(runtime.Task):
    """Serve the metrics over HTTP, without authentication."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        address: runtime.Address,
        meters: OtelMeters,
    ) -> None:
        super().__init__(loop, vm, 'metrics')
        self._otel_meters = meters
        listener = runtime.Listener(address, loop.poller, self.task_name)
        self.address = listener.address
        self._server = http_server.HttpServer(listener, self._on_request)

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready: runtime.SocketReady) -> None:
        self._server.ready(ready)

    def settled(self) -> None:
        """Send the queued responses."""
        self._server.flush()

    def _on_request(
        self, conn: http_server.HttpConn, req: http_server.HttpRequest
    ) -> None:
        if req.path.partition('?')[0] != METRICS_PATH:
            conn.reply(HTTP_NOT_FOUND, None)
            return
        conn.reply_text(
            HTTP_OK,
            prometheus_client.CONTENT_TYPE_LATEST,
            self._otel_meters.text(),
        )
