"""How often a monitor probes the instances of its group."""

from __future__ import annotations

import pytest

from chicoryusher import decisions


@pytest.mark.parametrize(
    ('awaits_proof', 'has_trouble', 'interval'),
    [
        (False, False, None),
        (False, True, 0.05),
        (True, False, 0.005),
        (True, True, 0.005),
    ],
)
def test_evidence_goes_before_trouble(awaits_proof, has_trouble, interval):
    pace = decisions.ProbePace(10.0)
    urgent = pace.urgent_interval(10.0, awaits_proof, has_trouble)
    assert urgent == interval


def test_a_suspected_group_is_probed_often_for_a_while():
    pace = decisions.ProbePace(10.0)
    pace.record_suspicion(12.0)
    assert pace.urgent_interval(12.9, False, False) == 0.05
    assert pace.urgent_interval(13.0, False, False) is None


def test_a_group_without_requests_is_probed_less_often():
    pace = decisions.ProbePace(10.0)
    assert pace.usual_interval(15.0) == 1.0
    assert pace.usual_interval(15.1) == 2.0
    assert pace.record_use(15.1)
    assert pace.usual_interval(16.0) == 1.0
    assert not pace.record_use(16.0)
