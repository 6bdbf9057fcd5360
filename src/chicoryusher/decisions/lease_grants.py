"""Lease grants of single VMs, and of whole zones by their relays.

While the store can't be reached, a VM's lease is extended once every VM
that could change a primary has granted it.  A relay gathers the grants of
its zone and passes on the age of the oldest, so that a VM needs the
answers of a few relays and not of every VM.  Ages add up over the relays;
no clocks of two machines are compared.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from chicoryusher import core
from chicoryusher.decisions import primary_lease
from chicoryusher.decisions import vm_liveness

__all__ = ['LeaseGrants']

_NEVER = float('-inf')

Holders = Mapping[core.ZoneName, Iterable[core.VmName]]


class LeaseGrants:
    """When the grants were asked for that this VM has received.

    Times are those of the boot-time clock.  ``holders`` are the VMs that
    may hold a lease or change a primary, by zone, with this VM among them.
    """

    def __init__(self, own: core.VmName) -> None:
        self._own = own
        self._asked_at: dict[core.VmName, float] = {}
        self._zones_asked_at: dict[
            tuple[core.ZoneName, core.SetDigest], float
        ] = {}

    def record(self, vm: core.VmName, asked_at: float) -> None:
        """Record the grant of one VM."""
        self._asked_at[vm] = asked_at

    def record_zones(
        self, grants: Iterable[core.ZoneGrant], asked_at: float
    ) -> None:
        """Record the grants of zones in a response of a relay."""
        oldest = asked_at - primary_lease.LEASE_DURATION_S
        for key, zone_asked_at in tuple(self._zones_asked_at.items()):
            if zone_asked_at < oldest:
                del self._zones_asked_at[key]
        for grant in grants:
            key = (grant.zone, grant.members_digest)
            self._zones_asked_at[key] = max(
                self._zones_asked_at.get(key, _NEVER), asked_at - grant.age
            )

    def oldest(self, holders: Holders, now: float) -> float:
        """Return when the oldest of the needed grants was asked for.

        It is negative infinity if a grant is missing.  This VM itself needs
        no grant from itself.
        """
        return min(
            (
                self._zone_asked_at(zone, vms, now)
                for zone, vms in holders.items()
            ),
            default=now,
        )

    def _zone_asked_at(
        self, zone: core.ZoneName, vms: Iterable[core.VmName], now: float
    ) -> float:
        members = tuple(vms)
        each = min(
            (
                self._asked_at.get(vm, _NEVER)
                for vm in members
                if vm != self._own
            ),
            default=now,
        )
        # A relay whose list of the zone differs has gathered other grants.
        key = (zone, vm_liveness.digest_of_vms(members))
        return max(each, self._zones_asked_at.get(key, _NEVER))

    def zone_grants(
        self, holders: Holders, own_zone: core.ZoneName, own: bool, now: float
    ) -> tuple[core.ZoneGrant, ...]:
        """Return the grants of whole zones that this VM has gathered.

        ``own`` is whether this VM grants leases itself.
        """
        gathered = []
        for zone, vms in holders.items():
            if zone == own_zone and not own:
                continue
            age = now - self._zone_asked_at(zone, vms, now)
            if age < primary_lease.LEASE_DURATION_S:
                digest = vm_liveness.digest_of_vms(vms)
                gathered.append(core.ZoneGrant(zone, age, digest))
        return tuple(gathered)
