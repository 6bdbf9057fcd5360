"""Which judges decide that a primary is unreachable, and when.

Each test names the partition or failure that it brings about.
"""

from __future__ import annotations

import pytest

from chicoryusher import core
from chicoryusher import decisions

JUDGES = frozenset(core.VmName(f'vm{number}') for number in range(12))
SIDE = sorted(JUDGES)[:4]
FAR = sorted(JUDGES)[4:]
MS = 0.001
SILENT_S = decisions.judge_replies.SILENT_AFTER_S
QUIET_S = decisions.judge_replies.QUIET_S
ONE, OTHER = core.InstanceName('i-1'), core.InstanceName('i-2')


def at(offset):
    return core.Position(core.Term(3), core.LogPosition(offset))


def suspicion(seconds, vms=SIDE, step=0.3, reached=()):
    """Return the replies of ``vms`` that check for some seconds."""
    replies = decisions.JudgeReplies()
    now = 0.0
    while now < seconds + MS:
        replies.start_check(now)
        replies.record_asked(now)
        for vm in vms:
            replies.record(vm, vm in reached, now)
        now += step
    return replies


def test_a_third_of_the_judges_decides_once_the_others_are_silent():
    """A partition: the other judges are on the side without the store."""
    replies = suspicion(SILENT_S + 0.2)
    assert not replies.are_most(JUDGES)
    assert not replies.side(JUDGES, SILENT_S - MS)
    assert replies.side(JUDGES, SILENT_S + 0.2) == frozenset(SIDE)


def test_a_vm_that_is_alone_decides_nothing():
    """It is cut off from the primary and from all other VMs."""
    replies = suspicion(5.0, SIDE[:1])
    assert not replies.side(JUDGES, 5.0)
    assert not replies.side(frozenset(SIDE[:2]), 5.0)


def test_two_vms_of_a_small_fleet_decide_nothing():
    judges = frozenset(sorted(JUDGES)[:7])
    assert not suspicion(5.0, SIDE[:2]).side(judges, 5.0)
    assert suspicion(5.0, SIDE[:3]).side(judges, 5.0)


def test_one_judge_that_reaches_the_primary_keeps_it():
    """Only some paths to the primary are cut."""
    replies = suspicion(5.0, reached=SIDE[:1])
    assert not replies.side(JUDGES, 5.0)


def test_a_judge_that_was_heard_a_moment_ago_is_not_silent():
    """The primary has failed again after it was reached."""
    replies = suspicion(2.0)
    replies.record(FAR[0], True, 2.0)
    assert not replies.side(JUDGES, 2.1)
    replies.record_asked(2.1)
    replies.record(SIDE[0], False, 2.1)
    assert not replies.side(JUDGES, 2.1 + SILENT_S - MS)


def test_a_suspicion_that_has_ended_does_not_count_for_the_next():
    replies = suspicion(2.0)
    later = 2.0 + 10.0
    replies.start_check(later)
    replies.record_asked(later)
    for vm in SIDE:
        replies.record(vm, False, later)
    assert not replies.side(JUDGES, later)


def test_replies_of_two_checks_in_a_row_make_a_majority():
    """Judges of another region reply after the next check has begun."""
    replies = suspicion(0.0, FAR[:5])
    replies.start_check(0.3)
    for vm in SIDE[:2]:
        replies.record(vm, False, 0.4)
    assert replies.are_most(JUDGES)
    replies.start_check(2.0)
    assert not replies.are_most(JUDGES)


def progress(*received, step=0.2):
    """Return the progress of a replica that reports these offsets."""
    made = decisions.ReplicaProgress()
    for number, offset in enumerate(received):
        made.record(ONE, at(offset), number * step)
    return made, (len(received) - 1) * step


def test_replicas_that_receive_nothing_are_quiet():
    """The primary is gone, or cut off from its replicas."""
    made, now = progress(7, 7, 7, 7)
    assert made.is_quiet((ONE,), now)
    assert made.is_quiet((ONE, OTHER), now)


@pytest.mark.parametrize('received', [(7,), (7, 7), (7, 7, 7, 8), (6, 7, 7)])
def test_replicas_that_receive_something_are_not_quiet(received):
    """The VMs on the other side of the partition still write."""
    made, now = progress(*received)
    assert not made.is_quiet((ONE,), now)


def test_one_replica_that_still_receives_is_enough_to_wait():
    made, now = progress(7, 7, 7, 7)
    made.record(OTHER, at(7), now - 0.2)
    made.record(OTHER, at(9), now)
    assert not made.is_quiet((ONE, OTHER), now)


def test_without_any_answer_of_a_replica_nothing_is_known():
    made, now = progress(7, 7, 7, 7)
    assert not made.is_quiet((OTHER,), now)
    assert not made.is_quiet((ONE,), now + 5.0)


def test_a_pause_between_two_statuses_proves_nothing():
    made, now = progress(7, 7, step=5.0)
    assert not made.is_quiet((ONE,), now)
