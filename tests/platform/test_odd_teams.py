"""One odd entry of a team costs no other team, and grants nothing."""

from __future__ import annotations

import json

import hypothesis
import pytest
import test_odd_entries
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from chicoryusher import core
from chicoryusher.peers import codec
from fleet import bad_rows
from fleet import row_codec
from fleet import team_codec

KEY = 'k-3f9a1c'
OTHER_KEY = 'k-77d2e0'
DIGEST = team_codec.digest_of_key(KEY)
OTHER_DIGEST = team_codec.digest_of_key(OTHER_KEY)
TEAM = {
    'name': 'red',
    'apiKeys': [KEY],
    'ratePerS': 20,
    'burst': 5,
    'priority': 1,
}
OTHER = {'name': 'blue', 'apiKeys': [OTHER_KEY]}
BLUE = core.Team(core.TeamName('blue'), (OTHER_DIGEST,))
HUGE = 10**400
ODD_NUMBERS = {
    'a text': '20',
    'a list': [20],
    'true': True,
    'negative': -1,
    '400 digits': HUGE,
    '1e300': 1e300,
}
ODD_TEXTS = {
    'a number': 7,
    'a list': ['red'],
    'an object': {'red': 1},
    'null': None,
    'empty': '',
    'long': 'x' * 201,
    'surrogate': '\ud800',
}
ODD_NAMES = {**ODD_TEXTS, 'two words': 'a b', 'a line break': 'a\r\nb'}


def decode(teams):
    """Return the configuration, and its defects as texts."""
    document = {**test_odd_entries.CONFIG, 'tenants': teams}
    row = row_codec.StoredRow('config', json.dumps(document).encode(), 7)
    defects = []
    messages = row_codec.DECODERS.get(row_codec.CONFIG_TABLE)(
        {'config': row}, 3, defects.append
    )
    assert {(defect.key, defect.revision) for defect in defects} <= {
        ('config', 7)
    }
    (update,) = messages
    codec.encode(update)
    assert len(update.config.routes) == len(update.config.services) == 1
    return update.config, [str(defect) for defect in defects]


def is_json(document):
    """Return whether the document has no number that JSON lacks."""
    try:
        json.dumps(document, allow_nan=False)
    except ValueError:
        return False
    return True


def assert_no_key_in(defects):
    text = ' '.join(defects)
    assert KEY not in text
    assert OTHER_KEY not in text


@pytest.mark.parametrize('value', ODD_TEXTS.values(), ids=ODD_TEXTS)
def test_an_odd_key_costs_its_team_no_other_key(value):
    """A team with one bad key lost all its keys."""
    config, defects = decode([{**TEAM, 'apiKeys': [value, KEY]}, OTHER])
    red, blue = config.teams
    assert red.keys == (DIGEST,)
    assert (red.rate, red.burst, red.priority) == (20, 5, 1)
    assert blue == BLUE
    assert len(defects) == 1
    assert defects[0].startswith('tenants[0].apiKeys[0] ')


@pytest.mark.parametrize('keys', [None, KEY, 7, {KEY: 1}])
def test_keys_that_are_no_list_leave_their_team_without_a_key(keys):
    config, defects = decode([{**TEAM, 'apiKeys': keys}, OTHER])
    assert [team.keys for team in config.teams] == [(), (OTHER_DIGEST,)]
    assert defects == ['tenants[0]: apiKeys is not a list']


@pytest.mark.parametrize('value', ODD_NAMES.values(), ids=ODD_NAMES)
def test_an_entry_with_an_odd_name_is_left_out(value):
    config, defects = decode([{**TEAM, 'name': value}, OTHER])
    assert config.teams == (BLUE,)
    assert len(defects) == 1
    assert defects[0].startswith('tenants[0]: name ')


@pytest.mark.parametrize('entry', [None, 7, 'red', [TEAM]])
def test_an_entry_that_is_no_object_is_left_out(entry):
    config, defects = decode([entry, OTHER])
    assert config.teams == (BLUE,)
    assert len(defects) == 1


