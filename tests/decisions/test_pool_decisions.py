"""Decisions of the connection pool: queue, setup, leases, failover."""

from __future__ import annotations

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from chicoryusher import core
from chicoryusher import decisions

SHAPE = core.PreparedQuery(core.PreparedQueryKind.READ, 'q2c')
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
    queue = decisions.WorkQueue()
    queue.add(work(1, priority=2, start_by=3.0))
    queue.add(work(2, priority=1, start_by=9.0))
    queue.add(work(3, priority=1, start_by=5.0))
    order = [queue.pop_next(0.0).work_id for _ in range(3)]
    assert order == [3, 2, 1]


def test_work_that_cannot_start_in_time_expires_and_is_not_returned():
    queue = decisions.WorkQueue()
    queue.add(work(1, start_by=3.0))
    assert queue.pop_next(3.0) is None
    assert [expired.work_id for expired in queue.remove_expired(3.0)] == [1]
    assert len(queue) == 0


def test_cancelled_work_is_not_returned():
    queue = decisions.WorkQueue()
    queue.add(work(1))
    assert queue.cancel(core.WorkId(1))
    assert not queue.cancel(core.WorkId(1))
    assert queue.pop_next(0.0) is None


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
            prepared[command.name] = command.prepared


NAMES = st.sampled_from(['tz', 'role', 'lang'])
SHAPES = st.sampled_from(
    [SHAPE, core.PreparedQuery(core.PreparedQueryKind.WRITE, 'q3d'), None]
)


@given(
    st.lists(st.tuples(st.dictionaries(NAMES, st.sampled_from('abc')), SHAPES))
)
def test_a_suited_connection_has_just_the_sessions_values_and_shape(steps):
    memory = decisions.ConnSessionState()
    values, prepared = {}, {}
    for session_values, shape in steps:
        item = work(values=tuple(session_values.items()), shape=shape)
        cost = decisions.setup_cost(memory, item)
        commands = decisions.setup_commands(memory, item)
        assert len(commands) <= cost + 1
        apply(commands, values, prepared)
        assert values == session_values
        if shape is not None:
            assert prepared[memory.prepared[shape]] == shape


def test_a_prepared_connection_needs_no_setup_command():
    memory = decisions.ConnSessionState()
    item = work(values=(('tz', 'a'),), shape=SHAPE)
    decisions.setup_commands(memory, item)
    assert decisions.setup_cost(memory, item) == 0
    assert decisions.setup_commands(memory, item) == []


def large_shape(number):
    template = f'q{number}'.ljust(decisions.conn_setup.MAX_REMEMBERED_BYTES)
    return core.PreparedQuery(core.PreparedQueryKind.READ, template)


def test_a_free_connection_remembers_nothing_large():
    """Load: sessions that prepare and set large texts one after another."""
    memory = decisions.ConnSessionState()
    values, prepared = {}, {}
    for number in range(5):
        shape = large_shape(number)
        item = work(values=(('tz', f'a{number}'),), shape=shape)
        cost = decisions.setup_cost(memory, item)
        commands = decisions.setup_commands(memory, item)
        assert len(commands) <= cost + 1
        apply(commands, values, prepared)
        assert prepared == {memory.prepared[shape]: shape}
        memory.trim()
        assert not memory.values
        assert not memory.prepared


def test_a_transaction_prepares_large_statements_under_new_names():
    memory = decisions.ConnSessionState()
    names = set()
    for number in range(5):
        item = dataclasses.replace(
            work(shape=large_shape(number)),
            transaction=core.TransactionId('t1'),
        )
        commands = decisions.setup_commands(memory, item)
        assert [command.op for command in commands] == [Op.PREPARE]
        names.add(commands[0].name)
        assert len(memory.prepared) <= 2
    assert len(names) == 5


# -- connection shares ---------------------------------------------------


@given(st.integers(1, 300), st.integers(1, 600))
def test_kept_connections_of_all_vms_stay_under_the_cap(cap, vms):
    share = decisions.connection_share(cap, vms)
    assert 1 <= share.kept_open <= share.max_open <= cap
    if vms * 2 <= cap:
        assert share.kept_open * vms <= cap


# -- primary lease -------------------------------------------------------


def test_the_lease_is_timed_from_the_request_not_from_the_answer():
    views = decisions.PrimaryLease()
    views.extend_from_store(10.0)
    assert views.expires_at() == 10.0 + decisions.LEASE_DURATION_S


def test_a_peers_view_is_adopted_only_if_all_its_rows_are_known():
    views = decisions.PrimaryLease()
    views.extend_from_store(10.0)
    assert not views.extend_from_peer(12.0, 0.5, 7)
    views.note_revision(7)
    assert views.extend_from_peer(12.0, 0.5, 7)
    assert views.valid_from == 11.5


def test_an_older_view_does_not_shorten_the_lease():
    views = decisions.PrimaryLease()
    views.extend_from_store(10.0)
    assert not views.extend_from_store(9.0)
    assert not views.extend_from_peer(9.5, 0.2, 0)
    assert views.valid_from == 10.0


def test_a_change_waits_longer_than_any_lease_lasts():
    assert decisions.LEASE_EXPIRY_WAIT_S > decisions.LEASE_DURATION_S


# -- failover ------------------------------------------------------------


def state(term, received, role=core.Role.REPLICA):
    position = core.Position(core.Term(term), core.LogPosition(received))
    return core.InstanceState(role, core.Term(term), position, position)


def test_every_vm_has_its_own_failover_rank():
    live = [core.VmName(f'vm{vm}') for vm in range(5)]
    ranks = {decisions.failover_rank(vm, live, SERVICE) for vm in live}
    assert ranks == set(range(5))


def test_half_of_the_vms_are_not_a_majority():
    live = [core.VmName(f'vm{number}') for number in range(4)]
    reachable = {live[0]: False, live[1]: False}
    assert not decisions.unreachable_for_majority(reachable, live)
    reachable[live[2]] = False
    assert decisions.unreachable_for_majority(reachable, live)


def test_replies_of_vms_that_are_no_voters_do_not_count():
    live = [core.VmName('vm0'), core.VmName('vm1')]
    reachable = {core.VmName(f'vm{number}'): False for number in (7, 8, 9)}
    assert not decisions.unreachable_for_majority(reachable, live)


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
