"""Commands of the MySQL protocol, each registered under its number.

A command either answers on the caller's connection or returns the
request that the router shall run.
"""

from __future__ import annotations

import dataclasses
import itertools
import re
from collections.abc import Callable

from mysql_mimic import packets
from mysql_mimic import results
from mysql_mimic import types

from chicoryusher import core
from chicoryusher import wire
from chicoryusher.frontends.mysql import callers
from chicoryusher.frontends.mysql import marks
from chicoryusher.frontends.mysql import statements

__all__ = ['COMMANDS', 'Context', 'TOKEN_VARIABLE', 'run', 'token_rows']

TOKEN_VARIABLE = '@@chicoryusher_token'
MAX_PREPARED = 4096
MAX_LONG_DATA_BYTES = 64 * 1024 * 1024
EXECUTE_HEAD_BYTES = 10
STATEMENT_ID = slice(1, 5)
_NUMBER = types.Commands
_BEGIN = core.Payload(bytes([_NUMBER.COM_QUERY]) + b'START TRANSACTION')
_PIN = core.Payload(bytes([_NUMBER.COM_QUERY]) + b'DO 0')
_COMMIT = core.Payload(bytes([_NUMBER.COM_QUERY]) + b'COMMIT')
_AUTOCOMMIT = re.compile(
    r'\s*set\s+(?:session\s+|@@(?:session\.)?)?autocommit\s*:?=\s*(\w+)',
    re.IGNORECASE,
)
_SET_TOKEN = re.compile(
    r"\s*set\s+@@(?:session\.)?chicoryusher_token\s*:?=\s*'([^']*)'",
    re.IGNORECASE,
)
_GET_TOKEN = re.compile(
    r'\s*select\s+@@(?:session\.)?chicoryusher_token\s*;?\s*$',
    re.IGNORECASE,
)

Command = Callable[['Context', callers.CallerConn, bytes], core.Message | None]
COMMANDS: core.Registry[Command] = core.Registry('command')


class Context:
    """What commands need of their front end: request numbers."""

    def __init__(self, vm: core.VmName, boot: str) -> None:
        self._prefix = f'{vm}:{boot}'
        self._numbers = itertools.count(1)

    def next_request(self) -> core.RequestId:
        """Return a request id that no other request ever has."""
        return core.RequestId(f'{self._prefix}:{next(self._numbers)}')


def run(
    context: Context, conn: callers.CallerConn, payload: bytes
) -> core.Message | None:
    """Run one command; CallerError tells what the caller did wrong."""
    if not payload:
        raise core.MalformedPacket('empty command')
    name = str(payload[0])
    if name not in COMMANDS:
        raise core.ProtocolError(f'command {payload[0]} is not known')
    return COMMANDS.get(name)(context, conn, payload)


def _command(number: int) -> Callable[[Command], Command]:
    return COMMANDS.register(str(int(number)))


@_command(_NUMBER.COM_QUIT)
def _quit(
    context: Context, conn: callers.CallerConn, payload: bytes
) -> core.Message | None:
    conn.closing = True
    return None


@_command(_NUMBER.COM_PING)
@_command(_NUMBER.COM_DEBUG)
def _ping(
    context: Context, conn: callers.CallerConn, payload: bytes
) -> core.Message | None:
    conn.reply_ok()
    return None


@_command(_NUMBER.COM_SET_OPTION)
def _set_option(
    context: Context, conn: callers.CallerConn, payload: bytes
) -> core.Message | None:
    conn.reply(
        packets.make_eof(
            wire.CALLER_CAPABILITIES,
            types.ServerStatus.SERVER_STATUS_AUTOCOMMIT,
        )
    )
    return None


@_command(_NUMBER.COM_INIT_DB)
def _init_db(
    context: Context, conn: callers.CallerConn, payload: bytes
) -> core.Message | None:
    name = core.DatabaseName(_text(payload[1:]))
    conn.phase = callers.Phase.ADMISSION
    return core.UseDatabase(conn.session_id, name)


@_command(_NUMBER.COM_QUERY)
def _query(
    context: Context, conn: callers.CallerConn, payload: bytes
) -> core.Message | None:
    sql = _text(payload[1:])
    if _GET_TOKEN.match(sql):
        conn.phase = callers.Phase.ADMISSION
        return core.TokenRequest(conn.session_id)
    token = _SET_TOKEN.match(sql)
    if token is not None:
        base = conn.marks or core.Marks()
        conn.marks = dataclasses.replace(base, token=token.group(1))
        conn.reply_ok()
        return None
    statement = statements.classify(sql)
    if statement.kind is core.StatementKind.LOCAL:
        return _local(context, conn, sql)
    given = marks.from_comment(sql)
    return _request(context, conn, statement, given, core.Payload(payload))


def _local(
    context: Context, conn: callers.CallerConn, sql: str
) -> core.Message | None:
    found = _AUTOCOMMIT.match(sql)
    if found is None:
        conn.reply_ok()
        return None
    conn.autocommit = found.group(1).lower() in ('1', 'on', 'true')
    if conn.autocommit and conn.in_transaction:
        commit = statements.classify('COMMIT')
        return _request(context, conn, commit, None, _COMMIT)
    conn.reply_ok()
    return None


