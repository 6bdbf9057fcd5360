"""How a pooled connection is prepared for a session's statement."""

from __future__ import annotations

import dataclasses

from chicoryusher import core

__all__ = [
    'ConnSessionState',
    'may_commit',
    'run_command',
    'setup_cost',
    'start_commands',
    'is_repeatable',
    'setup_commands',
]

# Prepared statements that a connection has before it is reset.
MAX_PREPARED_STATEMENTS = 256
# Bytes of values and prepared statements that are remembered for a connection
# while it is free.
MAX_REMEMBERED_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True)
class ConnSessionState:
    """Session variables and prepared statements set on a connection.

    ``prepared_count`` is how many statements were prepared since the last
    reset, and ``prepared_bytes`` the size of those in ``prepared``.
    ``must_reset`` is set if the connection has more than is remembered here.
    """

    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[core.PreparedQuery, str] = dataclasses.field(
        default_factory=dict
    )
    prepared_count: int = 0
    prepared_bytes: int = 0
    must_reset: bool = False

    def clear(self) -> None:
        """Forget everything: the connection is reset."""
        self.values.clear()
        self._forget_prepared()
        self.prepared_count = 0
        self.must_reset = False

    def add_prepared(self, shape: core.PreparedQuery) -> str:
        """Remember a statement; return the name to prepare it under."""
        if self.prepared_bytes > MAX_REMEMBERED_BYTES:
            self._forget_prepared()
            self.must_reset = True
        name = f'p{self.prepared_count}'
        self.prepared[shape] = name
        self.prepared_count += 1
        self.prepared_bytes += len(shape.template)
        return name

    def trim(self) -> None:
        """Forget what is too large to be remembered."""
        value_bytes = sum(map(len, self.values.values()))
        if self.prepared_bytes + value_bytes > MAX_REMEMBERED_BYTES:
            self.values.clear()
            self._forget_prepared()
            self.must_reset = True

    def _forget_prepared(self) -> None:
        self.prepared.clear()
        self.prepared_bytes = 0


def setup_cost(memory: ConnSessionState, work: core.Work) -> int:
    """Return how many setup commands the connection needs for the work."""
    required = dict(work.session_values)
    has_surplus = any(name not in required for name in memory.values)
    if has_surplus or memory.must_reset:
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
        memory.prepared_count >= MAX_PREPARED_STATEMENTS or memory.must_reset
    )
    if has_surplus or (is_full and not in_transaction):
        commands.append(core.Command(core.Op.RESET))
        memory.clear()
    for name, value in required.items():
        if memory.values.get(name) != value:
            commands.append(core.Command(core.Op.SET, name=name, value=value))
            memory.values[name] = value
    shape = work.prepared
    if shape is not None and shape not in memory.prepared:
        name = memory.add_prepared(shape)
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


def may_commit(work: core.Work) -> bool:
    """Return whether the work may commit a change."""
    if work.transaction is not None:
        return work.statement.verb is core.Verb.COMMIT
    return not is_repeatable(work)
