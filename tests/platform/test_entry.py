from __future__ import annotations

from fleet import entry


def test_every_vm_follows_the_configuration_itself():
    """Two followers may be the ones that the store turns away."""
    shared = {one.table: one.shared for one in entry.FEEDS}
    assert shared['op'] is False
    assert shared['servers'] is True
