"""A version whose routes cannot be read still takes keys away."""

from __future__ import annotations

import json

import pytest
import test_odd_entries
import test_process
import test_team_keys

import stand_ins
from chicoryusher import core
from fleet import row_codec
from fleet import team_codec

KEY, TAKEN_AWAY = test_team_keys.KEY, test_team_keys.TAKEN_AWAY
RED = {'name': 'red', 'apiKeys': [KEY], 'ratePerS': 20, 'burst': 5}
ODD_PARTS = {
    'a route': {'routes': [test_odd_entries.ROUTE, {}]},
    'all routes': {'routes': 'none'},
    'a service': {'services': [None]},
    'the limits': {'limits': []},
}

settings = test_process.settings
store = test_process.store
primary = test_team_keys.primary


def first_answer(settings, key):
    return test_team_keys.exchange(
        settings, f'START stock {key}', 'TERMINATE'
    )[0]


def test_a_key_that_an_unread_version_takes_away_is_refused(
    settings, store, primary
):
    """The version before was confirmed, and the key worked until mended."""
    config = {
        **test_process.CONFIG,
        'version': 5,
        'routes': [*test_process.CONFIG['routes'], {'host': 7}],
        'tenants': [RED],
    }
    process = test_process.start(settings)
    try:
        test_process.wait_until(lambda: test_process.is_ready(settings))
        served = first_answer(settings, TAKEN_AWAY)
        store.put('op', 'config', stand_ins.encode_value(config))
        test_process.wait_until(
            lambda: first_answer(settings, TAKEN_AWAY).startswith(
                'ERROR NOAUTH'
            )
        )
        answers = test_team_keys.exchange(
            settings,
            f'START stock {KEY}',
            'QUERY r1 WRITE 1a4 x',
            'TERMINATE',
        )
    finally:
        process.terminate()
        process.communicate(timeout=20)
    assert served == answers[0] == 'READY I -\r\n'


def decode(**values):
    document = {**test_odd_entries.CONFIG, **values}
    row = row_codec.StoredRow('config', json.dumps(document).encode(), 7)
    defects = []
    messages = row_codec.DECODERS.get(row_codec.CONFIG_TABLE)(
        {'config': row}, 3, defects.append
    )
    return messages, [(exc.key, exc.revision, str(exc)) for exc in defects]


@pytest.mark.parametrize('odd', ODD_PARTS.values(), ids=ODD_PARTS)
def test_the_teams_of_a_version_are_read_without_its_routes(odd):
    messages, defects = decode(tenants=[RED], **odd)
    team = core.Team(
        core.TeamName('red'), (team_codec.digest_of_key(KEY),), 0, 20.0, 5.0
    )
    assert messages == (core.PoolTeamsUpdate(7, (team,)),)
    assert len(defects) == 1
    assert defects[0][:2] == ('config', 7)


def test_teams_that_cannot_be_read_either_are_named_so():
    messages, defects = decode(tenants='red', routes=[{}])
    assert messages == (core.PoolTeamsUpdate(7, (), False),)
    assert len(defects) == 2


def test_a_version_that_cannot_be_read_changes_no_teams():
    messages, _ = decode(tenants=[RED], version='7', routes=[{}])
    assert messages == ()


@pytest.mark.parametrize('teams', [{}, {'tenants': []}])
def test_without_teams_an_unread_version_opens_no_route(teams):
    """Without teams callers need no key, which a route may not have meant."""
    messages, _ = decode(routes=[{}], **teams)
    assert messages == ()
