"""Diagrams of charts, in Mermaid's state diagram language."""

from __future__ import annotations

from chicoryusher.charts import model

__all__ = ['mermaid']


def mermaid(chart: model.Chart) -> str:
    """Return the chart as a Mermaid ``stateDiagram-v2`` text."""
    lines = ['stateDiagram-v2', f'    [*] --> {chart.initial.value}']
    for state, rows in chart.transitions.items():
        for event, ways in rows.items():
            for way in ways:
                label = (
                    event if way.guard is None else f'{event} [{way.guard}]'
                )
                lines.append(
                    f'    {state.value} --> {way.target.value}: {label}'
                )
    lines += [
        f'    {one.value} --> [*]'
        for one in sorted(chart.final, key=lambda one: one.value)
    ]
    return '\n'.join(lines) + '\n'
