"""Actions and guards of the state chart ``handover``.

The chart refers to them by the names given to the decorators.
"""

from __future__ import annotations

from chicoryusher import charts
from chicoryusher.tasks.pool import handover

__all__: list[str] = []
Handover = handover.Handover


@charts.action('handover.claim')
def _write_closing_row(task: Handover, arg: object) -> None:
    task.write_closing_row()


@charts.action('handover.fence')
def _fence_old_primary(task: Handover, arg: object) -> None:
    task.fence_old_primary()


@charts.action('handover.ask')
def _query_instances(task: Handover, arg: object) -> None:
    task.ask()


@charts.action('handover.ask_later')
def _query_instances_after_pause(task: Handover, arg: object) -> None:
    task.query_after(handover.QUERY_PAUSE_S)


@charts.action('handover.ask_soon')
def _wait_for_catch_up(task: Handover, arg: object) -> None:
    task.query_after(handover.CATCH_UP_PAUSE_S)


@charts.action('handover.demote')
def _demote_old_primary(task: Handover, arg: object) -> None:
    task.demote_old_primary()


@charts.action('handover.promote')
def _request_promotion(task: Handover, arg: object) -> None:
    task.request_promotion()


@charts.action('handover.confirm')
def _start_confirming(task: Handover, arg: object) -> None:
    task.start_confirming()


@charts.action('handover.confirm_later')
def _query_successor_after_pause(task: Handover, arg: object) -> None:
    task.query_after(handover.CONFIRM_PAUSE_S)


@charts.action('handover.open')
def _announce_primary(task: Handover, arg: object) -> None:
    task.announce_primary()


@charts.action('handover.open_later')
def _retry_open_row(task: Handover, arg: object) -> None:
    task.retry_open_row()


@charts.action('handover.done')
@charts.action('handover.give_up')
def _report_end(task: Handover, arg: object) -> None:
    task.report_end()


@charts.guard('handover.overdue')
def _claim_expired(task: Handover, arg: object) -> bool:
    return task.overdue()


@charts.guard('handover.was_fenced')
def _old_primary_fenced(task: Handover, arg: object) -> bool:
    return task.old_primary_fenced()


@charts.guard('handover.already_led')
def _successor_already_promoted(task: Handover, arg: object) -> bool:
    return task.candidates.one_leads()


@charts.guard('handover.nobody')
def _no_candidate(task: Handover, arg: object) -> bool:
    return task.candidates.nobody_left()


@charts.guard('handover.behind')
def _successor_behind(task: Handover, arg: object) -> bool:
    return task.successor_behind()


@charts.guard('handover.confirm_overdue')
def _confirmation_timed_out(task: Handover, arg: object) -> bool:
    return task.confirmation_timed_out()
