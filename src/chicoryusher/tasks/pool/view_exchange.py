"""View exchange: shares views of the store between the entry VMs.

A view is this VM's copy of one kind of rows of the store, such as the
leader rows.  One VM polls the store; the others get their views from
their peers.  In a small fleet every VM pings every other; in a larger one
VMs ping each other through the relays of their zones.  The pings also show
which VMs are live, and extend the lease to use primaries while the store
can't be reached.
"""

from __future__ import annotations

import dataclasses
import math

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool import exchange_peers
from chicoryusher.tasks.pool import leaders as leaders_module
from chicoryusher.tasks.pool import own_row
from chicoryusher.tasks.pool import store_polling

__all__ = ['ViewExchange']

# Seconds between pings to each peer of this VM's region.
PING_INTERVAL_S = 0.5
# The same while this VM lacks a view after its start.  The peers may start at
# the same moment, and cannot be reached by the first pings.
START_PING_INTERVAL_S = 0.1
# Seconds after the start for which the pings are that frequent at most.
MAX_START_S = 10.0
# Peers of other regions, and the VMs to which this VM forwards work, are
# pinged at every second tick only.
TICKS_PER_SLOW_PING = 2
# Seconds between decisions on whether to poll the store.
POLL_CHECK_INTERVAL_S = 0.2
# Age in seconds of the leader rows from which grants are gathered and extend
# the lease; while the store answers, nobody needs them.
GRANTS_FROM_AGE_S = 1.3
# Number of the latest pings whose responses are still accepted.
MAX_OPEN_PINGS = 12
# Seconds by which a confirmed view of the leader rows must be newer than the
# one that was passed on last, to be passed on before the next ping.
MIN_PASS_ON_S = 0.3
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
NO_DIGEST = core.SetDigest(0)


class _Tick(core.Message):
    """Ping the peers and do the periodic checks."""


class _PollCheck(core.Message):
    """Decide which views to poll from the store."""


