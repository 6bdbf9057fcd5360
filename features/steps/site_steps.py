from __future__ import annotations

import dataclasses
import json

from behave import given
from behave import then
from behave import when

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher import tasks
from chicoryusher_standins import deployments
from chicoryusher_standins.lab import callers as callers_module
from chicoryusher_standins.lab import faults
from chicoryusher_standins.lab import instance as instance_module
from chicoryusher_standins.lab import scripted
from chicoryusher_standins.lab import site as site_module

DATABASE = core.DatabaseName('spoonbook_1')
Outcome = core.Outcome


def _site(context, lags=(0.0, 0.020, 0.080), databases=1):
    deployment = dataclasses.replace(
        deployments.DEPLOYMENTS['nile-grain'], databases=databases
    )
    context.site = site_module.Site(deployment, lags=lags)
    context.site.run_for(3.0)
    context.callers = None
    context.answers = []


def _caller(context, vm='vm1', token=None):
    return scripted.ScriptedCaller(
        context.site, core.VmName(vm), DATABASE, token
    )


def _log(context):
    leader = context.site.groups[DATABASE].primary()
    return [
        command.values[1]
        for entry in leader.log
        for command in entry.statements
        if command.values[0] == 'W'
    ]


@given('a nile-grain site')
def step_site(context):
    _site(context)


@given('a nile-grain site whose replicas lag {first:g} and {second:g} seconds')
def step_lagging_site(context, first, second):
    _site(context, (0.0, first, second))


@given('a nile-grain site under load')
def step_loaded_site(context):
    _site(context)
    context.callers = callers_module.Callers(context.site, 1)
    vms = list(context.site.vms)
    load = callers_module.Load
    context.callers.start(load('desk', 14, 4.0, 0.004, 0.5), vms)
    context.callers.start(load('batch', 7, 3.0, 0.004, 1.0, keyed=True), vms)
    context.callers.start(
        load('buyer', 7, 2.0, 0.004, 0.1, staleness=1.0, private_rows=False),
        vms,
    )
    context.site.run_for(2.0)


@when('a session writes and reads back {count:d} times')
def step_write_and_read(context, count):
    caller = _caller(context)
    context.seen = []
    for number in range(1, count + 1):
        assert caller.write(f'w{number}', 'k', number).outcome is Outcome.DONE
        context.seen.append((number, caller.read('k')[1]))
        context.site.run_for(0.02)
    marks = core.Marks(max_staleness=5.0, deadline=3.0)
    context.site.run_for(1.0)
    context.seen.append((count, caller.read('k', marks)[1]))


@when('a session writes at one VM and reads at another with its token')
def step_roam(context):
    context.seen = []
    caller = _caller(context, 'vm1')
    for number in range(1, 11):
        caller.write(f'w{number}', 'k', number)
        token = caller.token()
        other = _caller(context, f'vm{1 + number % 7}', token)
        context.seen.append((number, other.read('k')[1]))
        other.leave()


@then("every read shows the session's last write")
def step_reads_good(context):
    assert context.seen
    assert all(wrote == saw for wrote, saw in context.seen), context.seen


@then('some reads were served by replicas')
def step_replicas_served(context):
    routers = [node.router for node in context.site.nodes.values()]
    assert sum(one.replica_reads for one in routers) > 0


@when('the fault {name} lasts {seconds:g} seconds')
def step_fault(context, name, seconds):
    site = context.site
    context.began = site.loop.clock.now()
    end = faults.FAULTS.get(name)(site, str(DATABASE))
    site.run_for(seconds)
    if end is not None:
        end()
    site.run_for(5.0)


@when('the fault {name} happens')
def step_fault_once(context, name):
    step_fault(context, name, 4.0)


@then('no promise is broken')
def step_no_violation(context):
    context.callers.stop()
    context.site.run_for(6.0)
    found = context.callers.check_landings()
    assert context.callers.done
    assert found.total() == 0, found


