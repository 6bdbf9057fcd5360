"""The gate of one instance: its queue, its slots, its connections."""

from __future__ import annotations

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import conns
from chicoryusher.tasks import hints
from chicoryusher.tasks import items
from chicoryusher.tasks import names
from chicoryusher.tasks import notices

__all__ = ['Gate']

RESERVED_CONNECTIONS = 2
SPARE_CONNECTIONS = 2
CLAIM_RETRY = 0.25
EXPIRY_INTERVAL = 0.02
USE_NOTICE_INTERVAL = 1.0
CATCH_UP_POLL = 0.005
STUCK_PATIENCE = 0.010
DOUBT_INTERVAL = 0.1
_REASON = core.MoveReason


class _Expire(core.Message):
    """Time to look for requests whose deadline has passed."""


class _ClaimAgain(core.Message):
    """Time to ask for the gate lock again."""


class Gate(runtime.Task):
    """One scheduler with full knowledge of one instance's slots."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        spec: decisions.InstanceSpec,
        policy: str = decisions.DEFAULT_POLICY,
    ) -> None:
        super().__init__(loop, vm, f'gate/{spec.name}')
        self.spec = spec
        self.state = core.GateState.STANDBY
        self._chart = charts.compiled('gate')
        self._requests = charts.compiled('request')
        self._link = names.link(vm, spec.name)
        self._group_task = names.group(vm, spec.database)
        self._conns = conns.Conns(self._cap(spec))
        self._queue: decisions.Queue = decisions.QUEUES.get(policy)(spec.slots)
        self._running: dict[core.RequestId, items.GateItem] = {}
        self._proving: dict[core.RequestId, items.GateItem] = {}
        self._catching_up: list[items.GateItem] = []
        self._group: core.GroupState | None = None
        self._majority_at = self.now()
        self._hints = hints.Hints(spec.database, spec.name)
        self._expire_timer: core.TimerId | None = None
        self._assigned = False
        self._exclusive = True
        self._used_at = float('-inf')
        self._doubted_at = float('-inf')
        self.answered = 0
        self.shed = 0

    @property
    def pinned(self) -> int:
        """Return how many connections transactions hold."""
        return sum(1 for one in self._conns.all() if one.transaction)

    # -- assignment -------------------------------------------------

    @runtime.handles(notices.AssignGate)
    def _on_assign(self, message: notices.AssignGate) -> None:
        self.spec = message.spec
        self._queue.slots = message.spec.slots
        self._conns.cap = self._cap(message.spec)
        if message.assigned == self._assigned:
            return
        self._assigned = message.assigned
        self._exclusive = message.exclusive
        event = 'assigned' if message.assigned else 'unassigned'
        self._chart.fire(self, event)
        self._release_if_empty()

    @staticmethod
    def _cap(spec: decisions.InstanceSpec) -> int:
        return max(1, spec.connections - RESERVED_CONNECTIONS)

    def claim(self) -> None:
        """Ask the instance for the gate lock, if it takes one."""
        if self._exclusive:
            self.send(self._link, core.ClaimGate())
        else:
            self.send(self.task_name, core.GateClaimed(True))

    def claim_later(self) -> None:
        """Ask for the gate lock again after a pause."""
        self.after(CLAIM_RETRY, _ClaimAgain())

    @runtime.handles(_ClaimAgain)
    def _on_claim_again(self, again: _ClaimAgain) -> None:
        if self.state is core.GateState.CLAIMING:
            self.claim()

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

    def serve(self) -> None:
        """Begin to run requests; open connections ahead of demand."""
        self.log.emit(core.LogEvent.GATE_SERVING, instance=str(self.spec.name))
        self._pump()

    def close_all(self) -> None:
        """Close every connection; what runs on them is lost."""
        for conn in self._conns.all():
            self.send(self._link, core.CloseConn(conn.conn_id))
            self._conn_lost(conn, 'the gate was lost')

    def unlock(self) -> None:
        """Give the gate lock back to the instance."""
        self.send(self._link, core.ReleaseGate())
        self.log.emit(
            core.LogEvent.GATE_RELEASED, instance=str(self.spec.name)
        )

    def refuse_queue(self) -> None:
        """Send everything that was not run to the next gate."""
        waiting: list[items.GateItem] = [*self._catching_up]
        self._catching_up.clear()
        for item in self._queue.drain():
            assert isinstance(item, items.GateItem)
            waiting.append(item)
        for item in waiting:
            self._move(item.submit, _REASON.NOT_GATE)

    def _release_if_empty(self) -> None:
        if self.state is not core.GateState.RELEASING:
            return
        if not self._running and not self._proving and not self.pinned:
            self._chart.fire(self, 'empty')

    # -- requests ---------------------------------------------------

    @runtime.handles(core.GroupState)
    def _on_group(self, state: core.GroupState) -> None:
        before, self._group = self._group, state
        if state.own.leaving and not (before and before.own.leaving):
            self.log.emit(
                core.LogEvent.INSTANCE_LEAVING, instance=str(self.spec.name)
            )
        if state.has_majority:
            self._majority_at = self.now()
        if before is None or _standing(before) != _standing(state):
            self._review_queue()
        self._pump()

    def _review_queue(self) -> None:
        """Give back what this instance may not run any more."""
        for item in self._queue.drain():
            assert isinstance(item, items.GateItem)
            reason = self._refusal(item.submit)
            if reason is not None:
                self._move(item.submit, reason)
            else:
                self._enqueue(item)

    @runtime.handles(core.Submit)
    def _on_submit(self, submit: core.Submit) -> None:
        request = submit.request
        self._note_use()
        if request.transaction is not None and request.begin is None:
            self._continue(submit)
            return
        reason = self._refusal(submit)
        if reason is not None:
            self._move(submit, reason)
            return
        item = items.GateItem(self, submit, self.now())
        waits = submit.role is core.Role.REPLICA and submit.patience > 0
        if waits and not self.fresh(submit):
            self._catching_up.append(item)
            self.send(self._group_task, core.WatchCatchUp(self.spec.name))
            self._watch()
            return
        self._enqueue(item)

    def _note_use(self) -> None:
        now = self.now()
        if now - self._used_at >= USE_NOTICE_INTERVAL:
            self._used_at = now
            self.send(self._group_task, core.GroupUsed())

    def _enqueue(self, item: items.GateItem) -> None:
        shed = self._queue.offer(item, self.now())
        if shed is not None:
            self.shed += 1
            self.log.emit(
                core.LogEvent.REQUEST_SHED,
                request=str(item.request.request_id),
                why=shed.reason,
            )
            self._requests.fire(item, 'refused', shed)
            return
        self._watch()
        self._pump()

    def _refusal(self, submit: core.Submit) -> core.MoveReason | None:
        if self.state not in (
            core.GateState.SERVING,
            core.GateState.CLAIMING,
        ):
            return _REASON.NOT_GATE
        return decisions.refusal(
            self._group, self.spec.name, submit, self._majority_at, self.now()
        )

    def fresh(self, submit: core.Submit) -> bool:
        """Tell whether the instance is proved as fresh as asked for."""
        return decisions.is_fresh(self._group, submit, self.now())

    def _continue(self, submit: core.Submit) -> None:
        transaction = submit.request.transaction
        assert transaction is not None
        conn = self._conns.of(transaction)
        item = items.GateItem(self, submit, self.now())
        if conn is None or conn.state is not core.ConnState.PINNED:
            item.reason = 'the transaction is not open here'
            self._requests.fire(item, 'refused')
            return
        self._start(item, conn)

    def _pump(self) -> None:
        if self.state is not core.GateState.SERVING:
            return
        now = self.now()
        if self._catching_up:
            self._admit_fresh(now)
        while len(self._running) < self.spec.slots:
            if not self._conns.idle and len(self._queue):
                break
            item = self._queue.take(now)
            if item is None:
                break
            conn = self._conns.take()
            assert isinstance(item, items.GateItem) and conn is not None
            self._start(item, conn)
        self._open_ahead()

    def _admit_fresh(self, now: float) -> None:
        waiting, self._catching_up = self._catching_up, []
        self.send(self._group_task, core.WatchCatchUp(self.spec.name))
        for item in waiting:
            if self.fresh(item.submit):
                self._enqueue(item)
            elif now - item.arrived >= item.submit.patience:
                self._move(item.submit, _REASON.NOT_FRESH)
            else:
                self._catching_up.append(item)

    def _open_ahead(self) -> None:
        busy = sum(1 for one in self._conns.all() if one.request_id)
        wanted = max(busy, self.pinned) + self.spec.slots + SPARE_CONNECTIONS
        wanted = min(wanted, self._conns.cap)
        while len(self._conns) < wanted:
            conn = self._conns.new()
            if conn is None:
                return
            self.send(self._link, core.OpenConn(conn.conn_id))

    def _start(self, item: items.GateItem, conn: conns.Conn) -> None:
        item.conn = conn.conn_id
        item.sent_at = self.now()
        self._running[item.request.request_id] = item
        self._queue.started(item, self.now())
        self._conns.run(conn, item.submit)
        self._requests.fire(item, 'sent')
        self._watch()
        self._next_step(item)

    def _next_step(self, item: items.GateItem) -> None:
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
        item = self._item_on(conn)
        if conn is None or item is None:
            return
        if not answer.final:
            if item.steps[0].purpose is decisions.Purpose.STATEMENT:
                item.streamed = True
                self._reply(
                    item.submit.origin,
                    core.ResultChunk(item.request.request_id, answer.data),
                )
            return
        item.step_done(answer)
        if item.steps:
            self._next_step(item)
            return
        self._answered(item, conn, answer)

    def _answered(
        self,
        item: items.GateItem,
        conn: conns.Conn,
        last: core.ConnAnswer,
    ) -> None:
        request = item.request
        request_id = request.request_id
        self._running.pop(request_id, None)
        self._queue.finished(item, self.now() - item.sent_at)
        keeps = request.keeps_connection
        self._conns.finished(
            conn,
            request.transaction is not None and (last.in_transaction or keeps),
        )
        answer = item.answer or last
        self._requests.fire(item, 'answered', answer)
        self._pump()
        self._release_if_empty()

    def _item_on(self, conn: conns.Conn | None) -> items.GateItem | None:
        if conn is None or conn.request_id is None:
            return None
        return self._running.get(conn.request_id)

    def await_proof(self, item: items.GateItem) -> None:
        """Ask the group for evidence of the request's commit."""
        state = self._group
        position = item.position
        if position is None:
            term = state.term if state is not None else core.Term(0)
            position = core.Position(term, core.LogPosition(0))
        self._proving[item.request.request_id] = item
        self.send(
            self._group_task,
            core.ProveCommit(
                self.task_name, item.request.request_id, position
            ),
        )

    @runtime.handles(core.Proved)
    def _on_proved(self, proved: core.Proved) -> None:
        item = self._proving.pop(proved.request_id, None)
        if item is not None:
            self._requests.fire(item, 'proved')
            self._release_if_empty()

    @runtime.handles(core.Disproved)
    def _on_disproved(self, disproved: core.Disproved) -> None:
        item = self._proving.pop(disproved.request_id, None)
        if item is not None:
            item.reason = 'a later term began before the commit was held'
            self._requests.fire(item, 'disproved')
            self._release_if_empty()

    def finish(
        self,
        item: items.GateItem,
        outcome: core.Outcome,
        error: core.CallerError | None,
    ) -> None:
        """Send the answer to the request's origin."""
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

    def move(self, item: items.GateItem) -> None:
        """Give the request back: it may run at another instance."""
        reason = _REASON.DOWN if item.reads else _REASON.NO_PRIMARY
        self._move(item.submit, reason)

    def cut(self, item: items.GateItem) -> None:
        """End the statement at the instance by closing its connection."""
        if item.conn is None:
            return
        self.log.emit(
            core.LogEvent.REQUEST_CUT,
            request=str(item.request.request_id),
            statement=str(item.request.statement_class),
        )
        conn = self._conns.find(item.conn)
        self.send(self._link, core.CloseConn(item.conn))
        if conn is not None:
            self._conns.lost(conn)

    def _move(self, submit: core.Submit, reason: core.MoveReason) -> None:
        self._reply(
            submit.origin,
            core.GateMoved(
                submit.request.request_id,
                self.spec.name,
                reason,
                self._report(submit.origin, True),
            ),
        )

    def _report(
        self, origin: core.VmName, always: bool = False
    ) -> core.InstanceReport | None:
        now = self.now()
        if not always and not self._hints.due(origin, now):
            return None
        wait = self._queue.wait(now)
        return self._hints.report(origin, self._group, wait, now)

    def _reply(self, origin: core.VmName, message: core.Message) -> None:
        if origin == self.vm:
            self.send(names.router(self.vm), message)
        else:
            self.send(names.peers(self.vm), core.ToPeer(origin, message))

    # -- connections ------------------------------------------------

    @runtime.handles(core.ConnOpened)
    def _on_opened(self, opened: core.ConnOpened) -> None:
        conn = self._conns.find(opened.conn_id)
        if conn is not None:
            self._conns.opened(conn)
            self.log.emit(
                core.LogEvent.CONN_OPENED, instance=str(self.spec.name)
            )
            self._pump()

    @runtime.handles(core.ConnClosed)
    def _on_closed(self, closed: core.ConnClosed) -> None:
        conn = self._conns.find(closed.conn_id)
        if conn is None:
            return
        event = core.LogEvent.CONN_LOST
        if closed.refused:
            event = core.LogEvent.CONN_REFUSED
        self.log.emit(event, instance=str(self.spec.name))
        self.send(self._group_task, core.Doubt(self.spec.name))
        self._conn_lost(conn, 'the connection to the instance was lost')
        self._watch()

    def _conn_lost(self, conn: conns.Conn, why: str) -> None:
        item = self._item_on(conn)
        self._conns.lost(conn)
        if item is None:
            return
        self._running.pop(item.request.request_id, None)
        self._queue.finished(item, self.now() - item.sent_at)
        item.reason = why
        self._requests.fire(item, 'conn_lost')

    @runtime.handles(core.Consumed)
    def _on_consumed(self, consumed: core.Consumed) -> None:
        item = self._running.get(consumed.request_id)
        if item is not None and item.conn is not None:
            self.send(self._link, core.ConnConsumed(item.conn, consumed.size))

    @runtime.handles(core.AbortTransaction)
    def _on_abort(self, abort: core.AbortTransaction) -> None:
        conn = self._conns.of(abort.transaction)
        if conn is not None:
            self._abort(conn)

    @runtime.handles(core.PeerDown)
    def _on_peer_down(self, down: core.PeerDown) -> None:
        for conn in self._conns.transactions_from(down.vm):
            self._abort(conn)

    def _abort(self, conn: conns.Conn) -> None:
        self.send(self._link, core.CloseConn(conn.conn_id))
        self._conn_lost(conn, 'the transaction was aborted')
        self._pump()
        self._release_if_empty()

    # -- deadlines --------------------------------------------------

    def _watch(self) -> None:
        if self._expire_timer is None:
            delay = CATCH_UP_POLL if self._catching_up else EXPIRY_INTERVAL
            self._expire_timer = self.after(delay, _Expire())

    @runtime.handles(_Expire)
    def _on_expire(self, tick: _Expire) -> None:
        self._expire_timer = None
        now = self.now()
        for item in self._queue.expire(now):
            assert isinstance(item, items.GateItem)
            item.reason = 'the deadline passed in the queue'
            self._requests.fire(item, 'expired')
        if self._queue.stuck(now):
            self._spread_reads(now)
            self._doubt(now)
        for running in [*self._running.values()]:
            if running.deadline <= now:
                self._expire_running(running)
        for proving in [*self._proving.values()]:
            if proving.deadline <= now:
                self._proving.pop(proving.request.request_id, None)
                proving.reason = 'no evidence of the commit in time'
                self._requests.fire(proving, 'expired')
        self._pump()
        self._release_if_empty()
        busy = self._running or self._proving or self._catching_up
        if busy or len(self._queue):
            self._watch()

    def _doubt(self, now: float) -> None:
        """Let the group look whether the instance still answers."""
        if now - self._doubted_at >= DOUBT_INTERVAL:
            self._doubted_at = now
            self.send(self._group_task, core.Doubt(self.spec.name))

    def _spread_reads(self, now: float) -> None:
        """Let reads behind long work run at another instance."""
        for item in self._queue.drain():
            assert isinstance(item, items.GateItem)
            if item.reads and now - item.arrived >= STUCK_PATIENCE:
                self._move(item.submit, _REASON.BUSY)
            else:
                self._queue.put_back(item)

    def _expire_running(self, item: items.GateItem) -> None:
        self._running.pop(item.request.request_id, None)
        self._queue.finished(item, self.now() - item.sent_at)
        item.reason = 'the deadline passed while the statement ran'
        self._requests.fire(item, 'expired')

    @runtime.handles(notices.Ask)
    def _on_ask(self, ask: notices.Ask) -> None:
        row = (
            ('instance', str(self.spec.name)),
            ('state', self.state.value),
            ('queued', str(len(self._queue))),
            ('running', str(len(self._running))),
            ('connections', str(len(self._conns))),
            ('wait_s', f'{self._queue.wait(self.now()):.4f}'),
            ('answered', str(self.answered)),
            ('shed', str(self.shed)),
        )
        self.send(
            ask.reply_to, notices.Told(self.task_name, ask.number, (row,))
        )


def _standing(
    state: core.GroupState,
) -> tuple[core.InstanceName | None, core.Term, bool, bool]:
    own = state.own
    return state.primary, state.term, own.alive, own.leaving
