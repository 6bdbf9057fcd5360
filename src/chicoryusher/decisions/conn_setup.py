"""How a pooled connection is prepared for a session's statement."""

from __future__ import annotations

import dataclasses

from chicoryusher import core

__all__ = [
    'ConnSessionState',
    'run_command',
    'setup_cost',
    'start_commands',
    'is_repeatable',
    'setup_commands',
]

# Prepared statements that a connection has before it is reset.
MAX_PREPARED_STATEMENTS = 256


@dataclasses.dataclass(slots=True)
class ConnSessionState:
    """Session variables and prepared statements set on a connection."""

    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[core.PreparedQuery, str] = dataclasses.field(
        default_factory=dict
    )


def setup_cost(memory: ConnSessionState, work: core.Work) -> int:
    """Return how many setup commands the connection needs for the work."""
    required = dict(work.session_values)
    if any(name not in required for name in memory.values):
        cost = 1 + len(required)
    else:
        cost = sum(
            1
            for name, value in required.items()
            if memory.values.get(name) != value
        )
    if work.prepared is not None and work.prepared not in memory.prepared:
        cost += 1
    return cost


def setup_commands(
    memory: ConnSessionState, work: core.Work
) -> list[core.Command]:
    """Return the setup commands that the connection needs for the work.

    ``memory`` is updated as if the commands had run.  A connection with
    session variables that the work does not have, or with too many
    prepared statements, is reset first; but in an open transaction it is
    not reset for its prepared statements.
    """
    required = dict(work.session_values)
    commands = []
    has_surplus = any(name not in required for name in memory.values)
    in_transaction = work.transaction is not None and work.begin_kind is None
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
    shape = work.prepared
    if shape is not None and shape not in memory.prepared:
        name = f'p{len(memory.prepared)}'
        memory.prepared[shape] = name
        commands.append(
            core.Command(core.Op.PREPARE, name=name, prepared=shape)
        )
    return commands


def start_commands(
    memory: ConnSessionState, work: core.Work
) -> list[core.Command]:
    """Return the setup commands and the statement, or its BEGIN."""
    commands = setup_commands(memory, work)
    if work.begin_kind is None:
        commands.append(run_command(memory, work))
    else:
        commands.append(_begin_command(work))
    return commands


def run_command(memory: ConnSessionState, work: core.Work) -> core.Command:
    """Return the command that runs the statement.

    Inside a transaction, the BEGIN has carried the condition on the
    log position already.
    """
    name = ''
    if work.prepared is not None:
        name = memory.prepared[work.prepared]
    after = work.min_position if work.transaction is None else None
    return core.Command(
        core.Op.RUN,
        request_id=work.request_id,
        statement=work.statement,
        name=name,
        min_position=after,
    )


def _begin_command(work: core.Work) -> core.Command:
    """Return the command that begins the work's transaction."""
    if work.begin_kind is core.TransactionKind.READ_ONLY:
        return core.Command(
            core.Op.BEGIN_READ_ONLY, min_position=work.min_position
        )
    return core.Command(core.Op.BEGIN, min_position=work.min_position)


def is_repeatable(work: core.Work) -> bool:
    """Return whether the work may run again on another connection.

    That is the case even if it may have run: a read changes nothing, and
    a transaction that has only begun is rolled back with its connection.
    """
    if work.transaction is not None:
        return work.begin_kind is not None
    if work.prepared is not None:
        return work.prepared.kind is core.PreparedQueryKind.READ
    return work.statement.verb is core.Verb.READ
