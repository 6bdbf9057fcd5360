"""What the control plane of VMs with teams sends; counts and virtual time."""

from __future__ import annotations

import pytest

from chicoryusher_standins.lab import control
from chicoryusher_standins.lab import experiments

VMS = 12


def measured(teams, rate):
    detail = f'{VMS}:{teams}:{rate}'
    return control.control(
        experiments.Job('control', 'nile-grain', 1, detail=detail)
    )


def test_limits_cost_the_same_for_few_and_for_many_teams():
    few, many = measured(3, 1), measured(60, 1)
    for name in ('messages_per_s', 'kb_per_s'):
        assert many[name] == pytest.approx(few[name], rel=0.1)


def test_without_teams_no_message_of_limits_is_sent():
    without, idle = measured(0, 0), measured(3, 0)
    assert without['messages_per_s'] < idle['messages_per_s']
    assert without['kb_per_s'] < idle['kb_per_s']
