"""Messages that a gate sends to the routers of requests."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import hints
from chicoryusher.tasks import items
from chicoryusher.tasks import names

__all__ = ['GateReplies']


class GateReplies:
    """Answers and returned requests of one gate, with its reports.

    ``queue`` gives the expected wait that a report names, ``admission`` the
    state of the group.  ``answered`` counts the requests that were answered.
    """

    def __init__(
        self,
        gate: runtime.Task,
        spec: decisions.InstanceSpec,
        queue: decisions.QueuePolicy,
        admission: decisions.InstanceAdmission,
    ) -> None:
        self._gate = gate
        self._instance = spec.name
        self._queue = queue
        self._admission = admission
        self._hints = hints.Hints(spec.database, spec.name)
        self.answered = 0

    def answer(
        self,
        item: items.GateRequest,
        outcome: core.Outcome,
        error: core.CallerError | None,
    ) -> None:
        """Answer a request."""
        self.answered += 1
        answer = item.answer
        data = answer.data if answer is not None else b''
        in_transaction = answer is not None and answer.in_transaction
        if outcome is core.Outcome.UNKNOWN:
            self._gate.log.emit(
                core.LogEvent.REQUEST_UNKNOWN,
                request=str(item.request.request_id),
                why=item.reason,
            )
        self._send(
            item.submit.origin,
            core.Answer(
                item.request.request_id,
                outcome,
                b'' if error is not None else data,
                error,
                item.position if outcome is core.Outcome.DONE else None,
                in_transaction,
                self._report(item.submit.origin),
            ),
        )

    def pass_on(self, item: items.GateRequest, data: bytes) -> None:
        """Send a part of an answer whose rest is still to come."""
        self._send(
            item.submit.origin,
            core.ResultChunk(item.request.request_id, data),
        )

    def return_request(
        self, submit: core.Submit, reason: core.MoveReason
    ) -> None:
        """Return a request that was not run, to run elsewhere."""
        self._send(
            submit.origin,
            core.RequestMoved(
                submit.request.request_id,
                self._instance,
                reason,
                self._report(submit.origin, True),
            ),
        )

    def _report(
        self, origin: core.VmName, always: bool = False
    ) -> core.InstanceReport | None:
        """Return a report for a router, or None if one was sent recently."""
        now = self._gate.now()
        if not always and not self._hints.due(origin, now):
            return None
        wait = self._queue.expected_wait(now)
        state = self._admission.group_state
        return self._hints.report(origin, state, wait, now)

    def _send(self, origin: core.VmName, message: core.Message) -> None:
        gate = self._gate
        if origin == gate.vm:
            gate.send(names.router(gate.vm), message)
        else:
            gate.send(names.peers(gate.vm), core.SendToPeer(origin, message))