@pytest.mark.parametrize('value', ODD_NUMBERS.values(), ids=ODD_NUMBERS)
def test_a_team_with_an_odd_limit_has_no_key(value):
    """Without its limit the team would be granted more than is stated."""
    config, defects = decode([{**TEAM, 'ratePerS': value}, OTHER])
    assert [team.keys for team in config.teams] == [(), (OTHER_DIGEST,)]
    assert defects == ['tenants[0]: ratePerS is not a number in its range']


@pytest.mark.parametrize('value', ODD_NUMBERS.values(), ids=ODD_NUMBERS)
def test_an_odd_burst_or_priority_is_the_least_that_is_possible(value):
    odd = {**TEAM, 'burst': value, 'priority': value}
    config, defects = decode([odd, OTHER])
    red, blue = config.teams
    assert red.keys == (DIGEST,)
    assert (red.rate, red.burst) == (20, 0)
    assert red.priority == team_codec.LAST_PRIORITY
    assert blue == BLUE
    assert len(defects) == 2


def test_a_key_of_two_teams_belongs_to_neither():
    config, defects = decode([TEAM, {**OTHER, 'apiKeys': [KEY, OTHER_KEY]}])
    assert [team.keys for team in config.teams] == [(), (OTHER_DIGEST,)]
    assert defects == ['tenants: 1 keys of more than one team']


def test_entries_of_one_name_that_differ_have_no_key():
    """Which of the two limits is meant can't be told."""
    config, defects = decode([TEAM, {**TEAM, 'ratePerS': 5000}, OTHER])
    assert [team.keys for team in config.teams] == [(), (OTHER_DIGEST,)]
    assert defects == ['tenants: entries of red differ']


def test_entries_that_are_alike_are_one_team():
    config, defects = decode([TEAM, TEAM, OTHER])
    assert [team.keys for team in config.teams] == [
        (DIGEST,),
        (OTHER_DIGEST,),
    ]
    assert defects == []


@pytest.mark.parametrize('teams', [None, {'red': TEAM}, 'red', 7])
def test_teams_that_are_no_list_leave_the_routes_in_force(teams):
    """They made the whole configuration unreadable."""
    config, defects = decode(teams)
    assert config.teams == ()
    assert not config.teams_readable
    assert defects == ['tenants is not a list']


def test_teams_none_of_which_can_be_read_do_not_open_the_routes():
    """Without teams callers need no key."""
    config, defects = decode([{**TEAM, 'name': 7}, 'blue'])
    assert config.teams == ()
    assert not config.teams_readable
    assert len(defects) == 2


def test_a_configuration_without_teams_needs_no_key():
    config, defects = decode([])
    assert config.teams == ()
    assert config.teams_readable
    assert defects == []


@settings(derandomize=True, database=None, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from(list(TEAM)), test_odd_entries.JSON_VALUES, min_size=1
    )
)
def test_any_field_leaves_the_other_team_and_quotes_no_key(odd_fields):
    hypothesis.assume(is_json(odd_fields))
    config, defects = decode([{**TEAM, **odd_fields}, OTHER])
    assert BLUE in config.teams
    assert_no_key_in(defects)


def test_each_defect_of_a_version_is_logged_once():
    """Only the first defect of a configuration's teams was logged."""
    emitted = []

    class Log:
        def emit(self, event, **values):
            emitted.append((event, values['row'], values['why']))

    log = bad_rows.BadRowLog(Log(), row_codec.CONFIG_TABLE)
    for version in (7, 7, 8):
        for why in ('tenants[0]: a', 'tenants[1]: b'):
            log.report(row_codec.BadRow(why, 'config', version))
    assert emitted == 2 * [
        (core.LogEvent.ROW_BAD, 'config', 'tenants[0]: a'),
        (core.LogEvent.ROW_BAD, 'config', 'tenants[1]: b'),
    ]
