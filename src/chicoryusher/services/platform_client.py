"""HTTP client of the platform's table, object store and VM list."""

from __future__ import annotations

import base64
import urllib.parse
from typing import Any

from chicoryusher import core
from chicoryusher import runtime

__all__ = ['PlatformClient']

PLATFORM_TIMEOUT_S = 1.0
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_NOT_FOUND = 404


class PlatformClient(runtime.HttpClient):
    """Send requests for rows, objects and the VM list as HTTP calls."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        address: runtime.Address,
        token: str = '',
    ) -> None:
        super().__init__(
            loop, vm, 'platform', address, PLATFORM_TIMEOUT_S, token
        )
        self._is_down = False

    @runtime.handles(core.TableGet)
    def _on_get(self, message: core.TableGet) -> None:
        self.call(runtime.HttpCall('GET', _table_path(message.key), message))

    @runtime.handles(core.TablePut)
    def _on_put(self, message: core.TablePut) -> None:
        body = {
            'value': base64.b64encode(message.value).decode(),
            'expected': message.expected_version,
        }
        self.call(
            runtime.json_call('PUT', _table_path(message.key), message, body)
        )

    @runtime.handles(core.TableScan)
    def _on_scan(self, message: core.TableScan) -> None:
        query = urllib.parse.urlencode(
            {
                'prefix': message.prefix,
                'after': message.after_key,
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
        """Send the answer to the task that sent the request."""
        self._log_reachability(result.error)
        context = call.context
        if isinstance(context, core.TableScan):
            self.send(context.reply_to, _scan_answer(context, result))
        elif isinstance(context, core.VmListRequest):
            self.send(context.reply_to, _vm_list(result))
        elif isinstance(context, core.ObjectGet | core.ObjectPut):
            self.send(context.reply_to, _object_answer(context, result))
        elif isinstance(context, core.TableGet | core.TablePut):
            self.send(context.reply_to, _table_answer(context, result))

    def _log_reachability(self, error: core.PlatformError | None) -> None:
        down = error is not None
        if down == self._is_down:
            return
        self._is_down = down
        event = core.LogEvent.PLATFORM_RESPONDED
        if down:
            event = core.LogEvent.PLATFORM_UNRESPONSIVE
        self.log.emit(event, why=str(error or ''))


def _table_path(key: str) -> str:
    return f'/table/{urllib.parse.quote(key, safe="")}'


def _error_of(result: runtime.HttpResult) -> core.PlatformError | None:
    if result.error is not None:
        return result.error
    if result.status == STATUS_CONFLICT:
        return core.PlatformRefused(
            'the stored version is not the expected one'
        )
    if result.status not in (STATUS_OK, STATUS_NOT_FOUND):
        return core.PlatformUnknown(f'unexpected HTTP status {result.status}')
    return None


def _table_answer(
    context: core.TableGet | core.TablePut, result: runtime.HttpResult
) -> core.TableAnswer:
    put = isinstance(context, core.TablePut)
    error = _error_of(result)
    document = result.document if isinstance(result.document, dict) else {}
    requested_at = float('-inf')
    if isinstance(context, core.TableGet):
        requested_at = context.requested_at
    return core.TableAnswer(
        context.key,
        int(document.get('version', 0)),
        _decoded_value(document),
        put,
        error,
        requested_at,
    )


def _object_answer(
    context: core.ObjectGet | core.ObjectPut, result: runtime.HttpResult
) -> core.ObjectAnswer:
    put = isinstance(context, core.ObjectPut)
    document = result.document if isinstance(result.document, dict) else {}
    return core.ObjectAnswer(
        context.key, _decoded_value(document), put, _error_of(result)
    )


def _decoded_value(document: dict[str, Any]) -> bytes | None:
    text = document.get('value')
    return base64.b64decode(text) if text else None


def _scan_answer(
    context: core.TableScan, result: runtime.HttpResult
) -> core.TableScanAnswer:
    error = _error_of(result)
    if error is not None:
        return core.TableScanAnswer(context.prefix, error=error)
    rows = tuple(
        core.TableAnswer(row['key'], int(row['version']), _decoded_value(row))
        for row in result.document['rows']
    )
    return core.TableScanAnswer(context.prefix, rows)


def _vm_list(result: runtime.HttpResult) -> core.VmList:
    error = _error_of(result)
    if error is not None:
        return core.VmList(error=error)
    return core.VmList(
        tuple(
            core.ListedVm(row['name'], bool(row['leaving']))
            for row in result.document['vms']
        )
    )
