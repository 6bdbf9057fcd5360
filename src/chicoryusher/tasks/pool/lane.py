"""The lane to one instance: what waits for it, and its connections."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool import conns as conns_module
from chicoryusher.tasks.pool import lane_answers

__all__ = ['Lane', 'LaneShare']

# Seconds between looks at what is late, while there is work.
SWEEP = 0.05
# Seconds without a byte of an instance that owes answers before it is
# tried with a new connection; over most work (means of 7 to 47 ms).
SILENCE = 0.25
# Seconds that a connection may take to roll back before it is closed.
ROLLBACK_LIMIT = 0.6
# Seconds without new connections after the instance refused one.
REFUSED_PAUSE = 0.3
# Seconds that a connection over the VM's share stays open unused.
SURPLUS_IDLE = 1.5
_ENDED = core.Ended
# Stands for the answer of an instance that gave none.
_NO_REPLY = core.Reply(core.BlockState.IDLE, None)


@dataclasses.dataclass(frozen=True, slots=True)
class LaneShare(core.Message):
    """How many connections this VM may hold."""

    share: decisions.ConnShare


class _Sweep(core.Message):
    """Time to look at what is late."""


class Lane(runtime.Task):
    """Run work on pooled connections to one instance."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        entry: core.InstanceEntry,
    ) -> None:
        super().__init__(loop, vm, f'lane/{names.life_of(entry)}')
        self.entry = entry
        self._clock = loop.clock
        self._link = names.pool_link(vm, entry)
        self._conns = conns_module.PoolConns()
        self._waiting = decisions.WaitingWork()
        self._share = decisions.ConnShare(1, 1)
        self._refused_until = 0.0
        self._heard_at = 0.0
        self._missed = False
        self._sweeping = False

    @property
    def connections(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._conns)

    @runtime.handles(LaneShare)
    def _on_share(self, message: LaneShare) -> None:
        self._share = message.share

    # -- work in --------------------------------------------------------

    @runtime.handles(core.Work)
    def _on_work(self, work: core.Work) -> None:
        if work.transaction is not None and work.begins is None:
            self._continue(work)
            return
        self._waiting.add(work)
        self._dispatch()

    def _continue(self, work: core.Work) -> None:
        """Run a further statement of an open transaction."""
        assert work.transaction is not None
        conn = self._conns.of(work.transaction)
        if conn is None or conn.state is not core.ConnState.PINNED:
            self._end(work, _ENDED.LOST)
            return
        self._run(conn, work)

    def _dispatch(self) -> None:
        now = self.now()
        idle = self._conns.idle()
        while idle and (work := self._waiting.take(now)) is not None:
            conn = min(idle, key=lambda one: decisions.fits(one.memory, work))
            idle.remove(conn)
            self._run(conn, work)
        self._open_more(now)
        self._sweep_soon()

    def _open_more(self, now: float) -> None:
        if now < self._refused_until:
            return
        wanted = len(self._waiting) - self._conns.connecting
        while wanted > 0 and len(self._conns) < self._share.most:
            self._open(now)
            wanted -= 1

    def _open(self, now: float) -> None:
        conn = self._conns.new(now)
        self.send(self._link, core.OpenLink(conn.conn_id))
        opened = core.Metric.CONNECTIONS_OPENED
        self.meters.add(opened, instance=self.entry.name)
        self._show_connections()

    def _show_connections(self) -> None:
        metric, name = core.Metric.CONNECTIONS, self.entry.name
        self.meters.show(metric, len(self._conns), instance=name)

    def _run(self, conn: conns_module.PoolConn, work: core.Work) -> None:
        commands = decisions.suit(conn.memory, work)
        if work.begins is None:
            commands.append(self._statement(conn, work))
        else:
            commands.append(decisions.begin_command(work))
        self._conns.run(conn, work)
        conn.sent_at = self.now()
        self.meters.record(
            core.Metric.QUEUE,
            conn.sent_at - work.offered_at,
            instance=self.entry.name,
        )
        conn.asked_at = self._clock.running_on()
        self._send(conn, commands)
        self._sweep_soon()

    @staticmethod
    def _statement(
        conn: conns_module.PoolConn, work: core.Work
    ) -> core.Command:
        name = ''
        if work.shape is not None:
            name = conn.memory.prepared[work.shape]
        after = work.after if work.transaction is None else None
        return core.Command(
            core.Op.RUN,
            request_id=work.request_id,
            statement=work.statement,
            name=name,
            after=after,
        )

    def _send(
        self, conn: conns_module.PoolConn, commands: list[core.Command]
    ) -> None:
        if not self._conns.busy():
            self._heard_at = self.now()
        conn.sent.extend(one.op for one in commands)
        self.send(self._link, core.SendCommands(conn.conn_id, tuple(commands)))

    # -- answers --------------------------------------------------------

    @runtime.handles(core.LinkOpened)
    def _on_opened(self, message: core.LinkOpened) -> None:
        conn = self._conns.find(message.conn_id)
        if conn is None:
            return
        self._heard()
        self._conns.opened(conn, self.now())
        self._dispatch()

    @runtime.handles(core.LinkAnswer)
    def _on_answer(self, message: core.LinkAnswer) -> None:
        conn = self._conns.find(message.conn_id)
        if conn is None:
            return
        self._heard()
        if not conn.sent:
            self._drop(conn, _ENDED.LOST)
            return
        op = conn.sent.popleft()
        lane_answers.ANSWERS.get(op)(self, conn, message.reply)

    def _heard(self) -> None:
        self._heard_at = self.now()
        self._missed = False

    def begun(self, conn: conns_module.PoolConn, reply: core.Reply) -> None:
        """Go on with the statement, or give the work back."""
        work = conn.work
        if work is None or conn.doubtful:
            self._drop(conn, _ENDED.LOST)
        elif reply.refusal is None:
            conn.sent_at = self.now()
            self._send(conn, [self._statement(conn, work)])
        else:
            self._conns.finished(conn, False, self.now())
            self._end(work, _ENDED.NOT_RUN, reply)
            self._dispatch()

    def ran(self, conn: conns_module.PoolConn, reply: core.Reply) -> None:
        """Report what the statement gave."""
        work = conn.work
        if work is None or conn.doubtful:
            self._drop(conn, _ENDED.LOST)
            return
        sent_at, asked_at = conn.sent_at, conn.asked_at
        pinned = reply.block is core.BlockState.OPEN
        clean = reply.block is core.BlockState.IDLE or pinned
        if pinned and work.transaction is None:
            clean = False
        if clean:
            self._conns.finished(conn, pinned, self.now())
        else:
            conn.work = None
            self._reset(conn, work)
        self._end(work, _ENDED.ANSWERED, reply, sent_at, asked_at)
        self._dispatch()

    def _reset(self, conn: conns_module.PoolConn, work: core.Work) -> None:
        """Roll a failed transaction back; close what can't be."""
        if work.transaction is None:
            self._drop(conn, _ENDED.LOST)
            return
        self._send(conn, [core.Command(core.Op.ROLLBACK)])

    def rolled_back(
        self, conn: conns_module.PoolConn, reply: core.Reply
    ) -> None:
        """Free the connection of a transaction that was rolled back."""
        if reply.block is not core.BlockState.IDLE:
            self._drop(conn, _ENDED.LOST)
            return
        self._conns.finished(conn, False, self.now())
        self._dispatch()

    # -- ends -----------------------------------------------------------

    @runtime.handles(core.EndTransaction)
    def _on_end(self, message: core.EndTransaction) -> None:
        conn = self._conns.of(message.transaction)
        if conn is None:
            return
        if conn.state is not core.ConnState.PINNED:
            if not conn.sent or conn.sent[-1] is not core.Op.ROLLBACK:
                self._drop(conn, _ENDED.LOST)
            return
        self._conns.run(conn, None)
        conn.sent_at = self.now()
        self._send(conn, [core.Command(core.Op.ROLLBACK)])

    @runtime.handles(core.CancelWork)
    def _on_cancel(self, message: core.CancelWork) -> None:
        if self._waiting.cancel(message.work_id):
            return
        for conn in self._conns.busy():
            work = conn.work
            if work is not None and work.work_id == message.work_id:
                conn.work = None
                if work.transaction is not None:
                    self._drop(conn, _ENDED.LOST)

    @runtime.handles(core.LinkClosed)
    def _on_closed(self, message: core.LinkClosed) -> None:
        conn = self._conns.find(message.conn_id)
        if conn is None:
            return
        opening = conn.state is core.ConnState.CONNECTING
        if message.reason is core.LinkEnd.TOO_MANY:
            self._refused_until = self.now() + REFUSED_PAUSE
        self._forget(conn, _ENDED.LOST)
        if opening:
            self._not_opened(message.reason)
        elif message.reason is not core.LinkEnd.GARBLED:
            self._trouble()
        self._dispatch()

    def _not_opened(self, reason: core.LinkEnd) -> None:
        if reason is core.LinkEnd.TOO_MANY:
            if not len(self._conns):
                self._give_back(_ENDED.NOT_STARTED)
            return
        self._refused_until = self.now() + REFUSED_PAUSE
        self._trouble()
        self._give_back(_ENDED.NOT_STARTED)
        if reason is core.LinkEnd.SILENT:
            self._missed = True
            for conn in self._conns.all():
                if conn.state is not core.ConnState.CONNECTING:
                    self._drop(conn, _ENDED.LOST)

    def _trouble(self) -> None:
        message = core.InstanceTrouble(self.entry.name)
        self.send(names.watch(self.vm), message)
        self.send(names.desk(self.vm), message)

    def _give_back(self, ended: core.Ended) -> None:
        for work in self._waiting.drain():
            self._end(work, ended)

    @runtime.handles(core.StopLane)
    def _on_stop(self, message: core.StopLane) -> None:
        self._give_back(_ENDED.NOT_STARTED)
        for conn in self._conns.all():
            self._drop(conn, _ENDED.LOST)

    def _drop(self, conn: conns_module.PoolConn, ended: core.Ended) -> None:
        """Close a connection; its work ends as told."""
        self.send(self._link, core.CloseLink(conn.conn_id))
        self._forget(conn, ended)

    def _forget(self, conn: conns_module.PoolConn, ended: core.Ended) -> None:
        """Drop what is known of a connection; its work ends as told."""
        work = conn.work
        conn.work = None
        self._conns.lost(conn)
        self._show_connections()
        if work is not None:
            self._end(work, ended, _NO_REPLY, conn.sent_at, conn.asked_at)

    def _end(
        self,
        work: core.Work,
        ended: core.Ended,
        reply: core.Reply = _NO_REPLY,
        sent_at: float | None = None,
        asked_at: float | None = None,
    ) -> None:
        self.send(
            work.owner,
            core.WorkEnded(
                work.work_id,
                self.entry.name,
                ended,
                reply.rows,
                reply.digest,
                reply.refusal,
                reply.detail,
                reply.position,
                reply.block,
                sent_at,
                asked_at,
            ),
        )

    # -- time -----------------------------------------------------------

    def _sweep_soon(self) -> None:
        needed = len(self._waiting) or self._conns.busy()
        surplus = len(self._conns) > self._share.kept
        if (needed or surplus) and not self._sweeping:
            self._sweeping = True
            self.after(SWEEP, _Sweep())

    @runtime.handles(_Sweep)
    def _on_sweep(self, sweep: _Sweep) -> None:
        self._sweeping = False
        now = self.now()
        for work in self._waiting.expire(now):
            self._end(work, _ENDED.NOT_STARTED)
        for conn in self._conns.busy():
            self._check(conn, now)
        self._check_silence(now)
        self._close_surplus(now)
        self._open_more(now)
        self._sweep_soon()

    def _check(self, conn: conns_module.PoolConn, now: float) -> None:
        work = conn.work
        elapsed = now - conn.sent_at
        if work is None:
            if elapsed > ROLLBACK_LIMIT:
                self._drop(conn, _ENDED.LOST)
        elif elapsed >= work.limit:
            self._drop(conn, _ENDED.OVERTIME)
        elif decisions.may_repeat(work) and elapsed > work.patience:
            self._drop(conn, _ENDED.LOST)

    def _check_silence(self, now: float) -> None:
        """Try a new connection where the instance owes answers."""
        busy = self._conns.busy()
        if not busy or self._conns.connecting or self._missed:
            return
        oldest = min(one.sent_at for one in busy)
        if now - max(oldest, self._heard_at) < SILENCE:
            return
        self._missed = True
        self.send(names.watch(self.vm), core.InstanceTrouble(self.entry.name))
        self._open(now)

    def _close_surplus(self, now: float) -> None:
        surplus = len(self._conns) - self._share.kept
        for conn in self._conns.idle():
            if surplus <= 0:
                return
            if now - conn.idle_since >= SURPLUS_IDLE:
                self._drop(conn, _ENDED.LOST)
                surplus -= 1
