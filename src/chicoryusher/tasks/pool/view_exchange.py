"""View exchange: shares views of the store between the entry VMs.

A view is this VM's copy of one partition of the store, such as the leader
rows.  A few VMs poll the store; the others get their views from them.  All
VMs ping each other regularly.  The pings also show which VMs are live, and
extend the lease to use primaries while the store can't be reached.
"""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool import entry_vms
from chicoryusher.tasks.pool import leaders as leaders_module

__all__ = ['ViewExchange']

# Seconds between pings to each peer of this VM's region.
PING_INTERVAL_S = 0.5
# Peers of other regions are pinged at every second tick only, because
# traffic between regions is costly.
TICKS_PER_REMOTE_PING = 2
# Seconds without a response after which a peer no longer counts as live.
PEER_TIMEOUT_S = 2.2
# Number of the latest pings whose responses are still accepted.
MAX_OPEN_PINGS = 12
# VMs that poll the store in normal operation; two, so that one may fail.
STORE_POLLER_COUNT = 2
# Maximum age of a view in seconds; a VM with an older view polls the store
# itself.  The views of a store poller are up to two long polls old (1.3 s
# for the leader rows, 2.5 s for the instances), and a peer of another region
# is pinged only once a second.
MAX_VIEW_AGE_S = {
    core.StoreView.LEADERS: 2.4,
    core.StoreView.INSTANCES: 6.5,
}
# Keys of the VM rankings that select the store pollers, and the VM that marks
# other VMs as missing.
_POLLER_RANKING = core.ServiceName('follow')
_MARKER_RANKING = core.ServiceName('mark')
_LEADERS = core.StoreView.LEADERS


class _Tick(core.Message):
    """Ping the peers and do the periodic checks."""


