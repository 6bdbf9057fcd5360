"""Teams of MySQL callers: rights that end, and shares of an instance."""

from __future__ import annotations

import dataclasses

import logbook
import pytest

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher_standins import deployments
from chicoryusher_standins.lab import scripted
from chicoryusher_standins.lab import site as site_module

VM = core.VmName('vm1')
DATABASE = core.DatabaseName('spoonbook_1')
REVOCATION_S = 4.0
ANA = core.UserName('ana')
BEN = core.UserName('ben')
TEAMS = ({'name': 'red', 'users': [ANA]}, {'name': 'blue', 'users': [BEN]})
Outcome = core.Outcome


@pytest.fixture
def site():
    deployment = dataclasses.replace(
        deployments.DEPLOYMENTS['nile-grain'], databases=1
    )
    site = site_module.Site(deployment, revocation_seconds=REVOCATION_S)
    set_teams(site, *TEAMS)
    yield site
    site.close()


def set_teams(site, *teams, public=False):
    """Put a newer register with these teams in force."""
    site.document['register']['teams'] = list(teams)
    site.document['register']['databases'][0]['public'] = public
    site.put_config()
    site.run_for(3.0)


def caller_of(site, user=ANA):
    caller = scripted.ScriptedCaller(site, VM, DATABASE, user=user)
    site.run_for(0.1)
    return caller


def outcome(answer):
    return answer.outcome, type(answer.error)


def test_a_user_of_a_team_is_served_and_another_is_refused(site):
    caller = caller_of(site)
    assert caller.write('a', 'k', 1).outcome is Outcome.DONE
    stranger = caller_of(site, core.UserName('eva'))
    assert isinstance(stranger.refused, core.NoTeam)


def test_a_public_database_serves_users_of_no_team(site):
    set_teams(site, *TEAMS, public=True)
    stranger = caller_of(site, core.UserName('eva'))
    assert stranger.refused is None
    assert stranger.write('a', 'k', 1).outcome is Outcome.DONE


def test_without_teams_every_user_is_served(site):
    set_teams(site)
    assert caller_of(site, None).write('a', 'k', 1).outcome is Outcome.DONE


def test_a_user_that_is_taken_away_is_refused_in_open_sessions(site):
    caller = caller_of(site)
    set_teams(site, {'name': 'red', 'users': []}, TEAMS[1])
    answer = caller.write('a', 'k', 1)
    assert outcome(answer) == (Outcome.NOT_RUN, core.NoTeam)


def test_the_transaction_of_a_user_that_is_taken_away_is_rolled_back(site):
    """A commit that was answered with OK after that would be a lie."""
    caller = caller_of(site)
    caller.begin()
    assert caller.write('a', 'k', 1).outcome is Outcome.DONE
    set_teams(site, TEAMS[1])
    answer = caller.commit()
    assert outcome(answer) == (Outcome.NOT_RUN, core.TransactionLost)
    assert not answer.in_transaction
    reader = caller_of(site, BEN)
    assert reader.read('k')[1] == 0


def test_a_user_that_moves_leaves_its_transaction_and_is_served(site):
    caller = caller_of(site)
    caller.begin()
    caller.write('a', 'k', 1)
    moved = {'name': 'blue', 'users': [ANA, BEN]}
    set_teams(site, {'name': 'red', 'users': []}, moved)
    answer = caller.write('b', 'k', 2)
    assert outcome(answer) == (Outcome.NOT_RUN, core.TransactionLost)
    assert caller.write('c', 'k', 3).outcome is Outcome.DONE


def test_the_first_teams_leave_open_transactions_as_they_are(site):
    set_teams(site)
    caller = caller_of(site)
    caller.begin()
    caller.write('a', 'k', 1)
    set_teams(site, *TEAMS)
    assert caller.commit().outcome is Outcome.DONE


def cut_off_from_store(site):
    """Let the store answer no VM."""
    site.platform_unreachable |= {vm.place.zone for vm in site.vms.values()}


def test_a_vm_without_the_store_serves_no_team_after_the_bound(site):
    caller = caller_of(site)
    open_caller = caller_of(site)
    open_caller.begin()
    open_caller.write('a', 'k', 1)
    cut_off_from_store(site)
    site.run_for(REVOCATION_S)
    answer = caller.write('b', 'k', 2)
    assert outcome(answer) == (Outcome.NOT_RUN, core.NotRunError)
    answer = open_caller.commit()
    assert outcome(answer) == (Outcome.NOT_RUN, core.TransactionLost)
    site.platform_unreachable.clear()
    site.run_for(3.0)
    assert caller.write('c', 'k', 3).outcome is Outcome.DONE


