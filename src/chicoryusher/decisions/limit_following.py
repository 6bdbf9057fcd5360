"""When a VM may follow another keeper, and which one it follows."""

from __future__ import annotations

from collections.abc import Iterable

from chicoryusher import core

__all__ = ['KeeperChoice', 'KeeperHold']

# Margin for boot-time clocks that run at different speeds.
CLOCK_MARGIN = 1.04
# Seconds for which a keeper that did not answer, or is about to stop, is not
# chosen again.
AVOID_S = 5.0
# Answers in a row after which a keeper earlier in the order is followed.
MIN_ANSWERS = 2


class KeeperHold:
    """Until when a keeper may count this VM, on its boot-time clock.

    A process that starts does not know whom an earlier one followed, so it
    is held for ``counted_s`` seconds.
    """

    def __init__(self, started_at: float, counted_s: float) -> None:
        self._held_until = started_at + counted_s * CLOCK_MARGIN
        self._stamp: core.LimitKeeperStamp | None = None
        self._stamped_at = 0.0
        self.echoed: float | None = None

    def begin(self) -> None:
        """Forget the last keeper, which no longer counts this VM."""
        self._stamp = None
        self.echoed = None

    def record(self, stamp: core.LimitKeeperStamp, now: float) -> None:
        """Record a stamp of the keeper; it is returned by the next message."""
        if self._stamp is None or stamp.stamp > self._stamp.stamp:
            self._stamp = stamp
            self._stamped_at = now

    def echo(self) -> core.LimitKeeperStamp | None:
        """Return the stamp to return to the keeper, and be held by it."""
        stamp = self._stamp
        if stamp is None:
            return None
        self.echoed = stamp.stamp
        until = self._stamped_at + stamp.counted_s * CLOCK_MARGIN
        self._held_until = max(self._held_until, until)
        return stamp

    def is_over(self, now: float) -> bool:
        """Return whether no keeper counts this VM any more."""
        return now >= self._held_until


class KeeperChoice:
    """The keeper of one slot that this VM should follow.

    ``order`` are the live VMs in their order as keepers.  Times are those of
    the boot-time clock.
    """

    def __init__(self) -> None:
        self._order: tuple[core.VmName, ...] = ()
        self._avoided_until: dict[core.VmName, float] = {}
        self._answers = 0

    def set_order(self, order: Iterable[core.VmName]) -> None:
        """Set the live VMs in their order as keepers."""
        self._order = tuple(order)

    def avoid(self, vm: core.VmName, now: float) -> None:
        """Choose others for a while."""
        if self._avoided_until.get(vm, now) <= now:
            self._answers = 0
        self._avoided_until[vm] = now + AVOID_S

    def first(
        self, now: float, besides: core.VmName | None = None
    ) -> core.VmName | None:
        """Return the keeper to follow, None if there is none."""
        for vm in self._order:
            if vm != besides and self._avoided_until.get(vm, now) <= now:
                return vm
        return self._order[0] if self._order else None

    def better(self, keeper: core.VmName, now: float) -> core.VmName | None:
        """Return a keeper that goes before the present one, if any."""
        first = self.first(now)
        if first is None or first == keeper:
            self._answers = 0
            return None
        return first

    def record_answer(self, vm: core.VmName, now: float) -> bool:
        """Record an answer of a keeper that is not followed yet.

        Return whether it has answered often enough to be followed.
        """
        if vm != self.first(now):
            return False
        self._answers += 1
        if self._answers < MIN_ANSWERS:
            return False
        self._answers = 0
        return True
