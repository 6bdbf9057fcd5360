"""Test double of a group agent: status, fence and promote over HTTP."""

from __future__ import annotations

import json
from typing import Any

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.runtime import http_server
from chicoryusher_standins import group as group_module
from chicoryusher_standins import server as server_module

__all__ = ['AgentServer']

OK = 200
NOT_FOUND = 404
ADVANCE_INTERVAL_S = 0.001


class _Advance(core.Message):
    """Time to replicate log entries."""


class AgentServer(runtime.Task):
    """Serve the group agent of one instance of a group model."""

    def __init__(
        self,
        loop: runtime.Runtime,
        model: group_module.GroupModel,
        name: core.InstanceName,
        address: runtime.Address = ('127.0.0.1', 0),
    ) -> None:
        super().__init__(loop, '', f'agent-server/{name}')
        self._model = model
        self._name = name
        self._requests_during_pause: list[
            tuple[http_server.HttpConn, http_server.HttpRequest]
        ] = []
        listener = runtime.Listener(address, loop.poller, self.task_name)
        self.address = listener.address
        self._server = http_server.HttpServer(listener, self._handle)

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready: runtime.SocketReady) -> None:
        self._server.ready(ready)

    def settled(self) -> None:
        """Send the answers written since the last flush."""
        self._server.flush()

    def kill(self) -> None:
        """Close every socket, as when the instance is killed."""
        self._server.close()

    def resume(self) -> None:
        """Answer the requests that arrived during a pause."""
        requests, self._requests_during_pause = self._requests_during_pause, []
        for conn, request in requests:
            self._handle(conn, request)
        self._server.flush()

    def _handle(
        self, conn: http_server.HttpConn, request: http_server.HttpRequest
    ) -> None:
        instance = self._model.instances[self._name]
        if instance.paused or instance.cut:
            self._requests_during_pause.append((conn, request))
            return
        now = self.now()
        self._model.advance(now)
        if request.path == '/status':
            conn.reply(OK, self._status(now))
            return
        order = json.loads(request.body)
        term, candidate = core.Term(order['term']), order['candidate']
        if request.path == '/fence':
            accepted = self._model.fence(self._name, term, candidate)
            received = self._gtid_set(instance.log)
            conn.reply(OK, {'accepted': accepted, 'received': received})
        elif request.path == '/promote':
            accepted = self._model.promote(self._name, term, candidate, now)
            conn.reply(OK, {'accepted': accepted})
        else:
            conn.reply(NOT_FOUND, {})

    def _gtid_set(self, log: list[group_module.Entry]) -> str:
        return server_module.gtid_set(str(self._model.database), log)

    def _status(self, now: float) -> dict[str, Any]:
        instance = self._model.instances[self._name]
        return {
            'role': instance.role.value,
            'term': instance.term,
            'received': self._gtid_set(instance.log),
            'applied': self._gtid_set(instance.log[: instance.applied]),
            'source_age': self._model.source_age(self._name, now),
            'leaving': instance.leaving,
        }


class Replicator(runtime.Task):
    """Advance the replication of group models periodically."""

    def __init__(
        self,
        loop: runtime.Runtime,
        models: tuple[group_module.GroupModel, ...],
    ) -> None:
        super().__init__(loop, '', 'replicator')
        self._models = models
        self._idle_turns = 0
        self.after(ADVANCE_INTERVAL_S, _Advance())

    @runtime.handles(_Advance)
    def _on_advance(self, turn: _Advance) -> None:
        for model in self._models:
            model.advance(self.now())
        self.after(ADVANCE_INTERVAL_S, _Advance())