@then('writes land again within {seconds:g} seconds')
def step_writes_again(context, seconds):
    ended = [
        one.ended
        for one in context.callers.done
        if one.write and one.outcome is Outcome.DONE
    ]
    before = max(at for at in ended if at <= context.began)
    after = [before, *(at for at in ended if at > context.began)]
    gaps = [b - a for a, b in zip(after, after[1:], strict=False)]
    assert gaps
    assert max(gaps) <= seconds, max(gaps)


@then('no answer reached a caller that had not asked')
def step_no_mixed(context):
    assert context.callers.violations.mixed_answers == 0


@then('no instance had more connections than its cap')
def step_caps(context):
    for server in context.site.servers.values():
        assert 0 < server.most <= server.cap


@when('two transactions write in turns and only the first commits')
def step_two_transactions(context):
    first, second = _caller(context, 'vm1'), _caller(context, 'vm2')
    assert first.begin().in_transaction
    assert second.begin().in_transaction
    for number in range(3):
        first.write(f'first{number}', 'a', number)
        second.write(f'second{number}', 'b', number)
    assert first.commit().outcome is Outcome.DONE
    second.leave()
    context.site.run_for(1.0)


@then('the log holds the first transaction whole and nothing of the second')
def step_log_whole(context):
    assert _log(context) == ['first0', 'first1', 'first2']


@when('{count:d} writes with a deadline of {seconds:g} seconds come at once')
def step_burst(context, count, seconds):
    marks = core.Marks(deadline=seconds, non_idempotent=True)
    sent = []
    for number in range(count):
        caller = _caller(context, f'vm{1 + number % 7}')
        payload = instance_module.write_command(f'b{number}', 'k', 1, 0.010)
        kind = core.StatementKind.WRITE
        sent.append((caller, caller.send_off(kind, payload, marks)))
    context.burst = [caller.answer(one) for caller, one in sent]


@then('some are refused with a time to try again')
def step_refused(context):
    errors = [
        one.error for one in context.burst if one.outcome is Outcome.NOT_RUN
    ]
    assert errors
    assert any(getattr(one, 'retry_after', 0) > 0 for one in errors)


@then('no refused write is in the log')
def step_refused_absent(context):
    context.site.run_for(2.0)
    log = _log(context)
    refused = [
        f'b{number}'
        for number, one in enumerate(context.burst)
        if one.outcome is Outcome.NOT_RUN
    ]
    assert not set(refused) & set(log)


@when('the same keyed write is sent {count:d} times by different sessions')
def step_keyed(context, count):
    marks = core.Marks(
        idempotency_key=core.IdempotencyKey('lot-17'), deadline=3.0
    )
    context.burst = [
        _caller(context, f'vm{1 + number % 7}').write('keyed', 'k', 1, marks)
        for number in range(count)
    ]


@then('it is in the log once and every sender is told it is done')
def step_once(context):
    assert _log(context) == ['keyed']
    assert {one.outcome for one in context.burst} == {Outcome.DONE}


@when('the primary is leaving')
def step_leaving(context):
    context.leaver = context.site.primary(str(DATABASE))
    context.leaver.model.leaving = True
    context.began = context.site.loop.clock.now()
    context.site.run_for(6.0)


@then('it gets no new work after {seconds:g} seconds')
def step_no_new_work(context, seconds):
    assert context.leaver.last_new_work <= context.began + seconds
    assert context.site.primary(str(DATABASE)) is not context.leaver


@when('a VM is drained')
def step_drain(context):
    site = context.site
    name = core.VmName(site.primary(str(DATABASE)).lock_owner)
    site.loop.post(tasks.names.node(name), core.Drain(5.0))
    site.run_for(5.0)
    assert site.primary(str(DATABASE)).lock_owner != name


@then('no outcome is unknown')
def step_no_unknown(context):
    outcomes = {one.outcome for one in context.callers.done}
    assert Outcome.UNKNOWN not in outcomes


