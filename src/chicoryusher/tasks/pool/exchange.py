"""The exchange: what the store holds, shared with the other VMs.

A few VMs follow the store; the others have their views from them.  All
ask each other regularly, which also shows who lives, and carries the
authority to use primaries on.
"""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool import crew
from chicoryusher.tasks.pool import leads as leads_module

__all__ = ['Exchange']

# Seconds between questions to each peer of this VM's region.
PING = 0.5
# Turns between questions to peers of other regions, where bytes cost.
FAR_TURNS = 2
# Seconds since its last answer for which a peer counts as live.
LIVE = 2.2
# Questions that may still be answered.
OPEN_PINGS = 12
# VMs that follow the store while all is well; two, so that one may die.
FOLLOWERS = 2
# Seconds of age of its views after which a VM follows the store itself.
# A follower's own are up to two waits old (1.3 and 2.5 s), and a peer of
# another region is asked each second.
FOLLOW_ALONE = {
    core.StoreView.LEADS: 2.4,
    core.StoreView.INSTANCES: 6.5,
}
# Orders in which VMs follow the store, and mark those that are missing.
_FOLLOWING = core.ServiceName('follow')
_MARKING = core.ServiceName('mark')
_LEADS = core.StoreView.LEADS


class _Tick(core.Message):
    """Time to ask peers."""


