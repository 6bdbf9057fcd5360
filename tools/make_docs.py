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
    design = DOCS / 'design'
    (design / 'charts.md').write_text(_charts(), encoding='utf-8')


if __name__ == '__main__':
    main()
