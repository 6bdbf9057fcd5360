"""Requests that run on the backend connections of one gate."""

from __future__ import annotations

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import conns
from chicoryusher.tasks import items
from chicoryusher.tasks import names

__all__ = ['RunningRequests']

# Connections of the instance that the gate leaves unused.
RESERVED_CONN_COUNT = 2
# Connections that are opened beyond those in use and one for each slot.
SPARE_CONN_COUNT = 2


class RunningRequests:
    """The running requests of one gate, and its connections.

    ``queue`` is told when a request occupies a slot and releases it.
    """

    def __init__(
        self,
        gate: runtime.Task,
        spec: decisions.InstanceSpec,
        queue: decisions.QueuePolicy,
    ) -> None:
        self._gate = gate
        self._spec = spec
        self._queue = queue
        self._link = names.link(gate.vm, spec.name)
        self._chart = charts.load_machine('request')
        self._running: dict[core.RequestId, items.GateRequest] = {}
        self.conns = conns.Conns(_max_conn_count(spec))

    def __len__(self) -> int:
        return len(self._running)

    @property
    def has_free_slot(self) -> bool:
        """Return whether fewer requests run than the instance has slots."""
        return len(self._running) < self._spec.slots

    def set_spec(self, spec: decisions.InstanceSpec) -> None:
        """Set the slots and connections that the gate may use."""
        self._spec = spec
        self.conns.max_count = _max_conn_count(spec)

    def open_conns(self) -> None:
        """Open connections for all slots ahead of demand."""
        busy = sum(1 for entry in self.conns.all() if entry.request_id)
        target_count = (
            max(busy, self.conns.pinned) + self._spec.slots + SPARE_CONN_COUNT
        )
        target_count = min(target_count, self.conns.max_count)
        while len(self.conns) < target_count:
            conn = self.conns.add()
            if conn is None:
                return
            self._gate.send(self._link, core.OpenConn(conn.conn_id))

    def add_conn(self, opened: core.ConnOpened) -> bool:
        """Use a connection that was opened; return False if it is unknown."""
        conn = self.conns.find(opened.conn_id)
        if conn is None:
            return False
        self.conns.opened(conn)
        self._gate.log.emit(
            core.LogEvent.CONN_OPENED, instance=str(self._spec.name)
        )
        return True

    def start(self, item: items.GateRequest, conn: conns.Conn) -> None:
        """Run the first step of a request on a connection."""
        now = self._gate.now()
        item.conn = conn.conn_id
        item.sent_at = now
        self._running[item.request.request_id] = item
        self._queue.record_start(item, now)
        self.conns.occupy(conn, item.submit)
        self._chart.fire(item, 'sent')
        self._run_step(item)

    def _run_step(self, item: items.GateRequest) -> None:
        assert item.conn is not None
        self._gate.send(
            self._link,
            core.RunOnConn(
                item.conn, self._spec.database, item.steps[0].payload
            ),
        )

    def on_conn(self, conn: conns.Conn | None) -> items.GateRequest | None:
        """Return the request that runs on a connection, None if none does."""
        if conn is None or conn.request_id is None:
            return None
        return self._running.get(conn.request_id)

    def record_answer(
        self,
        item: items.GateRequest,
        conn: conns.Conn,
        answer: core.ConnAnswer,
    ) -> bool:
        """Record the answer to a step; return whether it was the last one.

        Otherwise the next step runs.
        """
        item.record_step_answer(answer)
        if item.steps:
            self._run_step(item)
            return False
        self._end(item)
        request = item.request
        self.conns.finished(
            conn,
            request.transaction is not None
            and (answer.in_transaction or request.pins_connection),
        )
        return True

    def _end(self, item: items.GateRequest) -> None:
        """Release the slot of a request."""
        self._running.pop(item.request.request_id, None)
        self._queue.record_finish(item, self._gate.now() - item.sent_at)

    def consume(self, consumed: core.AnswerConsumed) -> None:
        """Let the instance send more of an answer that the caller reads."""
        item = self._running.get(consumed.request_id)
        if item is not None and item.conn is not None:
            self._gate.send(
                self._link, core.ConnAnswerConsumed(item.conn, consumed.size)
            )

    def expire(self, now: float) -> None:
        """End the requests whose deadline has passed."""
        for item in [*self._running.values()]:
            if item.deadline <= now:
                self._end(item)
                item.reason = 'the deadline passed while the statement ran'
                self._chart.fire(item, 'expired')

    def cancel_statement(self, item: items.GateRequest) -> None:
        """Stop the running statement by closing its connection."""
        if item.conn is None:
            return
        self._gate.log.emit(
            core.LogEvent.STATEMENT_TIMED_OUT,
            request=str(item.request.request_id),
            statement=str(item.request.statement_class),
        )
        conn = self.conns.find(item.conn)
        self._gate.send(self._link, core.CloseConn(item.conn))
        if conn is not None:
            self.conns.drop(conn)

    def close_all(self, why: str) -> None:
        """Close every connection and end the requests that run on them."""
        for conn in self.conns.all():
            self.close_conn(conn, why)

    def close_conn(self, conn: conns.Conn, why: str) -> None:
        """Close a connection and end the request that runs on it."""
        self._gate.send(self._link, core.CloseConn(conn.conn_id))
        self.drop_conn(conn, why)

    def drop_conn(self, conn: conns.Conn, why: str) -> None:
        """Remove a lost connection and end the request that ran on it."""
        item = self.on_conn(conn)
        self.conns.drop(conn)
        if item is None:
            return
        self._end(item)
        item.reason = why
        self._chart.fire(item, 'conn_lost')


def _max_conn_count(spec: decisions.InstanceSpec) -> int:
    return max(1, spec.connections - RESERVED_CONN_COUNT)
