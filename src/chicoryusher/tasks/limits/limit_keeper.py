"""Limit keeper: grants operations of teams to the VMs that follow this VM."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks import task_messages

__all__ = ['LimitKeeper']

# Seconds, times the share of followers, that a keeper must have covered
# before it can tell when a VM gets operations.
MIN_COVERED_S = 0.2
# Seconds after a release until no stamp from before it can come any more.
RELEASE_KEPT_S = 60.0


@dataclasses.dataclass(slots=True)
class _KeptSlot:
    """One slot: the counted followers, and the buckets of its teams."""

    followers: decisions.FollowerCount
    buckets: dict[core.TeamName, decisions.LimitBucket]


class LimitKeeper(runtime.Task):
    """Count followers, and share the teams' limits out to them."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        tolerance: core.LimitTolerance,
    ) -> None:
        super().__init__(loop, vm, 'limit_keeper')
        self._tolerance = tolerance
        self._clock = loop.clock
        self._limits: dict[core.TeamName, core.Team] = {}
        self._vm_count = 1
        self._leaving = False
        now = self._clock.boottime()
        self._slots = {
            slot: _KeptSlot(decisions.FollowerCount(now), {})
            for slot in decisions.LIMIT_SLOTS
        }

    # -- configuration and VMs ------------------------------------------

    @runtime.handles(core.PoolConfigUpdate, task_messages.ConfigUpdate)
    def _on_config(
        self, message: core.PoolConfigUpdate | task_messages.ConfigUpdate
    ) -> None:
        self._limits = decisions.limited_teams(message.config.teams)
        for slot, kept in self._slots.items():
            self._advance(kept)
            for name, bucket in tuple(kept.buckets.items()):
                team = self._limits.get(name)
                if team is None or team.rate is None:
                    del kept.buckets[name]
                    continue
                self._refill(kept, bucket)
                bucket.set_limit(*self._granted_limit(team))
            if kept.buckets:
                self._add_buckets(slot, kept)

    def _add_buckets(self, slot: core.LimitSlot, kept: _KeptSlot) -> None:
        """Add empty buckets for the teams that have none."""
        for name, team in self._limits.items():
            if name in kept.buckets or decisions.limit_slot(name) != slot:
                continue
            kept.buckets[name] = decisions.LimitBucket(
                *self._granted_limit(team), kept.followers.covered_s
            )

    def _granted_limit(self, team: core.Team) -> tuple[float, float]:
        assert team.rate is not None
        return decisions.granted_limit(team.rate, team.burst, self._tolerance)

    @runtime.handles(core.PeerSets)
    def _on_peer_sets(self, message: core.PeerSets) -> None:
        self._set_vm_count(len(message.must_fence) + 1)

    @runtime.handles(core.LimitVms)
    def _on_limit_vms(self, message: core.LimitVms) -> None:
        self._set_vm_count(message.vm_count)

    def _set_vm_count(self, vm_count: int) -> None:
        self._vm_count = vm_count
        for kept in self._slots.values():
            self._advance(kept)
            kept.followers.set_vm_count(vm_count)

    @runtime.handles(core.Drain)
    def _on_drain(self, message: core.Drain) -> None:
        """Have the followers choose another keeper."""
        self._leaving = True

    # -- followers ------------------------------------------------------

    @runtime.handles(core.FollowLimitKeeper)
    def _on_follow(self, message: core.FollowLimitKeeper) -> None:
        kept = self._slots.get(message.slot)
        if kept is None or not self._limits:
            return
        now = self._advance(kept)
        if not kept.buckets:
            self._add_buckets(message.slot, kept)
        if message.leaves:
            kept.followers.release(message.vm, now)
            kept.followers.forget_released(now - RELEASE_KEPT_S)
            self._refill_all(kept)
        elif message.stamp is not None:
            kept.followers.record(
                message.vm, message.stamp, message.counted_s, now
            )
        self.meters.show(
            core.Metric.LIMIT_FOLLOWERS,
            len(kept.followers),
            slot=str(message.slot),
        )
        timing = decisions.follow_timing(self._vm_count)
        self._answer(
            message.vm,
            core.LimitKeeperStamp(
                self.vm,
                message.slot,
                now,
                timing.counted_s,
                message.stamp,
                message.leaves,
                self._leaving,
            ),
        )

    def _advance(self, kept: _KeptSlot) -> float:
        """Cover the time until now, and return it.

        A bucket holds no more than the lowest share since its last use
        allows, so that no keeper has what another one has got meanwhile.
        """
        now = self._clock.boottime()
        lowest_share = kept.followers.advance(now)
        if lowest_share is not None:
            for bucket in kept.buckets.values():
                bucket.refill(kept.followers.covered_s, lowest_share)
        return now

    def _refill_all(self, kept: _KeptSlot) -> None:
        for bucket in kept.buckets.values():
            self._refill(kept, bucket)

    def _refill(self, kept: _KeptSlot, bucket: decisions.LimitBucket) -> None:
        bucket.refill(kept.followers.covered_s, kept.followers.share)

    # -- operations -----------------------------------------------------

    @runtime.handles(core.AskAllowance)
    def _on_ask(self, message: core.AskAllowance) -> None:
        team = self._limits.get(message.team)
        if team is None or team.rate is None:
            self._grant(message, 0, None)
            return
        kept = self._slots[decisions.limit_slot(message.team)]
        now = self._advance(kept)
        bucket = kept.buckets.get(message.team)
        if bucket is None:
            self._grant(message, 0, None)
            return
        self._refill(kept, bucket)
        granted, next_s = bucket.take(
            message.vm,
            max(0, message.wanted),
            message.max_wait_s,
            kept.followers.share,
            now,
        )
        if kept.followers.covered_s < MIN_COVERED_S:
            # Its followers are still arriving, and with them its share.
            next_s = None
        self._grant(message, granted, next_s)

    def _grant(
        self, ask: core.AskAllowance, granted: int, next_s: float | None
    ) -> None:
        self._answer(
            ask.vm,
            core.GrantAllowance(
                self.vm, ask.team, ask.sequence, granted, next_s
            ),
        )

    def _answer(self, vm: core.VmName, message: core.Message) -> None:
        if vm == self.vm:
            self.send(names.limiter(vm), message)
        else:
            self.send(names.peers(self.vm), core.SendToPeer(vm, message))
