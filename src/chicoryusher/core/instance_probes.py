"""Typed messages that ask instances for their state, or change their role.

Timeouts are seconds.
"""

from __future__ import annotations

import dataclasses

from chicoryusher.core import enums
from chicoryusher.core import ids
from chicoryusher.core import messages
from chicoryusher.core import position
from chicoryusher.core import topology

__all__ = [
    'InstanceFault',
    'ProbeInstance',
    'DemoteInstance',
    'InstanceState',
    'InstanceProbeResult',
    'LastResponseQuery',
    'LastResponse',
    'PromoteInstance',
    'PromotionReply',
]


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceFault(messages.Message):
    """Report that an instance timed out or closed a connection in use."""

    instance: ids.InstanceName


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeInstance(messages.Message):
    """Probe an instance within ``timeout`` seconds.

    With ``read_status`` the instance must report its state; without it the
    probe succeeds once the instance has accepted a connection.
    """

    entry: topology.InstanceEntry
    timeout: float
    read_status: bool
    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class DemoteInstance(messages.Message):
    """Make an instance a replica in ``term``.

    The reply is an ``InstanceProbeResult``.
    """

    entry: topology.InstanceEntry
    term: ids.Term
    timeout: float
    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceState:
    """State that an instance reports about itself.

    ``received`` and ``applied`` are the ends of the log that it has
    received and applied.
    """

    role: enums.Role
    term: ids.Term
    received: position.Position
    applied: position.Position


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceProbeResult(messages.Message):
    """Result of a probe; ``state`` is None if none was reported.

    ``refused`` is set if the instance has replied that it reports none now.
    """

    instance: ids.InstanceName
    reached: bool
    state: InstanceState | None = None
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LastResponseQuery(messages.Message):
    """Ask an instance pool when the instance last sent something.

    The reply is a ``LastResponse``.
    """

    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class LastResponse(messages.Message):
    """When an instance last sent something to the pool of a VM.

    ``received_at`` is in seconds of the VM's runtime clock.
    """

    instance: ids.InstanceName
    received_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteInstance(messages.Message):
    """Ask the platform to promote an instance.

    ``coordinator`` is the VM that coordinates the change of primary.
    ``token`` is the revision of its leader row, by which the platform
    refuses the order of an older change.
    """

    service: ids.ServiceName
    instance: ids.InstanceName
    coordinator: ids.VmName
    token: int
    reply_to: ids.TaskName


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionReply(messages.Message):
    """The platform's reply to the promotion with that ``token``."""

    service: ids.ServiceName
    token: int
    result: enums.PromoteResult
