"""Consumers of the line protocol (PROTOCOL.md)."""

import asyncio
import itertools

_ids = itertools.count(1)


class Closed(Exception):
    """The connection ended, or an answer did not come in time."""


class Session:
    """One session: a connection on which statements run one by one."""

    def __init__(self, record, name):
        self._record = record
        self._name = name
        self._reader = self._writer = None
        self.state = 'I'

    async def open(self, address, database):
        try:
            self._reader, self._writer = await asyncio.wait_for(
                asyncio.open_connection(*address), 2.0
            )
            self._writer.write(f'START {database} u1\r\n'.encode())
            return await self._answer(2.0)
        except (OSError, asyncio.TimeoutError) as exc:
            raise Closed(repr(exc)) from exc

    async def query(self, text, limit_s=4.0):
        """Send a statement; return the code of its error, '' for none."""
        return (await self.write(text, limit_s))[1]

    async def write(self, text, limit_s=4.0):
        """Send a statement; return its id, and the code of its error."""
        request_id = f'{self._name}.{next(_ids)}'
        self._record.write(f'sent     {request_id} {text}')
        try:
            self._writer.write(f'QUERY {request_id} {text}\r\n'.encode())
            code = await self._answer(limit_s)
        except (OSError, asyncio.TimeoutError) as exc:
            self._record.write(f'unanswered {request_id} {exc!r}')
            raise Closed(repr(exc)) from exc
        self._record.write(f'answered {request_id} {code or "ok"}')
        return request_id, code

    async def _answer(self, limit_s):
        code = ''
        while True:
            line = await asyncio.wait_for(self._reader.readline(), limit_s)
            if not line:
                raise ConnectionResetError('closed')
            word, _, rest = line.decode('latin-1').strip().partition(' ')
            if word == 'ERROR':
                code = rest.partition(' ')[0]
            elif word == 'READY':
                self.state = rest.partition(' ')[0]
                return code

    def close(self):
        if self._writer is not None:
            self._writer.close()
            self._writer = None