@when("a transaction's VM dies before the commit")
def step_dies(context):
    owner = context.site.primary(str(DATABASE)).lock_owner
    vm = next(one for one in context.site.vms if one != owner)
    caller = _caller(context, vm)
    caller.begin()
    caller.write('torn', 'k', 1)
    context.site.kill_vm(vm)
    context.site.run_for(1.0)
    context.owner = core.VmName(owner)


@then('nothing of the transaction is in the log')
def step_nothing(context):
    assert _log(context) == []


@then('its connection is free again')
def step_free(context):
    name = context.site.primary(str(DATABASE)).model.name
    gate = context.site.nodes[context.owner].gates[name]
    assert gate.pinned == 0


class _Operator(runtime.Task):
    """Take the results of operators' documents."""

    def __init__(self, site):
        super().__init__(site.loop, '', 'operator')
        self.results = {}

    @runtime.handles(tasks.ApplyResult)
    def _on_result(self, result):
        self.results[result.number] = result


def _apply(context, operator, number, vm, expected, deadline):
    site = context.site
    document = json.loads(json.dumps(site.document))
    document['rules']['default_deadline'] = deadline
    site.loop.post(
        tasks.names.configurator(core.VmName(vm)),
        tasks.ApplyDocument(
            operator.task_name,
            number,
            json.dumps(document).encode(),
            core.ConfigVersion(expected),
            core.OperatorName(f'operator{number}'),
            '2026-01-01T00:00:00',
        ),
    )


@when('two operators apply different documents to the same version')
def step_race(context):
    context.operator = _Operator(context.site)
    _apply(context, context.operator, 1, 'vm1', 1, 8.0)
    _apply(context, context.operator, 2, 'vm2', 1, 9.0)
    context.site.run_for(3.0)


@then('one is accepted, one gets a typed conflict, and both are audited')
def step_one_wins(context):
    errors = [one.error for one in context.operator.results.values()]
    assert len(errors) == 2
    assert errors.count(None) == 1
    assert any(isinstance(one, core.ConfigConflict) for one in errors)
    records = [
        json.loads(row.value)
        for key, row in context.site.platform.rows.items()
        if key.startswith('audit/')
    ]
    outcomes = sorted(one['outcome'] for one in records)
    assert outcomes == ['accepted', 'conflict']


@when("the platform loses the answer to an operator's change")
def step_lost_answer(context):
    context.operator = _Operator(context.site)
    context.site.platform.lose_answers = 1
    _apply(context, context.operator, 1, 'vm1', 1, 8.0)
    context.site.run_for(5.0)


@then('the operator is told that it was accepted')
def step_told(context):
    result = context.operator.results[1]
    assert result.error is None
    assert result.version == 2


@when('one availability zone loses the platform')
def step_zone_alone(context):
    context.site.platform_unreachable.add('alex-depot')
    context.site.run_for(1.0)


@when('a configuration is accepted')
def step_accept(context):
    context.site.document['rules']['default_deadline'] = 4.0
    context.site.put_config()
    context.version = context.site.platform.rows[tasks.CONFIG_KEY].version


@then('it is in force on every VM within {seconds:g} seconds')
def step_in_force(context, seconds):
    context.site.run_for(seconds)
    for node in context.site.nodes.values():
        assert node.configurator.version == context.version


@then('an older version that is read or offered changes nothing')
def step_no_revert(context):
    site = context.site
    old = json.dumps(site.document).encode()
    for vm in site.nodes:
        site.loop.post(
            tasks.names.configurator(vm),
            core.ConfigOffer(core.ConfigVersion(1), old),
        )
        site.loop.post(
            tasks.names.configurator(vm),
            core.TableAnswer(tasks.CONFIG_KEY, 1, b'{"object": "x"}'),
        )
    site.run_for(0.2)
    for node in site.nodes.values():
        assert node.configurator.version == context.version
