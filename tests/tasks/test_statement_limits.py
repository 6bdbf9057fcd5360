"""Limits of teams for MySQL callers, with the real tasks and no network.

Load: one team at six times its limit, at two VMs.  Failures: the keeper of
the limit dies, a VM is cut off from all others.
"""

from __future__ import annotations

import collections
import dataclasses

import logbook
import pytest

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher import tasks
from chicoryusher_standins import deployments
from chicoryusher_standins.lab import instance as instance_module
from chicoryusher_standins.lab import scripted
from chicoryusher_standins.lab import site as site_module

DATABASE = core.DatabaseName('spoonbook_1')
ANA = core.UserName('ana')
BEN = core.UserName('ben')
RATE, BURST = 20.0, 10.0
RED = {'name': 'red', 'users': [ANA], 'rate': RATE, 'burst': BURST}
BLUE = {'name': 'blue', 'users': [BEN]}
WINDOW_S = 5.0
STEP_S = 0.01
# Seconds for which a statement may wait for a turn, and a question.
MAX_TURN_S = 0.15
LIMIT_MESSAGES = {
    core.RequestAllowance,
    core.CancelAllowance,
    core.LimitVms,
    core.FollowLimitKeeper,
    core.LimitKeeperStamp,
    core.AskAllowance,
    core.GrantAllowance,
}
Outcome = core.Outcome


class LoadCaller(runtime.Task):
    """Sends writes at a rate, each in a session of its own."""

    def __init__(self, site, vm, rate, user=ANA):
        super().__init__(site.loop, '', f'load-{vm}')
        self._site = site
        self._vm = vm
        self._user = user
        self._rate = rate
        self._owed = 0.0
        self._number = 0
        self.started = []
        self.errors = []

    def send_due(self):
        self._owed += self._rate * STEP_S
        while self._owed >= 1.0:
            self._owed -= 1.0
            self._send_write()

    def _send_write(self):
        self._number += 1
        session_id = core.SessionId(f'{self._vm}:load{self._number}')
        router = tasks.names.router(self._vm)
        self.send(
            router,
            core.SessionOpened(
                session_id,
                self.task_name,
                core.CallerName('load'),
                DATABASE,
                None,
                decisions.key_of_user(self._user),
            ),
        )
        payload = instance_module.write_command(
            f'{self._vm}-{self._number}', 'k', 1, 0.001
        )
        self.send(
            router,
            core.Request(
                core.RequestId(f'{session_id}:1'),
                session_id,
                core.CallerName('load'),
                DATABASE,
                core.StatementKind.WRITE,
                core.StatementClass('load'),
                payload,
                core.Marks(deadline=3.0),
            ),
        )

    @runtime.handles(core.SessionReply)
    def _on_reply(self, reply):
        assert reply.error is None

    @runtime.handles(core.Answer)
    def _on_answer(self, answer):
        if answer.error is None:
            self.started.append(self.now())
        else:
            self.errors.append((answer.outcome, type(answer.error)))


def load(site, seconds, *callers):
    for _ in range(round(seconds / STEP_S)):
        for caller in callers:
            caller.send_due()
        site.run_for(STEP_S)


def most_in_a_window(*callers):
    times = sorted(at for caller in callers for at in caller.started)
    window = collections.deque()
    most = 0
    for at in times:
        window.append(at)
        while window[0] <= at - WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    return most


@pytest.fixture
def site():
    deployment = dataclasses.replace(
        deployments.DEPLOYMENTS['nile-grain'], databases=1
    )
    site = site_module.Site(deployment)
    set_teams(site, RED, BLUE)
    yield site
    site.close()


def set_teams(site, *teams):
    """Put a newer register with these teams in force."""
    site.document['register']['teams'] = list(teams)
    site.put_config()
    site.run_for(3.0)


def caller_of(site, user=ANA):
    caller = scripted.ScriptedCaller(
        site, next(iter(site.vms)), DATABASE, user=user
    )
    site.run_for(0.1)
    return caller


