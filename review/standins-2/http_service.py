"""A small HTTP/1.1 server: one handler for all calls, JSON bodies."""

import asyncio
import json
import urllib.parse


class HttpService:
    """Serve `handle(method, path, args, headers, body)` on one address.

    The handler is a coroutine that returns a status and a document.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self.address = None

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                first, *lines = head.decode('latin-1').split('\r\n')
                method, target, _ = first.split(' ', 2)
                headers = {}
                for line in filter(None, lines):
                    name, _, value = line.partition(':')
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get('content-length', '0'))
                body = await reader.readexactly(length) if length else b''
                path, _, query = target.partition('?')
                args = dict(urllib.parse.parse_qsl(query))
                status, document = await self._handle(
                    method, path, args, headers, body
                )
                data = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self):
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
