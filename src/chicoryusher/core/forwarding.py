"""Typed messages about work that one VM runs for another.

A holder has connections to an instance; other VMs send it their work.
Durations are seconds, so that no two machines' clocks are compared.
"""

from __future__ import annotations

import dataclasses

from chicoryusher.core import enums
from chicoryusher.core import ids
from chicoryusher.core import messages
from chicoryusher.core import placement
from chicoryusher.core import pooling
from chicoryusher.core import position

__all__ = [
    'ForwardCancel',
    'ForwardEnd',
    'ForwardStop',
    'ForwardWork',
    'LiveNodes',
    'NodePlace',
    'RelayCancel',
    'RelayEnded',
    'RelayRollback',
    'RelayWork',
]


@dataclasses.dataclass(frozen=True, slots=True)
class NodePlace:
    """An entry VM that answers, and its availability zone."""

    vm: ids.VmName
    zone: ids.ZoneName


@dataclasses.dataclass(frozen=True, slots=True)
class LiveNodes(messages.Message):
    """The entry VMs that answer, this one included, in order of name."""

    nodes: tuple[NodePlace, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardWork(messages.Message):
    """Let another VM run a piece of work at an instance."""

    via: ids.VmName
    entry: placement.InstanceEntry
    work: pooling.Work


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardCancel(messages.Message):
    """Nobody waits for this work any more."""

    work_id: ids.WorkId


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardEnd(messages.Message):
    """Roll a transaction back that another VM holds."""

    transaction: ids.TransactionId


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardStop(messages.Message):
    """End all work that other VMs run at an instance."""

    instance: ids.InstanceName


@dataclasses.dataclass(frozen=True, slots=True)
class RelayWork(messages.Message):
    """Run a piece of work of the VM ``vm`` at an instance.

    ``boot`` tells two lives of the instance apart; ``start_in`` is how
    long the work may wait for a connection.  The rest is as in ``Work``.
    """

    vm: ids.VmName
    instance: ids.InstanceName
    boot: int
    work_id: ids.WorkId
    request_id: ids.RequestId
    statement: pooling.Statement
    shape: pooling.Shape | None
    values: tuple[tuple[str, str], ...]
    priority: int
    start_in: float
    limit: float
    patience: float
    transaction: ids.TransactionId | None = None
    begins: enums.Begins | None = None
    after: position.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RelayEnded(messages.Message):
    """What became of another VM's work; ``sent`` if an instance got it."""

    vm: ids.VmName
    work_id: ids.WorkId
    instance: ids.InstanceName
    ended: enums.Ended
    sent: bool
    rows: tuple[str, ...] = ()
    digest: str | None = None
    refusal: enums.Refusal | None = None
    detail: str = ''
    position: position.Position | None = None
    block: enums.BlockState = enums.BlockState.IDLE


@dataclasses.dataclass(frozen=True, slots=True)
class RelayCancel(messages.Message):
    """The VM ``vm`` does not wait for its work any more."""

    vm: ids.VmName
    work_id: ids.WorkId


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRollback(messages.Message):
    """Roll a transaction of the VM ``vm`` back."""

    vm: ids.VmName
    transaction: ids.TransactionId
