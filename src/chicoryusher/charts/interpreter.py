"""Interpreter of state charts.

A chart is compiled once into a table from (state, event) to transitions.
Handling an event then costs one dictionary look-up and the calls of the
guards and actions that the transitions name.
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
__all__ += ['load_machine', 'guard']

Handler = Callable[[Any, Any], Any]

ACTIONS: core.Registry[Handler] = core.Registry('action')
GUARDS: core.Registry[Handler] = core.Registry('guard')

action = ACTIONS.register
guard = GUARDS.register


class Subject(Protocol):
    """Object whose ``state`` is controlled by a chart."""

    state: Any


# Guard, actions and target of a transition.
_Transition = tuple[Handler | None, tuple[Handler, ...], enum.Enum]


class Machine:
    """Chart whose guards and actions are resolved to functions."""

    def __init__(self, chart: model.Chart) -> None:
        self.name = chart.name
        self.initial = chart.initial_state
        self.final = chart.final_states
        self._table: dict[tuple[enum.Enum, str], tuple[_Transition, ...]] = {}
        problems: list[core.ChartProblem] = []
        for state, by_event in chart.transitions.items():
            for event, alternatives in by_event.items():
                location = f'{state.value}.{event}'
                self._table[state, event] = tuple(
                    self._resolve(location, transition, problems)
                    for transition in alternatives
                )
        if problems:
            raise core.ChartError(chart.name, tuple(problems))

    @staticmethod
    def _resolve(
        location: str,
        transition: model.Transition,
        problems: list[core.ChartProblem],
    ) -> _Transition:
        missing = [name for name in transition.actions if name not in ACTIONS]
        if transition.guard is not None and transition.guard not in GUARDS:
            missing.append(transition.guard)
        problems += [
            core.ChartProblem(location, f'no handler for {name}')
            for name in missing
        ]
        if missing:
            return None, (), transition.target
        guard_function = (
            GUARDS.get(transition.guard)
            if transition.guard is not None
            else None
        )
        return (
            guard_function,
            tuple(ACTIONS.get(name) for name in transition.actions),
            transition.target,
        )

    def accepts(self, state: enum.Enum, event: str) -> bool:
        """Return whether ``state`` has a transition for ``event``."""
        return (state, event) in self._table

    def fire(self, subject: Subject, event: str, arg: Any = None) -> bool:
        """Run the first transition for ``event`` whose guard allows it.

        The subject's state is set before the actions run.  Return False
        and change nothing if the state has no transition for the event,
        or if the guards allow none.
        """
        for guard_function, actions, target in self._table.get(
            (subject.state, event), ()
        ):
            if guard_function is not None and not guard_function(subject, arg):
                continue
            subject.state = target
            for run_action in actions:
                run_action(subject, arg)
            return True
        return False


@functools.cache
def load_machine(name: str) -> Machine:
    """Return the compiled chart of a chart file of this package.

    Raise ChartError if the file is not valid or names a guard or an
    action that is not registered.
    """
    return Machine(model.load_chart(name))
