"""The platform's store and its promotions service."""

import asyncio
import base64
import json
import time

from standins import http

MAX_ROWS = 500


class Store(http.HttpServer):
    """Rows in tables, with transactions and a feed of changes.

    All answers are linearizable and take ``latency_s``.
    """

    latency_s = 0.004

    def __init__(self):
        self._rows = {}
        self._version = 1
        self._changed = asyncio.Event()

    def put(self, table, key, document, part=''):
        """Write a row as the operator or an instance does."""
        data = base64.b64encode(json.dumps(document).encode()).decode()
        self._write([(table, part, key, data)], [])

    def drop(self, table, key, part=''):
        self._write([], [(table, part, key)])

    def _write(self, puts, drops):
        self._version += 1
        for table, part, key, data in puts:
            self._rows[table, part, key] = (data, self._version)
        for row in drops:
            if row in self._rows:
                self._rows[row] = (None, self._version)
        self._changed.set()
        self._changed = asyncio.Event()

    def _document(self, row):
        table, part, key = row
        value, version = self._rows[row]
        document = {'table': table, 'part': part, 'key': key,
                    'rowVersion': version}
        if value is None:
            document['deleted'] = True
        else:
            document['value'] = value
        return document

    def _answer(self, **fields):
        return {**fields, 'rowVersion': self._version,
                'nowMs': int(time.monotonic() * 1000)}

    async def answer(self, method, path, query, headers, body):
        await asyncio.sleep(self.latency_s)
        if path == '/api/rows-tx':
            return self._transaction(json.loads(body))
        if path == '/api/rows-get':
            return self._get(query)
        if path == '/api/rows-feed':
            return await self._feed(query)
        return 404, {}

    def _transaction(self, document):
        conditions = [
            ((item['table'], item['part'], item['key']), item['rowVersion'])
            for item in document.get('expectedRevision', ())
        ]

        def version_of(row):
            value, version = self._rows.get(row, (None, 0))
            return 0 if value is None else version

        if any(version_of(row) != wanted for row, wanted in conditions):
            rows = [
                self._document(row) for row, _ in conditions if version_of(row)
            ]
            return 412, self._answer(rows=rows)
        self._write(
            [
                (item['table'], item['part'], item['key'], item['value'])
                for item in document.get('puts', ())
            ],
            [
                (item['table'], item['part'], item['key'])
                for item in document.get('remove', ())
            ],
        )
        return 200, self._answer()

    def _get(self, query):
        first, last = query.get('from', ''), query.get('to')
        limit = min(int(query.get('limit', MAX_ROWS)), MAX_ROWS)
        rows = sorted(
            row
            for row, (value, _) in self._rows.items()
            if row[:2] == (query['table'], query.get('part', ''))
            and value is not None
            and row[2] >= first
            and (last is None or row[2] < last)
        )
        return 200, self._answer(
            rows=[self._document(row) for row in rows[:limit]],
            hasMore=len(rows) > limit,
        )

    async def _feed(self, query):
        after = int(query['after'])
        end = time.monotonic() + int(query.get('waitMs', 0)) / 1000

        def changes():
            return sorted(
                (
                    self._document(row)
                    for row, (_, version) in self._rows.items()
                    if row[0] == query['table'] and version > after
                ),
                key=lambda document: document['rowVersion'],
            )

        while not (rows := changes()):
            left = end - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                break
        return 200, self._answer(rows=rows)


class Promotions(http.HttpServer):
    """Promotes instances; records each call with its holder and token."""

    latency_s = 0.016

    def __init__(self, record, groups):
        self._record = record
        self._groups = groups
        self.calls = []
        # Holders whose machines are cut off from this service.
        self.cut_off = set()

    async def arrives(self, headers, reader):
        """Hold up the calls of machines that are cut off.

        They arrive when the cut ends, unless the sender has given the
        connection up by then.
        """
        while headers.get('lease-holder', '').split('@')[0] in self.cut_off:
            await asyncio.sleep(0.01)
            if reader.at_eof() or reader.exception() is not None:
                return False
        return not reader.at_eof() and reader.exception() is None

    async def answer(self, method, path, query, headers, body):
        if path != '/promote':
            return 404, {}
        document = json.loads(body)
        call = self._record.add(
            'promote',
            service=document['service'],
            id=document['id'],
            holder=headers.get('lease-holder'),
            token=int(headers.get('fencing-token', -1)),
        )
        self.calls.append(call)
        await asyncio.sleep(self.latency_s)
        group = self._groups[document['service']]
        return (200 if group.order_promotion(document['id']) else 409), {}
