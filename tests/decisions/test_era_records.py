"""What a VM knows of the eras of the store, and may say because of it."""

from __future__ import annotations

import pytest

from chicoryusher import core
from chicoryusher import decisions

BOOTED_AT = 100.0
SECOND_ERA = core.StoreEra(core.FIRST_ERA + 1)
GROUP = core.ServiceName('g')
OPEN, CLOSING = core.LeaderRowState.OPEN, core.LeaderRowState.CLOSING


def _row(era=core.FIRST_ERA, state=OPEN):
    return core.LeaderRow(
        GROUP,
        core.revision_in(era, 7),
        state,
        core.InstanceName('i'),
        core.VmName('v'),
    )


def _eras(read_at=BOOTED_AT + 1):
    """Return eras of a VM that has read the leader rows in the first."""
    eras = decisions.StoreEras(BOOTED_AT)
    eras.enter(core.FIRST_ERA, BOOTED_AT)
    eras.record_leaders_view(read_at)
    return eras


def test_the_first_era_is_no_restore():
    eras = decisions.StoreEras(BOOTED_AT)
    assert not eras.enter(core.FIRST_ERA, BOOTED_AT)
    assert eras.restored_at == float('-inf')
    assert eras.enter(SECOND_ERA, BOOTED_AT + 5)
    assert eras.restored_at == BOOTED_AT + 5


def test_a_vm_is_listed_in_the_era_of_its_list_only():
    eras = _eras()
    eras.record_list(core.FIRST_ERA)
    assert eras.is_listed
    eras.enter(SECOND_ERA, BOOTED_AT + 5)
    assert not eras.is_listed
    eras.record_list(SECOND_ERA)
    assert eras.is_listed


def test_rows_of_an_earlier_era_confirm_nothing():
    eras = _eras()
    assert eras.confirms([_row()], (), core.FIRST_ERA)
    eras.enter(SECOND_ERA, BOOTED_AT + 5)
    assert not eras.confirms([_row()], (), SECOND_ERA)
    assert eras.confirms([_row(SECOND_ERA)], (), SECOND_ERA)
    assert not eras.confirms([_row(SECOND_ERA)], (GROUP,), SECOND_ERA)


@pytest.mark.parametrize('read_era', [core.FIRST_ERA, SECOND_ERA])
def test_without_rows_the_store_must_have_been_read_since(read_era):
    eras = _eras()
    assert eras.confirms((), (), core.StoreEra(0))
    eras.enter(SECOND_ERA, BOOTED_AT + 5)
    assert eras.confirms((), (), read_era) is (read_era == SECOND_ERA)


@pytest.mark.parametrize(
    ('read_at', 'state', 'allowed'),
    [
        (BOOTED_AT + 1, OPEN, True),
        (BOOTED_AT + 1, CLOSING, False),
        (BOOTED_AT - 1, OPEN, False),
    ],
)
def test_a_grant_over_a_restore_needs_rows_read_before_it(
    read_at, state, allowed
):
    """A VM that grants too early lets a replaced primary be used again."""
    eras = _eras(read_at)
    eras.enter(SECOND_ERA, BOOTED_AT + 5)
    assert eras.allows_grants([_row(state=state)], (), SECOND_ERA) is allowed
