"""Peers of the view exchange: which VMs to ping, and which are live."""

from __future__ import annotations

from collections.abc import Iterable

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher.tasks.pool.exchange import entry_vms

__all__ = ['ExchangePeers']

# Key of the ranking of the VMs that mark other VMs as missing.
_MARKER_RANKING = core.ServiceName('mark')
# Seconds after the first list of VMs for which all of them count as owners of
# connections: some have not been asked yet, or open their stream.
START_GRACE_S = 1.0


class ExchangePeers:
    """The registered VMs, this VM's role among them, and the live VMs.

    ``pinged`` are the VMs that this VM asks for their views; ``live`` are
    the other VMs that respond to this VM or to a relay.  Times are seconds
    of the runtime's clock.
    """

    def __init__(
        self,
        own: core.EntryVmZone,
        regions: dict[core.ZoneName, core.RegionName],
    ) -> None:
        self.rows = entry_vms.EntryVms(own)
        self.role = core.ExchangeRole.MESHED
        self.pinged: frozenset[core.VmName] = frozenset()
        self.live: frozenset[core.VmName] = frozenset()
        self._own = own
        self._regions = regions
        self._forwarding: frozenset[core.VmName] = frozenset()
        self._chosen_from: tuple[
            tuple[core.EntryVmZone, ...], frozenset[core.VmName]
        ] = ((), frozenset())
        self.listing = decisions.VmListing()
        self.instance_lists = decisions.InstanceLists()
        self._liveness = decisions.VmLiveness()
        self._last_live: dict[core.VmName, float] = {}
        self._listed_at: float | None = None
        self._is_starting = True

    # -- whom to ping ---------------------------------------------------

    def set_forwarding(self, vms: frozenset[core.VmName]) -> None:
        """Set the VMs to ping because this VM forwards work to them."""
        self._forwarding = vms

    def choose(self, now: float) -> None:
        """Choose this VM's role and whom it pings."""
        suspects = self._liveness.suspects(now)
        places = self.rows.places()
        if self._chosen_from != (places, suspects):
            self._chosen_from = (places, suspects)
            self.role = decisions.exchange_role(self._own, places, suspects)
            self.pinged = decisions.choose_exchange_peers(
                self._own, places, suspects, self._regions.get
            )
        contactable = {place.vm for place in places}
        self._liveness.set_pinged(
            self.pinged | (self._forwarding & contactable), now
        )

    def to_ping(self, slow_ones_too: bool) -> tuple[core.VmName, ...]:
        """Return whom to ping now.

        Without ``slow_ones_too`` these are only the peers of this region.
        """
        if not slow_ones_too:
            return tuple(
                place.vm
                for place in self.rows.places()
                if place.vm in self.pinged and self.is_near(place.vm)
            )
        wanted = self.pinged | self._forwarding
        return tuple(
            place.vm for place in self.rows.places() if place.vm in wanted
        )

    def is_near(self, vm: core.VmName) -> bool:
        """Return whether a VM is registered in this VM's region."""
        return self._distance(vm) in (
            core.ZoneDistance.SAME_ZONE,
            core.ZoneDistance.SAME_REGION,
        )

    def _distance(self, vm: core.VmName) -> core.ZoneDistance:
        zone = self.rows.zone_of(vm)
        if zone is None:
            return core.ZoneDistance.OTHER_REGION
        return decisions.nearness(self._own.zone, zone, self._regions.get)

    # -- who is live ----------------------------------------------------

    def last_digest(self, vm: core.VmName) -> core.SetDigest | None:
        """Return the digest of a peer's last report; None if none is wanted.

        A relay knows the VMs of its zone itself.  It takes no report from
        there, since two relays could confirm a dead VM to each other.
        """
        wanted = self.role is core.ExchangeRole.MEMBER and vm in self.pinged
        if self.role is core.ExchangeRole.RELAY:
            wanted = self._distance(vm) is not core.ZoneDistance.SAME_ZONE
        return self._liveness.last_digest(vm) if wanted else None

    def record_pong(self, pong: core.Pong, now: float) -> None:
        """Record a peer's response and the live VMs that it reports."""
        for view in pong.views:
            if view.view is core.StoreView.ENTRY_VMS:
                self.listing.record_list(pong.vm, view.revision)
            elif view.view is core.StoreView.INSTANCES:
                self.instance_lists.record(pong.vm, view.revision)
        self._liveness.record_response(pong.vm, now)
        self._liveness.record_report(pong.vm, pong.live_digest, pong.live, now)
        if pong.list_revision and self._has_report(pong):
            for vm in self._liveness.reported(pong.vm):
                self.listing.record_list(vm, pong.list_revision)
                self.instance_lists.record(vm, pong.instances_revision)

    def _has_report(self, pong: core.Pong) -> bool:
        """Return whether the VMs that a peer reports as live are known."""
        return pong.live_digest == self._liveness.last_digest(pong.vm)

    def update_live(self, now: float) -> tuple[core.VmName, ...]:
        """Update the live VMs; return those that are no longer live."""
        contactable = {row.vm for row in self.rows.contactable()}
        live = self._liveness.live(now) & contactable
        if contactable and self._listed_at is None:
            self._listed_at = now
        if self._listed_at is not None:
            self._is_starting = now < self._listed_at + START_GRACE_S
        lost = tuple(sorted(self.live - live))
        self.live = live
        self._last_live.update(dict.fromkeys(live, now))
        return lost

    def live_report(
        self, ping: core.Ping, now: float
    ) -> tuple[core.SetDigest, tuple[core.VmName, ...] | None, int, int]:
        """Return the digest of the live VMs to report, and the VMs if new.

        The last values are the lowest revisions of these VMs' lists of VMs
        and of instances.

        A relay reports all live VMs to the members of its zone, and those
        of its region to other regions.  Within the region it reports which
        VMs of its zone respond to itself, and so does a member.
        """
        if ping.live_digest is None:
            return core.SetDigest(0), None, 0, 0
        distance = self._distance(ping.vm)
        is_relay = self.role is core.ExchangeRole.RELAY
        if is_relay and distance is core.ZoneDistance.SAME_ZONE:
            live = self.live
        elif is_relay and distance is core.ZoneDistance.OTHER_REGION:
            live = frozenset(vm for vm in self.live if self.is_near(vm))
        else:
            live = frozenset(
                vm
                for vm in self._liveness.responding(now)
                if self._distance(vm) is core.ZoneDistance.SAME_ZONE
            )
        vms = tuple(sorted({*live, self._own.vm}))
        digest = decisions.digest_of_vms(vms)
        is_known = digest == ping.live_digest
        lowest_list = self.listing.lowest_list(vms)
        lowest_instances = self.instance_lists.lowest(vms)
        shown = None if is_known else vms
        return digest, shown, lowest_list, lowest_instances

    def live_nodes(self) -> tuple[core.EntryVmZone, ...]:
        """Return the live VMs and this VM, in order of name.

        Shortly after the start these are all VMs of the list: a VM that
        takes itself for the only one would open the connections of all.
        """
        if self._is_starting:
            return self._with_own(self.rows.places())
        return self._responding_nodes()

    def _responding_nodes(self) -> tuple[core.EntryVmZone, ...]:
        return self._with_own(
            place for place in self.rows.places() if place.vm in self.live
        )

    def _with_own(
        self, others: Iterable[core.EntryVmZone]
    ) -> tuple[core.EntryVmZone, ...]:
        return tuple(sorted([self._own, *others], key=lambda node: node.vm))

    def peer_sets(self, now: float) -> core.PeerSets:
        """Return the sets of VMs that matter to a change of primary."""
        return core.PeerSets(
            tuple(sorted(self.live)),
            self.rows.possible_lease_holders(now),
            self.rows.voters(now),
            self.listing.listers(),
            self.listing.listed_by_all_at(),
            self.instance_lists.shown(),
        )

    def rows_to_mark(
        self, now: float, boot_now: float
    ) -> tuple[core.EntryVmRow, ...]:
        """Return the rows that this VM is to mark as missing.

        The live VMs of a row's zone mark it, or all live VMs if none of the
        zone is live, one after the other in the order of their ranking.  A
        marked VM gets no lease from the VM that marks it, which must be in
        its list; the first in the ranking may not be.
        """
        live = self._responding_nodes()
        listers = self.listing.listers()
        listed_by_all = boot_now >= self.listing.listed_by_all_at()

        def turn_of(row: core.EntryVmRow) -> int | None:
            if not listed_by_all and row.vm not in listers:
                return None
            near = [node.vm for node in live if node.zone == row.zone]
            markers = near or [node.vm for node in live]
            if self._own.vm not in markers:
                return None
            return decisions.failover_rank(
                self._own.vm, markers, _MARKER_RANKING
            )

        return self.rows.newly_missing(self._last_live, turn_of, now)
