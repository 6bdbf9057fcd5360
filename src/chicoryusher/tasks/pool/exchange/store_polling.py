"""Which views this VM polls from the store, for itself and its peers."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Set

from chicoryusher import core
from chicoryusher import decisions

__all__ = ['StorePolling']

# Seconds after a failed call to the store for which a VM ranks last among
# those that may poll it.
TURNED_AWAY_S = 3.0
# Seconds after the start in which a VM that was not registered before polls no
# view.  Where all VMs are new, each of them would rank first among the few
# that it knows; later it gets the views from its peers.
NEW_VM_WAIT_S = {
    core.StoreView.LEADERS: 0.25,
    core.StoreView.INSTANCES: 0.8,
    core.StoreView.CONFIG: 0.8,
}
# Key of the ranking of the VMs that poll the store.
_RANKING = core.ServiceName('follow')


class StorePolling:
    """The feeds of the store, and the VMs that it has turned away.

    Times are seconds of the runtime's clock.
    """

    def __init__(
        self,
        vm: core.VmName,
        feeds: dict[core.StoreView, core.TaskName],
        started_at: float,
    ) -> None:
        self._vm = vm
        self._feeds = feeds
        self._started_at = started_at
        self._polled: dict[core.StoreView, bool] = {}
        self._ranked_among: tuple[Set[core.VmName], Set[core.VmName]] = (
            frozenset(),
            frozenset(),
        )
        self._rank = 0
        # Whether the first list of VMs had this VM, None before that list.
        self._was_listed: bool | None = None
        self._turned_away_at: dict[core.VmName, float] = {}

    def is_starting(self, now: float) -> bool:
        """Return whether the other VMs have had no time to respond yet."""
        return now - self._started_at < decisions.SUSPECT_AFTER_S

    def record_rows(self, rows: Iterable[core.EntryVmRow]) -> None:
        """Record the VMs that the store lists."""
        if self._was_listed is None:
            self._was_listed = any(row.vm == self._vm for row in rows)

    def record_reached(
        self, vm: core.VmName, reached: bool, now: float
    ) -> None:
        """Record whether a VM's last poll of the store was answered."""
        if reached:
            self._turned_away_at.pop(vm, None)
        else:
            self._turned_away_at[vm] = now

    def is_turned_away(self, vm: core.VmName, now: float) -> bool:
        """Return whether the store has turned a VM away lately."""
        since = self._turned_away_at.get(vm, float('-inf'))
        return now - since < TURNED_AWAY_S

    def changes(
        self,
        vms: Set[core.VmName],
        ages_s: dict[core.StoreView, float | None],
        now: float,
    ) -> list[tuple[core.TaskName, core.SetStorePolling]]:
        """Return which feeds start or stop to poll.

        ``vms`` are the other VMs that may poll; ``ages_s`` is how long ago
        each view was confirmed, None for a view that this VM lacks.
        """
        turned_away = {
            vm for vm in self._turned_away_at if self.is_turned_away(vm, now)
        }
        rank = self._rank_among(vms, turned_away)
        changes = []
        for view, feed in self._feeds.items():
            age_s = ages_s[view]
            waited_s = now - self._started_at if age_s is None else None
            poll = self._may_poll(view, now) and decisions.polls_store(
                view, rank, age_s or 0.0, waited_s
            )
            if poll is not self._polled.get(view):
                self._polled[view] = poll
                changes.append((feed, core.SetStorePolling(view, poll)))
        return changes

    def _may_poll(self, view: core.StoreView, now: float) -> bool:
        """Return whether this VM was listed, or has waited long enough."""
        waited_s = now - self._started_at
        return bool(self._was_listed) or waited_s >= NEW_VM_WAIT_S[view]

    def _rank_among(
        self, vms: Set[core.VmName], turned_away: Set[core.VmName]
    ) -> int:
        """Return this VM's rank; it is kept until one of the sets changes."""
        if self._ranked_among != (vms, turned_away):
            self._ranked_among = (vms, turned_away)
            self._rank = decisions.poller_rank(
                self._vm, vms, turned_away, _RANKING
            )
        return self._rank
