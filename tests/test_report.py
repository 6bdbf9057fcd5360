"""What the report reads, and the page that it draws."""

from __future__ import annotations

import json

import pytest

from chicoryusher import core
from chicoryusher_standins import report
from chicoryusher_standins import report_sources
from chicoryusher_standins.lab import metrics_run

SITE = 'nile-grain'


def entry(at, head, days, **changes):
    return {
        'at': [at, at],
        'cmd': 'score',
        'argv': ['nile-grain.toml'],
        'head': head,
        'dirty': False,
        'site': SITE,
        'days': [{'name': name, 'G': worth} for name, worth in days],
        **changes,
    }


# Not in the order of their names.
ENTRIES = {
    'b': entry('2026-12-04T10', 'aaaa1111ff', [('quiet-1', 0.9)]),
    'a': entry(
        '2026-12-05T10',
        'bbbb2222ff',
        [('quiet-1', 0.95), ('trouble-1', 0.6), ('scale-1', None)],
        dirty=True,
    ),
    'c': entry('2026-12-05T11', 'bbbb2222ff', [('quiet-1', 0.1)], cmd='run'),
    'd': entry(
        '2026-12-05T12',
        'bbbb2222ff',
        [('trouble-1', 0.7)],
        argv=['nile-grain.toml', '--small'],
    ),
    'e': entry('2026-12-05T13', 'bbbb2222ff', [], site=None),
}


@pytest.fixture
def root(tmp_path):
    (tmp_path / 'journal').mkdir()
    for name, document in ENTRIES.items():
        path = tmp_path / 'journal' / f'{name}.json'
        path.write_text(json.dumps(document))
    (tmp_path / 'measurements').mkdir()
    path = tmp_path / 'measurements' / 'latest.json'
    path.write_text(json.dumps({'deployments': {}}))
    return tmp_path


@pytest.fixture(scope='module')
def metrics_folder(tmp_path_factory):
    folder = tmp_path_factory.mktemp('metrics')
    metrics_run.save_run(folder)
    return folder


def test_scores_are_those_of_the_journal_in_its_order(root):
    scores = report_sources.read_scores(root / 'journal')
    shown = [
        (score.site, score.version, score.day, score.worth) for score in scores
    ]
    assert shown == [
        (SITE, 'aaaa1111', 'quiet-1', 0.9),
        (SITE, 'bbbb2222+', 'quiet-1', 0.95),
        (SITE, 'bbbb2222+', 'trouble-1', 0.6),
        (f'{SITE} small', 'bbbb2222', 'trouble-1', 0.7),
    ]


def test_a_broken_entry_of_the_journal_is_an_error(root):
    (root / 'journal' / 'f.json').write_text('{')
    with pytest.raises(ValueError):
        report_sources.read_scores(root / 'journal')


def test_the_pace_of_the_run_starts_low_and_rises(metrics_folder):
    samples = report_sources.read_samples(metrics_folder, (core.Metric.PACE,))
    first, *_, last = (
        sample
        for sample in samples
        if sample.label('instance') == samples[0].label('instance')
        and sample.seconds < metrics_run.RESTART_AT_S
    )
    assert first.seconds < 1.0
    assert first.value < last.value


def test_the_team_over_its_limit_waits_longest(metrics_folder):
    """The team without a limit waits for none."""
    samples = report_sources.read_samples(
        metrics_folder, (core.Metric.TEAM_WAIT,)
    )
    last = samples[-1].seconds
    values = {
        (sample.name.rpartition('_')[2], sample.label('team')): sample.value
        for sample in samples
        if sample.seconds == last
    }
    assert {team for _, team in values} == {'over', 'under'}
    waits = {
        team: values['sum', team] / values['count', team]
        for team in ('over', 'under')
    }
    assert waits['over'] > waits['under']


def test_the_page_has_a_plot_of_each_site_and_metric(root, metrics_folder):
    page = report.make_page(root, metrics_folder)
    for alt in (f'scores of {SITE}', f'scores of {SITE} small'):
        assert f'alt="{alt}"' in page
    for name in report.METRIC_PLOTS:
        assert f'alt="{name}"' in page
