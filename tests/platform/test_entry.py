from __future__ import annotations

from fleet import entry_process


def test_every_vm_polls_the_configuration_itself():
    """The store may refuse exactly the VMs that poll it for others."""
    relaxed_wait_s = {
        feed.table: feed.relaxed_wait_s for feed in entry_process.FEEDS
    }
    assert relaxed_wait_s['op'] is not None
    assert relaxed_wait_s['servers'] is None
