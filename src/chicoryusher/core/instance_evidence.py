"""Typed messages about evidence from instances that a primary still leads."""

from __future__ import annotations

import dataclasses
import enum

from chicoryusher.core import ids
from chicoryusher.core import messages
from chicoryusher.core import pooling
from chicoryusher.core import position
from chicoryusher.core import primaries

__all__ = [
    'EvidenceGiven',
    'EvidenceMode',
    'EvidenceVerdict',
    'EvidenceWanted',
    'EnsureConnection',
    'InstanceStatusRead',
    'ReadInstanceStatus',
    'StatusQuery',
    'StatusReport',
]


class EvidenceMode(enum.Enum):
    """How a VM treats evidence from instances.

    OFF: no VM of the deployment uses it.  GUARD: this VM does not, and its
    changes of primary leave others the time to.  USE: it does both.
    """

    OFF = 'off'
    GUARD = 'guard'
    USE = 'use'


class EvidenceVerdict(enum.Enum):
    """What the statuses of a group's replicas say about an answer.

    PENDING: a replica has not received enough yet, or has not answered.
    """

    PROVED = 'proved'
    PENDING = 'pending'
    REFUTED = 'refuted'


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceWanted(messages.Message):
    """Ask whether no other instance led before the moment of asking.

    ``primary`` is the instance that leads in ``term``.  With ``position``
    every replica must also have received that much of its log.
    ``owners`` are the VMs that keep connections to each replica.
    """

    number: int
    service: ids.ServiceName
    primary: ids.InstanceName
    term: ids.Term
    position: position.Position | None
    owners: tuple[tuple[ids.InstanceName, tuple[ids.VmName, ...]], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceGiven(messages.Message):
    """Reply to ``EvidenceWanted``.

    ``seconds`` is how long it took, ``instances`` whose statuses were used,
    and ``why`` the reason if it was not proved.
    """

    number: int
    service: ids.ServiceName
    proved: bool
    seconds: float
    instances: tuple[ids.InstanceName, ...]
    why: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class EnsureConnection(messages.Message):
    """Open a connection, if this VM is to keep some and has none."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadInstanceStatus(messages.Message):
    """Read an instance's status on a connection that is open already.

    It must have been opened by ``opened_by``, a time of the boot-time clock.
    """

    number: int
    opened_by: float
    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatusRead(messages.Message):
    """An instance's reply to a status query.

    Without ``reply`` no such connection was free, or it was lost.
    """

    number: int
    instance: ids.InstanceName
    reply: pooling.CommandReply | None


@dataclasses.dataclass(frozen=True, slots=True)
class StatusQuery(messages.Message):
    """Ask a peer for the status of a replica, for evidence about a primary."""

    vm: ids.VmName
    number: int
    service: ids.ServiceName
    primary: ids.InstanceName
    instance: ids.InstanceName


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReport(messages.Message):
    """Reply to ``StatusQuery``; without ``state`` there is no evidence."""

    vm: ids.VmName
    number: int
    instance: ids.InstanceName
    state: primaries.InstanceState | None
