"""The queue of one instance: order, fairness and refusals."""

from __future__ import annotations

import pytest

from chicoryusher import core
from chicoryusher import decisions

SHORT, LONG = core.StatementClass('short'), core.StatementClass('long')


def _item(number, now=0.0, kind=SHORT, caller='c', deadline=1.0, **marks):
    request = core.Request(
        core.RequestId(f'r{number}'),
        core.SessionId('s'),
        core.CallerName(caller),
        core.DatabaseName('d'),
        core.StatementKind.READ,
        kind,
        core.Payload(b''),
        core.Marks(**marks),
    )
    submit = core.Submit(
        core.VmName('v'),
        core.InstanceName('i'),
        request,
        deadline,
        core.Role.REPLICA,
    )
    return decisions.QueuedRequest(submit, now, now + deadline)


def _queue(slots=3, policy=decisions.DEFAULT_QUEUE_POLICY):
    queue = decisions.QUEUE_POLICIES.get(policy)(slots)
    for _ in range(60):
        queue.times.observe(SHORT, 0.005)
    for _ in range(5):
        queue.times.observe(LONG, 0.5)
    for _ in range(60):
        queue.times.observe(SHORT, 0.005)
    return queue


def _start_next(queue, now):
    item = queue.pop_next(now)
    if item is not None:
        queue.record_start(item, now)
    return item


def test_short_work_goes_ahead_of_long_work():
    queue = _queue()
    long, short = _item(1, kind=LONG, deadline=5.0), _item(2)
    assert queue.offer(long, 0.0) is None
    assert queue.offer(short, 0.0) is None
    assert queue.pop_next(0.0) is short


def test_long_work_never_takes_the_last_slot():
    queue = _queue()
    for number in range(4):
        queue.offer(_item(number, kind=LONG, deadline=9.0), 0.0)
    assert [_start_next(queue, 0.0) is not None for _ in range(3)] == [
        True,
        True,
        False,
    ]
    short = _item(9)
    queue.offer(short, 0.0)
    assert queue.pop_next(0.0) is short


def test_long_work_ages_and_is_not_starved():
    queue = _queue(slots=1)
    long = _item(0, kind=LONG, deadline=30.0)
    queue.offer(long, 0.0)
    now, started = 0.0, None
    for number in range(1, 1000):
        queue.offer(_item(number, now), now)
        started = _start_next(queue, now)
        now += 0.005
        queue.record_finish(started, 0.005)
        if started is long:
            break
    assert started is long
    assert now < 2.0


def test_slots_are_shared_between_callers():
    queue = _queue(slots=1)
    for number in range(40):
        queue.offer(_item(number, caller='many', deadline=5.0), 0.0)
    for number in range(40, 50):
        queue.offer(_item(number, caller='few', deadline=5.0), 0.0)
    order = []
    for turn in range(20):
        item = _start_next(queue, turn * 0.005)
        order.append(item.request.caller)
        queue.record_finish(item, 0.005)
    assert order.count('few') == 10


def test_work_that_cannot_finish_in_time_is_refused_with_a_retry_time():
    queue = _queue(slots=1)
    refused = [queue.offer(_item(n, deadline=0.1), 0.0) for n in range(100)]
    accepted = refused.count(None)
    assert 10 <= accepted <= 20
    assert refused[-1].retry_after > 0


@pytest.mark.parametrize('factor', [2, 4])
def test_the_queue_bound_follows_the_service_time(factor):
    counts = []
    for seconds in (0.005, 0.005 * factor):
        queue = decisions.QUEUE_POLICIES.get(decisions.DEFAULT_QUEUE_POLICY)(1)
        for _ in range(80):
            queue.times.observe(SHORT, seconds)
        offers = [queue.offer(_item(n), 0.0) for n in range(300)]
        counts.append(offers.count(None))
    assert counts[0] / counts[1] == pytest.approx(factor, rel=0.1)


def test_work_that_would_miss_its_deadline_gets_no_slot():
    queue = _queue(slots=1)
    queue.offer(_item(1, deadline=0.02), 0.0)
    assert queue.pop_next(0.018) is None
    assert len(queue.remove_expired(0.018)) == 1


def test_work_that_may_wait_yields_to_other_work():
    queue = _queue(slots=2)
    queue.record_start(_item(0), 0.0)
    waiting = _item(1, deadline=10.0, may_wait=True)
    queue.offer(waiting, 0.0)
    urgent = _item(2)
    queue.offer(urgent, 0.0)
    assert queue.pop_next(0.0) is urgent
    assert queue.pop_next(0.0) is waiting


def test_a_queue_detects_that_all_its_slots_are_overrun():
    queue = _queue(slots=2)
    for number in (1, 2):
        queue.offer(_item(number), 0.0)
        _start_next(queue, 0.0)
    assert not queue.all_slots_overrun(0.010)
    assert queue.all_slots_overrun(0.050)
    assert queue.expected_wait(0.050) >= 0.050
