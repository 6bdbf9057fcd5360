"""Gate: runs the requests for one instance on its backend connections.

The gate queues requests and runs at most as many at once as the instance
has slots.  If it is the only gate of the instance, it holds a lock at the
instance while it serves, so that two VMs never exceed the instance's
connections together.
"""

from __future__ import annotations

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import conns
from chicoryusher.tasks import hints
from chicoryusher.tasks import items
from chicoryusher.tasks import names
from chicoryusher.tasks import task_messages

__all__ = ['Gate']

# Connections of the instance that the gate leaves unused.
RESERVED_CONN_COUNT = 2
# Connections that are opened beyond those in use and one for each slot.
SPARE_CONN_COUNT = 2
# Delay before a gate lock that was refused or lost is claimed again.
CLAIM_RETRY_DELAY_S = 0.25
# Interval between checks for requests whose deadline has passed.
EXPIRY_CHECK_INTERVAL_S = 0.02
# Shortest interval between reports to the group monitor that requests come.
ACTIVITY_REPORT_INTERVAL_S = 1.0
# Interval between checks while requests wait for the replica to catch up.
CATCH_UP_POLL_INTERVAL_S = 0.005
# Longest wait of a read in the queue while all slots are occupied by
# statements that run much longer than expected.
MAX_READ_WAIT_S = 0.010
# Shortest interval between reports that statements do not end.
SUSPICION_REPORT_INTERVAL_S = 0.1
_Reason = core.MoveReason


class _CheckExpired(core.Message):
    """Timer: check for requests whose deadline has passed."""


class _ClaimRetryDue(core.Message):
    """Timer: claim the gate lock again."""


