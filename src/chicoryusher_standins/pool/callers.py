"""A caller that sends statements and records their answers."""

from __future__ import annotations

import itertools

from chicoryusher import core
from chicoryusher import runtime

__all__ = ['Caller']

_ID_NUMBERS = itertools.count(1)


class Caller(runtime.Task):
    """One session; ``answers`` lists what it received, oldest first."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        desk: core.TaskName,
        database: str,
        key: core.KeyDigest | None = None,
    ) -> None:
        self.session_id = core.SessionId(f's{next(_ID_NUMBERS)}')
        super().__init__(loop, vm, f'caller/{self.session_id}')
        self._dispatcher = desk
        self.answers: list[core.SessionAnswer] = []
        self.refused: core.Refusal | None = None
        self.closed = False
        self.send(
            desk,
            core.StartSession(
                self.session_id,
                self.task_name,
                core.DatabaseName(database),
                key,
            ),
        )

    def ask(self, statement: core.Statement) -> core.RequestId:
        """Send a statement without waiting; return its request id."""
        request_id = core.RequestId(f'r{next(_ID_NUMBERS)}')
        self.send(
            self._dispatcher,
            core.PoolStatement(self.session_id, request_id, statement),
        )
        return request_id

    def leave(self) -> None:
        """Disconnect without ending the session in an orderly way."""
        self.send(self._dispatcher, core.CallerDisconnected(self.session_id))

    @property
    def last(self) -> core.SessionAnswer:
        """Return the most recent answer."""
        return self.answers[-1]

    @runtime.handles(core.SessionAnswer)
    def _on_answer(self, answer: core.SessionAnswer) -> None:
        self.answers.append(answer)

    @runtime.handles(core.SessionStarted)
    def _on_started(self, message: core.SessionStarted) -> None:
        self.refused = message.refusal

    @runtime.handles(core.CloseSession)
    def _on_closed(self, message: core.CloseSession) -> None:
        self.closed = True