class ViewExchange(runtime.Task):
    """Keep a view of each store partition and exchange it with the peers."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        own: core.EntryVmRow,
        regions: dict[core.ZoneName, core.RegionName],
        feeds: dict[core.StoreView, core.TaskName],
        evidence: core.EvidenceMode = core.EvidenceMode.OFF,
    ) -> None:
        super().__init__(loop, vm, 'exchange')
        # The tasks that need to know until when this VM has its lease.
        self._lease_users = (names.dispatcher(vm),)
        if evidence is core.EvidenceMode.USE:
            self._lease_users += (names.evidence_collector(vm),)
        self._clock = loop.clock
        self._own_row = own_row.OwnRow(own)
        self._own_place = core.EntryVmZone(vm, own.zone)
        self._polling = store_polling.StorePolling(vm, feeds, self.now())
        self._change_under_way = False
        self._peers = exchange_peers.ExchangePeers(self._own_place, regions)
        self._views = {
            kind: decisions.PrimaryLease() for kind in core.StoreView
        }
        self._contents: dict[core.StoreView, core.Message] = {}
        self._fetches: dict[core.StoreView, tuple[core.VmName, float]] = {}
        self._leaders = leaders_module.LeaderTable()
        self._positions: dict[
            core.ServiceName, core.PrimaryPositionObserved
        ] = {}
        self._ping_times: dict[int, float] = {}
        self._ping_number = 0
        # The last ping of each peer, and when it arrived (boot-time clock).
        self._asked_by: dict[core.VmName, tuple[core.Ping, float]] = {}
        self._grants = decisions.LeaseGrants(vm)
        self._passed_on = float('-inf')
        # The newest era of the store that this VM knows of, and that of the
        # list of VMs by which this VM is registered; 0 if none.
        self._era = core.StoreEra(0)
        self._registered_era = core.StoreEra(0)
        self._era_seen_at = float('-inf')
        # Whether a view of the leader rows was read after the start, and
        # whether that was in an earlier era.  Such a view has what the earlier
        # process of this VM wrote.
        self._has_read_leaders = False
        self._knew_earlier_era = False
        self._booted_at = self._clock.boottime()
        self._peer_sets: core.PeerSets | None = None
        self._had_lease = False
        self._started_at = self.now()
        self.after(self._ping_interval(), _Tick())
        self.after(POLL_CHECK_INTERVAL_S, _PollCheck())

    def view_age_s(self, kind: core.StoreView) -> float:
        """Return for how many seconds a view has not been confirmed."""
        return self._views[kind].age(self._clock.boottime())

    # -- store partitions, polled or received from a peer ---------------

    def _store_if_newer(
        self, kind: core.StoreView, revision: int, message: core.Message
    ) -> bool:
        """Store a partition's content unless a newer one is stored.

        Return whether it was stored.
        """
        views = self._views[kind]
        if kind in self._contents and revision <= views.newest_revision:
            return False
        views.note_revision(revision)
        self._contents[kind] = message
        if kind is not core.StoreView.ENTRY_VMS:
            self._fetches.pop(kind, None)
        return True

    @runtime.handles(core.PoolConfigUpdate)
    def _on_config(self, message: core.PoolConfigUpdate) -> None:
        version = message.config.version
        if self._store_if_newer(core.StoreView.CONFIG, version, message):
            self.send(names.primary_manager(self.vm), message)
            self._pass_on()

    @runtime.handles(core.RegisteredInstances)
    def _on_instances(self, message: core.RegisteredInstances) -> None:
        kind = core.StoreView.INSTANCES
        self._note_era(core.era_of(message.revision))
        if self._store_if_newer(kind, message.revision, message):
            self._peers.instance_lists.record(self.vm, message.revision)
            self.send(names.primary_manager(self.vm), message)
            self._pass_on()

    @runtime.handles(core.EntryVmRowsRead)
    def _on_nodes(self, message: core.EntryVmRowsRead) -> None:
        kind = core.StoreView.ENTRY_VMS
        era = core.era_of(message.revision)
        self._note_era(era)
        if not self._store_if_newer(kind, message.revision, message):
            return
        # Rows of an earlier era are kept for a while after a restore.
        stored = tuple(
            row for row in message.rows if core.era_of(row.revision) >= era
        )
        self._registered_era = era
        self._polling.record_rows(stored)
        self._peers.rows.replace_rows(message.rows, self.now())
        peers = tuple(
            core.PeerAddress(row.vm, row.host, row.port)
            for row in self._peers.rows.contactable()
        )
        self.send(names.peers(self.vm), core.PeerAddresses(peers))
        self._write_row(self._own_row.check(stored))
        self._peers.listing.set_registration(
            self._own_row.listed_from, self._clock.boottime()
        )
        self._peers.listing.record_rows(stored)
        self._peers.listing.record_list(self.vm, message.revision)
        self._peers.choose(self.now())
        if not self._ping_number:
            self._ping_peers()
        self._report_live()
        self._update_polling()

    def _write_row(self, write: core.WriteEntryVmRow | None) -> None:
        if write is not None:
            self.send(names.row_client(self.vm), write)

    @runtime.handles(core.LeaderRowsRead)
    def _on_leads(self, message: core.LeaderRowsRead) -> None:
        self._note_era(message.era)
        newer = self._leaders.apply(message)
        self._fetches.pop(_LEADERS, None)
        for row in newer:
            self._note_era(core.era_of(row.revision))
            self._views[_LEADERS].note_revision(row.revision)
        self._contents[_LEADERS] = core.LeaderRowsRead(self._leaders.rows())
        self.send(names.primary_manager(self.vm), message)
        if newer:
            for vm in self._peers.pinged & self._peers.live:
                self._send_to_peer(vm, core.LeaderRowsRead(newer))

    @runtime.handles(core.StorePolled)
    def _on_seen(self, message: core.StorePolled) -> None:
        """Record that a poll of the store confirmed a view.

        A change of primary does not wait for a VM that is not registered in
        the store yet, so a view of the leader rows gives such a VM no
        lease.  Neither does a view that lacks what was lost in a restore.
        """
        if message.view is _LEADERS:
            # The rows of the VMs are in the same table.
            self._views[core.StoreView.ENTRY_VMS].extend_from_store(
                message.requested_at
            )
        if not self._may_confirm(message.view):
            return
        if message.view is _LEADERS and self._leaders.unconfirmed():
            return
        if self._views[message.view].extend_from_store(message.requested_at):
            self._on_view_confirmed(message.view, from_store=True)

    def _on_view_confirmed(
        self, kind: core.StoreView, from_store: bool
    ) -> None:
        valid_from = self._views[kind].valid_from
        if kind is _LEADERS:
            if valid_from >= self._booted_at:
                self._has_read_leaders = True
            self._send_lease_update()
            # In a mesh every VM hears of it from the VM that polled.
            meshed = self._peers.role is core.ExchangeRole.MESHED
            is_newer = valid_from - self._passed_on >= MIN_PASS_ON_S
            if is_newer and (from_store or not meshed):
                self._pass_on()
        elif kind in (core.StoreView.INSTANCES, core.StoreView.CONFIG):
            self.send(
                names.primary_manager(self.vm),
                core.StorePolled(kind, valid_from),
            )

    def _send_lease_update(self) -> None:
        """Send the end of this VM's lease to the dispatcher."""
        if self._own_row.has_left:
            return
        until = self._views[_LEADERS].expires_at()
        for user in self._lease_users:
            self.send(user, core.PrimaryLeaseUpdate(until))
        valid = self._clock.boottime() < until
        if valid and not self._had_lease:
            self._had_lease = True
            self.log.emit(core.LogEvent.LEASE_REGAINED)

    @runtime.handles(core.FetchView)
    def _on_fetch(self, fetch: core.FetchView) -> None:
        content = self._contents.get(fetch.view)
        if content is not None:
            self._send_to_peer(fetch.vm, content)

    def _fetch(self, vm: core.VmName, kind: core.StoreView) -> None:
        """Request a view from a peer, unless another peer is sending it."""
        now = self.now()
        peer, requested_at = self._fetches.get(kind, (vm, float('-inf')))
        is_open = now - requested_at < FETCH_TIMEOUT_S[kind]
        if is_open and (peer in self._peers.live or peer == vm):
            return
        self._fetches[kind] = (vm, now)
        self._send_to_peer(vm, core.FetchView(self.vm, kind))

    # -- pings and periodic checks --------------------------------------

    def _send_to_peer(self, vm: core.VmName, message: core.Message) -> None:
        self.send(names.peers(self.vm), core.SendToPeer(vm, message))

    def _report_live(self) -> None:
        """Send the live VMs to the tasks of this VM that use them.

        The streams to VMs that are no longer live are closed; new streams
        may work.
        """
        now = self.now()
        lost = self._peers.update_live(now)
        if lost:
            gone = tuple((vm, core.VmState.GONE) for vm in lost)
            self.send(names.peers(self.vm), core.LiveVms((), gone))
        self.meters.show(core.Metric.LIVE_VMS, len(self._peers.live) + 1)
        message = self._peers.peer_sets(now)
        if message == self._peer_sets:
            return
        self._peer_sets = message
        self.send(names.primary_manager(self.vm), message)
        self.send(names.reachability_monitor(self.vm), message)
        self.send(names.limiter(self.vm), message)
        self.send(names.limit_keeper(self.vm), message)
        live = core.LiveEntryVms(self._peers.live_nodes())
        self.send(names.dispatcher(self.vm), live)

    @runtime.handles(_Tick)
    def _on_tick(self, tick: _Tick) -> None:
        self.after(self._ping_interval(), tick)
        self._peers.choose(self.now())
        self._ping_peers()
        self._report_live()
        self._check_agreement()
        self._mark_missing()
        self._log_expired_lease()

    def _ping_interval(self) -> float:
        """Return the seconds until the next pings."""
        complete = len(self._contents) == len(self._views)
        if complete or self.now() - self._started_at > MAX_START_S:
            return PING_INTERVAL_S
        return START_PING_INTERVAL_S

    @runtime.handles(core.ForwardingPeers)
    def _on_forwarding_peers(self, message: core.ForwardingPeers) -> None:
        """Ping these VMs too, so that a silent stream is noticed."""
        self._peers.set_forwarding(message.vms)

    def _ping_peers(self, everyone: bool = False) -> None:
        self._ping_number += 1
        number = self._ping_number
        self._ping_times[number] = self._clock.boottime()
        self._ping_times.pop(number - MAX_OPEN_PINGS, None)
        slow_ones_too = everyone or number % TICKS_PER_SLOW_PING == 0
        for vm in self._peers.to_ping(slow_ones_too):
            digest = self._peers.last_digest(vm)
            ping = core.Ping(self.vm, number, digest, self._era)
            self._send_to_peer(vm, ping)

    def _mark_missing(self) -> None:
        """Mark VMs in the store that have not responded for a long time."""
        if self._own_row.row.status is not core.EntryVmStatus.SERVING:
            return
        boot_now = self._clock.boottime()
        for row in self._peers.rows_to_mark(self.now(), boot_now):
            self.log.emit(core.LogEvent.VM_STATE, peer=row.vm)
            missing = dataclasses.replace(row, unreachable=True)
            self.send(
                names.row_client(self.vm),
                core.WriteEntryVmRow(missing, row.revision),
            )

    @runtime.handles(_PollCheck)
    def _on_poll_check(self, check: _PollCheck) -> None:
        self.after(POLL_CHECK_INTERVAL_S, check)
        self._update_polling()

    def _update_polling(self) -> None:
        """Poll a view if this VM is ranked as its poller or it is too old.

        At the start the VMs that have not been pinged yet may poll as well.
        """
        now, boot_now = self.now(), self._clock.boottime()
        pollers = self._peers.live
        if self._polling.is_starting(now):
            contactable = self._peers.rows.contactable()
            pollers = frozenset(row.vm for row in contactable)
        ages_s = {
            kind: view.age(boot_now) if kind in self._contents else None
            for kind, view in self._views.items()
        }
        for feed, change in self._polling.changes(pollers, ages_s, now):
            self.send(feed, change)

    @runtime.handles(core.StoreReached)
    def _on_store_reached(self, message: core.StoreReached) -> None:
        """Let another VM poll while the store turns this VM away."""
        self._polling.record_reached(self.vm, message.reached, self.now())

    def _log_expired_lease(self) -> None:
        """Show the remaining lease time; log once when it has expired."""
        views = self._views[_LEADERS]
        boot_now = self._clock.boottime()
        seconds_left = views.expires_at() - boot_now
        if math.isfinite(seconds_left):
            self.meters.show(core.Metric.AUTHORITY_LEFT, seconds_left)
        if self._had_lease and seconds_left <= 0.0:
            self._had_lease = False
            self.log.emit(
                core.LogEvent.LEASE_EXPIRED,
                age=round(views.age(boot_now), 3),
            )

    # -- answers to pings -----------------------------------------------

    @runtime.handles(core.Ping)
    def _on_ping(self, ping: core.Ping) -> None:
        self._note_era(ping.era)
        boot_now = self._clock.boottime()
        self._asked_by[ping.vm] = (ping, boot_now)
        self._answer_ping(ping, boot_now, self._known_positions(ping.vm))

    def _known_positions(
        self, vm: core.VmName
    ) -> tuple[core.ObservedPosition, ...]:
        """Return the positions to tell a peer.

        In a large fleet each region has enough traffic of its own.
        """
        meshed = self._peers.role is core.ExchangeRole.MESHED
        if not meshed and not self._peers.is_near(vm):
            return ()
        boot_now = self._clock.boottime()
        return tuple(
            core.ObservedPosition(
                entry.service,
                entry.position,
                boot_now - entry.requested_at,
            )
            for entry in self._positions.values()
            if boot_now - entry.requested_at < decisions.LEASE_DURATION_S
        )

    def _pass_on(self) -> None:
        """Answer the last ping of each peer again, with the newest views.

        The ages are those at the arrival of the ping, so a view that was
        confirmed since then has a negative age.  The peer counts it from
        when it sent the ping, which was earlier.
        """
        self._passed_on = self._views[_LEADERS].valid_from
        oldest = self._clock.boottime() - decisions.PEER_TIMEOUT_S
        for vm, (ping, asked_at) in tuple(self._asked_by.items()):
            if asked_at < oldest:
                del self._asked_by[vm]
            else:
                self._answer_ping(ping, asked_at, ())

    def _answer_ping(
        self,
        ping: core.Ping,
        asked_at: float,
        positions: tuple[core.ObservedPosition, ...],
    ) -> None:
        """Send the state of this VM's views to a peer that has asked."""
        is_holder = self._peers.rows.may_hold_lease(ping.vm, self.now())
        grants = (
            is_holder
            and _LEADERS in self._contents
            and not self._change_under_way
            and not self._own_row.has_left
            and self._may_grant()
        )
        views = tuple(
            core.ViewState(
                kind,
                view.age(asked_at),
                view.newest_revision,
                self._leaders.digest if kind is _LEADERS else NO_DIGEST,
            )
            for kind, view in self._views.items()
            if kind in self._contents
        )
        zone_grants: tuple[core.ZoneGrant, ...] = ()
        age_s = self._views[_LEADERS].age(self._clock.boottime())
        needs_grants = age_s > GRANTS_FROM_AGE_S or not self._is_confirmed()
        passes_on = self._peers.role is not core.ExchangeRole.MESHED
        if passes_on and is_holder and needs_grants:
            zone_grants = self._grants.zone_grants(
                self._peers.rows.holders_by_zone(self.now()),
                self._own_place.zone,
                grants,
                asked_at,
            )
        digest, live, list_revision, instances_revision = (
            self._peers.live_report(ping, self.now())
        )
        pong = core.Pong(
            self.vm,
            ping.sequence,
            grants,
            views,
            positions,
            zone_grants,
            digest,
            live,
            not self._polling.is_turned_away(self.vm, self.now()),
            self._era,
            list_revision,
            instances_revision,
        )
        self._send_to_peer(ping.vm, pong)

    @runtime.handles(core.Pong)
    def _on_pong(self, pong: core.Pong) -> None:
        now = self.now()
        self._note_era(pong.era)
        self._peers.record_pong(pong, now)
        self._polling.record_reached(pong.vm, pong.reaches_store, now)
        sent_at = self._ping_times.get(pong.sequence)
        if sent_at is None:
            return
        leaders_current = True
        for peer_view in pong.views:
            own_view = self._views[peer_view.view]
            if self._lacks(peer_view):
                self._fetch(pong.vm, peer_view.view)
                leaders_current = (
                    leaders_current and peer_view.view is not _LEADERS
                )
            elif self._may_confirm(
                peer_view.view
            ) and own_view.extend_from_peer(
                sent_at, peer_view.age, peer_view.revision
            ):
                self._on_view_confirmed(peer_view.view, from_store=False)
        # Peers of an older release name no era.
        era = max(pong.era, core.FIRST_ERA)
        if leaders_current and era == self._era:
            self._record_grants(pong, sent_at)
        for observation in pong.positions:
            self._on_position(
                core.PrimaryPositionObserved(
                    observation.service,
                    observation.position,
                    sent_at - observation.age,
                )
            )

    def _lacks(self, peer_view: core.ViewState) -> bool:
        """Return whether a peer may have what this VM's view lacks.

        A newer leader row of one group says nothing about the others, since
        each is sent on its own.  Peers of an older release send no digest.
        """
        own_view = self._views[peer_view.view]
        if peer_view.view not in self._contents:
            return True
        if peer_view.revision > own_view.newest_revision:
            return True
        return peer_view.digest not in (NO_DIGEST, self._leaders.digest)

    def _record_grants(self, pong: core.Pong, sent_at: float) -> None:
        self._grants.record_zones(pong.zone_grants, sent_at)
        if pong.grants_lease:
            self._grants.record(pong.vm, sent_at)
        self._extend_lease()
        self._check_agreement()

    def _may_confirm(self, kind: core.StoreView) -> bool:
        """Return whether a view of the store may renew this VM's view."""
        if kind is not _LEADERS:
            return True
        return self._own_row.is_registered and self._is_listed()

    def _is_listed(self) -> bool:
        """Return whether this VM has the list of VMs of the newest era."""
        return self._registered_era == self._era

    def _extend_lease(self) -> None:
        """Extend the lease if all VMs that could change a primary agree.

        Each of them has granted it by its response to a ping: no change of
        primary was under way there.  The list of VMs may lack one that has
        registered since it was confirmed; such a VM waits until the list is
        too old, unless a VM that is in the list helps it.
        """
        boot_now = self._clock.boottime()
        is_young = self._views[_LEADERS].age(boot_now) < GRANTS_FROM_AGE_S
        if is_young or not self._may_confirm(_LEADERS):
            return
        list_age_s = self._views[core.StoreView.ENTRY_VMS].age(boot_now)
        list_is_valid = list_age_s < decisions.LIST_VALID_S
        if not list_is_valid or not self._own_row.is_seen:
            return
        holders = self._peers.rows.holders_by_zone(self.now())
        oldest = self._grants.oldest(holders, boot_now)
        if self._views[_LEADERS].extend_by_grants(oldest, boot_now):
            self._send_lease_update()

    # -- restores of the store ------------------------------------------

    def _note_era(self, era: core.StoreEra) -> None:
        """Begin anew with grants when the store is in a newer era.

        The grants so far were given by VMs that did not know of it.
        """
        if era <= self._era:
            return
        is_first = not self._era
        self._era = era
        self._peers.listing.set_registration(None, self._clock.boottime())
        self._knew_earlier_era = self._has_read_leaders
        if is_first:
            return
        self._era_seen_at = self._clock.boottime()
        self._grants = decisions.LeaseGrants(self.vm)
        self.log.emit(core.LogEvent.STORE_RESTORED, era=era)
        self.send(names.primary_manager(self.vm), core.StoreRestored(era))
        self._ping_peers(everyone=True)

    def _may_grant(self) -> bool:
        """Return whether this VM's leader rows allow it to grant leases.

        While a row may be lost, a VM that has started since can't know what
        its earlier process did, and a group that is closing has no primary
        to use.
        """
        if self._is_confirmed():
            return True
        is_open = all(
            row.state is core.LeaderRowState.OPEN
            for row in self._leaders.rows()
        )
        return self._knew_earlier_era and is_open

    def _is_confirmed(self) -> bool:
        """Return whether all leader rows are of the newest era.

        Without any row, the store must have been read in that era.
        """
        rows = self._leaders.rows()
        if self._leaders.unconfirmed():
            return False
        if not rows and self._era > core.FIRST_ERA:
            return self._leaders.era == self._era
        return all(core.era_of(row.revision) >= self._era for row in rows)

    def _check_agreement(self) -> None:
        """Report when all VMs have agreed since a restore of the store."""
        if not self._leaders.unconfirmed() or self._change_under_way:
            return
        if not self._knew_earlier_era or not self._is_listed():
            return
        holders = self._peers.rows.holders_by_zone(self.now())
        oldest = self._grants.oldest(holders, self._clock.boottime())
        if oldest > self._era_seen_at:
            self.send(names.primary_manager(self.vm), core.LeadersAgreed())

    # -- messages from this VM's tasks ----------------------------------

    @runtime.handles(core.PrimaryPositionObserved)
    def _on_observed(self, message: core.PrimaryPositionObserved) -> None:
        previous = self._positions.get(message.service)
        if previous is None or message.requested_at > previous.requested_at:
            self._positions[message.service] = message

    def _on_position(self, message: core.PrimaryPositionObserved) -> None:
        """Use a position that a peer knows; a relay also passes it on."""
        self.send(names.dispatcher(self.vm), message)
        if self._peers.role is core.ExchangeRole.RELAY:
            self._on_observed(message)

    @runtime.handles(core.HandoversInProgress)
    def _on_changes(self, message: core.HandoversInProgress) -> None:
        self._change_under_way = message.any_in_progress

    @runtime.handles(core.Drain)
    def _on_drain(self, message: core.Drain) -> None:
        """Register this VM as leaving.

        A change of primary that it coordinates goes on.
        """
        self._write_row(self._own_row.start_leaving())

    @runtime.handles(core.VmStopping)
    def _on_leave(self, message: core.VmStopping) -> None:
        """End the use of primaries and register this VM as having left.

        Changes of primary then no longer wait for this VM.
        """
        for user in self._lease_users:
            self.send(user, core.PrimaryLeaseUpdate(float('-inf')))
        self._write_row(self._own_row.leave())
