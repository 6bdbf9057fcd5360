"""Actions of the chart ``leadership``."""

from __future__ import annotations

from chicoryusher import charts
from chicoryusher.tasks import group as group_module

__all__: list[str] = []
Group = group_module.Group


@charts.action('lead.probe_all')
def _probe_all(group: Group, arg: object) -> None:
    group.probe_all()


@charts.action('lead.clear')
def _clear(group: Group, arg: object) -> None:
    group.clear()


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
def _announce(group: Group, arg: object) -> None:
    group.announce()


@charts.action('lead.stand_back')
def _stand_back(group: Group, arg: object) -> None:
    group.stand_back()
