"""Group monitor: probes one database group and fails it over.

Each VM that is the gate of an instance of the group has a monitor.  It
probes all instances of the group, reports their state to the VM's gates,
gives evidence for commits and reads, and replaces a lost primary.
"""

from __future__ import annotations

import dataclasses
import json

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import names
from chicoryusher.tasks import task_messages

__all__ = ['GroupMonitor']

# Interval of the probes of a group that has had requests recently.
ACTIVE_PROBE_INTERVAL_S = 1.0
# Time of frequent probes after a gate has reported a suspected instance.
SUSPICION_LIFETIME_S = 1.0
IDLE_PROBE_INTERVAL_S = 2.0
# Time after a report of requests for which the group counts as active.
ACTIVE_PERIOD_S = 5.0
# Interval of the probes while requests wait for evidence.
PROOF_PROBE_INTERVAL_S = 0.005
# Interval of the probes while an instance is suspected or a failover runs.
SUSPECT_PROBE_INTERVAL_S = 0.05
PROBE_TIMEOUT_S = 0.35
# Longest wait for the platform's table before a failover goes on without it.
CLAIM_TIMEOUT_S = 0.25
# Longest wait for fences, and again for the promotion.
STEP_TIMEOUT_S = 0.50
# Delay before a failover for each VM that is earlier in the order of VMs.
RANK_DELAY_S = 0.05
# Time after a failover, or a failed attempt, until this VM starts another.
BACK_OFF_S = 0.30
# Time after which a request for evidence is dropped.
PROOF_REQUEST_LIFETIME_S = 30.0
# Time for which a majority that was seen in the term counts as present.
MAJORITY_LIFETIME_S = 3.0


class _ProbeRoundDue(core.Message):
    """Timer: probe all instances of the group."""


@dataclasses.dataclass(frozen=True, slots=True)
class _StepTimeout(core.Message):
    """Timer: a step of a failover has timed out.

    It is void if the attempt or the state is no longer the current one.
    """

    attempt: int
    state: core.GroupMonitorState


@dataclasses.dataclass(slots=True)
class _ProbeState:
    """Last probe of one instance: its number and when it began.

    ``pending`` is set until the probe is answered or times out.
    """

    sequence: int = 0
    began_at: float = 0.0
    pending: bool = False


