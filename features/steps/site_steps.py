"""Steps of the scenarios, run on a simulated site on the virtual clock."""

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


def _start_site(context, lags=(0.0, 0.020, 0.080), databases=1):
    deployment = dataclasses.replace(
        deployments.DEPLOYMENTS['nile-grain'], databases=databases
    )
    context.site = site_module.Site(deployment, lags=lags)
    context.site.run_for(3.0)
    context.callers = None
    context.answers = []


def _new_caller(context, vm='vm1', token=None):
    return scripted.ScriptedCaller(
        context.site, core.VmName(vm), DATABASE, token
    )


def _logged_operations(context):
    leader = context.site.groups[DATABASE].primary()
    return [
        command.values[1]
        for entry in leader.log
        for command in entry.statements
        if command.values[0] == 'W'
    ]


@given('a nile-grain site')
def step_start_site(context):
    _start_site(context)


@given('a nile-grain site whose replicas lag {first:g} and {second:g} seconds')
def step_start_lagging_site(context, first, second):
    _start_site(context, (0.0, first, second))


@given('a nile-grain site under load')
def step_start_loaded_site(context):
    _start_site(context)
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
    caller = _new_caller(context)
    context.reads = []
    for number in range(1, count + 1):
        assert caller.write(f'w{number}', 'k', number).outcome is Outcome.DONE
        context.reads.append((number, caller.read('k')[1]))
        context.site.run_for(0.02)
    marks = core.Marks(max_staleness=5.0, deadline=3.0)
    context.site.run_for(1.0)
    context.reads.append((count, caller.read('k', marks)[1]))


@when('a session writes at one VM and reads at another with its token')
def step_read_at_other_vms(context):
    context.reads = []
    caller = _new_caller(context, 'vm1')
    for number in range(1, 11):
        caller.write(f'w{number}', 'k', number)
        token = caller.token()
        other = _new_caller(context, f'vm{1 + number % 7}', token)
        context.reads.append((number, other.read('k')[1]))
        other.leave()


@then("every read shows the session's last write")
def step_reads_show_last_write(context):
    assert context.reads
    assert all(written == read for written, read in context.reads), (
        context.reads
    )


@then('some reads were served by replicas')
def step_some_replica_reads(context):
    routers = [node.router for node in context.site.nodes.values()]
    assert sum(vm_router.replica_reads for vm_router in routers) > 0


@when('the fault {name} lasts {seconds:g} seconds')
def step_fault_lasts(context, name, seconds):
    site = context.site
    context.event_began_at = site.loop.clock.now()
    end = faults.FAULTS.get(name)(site, str(DATABASE))
    site.run_for(seconds)
    if end is not None:
        end()
    site.run_for(5.0)


@when('the fault {name} happens')
def step_fault_happens(context, name):
    step_fault_lasts(context, name, 4.0)


@then('no promise is broken')
def step_no_violations(context):
    context.callers.stop()
    context.site.run_for(6.0)
    violations = context.callers.check_landings()
    assert context.callers.done
    assert violations.total() == 0, violations


@then('writes land again within {seconds:g} seconds')
def step_write_gap_bounded(context, seconds):
    ended = [
        statement.ended
        for statement in context.callers.done
        if statement.write and statement.outcome is Outcome.DONE
    ]
    last_before = max(at for at in ended if at <= context.event_began_at)
    ends = [
        last_before,
        *(at for at in ended if at > context.event_began_at),
    ]
    gaps = [b - a for a, b in zip(ends, ends[1:], strict=False)]
    assert gaps
    assert max(gaps) <= seconds, max(gaps)


@then('no answer reached a caller that had not asked')
def step_no_mixed_answers(context):
    assert context.callers.violations.mixed_answers == 0


@then('no instance had more connections than its cap')
def step_connection_caps(context):
    for server in context.site.servers.values():
        assert 0 < server.most <= server.cap


@when('two transactions write in turns and only the first commits')
def step_two_transactions(context):
    first, second = _new_caller(context, 'vm1'), _new_caller(context, 'vm2')
    assert first.begin().in_transaction
    assert second.begin().in_transaction
    for number in range(3):
        first.write(f'first{number}', 'a', number)
        second.write(f'second{number}', 'b', number)
    assert first.commit().outcome is Outcome.DONE
    second.leave()
    context.site.run_for(1.0)


@then('the log holds the first transaction whole and nothing of the second')
def step_log_has_first_only(context):
    assert _logged_operations(context) == ['first0', 'first1', 'first2']


@when('{count:d} writes with a deadline of {seconds:g} seconds come at once')
def step_write_burst(context, count, seconds):
    marks = core.Marks(deadline=seconds, non_idempotent=True)
    sent = []
    for number in range(count):
        caller = _new_caller(context, f'vm{1 + number % 7}')
        payload = instance_module.write_command(f'b{number}', 'k', 1, 0.010)
        kind = core.StatementKind.WRITE
        sent.append((caller, caller.send_off(kind, payload, marks)))
    context.write_answers = [
        caller.answer(request_id) for caller, request_id in sent
    ]


