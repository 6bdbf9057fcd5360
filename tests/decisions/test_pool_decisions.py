"""Decisions of the connection pool: queue, setup, authority, failover."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from chicoryusher import core
from chicoryusher import decisions

SHAPE = core.Shape(core.ShapeKind.READ, 'q2c')
SERVICE = core.ServiceName('spoonbook')
Op = core.Op


def work(number=1, values=(), shape=None, priority=1, start_by=10.0):
    return core.Work(
        core.WorkId(number),
        core.TaskName('desk'),
        core.RequestId(f'r{number}'),
        core.Statement(core.Verb.READ, 'READ 1a4', '1a4'),
        shape,
        tuple(values),
        priority,
        start_by,
        1.0,
        0.5,
        0.0,
    )


# -- work queue of one instance ------------------------------------------


def test_work_is_ordered_by_priority_then_by_latest_start():
    queue = decisions.WaitingWork()
    queue.add(work(1, priority=2, start_by=3.0))
    queue.add(work(2, priority=1, start_by=9.0))
    queue.add(work(3, priority=1, start_by=5.0))
    order = [queue.take(0.0).work_id for _ in range(3)]
    assert order == [3, 2, 1]


def test_work_that_cannot_start_in_time_expires_and_is_not_returned():
    queue = decisions.WaitingWork()
    queue.add(work(1, start_by=3.0))
    assert queue.take(3.0) is None
    assert [expired.work_id for expired in queue.expire(3.0)] == [1]
    assert len(queue) == 0


def test_cancelled_work_is_not_returned():
    queue = decisions.WaitingWork()
    queue.add(work(1))
    assert queue.cancel(core.WorkId(1))
    assert not queue.cancel(core.WorkId(1))
    assert queue.take(0.0) is None


# -- connection setup ----------------------------------------------------


def apply(commands, values, prepared):
    """Apply the commands to a connection's state as an instance does."""
    for command in commands:
        if command.op is Op.RESET:
            values.clear()
            prepared.clear()
        elif command.op is Op.SET:
            values[command.name] = command.value
        elif command.op is Op.PREPARE:
            prepared[command.name] = command.shape


NAMES = st.sampled_from(['tz', 'role', 'lang'])
SHAPES = st.sampled_from(
    [SHAPE, core.Shape(core.ShapeKind.WRITE, 'q3d'), None]
)


@given(
    st.lists(st.tuples(st.dictionaries(NAMES, st.sampled_from('abc')), SHAPES))
)
def test_a_suited_connection_has_just_the_sessions_values_and_shape(steps):
    memory = decisions.ConnMemory()
    values, prepared = {}, {}
    for session_values, shape in steps:
        item = work(values=tuple(session_values.items()), shape=shape)
        cost = decisions.fits(memory, item)
        commands = decisions.suit(memory, item)
        assert len(commands) <= cost + 1
        apply(commands, values, prepared)
        assert values == session_values
        if shape is not None:
            assert prepared[memory.prepared[shape]] == shape


def test_a_prepared_connection_needs_no_setup_command():
    memory = decisions.ConnMemory()
    item = work(values=(('tz', 'a'),), shape=SHAPE)
    decisions.suit(memory, item)
    assert decisions.fits(memory, item) == 0
    assert decisions.suit(memory, item) == []


# -- connection shares ---------------------------------------------------


@given(st.integers(1, 300), st.integers(1, 600))
def test_kept_connections_of_all_vms_stay_under_the_cap(cap, vms):
    share = decisions.connection_share(cap, vms)
    assert 1 <= share.kept <= share.most <= cap
    if vms * 2 <= cap:
        assert share.kept * vms <= cap


# -- authority -----------------------------------------------------------


def test_authority_is_timed_from_the_request_not_from_the_answer():
    views = decisions.Views()
    views.own(10.0)
    assert views.until() == 10.0 + decisions.LAPSE


def test_a_peers_view_is_adopted_only_if_all_its_rows_are_known():
    views = decisions.Views()
    views.own(10.0)
    assert not views.passed_on(12.0, 0.5, 7)
    views.know(7)
    assert views.passed_on(12.0, 0.5, 7)
    assert views.seen_at == 11.5


def test_an_older_view_does_not_shorten_the_authority():
    views = decisions.Views()
    views.own(10.0)
    assert not views.own(9.0)
    assert not views.passed_on(9.5, 0.2, 0)
    assert views.seen_at == 10.0


def test_a_change_waits_longer_than_any_authority_lasts():
    assert decisions.LAPSE_WAIT > decisions.LAPSE


# -- failover ------------------------------------------------------------


def state(term, received, role=core.Role.REPLICA):
    position = core.Position(core.Term(term), core.LogPosition(received))
    return core.InstanceState(role, core.Term(term), position, position)


def test_every_vm_has_its_own_failover_rank():
    live = [core.VmName(f'vm{vm}') for vm in range(5)]
    ranks = {decisions.rank_of(vm, live, SERVICE) for vm in live}
    assert ranks == set(range(5))


def test_half_of_the_vms_are_not_a_majority():
    live = [core.VmName(f'vm{number}') for number in range(4)]
    reachable = {live[0]: False, live[1]: False}
    assert not decisions.missed_by_most(reachable, live)
    reachable[live[2]] = False
    assert decisions.missed_by_most(reachable, live)


def test_replies_of_vms_that_are_no_voters_do_not_count():
    live = [core.VmName('vm0'), core.VmName('vm1')]
    reachable = {core.VmName(f'vm{number}'): False for number in (7, 8, 9)}
    assert not decisions.missed_by_most(reachable, live)


def test_the_newest_term_and_the_longest_log_win():
    states = {
        core.InstanceName('a'): state(2, 50),
        core.InstanceName('b'): state(3, 40),
        core.InstanceName('c'): state(3, 41),
    }
    assert decisions.best_successor(states, frozenset()) == 'c'
    leaving = frozenset({core.InstanceName('c')})
    assert decisions.best_successor(states, leaving) == 'b'
    assert decisions.best_successor({}, frozenset()) is None


def test_a_successor_has_caught_up_when_it_has_all_of_the_old_log():
    names = core.InstanceName('a'), core.InstanceName('b')
    states = {names[0]: state(3, 50), names[1]: state(3, 49)}
    assert not decisions.has_caught_up(states, *names)
    states[names[1]] = state(3, 50)
    assert decisions.has_caught_up(states, *names)
