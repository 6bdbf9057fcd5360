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
from chicoryusher.tasks import awaited_proofs
from chicoryusher.tasks import conns
from chicoryusher.tasks import gate_lock
from chicoryusher.tasks import gate_replies
from chicoryusher.tasks import gate_signals
from chicoryusher.tasks import items
from chicoryusher.tasks import running_requests
from chicoryusher.tasks import task_messages
from chicoryusher.tasks import waiting_requests

__all__ = ['Gate']

# Interval between checks for requests whose deadline has passed.
EXPIRY_CHECK_INTERVAL_S = 0.02
# Interval between checks while requests wait for the replica to catch up.
CATCH_UP_POLL_INTERVAL_S = 0.005
# Longest wait of a read in the queue while all slots are occupied by
# statements that run much longer than expected.
MAX_READ_WAIT_S = 0.010
_Reason = core.MoveReason
_State = core.GateState


class _CheckExpired(core.Message):
    """Timer: check for requests whose deadline has passed."""


class Gate(runtime.Task):
    """Task that schedules the requests for one instance.

    Its state chart is ``gate``.
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
        self.state = _State.STANDBY
        self._chart = charts.load_machine('gate')
        self._request_chart = charts.load_machine('request')
        self._admission = decisions.InstanceAdmission(spec.name, self.now())
        self._signals = gate_signals.GateSignals(self, spec)
        self._waiting = waiting_requests.WaitingRequests(
            self, policy, spec.slots
        )
        queue = self._waiting.queue
        self._running = running_requests.RunningRequests(self, spec, queue)
        self._proofs = awaited_proofs.AwaitedProofs(
            self._signals, self._admission
        )
        self._replies = gate_replies.GateReplies(
            self, spec, queue, self._admission
        )
        self._expire_timer: core.TimerId | None = None
        self._assigned = False
        self.lock = gate_lock.GateLock(self, spec.name)

    @property
    def pinned(self) -> int:
        """Return how many connections are pinned to transactions."""
        return self._running.conns.pinned

    @property
    def answered(self) -> int:
        """Return how many requests were answered."""
        return self._replies.answered

    @property
    def shed(self) -> int:
        """Return how many requests the queue refused."""
        return self._waiting.shed

    # -- assignment -------------------------------------------------

    @runtime.handles(task_messages.AssignGate)
    def _on_assign(self, message: task_messages.AssignGate) -> None:
        self.spec = message.spec
        self._waiting.queue.slots = message.spec.slots
        self._running.set_spec(message.spec)
        if message.assigned == self._assigned:
            return
        self._assigned = message.assigned
        self.lock.exclusive = message.exclusive
        event = 'assigned' if message.assigned else 'unassigned'
        self._chart.fire(self, event)
        self._release_if_idle()

    @runtime.handles(gate_lock.ClaimRetryDue)
    def _on_claim_retry_due(self, timer: gate_lock.ClaimRetryDue) -> None:
        if self.state is _State.CLAIMING:
            self.lock.claim()

    @runtime.handles(core.GateClaimed)
    def _on_claimed(self, claimed: core.GateClaimed) -> None:
        self._chart.fire(self, 'claimed' if claimed.granted else 'refused')

    @runtime.handles(core.GateLost)
    def _on_gate_lost(self, lost: core.GateLost) -> None:
        if self.state is not _State.STANDBY:
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
        self._running.close_all('the gate was lost')

    def move_queued(self) -> None:
        """Return all requests that are not running to their routers."""
        waiting = self._waiting.drain_awaiting_catch_up()
        for item in [*waiting, *self._waiting.drain_queue()]:
            self._replies.return_request(item.submit, _Reason.NOT_GATE)

    def _release_if_idle(self) -> None:
        """Finish the release of the gate once no work remains."""
        if self.state is not _State.RELEASING:
            return
        if not (len(self._running) or len(self._proofs) or self.pinned):
            self._chart.fire(self, 'empty')

    # -- requests ---------------------------------------------------

    @runtime.handles(core.GroupState)
    def _on_group(self, state: core.GroupState) -> None:
        was_leaving = self._admission.is_leaving
        must_recheck = self._admission.apply(state, self.now())
        if self._admission.is_leaving and not was_leaving:
            self.log.emit(
                core.LogEvent.INSTANCE_LEAVING, instance=str(self.spec.name)
            )
        if must_recheck:
            self._recheck_queue()
        self._start_queued()

    def _recheck_queue(self) -> None:
        """Return queued requests that the instance may no longer run."""
        for item in self._waiting.drain_queue():
            reason = self._refusal_reason(item.submit)
            if reason is not None:
                self._replies.return_request(item.submit, reason)
            else:
                self._enqueue(item)

    @runtime.handles(core.Submit)
    def _on_submit(self, submit: core.Submit) -> None:
        request = submit.request
        self._signals.report_activity()
        if request.transaction is not None and request.begin_payload is None:
            self._continue_transaction(submit)
            return
        reason = self._refusal_reason(submit)
        if reason is not None:
            self._replies.return_request(submit, reason)
            return
        item = items.GateRequest(self, submit, self.now())
        must_catch_up = (
            submit.role is core.Role.REPLICA and submit.catch_up_timeout > 0
        )
        if must_catch_up and not self.proved_fresh(submit):
            self._waiting.awaiting_catch_up.append(item)
            self._signals.await_catch_up()
            self._schedule_expiry_check()
            return
        self._enqueue(item)

    def _enqueue(self, item: items.GateRequest) -> None:
        if not self._waiting.offer(item):
            return
        self._schedule_expiry_check()
        self._start_queued()

    def _refusal_reason(self, submit: core.Submit) -> core.MoveReason | None:
        if self.state not in (_State.SERVING, _State.CLAIMING):
            return _Reason.NOT_GATE
        return self._admission.refusal_reason(submit, self.now())

    def proved_fresh(self, submit: core.Submit) -> bool:
        """Return whether the instance is proved fresh enough."""
        return self._admission.is_proved_fresh(submit, self.now())

    def _continue_transaction(self, submit: core.Submit) -> None:
        """Run a request on the connection of its transaction."""
        transaction = submit.request.transaction
        assert transaction is not None
        conn = self._running.conns.pinned_to(transaction)
        item = items.GateRequest(self, submit, self.now())
        if conn is None or conn.state is not core.ConnState.PINNED:
            item.reason = 'the transaction is not open here'
            self._request_chart.fire(item, 'refused')
            return
        self._start(item, conn)

    def _start_queued(self) -> None:
        """Run queued requests while slots and connections are free."""
        if self.state is not _State.SERVING:
            return
        now = self.now()
        if self._waiting.awaiting_catch_up:
            self._admit_caught_up(now)
        while self._running.has_free_slot:
            if not self._running.conns.idle and len(self._waiting.queue):
                break
            item = self._waiting.pop_next(now)
            if item is None:
                break
            conn = self._running.conns.take()
            assert conn is not None
            self._start(item, conn)
        self._running.open_conns()

    def _admit_caught_up(self, now: float) -> None:
        """Queue requests for which the replica has caught up.

        Those that have waited too long are returned to their routers.
        """
        self._signals.await_catch_up()
        for item in self._waiting.drain_awaiting_catch_up():
            if self.proved_fresh(item.submit):
                self._enqueue(item)
            elif now - item.arrived_at >= item.submit.catch_up_timeout:
                self._replies.return_request(item.submit, _Reason.NOT_FRESH)
            else:
                self._waiting.awaiting_catch_up.append(item)

    def _start(self, item: items.GateRequest, conn: conns.Conn) -> None:
        self._schedule_expiry_check()
        self._running.start(item, conn)

    # -- answers ----------------------------------------------------

    @runtime.handles(core.ConnAnswer)
    def _on_answer(self, answer: core.ConnAnswer) -> None:
        conn = self._running.conns.find(answer.conn_id)
        item = self._running.on_conn(conn)
        if conn is None or item is None:
            return
        if not answer.final:
            if item.steps[0].purpose is decisions.StepPurpose.STATEMENT:
                item.partly_sent = True
                self._replies.pass_on(item, answer.data)
            return
        if not self._running.record_answer(item, conn, answer):
            return
        self._request_chart.fire(item, 'answered', item.answer or answer)
        self._start_queued()
        self._release_if_idle()

    def await_proof(self, item: items.GateRequest) -> None:
        """Ask the group monitor for evidence of a commit or a read."""
        self._proofs.ask(item)

    @runtime.handles(core.CommitProved)
    def _on_proved(self, proved: core.CommitProved) -> None:
        if self._proofs.record_proof(proved.request_id):
            self._release_if_idle()

    @runtime.handles(core.CommitDisproved)
    def _on_disproved(self, disproved: core.CommitDisproved) -> None:
        if self._proofs.record_disproof(disproved.request_id):
            self._release_if_idle()

    def finish(
        self,
        item: items.GateRequest,
        outcome: core.Outcome,
        error: core.CallerError | None,
    ) -> None:
        """Answer the request to the router that sent it."""
        self._replies.answer(item, outcome, error)

    def move_elsewhere(self, item: items.GateRequest) -> None:
        """Return the request to its router, to run elsewhere."""
        reason = _Reason.DOWN if item.is_plain_read else _Reason.NO_PRIMARY
        self._replies.return_request(item.submit, reason)

    def cancel_statement(self, item: items.GateRequest) -> None:
        """Stop the running statement by closing its connection."""
        self._running.cancel_statement(item)

    # -- connections ------------------------------------------------

    @runtime.handles(core.ConnOpened)
    def _on_opened(self, opened: core.ConnOpened) -> None:
        if self._running.add_conn(opened):
            self._start_queued()

    @runtime.handles(core.ConnClosed)
    def _on_closed(self, closed: core.ConnClosed) -> None:
        conn = self._running.conns.find(closed.conn_id)
        if conn is None:
            return
        event = core.LogEvent.CONN_LOST
        if closed.refused:
            event = core.LogEvent.CONN_REFUSED
        self.log.emit(event, instance=str(self.spec.name))
        self._signals.suspect_instance()
        self._running.drop_conn(
            conn, 'the connection to the instance was lost'
        )
        self._schedule_expiry_check()

    @runtime.handles(core.AnswerConsumed)
    def _on_consumed(self, consumed: core.AnswerConsumed) -> None:
        self._running.consume(consumed)

    @runtime.handles(core.AbortTransaction)
    def _on_abort(self, abort: core.AbortTransaction) -> None:
        conn = self._running.conns.pinned_to(abort.transaction)
        if conn is not None:
            self._abort(conn)

    @runtime.handles(core.PeerDown)
    def _on_peer_down(self, down: core.PeerDown) -> None:
        for conn in self._running.conns.transactions_from(down.vm):
            self._abort(conn)

    def _abort(self, conn: conns.Conn) -> None:
        self._running.close_conn(conn, 'the transaction was aborted')
        self._start_queued()
        self._release_if_idle()

    # -- deadlines --------------------------------------------------

    def _schedule_expiry_check(self) -> None:
        """Start the timer of the next check unless it is running."""
        if self._expire_timer is None:
            delay = (
                CATCH_UP_POLL_INTERVAL_S
                if self._waiting.awaiting_catch_up
                else EXPIRY_CHECK_INTERVAL_S
            )
            self._expire_timer = self.after(delay, _CheckExpired())

    @runtime.handles(_CheckExpired)
    def _on_check_expired(self, timer: _CheckExpired) -> None:
        self._expire_timer = None
        now = self.now()
        self._waiting.expire(now)
        if self._waiting.queue.all_slots_overrun(now):
            self._move_waiting_reads(now)
            self._signals.report_overrun()
        self._running.expire(now)
        self._proofs.expire(now)
        self._start_queued()
        self._release_if_idle()
        if len(self._running) or len(self._proofs) or len(self._waiting):
            self._schedule_expiry_check()

    def _move_waiting_reads(self, now: float) -> None:
        """Return reads that wait behind overrun statements to their routers.

        They can run at another instance.
        """
        for item in self._waiting.drain_queue():
            if item.is_plain_read and now - item.arrived_at >= MAX_READ_WAIT_S:
                self._replies.return_request(item.submit, _Reason.BUSY)
            else:
                self._waiting.queue.requeue(item)

    @runtime.handles(task_messages.StateQuery)
    def _on_query(self, query: task_messages.StateQuery) -> None:
        row = (
            ('instance', str(self.spec.name)),
            ('state', self.state.value),
            ('queued', str(len(self._waiting.queue))),
            ('running', str(len(self._running))),
            ('connections', str(len(self._running.conns))),
            ('wait_s', f'{self._waiting.queue.expected_wait(self.now()):.4f}'),
            ('answered', str(self.answered)),
            ('shed', str(self.shed)),
        )
        self.send(
            query.reply_to,
            task_messages.StateReport(self.task_name, query.number, (row,)),
        )
