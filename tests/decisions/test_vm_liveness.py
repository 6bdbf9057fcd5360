"""Which VMs count as live, by responses and by reports of relays."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions

RELAY, OTHER, FAR = (core.VmName(name) for name in ('vm1', 'vm2', 'vm9'))
DIGEST = decisions.digest_of_vms([RELAY, FAR])


def liveness_with_report(now=10.0):
    liveness = decisions.VmLiveness()
    liveness.set_pinged({RELAY, OTHER}, now)
    liveness.record_response(RELAY, now)
    liveness.record_report(RELAY, DIGEST, (RELAY, FAR), now)
    return liveness


def test_vms_that_a_relay_reports_are_live():
    assert liveness_with_report().live(10.0) == {RELAY, FAR}


def test_a_report_outlasts_the_relay_until_another_can_be_chosen():
    liveness = liveness_with_report()
    after = 10.1 + decisions.PEER_TIMEOUT_S
    assert FAR in liveness.live(after + 1.0)
    assert RELAY not in liveness.live(after)
    assert FAR not in liveness.live(after + 10.0)


def test_an_unchanged_report_is_confirmed_by_its_digest():
    liveness = liveness_with_report()
    for now in (12.0, 14.0, 16.0):
        liveness.record_response(RELAY, now)
        liveness.record_report(RELAY, DIGEST, None, now)
    assert FAR in liveness.live(17.0)
    liveness.record_report(RELAY, DIGEST + 1, None, 25.0)
    assert FAR not in liveness.live(25.0)


def test_own_silence_goes_before_a_report():
    """A stale report must not keep a VM live that does not respond."""
    liveness = liveness_with_report()
    liveness.record_report(RELAY, DIGEST + 1, (RELAY, OTHER), 10.5)
    assert OTHER in liveness.live(10.5)
    assert OTHER not in liveness.live(10.1 + decisions.PEER_TIMEOUT_S)


def test_a_silent_peer_is_suspected_before_it_counts_as_dead():
    liveness = decisions.VmLiveness()
    liveness.set_pinged({RELAY}, 10.0)
    liveness.record_response(RELAY, 10.2)
    assert liveness.suspects(10.3) == frozenset()
    assert liveness.suspects(10.3 + decisions.SUSPECT_AFTER_S) == {RELAY}
    assert RELAY in liveness.live(10.3 + decisions.SUSPECT_AFTER_S)
    liveness.record_response(RELAY, 12.0)
    assert liveness.suspects(12.0) == frozenset()


def test_a_replaced_suspect_is_tried_again_later():
    liveness = decisions.VmLiveness()
    liveness.set_pinged({RELAY}, 10.0)
    assert liveness.suspects(12.0) == {RELAY}
    liveness.set_pinged({OTHER}, 12.0)
    assert RELAY in liveness.suspects(13.0)
    assert RELAY not in liveness.suspects(20.0)
