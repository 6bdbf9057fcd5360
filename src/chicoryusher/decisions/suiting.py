"""How a pooled connection is made to suit a session's statement."""

from __future__ import annotations

import dataclasses

from chicoryusher import core

__all__ = ['ConnMemory', 'begin_command', 'fits', 'may_repeat', 'suit']

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


def begin_command(work: core.Work) -> core.Command:
    """Return the command that begins the work's transaction."""
    if work.begins is core.Begins.READ_ONLY:
        return core.Command(core.Op.BEGIN_READ_ONLY, after=work.after)
    return core.Command(core.Op.BEGIN, after=work.after)


def may_repeat(work: core.Work) -> bool:
    """Tell whether the work may run again elsewhere, whatever it did.

    A read changes nothing, and what a begun transaction did is rolled
    back with its connection.
    """
    if work.transaction is not None:
        return work.begins is not None
    if work.shape is not None:
        return work.shape.kind is core.ShapeKind.READ
    return work.statement.verb is core.Verb.READ
