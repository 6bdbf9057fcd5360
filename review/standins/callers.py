"""Sessions of callers."""

import asyncio
import itertools
import secrets


class Session:
    """One connection of a caller; one request at a time."""

    _numbers = itertools.count(1)

    def __init__(self, record, address, database):
        self._record = record
        self._address = address
        self._database = database
        self.name = f's{next(self._numbers)}'
        self.state = '-'
        self._writer = None

    async def connect(self):
        """Open the connection."""
        self._reader, self._writer = await asyncio.open_connection(
            *self._address, limit=2 * 1024 * 1024
        )
        return self

    async def start(self, timeout=2.0):
        """Connect if need be, and start.

        Raises OSError without READY in time.
        """

        async def call():
            if self._writer is None or self._writer.is_closing():
                await self.connect()
            self._writer.write(f'START {self._database} u1\r\n'.encode())
            line = await self._line()
            if not line.startswith('READY'):
                raise ConnectionError(line)
            self.state = line.split(' ')[1]

        try:
            await asyncio.wait_for(call(), timeout)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError) as exc:
            raise ConnectionError('no READY') from exc
        return self

    async def _line(self):
        line = await self._reader.readuntil(b'\r\n')
        return line[:-2].decode('latin-1')

    async def query(self, text, request_id=None):
        """Send a request; return its answer.

        The answer has the id, the rows and the last line. ``end`` is 'CUT' if
        the connection ended without a complete answer.
        """
        request_id = request_id or secrets.token_hex(8)
        self._record.add('sent', session=self.name, id=request_id,
                         database=self._database, text=text[:60])
        rows, end = [], 'CUT'
        try:
            self._writer.write(f'QUERY {request_id} {text}\r\n'.encode())
            while True:
                line = await self._line()
                word, _, rest = line.partition(' ')
                if word == 'ROW':
                    rows.append(rest)
                elif word == 'READY':
                    self.state, _, position = rest.partition(' ')
                    break
                else:
                    last = line
            end = last
        except (asyncio.IncompleteReadError, OSError):
            self.state = 'closed'
            self._writer.close()
        self._record.add('answered', session=self.name, id=request_id,
                         end=end, rows=rows, state=self.state)
        return {'id': request_id, 'rows': rows, 'end': end}

    async def send(self, text, size):
        """Send a statement that is filled up to a size; wait for no answer."""
        request_id = secrets.token_hex(8)
        self._record.add('sent', session=self.name, id=request_id,
                         database=self._database, text=text[:60], size=size)
        line = f'QUERY {request_id} {text}'.encode()
        self._writer.write(line.ljust(size, b'x') + b'\r\n')
        await self._writer.drain()

    async def drain(self):
        """Read and drop what arrives."""
        try:
            while await self._reader.read(65536):
                pass
        except OSError:
            pass

    def close(self):
        self._writer.close()

    def abort(self):
        if self._writer is not None:
            self._writer.transport.abort()


def succeeded(answer):
    return answer['end'].startswith('COMPLETE')
