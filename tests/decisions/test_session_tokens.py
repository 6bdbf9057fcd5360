"""Session tokens, positions across terms, and bounds of staleness."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from chicoryusher import core
from chicoryusher import decisions

KEY = b'a-secret-key'
POSITIONS = strategies.dictionaries(
    strategies.text('abcdef_1', min_size=1, max_size=20),
    strategies.tuples(
        strategies.integers(0, 2**32 - 1), strategies.integers(0, 2**63)
    ).map(lambda pair: core.Position(*pair)),
    max_size=8,
)
SETTINGS = hypothesis.settings(derandomize=True, database=None)


@SETTINGS
@hypothesis.given(POSITIONS)
def test_a_token_carries_positions(positions):
    codec = decisions.TokenCodec(KEY)
    assert codec.decode(codec.encode(positions)) == positions


@SETTINGS
@hypothesis.given(POSITIONS, strategies.data())
def test_a_modified_token_is_refused(positions, data):
    codec = decisions.TokenCodec(KEY)
    token = codec.encode(positions)
    index = data.draw(strategies.integers(0, len(token) - 2))
    other = 'A' if token[index] != 'A' else 'B'
    changed = token[:index] + other + token[index + 1 :]
    with pytest.raises(core.TokenError):
        codec.decode(changed)


@SETTINGS
@hypothesis.given(strategies.text(max_size=60))
def test_any_other_text_raises_a_token_error(text):
    with pytest.raises(core.TokenError):
        decisions.TokenCodec(KEY).decode(text)


def test_an_old_key_is_accepted_until_it_is_removed():
    token = decisions.TokenCodec(b'old').encode({})
    assert decisions.TokenCodec(KEY, (b'old',)).decode(token) == {}
    with pytest.raises(core.TokenError):
        decisions.TokenCodec(KEY).decode(token)


def _position(term, offset):
    return core.Position(core.Term(term), core.LogPosition(offset))


@pytest.mark.parametrize(
    ('applied', 'wanted', 'covered'),
    [
        ((1, 5), (1, 5), True),
        ((1, 4), (1, 5), False),
        ((2, 9), (1, 5), True),
        ((2, 9), (1, 7), False),
        ((1, 9), (2, 3), False),
        ((3, 9), (1, 5), True),
    ],
)
def test_a_later_term_covers_only_positions_from_before_it_began(
    applied, wanted, covered
):
    starts = (
        core.TermStart(core.Term(2), core.LogPosition(6)),
        core.TermStart(core.Term(3), core.LogPosition(8)),
    )
    result = core.log_contains(_position(*applied), _position(*wanted), starts)
    assert result is covered


def test_an_unknown_term_start_proves_nothing():
    assert not core.log_contains(_position(2, 9), _position(1, 5), ())


def test_staleness_is_bounded_by_past_positions_of_the_primary():
    freshness = decisions.StalenessBounds()
    for at, offset in ((1.0, 10), (2.0, 20), (3.0, 30)):
        freshness.record_primary(at, _position(1, offset), ())
    assert freshness.max_staleness(_position(1, 20), 3.5) == 1.5
    assert freshness.max_staleness(_position(1, 30), 3.5) == 0.5
    assert freshness.max_staleness(_position(1, 5), 3.5) == float('inf')
    assert freshness.apply_delay(_position(1, 30), 3.5) == 0.0
    assert freshness.apply_delay(_position(1, 10), 3.5) == 1.5
