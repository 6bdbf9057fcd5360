"""Typed messages about work that one VM runs for another.

Only some VMs, the connection owners, have connections to an instance;
other VMs forward their work to one of them, whose relay runs it.
Messages between VMs carry durations in seconds and not times, so that
clocks of two machines are never compared.
"""

from __future__ import annotations

import dataclasses

from chicoryusher.core import enums
from chicoryusher.core import ids
from chicoryusher.core import messages
from chicoryusher.core import pooling
from chicoryusher.core import position
from chicoryusher.core import topology

__all__ = [
    'ForwardCancel',
    'ForwardRollback',
    'StopForwarding',
    'ForwardWork',
    'ForwardingPeers',
    'LiveEntryVms',
    'EntryVmZone',
    'RelayCancel',
    'RelayEnded',
    'RelayPing',
    'RelayPong',
    'RelayRollback',
    'RelayWork',
    'SilentOwners',
]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVmZone:
    """Entry VM that responds, with its availability zone."""

    vm: ids.VmName
    zone: ids.ZoneName


@dataclasses.dataclass(frozen=True, slots=True)
class LiveEntryVms(messages.Message):
    """Entry VMs that respond and this VM, in order of name."""

    nodes: tuple[EntryVmZone, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingPeers(messages.Message):
    """VMs to which this VM has forwarded work lately."""

    vms: frozenset[ids.VmName]


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardWork(messages.Message):
    """Forward a piece of work for an instance to the VM ``conn_owner``."""

    conn_owner: ids.VmName
    entry: topology.InstanceEntry
    work: pooling.Work


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardCancel(messages.Message):
    """Cancel forwarded work whose result is no longer needed."""

    work_id: ids.WorkId


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardRollback(messages.Message):
    """Roll back a transaction that is open at another VM."""

    transaction: ids.TransactionId


@dataclasses.dataclass(frozen=True, slots=True)
class StopForwarding(messages.Message):
    """End all work for an instance that was forwarded to other VMs."""

    instance: ids.InstanceName


@dataclasses.dataclass(frozen=True, slots=True)
class RelayWork(messages.Message):
    """Run a piece of work of the VM ``vm`` at an instance.

    ``incarnation`` numbers the instance's starts.  ``start_timeout`` is how
    many seconds the work may wait for a connection.  The other fields have the
    meaning that they have in ``Work``.
    """

    vm: ids.VmName
    instance: ids.InstanceName
    incarnation: int
    work_id: ids.WorkId
    request_id: ids.RequestId
    statement: pooling.Statement
    prepared: pooling.PreparedQuery | None
    session_values: tuple[tuple[str, str], ...]
    priority: int
    start_timeout: float
    timeout: float
    retryable_timeout: float
    transaction: ids.TransactionId | None = None
    begin_kind: enums.TransactionKind | None = None
    min_position: position.Position | None = None
    team: ids.TeamName | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RelayEnded(messages.Message):
    """Result of work that was run for another VM.

    ``vm`` is the VM that ran the work.  ``sent`` is set if the work was
    sent to the instance.  The other fields have the meaning that they
    have in ``WorkEnded``.
    """

    vm: ids.VmName
    work_id: ids.WorkId
    instance: ids.InstanceName
    completion: enums.Completion
    sent: bool
    rows: tuple[str, ...] = ()
    digest: str | None = None
    refusal: enums.Refusal | None = None
    detail: str = ''
    position: position.Position | None = None
    transaction_status: enums.TransactionStatus = enums.TransactionStatus.IDLE
    expected_wait: float | None = None
    run_time: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RelayCancel(messages.Message):
    """Cancel work of the VM ``vm`` whose result is no longer needed."""

    vm: ids.VmName
    work_id: ids.WorkId


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRollback(messages.Message):
    """Roll back a transaction of the VM ``vm``."""

    vm: ids.VmName
    transaction: ids.TransactionId


@dataclasses.dataclass(frozen=True, slots=True)
class RelayPing(messages.Message):
    """Ask a connection owner whether it responds to the VM ``vm``."""

    vm: ids.VmName


@dataclasses.dataclass(frozen=True, slots=True)
class RelayPong(messages.Message):
    """Tell that the connection owner ``vm`` responds."""

    vm: ids.VmName


@dataclasses.dataclass(frozen=True, slots=True)
class SilentOwners(messages.Message):
    """Connection owners that don't respond to this VM."""

    vms: frozenset[ids.VmName]