def write_over_limit(site, caller):
    """Return the answer to a write that many others of the team are before."""
    others = LoadCaller(site, next(iter(site.vms)), 20.0 * RATE)
    load(site, 1.0, others)
    assert others.errors
    others.send_due()
    before = site.loop.clock.now()
    answer = caller.write('late', 'k', 1)
    assert site.loop.clock.now() - before <= MAX_TURN_S
    return answer


def record_messages(site):
    """Return the list of the types of messages that are posted from now."""
    posted = []
    post = site.loop.post

    def recording_post(task, message):
        inner = message.message if isinstance(message, core.SendToPeer) else 0
        posted.extend((type(message), type(inner)))
        post(task, message)

    site.loop.post = recording_post
    for task in list(site.loop.components):
        if isinstance(task, runtime.Task):
            task._runtime = site.loop
    return posted


def test_a_team_over_its_limit_at_two_vms_gets_its_limit(site):
    """Each VM must not grant the whole limit."""
    callers = [LoadCaller(site, vm, 3.0 * RATE) for vm in tuple(site.vms)[:2]]
    load(site, 12.0, *callers)
    assert most_in_a_window(*callers) <= RATE * WINDOW_S + BURST
    served = sum(len(caller.started) for caller in callers)
    assert served >= 0.9 * RATE * 12.0
    assert all(caller.started for caller in callers)
    assert {error for caller in callers for error in caller.errors} == {
        (Outcome.NOT_RUN, core.OverLimit)
    }


def test_a_team_costs_another_without_a_limit_nothing(site):
    vm = next(iter(site.vms))
    other = LoadCaller(site, tuple(site.vms)[1], 10.0, BEN)
    load(site, 4.0, LoadCaller(site, vm, 3.0 * RATE), other)
    assert not other.errors
    assert len(other.started) >= 38


def test_a_demand_below_the_limit_is_served(site):
    caller = LoadCaller(site, next(iter(site.vms)), 0.8 * RATE)
    load(site, 6.0, caller)
    assert not caller.errors


def test_a_statement_over_the_limit_is_refused_at_once_and_truthfully(site):
    caller = caller_of(site)
    answer = write_over_limit(site, caller)
    assert answer.outcome is Outcome.NOT_RUN
    assert isinstance(answer.error, core.OverLimit)
    assert 'the team red is over its limit' in str(answer.error)
    site.run_for(1.0)
    reader = caller_of(site, BEN)
    assert reader.read('late')[1] == 0


def test_only_the_first_statement_of_a_transaction_counts(site):
    caller = caller_of(site)
    caller.begin()
    assert caller.write('first', 'k', 1).error is None
    assert write_over_limit(site, caller_of(site)).error is not None
    for number in range(30):
        assert caller.write(f't{number}', 'k', 1).error is None
    assert caller.commit().error is None


def test_a_transaction_over_the_limit_stays_open_and_may_begin_later(site):
    caller = caller_of(site)
    caller.begin()
    answer = write_over_limit(site, caller)
    assert isinstance(answer.error, core.OverLimit)
    assert answer.in_transaction
    site.run_for(1.0)
    assert caller.write('b', 'k', 2).error is None
    assert caller.commit().error is None


def test_a_caller_that_leaves_gives_its_place_up(site):
    caller = caller_of(site)
    router = site.nodes[next(iter(site.vms))].router
    posted = record_messages(site)
    caller.send_off(
        core.StatementKind.WRITE,
        instance_module.write_command('late', 'k', 1, 0.002),
    )
    caller.leave()
    site.run_for(1.0)
    assert core.CancelAllowance in posted
    assert not router._limits._requests._waiting
    assert caller_of(site, BEN).read('late')[1] == 0