def test_a_vm_that_the_store_does_not_answer_has_evidence_of_its_peers(site):
    caller = caller_of(site)
    site.platform_unreachable.add(site.vms[VM].place.zone)
    site.run_for(3 * REVOCATION_S)
    assert caller.write('a', 'k', 1).outcome is Outcome.DONE


def test_a_peer_without_young_evidence_confirms_nothing(site):
    """Two VMs that ask each other must not keep a right alive."""
    cut_off_from_store(site)
    site.run_for(3 * REVOCATION_S)
    for node in site.nodes.values():
        assert node.router.rights.evidence_age_s >= 3 * REVOCATION_S


def test_a_user_taken_away_is_refused_though_the_store_is_silent(site):
    caller = caller_of(site)
    site.platform_unreachable.add(site.vms[VM].place.zone)
    site.run_for(1.0)
    set_teams(site, TEAMS[1])
    answer = caller.write('a', 'k', 1)
    assert outcome(answer) == (Outcome.NOT_RUN, core.NoTeam)


def test_without_teams_no_vm_asks_another(site):
    set_teams(site)
    asked = []
    for peers in site.edges.peer_tasks.values():
        send = peers.handlers[core.SendToPeer]
        peers.handlers = {
            **peers.handlers,
            core.SendToPeer: lambda task, message, send=send: (
                asked.append(type(message.message)),
                send(task, message),
            ),
        }
    cut_off_from_store(site)
    site.run_for(3.0)
    assert core.AskConfigAge not in asked
    assert core.Heartbeat in asked


def test_operators_see_when_teams_are_refused_and_served_again(site):
    with logbook.TestHandler() as handler:
        cut_off_from_store(site)
        site.run_for(2 * REVOCATION_S)
        site.platform_unreachable.clear()
        site.run_for(3.0)
        records = [
            (record.extra['number'], record.extra['vm'])
            for record in handler.records
        ]
    unproved = core.LogEvent.CONFIG_UNPROVED.number
    proved = core.LogEvent.CONFIG_PROVED.number
    assert [number for number, vm in records if vm == VM] == [unproved, proved]


def test_a_vm_without_the_store_serves_public_databases(site):
    set_teams(site, *TEAMS, public=True)
    caller = caller_of(site, None)
    cut_off_from_store(site)
    site.run_for(2 * REVOCATION_S)
    assert caller.write('a', 'k', 1).outcome is Outcome.DONE


def test_a_vm_that_was_suspended_serves_no_team_at_first(site):
    caller = caller_of(site)
    site.loop.clock.suspend(REVOCATION_S)
    answer = caller.write('a', 'k', 1)
    assert outcome(answer) == (Outcome.NOT_RUN, core.NotRunError)
    site.run_for(3.0)
    assert caller.write('b', 'k', 2).outcome is Outcome.DONE


def test_the_teams_of_a_vm_are_listed_with_what_was_refused(site):
    caller = caller_of(site)
    caller.write('a', 'k', 1)
    cut_off_from_store(site)
    site.run_for(REVOCATION_S)
    caller.write('b', 'k', 2)
    router = site.nodes[VM].router
    rows = router.team_counts.rows(
        router.rights.teams,
        [router.rights.team_of(one) for one in router._sessions.values()],
    )
    red, blue = (dict(row) for row in rows)
    assert (red['team'], red['sessions'], red['done']) == ('red', '1', '1')
    assert red['not_run'] == '1'
    assert 'the configuration may be outdated' in red['last_refusal']
    assert (blue['sessions'], blue['last_refusal']) == ('0', '')


def test_two_callers_of_one_team_have_one_share():
    """A team that opens more logins must not get more of an instance."""
    queue = decisions.QUEUE_POLICIES.get(decisions.DEFAULT_QUEUE_POLICY)(1)
    for number in range(8):
        queue.offer(item(f'r{number}', f'login{number % 2}', 'red'), 0.0)
    for number in range(4):
        queue.offer(item(f'b{number}', 'clerk', 'blue'), 0.0)
    started = []
    for _ in range(8):
        chosen = queue.pop_next(0.0)
        queue.record_start(chosen, 0.0)
        queue.record_finish(chosen, 0.010)
        started.append(chosen.request.team)
    assert started.count('red') == started.count('blue') == 4


def item(request_id, caller, team):
    request = core.Request(
        core.RequestId(request_id),
        core.SessionId('s'),
        core.CallerName(caller),
        DATABASE,
        core.StatementKind.WRITE,
        core.StatementClass('w'),
        core.Payload(b''),
        team=core.TeamName(team),
    )
    submit = core.Submit(
        VM, core.InstanceName('i'), request, 10.0, core.Role.PRIMARY
    )
    return decisions.QueuedRequest(submit, 0.0, 10.0)
