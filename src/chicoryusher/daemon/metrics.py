"""OpenTelemetry metrics, whose values are read from the tasks on export."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from opentelemetry import metrics
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export

from chicoryusher import core
from chicoryusher import tasks
from chicoryusher.daemon import settings

__all__ = ['EXPORTERS', 'INSTRUMENTS', 'MetricSources', 'start_export']

ReaderFactory = Callable[[settings.MetricsSettings], export.MetricReader]
EXPORTERS: core.Registry[ReaderFactory] = core.Registry('metrics exporter')

Observer = Callable[['MetricSources'], Iterable[metrics.Observation]]
INSTRUMENTS: core.Registry[Observer] = core.Registry('instrument')


class MetricSources:
    """Sources of the exported counters.

    ``statements`` returns the number of statements received from callers.
    """

    def __init__(
        self, node: tasks.Node, statements: Callable[[], int]
    ) -> None:
        self.node = node
        self.statements = statements


@EXPORTERS.register('console')
def _console(
    metrics_settings: settings.MetricsSettings,
) -> export.MetricReader:
    return export.PeriodicExportingMetricReader(
        export.ConsoleMetricExporter(),
        export_interval_millis=metrics_settings.interval * 1000,
    )


@EXPORTERS.register('memory')
def _memory(metrics_settings: settings.MetricsSettings) -> export.MetricReader:
    return export.InMemoryMetricReader()


@INSTRUMENTS.register('chicoryusher.statements')
def _statements(sources: MetricSources) -> Iterable[metrics.Observation]:
    yield metrics.Observation(sources.statements())


@INSTRUMENTS.register('chicoryusher.reads')
def _reads(sources: MetricSources) -> Iterable[metrics.Observation]:
    router = sources.node.router
    yield metrics.Observation(router.replica_reads, {'role': 'replica'})
    primary = router.reads - router.replica_reads
    yield metrics.Observation(primary, {'role': 'primary'})


@INSTRUMENTS.register('chicoryusher.unknown_outcomes')
def _unknown_outcomes(sources: MetricSources) -> Iterable[metrics.Observation]:
    yield metrics.Observation(sources.node.router.unknown)


@INSTRUMENTS.register('chicoryusher.shed')
def _shed(sources: MetricSources) -> Iterable[metrics.Observation]:
    for name, gate in sources.node.gates.items():
        yield metrics.Observation(gate.shed, {'instance': str(name)})


@INSTRUMENTS.register('chicoryusher.answered')
def _answered(sources: MetricSources) -> Iterable[metrics.Observation]:
    for name, gate in sources.node.gates.items():
        yield metrics.Observation(gate.answered, {'instance': str(name)})


@INSTRUMENTS.register('chicoryusher.failovers')
def _failovers(sources: MetricSources) -> Iterable[metrics.Observation]:
    for name, group in sources.node.groups.items():
        yield metrics.Observation(group.failovers, {'database': str(name)})


@INSTRUMENTS.register('chicoryusher.team_statements')
def _team_statements(sources: MetricSources) -> Iterable[metrics.Observation]:
    answers = sources.node.router.team_counts.answers
    for (team, outcome), count in tuple(answers.items()):
        labels = {'team': str(team), 'outcome': outcome.value}
        yield metrics.Observation(count, labels)


@INSTRUMENTS.register('chicoryusher.team_throttled')
def _team_throttled(sources: MetricSources) -> Iterable[metrics.Observation]:
    throttled = sources.node.router.team_counts.throttled
    for (team, outcome), count in tuple(throttled.items()):
        labels = {'team': str(team), 'outcome': outcome.value}
        yield metrics.Observation(count, labels)


def start_export(
    metrics_settings: settings.MetricsSettings, sources: MetricSources
) -> sdk.MeterProvider | None:
    """Start the export; return None if no exporter is configured."""
    if metrics_settings.exporter == 'none':
        return None
    reader = EXPORTERS.get(metrics_settings.exporter)(metrics_settings)
    provider = sdk.MeterProvider(metric_readers=[reader])
    meter = provider.get_meter('chicoryusher')
    for name in INSTRUMENTS:
        meter.create_observable_counter(name, [_callback(name, sources)])
    return provider


def _callback(
    name: str, sources: MetricSources
) -> Callable[[metrics.CallbackOptions], Iterable[metrics.Observation]]:
    observe = INSTRUMENTS.get(name)

    def read(
        options: metrics.CallbackOptions,
    ) -> Iterable[metrics.Observation]:
        return tuple(observe(sources))

    return read