class Gate(runtime.Task):
    """Task that schedules the requests for one instance.

    Its state chart is ``gate``.  ``answered`` and ``shed`` count the
    requests that were answered, and those that the queue refused.
    """

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        spec: decisions.InstanceSpec,
        policy: str = decisions.DEFAULT_QUEUE_POLICY,
    ) -> None:
        super().__init__(loop, vm, f'gate/{spec.name}')
        self.spec = spec
        self.state = core.GateState.STANDBY
        self._chart = charts.load_machine('gate')
        self._request_chart = charts.load_machine('request')
        self._link = names.link(vm, spec.name)
        self._group_monitor = names.group_monitor(vm, spec.database)
        self._conns = conns.Conns(self._max_conns(spec))
        self._queue: decisions.QueuePolicy = decisions.QUEUE_POLICIES.get(
            policy
        )(spec.slots)
        self._running: dict[core.RequestId, items.GateRequest] = {}
        self._awaiting_proof: dict[core.RequestId, items.GateRequest] = {}
        self._awaiting_catch_up: list[items.GateRequest] = []
        self._group_state: core.GroupState | None = None
        self._majority_at = self.now()
        self._hints = hints.Hints(spec.database, spec.name)
        self._expire_timer: core.TimerId | None = None
        self._assigned = False
        self._exclusive = True
        self._activity_reported_at = float('-inf')
        self._suspicion_reported_at = float('-inf')
        self.answered = 0
        self.shed = 0

    @property
    def pinned(self) -> int:
        """Return how many connections are pinned to transactions."""
        return sum(1 for conn in self._conns.all() if conn.transaction)

    # -- assignment -------------------------------------------------

    @runtime.handles(task_messages.AssignGate)
    def _on_assign(self, message: task_messages.AssignGate) -> None:
        self.spec = message.spec
        self._queue.slots = message.spec.slots
        self._conns.max_count = self._max_conns(message.spec)
        if message.assigned == self._assigned:
            return
        self._assigned = message.assigned
        self._exclusive = message.exclusive
        event = 'assigned' if message.assigned else 'unassigned'
        self._chart.fire(self, event)
        self._release_if_idle()

    @staticmethod
    def _max_conns(spec: decisions.InstanceSpec) -> int:
        return max(1, spec.connections - RESERVED_CONN_COUNT)

    def claim_lock(self) -> None:
        """Claim the gate lock, which only an exclusive gate needs."""
        if self._exclusive:
            self.send(self._link, core.ClaimGate())
        else:
            self.send(self.task_name, core.GateClaimed(True))

    def claim_lock_later(self) -> None:
        """Claim the gate lock again after a delay."""
        self.after(CLAIM_RETRY_DELAY_S, _ClaimRetryDue())

    @runtime.handles(_ClaimRetryDue)
    def _on_claim_retry_due(self, timer: _ClaimRetryDue) -> None:
        if self.state is core.GateState.CLAIMING:
            self.claim_lock()

    @runtime.handles(core.GateClaimed)
    def _on_claimed(self, claimed: core.GateClaimed) -> None:
        self._chart.fire(self, 'claimed' if claimed.granted else 'refused')

    @runtime.handles(core.GateLost)
    def _on_gate_lost(self, lost: core.GateLost) -> None:
        if self.state is not core.GateState.STANDBY:
            self.log.emit(
                core.LogEvent.GATE_LOST, instance=str(self.spec.name)
            )
        self._chart.fire(self, 'lost')

    def start_serving(self) -> None:
        """Start to run requests and to open connections."""
        self.log.emit(core.LogEvent.GATE_SERVING, instance=str(self.spec.name))
        self._start_queued()

    def close_connections(self) -> None:
        """Close every connection and end the requests that run on them."""
        for conn in self._conns.all():
            self.send(self._link, core.CloseConn(conn.conn_id))
            self._handle_lost_conn(conn, 'the gate was lost')

    def release_lock(self) -> None:
        """Release the gate lock."""
        self.send(self._link, core.ReleaseGate())
        self.log.emit(
            core.LogEvent.GATE_RELEASED, instance=str(self.spec.name)
        )

    def move_queued(self) -> None:
        """Return all requests that are not running to their routers."""
        waiting: list[items.GateRequest] = [*self._awaiting_catch_up]
        self._awaiting_catch_up.clear()
        for item in self._queue.drain():
            assert isinstance(item, items.GateRequest)
            waiting.append(item)
        for item in waiting:
            self._send_moved(item.submit, _Reason.NOT_GATE)

    def _release_if_idle(self) -> None:
        """Finish the release of the gate once no work remains."""
        if self.state is not core.GateState.RELEASING:
            return
        if not self._running and not self._awaiting_proof and not self.pinned:
            self._chart.fire(self, 'empty')

    # -- requests ---------------------------------------------------

    @runtime.handles(core.GroupState)
    def _on_group(self, state: core.GroupState) -> None:
        before, self._group_state = self._group_state, state
        if state.own_probe.leaving and not (
            before and before.own_probe.leaving
        ):
            self.log.emit(
                core.LogEvent.INSTANCE_LEAVING, instance=str(self.spec.name)
            )
        if state.has_majority:
            self._majority_at = self.now()
        if before is None or _admission_state(before) != _admission_state(
            state
        ):
            self._recheck_queue()
        self._start_queued()

    def _recheck_queue(self) -> None:
        """Return queued requests that the instance may no longer run."""
        for item in self._queue.drain():
            assert isinstance(item, items.GateRequest)
            reason = self._refusal_reason(item.submit)
            if reason is not None:
                self._send_moved(item.submit, reason)
            else:
                self._enqueue(item)

    @runtime.handles(core.Submit)
    def _on_submit(self, submit: core.Submit) -> None:
        request = submit.request
        self._report_activity()
        if request.transaction is not None and request.begin_payload is None:
            self._continue_transaction(submit)
            return
        reason = self._refusal_reason(submit)
        if reason is not None:
            self._send_moved(submit, reason)
            return
        item = items.GateRequest(self, submit, self.now())
        must_catch_up = (
            submit.role is core.Role.REPLICA and submit.catch_up_timeout > 0
        )
        if must_catch_up and not self.proved_fresh(submit):
            self._awaiting_catch_up.append(item)
            self.send(self._group_monitor, core.CatchUpAwaited(self.spec.name))
            self._schedule_expiry_check()
            return
        self._enqueue(item)

    def _report_activity(self) -> None:
        """Report to the group monitor that requests come."""
        now = self.now()
        if now - self._activity_reported_at >= ACTIVITY_REPORT_INTERVAL_S:
            self._activity_reported_at = now
            self.send(self._group_monitor, core.GroupActive())

    def _enqueue(self, item: items.GateRequest) -> None:
        shed = self._queue.offer(item, self.now())
        if shed is not None:
            self.shed += 1
            self.log.emit(
                core.LogEvent.REQUEST_NOT_ADMITTED,
                request=str(item.request.request_id),
                why=shed.reason,
            )
            self._request_chart.fire(item, 'refused', shed)
            return
        self._schedule_expiry_check()
        self._start_queued()

    def _refusal_reason(self, submit: core.Submit) -> core.MoveReason | None:
        if self.state not in (
            core.GateState.SERVING,
            core.GateState.CLAIMING,
        ):
            return _Reason.NOT_GATE
        return decisions.refusal_reason(
            self._group_state,
            self.spec.name,
            submit,
            self._majority_at,
            self.now(),
        )

    def proved_fresh(self, submit: core.Submit) -> bool:
        """Return whether the instance is proved fresh enough."""
        return decisions.is_fresh_enough(self._group_state, submit, self.now())

    def _continue_transaction(self, submit: core.Submit) -> None:
        """Run a request on the connection of its transaction."""
        transaction = submit.request.transaction
        assert transaction is not None
        conn = self._conns.pinned_to(transaction)
        item = items.GateRequest(self, submit, self.now())
        if conn is None or conn.state is not core.ConnState.PINNED:
            item.reason = 'the transaction is not open here'
            self._request_chart.fire(item, 'refused')
            return
        self._start(item, conn)

    def _start_queued(self) -> None:
        """Run queued requests while slots and connections are free."""
        if self.state is not core.GateState.SERVING:
            return
        now = self.now()
        if self._awaiting_catch_up:
            self._admit_caught_up(now)
        while len(self._running) < self.spec.slots:
            if not self._conns.idle and len(self._queue):
                break
            item = self._queue.pop_next(now)
            if item is None:
                break
            conn = self._conns.take()
            assert isinstance(item, items.GateRequest) and conn is not None
            self._start(item, conn)
        self._open_connections()

    def _admit_caught_up(self, now: float) -> None:
        """Queue requests for which the replica has caught up.

        Those that have waited too long are returned to their routers.
        """
        waiting, self._awaiting_catch_up = self._awaiting_catch_up, []
        self.send(self._group_monitor, core.CatchUpAwaited(self.spec.name))
        for item in waiting:
            if self.proved_fresh(item.submit):
                self._enqueue(item)
            elif now - item.arrived_at >= item.submit.catch_up_timeout:
                self._send_moved(item.submit, _Reason.NOT_FRESH)
            else:
                self._awaiting_catch_up.append(item)

    def _open_connections(self) -> None:
        """Open connections for all slots ahead of demand."""
        busy = sum(1 for entry in self._conns.all() if entry.request_id)
        target_count = (
            max(busy, self.pinned) + self.spec.slots + SPARE_CONN_COUNT
        )
        target_count = min(target_count, self._conns.max_count)
        while len(self._conns) < target_count:
            conn = self._conns.add()
            if conn is None:
                return
            self.send(self._link, core.OpenConn(conn.conn_id))

    def _start(self, item: items.GateRequest, conn: conns.Conn) -> None:
        item.conn = conn.conn_id
        item.sent_at = self.now()
        self._running[item.request.request_id] = item
        self._queue.record_start(item, self.now())
        self._conns.occupy(conn, item.submit)
        self._request_chart.fire(item, 'sent')
        self._schedule_expiry_check()
        self._next_step(item)

    def _next_step(self, item: items.GateRequest) -> None:
        assert item.conn is not None
        self.send(
            self._link,
            core.RunOnConn(
                item.conn, self.spec.database, item.steps[0].payload
            ),
        )

    # -- answers ----------------------------------------------------

    @runtime.handles(core.ConnAnswer)
    def _on_answer(self, answer: core.ConnAnswer) -> None:
        conn = self._conns.find(answer.conn_id)
        item = self._item_running_on(conn)
        if conn is None or item is None:
            return
        if not answer.final:
            if item.steps[0].purpose is decisions.StepPurpose.STATEMENT:
                item.partly_sent = True
                self._reply(
                    item.submit.origin,
                    core.ResultChunk(item.request.request_id, answer.data),
                )
            return
        item.record_step_answer(answer)
        if item.steps:
            self._next_step(item)
            return
        self._finish_statement(item, conn, answer)

    def _finish_statement(
        self,
        item: items.GateRequest,
        conn: conns.Conn,
        last: core.ConnAnswer,
    ) -> None:
        request = item.request
        request_id = request.request_id
        self._running.pop(request_id, None)
        self._queue.record_finish(item, self.now() - item.sent_at)
        keeps_pinned = request.pins_connection
        self._conns.finished(
            conn,
            request.transaction is not None
            and (last.in_transaction or keeps_pinned),
        )
        answer = item.answer or last
        self._request_chart.fire(item, 'answered', answer)
        self._start_queued()
        self._release_if_idle()

    def _item_running_on(
        self, conn: conns.Conn | None
    ) -> items.GateRequest | None:
        if conn is None or conn.request_id is None:
            return None
        return self._running.get(conn.request_id)

    def await_proof(self, item: items.GateRequest) -> None:
        """Ask the group monitor for evidence of a commit or a read.

        A read has no position; offset 0 marks it.
        """
        state = self._group_state
        position = item.position
        if position is None:
            term = state.term if state is not None else core.Term(0)
            position = core.Position(term, core.LogPosition(0))
        self._awaiting_proof[item.request.request_id] = item
        self.send(
            self._group_monitor,
            core.ProveCommit(
                self.task_name, item.request.request_id, position
            ),
        )

    @runtime.handles(core.CommitProved)
    def _on_proved(self, proved: core.CommitProved) -> None:
        item = self._awaiting_proof.pop(proved.request_id, None)
        if item is not None:
            self._request_chart.fire(item, 'proved')
            self._release_if_idle()

    @runtime.handles(core.CommitDisproved)
    def _on_disproved(self, disproved: core.CommitDisproved) -> None:
        item = self._awaiting_proof.pop(disproved.request_id, None)
        if item is not None:
            item.reason = 'a later term began before the commit was held'
            self._request_chart.fire(item, 'disproved')
            self._release_if_idle()

    def finish(
        self,
        item: items.GateRequest,
        outcome: core.Outcome,
        error: core.CallerError | None,
    ) -> None:
        """Answer the request to the router that sent it."""
        self.answered += 1
        answer = item.answer
        data = answer.data if answer is not None else b''
        in_transaction = answer is not None and answer.in_transaction
        if outcome is core.Outcome.UNKNOWN:
            self.log.emit(
                core.LogEvent.REQUEST_UNKNOWN,
                request=str(item.request.request_id),
                why=item.reason,
            )
        self._reply(
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

    def move_elsewhere(self, item: items.GateRequest) -> None:
        """Return the request to its router, to run elsewhere."""
        reason = _Reason.DOWN if item.is_plain_read else _Reason.NO_PRIMARY
        self._send_moved(item.submit, reason)

    def cancel_statement(self, item: items.GateRequest) -> None:
        """Stop the running statement by closing its connection."""
        if item.conn is None:
            return
        self.log.emit(
            core.LogEvent.STATEMENT_TIMED_OUT,
            request=str(item.request.request_id),
            statement=str(item.request.statement_class),
        )
        conn = self._conns.find(item.conn)
        self.send(self._link, core.CloseConn(item.conn))
        if conn is not None:
            self._conns.drop(conn)

    def _send_moved(
        self, submit: core.Submit, reason: core.MoveReason
    ) -> None:
        self._reply(
            submit.origin,
            core.RequestMoved(
                submit.request.request_id,
                self.spec.name,
                reason,
                self._report(submit.origin, True),
            ),
        )

    def _report(
        self, origin: core.VmName, always: bool = False
    ) -> core.InstanceReport | None:
        """Return a report for a router, or None if one was sent recently."""
        now = self.now()
        if not always and not self._hints.due(origin, now):
            return None
        wait = self._queue.expected_wait(now)
        return self._hints.report(origin, self._group_state, wait, now)

    def _reply(self, origin: core.VmName, message: core.Message) -> None:
        if origin == self.vm:
            self.send(names.router(self.vm), message)
        else:
            self.send(names.peers(self.vm), core.SendToPeer(origin, message))

    # -- connections ------------------------------------------------

    @runtime.handles(core.ConnOpened)
    def _on_opened(self, opened: core.ConnOpened) -> None:
        conn = self._conns.find(opened.conn_id)
        if conn is not None:
            self._conns.opened(conn)
            self.log.emit(
                core.LogEvent.CONN_OPENED, instance=str(self.spec.name)
            )
            self._start_queued()

    @runtime.handles(core.ConnClosed)
    def _on_closed(self, closed: core.ConnClosed) -> None:
        conn = self._conns.find(closed.conn_id)
        if conn is None:
            return
        event = core.LogEvent.CONN_LOST
        if closed.refused:
            event = core.LogEvent.CONN_REFUSED
        self.log.emit(event, instance=str(self.spec.name))
        self.send(self._group_monitor, core.InstanceSuspected(self.spec.name))
        self._handle_lost_conn(conn, 'the connection to the instance was lost')
        self._schedule_expiry_check()

    def _handle_lost_conn(self, conn: conns.Conn, why: str) -> None:
        item = self._item_running_on(conn)
        self._conns.drop(conn)
        if item is None:
            return
        self._running.pop(item.request.request_id, None)
        self._queue.record_finish(item, self.now() - item.sent_at)
        item.reason = why
        self._request_chart.fire(item, 'conn_lost')

    @runtime.handles(core.AnswerConsumed)
    def _on_consumed(self, consumed: core.AnswerConsumed) -> None:
        item = self._running.get(consumed.request_id)
        if item is not None and item.conn is not None:
            self.send(
                self._link, core.ConnAnswerConsumed(item.conn, consumed.size)
            )

    @runtime.handles(core.AbortTransaction)
    def _on_abort(self, abort: core.AbortTransaction) -> None:
        conn = self._conns.pinned_to(abort.transaction)
        if conn is not None:
            self._abort(conn)

    @runtime.handles(core.PeerDown)
    def _on_peer_down(self, down: core.PeerDown) -> None:
        for conn in self._conns.transactions_from(down.vm):
            self._abort(conn)

    def _abort(self, conn: conns.Conn) -> None:
        self.send(self._link, core.CloseConn(conn.conn_id))
        self._handle_lost_conn(conn, 'the transaction was aborted')
        self._start_queued()
        self._release_if_idle()

    # -- deadlines --------------------------------------------------

    def _schedule_expiry_check(self) -> None:
        """Start the timer of the next check unless it is running."""
        if self._expire_timer is None:
            delay = (
                CATCH_UP_POLL_INTERVAL_S
                if self._awaiting_catch_up
                else EXPIRY_CHECK_INTERVAL_S
            )
            self._expire_timer = self.after(delay, _CheckExpired())

    @runtime.handles(_CheckExpired)
    def _on_check_expired(self, timer: _CheckExpired) -> None:
        self._expire_timer = None
        now = self.now()
        for item in self._queue.remove_expired(now):
            assert isinstance(item, items.GateRequest)
            item.reason = 'the deadline passed in the queue'
            self._request_chart.fire(item, 'expired')
        if self._queue.all_slots_overrun(now):
            self._move_waiting_reads(now)
            self._report_suspicion(now)
        for running in [*self._running.values()]:
            if running.deadline <= now:
                self._expire_running(running)
        for proving in [*self._awaiting_proof.values()]:
            if proving.deadline <= now:
                self._awaiting_proof.pop(proving.request.request_id, None)
                proving.reason = 'no evidence of the commit in time'
                self._request_chart.fire(proving, 'expired')
        self._start_queued()
        self._release_if_idle()
        busy = self._running or self._awaiting_proof or self._awaiting_catch_up
        if busy or len(self._queue):
            self._schedule_expiry_check()

    def _report_suspicion(self, now: float) -> None:
        """Report the instance as suspected, so that it is probed soon."""
        if now - self._suspicion_reported_at >= SUSPICION_REPORT_INTERVAL_S:
            self._suspicion_reported_at = now
            self.send(
                self._group_monitor, core.InstanceSuspected(self.spec.name)
            )

    def _move_waiting_reads(self, now: float) -> None:
        """Return reads that wait behind overrun statements to their routers.

        They can run at another instance.
        """
        for item in self._queue.drain():
            assert isinstance(item, items.GateRequest)
            if item.is_plain_read and now - item.arrived_at >= MAX_READ_WAIT_S:
                self._send_moved(item.submit, _Reason.BUSY)
            else:
                self._queue.requeue(item)

    def _expire_running(self, item: items.GateRequest) -> None:
        self._running.pop(item.request.request_id, None)
        self._queue.record_finish(item, self.now() - item.sent_at)
        item.reason = 'the deadline passed while the statement ran'
        self._request_chart.fire(item, 'expired')

    @runtime.handles(task_messages.StateQuery)
    def _on_query(self, query: task_messages.StateQuery) -> None:
        row = (
            ('instance', str(self.spec.name)),
            ('state', self.state.value),
            ('queued', str(len(self._queue))),
            ('running', str(len(self._running))),
            ('connections', str(len(self._conns))),
            ('wait_s', f'{self._queue.expected_wait(self.now()):.4f}'),
            ('answered', str(self.answered)),
            ('shed', str(self.shed)),
        )
        self.send(
            query.reply_to,
            task_messages.StateReport(self.task_name, query.number, (row,)),
        )


def _admission_state(
    state: core.GroupState,
) -> tuple[core.InstanceName | None, core.Term, bool, bool]:
    """Return what decides which requests the instance may run."""
    own = state.own_probe
    return state.primary, state.term, own.alive, own.leaving
