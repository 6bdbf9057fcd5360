"""``make report``: draw measurements, scores and metrics as one HTML page."""

from __future__ import annotations

import base64
import collections
import functools
import html
import io
import json
import pathlib
from collections.abc import Callable
from typing import Any

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402 - needs the backend first

from chicoryusher import core  # noqa: E402
from chicoryusher_standins import report_sources  # noqa: E402
from chicoryusher_standins.lab import metrics_run  # noqa: E402

__all__ = ['METRIC_PLOTS', 'PLOTS', 'main', 'make_page']

MEASUREMENTS_PATH = pathlib.Path('measurements') / 'latest.json'
JOURNAL_FOLDER = pathlib.Path('journal')
REPORT_PATH = pathlib.Path('measurements') / 'report.html'
PLOTTED_METRICS = (core.Metric.PACE, core.Metric.TEAM_WAIT)
SIZE_INCHES = (7.0, 3.2)
Figures = dict[str, Any]
Plot = Callable[[str, Figures, Any], None]
PLOTS: core.Registry[Plot] = core.Registry('plot')
Samples = tuple[report_sources.Sample, ...]
MetricPlot = Callable[[Samples, Any], None]
METRIC_PLOTS: core.Registry[MetricPlot] = core.Registry('plot of metrics')
_TABLE_KEYS = (
    'replica_read_share',
    'failover_gap_p50_s',
    'failover_gap_max_s',
    'crest_goodput',
    'crest_recovery_s',
    'hol_ratio',
    'config_spread_max_s',
    'leaving_last_work_s',
    'drain_cut_requests',
    'connections_max',
    'cross_region_bytes_of_baseline',
)


def _bars(axes: Any, values: dict[str, float], goal: float | None) -> None:
    names = list(values)
    axes.barh(names, [values[name] for name in names], color='#4878a8')
    if goal is not None:
        axes.axvline(goal, color='#a83232', linestyle='--')


def _values_with_baselines(key: str, keys: Figures) -> dict[str, float]:
    values = {'chicoryusher': keys[key]}
    for name, figures in keys['baselines'].items():
        if key in figures:
            values[name] = figures[key]
    return values


@PLOTS.register('failover')
def _failover(name: str, keys: Figures, axes: Any) -> None:
    _bars(axes, keys['failover_gap_max_s_by_fault'], 5.0)
    axes.set_title(f'{name}: longest gap in writes by fault (s)')


@PLOTS.register('crest')
def _crest(name: str, keys: Figures, axes: Any) -> None:
    _bars(axes, _values_with_baselines('crest_goodput', keys), 0.95)
    axes.set_title(f'{name}: goodput at five times the demand')


@PLOTS.register('stragglers')
def _stragglers(name: str, keys: Figures, axes: Any) -> None:
    _bars(axes, _values_with_baselines('hol_ratio', keys), 1.5)
    axes.set_title(f'{name}: short p99 with stragglers / without')


@PLOTS.register('replicas')
def _replicas(name: str, keys: Figures, axes: Any) -> None:
    _bars(axes, _values_with_baselines('replica_read_share', keys), 0.95)
    axes.set_title(f'{name}: share of reads served by replicas')


@METRIC_PLOTS.register('pace')
def _pace(samples: Samples, axes: Any) -> None:
    name = report_sources.metric_name(core.Metric.PACE)
    curves: dict[str, list[tuple[float, float]]] = collections.defaultdict(
        list
    )
    for sample in samples:
        if sample.name == name:
            point = (sample.seconds, sample.value)
            curves[sample.label('instance')].append(point)
    for instance, points in curves.items():
        axes.step(*zip(*points, strict=True), where='post', label=instance)
    axes.legend(fontsize='small')
    axes.set_xlabel('seconds of load')
    axes.set_title('Pace: statements at once at an instance, at most')


@METRIC_PLOTS.register('team_wait')
def _team_wait(samples: Samples, axes: Any) -> None:
    name = report_sources.metric_name(core.Metric.TEAM_WAIT)
    last = max((sample.seconds for sample in samples), default=0.0)
    by_name: dict[str, dict[str, float]] = collections.defaultdict(dict)
    for sample in samples:
        if sample.seconds == last and sample.name.startswith(name):
            by_name[sample.name][sample.label('team')] = sample.value
    counts = by_name[f'{name}_count']
    waits = {
        team: seconds / counts[team]
        for team, seconds in by_name[f'{name}_sum'].items()
    }
    _bars(axes, waits, None)
    axes.set_title("Mean wait for the team's limit (s)")


