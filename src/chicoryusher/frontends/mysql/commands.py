"""Handlers of the MySQL protocol's commands.

Each handler is registered under its command code. It either writes an
answer to the caller's connection or returns a message for the router.
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
from chicoryusher.frontends.mysql import caller_conn
from chicoryusher.frontends.mysql import marks
from chicoryusher.frontends.mysql import statements

__all__ = [
    'COMMAND_HANDLERS',
    'RequestIds',
    'has_answer',
    'SESSION_TOKEN_VARIABLE',
    'run_command',
    'token_result_set',
]

SESSION_TOKEN_VARIABLE = '@@chicoryusher_token'
MAX_PREPARED_STATEMENTS = 4096
# Memory that a prepared statement takes besides its text.
PREPARED_ENTRY_BYTES = 1024
MAX_LONG_DATA_BYTES = 64 * 1024 * 1024
EXECUTE_HEADER_BYTES = 10
STATEMENT_ID_SLICE = slice(1, 5)
_CODES = types.Commands
_COMMANDS_WITHOUT_ANSWER = (
    bytes([_CODES.COM_STMT_SEND_LONG_DATA]),
    bytes([_CODES.COM_STMT_CLOSE]),
)
_BEGIN_PAYLOAD = core.Payload(bytes([_CODES.COM_QUERY]) + b'START TRANSACTION')
# Sent as ``begin`` before a statement that changes the state of its backend
# connection outside of a transaction. The command has no effect; with it the
# session keeps the connection as in a transaction.
_PIN_PAYLOAD = core.Payload(bytes([_CODES.COM_QUERY]) + b'DO 0')
_COMMIT_PAYLOAD = core.Payload(bytes([_CODES.COM_QUERY]) + b'COMMIT')
_SET_AUTOCOMMIT = re.compile(
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

CommandHandler = Callable[
    ['RequestIds', caller_conn.CallerConn, bytes], core.Message | None
]
COMMAND_HANDLERS: core.Registry[CommandHandler] = core.Registry('command')


class RequestIds:
    """Source of unique request ids."""

    def __init__(self, vm: core.VmName, incarnation: str) -> None:
        self._prefix = f'{vm}:{incarnation}'
        self._numbers = itertools.count(1)

    def next_id(self) -> core.RequestId:
        """Return a new request id, unique over all VMs and restarts."""
        return core.RequestId(f'{self._prefix}:{next(self._numbers)}')


def run_command(
    request_ids: RequestIds, conn: caller_conn.CallerConn, payload: bytes
) -> core.Message | None:
    """Run the handler of a command.

    Returns the message to send to the router, if any. Raises CallerError if
    the command is refused.
    """
    if not payload:
        raise core.MalformedPacket('empty command')
    name = str(payload[0])
    if name not in COMMAND_HANDLERS:
        raise core.ProtocolError(f'command {payload[0]} is not known')
    return COMMAND_HANDLERS.get(name)(request_ids, conn, payload)


def has_answer(payload: bytes) -> bool:
    """Return whether the protocol has an answer to a command."""
    return payload[:1] not in _COMMANDS_WITHOUT_ANSWER


def _handles(code: int) -> Callable[[CommandHandler], CommandHandler]:
    return COMMAND_HANDLERS.register(str(int(code)))


@_handles(_CODES.COM_QUIT)
def _quit(
    request_ids: RequestIds, conn: caller_conn.CallerConn, payload: bytes
) -> core.Message | None:
    conn.closing = True
    return None


@_handles(_CODES.COM_PING)
@_handles(_CODES.COM_DEBUG)
def _ping(
    request_ids: RequestIds, conn: caller_conn.CallerConn, payload: bytes
) -> core.Message | None:
    conn.reply_ok()
    return None


@_handles(_CODES.COM_SET_OPTION)
def _set_option(
    request_ids: RequestIds, conn: caller_conn.CallerConn, payload: bytes
) -> core.Message | None:
    conn.reply(
        packets.make_eof(
            wire.CALLER_CAPABILITIES,
            types.ServerStatus.SERVER_STATUS_AUTOCOMMIT,
        )
    )
    return None


@_handles(_CODES.COM_INIT_DB)
def _init_db(
    request_ids: RequestIds, conn: caller_conn.CallerConn, payload: bytes
) -> core.Message | None:
    name = core.DatabaseName(_decode_text(payload[1:]))
    conn.phase = caller_conn.ConnPhase.AWAITING_ROUTER
    return core.UseDatabase(conn.session_id, name)


@_handles(_CODES.COM_QUERY)
def _query(
    request_ids: RequestIds, conn: caller_conn.CallerConn, payload: bytes
) -> core.Message | None:
    sql = _decode_text(payload[1:])
    if _GET_TOKEN.match(sql):
        conn.phase = caller_conn.ConnPhase.AWAITING_ROUTER
        return core.TokenRequest(conn.session_id)
    token = _SET_TOKEN.match(sql)
    if token is not None:
        session_marks = conn.marks or core.Marks()
        conn.marks = dataclasses.replace(session_marks, token=token.group(1))
        conn.reply_ok()
        return None
    statement = statements.classify(sql)
    if statement.kind is core.StatementKind.LOCAL:
        return _set_session_option(request_ids, conn, sql)
    statement_marks = marks.marks_from_comments(sql)
    return _request(
        request_ids, conn, statement, statement_marks, core.Payload(payload)
    )


def _set_session_option(
    request_ids: RequestIds, conn: caller_conn.CallerConn, sql: str
) -> core.Message | None:
    """Handle a SET statement that the front end answers itself.

    Turning autocommit on commits an open transaction.
    """
    matched = _SET_AUTOCOMMIT.match(sql)
    if matched is None:
        conn.reply_ok()
        return None
    conn.autocommit = matched.group(1).lower() in ('1', 'on', 'true')
    if conn.autocommit and conn.in_transaction:
        commit = statements.classify('COMMIT')
        return _request(request_ids, conn, commit, None, _COMMIT_PAYLOAD)
    conn.reply_ok()
    return None


@_handles(_CODES.COM_STMT_PREPARE)
def _prepare(
    request_ids: RequestIds, conn: caller_conn.CallerConn, payload: bytes
) -> core.Message | None:
    if len(conn.prepared) >= MAX_PREPARED_STATEMENTS:
        raise core.StatementUnsupported('too many prepared statements')
    sql = _decode_text(payload[1:])
    conn.check_keep(len(payload) + PREPARED_ENTRY_BYTES)
    statement = statements.classify(sql)
    prepared = caller_conn.PreparedStatement(
        sql,
        statement,
        marks.marks_from_comments(sql),
        kept_bytes=len(payload) + PREPARED_ENTRY_BYTES,
    )
    request = _request(
        request_ids, conn, statement, None, core.Payload(payload)
    )
    conn.pending_prepare = prepared
    kind = core.StatementKind.PREPARE
    return dataclasses.replace(request, kind=kind, begin_payload=None)


@_handles(_CODES.COM_STMT_EXECUTE)
def _execute(
    request_ids: RequestIds, conn: caller_conn.CallerConn, payload: bytes
) -> core.Message | None:
    prepared = _find_prepared(conn, payload)
    if payload[5:6] != b'\0':
        raise core.StatementUnsupported('cursors of prepared statements')
    command = _with_parameter_types(prepared, payload)
    encoded = core.Payload(
        command, prepared.sql.encode(), tuple(prepared.long_data)
    )
    _drop_long_data(conn, prepared)
    return _request(
        request_ids, conn, prepared.statement, prepared.marks, encoded
    )


@_handles(_CODES.COM_STMT_SEND_LONG_DATA)
def _send_long_data(
    request_ids: RequestIds, conn: caller_conn.CallerConn, payload: bytes
) -> core.Message | None:
    prepared = _find_prepared(conn, payload)
    pending_bytes = prepared.long_data_bytes + len(payload)
    if pending_bytes > MAX_LONG_DATA_BYTES:
        _drop_long_data(conn, prepared)
        raise core.OversizePacket(f'long data of {pending_bytes} bytes')
    conn.keep(len(payload))
    prepared.long_data.append(payload)
    return None


def _drop_long_data(
    conn: caller_conn.CallerConn, prepared: caller_conn.PreparedStatement
) -> None:
    conn.kept_bytes -= prepared.long_data_bytes
    prepared.long_data.clear()


@_handles(_CODES.COM_STMT_RESET)
def _reset(
    request_ids: RequestIds, conn: caller_conn.CallerConn, payload: bytes
) -> core.Message | None:
    _drop_long_data(conn, _find_prepared(conn, payload))
    conn.reply_ok()
    return None


@_handles(_CODES.COM_STMT_CLOSE)
def _close(
    request_ids: RequestIds, conn: caller_conn.CallerConn, payload: bytes
) -> core.Message | None:
    statement_id = int.from_bytes(payload[STATEMENT_ID_SLICE], 'little')
    prepared = conn.prepared.pop(statement_id, None)
    if prepared is not None:
        _drop_long_data(conn, prepared)
        conn.kept_bytes -= prepared.kept_bytes
    return None


def _find_prepared(
    conn: caller_conn.CallerConn, payload: bytes
) -> caller_conn.PreparedStatement:
    statement_id = int.from_bytes(payload[STATEMENT_ID_SLICE], 'little')
    if (
        len(payload) < STATEMENT_ID_SLICE.stop
        or statement_id not in conn.prepared
    ):
        raise core.MalformedPacket(f'no prepared statement {statement_id}')
    return conn.prepared[statement_id]


def _with_parameter_types(
    prepared: caller_conn.PreparedStatement, payload: bytes
) -> bytes:
    """Return an execute command that contains the parameter types.

    Drivers send the types only with the first execute of a statement; the
    types of that command are added to later ones.
    """
    count = prepared.parameter_count
    if not count:
        return payload
    types_flag_at = EXECUTE_HEADER_BYTES + (count + 7) // 8
    if len(payload) <= types_flag_at:
        raise core.MalformedPacket('execute without parameters')
    types_end = types_flag_at + 1 + 2 * count
    if payload[types_flag_at] == 1:
        prepared.parameter_types = payload[types_flag_at + 1 : types_end]
        return payload
    if not prepared.parameter_types:
        raise core.MalformedPacket('execute without parameter types')
    return (
        payload[:types_flag_at]
        + b'\1'
        + prepared.parameter_types
        + payload[types_flag_at + 1 :]
    )


def _request(
    request_ids: RequestIds,
    conn: caller_conn.CallerConn,
    statement: statements.ClassifiedStatement,
    statement_marks: core.Marks | None,
    payload: core.Payload,
) -> core.Request:
    if statement.refusal_reason and not conn.in_transaction:
        raise core.StatementUnsupported(statement.refusal_reason)
    if conn.database is None:
        raise core.UnknownDatabase('no database selected')
    starts_implicitly = not conn.autocommit and not conn.in_transaction
    ends_transaction = statement.kind in (
        core.StatementKind.COMMIT,
        core.StatementKind.ROLLBACK,
    )
    begin = (
        _BEGIN_PAYLOAD if starts_implicitly and not ends_transaction else None
    )
    if begin is None and statement.pins_connection and not conn.in_transaction:
        begin = _PIN_PAYLOAD
    return core.Request(
        request_ids.next_id(),
        conn.session_id,
        conn.caller,
        conn.database,
        statement.kind,
        statement.statement_class,
        payload,
        _merge_marks(conn.marks, statement_marks),
        statement.tables,
        None,
        begin,
        statement.pins_connection,
    )


def _merge_marks(
    session_marks: core.Marks | None, statement_marks: core.Marks | None
) -> core.Marks:
    """Return the marks of a statement, with defaults from its session."""
    if session_marks is None or statement_marks is None:
        return statement_marks or session_marks or core.Marks()
    overrides = {
        field.name: getattr(statement_marks, field.name)
        for field in dataclasses.fields(core.Marks)
        if getattr(statement_marks, field.name) not in (None, False)
    }
    return dataclasses.replace(session_marks, **overrides)


def _decode_text(data: bytes) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError as exc:
        raise core.MalformedPacket('text is not UTF-8') from exc


def token_result_set(token: str) -> tuple[bytes, ...]:
    """Return the packets of a result set that contains the session token."""
    column = results.ResultColumn(
        SESSION_TOKEN_VARIABLE, types.ColumnType.VARCHAR
    )
    capabilities = wire.CALLER_CAPABILITIES
    eof = packets.make_eof(
        capabilities, types.ServerStatus.SERVER_STATUS_AUTOCOMMIT
    )
    return (
        packets.make_column_count(capabilities, 1),
        packets.make_column_definition_41(
            column.character_set, name=column.name
        ),
        eof,
        packets.make_text_resultset_row((token,), (column,)),
        eof,
    )
