from __future__ import annotations

from chicoryusher import core
from fleet import entry_process
from fleet import row_codec
from fleet import store

# Time in which a configuration must be in force.
CONFIG_IN_FORCE_S = 4.0


def test_no_vm_polls_the_configuration_before_it_is_told_to():
    """A document that every VM reads at once fills the links.

    That a configuration reaches the VMs which the store turns away, and all
    VMs if it turns the poller away, is tested with the view exchange.
    """
    tables = {feed.table for feed in entry_process.FEEDS}
    assert tables == {row_codec.CONFIG_TABLE, row_codec.INSTANCES_TABLE}
    assert not any(feed.reads_at_start for feed in entry_process.FEEDS)


def test_a_lost_connection_is_noticed_before_a_configuration_is_due():
    wait_s = {feed.table: feed.wait_s for feed in entry_process.FEEDS}
    config_wait_s = wait_s[row_codec.CONFIG_TABLE]
    assert 2 * (config_wait_s + store.ANSWER_SLACK_S) < CONFIG_IN_FORCE_S


def test_every_polled_view_has_a_table():
    assert set(store.VIEW_BY_TABLE.values()) == {
        core.StoreView.LEADERS,
        core.StoreView.INSTANCES,
        core.StoreView.CONFIG,
    }
