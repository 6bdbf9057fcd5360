from __future__ import annotations

import copy
import json
import pathlib

import pytest

from chicoryusher import charts
from chicoryusher import core
from chicoryusher.daemon import app  # noqa: F401 - registers actions
from chicoryusher.tasks import node  # noqa: F401 - registers actions
from fleet import entry_process  # noqa: F401 - registers actions

CHART_FOLDER = pathlib.Path(charts.__file__).parent
CHARTS_PAGE = (
    pathlib.Path(__file__).parents[2] / 'docs' / 'design' / 'charts.md'
)
VALID_CHART = {
    'name': 'daemon',
    'enum': 'DaemonState',
    'initial': 'starting',
    'final': ['stopped'],
    'states': {
        'starting': {'go': [{'next': 'running'}]},
        'running': {'stop': [{'next': 'draining'}]},
        'draining': {'end': [{'next': 'stopped'}]},
        'stopped': {},
    },
}


def _with_change(change):
    document = copy.deepcopy(VALID_CHART)
    change(document)
    return document


@pytest.mark.parametrize(
    ('change', 'words'),
    [
        (lambda d: d['states'].pop('draining'), 'state draining is missing'),
        (lambda d: d['states'].update(odd={}), 'not in the enum'),
        (
            lambda d: d['states']['starting']['go'][0].update(next='odd'),
            'unknown state odd',
        ),
        (
            lambda d: d['states']['running'].clear(),
            'state cannot be reached',
        ),
        (
            lambda d: d['states']['starting']['go'].append(
                {'next': 'running', 'guard': 'late'}
            ),
            'a transition without guard hides later transitions',
        ),
        (
            lambda d: d['states']['stopped'].update(go=[{'next': 'running'}]),
            'final state has transitions',
        ),
        (lambda d: d.update(enum='Colour'), 'no such enumeration'),
        (lambda d: d.pop('initial'), 'required'),
    ],
)
def test_parse_names_the_defect_of_an_invalid_chart(change, words):
    with pytest.raises(core.ChartError) as raised:
        charts.parse_chart('daemon', _with_change(change))
    assert words in str(raised.value)


def test_a_chart_with_an_unregistered_action_is_refused():
    document = copy.deepcopy(VALID_CHART)
    document['states']['starting']['go'][0]['actions'] = ['no.such']
    with pytest.raises(core.ChartError, match=r'no handler for no\.such'):
        charts.Machine(charts.parse_chart('daemon', document))


@pytest.mark.parametrize('name', charts.chart_names())
def test_chart_files_compile_and_their_diagrams_are_up_to_date(name):
    chart = charts.load_chart(name)
    document = json.loads((CHART_FOLDER / f'{name}.json').read_text('utf-8'))
    assert charts.parse_chart(name, document) == chart
    charts.load_machine(name)
    assert charts.mermaid(chart) in CHARTS_PAGE.read_text(encoding='utf-8')


def test_fire_changes_the_state_only_for_events_with_a_transition():
    class Subject:
        state = core.SessionState.GREETING

    machine = charts.load_machine('session')
    subject = Subject()
    assert not machine.fire(subject, 'answered')
    assert subject.state is core.SessionState.GREETING
    assert machine.fire(subject, 'authenticated')
    assert subject.state is core.SessionState.IDLE
