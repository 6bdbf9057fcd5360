"""How a pooled connection is made to suit a session's statement."""

from __future__ import annotations

import dataclasses

from chicoryusher import core

__all__ = ['ConnMemory', 'fits', 'suit']

# Prepared statements that a connection keeps before all are dropped.
MAX_PREPARED = 256


@dataclasses.dataclass(slots=True)
class ConnMemory:
    """Session values and prepared statements that a connection holds."""

    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[core.Shape, str] = dataclasses.field(default_factory=dict)


def fits(memory: ConnMemory, work: core.Work) -> int:
    """Return how many commands it takes to suit the work."""
    wanted = dict(work.values)
    if any(name not in wanted for name in memory.values):
        cost = 1 + len(wanted)
    else:
        cost = sum(
            1
            for name, value in wanted.items()
            if memory.values.get(name) != value
        )
    if work.shape is not None and work.shape not in memory.prepared:
        cost += 1
    return cost


def suit(memory: ConnMemory, work: core.Work) -> list[core.Command]:
    """Return the commands that suit the work, and remember them."""
    wanted = dict(work.values)
    commands = []
    surplus = any(name not in wanted for name in memory.values)
    continues = work.transaction is not None and work.begins is None
    full = len(memory.prepared) >= MAX_PREPARED and not continues
    if surplus or full:
        commands.append(core.Command(core.Op.RESET))
        memory.values.clear()
        memory.prepared.clear()
    for name, value in wanted.items():
        if memory.values.get(name) != value:
            commands.append(core.Command(core.Op.SET, name=name, value=value))
            memory.values[name] = value
    shape = work.shape
    if shape is not None and shape not in memory.prepared:
        name = f'p{len(memory.prepared)}'
        memory.prepared[shape] = name
        commands.append(core.Command(core.Op.PREPARE, name=name, shape=shape))
    return commands
