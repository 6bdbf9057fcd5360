"""A caller whose statements a test scenario sends one at a time."""

from __future__ import annotations

import itertools

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher import tasks
from chicoryusher_standins.lab import instance as instance_module
from chicoryusher_standins.lab import site as site_module

__all__ = ['ScriptedCaller']

POLL_INTERVAL_S = 0.01
_CALLER_NUMBERS = itertools.count(1)
_BEGIN = core.Payload(b'\x03START TRANSACTION')
_COMMIT = core.Payload(b'\x03COMMIT')
_ROLLBACK = core.Payload(b'\x03ROLLBACK')
Kind = core.StatementKind


class ScriptedCaller(runtime.Task):
    """A session at one router, controlled by a test scenario."""

    def __init__(
        self,
        site: site_module.Site,
        vm: core.VmName,
        database: core.DatabaseName,
        token: str | None = None,
        user: core.UserName | None = None,
    ) -> None:
        self._number = next(_CALLER_NUMBERS)
        super().__init__(site.loop, '', f'scripted-{self._number}')
        self._site = site
        self._router = tasks.names.router(vm)
        self._database = database
        self._requests = itertools.count(1)
        self._answers: dict[core.RequestId, core.Answer] = {}
        self._token: str | None = None
        self.refused: core.CallerError | None = None
        self.session_id = core.SessionId(f'{vm}:scripted{self._number}')
        self.send(
            self._router,
            core.SessionOpened(
                self.session_id,
                self.task_name,
                core.CallerName('scripted'),
                database,
                token,
                None if user is None else decisions.key_of_user(user),
            ),
        )

    @runtime.handles(core.SessionReply)
    def _on_reply(self, reply: core.SessionReply) -> None:
        """Record why the session was refused."""
        self.refused = reply.error

    @runtime.handles(core.Answer)
    def _on_answer(self, answer: core.Answer) -> None:
        assert answer.request_id not in self._answers
        self._answers[answer.request_id] = answer

    @runtime.handles(core.TokenAnswer)
    def _on_token(self, answer: core.TokenAnswer) -> None:
        self._token = answer.token

    def token(self) -> str:
        """Return the session's token."""
        self.send(self._router, core.TokenRequest(self.session_id))
        self._site.run_for(POLL_INTERVAL_S)
        assert self._token is not None
        return self._token

    def leave(self) -> None:
        """End the session."""
        self.send(self._router, core.SessionClosed(self.session_id))

    def send_off(
        self,
        kind: core.StatementKind,
        payload: core.Payload,
        marks: core.Marks | None = None,
    ) -> core.RequestId:
        """Send a statement without waiting for its answer."""
        request_id = core.RequestId(
            f'{self.session_id}:{next(self._requests)}'
        )
        self.send(
            self._router,
            core.Request(
                request_id,
                self.session_id,
                core.CallerName('scripted'),
                self._database,
                kind,
                core.StatementClass(f'scripted-{kind.value}'),
                payload,
                marks or core.Marks(deadline=3.0),
            ),
        )
        return request_id

    def answer(
        self, request_id: core.RequestId, within: float = 6.0
    ) -> core.Answer:
        """Run the site until a request's answer arrives, and return it."""
        deadline = self._site.loop.clock.now() + within
        while request_id not in self._answers:
            assert self._site.loop.clock.now() < deadline, 'no answer came'
            self._site.run_for(POLL_INTERVAL_S)
        return self._answers[request_id]

    def write(
        self,
        op: str,
        key: str,
        value: int,
        marks: core.Marks | None = None,
        seconds: float = 0.002,
    ) -> core.Answer:
        """Write a value and return the answer."""
        payload = instance_module.write_command(op, key, value, seconds)
        return self.answer(self.send_off(Kind.WRITE, payload, marks))

    def read(
        self, key: str, marks: core.Marks | None = None
    ) -> tuple[core.Answer, int]:
        """Read a value; return the answer and the value."""
        payload = instance_module.read_command(key, 0.002)
        answer = self.answer(self.send_off(Kind.READ, payload, marks))
        return answer, int(answer.data or b'0')

    def begin(self) -> core.Answer:
        """Open a transaction."""
        return self.answer(self.send_off(Kind.BEGIN, _BEGIN))

    def roll_back(self) -> core.Answer:
        """Roll the transaction back."""
        return self.answer(self.send_off(Kind.ROLLBACK, _ROLLBACK))

    def commit(self) -> core.Answer:
        """Commit the transaction."""
        return self.answer(self.send_off(Kind.COMMIT, _COMMIT))