@pytest.mark.parametrize('late', ['answer', 'move'])
def test_what_a_lost_gate_sends_late_does_not_harm_a_waiting_statement(
    site, late
):
    """A read that is sent again waits for another allowance meanwhile."""
    vm = next(iter(site.vms))
    router = site.nodes[vm].router
    site.edges.peer_tasks[vm].handlers = {
        **site.edges.peer_tasks[vm].handlers,
        core.SendToPeer: lambda task, message: None,
    }
    # The VM has lost its keeper, and follows no other one yet.
    site.run_for(0.4)
    caller = caller_of(site)
    request_id = caller.send_off(
        core.StatementKind.READ, instance_module.read_command('k', 0.002)
    )
    with logbook.TestHandler() as handler:
        site.run_for(0.02)
        assert router._pending.get(request_id).allowance_id is not None
        if late == 'answer':
            message = core.Answer(request_id, Outcome.DONE)
        else:
            instance = next(iter(site.servers))
            message = core.RequestMoved(
                request_id, instance, core.MoveReason.NOT_GATE
            )
        site.loop.post(router.task_name, message)
        caller.answer(request_id)
        next_id = caller.send_off(
            core.StatementKind.READ, instance_module.read_command('k', 0.002)
        )
        caller.answer(next_id)
        site.run_for(3.0)
        failed = core.LogEvent.TASK_FAILED.number
        numbers = [record.extra['number'] for record in handler.records]
    assert failed not in numbers
    assert not router._limits._requests._waiting
    assert router._pending.get(request_id) is None


def test_without_a_rate_no_message_about_limits_is_sent(site):
    """What is new takes effect only where the register has a rate."""
    set_teams(site, {'name': 'red', 'users': [ANA]}, BLUE)
    site.run_for(2.0)
    posted = record_messages(site)
    caller = caller_of(site)
    assert caller.write('a', 'k', 1).error is None
    site.put_config()
    site.run_for(3.0)
    assert core.Heartbeat in posted
    assert not LIMIT_MESSAGES & set(posted)


def test_the_messages_about_limits_are_recorded_where_there_is_a_rate(site):
    posted = record_messages(site)
    assert caller_of(site).write('a', 'k', 1).error is None
    site.put_config()
    site.run_for(3.0)
    assert set(posted) >= LIMIT_MESSAGES - {core.CancelAllowance}


def test_a_limit_that_is_taken_away_binds_no_more(site):
    set_teams(site, {'name': 'red', 'users': [ANA]}, BLUE)
    caller = LoadCaller(site, next(iter(site.vms)), 3.0 * RATE)
    load(site, 2.0, caller)
    assert not caller.errors
    assert len(caller.started) >= 2.8 * RATE * 2.0


def test_a_team_is_served_again_after_its_keeper_has_died(site):
    slot = decisions.limit_slot(core.TeamName('red'))
    keeper = decisions.sort_limit_keepers(slot, tuple(site.vms))[0]
    other = next(vm for vm in site.vms if vm != keeper)
    caller = LoadCaller(site, other, 0.5 * RATE)
    load(site, 2.0, caller)
    site.kill_vm(keeper)
    load(site, 8.0, caller)
    late = [at for at in caller.started if at > site.loop.clock.now() - 3.0]
    assert len(late) >= 0.9 * 0.5 * RATE * 3.0
    assert most_in_a_window(caller) <= RATE * WINDOW_S + BURST


def test_operators_see_who_is_throttled_and_why(site):
    assert write_over_limit(site, caller_of(site)).error is not None
    router = site.nodes[next(iter(site.vms))].router

    def rows():
        listed = router.team_counts.rows(router.rights.teams, ())
        return {dict(row)['team']: dict(row) for row in listed}

    red, blue = rows()['red'], rows()['blue']
    assert int(red['over_limit']) > 0
    assert red['throttled'] == 'over_limit'
    assert 'over its limit' in red['last_refusal']
    assert (blue['over_limit'], blue['throttled']) == ('0', '')
    site.run_for(11.0)
    assert int(rows()['red']['over_limit']) >= int(red['over_limit'])
    assert rows()['red']['throttled'] == ''
