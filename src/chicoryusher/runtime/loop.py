"""The runtime: one circuits loop that carries messages between tasks.

Messages for a task wait in its mailbox.  The first one fires one circuits
event.  When that is handled, the task receives all messages in the mailbox.
"""

from __future__ import annotations

import collections
from typing import Any

import circuits

from chicoryusher import core
from chicoryusher.runtime import logs
from chicoryusher.runtime import meters as meters_module
from chicoryusher.runtime import poller
from chicoryusher.runtime import timers

__all__ = ['Runtime', 'deliver']


class deliver(circuits.Event):  # noqa: N801 - circuits names events by class
    """Notify a task that its mailbox holds messages."""


# Events of circuits on components that come and go, which nothing handles.
_UNHANDLED_EVENTS = (
    circuits.core.events.registered,
    circuits.core.events.unregistered,
    circuits.core.components.prepare_unregister,
)


class Runtime(circuits.BaseComponent):
    """Root component: the mailboxes, timers, poller and clock.

    It finds the handlers of a task's events by the task's name.  Circuits
    asks all components after each change of them, for each event and channel,
    which takes time that grows with the square of the tasks.
    """

    channel = 'runtime'

    def __init__(
        self,
        clock: core.Clock | None = None,
        meters: meters_module.Meters | None = None,
    ) -> None:
        super().__init__(channel='runtime')
        self._children: collections.defaultdict[
            str, set[circuits.BaseComponent]
        ] = collections.defaultdict(set)
        self.clock = clock or core.SystemClock()
        self.meters = meters or meters_module.NullMeters()
        self._mailboxes: dict[core.TaskName, list[core.Message]] = {}
        self._log = logs.Log('', 'runtime')
        self.posted = 0
        self.undelivered = 0
        self.timers = timers.Timers(self.clock, self.post).register(self)
        self.poller = poller.Poller(self.post, self.timers).register(self)

    def registerChild(  # noqa: N802 - called by circuits
        self, component: circuits.BaseComponent
    ) -> None:
        """Add a component to those of its channel."""
        super().registerChild(component)
        self._children[component.channel].add(component)

    def unregisterChild(  # noqa: N802 - called by circuits
        self, component: circuits.BaseComponent
    ) -> None:
        """Remove a component from those of its channel."""
        super().unregisterChild(component)
        children = self._children[component.channel]
        children.discard(component)
        if not children:
            del self._children[component.channel]

    def getHandlers(  # noqa: N802 - called by circuits
        self, event: circuits.Event, channel: Any, **kwargs: Any
    ) -> set[Any]:
        """Return the handlers of an event on a channel."""
        if isinstance(event, _UNHANDLED_EVENTS):
            return set()
        if isinstance(channel, circuits.BaseComponent):
            return channel.getHandlers(event, channel, **kwargs)
        if not isinstance(event, deliver):
            return super().getHandlers(event, channel, **kwargs)
        handlers = set()
        for component in self._children.get(channel, ()):
            handlers |= component.getHandlers(event, channel, **kwargs)
        return handlers

    def add_mailbox(self, task: core.TaskName) -> list[core.Message]:
        """Create and return the mailbox of a new task.

        An earlier task of the same name receives no messages any more.
        """
        mailbox: list[core.Message] = []
        self._mailboxes[task] = mailbox
        return mailbox

    def remove_mailbox(
        self, task: core.TaskName, mailbox: list[core.Message]
    ) -> None:
        """Remove the mailbox of a task that has ended.

        The mailbox of a later task of the same name stays.
        """
        if self._mailboxes.get(task) is mailbox:
            del self._mailboxes[task]

    def post(self, task: core.TaskName, message: core.Message) -> None:
        """Put a message into the mailbox of ``task``.

        A message for a task that does not exist is logged and dropped.
        """
        mailbox = self._mailboxes.get(task)
        if mailbox is None:
            self.undelivered += 1
            self._log.emit(
                core.LogEvent.NO_SUCH_TASK,
                receiver=task,
                kind=type(message).__name__,
            )
            return
        self.posted += 1
        mailbox.append(message)
        if len(mailbox) == 1:
            self.fire(deliver(), task)

    def settle(self) -> None:
        """Handle queued events until the queue is empty, without waiting."""
        while len(self):
            self.flush()

    def run_until(self, when: float) -> None:
        """Advance the virtual clock to ``when`` (seconds); fire its timers."""
        clock = self.clock
        assert isinstance(clock, core.VirtualClock)
        self.settle()
        while (due := self.timers.next_due()) is not None and due <= when:
            clock.advance_to(due)
            self.timers.fire_due()
            self.settle()
        clock.advance_to(when)

    def run_for(self, seconds: float) -> None:
        """Advance the virtual clock by ``seconds``; fire its timers."""
        self.run_until(self.clock.now() + seconds)

    def close(self) -> None:
        """Close the poller's descriptors after the loop has ended."""
        self.poller.close()
