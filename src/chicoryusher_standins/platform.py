"""Test double of the platform: table, object store and list of VMs."""

from __future__ import annotations

import base64
import dataclasses
import json
import urllib.parse
from typing import Any

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher import tasks
from chicoryusher.runtime import http_server

__all__ = ['PlatformModel', 'PlatformServer', 'Row']

OK = 200
NOT_FOUND = 404
CONFLICT = 409


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Value and version of one key."""

    version: int
    value: bytes


@dataclasses.dataclass(slots=True)
class PlatformModel:
    """Table, object store and list of VMs, with faults set by tests.

    While ``down`` no call is answered.  Every answer is delayed by
    ``slow`` seconds.  The next ``lose_answers`` writes are done, but their
    answers are dropped.
    """

    rows: dict[str, Row] = dataclasses.field(default_factory=dict)
    objects: dict[str, bytes] = dataclasses.field(default_factory=dict)
    vms: dict[str, bool] = dataclasses.field(default_factory=dict)
    down: bool = False
    slow: float = 0.0
    lose_answers: int = 0
    reads: int = 0
    writes: int = 0

    def get(self, key: str) -> Row | None:
        """Return a row, or None."""
        self.reads += 1
        return self.rows.get(key)

    def put(self, key: str, value: bytes, expected: int) -> Row | None:
        """Write a row if its version is ``expected``; else return None."""
        self.writes += 1
        current = self.rows.get(key)
        if (current.version if current is not None else 0) != expected:
            return None
        row = Row(expected + 1, value)
        self.rows[key] = row
        return row

    def put_config(self, document: bytes) -> None:
        """Publish a document as the next version of the configuration."""
        key = decisions.config_object_key(document)
        self.objects[key] = document
        current = self.rows.get(tasks.CONFIG_KEY)
        pointer = decisions.encode_config_pointer(key)
        expected = current.version if current is not None else 0
        self.put(tasks.CONFIG_KEY, pointer, expected)

    def scan(
        self, prefix: str, after: str, limit: int
    ) -> list[tuple[str, Row]]:
        """Return rows in key order, beginning after the key ``after``."""
        self.reads += 1
        keys = sorted(
            key for key in self.rows if key.startswith(prefix) and key > after
        )
        return [(key, self.rows[key]) for key in keys[:limit]]


@dataclasses.dataclass(frozen=True, slots=True)
class _DelayedAnswer(core.Message):
    """The delay of an answer is over."""

    number: int


class PlatformServer(runtime.Task):
    """Serve a platform model over HTTP."""

    def __init__(
        self,
        loop: runtime.Runtime,
        model: PlatformModel,
        address: runtime.Address = ('127.0.0.1', 0),
    ) -> None:
        super().__init__(loop, '', 'platform-server')
        self.model = model
        listener = runtime.Listener(address, loop.poller, self.task_name)
        self.address = listener.address
        self._server = http_server.HttpServer(listener, self._handle)
        self._delayed_requests: dict[
            int, tuple[http_server.HttpConn, http_server.HttpRequest]
        ] = {}
        self._last_delayed_id = 0

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready: runtime.SocketReady) -> None:
        self._server.ready(ready)

    def settled(self) -> None:
        """Send the answers written since the last flush."""
        self._server.flush()

    def _handle(
        self, conn: http_server.HttpConn, request: http_server.HttpRequest
    ) -> None:
        if self.model.down:
            return
        if self.model.slow > 0:
            self._last_delayed_id += 1
            self._delayed_requests[self._last_delayed_id] = (conn, request)
            self.after(self.model.slow, _DelayedAnswer(self._last_delayed_id))
            return
        self._answer(conn, request)

    @runtime.handles(_DelayedAnswer)
    def _on_delayed_answer(self, delayed: _DelayedAnswer) -> None:
        self._answer(*self._delayed_requests.pop(delayed.number))

    def _answer(
        self, conn: http_server.HttpConn, request: http_server.HttpRequest
    ) -> None:
        parts = urllib.parse.urlsplit(request.path)
        if parts.path == '/vms':
            vms = [
                {'name': name, 'leaving': leaving}
                for name, leaving in sorted(self.model.vms.items())
            ]
            conn.reply(OK, {'vms': vms})
        elif parts.path == '/table':
            conn.reply(OK, {'rows': self._scan(parts.query)})
        elif parts.path.startswith('/objects/'):
            self._object(conn, request, parts.path[len('/objects/') :])
        elif parts.path.startswith('/table/'):
            key = urllib.parse.unquote(parts.path.removeprefix('/table/'))
            self._row(conn, request, key)
        else:
            conn.reply(NOT_FOUND, {})

    def _scan(self, query: str) -> list[dict[str, Any]]:
        parameters = dict(urllib.parse.parse_qsl(query))
        rows = self.model.scan(
            parameters.get('prefix', ''),
            parameters.get('after', ''),
            int(parameters.get('limit', 1000)),
        )
        return [{'key': key, **_document(row)} for key, row in rows]

    def _object(
        self,
        conn: http_server.HttpConn,
        request: http_server.HttpRequest,
        key: str,
    ) -> None:
        if request.method == 'PUT':
            body = json.loads(request.body)
            self.model.objects[key] = base64.b64decode(body['value'])
        value = self.model.objects.get(key)
        if value is None:
            conn.reply(NOT_FOUND, {})
            return
        conn.reply(OK, {'value': base64.b64encode(value).decode()})

    def _row(
        self,
        conn: http_server.HttpConn,
        request: http_server.HttpRequest,
        key: str,
    ) -> None:
        if request.method == 'GET':
            row = self.model.get(key)
            conn.reply(OK if row else NOT_FOUND, _document(row))
            return
        body = json.loads(request.body)
        value = base64.b64decode(body['value'])
        written = self.model.put(key, value, int(body['expected']))
        if self.model.lose_answers > 0:
            self.model.lose_answers -= 1
            return
        if written is None:
            conn.reply(CONFLICT, _document(self.model.rows.get(key)))
            return
        conn.reply(OK, _document(written))


def _document(row: Row | None) -> dict[str, Any]:
    if row is None:
        return {'version': 0, 'value': None}
    value = base64.b64encode(row.value).decode()
    return {'version': row.version, 'value': value}
