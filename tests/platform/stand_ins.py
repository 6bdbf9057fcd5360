"""Stand-ins of the platform: its store and its promotions."""

from __future__ import annotations

import dataclasses
import itertools
import json
import os
import socket
import threading
import urllib.parse

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.runtime import http_server

HOST = '127.0.0.1'
# Ports below those that the system gives to outgoing connections, a block
# for each process of tests.
FIRST_PORT = 20000
BLOCKS = 300
PORTS_EACH = 40
_PORTS = itertools.count(FIRST_PORT + os.getpid() % BLOCKS * PORTS_EACH)


def free_port():
    """Return a port that nothing listens on and no call has returned."""
    for port in _PORTS:
        try:
            with socket.create_server((HOST, port)):
                return port
        except OSError:
            continue
    raise AssertionError('no port is free')


@dataclasses.dataclass(frozen=True, slots=True)
class _Late(core.Message):
    """A waiting question's time is over."""

    number: int


class HttpTask(runtime.Task):
    """A server on a port of its own."""

    def __init__(self, loop, name):
        super().__init__(loop, 'standin', name)
        listener = runtime.Listener((HOST, 0), loop.poller, self.task_name)
        self.address = listener.address
        self._server = http_server.HttpServer(listener, self._handle)
        self.calls = []

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready):
        self._server.ready(ready)

    def settled(self):
        self._server.flush()

    def _handle(self, conn, req):
        path, _, query = req.path.partition('?')
        args = dict(urllib.parse.parse_qsl(query))
        self.calls.append((path, args, req.body))
        self.answer(conn, path, args, req.body)


class StoreServer(HttpTask):
    """The store: tables, transactions, feeds that wait."""

    def __init__(self, loop):
        super().__init__(loop, 'store')
        self.rows = {}
        self.deleted = {}
        self.version = 0
        self.shut = set()
        self.forgotten = 0
        self.lose_writes = 0
        self.page = 500
        self._waits = {}
        self._number = 0

    def put(self, table, key, value, parts=('',)):
        self.version += 1
        for part in parts:
            self._put(table, key, value, part)
        self.wake()

    def _put(self, table, key, value, part=''):
        self.rows[table, part, key] = {
            'table': table,
            'part': part,
            'key': key,
            'value': value,
            'rowVersion': self.version,
        }

    def drop(self, table, key, part=''):
        self.version += 1
        row = self.rows.pop((table, part, key))
        gone = {**row, 'deleted': True, 'rowVersion': self.version}
        self.deleted[table, part, key] = gone
        self.wake()

    def answer(self, conn, path, args, body):
        parts = {args.get('part', '')} if path == '/api/rows-get' else set()
        if path == '/api/rows-tx':
            parts = {one['part'] for one in json.loads(body)['puts']}
        if parts & self.shut or 'all' in self.shut:
            conn.reply(503, {})
        elif path == '/api/rows-get':
            self._get(conn, args)
        elif path == '/api/rows-feed':
            self._feed(conn, args)
        else:
            self._transact(conn, json.loads(body))

    def _get(self, conn, args):
        rows = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if (table, part) == (args['table'], args.get('part', ''))
            and key >= args.get('from', '')
        ]
        more = len(rows) > self.page
        conn.reply(
            200,
            {
                'rows': rows[: self.page],
                'hasMore': more,
                'rowVersion': self.version,
            },
        )

    def _changes(self, table, after):
        found = [
            row
            for source in (self.rows, self.deleted)
            for (name, _, _), row in source.items()
            if name == table and row['rowVersion'] > after
        ]
        return sorted(found, key=lambda row: row['rowVersion'])

    def _feed(self, conn, args):
        after = int(args['after'])
        if after < self.forgotten:
            conn.reply(410, {})
            return
        self._number += 1
        self._waits[self._number] = (conn, args['table'], after)
        self.after(int(args['waitMs']) / 1000, _Late(self._number))
        self.wake()

    def wake(self):
        for number, (conn, table, after) in tuple(self._waits.items()):
            rows = self._changes(table, after)
            if rows:
                del self._waits[number]
                self._reply(conn, rows)
        self._server.flush()

    @runtime.handles(_Late)
    def _on_late(self, late):
        wait = self._waits.pop(late.number, None)
        if wait is not None:
            self._reply(wait[0], [])

    def _reply(self, conn, rows):
        conn.reply(200, {'rows': rows, 'rowVersion': self.version})

    def _transact(self, conn, body):
        current = []
        met = True
        for one in body['expectedRevision']:
            row = self.rows.get((one['table'], one['part'], one['key']))
            if row is not None:
                current.append(row)
            if (row or {'rowVersion': 0})['rowVersion'] != one['rowVersion']:
                met = False
        if met:
            self.version += 1
            for one in body['puts']:
                place = (one['table'], one['key'], one['value'])
                self._put(*place, one['part'])
            self.wake()
        if self.lose_writes:
            self.lose_writes -= 1
            conn.stream.abort()
        elif met:
            conn.reply(200, {'rowVersion': self.version})
        else:
            conn.reply(412, {'rows': current})


class PromoteServer(HttpTask):
    """The platform's promotions."""

    def __init__(self, loop):
        super().__init__(loop, 'promote')
        self.status = 200
        self.silent = False

    def answer(self, conn, path, args, body):
        if not self.silent:
            conn.reply(self.status, {})


class Inbox(runtime.Task):
    """Keeps what a task was told."""

    def __init__(self, loop, vm, name):
        super().__init__(loop, vm, name)
        self.messages = []

    def of(self, kind):
        return [one for one in self.messages if isinstance(one, kind)]


def _keep(inbox, message):
    inbox.messages.append(message)


for _kind in vars(core).values():
    if isinstance(_kind, type) and issubclass(_kind, core.Message):
        Inbox.handlers = {**Inbox.handlers, _kind: _keep}


def run_until(loop, condition, turns=4000):
    """Turn the loop on real sockets until the condition holds."""
    loop._running = True
    loop._executing_thread = threading.current_thread()
    for _ in range(turns):
        if condition():
            return
        loop.tick(timeout=0.005)
    raise AssertionError('the condition never held')