@then('some are refused with a time to try again')
def step_some_writes_refused(context):
    errors = [
        refusal.error
        for refusal in context.write_answers
        if refusal.outcome is Outcome.NOT_RUN
    ]
    assert errors
    assert any(getattr(refusal, 'retry_after', 0) > 0 for refusal in errors)


@then('no refused write is in the log')
def step_refused_writes_not_logged(context):
    context.site.run_for(2.0)
    logged = _logged_operations(context)
    refused = [
        f'b{number}'
        for number, answer in enumerate(context.write_answers)
        if answer.outcome is Outcome.NOT_RUN
    ]
    assert not set(refused) & set(logged)


@when('the same keyed write is sent {count:d} times by different sessions')
def step_send_keyed_write(context, count):
    marks = core.Marks(
        idempotency_key=core.IdempotencyKey('lot-17'), deadline=3.0
    )
    context.write_answers = [
        _new_caller(context, f'vm{1 + number % 7}').write(
            'keyed', 'k', 1, marks
        )
        for number in range(count)
    ]


@then('it is in the log once and every sender is told it is done')
def step_keyed_write_logged_once(context):
    assert _logged_operations(context) == ['keyed']
    assert {answer.outcome for answer in context.write_answers} == {
        Outcome.DONE
    }


@when('the primary is leaving')
def step_primary_leaves(context):
    context.leaving_primary = context.site.primary(str(DATABASE))
    context.leaving_primary.model.leaving = True
    context.event_began_at = context.site.loop.clock.now()
    context.site.run_for(6.0)


@then('it gets no new work after {seconds:g} seconds')
def step_no_new_work(context, seconds):
    assert (
        context.leaving_primary.last_new_work
        <= context.event_began_at + seconds
    )
    assert context.site.primary(str(DATABASE)) is not context.leaving_primary


@when('a VM is drained')
def step_drain_vm(context):
    site = context.site
    name = core.VmName(site.primary(str(DATABASE)).lock_owner)
    site.loop.post(tasks.names.node(name), core.Drain(5.0))
    site.run_for(5.0)
    assert site.primary(str(DATABASE)).lock_owner != name


@then('no outcome is unknown')
def step_no_unknown_outcome(context):
    outcomes = {statement.outcome for statement in context.callers.done}
    assert Outcome.UNKNOWN not in outcomes


@when("a transaction's VM dies before the commit")
def step_vm_dies_before_commit(context):
    conn_owner = context.site.primary(str(DATABASE)).lock_owner
    vm = next(vm_name for vm_name in context.site.vms if vm_name != conn_owner)
    caller = _new_caller(context, vm)
    caller.begin()
    caller.write('torn', 'k', 1)
    context.site.kill_vm(vm)
    context.site.run_for(1.0)
    context.conn_owner = core.VmName(conn_owner)


@then('nothing of the transaction is in the log')
def step_transaction_not_logged(context):
    assert _logged_operations(context) == []


@then('its connection is free again')
def step_connection_free(context):
    name = context.site.primary(str(DATABASE)).model.name
    gate = context.site.nodes[context.conn_owner].gates[name]
    assert gate.pinned == 0


class _Operator(runtime.Task):
    """Records the results of the documents that operators apply."""

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
def step_conflicting_documents(context):
    context.operator = _Operator(context.site)
    _apply(context, context.operator, 1, 'vm1', 1, 8.0)
    _apply(context, context.operator, 2, 'vm2', 1, 9.0)
    context.site.run_for(3.0)


@then('one is accepted, one gets a typed conflict, and both are audited')
def step_one_document_accepted(context):
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
def step_lose_platform_answer(context):
    context.operator = _Operator(context.site)
    context.site.platform.lose_answers = 1
    _apply(context, context.operator, 1, 'vm1', 1, 8.0)
    context.site.run_for(5.0)


@then('the operator is told that it was accepted')
def step_operator_gets_accepted(context):
    result = context.operator.results[1]
    assert result.error is None
    assert result.version == 2


@when('one availability zone loses the platform')
def step_zone_loses_platform(context):
    context.site.platform_unreachable.add('alex-depot')
    context.site.run_for(1.0)


@when('a configuration is accepted')
def step_accept_config(context):
    context.site.document['rules']['default_deadline'] = 4.0
    context.site.put_config()
    context.version = context.site.platform.rows[tasks.CONFIG_KEY].version


@then('it is in force on every VM within {seconds:g} seconds')
def step_config_in_force(context, seconds):
    context.site.run_for(seconds)
    for node in context.site.nodes.values():
        assert node.configurator.version == context.version


@then('an older version that is read or offered changes nothing')
def step_old_config_ignored(context):
    site = context.site
    old_document = json.dumps(site.document).encode()
    for vm in site.nodes:
        site.loop.post(
            tasks.names.configurator(vm),
            core.ConfigOffer(core.ConfigVersion(1), old_document),
        )
        site.loop.post(
            tasks.names.configurator(vm),
            core.TableAnswer(tasks.CONFIG_KEY, 1, b'{"object": "x"}'),
        )
    site.run_for(0.2)
    for node in site.nodes.values():
        assert node.configurator.version == context.version
