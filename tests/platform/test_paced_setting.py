"""The settings say whether instances are paced."""

import json

import pytest

from chicoryusher import core
from fleet import settings

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
    ('fields', 'paced'),
    [
        ({}, False),
        ({'contracts': ''}, False),
        ({'contracts': 'base,drain,config'}, False),
        ({'contracts': 'base,unhealthy'}, False),
        ({'contracts': 'base,health,sql'}, True),
    ],
)
def test_instances_are_paced_where_the_rules_speak_of_health(
    tmp_path, fields, paced
):
    assert load(tmp_path, **fields).paces_instances is paced


def test_contracts_that_are_no_text_are_a_defect(tmp_path):
    with pytest.raises(core.SettingsError):
        load(tmp_path, contracts=7)
