"""Client of a daemon's admin server."""

from __future__ import annotations

import base64
import http.client
import json
from typing import Any

from chicoryusher import core

__all__ = ['AdminClient']

CALL_TIMEOUT_S = 10.0
STATUS_OK = 200


class AdminClient:
    """Client that calls the admin server at one address."""

    def __init__(self, address: str, token: str) -> None:
        host, _, port = address.rpartition(':')
        if not host or not port.isdigit():
            raise core.AdminError(0, f'{address!r} is not HOST:PORT')
        self._host = host
        self._port = int(port)
        self._token = token

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Return the decoded answer.

        Raises AdminError if the call fails.
        """
        conn = http.client.HTTPConnection(
            self._host, self._port, timeout=CALL_TIMEOUT_S
        )
        data = json.dumps(body).encode() if body is not None else b''
        headers = {'Authorization': f'Bearer {self._token}'}
        try:
            conn.request(method, path, data, headers)
            response = conn.getresponse()
            document = json.loads(response.read() or b'null')
        except (OSError, ValueError, http.client.HTTPException) as exc:
            raise core.AdminError(0, f'no answer: {exc}') from exc
        finally:
            conn.close()
        if response.status != STATUS_OK:
            raise core.AdminError(response.status, json.dumps(document))
        return document

    def result_rows(self, path: str) -> list[dict[str, str]]:
        """Return the rows that a GET call answers."""
        return list(self.call('GET', path)['rows'])

    def fetch_register(self) -> tuple[int, Any]:
        """Return the current version and document, (0, None) without one."""
        row = self.result_rows('/register')[0]
        text = row['document']
        return int(row['version']), json.loads(text) if text else None

    def apply_register(
        self, document: bytes, expected: int, operator: str, at: str
    ) -> int:
        """Replace the register if its version is ``expected``.

        Returns the new version.
        """
        response = self.call(
            'PUT',
            '/register',
            {
                'document': base64.b64encode(document).decode(),
                'expected': expected,
                'operator': operator,
                'at': at,
            },
        )
        return int(response['version'])
