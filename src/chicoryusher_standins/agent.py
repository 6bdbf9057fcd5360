"""A stand-in group agent: status, fence and promote over HTTP."""

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
ADVANCE_INTERVAL = 0.001


class _Advance(core.Message):
    """Time to pass log entries on."""


class AgentServer(runtime.Task):
    """Serve the agent of one instance of a group model."""

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
        self._held: list[
            tuple[http_server.HttpConn, http_server.HttpRequest]
        ] = []
        listener = runtime.Listener(address, loop.poller, self.task_name)
        self.address = listener.address
        self._server = http_server.HttpServer(listener, self._handle)

    @runtime.handles(runtime.SocketReady)
    def _on_ready(self, ready: runtime.SocketReady) -> None:
        self._server.ready(ready)

    def settled(self) -> None:
        """Send the answers written so far."""
        self._server.flush()

    def kill(self) -> None:
        """Die with the instance."""
        self._server.close()

    def resume(self) -> None:
        """Answer what came during a pause."""
        held, self._held = self._held, []
        for conn, request in held:
            self._handle(conn, request)
        self._server.flush()

    def _handle(
        self, conn: http_server.HttpConn, request: http_server.HttpRequest
    ) -> None:
        one = self._model.instances[self._name]
        if one.paused or one.cut:
            self._held.append((conn, request))
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
            received = self._set(one.log)
            conn.reply(OK, {'accepted': accepted, 'received': received})
        elif request.path == '/promote':
            accepted = self._model.promote(self._name, term, candidate, now)
            conn.reply(OK, {'accepted': accepted})
        else:
            conn.reply(NOT_FOUND, {})

    def _set(self, log: list[group_module.Entry]) -> str:
        return server_module.gtid_set(str(self._model.database), log)

    def _status(self, now: float) -> dict[str, Any]:
        one = self._model.instances[self._name]
        return {
            'role': one.role.value,
            'term': one.term,
            'received': self._set(one.log),
            'applied': self._set(one.log[: one.applied]),
            'source_age': self._model.source_age(self._name, now),
            'leaving': one.leaving,
        }


class Replicator(runtime.Task):
    """Pass log entries on between the instances of group models."""

    def __init__(
        self,
        loop: runtime.Runtime,
        models: tuple[group_module.GroupModel, ...],
    ) -> None:
        super().__init__(loop, '', 'replicator')
        self._models = models
        self._idle_turns = 0
        self.after(ADVANCE_INTERVAL, _Advance())

    @runtime.handles(_Advance)
    def _on_advance(self, turn: _Advance) -> None:
        for model in self._models:
            model.advance(self.now())
        self.after(ADVANCE_INTERVAL, _Advance())
