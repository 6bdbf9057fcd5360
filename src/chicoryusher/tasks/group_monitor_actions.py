"""Actions of the chart ``leadership``."""

from __future__ import annotations

from chicoryusher import charts
from chicoryusher.tasks import group_monitor as group_module

__all__: list[str] = []
Group = group_module.GroupMonitor


@charts.action('lead.probe_all')
def _start_suspecting(group: Group, arg: object) -> None:
    group.start_suspecting()


@charts.action('lead.log_response')
def _log_response(group: Group, arg: object) -> None:
    group.log_response()


@charts.action('lead.claim_term')
def _claim_term(group: Group, arg: object) -> None:
    group.claim_term()


@charts.action('lead.fence')
def _fence(group: Group, arg: object) -> None:
    group.fence()


@charts.action('lead.promote')
def _promote(group: Group, arg: object) -> None:
    group.promote()


@charts.action('lead.announce')
def _announce_primary(group: Group, arg: object) -> None:
    group.announce_primary()


@charts.action('lead.back_off')
def _back_off(group: Group, arg: object) -> None:
    group.back_off()
