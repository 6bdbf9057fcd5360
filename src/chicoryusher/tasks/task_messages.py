"""Messages between tasks of one VM, with fields of ``decisions`` types."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher.decisions import configuration

__all__ = [
    'StateQuery',
    'AssignGate',
    'ConfigUpdate',
    'StateReport',
    'TeamsQuery',
    'Undelivered',
    'MonitorGroup',
]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigUpdate(core.Message):
    """Report that a configuration is now in force on this VM."""

    config: configuration.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class AssignGate(core.Message):
    """Make a gate task the gate of its instance, or end that.

    ``spec`` is the instance, with the slots and connections that this
    gate may use.  Only an ``exclusive`` gate, the only one of the
    instance, needs the gate lock.
    """

    spec: configuration.InstanceSpec
    assigned: bool
    exclusive: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Undelivered(core.Message):
    """Report that a message for another VM was not sent."""

    vm: core.VmName
    message: core.Message


@dataclasses.dataclass(frozen=True, slots=True)
class StateQuery(core.Message):
    """StateQuery a task for its state, on behalf of an operator.

    ``number`` pairs the ``StateReport`` with its ``StateQuery``.
    """

    reply_to: core.TaskName
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class TeamsQuery(StateQuery):
    """Query the router for the teams in place of its sessions."""


@dataclasses.dataclass(frozen=True, slots=True)
class StateReport(core.Message):
    """Report a task's state as rows of (name, value) pairs."""

    task: core.TaskName
    number: int
    rows: tuple[tuple[tuple[str, str], ...], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MonitorGroup(core.Message):
    """Update what a group monitor monitors.

    ``members`` are the instances of the group, ``gates`` those of them
    whose gate is this VM.  ``rank`` is the place of this VM in the order
    in which VMs fail the group over; 0 is the first.
    """

    members: tuple[core.InstanceName, ...]
    gates: tuple[core.InstanceName, ...]
    rank: int