def _draw_scores(scores: list[report_sources.Score], axes: Any) -> None:
    """Draw a curve for each day, over the versions in their order."""
    versions = list(dict.fromkeys(score.version for score in scores))
    days = sorted({score.day for score in scores})
    axes.set_prop_cycle(color=pyplot.colormaps['tab20'].colors)
    for day in days:
        points = [
            (versions.index(score.version), score.worth)
            for score in scores
            if score.day == day
        ]
        points.sort(key=lambda point: point[0])
        axes.plot(*zip(*points, strict=True), marker='o', label=day)
    axes.set_xticks(range(len(versions)), versions, rotation=60, fontsize=6)
    axes.legend(fontsize='small', loc='center left', bbox_to_anchor=(1, 0.5))


def _draw_image(alt: str, draw: Callable[[Any], None]) -> str:
    """Return a drawing as an HTML image."""
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    draw(axes)
    figure.tight_layout()
    data = io.BytesIO()
    figure.savefig(data, format='png', dpi=90)
    pyplot.close(figure)
    text = base64.b64encode(data.getvalue()).decode()
    return (
        f'<p><img alt="{html.escape(alt)}" src="data:image/png;base64,{text}">'
    )


def _table(keys: Figures) -> str:
    rows = ''.join(
        f'<tr><td>{html.escape(key)}</td><td>{keys[key]:.4g}</td></tr>'
        for key in _TABLE_KEYS
        if key in keys
    )
    return f'<table>{rows}</table>'


def _deployment_parts(document: Figures) -> list[str]:
    parts = []
    for name, keys in document['deployments'].items():
        parts.append(f'<h2>{html.escape(name)}</h2>{_table(keys)}')
        for plot in PLOTS:
            draw = functools.partial(PLOTS.get(plot), name, keys)
            parts.append(_draw_image(plot, draw))
    return parts


def _score_parts(scores: tuple[report_sources.Score, ...]) -> list[str]:
    by_site: dict[str, list[report_sources.Score]] = collections.defaultdict(
        list
    )
    for score in scores:
        by_site[score.site].append(score)
    parts = [
        '<h2>Worth by day and version</h2><p>A + marks a version with changes'
        ' that were not committed.'
    ]
    for site, of_site in sorted(by_site.items()):
        draw = functools.partial(_draw_scores, of_site)
        parts.append(f'<h3>{html.escape(site)}</h3>')
        parts.append(_draw_image(f'scores of {site}', draw))
    return parts


def _metric_parts(samples: Samples) -> list[str]:
    parts = [
        '<h2>Metrics of one VM in the lab</h2><p>Paced instances, two teams'
        ' with a limit; the primary restarts.'
    ]
    for name in METRIC_PLOTS:
        draw = functools.partial(METRIC_PLOTS.get(name), samples)
        parts.append(_draw_image(name, draw))
    return parts


def make_page(root: pathlib.Path, metrics_folder: pathlib.Path) -> str:
    """Return the page on what a copy of the project has measured.

    ``metrics_folder`` has the metrics that were saved in the lab.
    """
    document = json.loads((root / MEASUREMENTS_PATH).read_text('utf-8'))
    scores = report_sources.read_scores(root / JOURNAL_FOLDER)
    samples = report_sources.read_samples(metrics_folder, PLOTTED_METRICS)
    parts = [
        '<!doctype html><meta charset="utf-8"><title>chicoryusher</title>'
        '<style>body{font-family:sans-serif;margin:2em}'
        'td{padding:0 1em 0 0}</style><h1>Measurements</h1>',
        *_deployment_parts(document),
        *_score_parts(scores),
        *_metric_parts(samples),
    ]
    return '\n'.join(parts) + '\n'


def main() -> None:
    """Write ``measurements/report.html``."""
    metrics_run.save_run(metrics_run.METRICS_FOLDER)
    page = make_page(pathlib.Path(), metrics_run.METRICS_FOLDER)
    REPORT_PATH.write_text(page, encoding='utf-8')
    print(f'wrote {REPORT_PATH}')


if __name__ == '__main__':
    main()
