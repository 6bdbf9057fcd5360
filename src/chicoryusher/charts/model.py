"""A state chart as read from its file, and the checks it must pass."""

from __future__ import annotations

import dataclasses
import enum
import json
import pathlib
import typing

from chicoryusher import core

__all__ = ['Chart', 'Transition', 'chart_names', 'parse', 'read']

_FOLDER = pathlib.Path(__file__).parent
_SCHEMA = json.loads(
    _FOLDER.joinpath('schema.json').read_text(encoding='utf-8')
)


@dataclasses.dataclass(frozen=True, slots=True)
class Transition:
    """One way out of a state on one event."""

    guard: str | None
    actions: tuple[str, ...]
    target: enum.Enum


@dataclasses.dataclass(frozen=True, slots=True)
class Chart:
    """A checked chart; states are members of the enum it names."""

    name: str
    initial: enum.Enum
    final: frozenset[enum.Enum]
    transitions: dict[enum.Enum, dict[str, tuple[Transition, ...]]]

    def events(self) -> frozenset[str]:
        """Return every event name the chart reacts to."""
        return frozenset(
            name for rows in self.transitions.values() for name in rows
        )


def chart_names() -> tuple[str, ...]:
    """Return the names of the chart files that ship with the package."""
    names = (one.name for one in _FOLDER.iterdir())
    return tuple(
        sorted(
            name.removesuffix('.json')
            for name in names
            if name.endswith('.json') and name != 'schema.json'
        )
    )


def read(name: str) -> Chart:
    """Read and check the chart file called ``name``; ChartError if bad.

    Shipped files are checked against the schema by the tests; at load
    only their meaning is checked, since the schema's library takes longer
    to import than all charts take to read.
    """
    path = _FOLDER.joinpath(f'{name}.json')
    try:
        document = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as exc:
        problem = core.ChartProblem(str(path), str(exc))
        raise core.ChartError(name, (problem,)) from exc
    return _checked(name, document)


def parse(name: str, document: typing.Any) -> Chart:
    """Check a decoded chart; ChartError lists every defect at once."""
    import jsonschema

    validator = jsonschema.Draft202012Validator(_SCHEMA)
    problems = [
        core.ChartProblem(one.json_path, one.message)
        for one in validator.iter_errors(document)
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
    known = {one.value for one in states}
    used = set(document['states'])
    missing = [
        core.ChartProblem('$.states', f'state {one} is missing')
        for one in sorted(known - used)
    ]
    extra = [
        core.ChartProblem(f'$.states.{one}', 'state is not in the enum')
        for one in sorted(used - known)
    ]
    return missing + extra


def _check_targets(
    document: dict[str, typing.Any],
) -> list[core.ChartProblem]:
    known = set(document['states'])
    problems = []
    named = [('$.initial', document['initial'])]
    named += [('$.final', one) for one in document['final']]
    for state, rows in document['states'].items():
        for event, ways in rows.items():
            place = f'$.states.{state}.{event}'
            named += [(place, way['next']) for way in ways]
    for place, target in named:
        if target not in known:
            problems.append(
                core.ChartProblem(place, f'unknown state {target}')
            )
    for state in document['final']:
        if document['states'].get(state):
            problems.append(
                core.ChartProblem(f'$.states.{state}', 'final state leaves')
            )
    return problems


def _check_reachable(
    document: dict[str, typing.Any],
) -> list[core.ChartProblem]:
    states = document['states']
    seen = set()
    front = [document['initial']]
    while front:
        state = front.pop()
        if state in seen:
            continue
        seen.add(state)
        for ways in states.get(state, {}).values():
            front += [way['next'] for way in ways]
    return [
        core.ChartProblem(f'$.states.{one}', 'state cannot be reached')
        for one in sorted(set(states) - seen)
    ]


def _check_determinism(
    document: dict[str, typing.Any],
) -> list[core.ChartProblem]:
    problems = []
    for state, rows in document['states'].items():
        for event, ways in rows.items():
            place = f'$.states.{state}.{event}'
            guards = [way.get('guard') for way in ways]
            if None in guards[:-1]:
                problems.append(
                    core.ChartProblem(
                        place, 'a way without guard hides later ways'
                    )
                )
            if len(set(guards)) != len(guards):
                problems.append(
                    core.ChartProblem(place, 'two ways share a guard')
                )
    return problems


def _build(document: dict[str, typing.Any], states: type[enum.Enum]) -> Chart:
    table: dict[enum.Enum, dict[str, tuple[Transition, ...]]] = {}
    for state, rows in document['states'].items():
        table[states(state)] = {
            event: tuple(
                Transition(
                    way.get('guard'),
                    tuple(way.get('actions', ())),
                    states(way['next']),
                )
                for way in ways
            )
            for event, ways in rows.items()
        }
    return Chart(
        document['name'],
        states(document['initial']),
        frozenset(states(one) for one in document['final']),
        table,
    )
