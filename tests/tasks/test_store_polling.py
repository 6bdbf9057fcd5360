"""Which VMs poll the store in their first second."""

from __future__ import annotations

import pytest

from chicoryusher import core
from chicoryusher.tasks.pool.exchange import store_polling

VM = core.VmName('vm1')
VIEWS = (
    core.StoreView.LEADERS,
    core.StoreView.INSTANCES,
    core.StoreView.CONFIG,
)
FEEDS = {view: core.TaskName(f'{VM}/feed/{view.value}') for view in VIEWS}
NO_VIEWS = dict.fromkeys(VIEWS)


def make_polling(rows):
    polling = store_polling.StorePolling(VM, FEEDS, 10.0)
    polling.record_rows(rows)
    return polling


def polled(polling, now):
    changes = polling.changes(frozenset(), NO_VIEWS, now)
    return {change.view for _, change in changes if change.enabled}


def row(vm):
    zone = core.ZoneName('akhmim-yard')
    return core.EntryVmRow(vm, '10.0.0.1', 7440, zone, 'b1')


def test_a_vm_that_is_new_polls_nothing_at_first():
    """195 new VMs knew none of the others, and each polled all views."""
    polling = make_polling([row(core.VmName('vm2'))])
    assert polled(polling, 10.1) == set()
    assert polled(polling, 10.3) == {core.StoreView.LEADERS}
    assert polled(polling, 10.9) == {
        core.StoreView.INSTANCES,
        core.StoreView.CONFIG,
    }


def test_a_vm_that_the_store_lists_polls_at_once():
    polling = make_polling([row(VM)])
    assert polled(polling, 10.1) == set(VIEWS)


@pytest.mark.parametrize('rows', [[], [row(core.VmName('vm2'))]])
def test_a_vm_that_was_new_stays_so_when_it_is_listed(rows):
    polling = make_polling(rows)
    polling.record_rows([row(VM)])
    assert polled(polling, 10.1) == set()


def test_a_vm_that_cannot_read_the_list_polls_in_the_end():
    polling = store_polling.StorePolling(VM, FEEDS, 10.0)
    assert polled(polling, 10.1) == set()
    assert polled(polling, 10.9) == set(VIEWS)
