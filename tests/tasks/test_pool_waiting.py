"""Statements that wait for a change of primary, or are refused at once.

The load: each VM gets statements for the primary all through a change.
"""

from __future__ import annotations

import pool_sites
from chicoryusher import core
from chicoryusher_standins.pool import links

PRIMARY = core.ReadAccess.PRIMARY
LOAD_S = 6.0
STEP_S = 0.1
# The answers are looked at once in each step.
AT_ONCE_S = STEP_S + 0.01


def write_through_a_change(announces, silent_vms):
    """Crash the primary under a load of writes, beside silent VMs.

    Return (time from request to answer, refusal) of each write.
    """
    with pool_sites.checked_site(4, announces_changes=announces) as site:
        site.run(1.0)
        for vm in site.vms[:silent_vms]:
            site.isolate(vm)
        site.group.primary().crashed = True
        callers, answers = [], []
        for step in range(round((LOAD_S + 2.0) / STEP_S)):
            for vm in site.vms[silent_vms:]:
                if step * STEP_S < LOAD_S:
                    caller = vm.caller(PRIMARY)
                    caller.ask(pool_sites.WRITE)
                    callers.append((site.clock.now(), caller))
            site.run(STEP_S)
            for entry in tuple(callers):
                asked_at, caller = entry
                if caller.answers:
                    callers.remove(entry)
                    waited = site.clock.now() - asked_at
                    answers.append((waited, caller.last.refusal))
        assert not callers
        return answers


def refused(answers):
    return [waited for waited, refusal in answers if refusal is not None]


def test_fewer_statements_are_refused_in_a_slow_promotion(monkeypatch):
    """The primary is lost, all VMs confirm, and the promotion takes 1 s."""
    monkeypatch.setattr(links, 'PROMOTE_DELAY_S', 1.0)
    announced = refused(write_through_a_change(True, 0))
    unannounced = refused(write_through_a_change(False, 0))
    print(len(announced), len(unannounced))
    assert len(announced) < len(unannounced)


def test_no_waiting_statement_is_refused_in_a_change_that_ends_soon():
    """Only those that were sent to the lost primary end as unknown."""
    answers = write_through_a_change(True, 0)
    refusals = {refusal for _, refusal in answers}
    assert refusals <= {None, core.Refusal.UNKNOWN}


def test_statements_are_refused_at_once_while_leases_are_waited_for():
    """The primary is lost with a VM, so the change waits for its lease."""
    announced = refused(write_through_a_change(True, 1))
    unannounced = refused(write_through_a_change(False, 1))
    at_once = [waited for waited in announced if waited <= AT_ONCE_S]
    print(len(announced), len(unannounced), len(at_once))
    assert len(announced) <= len(unannounced)
    assert len(at_once) > len(announced) / 2
    assert sum(announced) < sum(unannounced)
