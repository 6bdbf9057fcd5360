"""Typed messages about primaries: who may use one, who replaces one.

An *age* is how many seconds before its sending something was true, so
that no two machines' clocks are compared.
"""

from __future__ import annotations

import dataclasses

from chicoryusher.core import enums
from chicoryusher.core import ids
from chicoryusher.core import messages
from chicoryusher.core import placement
from chicoryusher.core import position

__all__ = [
    'HandoverEnded',
    'WantHandover',
    'Authority',
    'ChangesUnderWay',
    'DemoteInstance',
    'FencePrimary',
    'InstanceState',
    'InstanceStatus',
    'InstanceTrouble',
    'KnowsEnough',
    'LeadRow',
    'LeadsInStore',
    'Opinion',
    'PrimaryFenced',
    'PrimaryMissed',
    'PrimaryStopped',
    'ProbeInstance',
    'PromoteInstance',
    'PromoteReplied',
    'Reopened',
    'RowWritten',
    'StopPrimary',
    'Suspicion',
    'WriteLead',
]


@dataclasses.dataclass(frozen=True, slots=True)
class LeadRow:
    """Who leads a group, as the store has it.

    ``revision`` is the store's version of the row; it rises with every
    write and so serves as the token of a change of primary.
    """

    service: ids.ServiceName
    revision: int
    state: enums.LeadRowState
    primary: ids.InstanceName
    holder: ids.VmName


@dataclasses.dataclass(frozen=True, slots=True)
class LeadsInStore(messages.Message):
    """Lead rows that were read or changed."""

    rows: tuple[LeadRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesUnderWay(messages.Message):
    """Whether this VM changes a primary."""

    any: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryMissed(messages.Message):
    """Over half of the live VMs can't reach an instance."""

    instance: ids.InstanceName


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLead(messages.Message):
    """Write a lead row if it still has ``expected`` as its revision."""

    row: LeadRow
    expected: int
    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class RowWritten(messages.Message):
    """What became of a conditional write, read back where in doubt.

    ``row`` is the row as the store has it now, None if unknown.
    """

    service: ids.ServiceName
    row: LeadRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion(messages.Message):
    """A VM misses an instance and asks what others see."""

    vm: ids.VmName
    instance: ids.InstanceName


@dataclasses.dataclass(frozen=True, slots=True)
class Opinion(messages.Message):
    """Whether an instance could be reached by a VM just now."""

    vm: ids.VmName
    instance: ids.InstanceName
    reached: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FencePrimary(messages.Message):
    """Stop using the primary of a group: its row is being changed.

    ``patience`` is how many seconds open work may still take.
    """

    vm: ids.VmName
    row: LeadRow
    patience: float


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryFenced(messages.Message):
    """A VM no longer uses the primary that the row replaces."""

    vm: ids.VmName
    service: ids.ServiceName
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reopened(messages.Message):
    """The group has a primary again; ``closing`` is the row it ends."""

    closing: int
    row: LeadRow


@dataclasses.dataclass(frozen=True, slots=True)
class Authority(messages.Message):
    """Primaries may be used until this time of the running-on clock."""

    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopPrimary(messages.Message):
    """Stop using a group's primary, after ``patience`` seconds at most."""

    service: ids.ServiceName
    primary: ids.InstanceName
    revision: int
    patience: float


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryStopped(messages.Message):
    """No connection of this VM to that primary is left."""

    service: ids.ServiceName
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceTrouble(messages.Message):
    """Traffic met an instance that was silent or broke off."""

    instance: ids.InstanceName


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeInstance(messages.Message):
    """Ask an instance for its status within ``timeout`` seconds.

    With ``status`` False it is enough that it takes a connection.
    """

    entry: placement.InstanceEntry
    timeout: float
    status: bool
    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class DemoteInstance(messages.Message):
    """Make an instance a replica of ``term``; its status comes back."""

    entry: placement.InstanceEntry
    term: ids.Term
    timeout: float
    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceState:
    """What an instance says of itself."""

    role: enums.Role
    term: ids.Term
    received: position.Position
    applied: position.Position


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus(messages.Message):
    """The result of a probe; ``state`` is None where none came."""

    instance: ids.InstanceName
    reached: bool
    state: InstanceState | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteInstance(messages.Message):
    """Tell the platform which instance takes over."""

    service: ids.ServiceName
    instance: ids.InstanceName
    holder: ids.VmName
    token: int
    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteReplied(messages.Message):
    """The platform's answer to a promotion."""

    service: ids.ServiceName
    token: int
    result: enums.PromoteResult


@dataclasses.dataclass(frozen=True, slots=True)
class KnowsEnough(messages.Message):
    """Configuration, instances and leads are known: callers can be served."""


@dataclasses.dataclass(frozen=True, slots=True)
class WantHandover(messages.Message):
    """Replace the primary of a group.

    ``revision`` is the lead row's, 0 where there is none.  ``planned``
    says that the old primary still serves.
    """

    entries: tuple[placement.InstanceEntry, ...]
    old: ids.InstanceName
    revision: int
    planned: bool
    vms: tuple[ids.VmName, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverEnded(messages.Message):
    """A change of primary has ended here, done or not."""

    service: ids.ServiceName
