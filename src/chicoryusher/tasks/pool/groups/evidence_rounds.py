"""Requests for evidence from instances, and the rounds that serve them."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions

__all__ = ['Group', 'Request', 'Round']


@dataclasses.dataclass(slots=True)
class Request:
    """A request for evidence, and when it is given up."""

    message: core.EvidenceWanted
    received_at: float
    deadline: float


@dataclasses.dataclass(slots=True)
class Round:
    """One query of every replica of a group.

    ``owners`` has the replicas that have not replied, each with the other VMs
    that may still be asked; ``running`` are the queries without a reply.
    """

    number: int
    requests: list[Request]
    owners: dict[core.InstanceName, list[core.VmName]]
    states: dict[core.InstanceName, core.InstanceState]
    running: dict[int, core.InstanceName]


@dataclasses.dataclass(slots=True)
class Group:
    """One group, with the requests that wait for the next round."""

    update: core.GroupUpdate
    witnesses: decisions.WitnessList
    waiting: list[Request]
    round: Round | None = None
    scheduled: bool = False

    def entry(self, name: core.InstanceName) -> core.InstanceEntry | None:
        """Return the entry of a registered instance, None of others."""
        entries = self.update.entries
        return next((entry for entry in entries if entry.name == name), None)
