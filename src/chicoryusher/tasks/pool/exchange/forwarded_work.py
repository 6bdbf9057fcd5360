"""Work that another VM runs; its state follows the chart ``forwarded``."""

from __future__ import annotations

from typing import Protocol

from chicoryusher import charts
from chicoryusher import core

__all__ = ['ForwardedWork']

_ENDED = core.Completion


class Host(Protocol):
    """The operations of the forwarder that the chart's actions use."""

    def report(
        self, remote_work: ForwardedWork, ended: core.WorkEnded
    ) -> None:
        """Report the result to the task that sent the work."""

    def cancel_remote(self, remote_work: ForwardedWork) -> None:
        """Cancel the work at the connection owner."""


class ForwardedWork:
    """Work in flight at the connection owner ``via``.

    It was sent at ``sent_at`` on the runtime's clock and at ``asked_at`` on
    the clock that also counts time while the machine is suspended (seconds).
    """

    def __init__(
        self,
        host: Host,
        via: core.VmName,
        instance: core.InstanceName,
        work: core.Work,
        sent_at: float,
        asked_at: float,
    ) -> None:
        self.state = core.ForwardedState.REMOTE
        self.host = host
        self.via = via
        self.instance = instance
        self.work = work
        self.sent_at = sent_at
        self.asked_at = asked_at

    def unreported_end(
        self, ended: core.Completion, sent: bool
    ) -> core.WorkEnded:
        """Create the result if the connection owner sent none."""
        return core.WorkEnded(
            self.work.work_id,
            self.instance,
            ended,
            sent_at=self.sent_at if sent else None,
            sent_at_boottime=self.asked_at,
        )


@charts.guard('forwarded.in_transaction')
def _continues(remote_work: ForwardedWork, arg: object) -> bool:
    """Return whether the work continues a transaction begun earlier."""
    return (
        remote_work.work.transaction is not None
        and remote_work.work.begin_kind is None
    )


@charts.action('forwarded.report')
def _report(remote_work: ForwardedWork, ended: core.WorkEnded) -> None:
    remote_work.host.report(remote_work, ended)


@charts.action('forwarded.report_lost')
def _lose(remote_work: ForwardedWork, arg: object) -> None:
    """Report the work as lost; it may have been run."""
    remote_work.host.report(
        remote_work, remote_work.unreported_end(_ENDED.CONNECTION_LOST, True)
    )


@charts.action('forwarded.report_lost_unsent')
def _lose_unsent(remote_work: ForwardedWork, arg: object) -> None:
    """Report work that was not sent as lost, with its transaction."""
    remote_work.host.report(
        remote_work, remote_work.unreported_end(_ENDED.CONNECTION_LOST, False)
    )


@charts.action('forwarded.report_not_started')
def _give_back(remote_work: ForwardedWork, arg: object) -> None:
    """Report the work as not started, so that it may be retried."""
    remote_work.host.report(
        remote_work, remote_work.unreported_end(_ENDED.NOT_STARTED, False)
    )


@charts.action('forwarded.report_timed_out')
def _time_out(remote_work: ForwardedWork, arg: object) -> None:
    """Report that the work exceeded its time limit."""
    remote_work.host.report(
        remote_work, remote_work.unreported_end(_ENDED.TIMED_OUT, True)
    )


@charts.action('forwarded.cancel_remote')
def _cancel_remote(remote_work: ForwardedWork, arg: object) -> None:
    remote_work.host.cancel_remote(remote_work)
