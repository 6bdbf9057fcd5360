"""One piece of work that another VM runs; lives by ``forwarded``."""

from __future__ import annotations

from typing import Protocol

from chicoryusher import charts
from chicoryusher import core

__all__ = ['Forwarded']

_ENDED = core.Ended


class Host(Protocol):
    """The forwarder, as the work's chart sees it."""

    def report(self, one: Forwarded, ended: core.WorkEnded) -> None:
        """Tell the owner what became of its work."""

    def call_back(self, one: Forwarded) -> None:
        """Tell the holder that nobody waits for the work."""


class Forwarded:
    """Work under way, and when it left on both clocks (seconds)."""

    def __init__(
        self,
        host: Host,
        via: core.VmName,
        instance: core.InstanceName,
        work: core.Work,
        sent_at: float,
        asked_at: float,
    ) -> None:
        self.state = core.ForwardedState.AWAY
        self.host = host
        self.via = via
        self.instance = instance
        self.work = work
        self.sent_at = sent_at
        self.asked_at = asked_at

    def without_word(self, ended: core.Ended, sent: bool) -> core.WorkEnded:
        """Return an end that the holder has not told of."""
        return core.WorkEnded(
            self.work.work_id,
            self.instance,
            ended,
            sent_at=self.sent_at if sent else None,
            asked_at=self.asked_at,
        )


@charts.guard('forwarded.continues')
def _continues(one: Forwarded, arg: object) -> bool:
    """Tell whether a transaction that began before goes on."""
    return one.work.transaction is not None and one.work.begins is None


@charts.action('forwarded.report')
def _report(one: Forwarded, ended: core.WorkEnded) -> None:
    one.host.report(one, ended)


@charts.action('forwarded.lose')
def _lose(one: Forwarded, arg: object) -> None:
    """End it as lost: it may have been run."""
    one.host.report(one, one.without_word(_ENDED.LOST, True))


@charts.action('forwarded.lose_unsent')
def _lose_unsent(one: Forwarded, arg: object) -> None:
    one.host.report(one, one.without_word(_ENDED.LOST, False))


@charts.action('forwarded.give_back')
def _give_back(one: Forwarded, arg: object) -> None:
    one.host.report(one, one.without_word(_ENDED.NOT_STARTED, False))


@charts.action('forwarded.overrun')
def _overrun(one: Forwarded, arg: object) -> None:
    one.host.report(one, one.without_word(_ENDED.OVERTIME, True))


@charts.action('forwarded.call_back')
def _call_back(one: Forwarded, arg: object) -> None:
    one.host.call_back(one)
