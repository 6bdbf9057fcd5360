"""Agreement of the VMs on leases while the store can't confirm them."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.tasks.pool.exchange import exchange_peers
from chicoryusher.tasks.pool.exchange import own_row as own_row_module
from chicoryusher.tasks.pool.exchange import stored_views
from chicoryusher.tasks.pool.groups import leaders as leaders_module

__all__ = ['LeaseAgreement']

# Age in seconds of the leader rows from which grants are gathered and extend
# the lease; while the store answers, nobody needs them.
GRANTS_FROM_AGE_S = 1.3
_LEADERS = core.StoreView.LEADERS


class LeaseAgreement:
    """Grants that this VM gives to its peers, and those that it has.

    ``change_under_way`` is whether this VM is changing a primary; it grants
    nothing then.  ``now`` is a time of the runtime's clock, ``boot_now`` the
    same of the boot-time clock.
    """

    def __init__(
        self,
        own: core.EntryVmZone,
        eras: decisions.StoreEras,
        own_row: own_row_module.OwnRow,
        peers: exchange_peers.ExchangePeers,
        leaders: leaders_module.LeaderTable,
        views: stored_views.StoredViews,
    ) -> None:
        self._own = own
        self._eras = eras
        self._own_row = own_row
        self._peers = peers
        self._leaders = leaders
        self._views = views
        self._grants = decisions.LeaseGrants(own.vm)
        self.change_under_way = False

    def begin_anew(self) -> None:
        """Drop the grants of VMs that did not know of the newest era."""
        self._grants = decisions.LeaseGrants(self._own.vm)

    def may_confirm(self, kind: core.StoreView) -> bool:
        """Return whether a view of the store may renew this VM's view."""
        if kind is not _LEADERS:
            return True
        return self._own_row.is_registered and self._eras.is_listed

    def grants_lease(self, vm: core.VmName, now: float) -> bool:
        """Return whether this VM grants the lease of a peer."""
        return (
            self._peers.rows.may_hold_lease(vm, now)
            and self._views.content(_LEADERS) is not None
            and not self.change_under_way
            and not self._own_row.has_left
            and self._eras.allows_grants(
                self._leaders.rows(),
                self._leaders.unconfirmed(),
                self._leaders.era,
            )
        )

    def zone_grants(
        self,
        vm: core.VmName,
        grants_lease: bool,
        asked_at: float,
        now: float,
        boot_now: float,
    ) -> tuple[core.ZoneGrant, ...]:
        """Return the grants of whole zones to pass on to a peer.

        ``grants_lease`` is whether this VM grants the peer's lease itself.
        """
        age_s = self._views[_LEADERS].age(boot_now)
        needs_grants = age_s > GRANTS_FROM_AGE_S or not self._is_confirmed()
        passes_on = self._peers.role is not core.ExchangeRole.MESHED
        is_holder = self._peers.rows.may_hold_lease(vm, now)
        if not (passes_on and is_holder and needs_grants):
            return ()
        return self._grants.zone_grants(
            self._peers.rows.holders_by_zone(now),
            self._own.zone,
            grants_lease,
            asked_at,
        )

    def _is_confirmed(self) -> bool:
        return self._eras.confirms(
            self._leaders.rows(),
            self._leaders.unconfirmed(),
            self._leaders.era,
        )

    def record(self, pong: core.Pong, sent_at: float) -> None:
        """Record the grants in the response to a ping."""
        self._grants.record_zones(pong.zone_grants, sent_at)
        if pong.grants_lease:
            self._grants.record(pong.vm, sent_at)

    def extend_lease(self, now: float, boot_now: float) -> bool:
        """Extend the lease if all VMs that could change a primary agree.

        Each of them has granted it by its response to a ping: no change of
        primary was under way there.  The list of VMs may lack one that has
        registered since it was confirmed; such a VM waits until the list is
        too old, unless a VM that is in the list helps it.  Return whether the
        lease was extended.
        """
        is_young = self._views[_LEADERS].age(boot_now) < GRANTS_FROM_AGE_S
        if is_young or not self.may_confirm(_LEADERS):
            return False
        list_age_s = self._views[core.StoreView.ENTRY_VMS].age(boot_now)
        list_is_valid = list_age_s < decisions.LIST_VALID_S
        if not list_is_valid or not self._own_row.is_seen:
            return False
        oldest = self._oldest_grant(now, boot_now)
        return self._views[_LEADERS].extend_by_grants(oldest, boot_now)

    def has_agreed(self, now: float, boot_now: float) -> bool:
        """Return whether all VMs have agreed since a restore of the store.

        While no leader row is unconfirmed, there is nothing to agree on.
        """
        if not self._leaders.unconfirmed() or self.change_under_way:
            return False
        if not self._eras.knew_earlier_era or not self._eras.is_listed:
            return False
        return self._oldest_grant(now, boot_now) > self._eras.restored_at

    def _oldest_grant(self, now: float, boot_now: float) -> float:
        holders = self._peers.rows.holders_by_zone(now)
        return self._grants.oldest(holders, boot_now)
