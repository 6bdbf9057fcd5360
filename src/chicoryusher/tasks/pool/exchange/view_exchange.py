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

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool.exchange import exchange_peers
from chicoryusher.tasks.pool.exchange import known_positions
from chicoryusher.tasks.pool.exchange import lease_agreement
from chicoryusher.tasks.pool.exchange import lease_reports
from chicoryusher.tasks.pool.exchange import live_reports
from chicoryusher.tasks.pool.exchange import open_pings
from chicoryusher.tasks.pool.exchange import own_row
from chicoryusher.tasks.pool.exchange import ping_answers
from chicoryusher.tasks.pool.exchange import store_polling
from chicoryusher.tasks.pool.exchange import stored_views
from chicoryusher.tasks.pool.groups import leaders as leaders_module

__all__ = ['ViewExchange']

# Seconds between decisions on whether to poll the store.
POLL_CHECK_INTERVAL_S = 0.2
# Seconds by which a confirmed view of the leader rows must be newer than the
# one that was passed on last, to be passed on before the next ping.
MIN_PASS_ON_S = 0.3
_LEADERS = core.StoreView.LEADERS


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
        lease_users = (names.dispatcher(vm),)
        if evidence is core.EvidenceMode.USE:
            lease_users += (names.evidence_collector(vm),)
        self._clock = loop.clock
        self._own_row = own_row.OwnRow(own)
        own_place = core.EntryVmZone(vm, own.zone)
        self._polling = store_polling.StorePolling(vm, feeds, self.now())
        self._peers = exchange_peers.ExchangePeers(own_place, regions)
        self._views = stored_views.StoredViews()
        self._leaders = leaders_module.LeaderTable()
        self._positions = known_positions.KnownPositions()
        self._pings = open_pings.OpenPings(self.now())
        self._eras = decisions.StoreEras(self._clock.boottime())
        self._agreement = lease_agreement.LeaseAgreement(
            own_place,
            self._eras,
            self._own_row,
            self._peers,
            self._leaders,
            self._views,
        )
        self._lease = lease_reports.LeaseReports(
            self, self._clock, self._views[_LEADERS], lease_users
        )
        self._passed_on = float('-inf')
        self._live = live_reports.LiveReports(self, self._peers)
        self._answers = ping_answers.PingAnswers(
            self,
            self._clock,
            self._eras,
            self._views,
            self._leaders,
            self._peers,
            self._polling,
            self._agreement,
            self._positions,
        )
        self.after(self._ping_interval(), _Tick())
        self.after(POLL_CHECK_INTERVAL_S, _PollCheck())

    def view_age_s(self, kind: core.StoreView) -> float:
        """Return for how many seconds a view has not been confirmed."""
        return self._views[kind].age(self._clock.boottime())

    # -- store partitions, polled or received from a peer ---------------

    @runtime.handles(core.PoolConfigUpdate)
    def _on_config(self, message: core.PoolConfigUpdate) -> None:
        version = message.config.version
        if self._views.store_if_newer(core.StoreView.CONFIG, version, message):
            self.send(names.primary_manager(self.vm), message)
            self._pass_on()

    @runtime.handles(core.PoolTeamsUpdate)
    def _on_teams(self, message: core.PoolTeamsUpdate) -> None:
        """Use the teams of a version with the routes of the one before.

        A key that the version takes away must not work until its other parts
        can be read.  Peers get the same as from a version without a defect.
        """
        update = self._views.config_with(message)
        if update is not None:
            self._on_config(update)

    @runtime.handles(core.RegisteredInstances)
    def _on_instances(self, message: core.RegisteredInstances) -> None:
        kind = core.StoreView.INSTANCES
        self._note_era(core.era_of(message.revision))
        if self._views.store_if_newer(kind, message.revision, message):
            self._peers.instance_lists.record(self.vm, message.revision)
            self.send(names.primary_manager(self.vm), message)
            self._pass_on()

    @runtime.handles(core.EntryVmRowsRead)
    def _on_nodes(self, message: core.EntryVmRowsRead) -> None:
        kind = core.StoreView.ENTRY_VMS
        era = core.era_of(message.revision)
        self._note_era(era)
        if not self._views.store_if_newer(kind, message.revision, message):
            return
        # Rows of an earlier era are kept for a while after a restore.
        stored = tuple(
            row for row in message.rows if core.era_of(row.revision) >= era
        )
        self._eras.record_list(era)
        self._polling.record_rows(stored)
        self._peers.rows.replace_rows(message.rows, self.now())
        addresses = self._peers.rows.addresses()
        self.send(names.peers(self.vm), core.PeerAddresses(addresses))
        self._write_row(self._own_row.check(stored))
        self._peers.listing.set_registration(
            self._own_row.listed_from, self._clock.boottime()
        )
        self._peers.listing.record_rows(stored)
        self._peers.listing.record_list(self.vm, message.revision)
        self._peers.choose(self.now())
        if not self._pings.number:
            self._ping_peers()
        self._live.send()
        self._update_polling()

    def _write_row(self, write: core.WriteEntryVmRow | None) -> None:
        if write is not None:
            self.send(names.row_client(self.vm), write)

    @runtime.handles(core.LeaderRowsRead)
    def _on_leads(self, message: core.LeaderRowsRead) -> None:
        self._note_era(message.era)
        newer = self._leaders.apply(message)
        for row in newer:
            self._note_era(core.era_of(row.revision))
        self._views.store_leaders(newer, self._leaders.rows())
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
        if not self._agreement.may_confirm(message.view):
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
            self._eras.record_leaders_view(valid_from)
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
        """Send the end of this VM's lease to the tasks that use it."""
        if not self._own_row.has_left:
            self._lease.send()

    @runtime.handles(core.FetchView)
    def _on_fetch(self, fetch: core.FetchView) -> None:
        content = self._views.content(fetch.view)
        if content is not None:
            self._send_to_peer(fetch.vm, content)

    def _fetch(self, vm: core.VmName, kind: core.StoreView) -> None:
        """Request a view from a peer, unless another peer is sending it."""
        if self._views.start_fetch(vm, kind, self._peers.live, self.now()):
            self._send_to_peer(vm, core.FetchView(self.vm, kind))

    # -- pings and periodic checks --------------------------------------

    def _send_to_peer(self, vm: core.VmName, message: core.Message) -> None:
        self.send(names.peers(self.vm), core.SendToPeer(vm, message))

    @runtime.handles(_Tick)
    def _on_tick(self, tick: _Tick) -> None:
        self.after(self._ping_interval(), tick)
        self._peers.choose(self.now())
        self._ping_peers()
        self._live.send()
        self._check_agreement()
        self._mark_missing()
        self._lease.show()

    def _ping_interval(self) -> float:
        return self._pings.interval(self._views.are_complete, self.now())

    @runtime.handles(core.ForwardingPeers)
    def _on_forwarding_peers(self, message: core.ForwardingPeers) -> None:
        """Ping these VMs too, so that a silent stream is noticed."""
        self._peers.set_forwarding(message.vms)

    def _ping_peers(self, everyone: bool = False) -> None:
        number = self._pings.start(self._clock.boottime())
        slow_ones_too = everyone or self._pings.is_slow_due
        for vm in self._peers.to_ping(slow_ones_too):
            digest = self._peers.last_digest(vm)
            ping = core.Ping(self.vm, number, digest, self._eras.era)
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
        ages_s = self._views.ages_s(boot_now)
        for feed, change in self._polling.changes(pollers, ages_s, now):
            self.send(feed, change)

    @runtime.handles(core.StoreReached)
    def _on_store_reached(self, message: core.StoreReached) -> None:
        """Let another VM poll while the store turns this VM away."""
        self._polling.record_reached(self.vm, message.reached, self.now())

    # -- answers to pings -----------------------------------------------

    @runtime.handles(core.Ping)
    def _on_ping(self, ping: core.Ping) -> None:
        self._note_era(ping.era)
        self._answers.answer(ping)

    def _pass_on(self) -> None:
        """Show the newest views to the peers before their next pings."""
        self._passed_on = self._views[_LEADERS].valid_from
        self._answers.answer_again()

    @runtime.handles(core.Pong)
    def _on_pong(self, pong: core.Pong) -> None:
        now = self.now()
        self._note_era(pong.era)
        self._peers.record_pong(pong, now)
        self._polling.record_reached(pong.vm, pong.reaches_store, now)
        sent_at = self._pings.sent_at(pong.sequence)
        if sent_at is None:
            return
        leaders_current = True
        for peer_view in pong.views:
            own_view = self._views[peer_view.view]
            if self._views.lacks(peer_view, self._leaders.digest):
                self._fetch(pong.vm, peer_view.view)
                if peer_view.view is _LEADERS:
                    leaders_current = False
            elif not self._agreement.may_confirm(peer_view.view):
                continue
            elif own_view.extend_from_peer(
                sent_at, peer_view.age, peer_view.revision
            ):
                self._on_view_confirmed(peer_view.view, from_store=False)
        # Peers of an older release name no era.
        era = max(pong.era, core.FIRST_ERA)
        if leaders_current and era == self._eras.era:
            self._record_grants(pong, sent_at)
        for observed in known_positions.positions_of(pong, sent_at):
            self._on_position(observed)

    def _record_grants(self, pong: core.Pong, sent_at: float) -> None:
        self._agreement.record(pong, sent_at)
        if self._agreement.extend_lease(self.now(), self._clock.boottime()):
            self._send_lease_update()
        self._check_agreement()

    def _note_era(self, era: core.StoreEra) -> None:
        """Begin anew with grants when the store is in a newer era.

        The grants so far were given by VMs that did not know of it.
        """
        if era <= self._eras.era:
            return
        boot_now = self._clock.boottime()
        self._peers.listing.set_registration(None, boot_now)
        if not self._eras.enter(era, boot_now):
            return
        self._agreement.begin_anew()
        self.log.emit(core.LogEvent.STORE_RESTORED, era=era)
        self.send(names.primary_manager(self.vm), core.StoreRestored(era))
        self._ping_peers(everyone=True)

    def _check_agreement(self) -> None:
        """Report when all VMs have agreed since a restore of the store."""
        if self._agreement.has_agreed(self.now(), self._clock.boottime()):
            self.send(names.primary_manager(self.vm), core.LeadersAgreed())

    # -- messages from this VM's tasks ----------------------------------

    @runtime.handles(core.PrimaryPositionObserved)
    def _on_observed(self, message: core.PrimaryPositionObserved) -> None:
        self._positions.record(message)

    def _on_position(self, message: core.PrimaryPositionObserved) -> None:
        """Use a position that a peer knows; a relay also passes it on."""
        self.send(names.dispatcher(self.vm), message)
        if self._peers.role is core.ExchangeRole.RELAY:
            self._on_observed(message)

    @runtime.handles(core.HandoversInProgress)
    def _on_changes(self, message: core.HandoversInProgress) -> None:
        self._agreement.change_under_way = message.any_in_progress

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
        self._lease.send_end()
        self._write_row(self._own_row.leave())
