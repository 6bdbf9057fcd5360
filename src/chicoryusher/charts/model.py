"""State charts as read from their files, and the checks of a file."""

from __future__ import annotations

import dataclasses
import enum
import json
import pathlib
import typing

from chicoryusher import core

__all__ = ['Chart', 'Transition', 'chart_names', 'parse_chart', 'load_chart']

_FOLDER = pathlib.Path(__file__).parent
_SCHEMA = json.loads(
    _FOLDER.joinpath('schema.json').read_text(encoding='utf-8')
)


@dataclasses.dataclass(frozen=True, slots=True)
class Transition:
    """Transition out of a state for an event.

    ``guard`` and ``actions`` are names of registered functions.
    """

    guard: str | None
    actions: tuple[str, ...]
    target: enum.Enum


@dataclasses.dataclass(frozen=True, slots=True)
class Chart:
    """Valid chart; its states are members of the enum that it names.

    A state's transitions for an event are tried in their order.
    """

    name: str
    initial_state: enum.Enum
    final_states: frozenset[enum.Enum]
    transitions: dict[enum.Enum, dict[str, tuple[Transition, ...]]]

    def events(self) -> frozenset[str]:
        """Return the names of all events for which there is a transition."""
        return frozenset(
            event
            for by_event in self.transitions.values()
            for event in by_event
        )


def chart_names() -> tuple[str, ...]:
    """Return the names of the chart files of this package."""
    names = (path.name for path in _FOLDER.iterdir())
    return tuple(
        sorted(
            name.removesuffix('.json')
            for name in names
            if name.endswith('.json') and name != 'schema.json'
        )
    )


def load_chart(name: str) -> Chart:
    """Return the chart of this package's chart file ``name``.

    Raise ChartError if the file can't be read or is not valid.  The file
    is not checked against the schema, since the schema's library takes
    longer to import than all charts take to read; the tests check the
    package's files against it.
    """
    path = _FOLDER.joinpath(f'{name}.json')
    try:
        document = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as exc:
        problem = core.ChartProblem(str(path), str(exc))
        raise core.ChartError(name, (problem,)) from exc
    return _checked(name, document)


def parse_chart(name: str, document: typing.Any) -> Chart:
    """Return the chart in a decoded chart file.

    Raise ChartError with all defects if it does not match the schema or
    is not valid.
    """
    import jsonschema

    validator = jsonschema.Draft202012Validator(_SCHEMA)
    problems = [
        core.ChartProblem(error.json_path, error.message)
        for error in validator.iter_errors(document)
    ]
    if problems:
        raise core.ChartError(name, tuple(problems))
    return _checked(name, document)


def _checked(name: str, document: typing.Any) -> Chart:
    states = getattr(core, document['enum'], None)
    if states is None:
        problem = core.ChartProblem('$.enum', 'no such enumeration')
        raise core.ChartError(name, (problem,))
    problems = [
        *_check_members(document, states),
        *_check_targets(document),
        *_check_reachable(document),
        *_check_determinism(document),
    ]
    if problems:
        raise core.ChartError(name, tuple(problems))
    return _build(document, states)


def _check_members(
    document: dict[str, typing.Any], states: type[enum.Enum]
) -> list[core.ChartProblem]:
    in_enum = {state.value for state in states}
    in_chart = set(document['states'])
    missing = [
        core.ChartProblem('$.states', f'state {state} is missing')
        for state in sorted(in_enum - in_chart)
    ]
    extra = [
        core.ChartProblem(f'$.states.{state}', 'state is not in the enum')
        for state in sorted(in_chart - in_enum)
    ]
    return missing + extra


def _check_targets(
    document: dict[str, typing.Any],
) -> list[core.ChartProblem]:
    states = set(document['states'])
    problems = []
    references = [('$.initial', document['initial'])]
    references += [('$.final', final) for final in document['final']]
    for state, by_event in document['states'].items():
        for event, alternatives in by_event.items():
            location = f'$.states.{state}.{event}'
            references += [
                (location, transition['next']) for transition in alternatives
            ]
    for location, target in references:
        if target not in states:
            problems.append(
                core.ChartProblem(location, f'unknown state {target}')
            )
    for state in document['final']:
        if document['states'].get(state):
            problems.append(
                core.ChartProblem(
                    f'$.states.{state}', 'final state has transitions'
                )
            )
    return problems


def _check_reachable(
    document: dict[str, typing.Any],
) -> list[core.ChartProblem]:
    states = document['states']
    reachable = set()
    pending = [document['initial']]
    while pending:
        state = pending.pop()
        if state in reachable:
            continue
        reachable.add(state)
        for alternatives in states.get(state, {}).values():
            pending += [transition['next'] for transition in alternatives]
    return [
        core.ChartProblem(f'$.states.{unreachable}', 'state cannot be reached')
        for unreachable in sorted(set(states) - reachable)
    ]


def _check_determinism(
    document: dict[str, typing.Any],
) -> list[core.ChartProblem]:
    problems = []
    for state, by_event in document['states'].items():
        for event, alternatives in by_event.items():
            location = f'$.states.{state}.{event}'
            guards = [transition.get('guard') for transition in alternatives]
            if None in guards[:-1]:
                problems.append(
                    core.ChartProblem(
                        location,
                        'a transition without guard hides later transitions',
                    )
                )
            if len(set(guards)) != len(guards):
                problems.append(
                    core.ChartProblem(
                        location, 'two transitions have the same guard'
                    )
                )
    return problems


def _build(document: dict[str, typing.Any], states: type[enum.Enum]) -> Chart:
    table: dict[enum.Enum, dict[str, tuple[Transition, ...]]] = {}
    for state, by_event in document['states'].items():
        table[states(state)] = {
            event: tuple(
                Transition(
                    transition.get('guard'),
                    tuple(transition.get('actions', ())),
                    states(transition['next']),
                )
                for transition in alternatives
            )
            for event, alternatives in by_event.items()
        }
    return Chart(
        document['name'],
        states(document['initial']),
        frozenset(states(final) for final in document['final']),
        table,
    )
