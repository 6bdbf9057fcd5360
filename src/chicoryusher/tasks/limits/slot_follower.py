"""The keeper that this VM follows in one slot of teams.

Its state follows the chart ``limit_follower``.
"""

from __future__ import annotations

from collections.abc import Set
from typing import Protocol

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions

__all__ = ['SlotFollower']

# Seconds between two messages to a keeper that this VM leaves.
LEAVE_INTERVAL_S = 0.2
# Share of the interval after which a message is due at a check.
DUE_SHARE = 0.9
_State = core.LimitFollowerState


class Host(Protocol):
    """The operations of the limiter that the chart's actions use."""

    def send_follow(
        self, keeper: core.VmName, message: core.FollowLimitKeeper
    ) -> None:
        """Send a message to a keeper."""

    def keeper_chosen(self, follower: SlotFollower) -> None:
        """Report that another keeper is followed."""


class SlotFollower:
    """One slot; times are those of the boot-time clock.

    ``keeper`` is the VM that is followed, or that may still count this VM;
    it is None after the start.
    """

    def __init__(
        self,
        host: Host,
        vm: core.VmName,
        slot: core.LimitSlot,
        hold: decisions.KeeperHold,
    ) -> None:
        self.state = _State.LEAVING
        self.slot = slot
        self.keeper: core.VmName | None = None
        self.host = host
        self.hold = hold
        self.choice = decisions.KeeperChoice()
        self._vm = vm
        self._chart = charts.load_machine('limit_follower')
        self._sent_at = float('-inf')
        self._heard_at = float('-inf')

    def set_live(self, live: Set[core.VmName], near: Set[core.VmName]) -> None:
        """Set the live VMs, and those of them in this VM's region."""
        self.choice.set_order(
            decisions.sort_limit_keepers(self.slot, live, near)
        )

    def asked_keeper(self, now: float) -> core.VmName | None:
        """Return the keeper to ask for operations, None if there is none."""
        if self.state is _State.FOLLOWING:
            return self.keeper
        return self.choice.first(now)

    def check(self, now: float, timing: decisions.FollowTiming) -> None:
        """Send what is due; leave a silent keeper, and choose another."""
        if self.state is _State.FOLLOWING:
            if now - self._heard_at > timing.silent_s:
                self._chart.fire(self, 'silent', now)
            elif now - self._sent_at >= timing.interval_s * DUE_SHARE:
                self.send_echo(now)
                self._try_better_keeper(now)
        elif self.state is _State.LEAVING:
            if self.hold.is_over(now):
                self._chart.fire(self, 'expired', now)
            elif now - self._sent_at >= LEAVE_INTERVAL_S:
                self.send_leave(now)
        if self.state is _State.FREE:
            self._choose(now)

    def _choose(self, now: float) -> None:
        if self.choice.first(now) is not None:
            self._chart.fire(self, 'chosen', now)

    def on_stamp(self, stamp: core.LimitKeeperStamp, now: float) -> None:
        """Handle a keeper's answer."""
        if stamp.leaving:
            self.choice.avoid(stamp.vm, now)
        if self.state is _State.FOLLOWING and stamp.vm == self.keeper:
            self._heard_at = now
            is_first = self.hold.echoed is None
            self.hold.record(stamp, now)
            if is_first:
                self.send_echo(now)
        elif self.state is _State.FOLLOWING:
            if self.choice.record_answer(stamp.vm, now):
                self._chart.fire(self, 'better', now)
        elif self._releases(stamp):
            self._chart.fire(self, 'released', now)
            self._choose(now)

    def _releases(self, stamp: core.LimitKeeperStamp) -> bool:
        return (
            self.state is _State.LEAVING
            and stamp.released
            and stamp.vm == self.keeper
            and stamp.echoed == self.hold.echoed
        )

    def _try_better_keeper(self, now: float) -> None:
        """Ask a keeper earlier in the order whether it answers."""
        assert self.keeper is not None
        better = self.choice.better(self.keeper, now)
        if better is not None:
            self.host.send_follow(
                better, core.FollowLimitKeeper(self._vm, self.slot)
            )

    # -- messages that the chart's actions send -------------------------

    def follow(self, now: float) -> None:
        """Follow the first keeper of the order."""
        self.keeper = self.choice.first(now)
        self.hold.begin()
        self._heard_at = now
        self.send_echo(now)
        self.host.keeper_chosen(self)

    def send_echo(self, now: float) -> None:
        """Return the keeper's last stamp, or ask for the first one."""
        assert self.keeper is not None
        self._sent_at = now
        stamp = self.hold.echo()
        message = core.FollowLimitKeeper(self._vm, self.slot)
        if stamp is not None:
            message = core.FollowLimitKeeper(
                self._vm, self.slot, stamp.stamp, stamp.counted_s
            )
        self.host.send_follow(self.keeper, message)

    def send_leave(self, now: float) -> None:
        """Tell the keeper not to count this VM any more."""
        self._sent_at = now
        if self.keeper is None:
            return
        message = core.FollowLimitKeeper(
            self._vm, self.slot, self.hold.echoed, leaves=True
        )
        self.host.send_follow(self.keeper, message)


@charts.action('limit_follower.follow')
def _follow(follower: SlotFollower, now: float) -> None:
    follower.follow(now)


@charts.action('limit_follower.avoid')
def _avoid(follower: SlotFollower, now: float) -> None:
    assert follower.keeper is not None
    follower.choice.avoid(follower.keeper, now)


@charts.action('limit_follower.leave')
def _leave(follower: SlotFollower, now: float) -> None:
    follower.send_leave(now)
