"""The one interpreter of state charts.

A chart is compiled once to a table from (state, event) to the ways out;
a transition then costs one dictionary look-up and the calls it names.
"""

from __future__ import annotations

import enum
import functools
from collections.abc import Callable
from typing import Any
from typing import Protocol

from chicoryusher import core
from chicoryusher.charts import model

__all__ = ['ACTIONS', 'GUARDS', 'Machine', 'Subject', 'action']
__all__ += ['compiled', 'guard']

Handler = Callable[[Any, Any], Any]

ACTIONS: core.Registry[Handler] = core.Registry('action')
GUARDS: core.Registry[Handler] = core.Registry('guard')

action = ACTIONS.register
guard = GUARDS.register


class Subject(Protocol):
    """Something that lives by a chart: it carries its own state."""

    state: Any


_Way = tuple[Handler | None, tuple[Handler, ...], enum.Enum]


class Machine:
    """A chart with its guards and actions resolved."""

    def __init__(self, chart: model.Chart) -> None:
        self.name = chart.name
        self.initial = chart.initial
        self.final = chart.final
        self._table: dict[tuple[enum.Enum, str], tuple[_Way, ...]] = {}
        problems: list[core.ChartProblem] = []
        for state, rows in chart.transitions.items():
            for event, ways in rows.items():
                place = f'{state.value}.{event}'
                self._table[state, event] = tuple(
                    self._resolve(place, way, problems) for way in ways
                )
        if problems:
            raise core.ChartError(chart.name, tuple(problems))

    @staticmethod
    def _resolve(
        place: str,
        way: model.Transition,
        problems: list[core.ChartProblem],
    ) -> _Way:
        missing = [one for one in way.actions if one not in ACTIONS]
        if way.guard is not None and way.guard not in GUARDS:
            missing.append(way.guard)
        problems += [
            core.ChartProblem(place, f'no handler for {one}')
            for one in missing
        ]
        if missing:
            return None, (), way.target
        test = GUARDS.get(way.guard) if way.guard is not None else None
        return (
            test,
            tuple(ACTIONS.get(one) for one in way.actions),
            way.target,
        )

    def accepts(self, state: enum.Enum, event: str) -> bool:
        """Tell whether the chart reacts to ``event`` in ``state``."""
        return (state, event) in self._table

    def fire(self, subject: Subject, event: str, arg: Any = None) -> bool:
        """Apply ``event``: set the next state, then run the actions.

        Return False, and change nothing, if the state has no way out
        on this event or every guard says no.
        """
        for test, actions, target in self._table.get(
            (subject.state, event), ()
        ):
            if test is not None and not test(subject, arg):
                continue
            subject.state = target
            for act in actions:
                act(subject, arg)
            return True
        return False


@functools.cache
def compiled(name: str) -> Machine:
    """Return the machine of a shipped chart; ChartError if it is bad."""
    return Machine(model.read(name))
