"""What ``make report`` reads: the journal, and metrics saved as text."""

from __future__ import annotations

import dataclasses
import json
import pathlib
from collections.abc import Iterator
from typing import Any

from prometheus_client import parser

from chicoryusher import core

__all__ = ['Sample', 'Score', 'metric_name', 'read_samples', 'read_scores']

SHOWN_HASH_LENGTH = 8
# Marks a version with changes that were not committed.
TRIAL_MARK = '+'
SMALL_FLAG = '--small'


@dataclasses.dataclass(frozen=True, slots=True)
class Score:
    """What one day was worth on a version.

    ``site`` is the deployment, with ``small`` behind it if the day was played
    at a small size.
    """

    at: str
    site: str
    version: str
    day: str
    worth: float


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric, ``seconds`` after the load began."""

    seconds: float
    name: str
    labels: tuple[tuple[str, str], ...]
    value: float

    def label(self, name: str) -> str:
        """Return the value of a label, or raise KeyError."""
        return dict(self.labels)[name]


def read_scores(folder: pathlib.Path) -> tuple[Score, ...]:
    """Return the days that were scored, in the order of their entries.

    Raise ValueError if an entry is no JSON.
    """
    entries = [
        json.loads(path.read_text(encoding='utf-8'))
        for path in folder.glob('*.json')
    ]
    entries.sort(key=lambda entry: entry['at'][0])
    return tuple(
        score
        for entry in entries
        if entry['cmd'] == 'score'
        for score in _scores_of(entry)
    )


def _scores_of(entry: dict[str, Any]) -> Iterator[Score]:
    version = str(entry['head'])[:SHOWN_HASH_LENGTH]
    if entry['dirty']:
        version += TRIAL_MARK
    site = str(entry['site'])
    if SMALL_FLAG in entry['argv']:
        site += ' small'
    for day in entry['days']:
        if day['G'] is not None:
            yield Score(entry['at'][0], site, version, day['name'], day['G'])


def metric_name(metric: core.Metric) -> str:
    """Return the name of a metric in the text, without its suffix."""
    name = metric.full_name.replace('.', '_')
    return f'{name}_seconds' if metric.unit == 's' else name


def read_samples(
    folder: pathlib.Path, metrics: tuple[core.Metric, ...]
) -> tuple[Sample, ...]:
    """Return the samples of some metrics, oldest first.

    Each file of the folder is named ``<seconds since the load>.txt``.
    """
    names = {metric_name(metric) for metric in metrics}
    return tuple(
        Sample(
            float(path.stem),
            sample.name,
            tuple(sorted(sample.labels.items())),
            sample.value,
        )
        for path in sorted(folder.glob('*.txt'))
        for family in parser.text_string_to_metric_families(
            path.read_text(encoding='utf-8')
        )
        if family.name in names
        for sample in family.samples
    )
