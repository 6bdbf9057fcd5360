"""The admin server: HTTP calls with which operators query and change."""

from __future__ import annotations

import base64
import dataclasses
import hmac
import itertools
import json
import urllib.parse
from collections.abc import Callable

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher import tasks
from chicoryusher.runtime import http_server

__all__ = ['AdminServer', 'CALL_HANDLERS']

STATE_QUERY_TIMEOUT_S = 5.0
MAX_SCAN_ROWS = 500
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503

_Conn = http_server.HttpConn
_Request = http_server.HttpRequest
CallHandler = Callable[['AdminServer', _Conn, _Request], None]
CALL_HANDLERS: core.Registry[CallHandler] = core.Registry('admin call')


@dataclasses.dataclass(slots=True)
class _PendingCall:
    """An HTTP call that waits for replies of tasks.

    ``rows`` holds those received so far.
    """

    conn: _Conn
    missing_replies: int
    rows: list[dict[str, str]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class _QueryTimeout(core.Message):
    """Timer: fail the call if replies are still missing."""

    number: int


class AdminServer(runtime.Task):
    """Serve operators' HTTP calls that carry the bearer token."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        address: runtime.Address,
        token: str,
        node: tasks.Node,
        daemon: core.TaskName,
    ) -> None:
        super().__init__(loop, vm, 'admin')
        listener = runtime.Listener(address, loop.poller, self.task_name)
        self.address = listener.address
        self.node = node
        self.daemon = daemon
        self._token = token
        self._server = http_server.HttpServer(listener, self._handle)
        self._numbers = itertools.count(1)
        self._pending_calls: dict[int, _PendingCall] = {}
        self._scan_conns: list[_Conn] = []

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready: runtime.SocketReady) -> None:
        self._server.ready(ready)

    def settled(self) -> None:
        """Flush the answers that have been written."""
        self._server.flush()

    def _handle(self, conn: _Conn, request: _Request) -> None:
        path = urllib.parse.urlsplit(request.path).path
        call_name = f'{request.method} {path}'
        is_authorized = hmac.compare_digest(
            request.token.encode(), self._token.encode()
        )
        if not is_authorized:
            self.log.emit(core.LogEvent.ADMIN_REFUSED, call=call_name)
            _reply_problem(
                conn, STATUS_UNAUTHORIZED, 'the token is missing or wrong'
            )
            return
        if call_name not in CALL_HANDLERS:
            _reply_problem(conn, STATUS_NOT_FOUND, f'no call {call_name}')
            return
        self.log.emit(core.LogEvent.ADMIN_CALL, call=call_name)
        CALL_HANDLERS.get(call_name)(self, conn, request)

    def query_state(
        self,
        conn: _Conn,
        receivers: list[core.TaskName],
        query: type[tasks.StateQuery] = tasks.StateQuery,
    ) -> None:
        """Query the state of tasks; answer once all have replied."""
        if not receivers:
            conn.reply(STATUS_OK, {'rows': []})
            return
        number = next(self._numbers)
        self._pending_calls[number] = _PendingCall(conn, len(receivers))
        for receiver in receivers:
            self.send(receiver, query(self.task_name, number))
        self.after(STATE_QUERY_TIMEOUT_S, _QueryTimeout(number))

    @runtime.handles(tasks.StateReport)
    def _on_state_report(self, report: tasks.StateReport) -> None:
        pending = self._pending_calls.get(report.number)
        if pending is None:
            return
        pending.rows += [dict(row) for row in report.rows]
        pending.missing_replies -= 1
        if not pending.missing_replies:
            del self._pending_calls[report.number]
            pending.conn.reply(STATUS_OK, {'rows': pending.rows})

    @runtime.handles(_QueryTimeout)
    def _on_query_timeout(self, timeout: _QueryTimeout) -> None:
        pending = self._pending_calls.pop(timeout.number, None)
        if pending is not None:
            _reply_problem(
                pending.conn,
                STATUS_UNAVAILABLE,
                'some tasks did not reply in time',
            )

    def apply_register(
        self,
        conn: _Conn,
        document: bytes,
        expected: int,
        operator: str,
        at: str,
    ) -> None:
        """Send a register document to the configurator.

        It is applied if the current version is ``expected``.
        """
        number = next(self._numbers)
        self._pending_calls[number] = _PendingCall(conn, 1)
        self.send(
            tasks.names.configurator(self.vm),
            tasks.ApplyDocument(
                self.task_name,
                number,
                document,
                core.ConfigVersion(expected),
                core.OperatorName(operator),
                at,
            ),
        )

    @runtime.handles(tasks.ApplyResult)
    def _on_applied(self, result: tasks.ApplyResult) -> None:
        pending = self._pending_calls.pop(result.number, None)
        if pending is None:
            return
        error = result.error
        if error is None:
            pending.conn.reply(STATUS_OK, {'version': result.version})
        elif isinstance(error, core.SettingsError):
            pending.conn.reply(
                STATUS_BAD_REQUEST,
                {
                    'problems': [
                        {'path': entry.path, 'what': entry.defect}
                        for entry in error.problems
                    ]
                },
            )
        elif isinstance(error, core.ConfigConflict):
            _reply_problem(pending.conn, STATUS_CONFLICT, str(error))
        else:
            _reply_problem(
                pending.conn,
                STATUS_UNAVAILABLE,
                f'{type(error).__name__}: {error}',
            )

    def read_table_rows(self, conn: _Conn, prefix: str, after: str) -> None:
        """Read rows of the platform's table, with keys after ``after``."""
        self._scan_conns.append(conn)
        self.send(
            tasks.names.platform_client(self.vm),
            core.TableScan(self.task_name, prefix, after, MAX_SCAN_ROWS),
        )

    @runtime.handles(core.TableScanAnswer)
    def _on_scan(self, answer: core.TableScanAnswer) -> None:
        conn = self._scan_conns.pop(0)
        if answer.error is not None:
            _reply_problem(conn, STATUS_UNAVAILABLE, str(answer.error))
            return
        rows = [
            {'key': entry.key, **json.loads(entry.value or b'{}')}
            for entry in answer.rows
        ]
        conn.reply(STATUS_OK, {'rows': rows})


def _reply_problem(conn: _Conn, status: int, problem: str) -> None:
    conn.reply(status, {'problem': problem})


@CALL_HANDLERS.register('GET /status')
def _status(admin: AdminServer, conn: _Conn, request: _Request) -> None:
    admin.query_state(conn, [tasks.names.node(admin.vm)])


@CALL_HANDLERS.register('GET /sessions')
def _sessions(admin: AdminServer, conn: _Conn, request: _Request) -> None:
    admin.query_state(conn, [tasks.names.router(admin.vm)])


@CALL_HANDLERS.register('GET /teams')
def _teams(admin: AdminServer, conn: _Conn, request: _Request) -> None:
    admin.query_state(conn, [tasks.names.router(admin.vm)], tasks.TeamsQuery)


@CALL_HANDLERS.register('GET /databases')
def _databases(admin: AdminServer, conn: _Conn, request: _Request) -> None:
    admin.query_state(
        conn,
        [
            tasks.names.group_monitor(admin.vm, name)
            for name in admin.node.groups
        ],
    )


@CALL_HANDLERS.register('GET /gates')
def _gates(admin: AdminServer, conn: _Conn, request: _Request) -> None:
    admin.query_state(
        conn,
        [tasks.names.gate(admin.vm, name) for name in admin.node.gates],
    )


@CALL_HANDLERS.register('GET /vms')
def _vms(admin: AdminServer, conn: _Conn, request: _Request) -> None:
    admin.query_state(conn, [tasks.names.membership(admin.vm)])


@CALL_HANDLERS.register('GET /register')
def _register(admin: AdminServer, conn: _Conn, request: _Request) -> None:
    admin.query_state(conn, [tasks.names.configurator(admin.vm)])


@CALL_HANDLERS.register('PUT /register')
def _apply(admin: AdminServer, conn: _Conn, request: _Request) -> None:
    try:
        body = json.loads(request.body)
        document = base64.b64decode(body['document'])
        expected = int(body['expected'])
        operator, at = str(body['operator']), str(body['at'])
    except (KeyError, TypeError, ValueError) as exc:
        _reply_problem(conn, STATUS_BAD_REQUEST, f'malformed call: {exc!r}')
        return
    admin.apply_register(conn, document, expected, operator, at)


@CALL_HANDLERS.register('GET /audit')
def _audit(admin: AdminServer, conn: _Conn, request: _Request) -> None:
    query = urllib.parse.urlsplit(request.path).query
    after = urllib.parse.parse_qs(query).get('after', [''])[0]
    admin.read_table_rows(conn, 'audit/', after)


@CALL_HANDLERS.register('POST /drain')
def _drain(admin: AdminServer, conn: _Conn, request: _Request) -> None:
    admin.send(admin.daemon, core.Drain(0.0))
    conn.reply(STATUS_OK, {'state': 'draining'})
