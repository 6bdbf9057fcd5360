"""Which instance serves a read, given known waits and outliers."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from chicoryusher import core
from chicoryusher.decisions import outliers as outliers_module
from chicoryusher.decisions import reader_selection

__all__ = ['PacedChoice', 'choose_paced_instance']

# Instances whose expected times differ by no more than this ratio and these
# seconds are alike, and the draw chooses: what is known of their waits is
# some time old, and many VMs that all took the least would load it together.
ALIKE_RATIO = 1.3
ALIKE_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class PacedChoice:
    """A read to choose an instance for.

    ``draw`` is a random number from 0 to below 1.  ``may_try`` is set if the
    read may be sent to an instance on trial.
    """

    needs: reader_selection.ReadRequirement
    excluded: frozenset[core.InstanceName]
    team: core.TeamName | None
    draw: float
    may_try: bool


def choose_paced_instance(
    instances: Iterable[reader_selection.InstanceLoad],
    primary: core.InstanceName | None,
    choice: PacedChoice,
    outliers: outliers_module.Outliers,
    now: float,
    boottime: float,
) -> core.InstanceName | None:
    """Return a suitable instance with the least expected time, or None.

    Instances that are no outliers go first.  A caller that must not use the
    primary passes None for ``primary``.  ``boottime`` is the time on the
    clock that also counts suspended time.
    """
    suitable = [
        instance
        for instance in instances
        if reader_selection.is_suitable(
            instance, primary, choice.needs, choice.excluded, boottime
        )
    ]
    if choice.may_try and len(suitable) > 1:
        names = [instance.entry.name for instance in suitable]
        trial = outliers.due_trial(names, now)
        if trial is not None:
            return trial
    serving = [
        instance
        for instance in suitable
        if outliers.standing(instance.entry.name) is core.Standing.SERVING
    ]
    costs = [
        (_cost(instance, primary, choice.team, now), instance.entry.name)
        for instance in serving or suitable
    ]
    if not costs:
        return None
    least, _ = min(costs)
    alike = sorted(
        name
        for cost, name in costs
        if cost <= max(least * ALIKE_RATIO, least + ALIKE_S)
    )
    return alike[int(choice.draw * len(alike))]


def _cost(
    instance: reader_selection.InstanceLoad,
    primary: core.InstanceName | None,
    team: core.TeamName | None,
    now: float,
) -> float:
    """Return the expected seconds until one more statement is done."""
    cost = instance.cost(instance.expected_service_time(now))
    cost += instance.expected_wait(team, now)
    if instance.entry.name == primary:
        cost *= reader_selection.PRIMARY_COST_RATIO
    if now < instance.penalty_until:
        cost += reader_selection.FAILURE_PENALTY_S
    return cost
