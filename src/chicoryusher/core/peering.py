"""Typed messages that VMs exchange about each other."""

from __future__ import annotations

import dataclasses

from chicoryusher.core import ids
from chicoryusher.core import messages

__all__ = ['ConfigFetch', 'ConfigOffer', 'Heartbeat']


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(messages.Message):
    """A VM lives; what it has and whom it misses."""

    vm: ids.VmName
    leaving: bool
    config: ids.ConfigVersion
    suspects: tuple[ids.VmName, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigFetch(messages.Message):
    """Ask a peer for its configuration if it is above ``above``."""

    vm: ids.VmName
    above: ids.ConfigVersion


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigOffer(messages.Message):
    """A configuration as the operators' document, with its version."""

    version: ids.ConfigVersion
    document: bytes
