from __future__ import annotations

import copy
import json
import pathlib

import pytest

from chicoryusher import charts
from chicoryusher import core
from chicoryusher.daemon import app  # noqa: F401 - fills the registries
from chicoryusher.tasks import node  # noqa: F401 - fills the registries
from fleet import entry  # noqa: F401 - fills the registries

CHARTS = pathlib.Path(charts.__file__).parent
DOCS = pathlib.Path(__file__).parents[2] / 'docs' / 'design' / 'charts.md'
GOOD = {
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


def _broken(change):
    document = copy.deepcopy(GOOD)
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
            'hides later ways',
        ),
        (
            lambda d: d['states']['stopped'].update(go=[{'next': 'running'}]),
            'final state leaves',
        ),
        (lambda d: d.update(enum='Colour'), 'no such enumeration'),
        (lambda d: d.pop('initial'), 'required'),
    ],
)
def test_a_bad_chart_is_refused_with_its_defect(change, words):
    with pytest.raises(core.ChartError) as caught:
        charts.parse('daemon', _broken(change))
    assert words in str(caught.value)


def test_a_missing_handler_is_refused():
    document = copy.deepcopy(GOOD)
    document['states']['starting']['go'][0]['actions'] = ['no.such']
    with pytest.raises(core.ChartError, match=r'no handler for no\.such'):
        charts.Machine(charts.parse('daemon', document))


@pytest.mark.parametrize('name', charts.chart_names())
def test_shipped_charts_compile_and_their_diagrams_are_current(name):
    chart = charts.read(name)
    document = json.loads((CHARTS / f'{name}.json').read_text('utf-8'))
    assert charts.parse(name, document) == chart
    charts.compiled(name)
    assert charts.mermaid(chart) in DOCS.read_text(encoding='utf-8')


def test_guards_choose_and_unknown_events_change_nothing():
    class Subject:
        state = core.SessionState.GREETING

    machine = charts.compiled('session')
    subject = Subject()
    assert not machine.fire(subject, 'answered')
    assert subject.state is core.SessionState.GREETING
    assert machine.fire(subject, 'authenticated')
    assert subject.state is core.SessionState.IDLE
