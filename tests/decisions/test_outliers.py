"""Grey, slow, flapping instances, and health that says otherwise."""

from __future__ import annotations

import random

from chicoryusher import core
from chicoryusher import decisions

PRIMARY, NEAR, FAR = (core.InstanceName(f'i{number}') for number in range(3))
REPLICAS = {NEAR, FAR}
SERVING = core.Standing.SERVING
EJECTED = core.Standing.EJECTED
TRIAL = core.Standing.TRIAL
# Reads of one VM in a second at one instance, and their usual seconds.
READS_PER_S = 10
READ_S = 0.02


class Group:
    """Instances that each fail some reads and take some time."""

    def __init__(self):
        self.outliers = decisions.Outliers()
        self.draw = random.Random(3)
        self.failing = {}
        self.slowness = {}
        self.now = 100.0
        self.replicas = REPLICAS
        self.reads = {PRIMARY: 0, NEAR: 0, FAR: 0}
        self.failed = 0

    def read(self, name):
        failed = self.draw.random() < self.failing.get(name, 0.0)
        seconds = READ_S * self.slowness.get(name, 1.0)
        seconds *= self.draw.choice((0.5, 1.0, 1.0, 2.0, 5.0))
        self.reads[name] += 1
        self.failed += failed
        self.outliers.record(name, failed, seconds, self.replicas, self.now)

    def run(self, seconds):
        """Read as a VM does: elsewhere if an instance is no longer used."""
        for _ in range(int(seconds * READS_PER_S)):
            self.now += 1.0 / READS_PER_S
            for wanted in (PRIMARY, NEAR, FAR):
                name = wanted
                if self.standing(wanted) is not SERVING:
                    name = next(
                        other
                        for other in (FAR, NEAR, PRIMARY)
                        if self.standing(other) is SERVING
                    )
                trial = self.outliers.due_trial((NEAR, FAR), self.now)
                self.read(trial or name)

    def standing(self, name):
        return self.outliers.standing(name)


def test_a_grey_instance_is_ejected_while_its_health_is_good():
    group = Group()
    group.failing[NEAR] = 0.45
    group.run(3.0)
    assert group.standing(NEAR) is not SERVING
    assert group.standing(FAR) is SERVING


def test_a_grey_instance_gets_few_reads_for_as_long_as_it_fails():
    group = Group()
    group.failing[NEAR] = 0.45
    group.run(30.0)
    assert group.reads[NEAR] < 0.2 * group.reads[FAR]


def test_a_replica_that_is_7_times_as_slow_is_ejected():
    group = Group()
    group.slowness[FAR] = 7.5
    group.run(5.0)
    assert group.standing(FAR) is not SERVING


def test_healthy_instances_with_long_statements_among_them_all_serve():
    group = Group()
    group.run(60.0)
    assert {group.standing(name) for name in group.reads} == {SERVING}


def test_a_round_trip_to_another_region_is_no_outlier():
    group = Group()
    for number in range(200):
        now = 100.0 + number * 0.1
        group.outliers.record(NEAR, False, 0.01, REPLICAS, now)
        group.outliers.record(FAR, False, 0.035, REPLICAS, now)
    assert group.standing(FAR) is SERVING


def test_instances_that_are_all_overloaded_are_not_ejected():
    """Ejections under load sent it all to one replica, and then the other."""
    group = Group()
    group.slowness = {NEAR: 6.0, FAR: 4.0}
    group.run(20.0)
    assert {group.standing(name) for name in group.reads} == {SERVING}


def test_a_replica_on_which_reads_are_given_up_is_ejected():
    group = Group()
    for number in range(60):
        now = 100.0 + number * 0.1
        group.outliers.record(PRIMARY, False, 0.02, REPLICAS, now)
        group.outliers.record(NEAR, False, 0.27, REPLICAS, now)
        group.outliers.record(FAR, False, 0.02, REPLICAS, now)
    assert group.standing(NEAR) is not SERVING


def test_a_statement_that_fails_everywhere_ejects_nobody():
    group = Group()
    group.failing = dict.fromkeys((PRIMARY, NEAR, FAR), 0.5)
    group.run(20.0)
    assert group.standing(NEAR) is SERVING
    assert group.standing(FAR) is SERVING


def test_the_last_replica_stays_although_it_fails():
    group = Group()
    group.failing = {NEAR: 0.9, FAR: 0.9}
    group.run(20.0)
    assert SERVING in {group.standing(NEAR), group.standing(FAR)}


def test_a_lone_replica_is_not_ejected():
    group = Group()
    group.replicas = {NEAR}
    group.failing = {NEAR: 0.9}
    group.run(5.0)
    assert group.standing(NEAR) is SERVING


def test_a_recovered_instance_is_readmitted_by_a_trickle_of_reads():
    group = Group()
    group.failing[NEAR] = 0.8
    group.run(3.0)
    assert group.standing(NEAR) is not SERVING
    group.failing[NEAR] = 0.0
    before = group.reads[NEAR]
    group.run(8.0)
    assert group.standing(NEAR) is SERVING
    group.run(2.0)
    assert group.reads[NEAR] > before + 2 * READS_PER_S


def test_a_flapping_instance_is_paused_longer_each_time():
    group = Group()
    pauses = []
    for _ in range(4):
        group.failing[NEAR] = 1.0
        while group.standing(NEAR) is SERVING:
            group.run(0.1)
        start = group.now
        group.failing[NEAR] = 0.0
        while group.standing(NEAR) is EJECTED:
            group.run(0.1)
        pauses.append(group.now - start)
        while group.standing(NEAR) is not SERVING:
            group.run(0.1)
    assert pauses == sorted(pauses)
    assert pauses[-1] > 3 * pauses[0]


def test_an_ejected_instance_gets_no_reads_before_its_pause_is_over():
    group = Group()
    group.failing[NEAR] = 1.0
    while group.standing(NEAR) is SERVING:
        group.run(0.1)
    for _ in range(50):
        assert group.outliers.due_trial((NEAR,), group.now) is None


def test_an_instance_that_started_again_has_no_record():
    group = Group()
    group.failing[NEAR] = 1.0
    group.run(3.0)
    assert group.outliers.forget(NEAR)
    assert group.standing(NEAR) is SERVING
    assert not group.outliers.forget(NEAR)
