"""The watch over one database group: probes, evidence, failover."""

from __future__ import annotations

import dataclasses
import json

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks import notices

__all__ = ['Group']

ACTIVE_INTERVAL = 1.0
DOUBT_LIFETIME = 1.0
IDLE_INTERVAL = 2.0
ACTIVE_LIFETIME = 5.0
BUSY_INTERVAL = 0.005
SUSPECT_INTERVAL = 0.05
PROBE_TIMEOUT = 0.35
CLAIM_TIMEOUT = 0.25
FENCE_TIMEOUT = 0.50
RANK_DELAY = 0.05
STAND_BACK = 0.30
CLAIM_LIFETIME = 30.0
MAJORITY_LIFETIME = 3.0


class _Turn(core.Message):
    """Time to probe the group again."""


@dataclasses.dataclass(frozen=True, slots=True)
class _StepLate(core.Message):
    """A step of a failover may have had no answer for too long."""

    attempt: int
    state: core.LeadState


@dataclasses.dataclass(slots=True)
class _Probing:
    """Probes of one instance: the number, and when the last began."""

    sequence: int = 0
    began_at: float = 0.0
    open: bool = False


class Group(runtime.Task):
    """Watch one group; live by the chart ``leadership``."""

    def __init__(
        self,
        loop: runtime.Runtime,
        vm: core.VmName,
        database: core.DatabaseName,
        members: tuple[core.InstanceName, ...],
        gates: tuple[core.InstanceName, ...],
        rank: int,
    ) -> None:
        super().__init__(loop, vm, f'group/{database}')
        self.state = core.LeadState.FOLLOWING
        self.database = database
        self._chart = charts.compiled('leadership')
        self._gates = gates
        self._rank = rank
        self._health = decisions.GroupHealth(members, self.now())
        self._freshness = decisions.Freshness()
        self._book = decisions.EvidenceBook(len(members))
        self._probing = {name: _Probing() for name in members}
        self._quiet_until = self.now()
        self._attempt = 0
        self._candidate_term = core.Term(0)
        self._recorded = core.Term(0)
        self._record_version = 0
        self._fenced: dict[core.InstanceName, core.FenceAnswer] = {}
        self._refused = 0
        self._used_at = self.now()
        self._doubt_until = self.now()
        self._told = (self._health.primary, self._health.term, self.state)
        self._turn_due = 0.0
        self._turn_timer: core.TimerId | None = None
        self.failovers = 0
        self._turn_within(0.0)
        self.send(names.table(vm), core.TableGet(self.task_name, self._key))

    @property
    def _key(self) -> str:
        return f'lead/{self.database}'

    @runtime.handles(notices.WatchGroup)
    def _on_watch(self, message: notices.WatchGroup) -> None:
        self._gates = message.gates
        self._rank = message.rank
        self._health.resize(message.members)
        self._book.majority = self._health.majority
        for name in message.members:
            self._probing.setdefault(name, _Probing())
        for gone in set(self._probing) - set(message.members):
            del self._probing[gone]
        self._turn_within(0.0)

    # -- probes -----------------------------------------------------

    def _turn_within(self, delay: float) -> None:
        """Let the next turn come after ``delay`` seconds at the latest."""
        due = self.now() + delay
        if self._turn_timer is not None and self._turn_due <= due:
            return
        self.cancel(self._turn_timer)
        self._turn_due = due
        self._turn_timer = self.after(delay, _Turn())

    @runtime.handles(_Turn)
    def _on_turn(self, turn: _Turn) -> None:
        self._turn_timer = None
        for name in tuple(self._probing):
            self._probe(name)
        self._turn_within(self._interval())

    def _probe(self, name: core.InstanceName) -> None:
        probing = self._probing.get(name)
        if probing is None:
            return
        now = self.now()
        if probing.open:
            if now - probing.began_at < PROBE_TIMEOUT:
                return
            lost = core.ProbeAnswer(name, probing.sequence, False)
            self._probed(lost)
        probing.open = True
        probing.sequence += 1
        probing.began_at = now
        self.send(names.agent(self.vm, name), core.Probe(probing.sequence))

    @runtime.handles(core.ProbeAnswer)
    def _on_probe(self, probe: core.ProbeAnswer) -> None:
        probing = self._probing.get(probe.instance)
        if probing is None or probe.sequence != probing.sequence:
            return
        if probing.open:
            self._probed(probe)

    def _probed(self, probe: core.ProbeAnswer) -> None:
        probing = self._probing[probe.instance]
        probing.open = False
        now = self.now()
        self._health.heard(probe, probing.began_at, now)
        if probe.alive and probe.instance == self._health.primary:
            self._freshness.primary_seen(
                probing.began_at, probe.applied, probe.starts
            )
        self._decide(probe, probing.began_at)
        self._lead(now)
        standing = (self._health.primary, self._health.term, self.state)
        changed = standing != self._told
        self._told = standing
        for name in self._gates:
            if changed or name == probe.instance:
                self._tell(name, now)
        self._turn_within(self._interval())

    def _decide(self, probe: core.ProbeAnswer, began_at: float) -> None:
        """Tell gates which of their claims this probe decides."""
        for claim, verdict in self._book.heard(probe, began_at):
            answer: core.Message = core.Disproved(claim.request_id)
            if verdict is decisions.Verdict.PROVED:
                answer = core.Proved(claim.request_id)
            self.send(claim.gate, answer)

    def _interval(self) -> float:
        """Return the time until the next turn, aligned between groups."""
        if len(self._book):
            return BUSY_INTERVAL
        if self.state is not core.LeadState.FOLLOWING:
            return SUSPECT_INTERVAL
        now = self.now()
        if self._health.any_failure() or now < self._doubt_until:
            return SUSPECT_INTERVAL
        active = now - self._used_at <= ACTIVE_LIFETIME
        interval = ACTIVE_INTERVAL if active else IDLE_INTERVAL
        return self.until_beat(interval)

    @runtime.handles(core.Doubt)
    def _on_doubt(self, doubt: core.Doubt) -> None:
        """Probe closely for a while: traffic shows trouble first."""
        self._doubt_until = self.now() + DOUBT_LIFETIME
        self._turn_within(0.0)

    @runtime.handles(core.GroupUsed)
    def _on_used(self, used: core.GroupUsed) -> None:
        idle = self.now() - self._used_at > ACTIVE_LIFETIME
        self._used_at = self.now()
        if idle:
            self._turn_within(0.0)

    def _tell(self, name: core.InstanceName, now: float) -> None:
        """Tell the instance's gate on this VM how the group stands."""
        probing = self._probing.get(name)
        if probing is None:
            return
        own = self._health.last(name)
        if own is None:
            own = core.ProbeAnswer(name, probing.sequence, False)
        elif self._health.missing(name, now):
            own = dataclasses.replace(own, alive=False)
        began_at = probing.began_at
        delay = 0.0
        if name == self._health.primary:
            lag = max(0.0, began_at - self._health.majority_at)
        else:
            lag = self._freshness.bound(own.applied, began_at)
            delay = self._freshness.apply_delay(own.applied, began_at)
        known = self.state is core.LeadState.FOLLOWING
        self.send(
            names.gate(self.vm, name),
            core.GroupState(
                self.database,
                self._health.primary if known else None,
                self._health.term,
                own,
                began_at,
                lag,
                delay,
                self._freshness.starts,
                self._health.has_majority(now, MAJORITY_LIFETIME),
            ),
        )

    # -- evidence ---------------------------------------------------

    @runtime.handles(core.ProveCommit)
    def _on_prove(self, claim: core.ProveCommit) -> None:
        now = self.now()
        self._book.drop_before(now - CLAIM_LIFETIME)
        self._book.ask(claim, now)
        for name in self._probing:
            self._probe(name)

    @runtime.handles(core.WatchCatchUp)
    def _on_catch_up(self, watch: core.WatchCatchUp) -> None:
        if self._health.primary is not None:
            self._probe(self._health.primary)
        self._probe(watch.instance)

    # -- failover ---------------------------------------------------

    def _lead(self, now: float) -> None:
        silent = self._health.primary_silent(now)
        if not silent:
            self._chart.fire(self, 'primary_heard')
            return
        self._chart.fire(self, 'primary_silent')
        if self.state is not core.LeadState.SUSPECTING:
            return
        if now >= self._quiet_until and self._health.silence_confirmed(now):
            self._chart.fire(self, 'silence_confirmed')

    def probe_all(self) -> None:
        """Begin to suspect: probe faster, and wait for one's turn."""
        self.log.emit(
            core.LogEvent.PRIMARY_SILENT,
            database=str(self.database),
            primary=str(self._health.primary or ''),
        )
        self._quiet_until = max(
            self._quiet_until, self.now() + self._rank * RANK_DELAY
        )
        for name in self._probing:
            self._probe(name)

    def clear(self) -> None:
        """Note that the suspected primary was heard again."""
        self.log.emit(core.LogEvent.PRIMARY_HEARD, database=str(self.database))

    def claim_term(self) -> None:
        """Claim the next term by a conditional write."""
        self._attempt += 1
        self._candidate_term = decisions.next_term(
            self._health, self._recorded
        )
        self.log.emit(
            core.LogEvent.TERM_CLAIMED,
            database=str(self.database),
            term=self._candidate_term,
        )
        value = json.dumps(
            {'term': self._candidate_term, 'candidate': self.vm}
        )
        self.send(
            names.table(self.vm),
            core.TablePut(
                self.task_name,
                self._key,
                value.encode(),
                self._record_version,
            ),
        )
        self._time_step(CLAIM_TIMEOUT)

    def _time_step(self, seconds: float) -> None:
        self.after(seconds, _StepLate(self._attempt, self.state))

    @runtime.handles(core.TableAnswer)
    def _on_table(self, answer: core.TableAnswer) -> None:
        refused = isinstance(answer.error, core.PlatformRefused)
        if answer.error is None or refused:
            self._note_record(answer)
        if not answer.put:
            return
        if answer.error is None:
            self._chart.fire(self, 'term_won')
        elif refused:
            own = self._recorded == self._candidate_term and (
                self._recorded_by(answer) == self.vm
            )
            self._chart.fire(self, 'term_won' if own else 'term_lost')
        else:
            self._skip_store()

    def _note_record(self, answer: core.TableAnswer) -> None:
        self._record_version = answer.version
        if answer.value:
            document = json.loads(answer.value)
            self._recorded = core.Term(int(document.get('term', 0)))

    @staticmethod
    def _recorded_by(answer: core.TableAnswer) -> str:
        document = json.loads(answer.value or b'{}')
        return str(document.get('candidate', ''))

    def _skip_store(self) -> None:
        if self.state is core.LeadState.CLAIMING:
            self.log.emit(
                core.LogEvent.STORE_SKIPPED, database=str(self.database)
            )
        self._chart.fire(self, 'store_silent')

    def fence(self) -> None:
        """Ask every instance to accept nothing of an earlier term."""
        self._fenced.clear()
        self._refused = 0
        for name in self._probing:
            self.send(
                names.agent(self.vm, name),
                core.Fence(self._candidate_term, self.vm),
            )
        self._time_step(FENCE_TIMEOUT)

    @runtime.handles(core.FenceAnswer)
    def _on_fence(self, answer: core.FenceAnswer) -> None:
        if self.state is not core.LeadState.FENCING:
            return
        if answer.accepted and answer.term == self._candidate_term:
            self._fenced[answer.instance] = answer
        else:
            self._refused += 1
        if len(self._fenced) >= self._health.majority:
            self._chart.fire(self, 'majority_fenced')
        elif self._refused >= self._health.majority:
            self.log.emit(
                core.LogEvent.FENCE_REFUSED, database=str(self.database)
            )
            self._chart.fire(self, 'fence_refused')

    def promote(self) -> None:
        """Promote the fenced instance that has the longest log."""
        leaving = frozenset(
            name
            for name in self._probing
            if (last := self._health.last(name)) is not None and last.leaving
        )
        chosen = decisions.choose_leader(self._fenced.values(), leaving)
        self.send(
            names.agent(self.vm, chosen),
            core.Promote(self._candidate_term, self.vm),
        )
        self._time_step(FENCE_TIMEOUT)

    @runtime.handles(core.PromoteAnswer)
    def _on_promote(self, answer: core.PromoteAnswer) -> None:
        if answer.term != self._candidate_term:
            return
        event = 'promote_refused'
        if answer.accepted:
            event = 'promoted'
            self._health.promoted(answer.instance, answer.term, self.now())
        self._chart.fire(self, event)

    @runtime.handles(_StepLate)
    def _on_step_late(self, late: _StepLate) -> None:
        if late.attempt != self._attempt or late.state is not self.state:
            return
        if self.state is core.LeadState.CLAIMING:
            self._skip_store()
            return
        self._chart.fire(self, 'timed_out')

    def announce(self) -> None:
        """Probe at once, so that gates learn the new primary."""
        self.failovers += 1
        self.log.emit(
            core.LogEvent.PRIMARY_PROMOTED,
            database=str(self.database),
            term=self._candidate_term,
        )
        self._quiet_until = self.now() + STAND_BACK
        for name in self._probing:
            self._probe(name)
        for name in self._gates:
            self._tell(name, self.now())

    def stand_back(self) -> None:
        """Leave the failover to others for a while."""
        self.log.emit(
            core.LogEvent.TERM_LOST,
            database=str(self.database),
            term=self._candidate_term,
        )
        self._quiet_until = self.now() + STAND_BACK * (1 + self._rank)
        self.send(
            names.table(self.vm), core.TableGet(self.task_name, self._key)
        )

    @runtime.handles(notices.Ask)
    def _on_ask(self, ask: notices.Ask) -> None:
        rows = []
        for name in self._probing:
            last = self._health.last(name)
            alive = last is not None and not self._health.missing(
                name, self.now()
            )
            rows.append(
                (
                    ('database', str(self.database)),
                    ('instance', str(name)),
                    ('alive', str(alive).lower()),
                    ('role', last.role.value if last else ''),
                    ('term', str(last.term if last else 0)),
                    ('received', str(last.received.offset if last else 0)),
                    ('applied', str(last.applied.offset if last else 0)),
                    ('watch', self.state.value),
                )
            )
        self.send(
            ask.reply_to,
            notices.Told(self.task_name, ask.number, tuple(rows)),
        )
