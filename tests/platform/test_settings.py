"""Settings of an entry VM."""

from __future__ import annotations

import json
import pathlib
import re

import pytest

from chicoryusher import core
from fleet import settings

TEMPLATE = pathlib.Path(__file__).parents[2] / 'deploy' / 'settings.json'
DOCUMENT = {
    'name': 'front-1',
    'host': '127.0.0.1',
    'zone': 'akhmim-yard',
    'regions': {'akhmim-yard': 'upper-nile'},
    'callers': '127.0.0.1:1',
    'ready': '127.0.0.1:2',
    'peer_port': 3,
    'store': '127.0.0.1:4',
    'promotions': '127.0.0.1:5',
    'metrics': '127.0.0.1:6',
    'spread': True,
    'grace_s': 4,
    'link_mbps': 100,
}


def load(tmp_path, **fields):
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps({**DOCUMENT, **fields}))
    return settings.load(path)


@pytest.mark.parametrize(
    'fields',
    [
        {},
        {
            'limit_window_s': None,
            'limit_tolerance_ratio': None,
            'limit_tolerance_requests': None,
        },
    ],
)
def test_the_tolerance_of_limits_has_a_default(tmp_path, fields):
    loaded = load(tmp_path, **fields)
    assert loaded.limit_tolerance == core.LimitTolerance()


def test_the_tolerance_of_limits_is_read(tmp_path):
    loaded = load(
        tmp_path,
        limit_window_s=10,
        limit_tolerance_ratio=0,
        limit_tolerance_requests=3.5,
    )
    assert loaded.limit_tolerance == core.LimitTolerance(10.0, 0.0, 3.5)


def test_a_tolerance_that_is_no_number_is_a_defect(tmp_path):
    with pytest.raises(core.SettingsError, match='limit_tolerance_ratio'):
        load(tmp_path, limit_tolerance_ratio='a lot')


def test_the_template_names_only_settings_that_are_read():
    names = set(re.findall(r'^  "(\w+)":', TEMPLATE.read_text(), re.MULTILINE))
    optional = {
        'revocation_ms',
        'limit_window_s',
        'limit_tolerance_ratio',
        'limit_tolerance_requests',
        'memory_mb',
        'max_fds',
        'paces_instances',
        'instance_evidence',
        'announce_changes',
        'watch_owners',
        'keep_to_cap',
        'judge_in_partition',
    }
    assert names == set(DOCUMENT) | optional


@pytest.mark.parametrize(
    ('fields', 'paced'),
    [
        ({}, False),
        ({'paces_instances': None}, False),
        ({'paces_instances': False}, False),
        ({'paces_instances': True}, True),
    ],
)
def test_instances_are_paced_where_the_settings_say_so(
    tmp_path, fields, paced
):
    assert load(tmp_path, **fields).paces_instances is paced


@pytest.mark.parametrize('value', ['health', 1, []])
def test_a_pace_that_is_no_flag_is_a_defect(tmp_path, value):
    with pytest.raises(core.SettingsError):
        load(tmp_path, paces_instances=value)