class Exchange(runtime.Task):
    """Hold a view of each part of the store; pass it on."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        own: core.NodeRow,
        regions: dict[core.ZoneName, core.RegionName],
        feeds: tuple[core.TaskName, ...],
    ) -> None:
        super().__init__(loop, vm, 'exchange')
        self._clock = loop.clock
        self._own = own
        self._regions = regions
        self._feeds = feeds
        self._following = True
        self._registered = False
        self._own_in_store: core.NodeRow | None = None
        self._gone = False
        self._changing = False
        self._crew = crew.Crew(vm)
        self._views = {kind: decisions.Views() for kind in core.StoreView}
        self._held: dict[core.StoreView, core.Message] = {}
        self._leads = leads_module.Leads()
        self._observed: dict[core.ServiceName, core.PrimaryObserved] = {}
        self._pings: dict[int, float] = {}
        self._ping = 0
        self._heard: dict[core.VmName, float] = {}
        self._grants: dict[core.VmName, float] = {}
        self._had_authority = False
        self.after(PING, _Tick())

    def view_age(self, kind: core.StoreView) -> float:
        """Return the age of a view in seconds."""
        return self._views[kind].age(self._clock.running_on())

    # -- parts of the store, own or passed on ---------------------------

    def _newer(
        self, kind: core.StoreView, revision: int, message: core.Message
    ) -> bool:
        """Keep a part of the store unless a newer one is held."""
        views = self._views[kind]
        if kind in self._held and revision <= views.revision:
            return False
        views.know(revision)
        self._held[kind] = message
        return True

    @runtime.handles(core.PoolConfigInForce)
    def _on_config(self, message: core.PoolConfigInForce) -> None:
        version = message.config.version
        if self._newer(core.StoreView.CONFIG, version, message):
            self.send(names.keeper(self.vm), message)

    @runtime.handles(core.RegisteredInstances)
    def _on_instances(self, message: core.RegisteredInstances) -> None:
        kind = core.StoreView.INSTANCES
        if self._newer(kind, message.revision, message):
            self.send(names.keeper(self.vm), message)

    @runtime.handles(core.NodesInStore)
    def _on_nodes(self, message: core.NodesInStore) -> None:
        kind = core.StoreView.NODES
        if not self._newer(kind, message.revision, message):
            return
        self._crew.take(message.rows, self.now())
        peers = tuple(
            core.PeerAddress(one.vm, one.host, one.port)
            for one in self._crew.callable()
        )
        self.send(names.peers(self.vm), core.PeerAddresses(peers))
        self._take_own(message.rows)
        self._tell_live()

    def _take_own(self, rows: tuple[core.NodeRow, ...]) -> None:
        """Look at this VM's row; write it if it is not as it should be.

        A row of an earlier life counts too while that served: a change of
        primary waits for whoever answers at the row's address.
        """
        row = next((one for one in rows if one.vm == self._own.vm), None)
        self._own_in_store = row
        self._registered = row is not None and self._is_waited_for(row)
        if row != self._own and not self._gone:
            self.send(names.rows(self.vm), core.WriteNode(self._own))

    def _is_waited_for(self, row: core.NodeRow) -> bool:
        if row == self._own:
            return True
        serving = row.life is core.NodeLife.SERVING and not row.missing
        address = (self._own.host, self._own.port)
        return serving and (row.host, row.port) == address

    @runtime.handles(core.LeadsInStore)
    def _on_leads(self, message: core.LeadsInStore) -> None:
        newer = tuple(one for one in message.rows if self._leads.take(one))
        for row in newer:
            self._views[_LEADS].know(row.revision)
        self._held[_LEADS] = core.LeadsInStore(self._leads.rows())
        self.send(names.keeper(self.vm), message)
        if newer:
            self._to_live(core.LeadsInStore(newer))

    @runtime.handles(core.StoreSeen)
    def _on_seen(self, message: core.StoreSeen) -> None:
        """Take the age of an own view.

        A VM that the store does not list yet would not be waited for by
        a change of primary, so its view gives it no authority.
        """
        if message.kind is _LEADS and not self._registered:
            return
        if self._views[message.kind].own(message.asked_at):
            self._viewed(message.kind)

    def _viewed(self, kind: core.StoreView) -> None:
        if kind is _LEADS:
            self._tell_authority()
        elif kind is core.StoreView.INSTANCES:
            seen_at = self._views[kind].seen_at
            self.send(names.keeper(self.vm), core.StoreSeen(kind, seen_at))

    def _tell_authority(self) -> None:
        if self._gone:
            return
        until = self._views[_LEADS].until()
        self.send(names.desk(self.vm), core.Authority(until))
        valid = self._clock.running_on() < until
        if valid and not self._had_authority:
            self._had_authority = True
            self.log.emit(core.LogEvent.AUTHORITY_BACK)

    @runtime.handles(core.ViewFetch)
    def _on_fetch(self, fetch: core.ViewFetch) -> None:
        held = self._held.get(fetch.kind)
        if held is not None:
            self._ask_peer(fetch.vm, held)

    # -- questions to peers ---------------------------------------------

    def _live(self) -> tuple[core.VmName, ...]:
        now = self.now()
        return tuple(
            one.vm
            for one in self._crew.callable()
            if now - self._heard.get(one.vm, -LIVE) < LIVE
        )

    def _to_live(self, message: core.Message) -> None:
        for vm in self._live():
            self._ask_peer(vm, message)

    def _ask_peer(self, vm: core.VmName, message: core.Message) -> None:
        self.send(names.peers(self.vm), core.ToPeer(vm, message))

    def _tell_live(self) -> None:
        live = self._live()
        self.meters.show(core.Metric.LIVE_VMS, len(live) + 1)
        now = self.now()
        message = core.LivePeers(
            live, self._crew.concerned(now), self._crew.voters(now)
        )
        self.send(names.keeper(self.vm), message)
        self.send(names.watch(self.vm), message)
        self.send(names.desk(self.vm), self._live_nodes(live))

    def _live_nodes(self, live: tuple[core.VmName, ...]) -> core.LiveNodes:
        own = core.NodePlace(self.vm, self._own.zone)
        others = [
            core.NodePlace(one.vm, one.zone)
            for one in self._crew.callable()
            if one.vm in live
        ]
        nodes = sorted([own, *others], key=lambda one: one.vm)
        return core.LiveNodes(tuple(nodes))

    @runtime.handles(_Tick)
    def _on_tick(self, tick: _Tick) -> None:
        self.after(PING, tick)
        self._ping_peers()
        self._tell_live()
        self._drop_silent()
        self._mark_missing()
        self._choose_followers()
        self._note_lapse()

    def _ping_peers(self) -> None:
        self._ping += 1
        self._pings[self._ping] = self._clock.running_on()
        self._pings.pop(self._ping - OPEN_PINGS, None)
        ping = core.Ping(self.vm, self._ping)
        for row in self._crew.callable():
            if self._is_near(row) or self._ping % FAR_TURNS == 0:
                self._ask_peer(row.vm, ping)

    def _is_near(self, row: core.NodeRow) -> bool:
        near = decisions.nearness(self._own.zone, row.zone, self._regions.get)
        return near is not core.Nearness.OTHER_REGION

    def _drop_silent(self) -> None:
        """End streams on which nothing is heard; new ones may work."""
        now = self.now()
        silent = tuple(
            (vm, core.VmState.GONE)
            for vm, heard in self._heard.items()
            if now - heard >= LIVE
        )
        for vm, _ in silent:
            del self._heard[vm]
        if silent:
            self.send(names.peers(self.vm), core.LiveVms((), silent))

    def _mark_missing(self) -> None:
        """Say in the store that a VM has been silent for long."""
        if self._own.life is not core.NodeLife.SERVING:
            return
        for row in self._crew.silent(self._heard, self.now()):
            if decisions.rank_of(self.vm, self._live(), _MARKING) == 0:
                self.log.emit(core.LogEvent.VM_STATE, peer=row.vm)
                missing = dataclasses.replace(row, missing=True)
                self.send(
                    names.rows(self.vm),
                    core.WriteNode(missing, row.revision),
                )

    def _choose_followers(self) -> None:
        """Follow the store if it is this VM's turn, or others fail."""
        now_on = self._clock.running_on()
        rank = decisions.rank_of(self.vm, self._live(), _FOLLOWING)
        alone = any(
            self._views[kind].age(now_on) > bound
            for kind, bound in FOLLOW_ALONE.items()
        )
        follow = rank < FOLLOWERS or alone
        if follow != self._following:
            self._following = follow
            for feed in self._feeds:
                self.send(feed, core.FollowStore(follow))

    def _note_lapse(self) -> None:
        views = self._views[_LEADS]
        now_on = self._clock.running_on()
        left = views.until() - now_on
        self.meters.show(core.Metric.AUTHORITY_LEFT, left)
        if self._had_authority and left <= 0.0:
            self._had_authority = False
            self.log.emit(
                core.LogEvent.AUTHORITY_LAPSED,
                age=round(views.age(now_on), 3),
            )

    @runtime.handles(core.Ping)
    def _on_ping(self, ping: core.Ping) -> None:
        now_on = self._clock.running_on()
        pong = core.Pong(
            self.vm,
            ping.number,
            _LEADS in self._held and not self._changing and not self._gone,
            tuple(
                core.PeerView(kind, one.age(now_on), one.revision)
                for kind, one in self._views.items()
                if kind in self._held
            ),
            tuple(
                core.Observed(one.service, one.position, now_on - one.asked_at)
                for one in self._observed.values()
                if now_on - one.asked_at < decisions.LAPSE
            ),
        )
        self._ask_peer(ping.vm, pong)

    @runtime.handles(core.Pong)
    def _on_pong(self, pong: core.Pong) -> None:
        self._heard[pong.vm] = self.now()
        sent_at = self._pings.get(pong.number)
        if sent_at is None:
            return
        knows_leads = True
        for theirs in pong.views:
            mine = self._views[theirs.kind]
            if theirs.revision > mine.revision or (
                theirs.kind not in self._held
            ):
                fetch = core.ViewFetch(self.vm, theirs.kind)
                self._ask_peer(pong.vm, fetch)
                knows_leads = knows_leads and theirs.kind is not _LEADS
            elif self._counts(theirs.kind) and mine.passed_on(
                sent_at, theirs.age, theirs.revision
            ):
                self._viewed(theirs.kind)
        if pong.quiet and knows_leads:
            self._grants[pong.vm] = sent_at
            self._use_grants()
        for one in pong.observed:
            self.send(
                names.desk(self.vm),
                core.PrimaryObserved(
                    one.service, one.position, sent_at - one.age
                ),
            )

    def _counts(self, kind: core.StoreView) -> bool:
        return kind is not _LEADS or self._registered

    def _use_grants(self) -> None:
        """Carry authority on if every VM that could change it agrees."""
        now_on = self._clock.running_on()
        asked = [
            self._grants.get(vm, float('-inf'))
            for vm in self._crew.concerned(self.now())
        ]
        oldest = min(asked, default=now_on)
        if self._views[_LEADS].granted(oldest, now_on):
            self._tell_authority()

    # -- from this VM's tasks -------------------------------------------

    @runtime.handles(core.PrimaryObserved)
    def _on_observed(self, message: core.PrimaryObserved) -> None:
        known = self._observed.get(message.service)
        if known is None or message.asked_at > known.asked_at:
            self._observed[message.service] = message

    @runtime.handles(core.ChangesUnderWay)
    def _on_changes(self, message: core.ChangesUnderWay) -> None:
        self._changing = message.any

    @runtime.handles(core.Drain)
    def _on_drain(self, message: core.Drain) -> None:
        """Say that this VM leaves; a change under way goes on."""
        life = core.NodeLife.LEAVING
        self._own = dataclasses.replace(self._own, life=life)
        self.send(names.rows(self.vm), core.WriteNode(self._own))

    @runtime.handles(core.Leave)
    def _on_leave(self, message: core.Leave) -> None:
        """Use no primary any more, and say that nobody waits for this VM.

        That is written only over the row that says that it leaves.  The
        next life of this VM does not count on such a row, so a write that
        comes late can't take a row away that it counts on.
        """
        self._gone = True
        self._registered = False
        self.send(names.desk(self.vm), core.Authority(float('-inf')))
        row = self._own_in_store
        if row != self._own:
            return
        left = dataclasses.replace(self._own, life=core.NodeLife.LEFT)
        assert row is not None
        self.send(names.rows(self.vm), core.WriteNode(left, row.revision))
