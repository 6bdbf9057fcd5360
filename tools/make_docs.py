"""Write the pages that are generated from the code."""

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
    for one in sorted(core.LogEvent, key=lambda one: one.number):
        lines.append(f'| {one.number} | {one.level.value} | {one.meaning} |')
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
    for one in core.Metric:
        labels = ', '.join(one.labels)
        lines.append(
            f'| {one.full_name} | {one.kind.value} | {one.unit} | {labels} '
            f'| {one.meaning} |'
        )
    return '\n'.join(lines) + '\n'


def _charts() -> str:
    parts = [
        '# State charts\n\nWritten by `make docs` from `charts/*.json`.\n'
    ]
    for name in charts.chart_names():
        diagram = charts.mermaid(charts.read(name))
        parts.append(f'## {name}\n\n```mermaid\n{diagram}```\n')
    return '\n'.join(parts)


def main() -> None:
    """Write every generated page."""
    (DOCS / 'events.md').write_text(_events(), encoding='utf-8')
    (DOCS / 'metrics.md').write_text(_metrics(), encoding='utf-8')
    design = DOCS / 'design'
    (design / 'charts.md').write_text(_charts(), encoding='utf-8')


if __name__ == '__main__':
    main()
