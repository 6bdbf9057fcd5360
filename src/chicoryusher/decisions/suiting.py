"""How a pooled connection is prepared for a session's statement."""

from __future__ import annotations

import dataclasses

from chicoryusher import core

__all__ = ['ConnMemory', 'begin_command', 'fits', 'may_repeat', 'suit']

# Prepared statements that a connection has before it is reset.
MAX_PREPARED_STATEMENTS = 256


@dataclasses.dataclass(slots=True)
class ConnMemory:
    """Session variables and prepared statements set on a connection."""

    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[core.Shape, str] = dataclasses.field(default_factory=dict)


def fits(memory: ConnMemory, work: core.Work) -> int:
    """Return how many setup commands the connection needs for the work."""
    required = dict(work.values)
    if any(name not in required for name in memory.values):
        cost = 1 + len(required)
    else:
        cost = sum(
            1
            for name, value in required.items()
            if memory.values.get(name) != value
        )
    if work.shape is not None and work.shape not in memory.prepared:
        cost += 1
    return cost


def suit(memory: ConnMemory, work: core.Work) -> list[core.Command]:
    """Return the setup commands that the connection needs for the work.

    ``memory`` is updated as if the commands had run.  A connection with
    session variables that the work does not have, or with too many
    prepared statements, is reset first; but in an open transaction it is
    not reset for its prepared statements.
    """
    required = dict(work.values)
    commands = []
    has_surplus = any(name not in required for name in memory.values)
    in_transaction = work.transaction is not None and work.begins is None
    is_full = (
        len(memory.prepared) >= MAX_PREPARED_STATEMENTS and not in_transaction
    )
    if has_surplus or is_full:
        commands.append(core.Command(core.Op.RESET))
        memory.values.clear()
        memory.prepared.clear()
    for name, value in required.items():
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
    """Return whether the work may run again on another connection.

    That is the case even if it may have run: a read changes nothing, and
    a transaction that has only begun is rolled back with its connection.
    """
    if work.transaction is not None:
        return work.begins is not None
    if work.shape is not None:
        return work.shape.kind is core.ShapeKind.READ
    return work.statement.verb is core.Verb.READ
