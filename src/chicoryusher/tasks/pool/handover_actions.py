"""Actions and guards of the chart ``handover``."""

from __future__ import annotations

from chicoryusher import charts
from chicoryusher.tasks.pool import handover

__all__: list[str] = []
Handover = handover.Handover


@charts.action('handover.claim')
def _claim(task: Handover, arg: object) -> None:
    task.claim()


@charts.action('handover.fence')
def _fence(task: Handover, arg: object) -> None:
    task.fence()


@charts.action('handover.ask')
def _ask(task: Handover, arg: object) -> None:
    task.ask()


@charts.action('handover.ask_later')
def _ask_later(task: Handover, arg: object) -> None:
    task.ask_in(handover.ASK_PAUSE)


@charts.action('handover.ask_soon')
def _ask_soon(task: Handover, arg: object) -> None:
    task.ask_in(handover.CATCH_UP_PAUSE)


@charts.action('handover.demote')
def _demote(task: Handover, arg: object) -> None:
    task.demote()


@charts.action('handover.promote')
def _promote(task: Handover, arg: object) -> None:
    task.promote()


@charts.action('handover.confirm')
def _confirm(task: Handover, arg: object) -> None:
    task.confirm()


@charts.action('handover.confirm_later')
def _confirm_later(task: Handover, arg: object) -> None:
    task.ask_in(handover.CONFIRM_PAUSE)


@charts.action('handover.open')
def _open(task: Handover, arg: object) -> None:
    task.open()


@charts.action('handover.open_later')
def _open_later(task: Handover, arg: object) -> None:
    task.open_later()


@charts.action('handover.done')
@charts.action('handover.give_up')
def _ended(task: Handover, arg: object) -> None:
    task.ended()


@charts.guard('handover.overdue')
def _overdue(task: Handover, arg: object) -> bool:
    return task.overdue()


@charts.guard('handover.was_fenced')
def _was_fenced(task: Handover, arg: object) -> bool:
    return task.was_fenced()


@charts.guard('handover.already_led')
def _already_led(task: Handover, arg: object) -> bool:
    return task.candidates.one_leads()


@charts.guard('handover.nobody')
def _nobody(task: Handover, arg: object) -> bool:
    return task.candidates.nobody_left()


@charts.guard('handover.behind')
def _behind(task: Handover, arg: object) -> bool:
    return task.behind()


@charts.guard('handover.confirm_overdue')
def _confirm_overdue(task: Handover, arg: object) -> bool:
    return task.confirm_overdue()
