"""OpenTelemetry metrics, read from the tasks when they are exported."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from opentelemetry import metrics
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export

from chicoryusher import core
from chicoryusher import tasks
from chicoryusher.daemon import settings

__all__ = ['EXPORTERS', 'INSTRUMENTS', 'Sources', 'start']

Reader = Callable[[settings.MetricsSettings], export.MetricReader]
EXPORTERS: core.Registry[Reader] = core.Registry('metrics exporter')

Observe = Callable[['Sources'], Iterable[metrics.Observation]]
INSTRUMENTS: core.Registry[Observe] = core.Registry('instrument')


class Sources:
    """The tasks whose counters are exported."""

    def __init__(
        self, node: tasks.Node, statements: Callable[[], int]
    ) -> None:
        self.node = node
        self.statements = statements


@EXPORTERS.register('console')
def _console(chosen: settings.MetricsSettings) -> export.MetricReader:
    return export.PeriodicExportingMetricReader(
        export.ConsoleMetricExporter(),
        export_interval_millis=chosen.interval * 1000,
    )


@EXPORTERS.register('memory')
def _memory(chosen: settings.MetricsSettings) -> export.MetricReader:
    return export.InMemoryMetricReader()


@INSTRUMENTS.register('chicoryusher.statements')
def _statements(sources: Sources) -> Iterable[metrics.Observation]:
    yield metrics.Observation(sources.statements())


@INSTRUMENTS.register('chicoryusher.reads')
def _reads(sources: Sources) -> Iterable[metrics.Observation]:
    router = sources.node.router
    yield metrics.Observation(router.replica_reads, {'role': 'replica'})
    primary = router.reads - router.replica_reads
    yield metrics.Observation(primary, {'role': 'primary'})


@INSTRUMENTS.register('chicoryusher.unknown_outcomes')
def _unknown(sources: Sources) -> Iterable[metrics.Observation]:
    yield metrics.Observation(sources.node.router.unknown)


@INSTRUMENTS.register('chicoryusher.shed')
def _shed(sources: Sources) -> Iterable[metrics.Observation]:
    for name, gate in sources.node.gates.items():
        yield metrics.Observation(gate.shed, {'instance': str(name)})


@INSTRUMENTS.register('chicoryusher.answered')
def _answered(sources: Sources) -> Iterable[metrics.Observation]:
    for name, gate in sources.node.gates.items():
        yield metrics.Observation(gate.answered, {'instance': str(name)})


@INSTRUMENTS.register('chicoryusher.failovers')
def _failovers(sources: Sources) -> Iterable[metrics.Observation]:
    for name, group in sources.node.groups.items():
        yield metrics.Observation(group.failovers, {'database': str(name)})


def start(
    chosen: settings.MetricsSettings, sources: Sources
) -> sdk.MeterProvider | None:
    """Start exporting; None where no exporter is set."""
    if chosen.exporter == 'none':
        return None
    reader = EXPORTERS.get(chosen.exporter)(chosen)
    provider = sdk.MeterProvider(metric_readers=[reader])
    meter = provider.get_meter('chicoryusher')
    for name in INSTRUMENTS:
        meter.create_observable_counter(name, [_callback(name, sources)])
    return provider


def _callback(
    name: str, sources: Sources
) -> Callable[[metrics.CallbackOptions], Iterable[metrics.Observation]]:
    observe = INSTRUMENTS.get(name)

    def read(
        options: metrics.CallbackOptions,
    ) -> Iterable[metrics.Observation]:
        return tuple(observe(sources))

    return read
