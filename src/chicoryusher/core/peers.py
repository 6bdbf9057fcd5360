"""Typed messages about membership and configuration between VMs."""

from __future__ import annotations

import dataclasses

from chicoryusher.core import ids
from chicoryusher.core import messages

__all__ = [
    'AskConfigAge',
    'ConfigAge',
    'ConfigOffer',
    'FetchConfig',
    'Heartbeat',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(messages.Message):
    """Heartbeat of a VM.

    ``leaving`` is set if the VM is about to stop; ``config_version`` is the
    version of its configuration; ``suspects`` are the VMs from which it
    no longer receives heartbeats.
    """

    vm: ids.VmName
    leaving: bool
    config_version: ids.ConfigVersion
    suspects: tuple[ids.VmName, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class FetchConfig(messages.Message):
    """Ask a peer for its configuration if it is newer than ``newer_than``."""

    vm: ids.VmName
    newer_than: ids.ConfigVersion


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigOffer(messages.Message):
    """Configuration of a peer: its version and the operators' document."""

    version: ids.ConfigVersion
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AskConfigAge(messages.Message):
    """Ask a peer when its configuration was last known to be the newest.

    ``asked_at`` is on the boot-time clock of ``vm``, the VM that asks; the
    answer repeats it.
    """

    vm: ids.VmName
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigAge(messages.Message):
    """Reply that the version was the newest ``age`` seconds before."""

    version: ids.ConfigVersion
    age: float
    asked_at: float
