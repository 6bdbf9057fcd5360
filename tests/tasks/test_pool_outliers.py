"""Grey and slow replicas, and work that could not start in time."""

from __future__ import annotations

import pytest

import pool_sites
from chicoryusher import core

PRIMARY = core.ReadAccess.PRIMARY
BOUNDED = core.ReadAccess.BOUNDED
READ = core.Statement(core.Verb.READ, 'READ 1a4', '1a4')
BEGIN_READ_ONLY = core.Statement(core.Verb.BEGIN_READ_ONLY, 'BEGIN READ ONLY')


@pytest.fixture
def site():
    with pool_sites.checked_site(3, paces_instances=True) as new_site:
        use(new_site, 1.0)
        yield new_site


def use(site, seconds):
    """Write, so that positions are known, and read at each VM."""
    writer = site.vms[0].caller(PRIMARY)
    readers = [vm.caller(BOUNDED) for vm in site.vms for _ in range(2)]
    for _ in range(int(seconds / 0.1)):
        writer.ask(pool_sites.WRITE)
        for reader in readers:
            reader.ask(READ)
        site.run(0.1)
    return [answer for reader in readers for answer in reader.answers]


def replicas(site):
    primary = site.group.primary()
    return [
        instance
        for instance in site.group.instances.values()
        if instance is not primary
    ]


def runs_at(site, instance):
    return sum(run.instance == instance.name for run in site.group.runs)


def logged(site, event):
    return [
        record.extra['fields']['instance']
        for record in site.records
        if record.extra['number'] == event.number
    ]


def test_callers_do_not_see_the_errors_of_a_grey_replica(site):
    """Its health stays good, and it stays in the register."""
    grey = replicas(site)[0]
    grey.fails_every = 2
    answers = use(site, 5.0)
    assert {answer.refusal for answer in answers} == {None}
    assert grey.name in logged(site, core.LogEvent.INSTANCE_EJECTED)
    before, others = runs_at(site, grey), len(site.group.runs)
    use(site, 3.0)
    assert runs_at(site, grey) - before < 0.2 * (len(site.group.runs) - others)


def test_a_replica_does_not_look_fast_because_it_fails_fast(site):
    """Errors that come sooner than answers brought it more reads."""
    grey, other = replicas(site)
    loads = site.vms[0].desk._group_table.groups[grey.entry.service].instances
    before = loads[grey.name].service_time_s
    grey.fails_every, grey.reply_delay = 1, 0.0001
    other.reply_delay = 0.02
    use(site, 2.0)
    assert loads[grey.name].service_time_s > 0.9 * before


def test_a_replica_that_recovers_is_readmitted(site):
    grey = replicas(site)[0]
    grey.fails_every = 1
    use(site, 3.0)
    grey.fails_every = 0
    use(site, 8.0)
    assert grey.name in logged(site, core.LogEvent.INSTANCE_READMITTED)
    before = runs_at(site, grey)
    use(site, 2.0)
    assert runs_at(site, grey) > before + 10


def test_a_slow_replica_gets_few_reads_until_it_is_fast_again(site):
    slow = replicas(site)[0]
    usual = slow.reply_delay
    slow.reply_delay = 20 * usual
    use(site, 3.0)
    before, all_before = runs_at(site, slow), len(site.group.runs)
    use(site, 5.0)
    share = (runs_at(site, slow) - before) / (
        len(site.group.runs) - all_before
    )
    assert share < 0.15
    slow.reply_delay = usual
    use(site, 10.0)
    before, all_before = runs_at(site, slow), len(site.group.runs)
    use(site, 3.0)
    share = (runs_at(site, slow) - before) / (
        len(site.group.runs) - all_before
    )
    assert share > 0.25


def test_a_read_that_fails_twice_is_answered_with_the_error(site):
    for instance in site.group.instances.values():
        instance.fails_every = 1
    caller = site.vms[0].caller(BOUNDED)
    runs = [instance.run_count for instance in replicas(site)]
    answer = pool_sites.ask(site, caller, READ)
    assert answer.refusal is core.Refusal.FAILED
    counts = [instance.run_count for instance in replicas(site)]
    assert sum(counts) - sum(runs) <= 2


def test_an_error_inside_a_transaction_is_not_retried(site):
    for instance in site.group.instances.values():
        instance.fails_every = 1
    caller = site.vms[0].caller(BOUNDED)
    counts = [site.group.primary().run_count]
    counts += [instance.run_count for instance in replicas(site)]
    answer = pool_sites.ask(site, caller, BEGIN_READ_ONLY, READ)
    assert answer.refusal is core.Refusal.FAILED
    after = [site.group.primary().run_count]
    after += [instance.run_count for instance in replicas(site)]
    assert sum(after) - sum(counts) == 1


def test_an_error_of_a_write_is_not_retried(site):
    primary = site.group.primary()
    primary.fails_every = 1
    before = primary.run_count
    caller = site.vms[0].caller(PRIMARY)
    answer = pool_sites.ask(site, caller, pool_sites.WRITE)
    assert answer.refusal is core.Refusal.FAILED
    assert primary.run_count == before + 1


def test_work_that_cannot_start_in_time_is_given_back_before_its_time(site):
    """Forty writes at a primary that takes 0.2 s for each."""
    primary = site.group.primary()
    primary.reply_delay = 0.2
    vm = site.vms[0]
    warm = [vm.caller(PRIMARY) for _ in range(3)]
    for _ in range(6):
        for caller in warm:
            caller.ask(pool_sites.WRITE)
        site.run(0.7)
    callers = [vm.caller(PRIMARY) for _ in range(40)]
    site.sent.clear()
    for caller in callers:
        caller.ask(pool_sites.WRITE)
    site.run(3.0)
    refusals = [caller.last.refusal for caller in callers]
    assert set(refusals) <= {None, core.Refusal.BUSY}
    assert refusals.count(None) >= 3
    ended = [
        message
        for _, message in site.sent
        if isinstance(message, core.RelayEnded)
    ]
    given_back = [
        message
        for message in ended
        if message.completion is core.Completion.NOT_STARTED
    ]
    assert given_back
    assert not any(message.sent for message in given_back)


def test_owners_tell_their_wait_and_the_time_of_the_instance():
    with pool_sites.checked_site(
        pool_sites.FORWARDING_VM_COUNT, paces_instances=True
    ) as site:
        use(site, 1.0)
        ended = [
            message
            for _, message in site.sent
            if isinstance(message, core.RelayEnded)
            and message.completion is core.Completion.ANSWERED
        ]
    assert ended
    assert all(message.expected_wait is not None for message in ended)
    assert all(0.0 < message.run_time < 0.1 for message in ended)
