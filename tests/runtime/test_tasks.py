"""Tasks that end, and a later task of the same name."""

from __future__ import annotations

import dataclasses

import pytest

from chicoryusher import core
from chicoryusher import runtime

VM = core.VmName('vm1')
# The loop offers an event to the tasks of one name in no fixed order.
REPEATS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Number(core.Message):
    """A message to be handled once."""

    number: int


class Receiver(runtime.Task):
    """Records the numbers of its messages; ends itself at 0."""

    def __init__(self, loop):
        super().__init__(loop, VM, 'receiver')
        self.numbers = []
        self.settled_count = 0

    @runtime.handles(Number)
    def _on_number(self, message):
        self.numbers.append(message.number)
        if message.number == 0:
            self.end()

    def settled(self):
        self.settled_count += 1


@pytest.fixture
def loop():
    loop = runtime.Runtime()
    yield loop
    loop.close()


@pytest.mark.parametrize('repeat', range(REPEATS))
def test_an_ended_task_takes_no_messages_of_its_successor(loop, repeat):
    """An ended pool took the work of the pool that replaced it."""
    earlier = Receiver(loop)
    loop.settle()
    earlier.end()
    later = Receiver(loop)
    loop.post(later.task_name, Number(1))
    loop.settle()
    assert (earlier.numbers, later.numbers) == ([], [1])
    assert earlier.settled_count == 0


def test_the_end_of_a_task_leaves_the_mailbox_of_its_successor(loop):
    """Messages for a new pool were dropped when the old one ended late."""
    earlier = Receiver(loop)
    later = Receiver(loop)
    loop.post(later.task_name, Number(1))
    earlier.end()
    loop.settle()
    loop.post(later.task_name, Number(2))
    loop.settle()
    assert (earlier.numbers, later.numbers) == ([], [1, 2])
    assert loop.undelivered == 0


def test_a_task_that_ends_handles_no_further_message_of_the_batch(loop):
    """A link went on with its messages after it had closed its sockets."""
    receiver = Receiver(loop)
    for number in (1, 0, 2):
        loop.post(receiver.task_name, Number(number))
    loop.settle()
    assert receiver.numbers == [1, 0]
    assert receiver.settled_count == 0


class Counted(runtime.Task):
    """Counts how often the loop looks for its handlers."""

    def __init__(self, loop, number):
        self.lookups = 0
        super().__init__(loop, VM, f'counted{number}')

    def getHandlers(self, event, channel, **kwargs):  # noqa: N802
        self.lookups += 1
        return super().getHandlers(event, channel, **kwargs)

    @runtime.handles(Number)
    def _on_number(self, message):
        """Nothing to do."""


@pytest.mark.parametrize('count', [3, 300])
def test_tasks_that_come_and_go_cost_the_others_nothing(loop, count):
    """Each change made the loop ask every task for each later event."""
    tasks = [Counted(loop, number) for number in range(count)]
    loop.settle()
    for number in range(count, count + 5):
        Counted(loop, number).end()
        for task in tasks:
            loop.post(task.task_name, Number(1))
        loop.settle()
    assert max(task.lookups for task in tasks) <= 2 * 5


def test_a_task_that_has_ended_leaves_the_loop(loop):
    receiver = Receiver(loop)
    loop.settle()
    assert receiver in loop.components
    receiver.end()
    loop.settle()
    assert receiver not in loop.components
    assert receiver.parent is receiver