class GroupMonitor(runtime.Task):
    """Task that monitors one group; its state chart is ``leadership``.

    ``members`` are the instances of the group, ``gates`` those of them
    whose gate is this VM, and ``rank`` the place of this VM in the order
    in which VMs fail the group over.  ``failovers`` counts the failovers
    that this VM has done.
    """

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
        self.state = core.GroupMonitorState.FOLLOWING
        self.database = database
        self._chart = charts.load_machine('leadership')
        self._gates = gates
        self._rank = rank
        self._health = decisions.GroupHealth(members, self.now())
        self._freshness = decisions.StalenessBounds()
        self._pending_proofs = decisions.PendingProofs(len(members))
        self._probes = {name: _ProbeState() for name in members}
        self._no_failover_before = self.now()
        self._attempt = 0
        self._candidate_term = core.Term(0)
        self._recorded_term = core.Term(0)
        self._record_version = 0
        self._fenced: dict[core.InstanceName, core.FenceAnswer] = {}
        self._refused_fence_count = 0
        self._used_at = self.now()
        self._suspected_until = self.now()
        self._reported_leadership = (
            self._health.primary,
            self._health.term,
            self.state,
        )
        self._round_due_at = 0.0
        self._round_timer: core.TimerId | None = None
        self.failovers = 0
        self._schedule_round(0.0)
        self.send(
            names.platform_client(vm), core.TableGet(self.task_name, self._key)
        )

    @property
    def _key(self) -> str:
        return f'lead/{self.database}'

    @runtime.handles(task_messages.MonitorGroup)
    def _on_watch(self, message: task_messages.MonitorGroup) -> None:
        self._gates = message.gates
        self._rank = message.rank
        self._health.set_instances(message.members)
        self._pending_proofs.majority = self._health.majority
        for name in message.members:
            self._probes.setdefault(name, _ProbeState())
        for removed in set(self._probes) - set(message.members):
            del self._probes[removed]
        self._schedule_round(0.0)

    # -- probes -----------------------------------------------------

    def _schedule_round(self, delay: float) -> None:
        """Start the next round of probes in at most ``delay`` seconds."""
        due = self.now() + delay
        if self._round_timer is not None and self._round_due_at <= due:
            return
        self.cancel(self._round_timer)
        self._round_due_at = due
        self._round_timer = self.after(delay, _ProbeRoundDue())

    @runtime.handles(_ProbeRoundDue)
    def _on_probe_round(self, timer: _ProbeRoundDue) -> None:
        self._round_timer = None
        for name in tuple(self._probes):
            self._probe(name)
        self._schedule_round(self._probe_interval())

    def _probe(self, name: core.InstanceName) -> None:
        """Probe an instance unless its last probe is still pending."""
        probe_state = self._probes.get(name)
        if probe_state is None:
            return
        now = self.now()
        if probe_state.pending:
            if now - probe_state.began_at < PROBE_TIMEOUT_S:
                return
            failed = core.ProbeAnswer(name, probe_state.sequence, False)
            self._handle_probe(failed)
        probe_state.pending = True
        probe_state.sequence += 1
        probe_state.began_at = now
        self.send(names.agent(self.vm, name), core.Probe(probe_state.sequence))

    @runtime.handles(core.ProbeAnswer)
    def _on_probe(self, probe: core.ProbeAnswer) -> None:
        probe_state = self._probes.get(probe.instance)
        if probe_state is None or probe.sequence != probe_state.sequence:
            return
        if probe_state.pending:
            self._handle_probe(probe)

    def _handle_probe(self, probe: core.ProbeAnswer) -> None:
        """Apply the result of a probe and report it to the gates."""
        probe_state = self._probes[probe.instance]
        probe_state.pending = False
        now = self.now()
        self._health.record_probe(probe, probe_state.began_at, now)
        if probe.alive and probe.instance == self._health.primary:
            self._freshness.record_primary(
                probe_state.began_at, probe.applied, probe.term_starts
            )
        self._send_verdicts(probe, probe_state.began_at)
        self._check_primary(now)
        leadership = (self._health.primary, self._health.term, self.state)
        changed = leadership != self._reported_leadership
        self._reported_leadership = leadership
        for name in self._gates:
            if changed or name == probe.instance:
                self._report_to_gate(name, now)
        self._schedule_round(self._probe_interval())

    def _send_verdicts(self, probe: core.ProbeAnswer, began_at: float) -> None:
        """Report to the gates the requests for evidence that are decided."""
        for request, verdict in self._pending_proofs.record_probe(
            probe, began_at
        ):
            answer: core.Message = core.CommitDisproved(request.request_id)
            if verdict is decisions.Verdict.PROVED:
                answer = core.CommitProved(request.request_id)
            self.send(request.gate, answer)

    def _probe_interval(self) -> float:
        """Return the seconds until the next round of probes.

        Rounds at the usual intervals are aligned between all groups of
        the VM.
        """
        if len(self._pending_proofs):
            return PROOF_PROBE_INTERVAL_S
        if self.state is not core.GroupMonitorState.FOLLOWING:
            return SUSPECT_PROBE_INTERVAL_S
        now = self.now()
        if self._health.has_recent_failure() or now < self._suspected_until:
            return SUSPECT_PROBE_INTERVAL_S
        is_active = now - self._used_at <= ACTIVE_PERIOD_S
        interval = (
            ACTIVE_PROBE_INTERVAL_S if is_active else IDLE_PROBE_INTERVAL_S
        )
        return self.until_beat(interval)

    @runtime.handles(core.InstanceSuspected)
    def _on_suspected(self, suspected: core.InstanceSuspected) -> None:
        """Probe the group often for a while.

        Requests show a failure before the usual probes do.
        """
        self._suspected_until = self.now() + SUSPICION_LIFETIME_S
        self._schedule_round(0.0)

    @runtime.handles(core.GroupActive)
    def _on_used(self, used: core.GroupActive) -> None:
        was_idle = self.now() - self._used_at > ACTIVE_PERIOD_S
        self._used_at = self.now()
        if was_idle:
            self._schedule_round(0.0)

    def _report_to_gate(self, name: core.InstanceName, now: float) -> None:
        """Send the state of the group to the gate of an instance."""
        probe_state = self._probes.get(name)
        if probe_state is None:
            return
        own_probe = self._health.last_answer(name)
        if own_probe is None:
            own_probe = core.ProbeAnswer(name, probe_state.sequence, False)
        elif self._health.is_unreachable(name, now):
            own_probe = dataclasses.replace(own_probe, alive=False)
        began_at = probe_state.began_at
        delay = 0.0
        if name == self._health.primary:
            lag = max(0.0, began_at - self._health.majority_seen_at)
        else:
            lag = self._freshness.max_staleness(own_probe.applied, began_at)
            delay = self._freshness.apply_delay(own_probe.applied, began_at)
        is_following = self.state is core.GroupMonitorState.FOLLOWING
        self.send(
            names.gate(self.vm, name),
            core.GroupState(
                self.database,
                self._health.primary if is_following else None,
                self._health.term,
                own_probe,
                began_at,
                lag,
                delay,
                self._freshness.term_starts,
                self._health.has_majority(now, MAJORITY_LIFETIME_S),
            ),
        )

    # -- evidence ---------------------------------------------------

    @runtime.handles(core.ProveCommit)
    def _on_prove(self, request: core.ProveCommit) -> None:
        now = self.now()
        self._pending_proofs.drop_requested_before(
            now - PROOF_REQUEST_LIFETIME_S
        )
        self._pending_proofs.add(request, now)
        for name in self._probes:
            self._probe(name)

    @runtime.handles(core.CatchUpAwaited)
    def _on_catch_up(self, watch: core.CatchUpAwaited) -> None:
        if self._health.primary is not None:
            self._probe(self._health.primary)
        self._probe(watch.instance)

    # -- failover ---------------------------------------------------

    def _check_primary(self, now: float) -> None:
        """Suspect an unreachable primary; start a failover if confirmed."""
        unreachable = self._health.primary_unreachable(now)
        if not unreachable:
            self._chart.fire(self, 'primary_heard')
            return
        self._chart.fire(self, 'primary_silent')
        if self.state is not core.GroupMonitorState.SUSPECTING:
            return
        if now >= self._no_failover_before and self._health.failover_confirmed(
            now
        ):
            self._chart.fire(self, 'silence_confirmed')

    def start_suspecting(self) -> None:
        """Probe all instances, and wait for this VM's turn to fail over."""
        self.log.emit(
            core.LogEvent.PRIMARY_UNRESPONSIVE,
            database=str(self.database),
            primary=str(self._health.primary or ''),
        )
        self._no_failover_before = max(
            self._no_failover_before, self.now() + self._rank * RANK_DELAY_S
        )
        for name in self._probes:
            self._probe(name)

    def log_response(self) -> None:
        """Log that the suspected primary has responded."""
        self.log.emit(
            core.LogEvent.PRIMARY_RESPONDED, database=str(self.database)
        )

    def claim_term(self) -> None:
        """Claim the next term by a conditional write to the table."""
        self._attempt += 1
        self._candidate_term = decisions.next_term(
            self._health, self._recorded_term
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
            names.platform_client(self.vm),
            core.TablePut(
                self.task_name,
                self._key,
                value.encode(),
                self._record_version,
            ),
        )
        self._start_step_timeout(CLAIM_TIMEOUT_S)

    def _start_step_timeout(self, seconds: float) -> None:
        self.after(seconds, _StepTimeout(self._attempt, self.state))

    @runtime.handles(core.TableAnswer)
    def _on_table(self, answer: core.TableAnswer) -> None:
        refused = isinstance(answer.error, core.PlatformRefused)
        if answer.error is None or refused:
            self._store_record(answer)
        if not answer.is_put:
            return
        if answer.error is None:
            self._chart.fire(self, 'term_won')
        elif refused:
            is_own_claim = self._recorded_term == self._candidate_term and (
                self._recorded_candidate(answer) == self.vm
            )
            self._chart.fire(self, 'term_won' if is_own_claim else 'term_lost')
        else:
            self._continue_without_table()

    def _store_record(self, answer: core.TableAnswer) -> None:
        self._record_version = answer.version
        if answer.value:
            document = json.loads(answer.value)
            self._recorded_term = core.Term(int(document.get('term', 0)))

    @staticmethod
    def _recorded_candidate(answer: core.TableAnswer) -> str:
        document = json.loads(answer.value or b'{}')
        return str(document.get('candidate', ''))

    def _continue_without_table(self) -> None:
        """Fence without a claim in the table, which does not respond.

        Safety does not depend on the claim, only on the fences.
        """
        if self.state is core.GroupMonitorState.CLAIMING:
            self.log.emit(
                core.LogEvent.TERM_TABLE_UNRESPONSIVE,
                database=str(self.database),
            )
        self._chart.fire(self, 'store_silent')

    def fence(self) -> None:
        """Ask every instance to reject everything of earlier terms."""
        self._fenced.clear()
        self._refused_fence_count = 0
        for name in self._probes:
            self.send(
                names.agent(self.vm, name),
                core.Fence(self._candidate_term, self.vm),
            )
        self._start_step_timeout(STEP_TIMEOUT_S)

    @runtime.handles(core.FenceAnswer)
    def _on_fence(self, answer: core.FenceAnswer) -> None:
        if self.state is not core.GroupMonitorState.FENCING:
            return
        if answer.accepted and answer.term == self._candidate_term:
            self._fenced[answer.instance] = answer
        else:
            self._refused_fence_count += 1
        if len(self._fenced) >= self._health.majority:
            self._chart.fire(self, 'majority_fenced')
        elif self._refused_fence_count >= self._health.majority:
            self.log.emit(
                core.LogEvent.FENCE_REFUSED, database=str(self.database)
            )
            self._chart.fire(self, 'fence_refused')

    def promote(self) -> None:
        """Promote the fenced instance with the longest log."""
        leaving = frozenset(
            name
            for name in self._probes
            if (last := self._health.last_answer(name)) is not None
            and last.leaving
        )
        new_primary = decisions.choose_new_primary(
            self._fenced.values(), leaving
        )
        self.send(
            names.agent(self.vm, new_primary),
            core.Promote(self._candidate_term, self.vm),
        )
        self._start_step_timeout(STEP_TIMEOUT_S)

    @runtime.handles(core.PromoteAnswer)
    def _on_promote(self, answer: core.PromoteAnswer) -> None:
        if answer.term != self._candidate_term:
            return
        event = 'promote_refused'
        if answer.accepted:
            event = 'promoted'
            self._health.record_promotion(
                answer.instance, answer.term, self.now()
            )
        self._chart.fire(self, event)

    @runtime.handles(_StepTimeout)
    def _on_step_timeout(self, timeout: _StepTimeout) -> None:
        if timeout.attempt != self._attempt or timeout.state is not self.state:
            return
        if self.state is core.GroupMonitorState.CLAIMING:
            self._continue_without_table()
            return
        self._chart.fire(self, 'timed_out')

    def announce_primary(self) -> None:
        """Report the new primary to the gates, and probe the group."""
        self.failovers += 1
        self.log.emit(
            core.LogEvent.PRIMARY_PROMOTED,
            database=str(self.database),
            term=self._candidate_term,
        )
        self._no_failover_before = self.now() + BACK_OFF_S
        for name in self._probes:
            self._probe(name)
        for name in self._gates:
            self._report_to_gate(name, self.now())

    def back_off(self) -> None:
        """Leave the failover to other VMs for a while."""
        self.log.emit(
            core.LogEvent.TERM_LOST,
            database=str(self.database),
            term=self._candidate_term,
        )
        self._no_failover_before = self.now() + BACK_OFF_S * (1 + self._rank)
        self.send(
            names.platform_client(self.vm),
            core.TableGet(self.task_name, self._key),
        )

    @runtime.handles(task_messages.StateQuery)
    def _on_query(self, query: task_messages.StateQuery) -> None:
        rows = []
        for name in self._probes:
            last = self._health.last_answer(name)
            alive = last is not None and not self._health.is_unreachable(
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
            query.reply_to,
            task_messages.StateReport(
                self.task_name, query.number, tuple(rows)
            ),
        )
