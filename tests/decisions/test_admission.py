"""Which requests an instance may run, by the last state of its group."""

from __future__ import annotations

import dataclasses

import pytest

from chicoryusher import core
from chicoryusher import decisions

OWN, OTHER = core.InstanceName('own'), core.InstanceName('other')


def _submit(role=core.Role.REPLICA, **bounds):
    request = core.Request(
        core.RequestId('r'),
        core.SessionId('s'),
        core.CallerName('c'),
        core.DatabaseName('d'),
        core.StatementKind.READ,
        core.StatementClass('read'),
        core.Payload(b''),
        core.Marks(),
    )
    return core.Submit(core.VmName('v'), OWN, request, 1.0, role, **bounds)


def _state(primary=OWN, term=3, observed_at=10.0, **own):
    return core.GroupState(
        core.DatabaseName('d'),
        primary,
        core.Term(term),
        core.ProbeAnswer(OWN, 1, **{'alive': True, **own}),
        observed_at,
        staleness=0.2,
        apply_delay=0.0,
        term_starts=(),
        has_majority=True,
    )


@pytest.fixture(name='admission')
def _admission():
    return decisions.InstanceAdmission(OWN, 10.0)


def test_nothing_runs_before_the_first_probe(admission):
    assert admission.refusal_reason(_submit(), 10.0) is core.MoveReason.DOWN
    assert not admission.is_proved_fresh(_submit(), 10.0)
    assert admission.read_position().term == 0


def test_the_primary_is_refused_once_no_majority_is_seen(admission):
    submit = _submit(core.Role.PRIMARY)
    admission.apply(_state(), 10.0)
    assert admission.refusal_reason(submit, 10.5) is None
    alone = dataclasses.replace(_state(observed_at=11.2), has_majority=False)
    admission.apply(alone, 11.2)
    refusal = admission.refusal_reason(submit, 11.2)
    assert refusal is core.MoveReason.NO_PRIMARY


@pytest.mark.parametrize(
    'after',
    [
        _state(primary=OTHER),
        _state(term=4),
        _state(alive=False),
        _state(leaving=True),
    ],
)
def test_what_was_admitted_is_checked_again_after_a_change(admission, after):
    assert admission.apply(_state(), 10.0)
    assert admission.apply(after, 10.1)


def test_a_later_probe_alone_changes_no_admission(admission):
    admission.apply(_state(), 10.0)
    assert not admission.apply(_state(observed_at=10.4), 10.4)


def test_a_leaving_instance_takes_no_reads(admission):
    admission.apply(_state(leaving=True), 10.0)
    assert admission.is_leaving
    refusal = admission.refusal_reason(_submit(), 10.0)
    assert refusal is core.MoveReason.LEAVING


def test_a_read_without_a_position_is_proved_in_the_present_term(admission):
    admission.apply(_state(term=7), 10.0)
    position = admission.read_position()
    assert position == core.Position(core.Term(7), core.LogPosition(0))


def test_the_staleness_grows_with_the_age_of_the_probe(admission):
    admission.apply(_state(), 10.0)
    assert admission.is_proved_fresh(_submit(max_staleness=0.5), 10.2)
    assert not admission.is_proved_fresh(_submit(max_staleness=0.5), 10.4)
