from __future__ import annotations

from fleet import entry


def test_every_vm_follows_the_configuration_itself():
    """Two followers may be the ones that the store turns away."""
    relaxed = {one.table: one.relaxed for one in entry.FEEDS}
    assert relaxed['op'] is not None
    assert relaxed['servers'] is None
