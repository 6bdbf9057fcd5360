"""The newest rows of each kind that a VM has, and how old they are."""

from __future__ import annotations

import dataclasses
from collections.abc import Container

from chicoryusher import core
from chicoryusher import decisions

__all__ = ['StoredViews']

# Seconds until a view is requested again; a large one takes some time on a
# slow link.  The rows of the VMs change one after the other in a restart of
# the fleet, and are requested at most this often.
FETCH_TIMEOUT_S = {
    core.StoreView.LEADERS: 1.0,
    core.StoreView.INSTANCES: 2.0,
    core.StoreView.ENTRY_VMS: 1.0,
    core.StoreView.CONFIG: 3.0,
}
_LEADERS = core.StoreView.LEADERS
_NO_DIGEST = core.SetDigest(0)


class StoredViews:
    """A view of each store partition, and requests for them to peers."""

    def __init__(self) -> None:
        self._views = {
            kind: decisions.PrimaryLease() for kind in core.StoreView
        }
        self._contents: dict[core.StoreView, core.Message] = {}
        self._fetches: dict[core.StoreView, tuple[core.VmName, float]] = {}

    def __getitem__(self, kind: core.StoreView) -> decisions.PrimaryLease:
        """Return the age and revision of a view."""
        return self._views[kind]

    @property
    def are_complete(self) -> bool:
        """Return whether there is a content for each kind of view."""
        return len(self._contents) == len(self._views)

    def content(self, kind: core.StoreView) -> core.Message | None:
        """Return the message with a view's rows, None before the first."""
        return self._contents.get(kind)

    def config_with(
        self, update: core.PoolTeamsUpdate
    ) -> core.PoolConfigUpdate | None:
        """Return the configuration with other teams, None without one."""
        before = self._contents.get(core.StoreView.CONFIG)
        if not isinstance(before, core.PoolConfigUpdate):
            return None
        config = dataclasses.replace(
            before.config,
            version=update.version,
            teams=update.teams,
            teams_readable=update.readable,
        )
        return core.PoolConfigUpdate(config)

    def store_if_newer(
        self, kind: core.StoreView, revision: int, message: core.Message
    ) -> bool:
        """Store a partition's content unless a newer one is stored.

        Return whether it was stored.
        """
        view = self._views[kind]
        if kind in self._contents and revision <= view.newest_revision:
            return False
        view.note_revision(revision)
        self._contents[kind] = message
        if kind is not core.StoreView.ENTRY_VMS:
            self._fetches.pop(kind, None)
        return True

    def store_leaders(
        self,
        newer: tuple[core.LeaderRow, ...],
        rows: tuple[core.LeaderRow, ...],
    ) -> None:
        """Store all leader rows, of which some are newer than before."""
        self._fetches.pop(_LEADERS, None)
        for row in newer:
            self._views[_LEADERS].note_revision(row.revision)
        self._contents[_LEADERS] = core.LeaderRowsRead(rows)

    def lacks(
        self, peer_view: core.ViewState, leaders_digest: core.SetDigest
    ) -> bool:
        """Return whether a peer may have what this VM's view lacks.

        A newer leader row of one group says nothing about the others, since
        each is sent on its own.  Peers of an older release send no digest.
        """
        if peer_view.view not in self._contents:
            return True
        if peer_view.revision > self._views[peer_view.view].newest_revision:
            return True
        return peer_view.digest not in (_NO_DIGEST, leaders_digest)

    def start_fetch(
        self,
        vm: core.VmName,
        kind: core.StoreView,
        live: Container[core.VmName],
        now: float,
    ) -> bool:
        """Return whether to request a view from a peer.

        It is not requested while another peer is sending it.
        """
        peer, requested_at = self._fetches.get(kind, (vm, float('-inf')))
        is_open = now - requested_at < FETCH_TIMEOUT_S[kind]
        if is_open and (peer in live or peer == vm):
            return False
        self._fetches[kind] = (vm, now)
        return True

    def states(
        self, asked_at: float, leaders_digest: core.SetDigest
    ) -> tuple[core.ViewState, ...]:
        """Return the state of each view with a content, for a peer."""
        return tuple(
            core.ViewState(
                kind,
                view.age(asked_at),
                view.newest_revision,
                leaders_digest if kind is _LEADERS else _NO_DIGEST,
            )
            for kind, view in self._views.items()
            if kind in self._contents
        )

    def ages_s(self, now: float) -> dict[core.StoreView, float | None]:
        """Return the age of each view in seconds, None without a content."""
        return {
            kind: view.age(now) if kind in self._contents else None
            for kind, view in self._views.items()
        }
