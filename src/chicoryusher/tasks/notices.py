"""Messages between tasks that carry decision types."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher.decisions import configuration

__all__ = [
    'Ask',
    'AssignGate',
    'ConfigInForce',
    'Told',
    'Undelivered',
    'WatchGroup',
]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigInForce(core.Message):
    """A configuration is in force on this VM from now on."""

    config: configuration.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class AssignGate(core.Message):
    """Be the gate of the instance from now on, or cease to be it.

    ``spec`` is the part of the instance that the gate may use; only an
    ``exclusive`` gate needs the instance's lock.
    """

    spec: configuration.InstanceSpec
    assigned: bool
    exclusive: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Undelivered(core.Message):
    """A message for a peer that never left this VM."""

    vm: core.VmName
    message: core.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Ask(core.Message):
    """An operator's question to a task; the answer is ``Told``."""

    reply_to: core.TaskName
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Told(core.Message):
    """A task's state as rows of named values for an operator."""

    task: core.TaskName
    number: int
    rows: tuple[tuple[tuple[str, str], ...], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WatchGroup(core.Message):
    """Whom to watch, for which gates of this VM, and in which order.

    ``rank`` 0 is the first watcher to fail the group over.
    """

    members: tuple[core.InstanceName, ...]
    gates: tuple[core.InstanceName, ...]
    rank: int
