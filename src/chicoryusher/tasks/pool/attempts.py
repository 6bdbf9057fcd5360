"""Statements on their way: where each goes, and what its caller is told."""

from __future__ import annotations

import dataclasses
import itertools

from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks.pool import attempt_notes
from chicoryusher.tasks.pool import choosing
from chicoryusher.tasks.pool import endings
from chicoryusher.tasks.pool import roster as roster_module
from chicoryusher.tasks.pool import sessions

__all__ = ['Attempts', 'OfferAgain']

# Part of the latency target for which a request may wait for a primary
# or an instance to come; longer waits are better spent by the caller.
HOLD = 0.2
# Seconds between looks for an instance, and before a refusal is retried.
RETRY_PAUSE = 0.02
# Seconds that a statement must have left to be sent at all.
MIN_LIMIT = 0.05
_Block = core.BlockState
_Metric = core.Metric


@dataclasses.dataclass(frozen=True, slots=True)
class OfferAgain(core.Message):
    """Time to look for an instance again."""

    attempt: sessions.Attempt


class Attempts:
    """The statements that a desk's lanes run; the desk owns it.

    ``until`` is when the authority to use primaries ends, on the clock
    that runs on while suspended.
    """

    def __init__(
        self,
        desk: runtime.Task,
        roster: roster_module.Roster,
        clock: core.Clock,
    ) -> None:
        self._desk = desk
        self._roster = roster
        self._clock = clock
        self._numbers = itertools.count(1)
        self._notes = attempt_notes.AttemptNotes(desk)
        self._running: dict[core.WorkId, sessions.Attempt] = {}
        self.until = float('-inf')

    def authority(self) -> bool:
        """Tell whether primaries may be used now."""
        return self._authority_left() > 0.0

    def _authority_left(self) -> float:
        return self.until - self._clock.running_on()

    # -- choosing -------------------------------------------------------

    def start(
        self,
        session: sessions.PoolSession,
        message: core.PoolStatement,
        route: core.PoolRoute,
        shape: core.Shape | None,
    ) -> None:
        """Send a statement on its way."""
        attempt = sessions.Attempt(
            session,
            message,
            route,
            shape,
            self._desk.now(),
            self._clock.running_on(),
        )
        session.attempt = attempt
        self._offer(attempt)

    def offer_again(self, attempt: sessions.Attempt) -> None:
        """Look for an instance again, if the caller still waits."""
        if attempt.session.attempt is attempt:
            self._offer(attempt)

    def _offer(self, attempt: sessions.Attempt) -> None:
        """Give the statement to the lane of the best instance."""
        transaction = attempt.session.transaction
        if transaction is not None and transaction.instance is not None:
            self._go_on(attempt, transaction.instance)
            return
        group = self._roster.groups.get(attempt.route.service)
        if group is None:
            self._hold(attempt, 'no instance of the group is known')
            return
        needs = choosing.needs_of(attempt, group)
        name = choosing.choose(
            attempt,
            group,
            needs,
            self.authority(),
            self._desk.now(),
            self._clock.running_on(),
        )
        if name is None:
            self._hold(attempt, 'no instance may serve it')
            return
        attempt.needs_age = needs.age
        attempt.at_primary = name == group.primary
        after = None if attempt.at_primary else needs.after
        self._submit(attempt, name, choosing.begins_of(transaction), after)

    def _go_on(
        self, attempt: sessions.Attempt, instance: core.InstanceName
    ) -> None:
        """Run a further statement of a transaction where that began."""
        if instance in self._roster:
            self._submit(attempt, instance, None, None)
        else:
            self.finish(attempt, core.Refusal.ABORTED, 'instance gone')

    def _submit(
        self,
        attempt: sessions.Attempt,
        name: core.InstanceName,
        begins: core.Begins | None,
        after: core.Position | None,
    ) -> None:
        now = self._desk.now()
        left = attempt.arrived + attempt.route.limit - now
        if left < MIN_LIMIT:
            self.finish(attempt, endings.spent(attempt), 'out of time')
            return
        work_id = core.WorkId(next(self._numbers))
        attempt.work_id = work_id
        attempt.instance = name
        attempt.via = self._via(attempt, name)
        attempt.tries += 1
        self._running[work_id] = attempt
        one = self._instance(attempt)
        if one is not None:
            one.outstanding += 1
        self._notes.sent(attempt, after, self._authority_left())
        work = choosing.work_of(
            attempt, work_id, self._desk.task_name, now, begins, after
        )
        self._give(attempt, name, work)

    def _give(
        self,
        attempt: sessions.Attempt,
        name: core.InstanceName,
        work: core.Work,
    ) -> None:
        """Give work to this VM's lane, or to the VM that has one."""
        if attempt.via is None:
            self._desk.send(self._roster.lane(name), work)
            return
        forward = core.ForwardWork(attempt.via, self._roster.entry(name), work)
        self._desk.send(names.forwarder(self._desk.vm), forward)

    def _via(
        self, attempt: sessions.Attempt, name: core.InstanceName
    ) -> core.VmName | None:
        """Return the VM that runs it; a transaction stays at one."""
        transaction = attempt.session.transaction
        if transaction is None:
            return self._roster.via(name)
        if transaction.instance is None:
            transaction.via = self._roster.via(name)
        return transaction.via

    def _hold(self, attempt: sessions.Attempt, why: str) -> None:
        """Wait a little for an instance, or refuse."""
        if attempt.refused:
            attempt.refused = frozenset()
        now = self._desk.now()
        group = self._roster.groups.get(attempt.route.service)
        coming = group is not None and group.expects_primary(now)
        hold = choosing.START if attempt.offered or coming else HOLD
        if now >= attempt.arrived + attempt.route.target * hold:
            self.finish(attempt, core.Refusal.BUSY, why)
            return
        if attempt.held_for != why:
            attempt.held_for = why
            self._notes.held(attempt, why, self._authority_left())
        self._desk.after(RETRY_PAUSE, OfferAgain(attempt))

    # -- results --------------------------------------------------------

    def ended(self, ended: core.WorkEnded) -> core.ServiceName | None:
        """Take the end of work; return the group it was for, if known."""
        attempt = self._running.pop(ended.work_id, None)
        if attempt is None:
            return None
        self._settle_count(attempt)
        self._learn(attempt, ended)
        endings.ENDINGS.get(ended.ended)(self, attempt, ended)
        return attempt.route.service

    def lose(self, name: core.InstanceName) -> None:
        """End the work at an instance that has gone."""
        for attempt in tuple(self._running.values()):
            if attempt.instance == name:
                assert attempt.work_id is not None
                ended = core.WorkEnded(attempt.work_id, name, core.Ended.LOST)
                self._desk.send(self._desk.task_name, ended)

    def abandon(self, session: sessions.PoolSession) -> None:
        """Forget the session's statement; its caller has gone."""
        attempt = session.attempt
        if attempt is None or attempt.work_id is None:
            return
        self._running.pop(attempt.work_id, None)
        self._settle_count(attempt)
        if attempt.via is not None:
            self._desk.send(
                names.forwarder(self._desk.vm),
                core.ForwardCancel(attempt.work_id),
            )
        elif attempt.instance in self._roster:
            self._desk.send(
                self._roster.lane(attempt.instance),
                core.CancelWork(attempt.work_id),
            )

    def roll_back(self, session: sessions.PoolSession) -> None:
        """End the session's transaction at its instance."""
        transaction = session.transaction
        if transaction is None:
            return
        if transaction.via is not None:
            self._desk.send(
                names.forwarder(self._desk.vm),
                core.ForwardEnd(transaction.number),
            )
            return
        if transaction.instance not in self._roster:
            return
        self._desk.send(
            self._roster.lane(transaction.instance),
            core.EndTransaction(transaction.number),
        )

    def use(self, name: core.InstanceName) -> bool:
        """Tell whether a statement is on its way to an instance."""
        return any(one.instance == name for one in self._running.values())

    def fence(self, name: core.InstanceName) -> None:
        """Take answers of an instance that come late as proof of nothing."""
        for attempt in self._running.values():
            if attempt.instance == name:
                attempt.fenced = True

    def _instance(
        self, attempt: sessions.Attempt
    ) -> decisions.PoolInstance | None:
        return self._roster.instance(attempt.route.service, attempt.instance)

    def _settle_count(self, attempt: sessions.Attempt) -> None:
        one = self._instance(attempt)
        if one is not None:
            one.outstanding = max(0, one.outstanding - 1)

    def _learn(self, attempt: sessions.Attempt, ended: core.WorkEnded) -> None:
        group = self._roster.groups.get(attempt.route.service)
        if group is None:
            return
        now_on = self._clock.running_on()
        trusted = (
            attempt.at_primary and self.authority() and not attempt.fenced
        )
        if group.learn(ended, trusted, now_on):
            assert ended.position is not None and ended.asked_at is not None
            observed = core.PrimaryObserved(
                group.service, ended.position, ended.asked_at
            )
            self._desk.send(names.exchange(self._desk.vm), observed)
        one = group.instances.get(ended.instance)
        if one is None:
            return
        if ended.sent_at is not None:
            self._learn_time(one, ended, self._desk.now() - ended.sent_at)
        if ended.refusal is core.Refusal.NOT_FRESH:
            one.fell_behind(attempt.needs_age, now_on)

    def _learn_time(
        self,
        one: decisions.PoolInstance,
        ended: core.WorkEnded,
        seconds: float,
    ) -> None:
        self._desk.meters.record(
            _Metric.RUN,
            seconds,
            instance=ended.instance,
            ended=ended.ended.value,
        )
        if ended.ended is core.Ended.ANSWERED:
            one.answered(seconds)

    def try_elsewhere(
        self, attempt: sessions.Attempt, avoid: core.InstanceName, why: str
    ) -> None:
        """Run a statement that was not run, or may run again."""
        attempt.refused |= {avoid}
        self._release(attempt)
        self._notes.held(attempt, why, self._authority_left())
        self._offer(attempt)

    def wait_and_retry(self, attempt: sessions.Attempt, why: str) -> None:
        """Run a statement again at the same group a little later."""
        self._release(attempt)
        self._hold(attempt, why)

    def _release(self, attempt: sessions.Attempt) -> None:
        """Let the statement go to any instance again."""
        attempt.offered = True
        transaction = attempt.session.transaction
        if transaction is not None:
            transaction.instance = None

    def report_trouble(self, name: core.InstanceName) -> None:
        """Let the watch look at an instance."""
        self._desk.send(names.watch(self._desk.vm), core.InstanceTrouble(name))

    # -- answers --------------------------------------------------------

    def finish(
        self,
        attempt: sessions.Attempt,
        refusal: core.Refusal,
        why: str,
        block: core.BlockState = _Block.IDLE,
    ) -> None:
        """Answer with a refusal, and say why in the log."""
        session = attempt.session
        if block is _Block.IDLE:
            self.roll_back(session)
        left = self._authority_left()
        self._notes.refused(attempt, refusal, why, left)
        answer = core.SessionAnswer(
            session.session_id,
            attempt.message.request_id,
            block,
            refusal=refusal,
            detail=str(attempt.instance or ''),
        )
        session.host.answered(session, answer)

    def deliver(
        self,
        attempt: sessions.Attempt,
        ended: core.WorkEnded,
        block: core.BlockState,
    ) -> None:
        """Pass the instance's answer on to the caller."""
        session = attempt.session
        if ended.refusal is None:
            self._notes.done(attempt)
        else:
            why = 'the instance ran it and failed'
            left = self._authority_left()
            self._notes.refused(attempt, ended.refusal, why, left)
        answer = core.SessionAnswer(
            session.session_id,
            attempt.message.request_id,
            block,
            ended.rows,
            ended.digest,
            ended.refusal,
            ended.detail,
            ended.position,
        )
        session.host.answered(session, answer)