class ViewExchange(runtime.Task):
    """Keep a view of each store partition and exchange it with the peers."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        own: core.EntryVmRow,
        regions: dict[core.ZoneName, core.RegionName],
        feeds: tuple[core.TaskName, ...],
    ) -> None:
        super().__init__(loop, vm, 'exchange')
        self._clock = loop.clock
        self._own_row = own
        self._regions = regions
        self._feeds = feeds
        self._polling = True
        self._row_registered = False
        self._stored_row: core.EntryVmRow | None = None
        self._has_left = False
        self._change_under_way = False
        self._entry_vms = entry_vms.EntryVms(vm)
        self._views = {
            kind: decisions.PrimaryLease() for kind in core.StoreView
        }
        self._contents: dict[core.StoreView, core.Message] = {}
        self._leaders = leaders_module.LeaderTable()
        self._observed: dict[
            core.ServiceName, core.PrimaryPositionObserved
        ] = {}
        self._ping_times: dict[int, float] = {}
        self._ping_number = 0
        self._response_times: dict[core.VmName, float] = {}
        self._grant_times: dict[core.VmName, float] = {}
        self._had_lease = False
        self.after(PING_INTERVAL_S, _Tick())

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
        return True

    @runtime.handles(core.PoolConfigUpdate)
    def _on_config(self, message: core.PoolConfigUpdate) -> None:
        version = message.config.version
        if self._store_if_newer(core.StoreView.CONFIG, version, message):
            self.send(names.primary_manager(self.vm), message)

    @runtime.handles(core.RegisteredInstances)
    def _on_instances(self, message: core.RegisteredInstances) -> None:
        kind = core.StoreView.INSTANCES
        if self._store_if_newer(kind, message.revision, message):
            self.send(names.primary_manager(self.vm), message)

    @runtime.handles(core.EntryVmRowsRead)
    def _on_nodes(self, message: core.EntryVmRowsRead) -> None:
        kind = core.StoreView.ENTRY_VMS
        if not self._store_if_newer(kind, message.revision, message):
            return
        self._entry_vms.replace_rows(message.rows, self.now())
        peers = tuple(
            core.PeerAddress(row.vm, row.host, row.port)
            for row in self._entry_vms.contactable()
        )
        self.send(names.peers(self.vm), core.PeerAddresses(peers))
        self._check_own_row(message.rows)
        self._report_live()

    def _check_own_row(self, rows: tuple[core.EntryVmRow, ...]) -> None:
        """Write this VM's row again if the stored row differs from it.

        The row of an earlier incarnation also counts as a registration if
        that incarnation was serving: a change of primary waits for the VM
        that responds at the row's address.
        """
        row = next(
            (stored for stored in rows if stored.vm == self._own_row.vm), None
        )
        self._stored_row = row
        self._row_registered = row is not None and self._registers_this_vm(row)
        if row != self._own_row and not self._has_left:
            self.send(
                names.row_client(self.vm), core.WriteEntryVmRow(self._own_row)
            )

    def _registers_this_vm(self, row: core.EntryVmRow) -> bool:
        """Return whether the row makes this VM count as registered."""
        if row == self._own_row:
            return True
        serving = (
            row.status is core.EntryVmStatus.SERVING and not row.unreachable
        )
        address = (self._own_row.host, self._own_row.port)
        return serving and (row.host, row.port) == address

    @runtime.handles(core.LeaderRowsRead)
    def _on_leads(self, message: core.LeaderRowsRead) -> None:
        newer = tuple(
            leader_row
            for leader_row in message.rows
            if self._leaders.add_if_newer(leader_row)
        )
        for row in newer:
            self._views[_LEADERS].note_revision(row.revision)
        self._contents[_LEADERS] = core.LeaderRowsRead(self._leaders.rows())
        self.send(names.primary_manager(self.vm), message)
        if newer:
            self._send_to_live(core.LeaderRowsRead(newer))

    @runtime.handles(core.StorePolled)
    def _on_seen(self, message: core.StorePolled) -> None:
        """Record that a poll of the store confirmed a view.

        A change of primary does not wait for a VM that is not registered in
        the store yet, so a view of the leader rows gives such a VM no
        lease.
        """
        if message.view is _LEADERS and not self._row_registered:
            return
        if self._views[message.view].extend_from_store(message.requested_at):
            self._on_view_confirmed(message.view)

    def _on_view_confirmed(self, kind: core.StoreView) -> None:
        if kind is _LEADERS:
            self._send_lease_update()
        elif kind is core.StoreView.INSTANCES:
            seen_at = self._views[kind].valid_from
            self.send(
                names.primary_manager(self.vm), core.StorePolled(kind, seen_at)
            )

    def _send_lease_update(self) -> None:
        """Send the end of this VM's lease to the dispatcher."""
        if self._has_left:
            return
        until = self._views[_LEADERS].expires_at()
        self.send(names.dispatcher(self.vm), core.PrimaryLeaseUpdate(until))
        valid = self._clock.boottime() < until
        if valid and not self._had_lease:
            self._had_lease = True
            self.log.emit(core.LogEvent.LEASE_REGAINED)

    @runtime.handles(core.FetchView)
    def _on_fetch(self, fetch: core.FetchView) -> None:
        content = self._contents.get(fetch.view)
        if content is not None:
            self._send_to_peer(fetch.vm, content)

    # -- pings and periodic checks --------------------------------------

    def _live_vms(self) -> tuple[core.VmName, ...]:
        now = self.now()
        return tuple(
            row.vm
            for row in self._entry_vms.contactable()
            if now - self._response_times.get(row.vm, -PEER_TIMEOUT_S)
            < PEER_TIMEOUT_S
        )

    def _send_to_live(self, message: core.Message) -> None:
        for vm in self._live_vms():
            self._send_to_peer(vm, message)

    def _send_to_peer(self, vm: core.VmName, message: core.Message) -> None:
        self.send(names.peers(self.vm), core.SendToPeer(vm, message))

    def _report_live(self) -> None:
        """Send the live VMs to the tasks of this VM that use them."""
        live = self._live_vms()
        self.meters.show(core.Metric.LIVE_VMS, len(live) + 1)
        now = self.now()
        message = core.PeerSets(
            live,
            self._entry_vms.possible_lease_holders(now),
            self._entry_vms.voters(now),
        )
        self.send(names.primary_manager(self.vm), message)
        self.send(names.reachability_monitor(self.vm), message)
        self.send(names.dispatcher(self.vm), self._live_nodes(live))

    def _live_nodes(self, live: tuple[core.VmName, ...]) -> core.LiveEntryVms:
        own = core.EntryVmZone(self.vm, self._own_row.zone)
        others = [
            core.EntryVmZone(node.vm, node.zone)
            for node in self._entry_vms.contactable()
            if node.vm in live
        ]
        nodes = sorted([own, *others], key=lambda node: node.vm)
        return core.LiveEntryVms(tuple(nodes))

    @runtime.handles(_Tick)
    def _on_tick(self, tick: _Tick) -> None:
        self.after(PING_INTERVAL_S, tick)
        self._ping_peers()
        self._report_live()
        self._disconnect_unresponsive()
        self._mark_missing()
        self._update_polling()
        self._log_expired_lease()

    def _ping_peers(self) -> None:
        self._ping_number += 1
        self._ping_times[self._ping_number] = self._clock.boottime()
        self._ping_times.pop(self._ping_number - MAX_OPEN_PINGS, None)
        ping = core.Ping(self.vm, self._ping_number)
        for row in self._entry_vms.contactable():
            if (
                self._is_near(row)
                or self._ping_number % TICKS_PER_REMOTE_PING == 0
            ):
                self._send_to_peer(row.vm, ping)

    def _is_near(self, row: core.EntryVmRow) -> bool:
        near = decisions.nearness(
            self._own_row.zone, row.zone, self._regions.get
        )
        return near is not core.ZoneDistance.OTHER_REGION

    def _disconnect_unresponsive(self) -> None:
        """Close the streams to peers that time out; new streams may work."""
        now = self.now()
        unresponsive = tuple(
            (vm, core.VmState.GONE)
            for vm, responded_at in self._response_times.items()
            if now - responded_at >= PEER_TIMEOUT_S
        )
        for vm, _ in unresponsive:
            del self._response_times[vm]
        if unresponsive:
            self.send(names.peers(self.vm), core.LiveVms((), unresponsive))

    def _mark_missing(self) -> None:
        """Mark VMs in the store that have not responded for a long time.

        Of the live VMs only the first in the ranking writes the mark.
        """
        if self._own_row.status is not core.EntryVmStatus.SERVING:
            return
        for row in self._entry_vms.newly_missing(
            self._response_times, self.now()
        ):
            if (
                decisions.failover_rank(
                    self.vm, self._live_vms(), _MARKER_RANKING
                )
                == 0
            ):
                self.log.emit(core.LogEvent.VM_STATE, peer=row.vm)
                missing = dataclasses.replace(row, unreachable=True)
                self.send(
                    names.row_client(self.vm),
                    core.WriteEntryVmRow(missing, row.revision),
                )

    def _update_polling(self) -> None:
        """Poll the store if this VM is ranked as poller or has old views."""
        boot_now = self._clock.boottime()
        rank = decisions.failover_rank(
            self.vm, self._live_vms(), _POLLER_RANKING
        )
        views_too_old = any(
            self._views[kind].age(boot_now) > max_age
            for kind, max_age in MAX_VIEW_AGE_S.items()
        )
        poll = rank < STORE_POLLER_COUNT or views_too_old
        if poll != self._polling:
            self._polling = poll
            for feed in self._feeds:
                self.send(feed, core.SetStorePolling(poll))

    def _log_expired_lease(self) -> None:
        """Show the remaining lease time; log once when it has expired."""
        views = self._views[_LEADERS]
        boot_now = self._clock.boottime()
        seconds_left = views.expires_at() - boot_now
        self.meters.show(core.Metric.AUTHORITY_LEFT, seconds_left)
        if self._had_lease and seconds_left <= 0.0:
            self._had_lease = False
            self.log.emit(
                core.LogEvent.LEASE_EXPIRED,
                age=round(views.age(boot_now), 3),
            )

    @runtime.handles(core.Ping)
    def _on_ping(self, ping: core.Ping) -> None:
        boot_now = self._clock.boottime()
        pong = core.Pong(
            self.vm,
            ping.sequence,
            _LEADERS in self._contents
            and not self._change_under_way
            and not self._has_left,
            tuple(
                core.ViewState(
                    kind, entry.age(boot_now), entry.newest_revision
                )
                for kind, entry in self._views.items()
                if kind in self._contents
            ),
            tuple(
                core.ObservedPosition(
                    entry.service,
                    entry.position,
                    boot_now - entry.requested_at,
                )
                for entry in self._observed.values()
                if boot_now - entry.requested_at < decisions.LEASE_DURATION_S
            ),
        )
        self._send_to_peer(ping.vm, pong)

    @runtime.handles(core.Pong)
    def _on_pong(self, pong: core.Pong) -> None:
        self._response_times[pong.vm] = self.now()
        sent_at = self._ping_times.get(pong.sequence)
        if sent_at is None:
            return
        leaders_current = True
        for peer_view in pong.views:
            own_view = self._views[peer_view.view]
            if peer_view.revision > own_view.newest_revision or (
                peer_view.view not in self._contents
            ):
                fetch = core.FetchView(self.vm, peer_view.view)
                self._send_to_peer(pong.vm, fetch)
                leaders_current = (
                    leaders_current and peer_view.view is not _LEADERS
                )
            elif self._may_confirm(
                peer_view.view
            ) and own_view.extend_from_peer(
                sent_at, peer_view.age, peer_view.revision
            ):
                self._on_view_confirmed(peer_view.view)
        if pong.grants_lease and leaders_current:
            self._grant_times[pong.vm] = sent_at
            self._extend_lease()
        for observation in pong.positions:
            self.send(
                names.dispatcher(self.vm),
                core.PrimaryPositionObserved(
                    observation.service,
                    observation.position,
                    sent_at - observation.age,
                ),
            )

    def _may_confirm(self, kind: core.StoreView) -> bool:
        """Return whether a peer's view may renew this VM's view."""
        return kind is not _LEADERS or self._row_registered

    def _extend_lease(self) -> None:
        """Extend the lease if all VMs that could change a primary agree.

        Each of them has granted it by its response to a ping: no change of
        primary was under way there.
        """
        boot_now = self._clock.boottime()
        granted_at = [
            self._grant_times.get(vm, float('-inf'))
            for vm in self._entry_vms.possible_lease_holders(self.now())
        ]
        oldest = min(granted_at, default=boot_now)
        if self._views[_LEADERS].extend_by_grants(oldest, boot_now):
            self._send_lease_update()

    # -- messages from this VM's tasks ----------------------------------

    @runtime.handles(core.PrimaryPositionObserved)
    def _on_observed(self, message: core.PrimaryPositionObserved) -> None:
        previous = self._observed.get(message.service)
        if previous is None or message.requested_at > previous.requested_at:
            self._observed[message.service] = message

    @runtime.handles(core.HandoversInProgress)
    def _on_changes(self, message: core.HandoversInProgress) -> None:
        self._change_under_way = message.any_in_progress

    @runtime.handles(core.Drain)
    def _on_drain(self, message: core.Drain) -> None:
        """Register this VM as leaving.

        A change of primary that it coordinates goes on.
        """
        life = core.EntryVmStatus.LEAVING
        self._own_row = dataclasses.replace(self._own_row, status=life)
        self.send(
            names.row_client(self.vm), core.WriteEntryVmRow(self._own_row)
        )

    @runtime.handles(core.VmStopping)
    def _on_leave(self, message: core.VmStopping) -> None:
        """End the use of primaries and register this VM as having left.

        Changes of primary then no longer wait for this VM.  The row is
        written only over the row that registers this VM as leaving.  The
        next incarnation of this VM gets no lease from a leaving row, so
        a delayed write can't replace a row that gives it a lease.
        """
        self._has_left = True
        self._row_registered = False
        self.send(
            names.dispatcher(self.vm), core.PrimaryLeaseUpdate(float('-inf'))
        )
        row = self._stored_row
        if row != self._own_row:
            return
        left_row = dataclasses.replace(
            self._own_row, status=core.EntryVmStatus.LEFT
        )
        assert row is not None
        self.send(
            names.row_client(self.vm),
            core.WriteEntryVmRow(left_row, row.revision),
        )
