"""Idempotency keys: a write with a key takes effect at most once.

The key is inserted into a table of the same database, the ledger, in the
same transaction as the statement.  When a request with the same key runs
again, the insert fails with a duplicate key and nothing is changed.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from chicoryusher import core

__all__ = [
    'DUPLICATE_KEY_ERRNO',
    'LEDGER_TABLE',
    'NO_SUCH_TABLE_ERRNO',
    'StepPurpose',
    'ROLLBACK',
    'RequestStep',
    'request_steps',
    'steps_with_ledger_setup',
]

LEDGER_TABLE = 'chicoryusher_ledger'
# MySQL error numbers.
DUPLICATE_KEY_ERRNO = 1062
NO_SUCH_TABLE_ERRNO = 1146
# Command byte of COM_QUERY in the MySQL protocol.
COM_QUERY = b'\x03'


class StepPurpose(enum.Enum):
    """What one step of a request does."""

    BEGIN = 'begin'
    SETUP = 'setup'
    KEY = 'key'
    STATEMENT = 'statement'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'


class RequestStep(NamedTuple):
    """One command that is sent to the instance for a request."""

    purpose: StepPurpose
    payload: core.Payload


def _query(sql: str) -> core.Payload:
    return core.Payload(COM_QUERY + sql.encode())


_BEGIN = RequestStep(StepPurpose.BEGIN, _query('START TRANSACTION'))
_COMMIT = RequestStep(StepPurpose.COMMIT, _query('COMMIT'))
ROLLBACK = RequestStep(StepPurpose.ROLLBACK, _query('ROLLBACK'))
_CREATE_LEDGER = RequestStep(
    StepPurpose.SETUP,
    _query(
        f'CREATE TABLE IF NOT EXISTS {LEDGER_TABLE} ('
        'idempotency_key VARCHAR(128) NOT NULL PRIMARY KEY, '
        'landed_at TIMESTAMP NOT NULL DEFAULT CURRENT_TIMESTAMP)'
    ),
)


def _insert_key(key: core.IdempotencyKey) -> RequestStep:
    quoted = key.replace('\\', '\\\\').replace("'", "''")
    return RequestStep(
        StepPurpose.KEY,
        _query(
            f"INSERT INTO {LEDGER_TABLE} (idempotency_key) VALUES ('{quoted}')"
        ),
    )


def request_steps(request: core.Request) -> list[RequestStep]:
    """Return the steps of a request, in order.

    A write with an idempotency key outside of a transaction gets a
    transaction of its own.
    """
    steps = []
    key = request.marks.idempotency_key
    uses_key = key is not None and request.kind is core.StatementKind.WRITE
    if request.begin_payload is not None:
        steps.append(RequestStep(StepPurpose.BEGIN, request.begin_payload))
    elif uses_key and request.transaction is None:
        steps.append(_BEGIN)
    if uses_key and key is not None:
        steps.append(_insert_key(key))
    steps.append(RequestStep(StepPurpose.STATEMENT, request.payload))
    if uses_key and request.transaction is None:
        steps.append(_COMMIT)
    return steps


def steps_with_ledger_setup(request: core.Request) -> list[RequestStep]:
    """Return the steps that create the ledger and run the request again."""
    return [ROLLBACK, _CREATE_LEDGER, *request_steps(request)]
