"""Diagrams of charts in Mermaid's state diagram language."""

from __future__ import annotations

from chicoryusher.charts import model

__all__ = ['mermaid']


def mermaid(chart: model.Chart) -> str:
    """Return the Mermaid ``stateDiagram-v2`` source of a chart."""
    lines = ['stateDiagram-v2', f'    [*] --> {chart.initial_state.value}']
    for state, by_event in chart.transitions.items():
        for event, alternatives in by_event.items():
            for transition in alternatives:
                label = (
                    event
                    if transition.guard is None
                    else f'{event} [{transition.guard}]'
                )
                lines.append(
                    f'    {state.value} --> {transition.target.value}: {label}'
                )
    lines += [
        f'    {end.value} --> [*]'
        for end in sorted(chart.final_states, key=lambda end: end.value)
    ]
    return '\n'.join(lines) + '\n'
