"""Calls of a daemon's admin address."""

from __future__ import annotations

import base64
import http.client
import json
from typing import Any

from chicoryusher import core

__all__ = ['AdminClient']

TIMEOUT = 10.0
OK = 200


class AdminClient:
    """A daemon's admin address, as the command line sees it."""

    def __init__(self, address: str, token: str) -> None:
        host, _, port = address.rpartition(':')
        if not host or not port.isdigit():
            raise core.AdminError(0, f'{address!r} is not HOST:PORT')
        self._host = host
        self._port = int(port)
        self._token = token

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Return the decoded answer; AdminError if the call fails."""
        conn = http.client.HTTPConnection(
            self._host, self._port, timeout=TIMEOUT
        )
        data = json.dumps(body).encode() if body is not None else b''
        headers = {'Authorization': f'Bearer {self._token}'}
        try:
            conn.request(method, path, data, headers)
            answer = conn.getresponse()
            document = json.loads(answer.read() or b'null')
        except (OSError, ValueError, http.client.HTTPException) as exc:
            raise core.AdminError(0, f'no answer: {exc}') from exc
        finally:
            conn.close()
        if answer.status != OK:
            raise core.AdminError(answer.status, json.dumps(document))
        return document

    def rows(self, path: str) -> list[dict[str, str]]:
        """Return the rows of a question."""
        return list(self.call('GET', path)['rows'])

    def register(self) -> tuple[int, Any]:
        """Return the version and document in force, (0, None) if none."""
        row = self.rows('/register')[0]
        text = row['document']
        return int(row['version']), json.loads(text) if text else None

    def apply(
        self, document: bytes, expected: int, operator: str, at: str
    ) -> int:
        """Replace version ``expected``; return the accepted version."""
        answer = self.call(
            'PUT',
            '/register',
            {
                'document': base64.b64encode(document).decode(),
                'expected': expected,
                'operator': operator,
                'at': at,
            },
        )
        return int(answer['version'])
