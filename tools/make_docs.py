"""Generate the documentation pages that are derived from the code."""

from __future__ import annotations

import pathlib

from chicoryusher import charts
from chicoryusher import core

DOCS = pathlib.Path(__file__).resolve().parent.parent / 'docs'


def _events() -> str:
    lines = [
        '# Log events',
        '',
        'Each line of the log is one JSON object; `event` is the number.',
        'Written by `make docs` from `core/catalogue.py`.',
        '',
        '| number | level | meaning |',
        '| --- | --- | --- |',
    ]
    for event in sorted(core.LogEvent, key=lambda event: event.number):
        lines.append(
            f'| {event.number} | {event.level.value} | {event.meaning} |'
        )
    return '\n'.join(lines) + '\n'


def _metrics() -> str:
    lines = [
        '# Metrics',
        '',
        'Served as text at `/metrics` on the metrics address of an entry',
        'process. Written by `make docs` from `core/metrics.py`.',
        '',
        '| name | kind | unit | labels | meaning |',
        '| --- | --- | --- | --- | --- |',
    ]
    for metric in core.Metric:
        labels = ', '.join(metric.labels)
        lines.append(
            f'| {metric.full_name} | {metric.kind.value} | {metric.unit} '
            f'| {labels} | {metric.meaning} |'
        )
    return '\n'.join(lines) + '\n'


def _charts() -> str:
    parts = [
        '# State charts\n\nWritten by `make docs` from `charts/*.json`.\n'
    ]
    for name in charts.chart_names():
        diagram = charts.mermaid(charts.load_chart(name))
        parts.append(f'## {name}\n\n```mermaid\n{diagram}```\n')
    return '\n'.join(parts)


def main() -> None:
    """Write all generated pages to the docs folder."""
    (DOCS / 'events.md').write_text(_events(), encoding='utf-8')
    (DOCS / 'metrics.md').write_text(_metrics(), encoding='utf-8')
    design = DOCS / 'design'
    (design / 'charts.md').write_text(_charts(), encoding='utf-8')


if __name__ == '__main__':
    main()
