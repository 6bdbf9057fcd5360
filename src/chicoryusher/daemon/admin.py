"""The admin address: an operator's questions and changes, over HTTP."""

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

__all__ = ['Admin', 'CALLS']

ASK_TIMEOUT = 5.0
SCAN_ROWS = 500
OK = 200
BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
CONFLICT = 409
UNAVAILABLE = 503

_Conn = http_server.HttpConn
_Request = http_server.HttpRequest
Call = Callable[['Admin', _Conn, _Request], None]
CALLS: core.Registry[Call] = core.Registry('admin call')


@dataclasses.dataclass(slots=True)
class _Question:
    """An open question: who asked, and the answers still missing."""

    conn: _Conn
    missing: int
    rows: list[dict[str, str]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class _AskLate(core.Message):
    """A question may have had no answer for too long."""

    number: int


class Admin(runtime.Task):
    """Answer operators; guarded by a bearer token."""

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
        self._questions: dict[int, _Question] = {}
        self._scans: list[_Conn] = []

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready: runtime.SocketReady) -> None:
        self._server.ready(ready)

    def settled(self) -> None:
        """Send the answers written so far."""
        self._server.flush()

    def _handle(self, conn: _Conn, request: _Request) -> None:
        path = urllib.parse.urlsplit(request.path).path
        name = f'{request.method} {path}'
        good = hmac.compare_digest(
            request.token.encode(), self._token.encode()
        )
        if not good:
            self.log.emit(core.LogEvent.ADMIN_REFUSED, call=name)
            _problem(conn, UNAUTHORIZED, 'the token is missing or wrong')
            return
        if name not in CALLS:
            _problem(conn, NOT_FOUND, f'no call {name}')
            return
        self.log.emit(core.LogEvent.ADMIN_CALL, call=name)
        CALLS.get(name)(self, conn, request)

    def ask(self, conn: _Conn, receivers: list[core.TaskName]) -> None:
        """Ask tasks for their state and reply with all rows."""
        if not receivers:
            conn.reply(OK, {'rows': []})
            return
        number = next(self._numbers)
        self._questions[number] = _Question(conn, len(receivers))
        for receiver in receivers:
            self.send(receiver, tasks.Ask(self.task_name, number))
        self.after(ASK_TIMEOUT, _AskLate(number))

    @runtime.handles(tasks.Told)
    def _on_told(self, told: tasks.Told) -> None:
        question = self._questions.get(told.number)
        if question is None:
            return
        question.rows += [dict(row) for row in told.rows]
        question.missing -= 1
        if not question.missing:
            del self._questions[told.number]
            question.conn.reply(OK, {'rows': question.rows})

    @runtime.handles(_AskLate)
    def _on_late(self, late: _AskLate) -> None:
        question = self._questions.pop(late.number, None)
        if question is not None:
            _problem(question.conn, UNAVAILABLE, 'no answer in time')

    def apply(
        self,
        conn: _Conn,
        document: bytes,
        expected: int,
        operator: str,
        at: str,
    ) -> None:
        """Hand an operator's document to the configurator."""
        number = next(self._numbers)
        self._questions[number] = _Question(conn, 1)
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
        question = self._questions.pop(result.number, None)
        if question is None:
            return
        error = result.error
        if error is None:
            question.conn.reply(OK, {'version': result.version})
        elif isinstance(error, core.SettingsError):
            question.conn.reply(
                BAD_REQUEST,
                {
                    'problems': [
                        {'path': one.path, 'what': one.what}
                        for one in error.problems
                    ]
                },
            )
        elif isinstance(error, core.ConfigConflict):
            _problem(question.conn, CONFLICT, str(error))
        else:
            _problem(
                question.conn,
                UNAVAILABLE,
                f'{type(error).__name__}: {error}',
            )

    def scan(self, conn: _Conn, prefix: str, after: str) -> None:
        """Read rows of the platform's table for an operator."""
        self._scans.append(conn)
        self.send(
            tasks.names.table(self.vm),
            core.TableScan(self.task_name, prefix, after, SCAN_ROWS),
        )

    @runtime.handles(core.TableScanAnswer)
    def _on_scan(self, answer: core.TableScanAnswer) -> None:
        conn = self._scans.pop(0)
        if answer.error is not None:
            _problem(conn, UNAVAILABLE, str(answer.error))
            return
        rows = [
            {'key': one.key, **json.loads(one.value or b'{}')}
            for one in answer.rows
        ]
        conn.reply(OK, {'rows': rows})


def _problem(conn: _Conn, status: int, what: str) -> None:
    conn.reply(status, {'problem': what})


@CALLS.register('GET /status')
def _status(admin: Admin, conn: _Conn, request: _Request) -> None:
    admin.ask(conn, [tasks.names.node(admin.vm)])


@CALLS.register('GET /sessions')
def _sessions(admin: Admin, conn: _Conn, request: _Request) -> None:
    admin.ask(conn, [tasks.names.router(admin.vm)])


@CALLS.register('GET /databases')
def _databases(admin: Admin, conn: _Conn, request: _Request) -> None:
    admin.ask(
        conn,
        [tasks.names.group(admin.vm, name) for name in admin.node.groups],
    )


@CALLS.register('GET /gates')
def _gates(admin: Admin, conn: _Conn, request: _Request) -> None:
    admin.ask(
        conn,
        [tasks.names.gate(admin.vm, name) for name in admin.node.gates],
    )


@CALLS.register('GET /vms')
def _vms(admin: Admin, conn: _Conn, request: _Request) -> None:
    admin.ask(conn, [tasks.names.membership(admin.vm)])


@CALLS.register('GET /register')
def _register(admin: Admin, conn: _Conn, request: _Request) -> None:
    admin.ask(conn, [tasks.names.configurator(admin.vm)])


@CALLS.register('PUT /register')
def _apply(admin: Admin, conn: _Conn, request: _Request) -> None:
    try:
        body = json.loads(request.body)
        document = base64.b64decode(body['document'])
        expected = int(body['expected'])
        operator, at = str(body['operator']), str(body['at'])
    except (KeyError, TypeError, ValueError) as exc:
        _problem(conn, BAD_REQUEST, f'malformed call: {exc!r}')
        return
    admin.apply(conn, document, expected, operator, at)


@CALLS.register('GET /audit')
def _audit(admin: Admin, conn: _Conn, request: _Request) -> None:
    query = urllib.parse.urlsplit(request.path).query
    after = urllib.parse.parse_qs(query).get('after', [''])[0]
    admin.scan(conn, 'audit/', after)


@CALLS.register('POST /drain')
def _drain(admin: Admin, conn: _Conn, request: _Request) -> None:
    admin.send(admin.daemon, core.Drain(0.0))
    conn.reply(OK, {'state': 'draining'})
