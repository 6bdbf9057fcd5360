"""Limiter: gets this VM's operations their part of the teams' limits.

It follows a keeper in each slot of teams, asks the keepers for what the
dispatcher or the router requests, and answers the task that requested.
Nothing of it runs while no team has a limit.
"""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks import task_messages
from chicoryusher.tasks.limits import slot_follower

__all__ = ['Limiter']

# Checks of the followed keepers for each interval between messages to them.
CHECKS_PER_INTERVAL = 5
# Seconds after a deadline at which its timer fires, so that it has passed.
WAKE_DELAY_S = 0.001


class _CheckKeepers(core.Message):
    """Check the keepers of all slots."""


@dataclasses.dataclass(frozen=True, slots=True)
class _CheckTeam(core.Message):
    """Decide or ask again for a team's waiting operations."""

    team: core.TeamName


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    """An operation that waits, who requested it, and when."""

    team: core.TeamName
    reply_to: core.TaskName
    requested_at: float


class Limiter(runtime.Task):
    """Ask limit keepers for this VM's operations.

    ``started_at`` is when this process started (``Clock.boottime``), None for
    now.
    """

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        tolerance: core.LimitTolerance,
        zone: core.ZoneName,
        regions: dict[core.ZoneName, core.RegionName],
        started_at: float | None = None,
    ) -> None:
        super().__init__(loop, vm, 'limiter')
        self._clock = loop.clock
        self._tolerance = tolerance
        self._zone = zone
        self._regions = regions
        # Whom an earlier process followed, this one does not know.
        self._unheld_since = (
            self._clock.boottime() if started_at is None else started_at
        )
        self._limits: dict[core.TeamName, core.Team] = {}
        self._allowances: dict[core.TeamName, decisions.TeamAllowances] = {}
        self._requests: dict[core.AllowanceId, _Request] = {}
        self._wake_at: dict[core.TeamName, float] = {}
        # Teams of which something has changed in this batch of messages.
        self._changed: set[core.TeamName] = set()
        self._followers: dict[core.LimitSlot, slot_follower.SlotFollower] = {}
        self._is_checking = False
        self._live: frozenset[core.VmName] = frozenset()
        self._near: frozenset[core.VmName] = frozenset()
        self._timing = decisions.follow_timing(1)

    # -- configuration and VMs ------------------------------------------

    @runtime.handles(core.PoolConfigUpdate, task_messages.ConfigUpdate)
    def _on_config(
        self, message: core.PoolConfigUpdate | task_messages.ConfigUpdate
    ) -> None:
        self._limits = decisions.limited_teams(message.config.teams)
        for name, allowances in tuple(self._allowances.items()):
            if name in self._limits:
                self._set_limit(name, allowances)
            else:
                self._grant_all(name)
        if self._limits:
            self._start_following()

    def _set_limit(
        self, name: core.TeamName, allowances: decisions.TeamAllowances
    ) -> None:
        team = self._limits[name]
        assert team.rate is not None
        validity_s = decisions.allowance_validity_s(
            team.rate, team.burst, self._tolerance
        )
        allowances.set_limit(team.rate, validity_s)

    def _grant_all(self, name: core.TeamName) -> None:
        """Let the operations of a team go that has no limit any more."""
        del self._allowances[name]
        for allowance_id, request in tuple(self._requests.items()):
            if request.team == name:
                self._answer(
                    core.AllowanceDecided(
                        allowance_id,
                        core.AllowanceOutcome.GRANTED,
                        float('inf'),
                    )
                )

    @runtime.handles(core.PeerSets)
    def _on_peer_sets(self, message: core.PeerSets) -> None:
        live = frozenset({self.vm, *message.live})
        near = {
            place.vm for place in message.voters if self._is_near(place.zone)
        }
        self._on_limit_vms(
            core.LimitVms(
                live,
                frozenset(near | {self.vm}) & live,
                len(message.must_fence) + 1,
            )
        )

    @runtime.handles(core.LimitVms)
    def _on_limit_vms(self, message: core.LimitVms) -> None:
        self._live, self._near = message.live, message.near
        self._timing = decisions.follow_timing(message.vm_count)
        for follower in self._followers.values():
            follower.set_live(self._live, self._near)
        self._start_following()

    def _is_near(self, zone: core.ZoneName) -> bool:
        region_of = self._regions.get
        distance = decisions.nearness(self._zone, zone, region_of)
        return distance is not core.ZoneDistance.OTHER_REGION

    def _start_following(self) -> None:
        if self._is_checking or not self._limits or not self._live:
            return
        self._is_checking = True
        for slot in decisions.LIMIT_SLOTS:
            # No keeper counts this VM for longer than that since it last
            # followed one.
            hold = decisions.KeeperHold(
                self._unheld_since, self._timing.counted_s
            )
            follower = slot_follower.SlotFollower(self, self.vm, slot, hold)
            follower.set_live(self._live, self._near)
            self._followers[slot] = follower
        self._check_keepers()

    @runtime.handles(_CheckKeepers)
    def _on_check_keepers(self, message: _CheckKeepers) -> None:
        if self._limits:
            self._check_keepers()
            return
        self._is_checking = False
        self._followers.clear()
        self._unheld_since = self._clock.boottime()

    def _check_keepers(self) -> None:
        now = self._clock.boottime()
        for follower in self._followers.values():
            follower.check(now, self._timing)
        delay = self._timing.interval_s / CHECKS_PER_INTERVAL
        self.after(delay, _CheckKeepers())

    # -- messages to and from keepers -----------------------------------

    def send_follow(
        self, keeper: core.VmName, message: core.FollowLimitKeeper
    ) -> None:
        """Send a message to a keeper."""
        self._send_to_keeper(keeper, message)

    def _send_to_keeper(
        self, keeper: core.VmName, message: core.Message
    ) -> None:
        if keeper == self.vm:
            self.send(names.limit_keeper(self.vm), message)
        else:
            self.send(names.peers(self.vm), core.SendToPeer(keeper, message))

    def keeper_chosen(self, follower: slot_follower.SlotFollower) -> None:
        """Log that another keeper is followed."""
        self.log.emit(
            core.LogEvent.LIMIT_KEEPER_CHOSEN,
            slot=follower.slot,
            peer=follower.keeper,
        )

    @runtime.handles(core.LimitKeeperStamp)
    def _on_stamp(self, stamp: core.LimitKeeperStamp) -> None:
        follower = self._followers.get(stamp.slot)
        if follower is not None:
            follower.on_stamp(stamp, self._clock.boottime())

    @runtime.handles(core.GrantAllowance)
    def _on_grant(self, grant: core.GrantAllowance) -> None:
        allowances = self._allowances.get(grant.team)
        if allowances is not None:
            allowances.record_grant(grant, self._clock.boottime())
            self._changed.add(grant.team)

    # -- requests of the dispatcher and the router ----------------------

    @runtime.handles(core.RequestAllowance)
    def _on_request(self, request: core.RequestAllowance) -> None:
        now = self._clock.boottime()
        team = request.team
        self._requests[request.allowance_id] = _Request(
            team, request.reply_to, now
        )
        if team not in self._limits:
            self._answer(
                core.AllowanceDecided(
                    request.allowance_id,
                    core.AllowanceOutcome.GRANTED,
                    float('inf'),
                )
            )
            return
        allowances = self._allowances.get(team)
        if allowances is None:
            allowances = decisions.TeamAllowances()
            self._set_limit(team, allowances)
            self._allowances[team] = allowances
        allowances.add(
            request.allowance_id,
            request.max_wait_s,
            now,
            request.max_turn_wait_s,
        )
        self._changed.add(team)

    @runtime.handles(core.CancelAllowance)
    def _on_cancel(self, message: core.CancelAllowance) -> None:
        request = self._requests.pop(message.allowance_id, None)
        if request is None:
            return
        allowances = self._allowances.get(request.team)
        if allowances is not None:
            allowances.cancel(message.allowance_id)

    def settled(self) -> None:
        """Decide once for all messages of a batch."""
        changed, self._changed = self._changed, set()
        for team in changed:
            allowances = self._allowances.get(team)
            if allowances is not None:
                self._settle(team, allowances)

    def _settle(
        self, team: core.TeamName, allowances: decisions.TeamAllowances
    ) -> None:
        """Answer what is decided, ask for the rest, and set a timer."""
        now = self._clock.boottime()
        for decision in allowances.settle(now):
            self._answer(decision)
        self._ask(team, allowances, now)
        wake_at = allowances.wake_at(now)
        if wake_at < self._wake_at.get(team, float('inf')):
            self._wake_at[team] = wake_at
            delay = max(wake_at - now, 0.0) + WAKE_DELAY_S
            self.after(delay, _CheckTeam(team))

    def _ask(
        self,
        team: core.TeamName,
        allowances: decisions.TeamAllowances,
        now: float,
    ) -> None:
        follower = self._followers.get(decisions.limit_slot(team))
        keeper = None if follower is None else follower.asked_keeper(now)
        if keeper is None:
            return
        question = allowances.question(now)
        if question is None:
            return
        self._send_to_keeper(
            keeper,
            core.AskAllowance(
                self.vm,
                team,
                question.sequence,
                question.wanted,
                question.max_wait_s,
            ),
        )

    @runtime.handles(_CheckTeam)
    def _on_check_team(self, message: _CheckTeam) -> None:
        self._wake_at.pop(message.team, None)
        self._changed.add(message.team)

    def _answer(self, decision: core.AllowanceDecided) -> None:
        request = self._requests.pop(decision.allowance_id, None)
        if request is None:
            return
        waited = self._clock.boottime() - request.requested_at
        self.meters.record(
            core.Metric.ALLOWANCE, waited, outcome=decision.outcome.value
        )
        self.meters.record(core.Metric.TEAM_WAIT, waited, team=request.team)
        if decision.outcome is not core.AllowanceOutcome.GRANTED:
            self.log.emit(
                core.LogEvent.OPERATION_OVER_LIMIT,
                team=request.team,
                why=decision.outcome.value,
                waited=round(waited, 4),
            )
        self.send(request.reply_to, decision)
