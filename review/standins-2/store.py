"""The platform's metadata store (PROTOCOL.md): rows, transactions, feeds."""

import asyncio
import base64
import json
import time

import http_service

ANSWER_S = 0.004


class Store:
    """A sound store: linearizable, and it loses nothing."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self._log = []
        self._changed = asyncio.Event()
        self.service = http_service.HttpService(self._handle)

    def put(self, table, key, document, part=''):
        """Write a row as the operator or an instance does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.version += 1
        self._write(table, part, key, value)
        self._notify()

    def delete(self, table, key, part=''):
        self.version += 1
        if self.rows.pop((table, part, key), None) is not None:
            self._log.append(
                {
                    'table': table,
                    'part': part,
                    'key': key,
                    'deleted': True,
                    'rowVersion': self.version,
                }
            )
        self._notify()

    def documents(self, table, part=''):
        """Return the decoded rows of a table by key."""
        return {
            key: json.loads(base64.b64decode(row['value']))
            for (name, in_part, key), row in self.rows.items()
            if (name, in_part) == (table, part)
        }

    def _write(self, table, part, key, value):
        row = {
            'table': table,
            'part': part,
            'key': key,
            'value': value,
            'rowVersion': self.version,
        }
        self.rows[table, part, key] = row
        self._log.append(row)

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(self, **fields):
        now_ms = int(time.monotonic() * 1000)
        return 200, {**fields, 'rowVersion': self.version, 'nowMs': now_ms}

    async def _handle(self, method, path, args, headers, body):
        await asyncio.sleep(ANSWER_S)
        if path == '/api/rows-tx':
            return self._transact(json.loads(body))
        if path == '/api/rows-get':
            return self._get(args)
        if path == '/api/rows-feed':
            return await self._feed(args)
        return 404, {}

    def _transact(self, body):
        current, holds = [], True
        for item in body['expectedRevision']:
            row = self.rows.get((item['table'], item['part'], item['key']))
            if row is not None:
                current.append(row)
            if (row['rowVersion'] if row else 0) != item['rowVersion']:
                holds = False
        if not holds:
            return 412, {'rows': current}
        self.version += 1
        for item in body['puts']:
            self._write(
                item['table'], item['part'], item['key'], item['value']
            )
        self._notify()
        return self._answer()

    def _get(self, args):
        first, last = args.get('from', ''), args.get('to')
        rows = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if (table, part) == (args['table'], args.get('part', ''))
            and key >= first
            and (last is None or key < last)
        ]
        limit = min(500, int(args.get('limit', '500')))
        return self._answer(rows=rows[:limit], hasMore=len(rows) > limit)

    async def _feed(self, args):
        after, table = int(args['after']), args['table']
        ends_at = time.monotonic() + min(30.0, int(args['waitMs']) / 1000)
        while True:
            newest = {}
            for row in self._log:
                if row['table'] == table and row['rowVersion'] > after:
                    newest.pop((row['part'], row['key']), None)
                    newest[row['part'], row['key']] = row
            left = ends_at - time.monotonic()
            if newest or left <= 0:
                return self._answer(rows=list(newest.values()))
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                continue
