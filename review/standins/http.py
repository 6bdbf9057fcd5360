"""A small HTTP/1.1 server and client on asyncio."""

import asyncio
import json
import urllib.parse

REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 410: 'Gone',
           412: 'Precondition Failed', 503: 'Service Unavailable'}


async def read_message(reader):
    """Return the first line, the headers and the body; None at the end."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return first, headers, body


class HttpServer:
    """Serve requests one after another on each connection.

    Subclasses implement ``answer(method, path, query, headers, body)``, which
    returns a status and a document.
    """

    async def arrives(self, headers, reader):
        """Wait until a request arrives; return whether it does."""
        return True

    async def listen(self, host, port=0):
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                if not await self.arrives(headers, reader):
                    return
                method, target, _ = first.split(' ')
                path, _, text = target.partition('?')
                query = dict(urllib.parse.parse_qsl(text))
                status, document = await self.answer(
                    method, path, query, headers, body
                )
                data = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} {REASONS.get(status, "-")}\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


async def get_status(address, path, timeout=1.0):
    """Return the status of a GET request, 0 without an answer."""

    async def call():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(
                f'GET {path} HTTP/1.1\r\nHost: ready\r\n\r\n'.encode()
            )
            first, _, _ = await read_message(reader)
            return int(first.split(' ')[1])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return 0
