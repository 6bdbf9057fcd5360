"""Actions and guards of the state chart ``handover``.

The chart refers to them by the names given to the decorators.
"""

from __future__ import annotations

from chicoryusher import charts
from chicoryusher.tasks.pool.changes import handover

__all__: list[str] = []
Handover = handover.Handover


@charts.action('handover.write_closing_row')
def _write_closing_row(task: Handover, arg: object) -> None:
    task.write_closing_row()


@charts.action('handover.fence')
def _fence_old_primary(task: Handover, arg: object) -> None:
    task.fence_old_primary()


@charts.action('handover.announce')
def _announce_end(task: Handover, arg: object) -> None:
    task.announce_end(0.0)


@charts.action('handover.probe_instances')
def _query_instances(task: Handover, arg: object) -> None:
    task.start_round()


@charts.action('handover.probe_later')
def _query_instances_after_pause(task: Handover, arg: object) -> None:
    task.query_after(handover.QUERY_PAUSE_S)


@charts.action('handover.probe_during_catch_up')
def _wait_for_catch_up(task: Handover, arg: object) -> None:
    task.query_after(handover.CATCH_UP_PAUSE_S)


@charts.action('handover.probe_patiently')
def _query_instances_patiently(task: Handover, arg: object) -> None:
    task.query_patiently()


@charts.action('handover.demote')
def _demote_old_primary(task: Handover, arg: object) -> None:
    task.demote_old_primary()


@charts.action('handover.promote')
def _request_promotion(task: Handover, arg: object) -> None:
    task.request_promotion()


@charts.action('handover.confirm_promotion')
def _start_confirming(task: Handover, arg: object) -> None:
    task.start_confirming()


@charts.action('handover.confirm_promotion_later')
def _query_successor_after_pause(task: Handover, arg: object) -> None:
    task.query_after(handover.CONFIRM_PAUSE_S)


@charts.action('handover.write_open_row')
def _announce_primary(task: Handover, arg: object) -> None:
    task.announce_primary()


@charts.action('handover.write_open_row_later')
def _retry_open_row(task: Handover, arg: object) -> None:
    task.retry_open_row()


@charts.action('handover.finish')
def _finish(task: Handover, arg: object) -> None:
    task.finish()


@charts.action('handover.give_up')
def _report_end(task: Handover, arg: object) -> None:
    task.report_end()


@charts.guard('handover.timed_out')
def _claim_expired(task: Handover, arg: object) -> bool:
    return task.is_expired()


@charts.guard('handover.old_primary_fenced')
def _old_primary_fenced(task: Handover, arg: object) -> bool:
    return task.old_primary_fenced()


@charts.guard('handover.promotion_in_effect')
def _promotion_in_effect(task: Handover, arg: object) -> bool:
    return task.promotion_in_effect()


@charts.guard('handover.no_candidate')
def _no_candidate(task: Handover, arg: object) -> bool:
    return task.candidates.reset_if_none_left()


@charts.guard('handover.lacks_evidence')
def _lacks_evidence(task: Handover, arg: object) -> bool:
    return bool(task.candidates.missing_evidence())


@charts.guard('handover.successor_is_new')
def _successor_is_new(task: Handover, arg: object) -> bool:
    return task.successor_is_new()


@charts.guard('handover.successor_behind')
def _successor_behind(task: Handover, arg: object) -> bool:
    return task.successor_behind()


@charts.guard('handover.confirm_timed_out')
def _confirmation_timed_out(task: Handover, arg: object) -> bool:
    return task.confirmation_timed_out()
