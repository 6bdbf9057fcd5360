"""``make report``: draw the last measurements as one HTML page."""

from __future__ import annotations

import base64
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

__all__ = ['PLOTS', 'main']

MEASUREMENTS_PATH = pathlib.Path('measurements') / 'latest.json'
REPORT_PATH = pathlib.Path('measurements') / 'report.html'
SIZE_INCHES = (7.0, 3.2)
Figures = dict[str, Any]
Plot = Callable[[str, Figures, Any], None]
PLOTS: core.Registry[Plot] = core.Registry('plot')
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


def _draw_png_base64(plot: Plot, name: str, keys: Figures) -> str:
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    plot(name, keys, axes)
    figure.tight_layout()
    data = io.BytesIO()
    figure.savefig(data, format='png', dpi=90)
    pyplot.close(figure)
    return base64.b64encode(data.getvalue()).decode()


def _table(keys: Figures) -> str:
    rows = ''.join(
        f'<tr><td>{html.escape(key)}</td><td>{keys[key]:.4g}</td></tr>'
        for key in _TABLE_KEYS
        if key in keys
    )
    return f'<table>{rows}</table>'


def main() -> None:
    """Write ``measurements/report.html``."""
    document = json.loads(MEASUREMENTS_PATH.read_text(encoding='utf-8'))
    parts = [
        '<!doctype html><meta charset="utf-8"><title>chicoryusher</title>'
        '<style>body{font-family:sans-serif;margin:2em}'
        'td{padding:0 1em 0 0}</style><h1>Measurements</h1>'
    ]
    for name, keys in document['deployments'].items():
        parts.append(f'<h2>{html.escape(name)}</h2>{_table(keys)}')
        for plot in PLOTS:
            image = _draw_png_base64(PLOTS.get(plot), name, keys)
            parts.append(
                f'<p><img alt="{plot}" src="data:image/png;base64,{image}">'
            )
    REPORT_PATH.write_text('\n'.join(parts) + '\n', encoding='utf-8')
    print(f'wrote {REPORT_PATH}')


if __name__ == '__main__':
    main()
