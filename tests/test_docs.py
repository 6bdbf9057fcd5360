from __future__ import annotations

import pathlib
import re

from chicoryusher import core

ROOT = pathlib.Path(__file__).parents[1]


def test_event_numbers_are_unique():
    numbers = [one.number for one in core.LogEvent]
    assert len(set(numbers)) == len(numbers)


def test_every_event_is_in_the_catalogue_page():
    page = (ROOT / 'docs' / 'events.md').read_text(encoding='utf-8')
    listed = re.findall(r'^\| (\d+) \| (\w+) \| (.+) \|$', page, re.MULTILINE)
    wanted = [
        (str(one.number), one.level.value, one.meaning)
        for one in core.LogEvent
    ]
    assert sorted(listed) == sorted(wanted)


def test_every_metric_is_in_the_metrics_page():
    page = (ROOT / 'docs' / 'metrics.md').read_text(encoding='utf-8')
    listed = re.findall(r'^\| (chicoryusher\.\w+) \|', page, re.MULTILINE)
    assert listed == [one.full_name for one in core.Metric]
