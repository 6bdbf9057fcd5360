"""Client of the platform's table, object store and list of VMs."""

from __future__ import annotations

import base64
import urllib.parse
from typing import Any

from chicoryusher import core
from chicoryusher import runtime

__all__ = ['PlatformClient']

PLATFORM_TIMEOUT = 1.0
OK = 200
CONFLICT = 409
NOT_FOUND = 404


class PlatformClient(runtime.HttpClient):
    """Turn table and list messages into calls of the platform."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        address: runtime.Address,
        token: str = '',
    ) -> None:
        super().__init__(
            loop, vm, 'platform', address, PLATFORM_TIMEOUT, token
        )
        self._down = False

    @runtime.handles(core.TableGet)
    def _on_get(self, message: core.TableGet) -> None:
        self.call(runtime.HttpCall('GET', _path(message.key), message))

    @runtime.handles(core.TablePut)
    def _on_put(self, message: core.TablePut) -> None:
        body = {
            'value': base64.b64encode(message.value).decode(),
            'expected': message.expected,
        }
        self.call(runtime.json_call('PUT', _path(message.key), message, body))

    @runtime.handles(core.TableScan)
    def _on_scan(self, message: core.TableScan) -> None:
        query = urllib.parse.urlencode(
            {
                'prefix': message.prefix,
                'after': message.after,
                'limit': message.limit,
            }
        )
        self.call(runtime.HttpCall('GET', f'/table?{query}', message))

    @runtime.handles(core.ObjectGet)
    def _on_object_get(self, message: core.ObjectGet) -> None:
        path = f'/objects/{message.key}'
        self.call(runtime.HttpCall('GET', path, message))

    @runtime.handles(core.ObjectPut)
    def _on_object_put(self, message: core.ObjectPut) -> None:
        body = {'value': base64.b64encode(message.value).decode()}
        path = f'/objects/{message.key}'
        self.call(runtime.json_call('PUT', path, message, body))

    @runtime.handles(core.VmListRequest)
    def _on_list(self, message: core.VmListRequest) -> None:
        self.call(runtime.HttpCall('GET', '/vms', message))

    def finished(
        self, call: runtime.HttpCall, result: runtime.HttpResult
    ) -> None:
        """Answer the task that asked."""
        self._note(result.error)
        context = call.context
        if isinstance(context, core.TableScan):
            self.send(context.reply_to, _scanned(context, result))
        elif isinstance(context, core.VmListRequest):
            self.send(context.reply_to, _listed(result))
        elif isinstance(context, core.ObjectGet | core.ObjectPut):
            self.send(context.reply_to, _object(context, result))
        elif isinstance(context, core.TableGet | core.TablePut):
            self.send(context.reply_to, _answered(context, result))

    def _note(self, error: core.PlatformError | None) -> None:
        down = error is not None
        if down == self._down:
            return
        self._down = down
        event = core.LogEvent.PLATFORM_BACK
        if down:
            event = core.LogEvent.PLATFORM_DOWN
        self.log.emit(event, why=str(error or ''))


def _path(key: str) -> str:
    return f'/table/{urllib.parse.quote(key, safe="")}'


def _problem(result: runtime.HttpResult) -> core.PlatformError | None:
    if result.error is not None:
        return result.error
    if result.status == CONFLICT:
        return core.PlatformRefused('the version has changed')
    if result.status not in (OK, NOT_FOUND):
        return core.PlatformUnknown(f'status {result.status}')
    return None


def _answered(
    context: core.TableGet | core.TablePut, result: runtime.HttpResult
) -> core.TableAnswer:
    put = isinstance(context, core.TablePut)
    error = _problem(result)
    document = result.document if isinstance(result.document, dict) else {}
    return core.TableAnswer(
        context.key,
        int(document.get('version', 0)),
        _value(document),
        put,
        error,
    )


def _object(
    context: core.ObjectGet | core.ObjectPut, result: runtime.HttpResult
) -> core.ObjectAnswer:
    put = isinstance(context, core.ObjectPut)
    document = result.document if isinstance(result.document, dict) else {}
    return core.ObjectAnswer(
        context.key, _value(document), put, _problem(result)
    )


def _value(document: dict[str, Any]) -> bytes | None:
    text = document.get('value')
    return base64.b64decode(text) if text else None


def _scanned(
    context: core.TableScan, result: runtime.HttpResult
) -> core.TableScanAnswer:
    error = _problem(result)
    if error is not None:
        return core.TableScanAnswer(context.prefix, error=error)
    rows = tuple(
        core.TableAnswer(row['key'], int(row['version']), _value(row))
        for row in result.document['rows']
    )
    return core.TableScanAnswer(context.prefix, rows)


def _listed(result: runtime.HttpResult) -> core.VmList:
    error = _problem(result)
    if error is not None:
        return core.VmList(error=error)
    return core.VmList(
        tuple(
            core.VmListed(row['name'], bool(row['leaving']))
            for row in result.document['vms']
        )
    )