@_command(_NUMBER.COM_STMT_PREPARE)
def _prepare(
    context: Context, conn: callers.CallerConn, payload: bytes
) -> core.Message | None:
    if len(conn.prepared) >= MAX_PREPARED:
        raise core.StatementUnsupported('too many prepared statements')
    sql = _text(payload[1:])
    statement = statements.classify(sql)
    prepared = callers.Prepared(sql, statement, marks.from_comment(sql))
    request = _request(context, conn, statement, None, core.Payload(payload))
    conn.preparing = prepared
    kind = core.StatementKind.PREPARE
    return dataclasses.replace(request, kind=kind, begin=None)


@_command(_NUMBER.COM_STMT_EXECUTE)
def _execute(
    context: Context, conn: callers.CallerConn, payload: bytes
) -> core.Message | None:
    prepared = _find(conn, payload)
    if payload[5:6] != b'\0':
        raise core.StatementUnsupported('cursors of prepared statements')
    command = _with_types(prepared, payload)
    encoded = core.Payload(
        command, prepared.sql.encode(), tuple(prepared.long_data)
    )
    prepared.long_data.clear()
    return _request(context, conn, prepared.statement, prepared.marks, encoded)


@_command(_NUMBER.COM_STMT_SEND_LONG_DATA)
def _send_long_data(
    context: Context, conn: callers.CallerConn, payload: bytes
) -> core.Message | None:
    prepared = _find(conn, payload)
    held = sum(len(one) for one in prepared.long_data) + len(payload)
    if held > MAX_LONG_DATA_BYTES:
        prepared.long_data.clear()
        raise core.OversizePacket(f'long data of {held} bytes')
    prepared.long_data.append(payload)
    return None


@_command(_NUMBER.COM_STMT_RESET)
def _reset(
    context: Context, conn: callers.CallerConn, payload: bytes
) -> core.Message | None:
    _find(conn, payload).long_data.clear()
    conn.reply_ok()
    return None


@_command(_NUMBER.COM_STMT_CLOSE)
def _close(
    context: Context, conn: callers.CallerConn, payload: bytes
) -> core.Message | None:
    conn.prepared.pop(int.from_bytes(payload[STATEMENT_ID], 'little'), None)
    return None


def _find(conn: callers.CallerConn, payload: bytes) -> callers.Prepared:
    number = int.from_bytes(payload[STATEMENT_ID], 'little')
    if len(payload) < STATEMENT_ID.stop or number not in conn.prepared:
        raise core.MalformedPacket(f'no prepared statement {number}')
    return conn.prepared[number]


def _with_types(prepared: callers.Prepared, payload: bytes) -> bytes:
    """Add the parameter types that a driver sends only once."""
    count = prepared.parameters
    if not count:
        return payload
    place = EXECUTE_HEAD_BYTES + (count + 7) // 8
    if len(payload) <= place:
        raise core.MalformedPacket('execute without parameters')
    types_end = place + 1 + 2 * count
    if payload[place] == 1:
        prepared.types = payload[place + 1 : types_end]
        return payload
    if not prepared.types:
        raise core.MalformedPacket('execute without parameter types')
    return payload[:place] + b'\1' + prepared.types + payload[place + 1 :]


def _request(
    context: Context,
    conn: callers.CallerConn,
    statement: statements.Statement,
    given: core.Marks | None,
    payload: core.Payload,
) -> core.Request:
    if statement.problem and not conn.in_transaction:
        raise core.StatementUnsupported(statement.problem)
    if conn.database is None:
        raise core.UnknownDatabase('no database selected')
    implicit = not conn.autocommit and not conn.in_transaction
    ending = statement.kind in (
        core.StatementKind.COMMIT,
        core.StatementKind.ROLLBACK,
    )
    begin = _BEGIN if implicit and not ending else None
    if begin is None and statement.keeps and not conn.in_transaction:
        begin = _PIN
    return core.Request(
        context.next_request(),
        conn.session_id,
        conn.caller,
        conn.database,
        statement.kind,
        statement.statement_class,
        payload,
        _merged(conn.marks, given),
        statement.tables,
        None,
        begin,
        statement.keeps,
    )


def _merged(base: core.Marks | None, given: core.Marks | None) -> core.Marks:
    if base is None or given is None:
        return given or base or core.Marks()
    changes = {
        field.name: getattr(given, field.name)
        for field in dataclasses.fields(core.Marks)
        if getattr(given, field.name) not in (None, False)
    }
    return dataclasses.replace(base, **changes)


def _text(data: bytes) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError as exc:
        raise core.MalformedPacket('text is not UTF-8') from exc


def token_rows(token: str) -> tuple[bytes, ...]:
    """Return the payloads of a result set that holds a session token."""
    column = results.ResultColumn(TOKEN_VARIABLE, types.ColumnType.VARCHAR)
    caps = wire.CALLER_CAPABILITIES
    eof = packets.make_eof(caps, types.ServerStatus.SERVER_STATUS_AUTOCOMMIT)
    return (
        packets.make_column_count(caps, 1),
        packets.make_column_definition_41(
            column.character_set, name=column.name
        ),
        eof,
        packets.make_text_resultset_row((token,), (column,)),
        eof,
    )
