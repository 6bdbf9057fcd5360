"""Exactly once: the key of a request is written with its effect.

The key goes into a table of the same database, in the same transaction
as the statement.  A second run of the key finds it and changes nothing.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from chicoryusher import core

__all__ = [
    'DUPLICATE_KEY',
    'LEDGER_TABLE',
    'NO_SUCH_TABLE',
    'Purpose',
    'ROLLBACK',
    'Step',
    'plan',
    'setup_steps',
]

LEDGER_TABLE = 'chicoryusher_ledger'
DUPLICATE_KEY = 1062
NO_SUCH_TABLE = 1146
QUERY = b'\x03'


class Purpose(enum.Enum):
    """What one step of a request is for."""

    BEGIN = 'begin'
    SETUP = 'setup'
    KEY = 'key'
    STATEMENT = 'statement'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'


class Step(NamedTuple):
    """One command of a request."""

    purpose: Purpose
    payload: core.Payload


def _text(sql: str) -> core.Payload:
    return core.Payload(QUERY + sql.encode())


_BEGIN = Step(Purpose.BEGIN, _text('START TRANSACTION'))
_COMMIT = Step(Purpose.COMMIT, _text('COMMIT'))
ROLLBACK = Step(Purpose.ROLLBACK, _text('ROLLBACK'))
_SETUP = Step(
    Purpose.SETUP,
    _text(
        f'CREATE TABLE IF NOT EXISTS {LEDGER_TABLE} ('
        'idempotency_key VARCHAR(128) NOT NULL PRIMARY KEY, '
        'landed_at TIMESTAMP NOT NULL DEFAULT CURRENT_TIMESTAMP)'
    ),
)


def _key(key: core.IdempotencyKey) -> Step:
    quoted = key.replace('\\', '\\\\').replace("'", "''")
    return Step(
        Purpose.KEY,
        _text(
            f"INSERT INTO {LEDGER_TABLE} (idempotency_key) VALUES ('{quoted}')"
        ),
    )


def plan(request: core.Request) -> list[Step]:
    """Return the steps of a request, in order."""
    steps = []
    key = request.marks.idempotency_key
    keyed = key is not None and request.kind is core.StatementKind.WRITE
    if request.begin is not None:
        steps.append(Step(Purpose.BEGIN, request.begin))
    elif keyed and request.transaction is None:
        steps.append(_BEGIN)
    if keyed and key is not None:
        steps.append(_key(key))
    steps.append(Step(Purpose.STATEMENT, request.payload))
    if keyed and request.transaction is None:
        steps.append(_COMMIT)
    return steps


def setup_steps(request: core.Request) -> list[Step]:
    """Return the steps that make the ledger and run the request again."""
    return [ROLLBACK, _SETUP, *plan(request)]
