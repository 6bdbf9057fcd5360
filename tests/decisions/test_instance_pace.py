"""The load of an instance that starts, recovers, slows down or is shared."""

from __future__ import annotations

import heapq
import random

from chicoryusher import core
from chicoryusher import decisions

SLOTS = 4
CONNECTIONS = 14
# Connection owners that share one instance.
OWNER_COUNT = 5


class Instance:
    """An instance: more statements than slots share the slots' speed.

    ``slowness`` multiplies the time of each statement; above
    ``most_at_once`` statements it refuses.
    """

    def __init__(self, work_time):
        self.work_time = work_time
        self.slowness = 1.0
        self.most_at_once = 1000
        self.running = 0

    def start(self):
        """Return the seconds of a statement, None if it is refused."""
        if self.running >= self.most_at_once:
            return None
        self.running += 1
        crowding = max(1.0, self.running / SLOTS)
        return self.work_time() * self.slowness * crowding


class Owner:
    def __init__(self, instance, now=0.0):
        self.pace = decisions.InstancePace(SLOTS)
        self.instance = instance
        self.ends = []
        self.now = now
        self.done = 0
        self.refused = 0

    def run(self, seconds, waiting=1000):
        """Keep ``waiting`` statements queued for some seconds."""
        end = self.now + seconds
        while self.now < end:
            while len(self.ends) < min(waiting, self.limit()):
                if not self.start():
                    self.now += 0.001
                    break
            if not self.ends:
                continue
            finished, started = heapq.heappop(self.ends)
            self.now = max(self.now, finished)
            running = len(self.ends) + 1
            self.instance.running -= 1
            self.done += 1
            self.pace.record_success(
                finished - started, running, CONNECTIONS, self.now
            )

    def start(self):
        seconds = self.instance.start()
        if seconds is None:
            self.refused += 1
            self.pace.record_refusal(self.now)
            return False
        heapq.heappush(self.ends, (self.now + seconds, self.now))
        return True

    def limit(self):
        return self.pace.limit(CONNECTIONS)


def even_time():
    return 0.02


def test_an_instance_that_starts_is_not_flooded_by_what_waits():
    owner = Owner(Instance(even_time))
    assert owner.limit() == 1
    owner.run(0.02)
    assert owner.limit() <= 2


def test_an_instance_that_starts_is_soon_used_in_full():
    owner = Owner(Instance(even_time))
    owner.run(0.2)
    assert owner.limit() >= SLOTS


def test_the_pace_passes_neither_the_connections_nor_falls_to_0():
    owner = Owner(Instance(even_time))
    for _ in range(200):
        owner.pace.record_success(0.02, 14, CONNECTIONS, 1.0)
    assert owner.limit() == CONNECTIONS
    assert owner.pace.limit(3) == 3
    for number in range(50):
        owner.pace.record_refusal(float(number))
    assert owner.limit() == 1


def test_a_limit_that_is_not_used_does_not_grow():
    owner = Owner(Instance(even_time))
    owner.run(0.2)
    before = owner.limit()
    owner.run(5.0, waiting=1)
    assert owner.limit() == before


def test_statements_that_take_ten_times_as_long_are_not_slowness():
    draw = random.Random(7)

    def mixed_time():
        return 0.07 if draw.random() < 0.3 else 0.007

    # One owner has one slot's worth of work, so nothing queues there.
    owner = Owner(Instance(mixed_time))
    owner.run(1.0, waiting=SLOTS)
    limits = []
    for _ in range(50):
        owner.run(0.1, waiting=SLOTS)
        limits.append(owner.limit())
    assert min(limits) >= SLOTS


def test_an_overloaded_instance_settles_near_its_slots():
    owner = Owner(Instance(even_time))
    owner.run(3.0)
    limits = []
    for _ in range(30):
        owner.run(0.1)
        limits.append(owner.limit())
    assert SLOTS <= sum(limits) / len(limits) <= 3 * SLOTS


def test_refusals_of_a_full_instance_are_few():
    instance = Instance(even_time)
    instance.most_at_once = SLOTS
    owner = Owner(instance)
    owner.run(5.0)
    assert owner.refused < 0.15 * owner.done
    assert owner.done > 0.7 * 5.0 / 0.02 * SLOTS


def test_an_instance_that_is_slow_for_long_is_still_used():
    owner = Owner(Instance(even_time))
    owner.run(1.0)
    owner.instance.slowness = 7.5
    limits = []
    for _ in range(20):
        owner.run(0.5)
        limits.append(owner.limit())
    assert min(limits) >= 2


def test_a_recovered_instance_starts_low_and_is_full_again_within_200_ms():
    owner = Owner(Instance(even_time))
    owner.run(1.0)
    owner.pace.restart()
    assert owner.limit() == 1
    owner.run(0.2)
    assert owner.limit() >= SLOTS


def test_owners_that_share_an_instance_all_keep_a_share():
    """Five owners with an endless queue each; four slots between them."""
    instance = Instance(even_time)
    owners = [Owner(instance) for _ in range(OWNER_COUNT)]
    for _ in range(200):
        for owner in owners:
            owner.run(0.02)
    assert all(owner.limit() >= 1 for owner in owners)
    done = [owner.done for owner in owners]
    assert min(done) > 0.4 * max(done)


def test_a_lost_answer_holds_up_others_for_a_moment_only():
    """One lost answer kept all other work of its owner waiting."""
    pace = decisions.InstancePace(SLOTS)
    assert not pace.is_overdue(0.2)
    assert pace.is_overdue(0.3)


def test_a_slow_answer_is_not_taken_for_lost():
    pace = decisions.InstancePace(SLOTS)
    for _ in range(50):
        pace.record_success(0.3, 2, CONNECTIONS, 1.0)
    assert not pace.is_overdue(0.5)


def test_the_wait_is_that_of_the_work_ahead():
    pace = decisions.InstancePace(SLOTS)
    for _ in range(400):
        pace.record_success(0.03, 14, SLOTS, 1.0)
    assert pace.expected_wait(0, 3, SLOTS) == 0.0
    wait = pace.expected_wait(7, SLOTS, SLOTS)
    assert 0.05 < wait < 0.07


def test_a_low_limit_after_a_start_does_not_make_waits_look_long():
    """After a change of primary, its waiting work was all given back."""
    pace = decisions.InstancePace(SLOTS)
    pace.restart()
    assert pace.expected_wait(12, 1, CONNECTIONS) < 0.1


def test_without_the_policy_only_the_connections_limit_the_work():
    pace = decisions.PACES.get(core.LoadPolicy.PLAIN)(SLOTS)
    pace.record_refusal(1.0)
    assert pace.limit(CONNECTIONS) == CONNECTIONS
    assert pace.expected_wait(50, CONNECTIONS, CONNECTIONS) == 0.0
