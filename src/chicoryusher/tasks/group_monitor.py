"""Group monitor: probes one database group and fails it over.

Each VM that is the gate of an instance of the group has a monitor.  It
probes all instances of the group, reports their state to the VM's gates,
gives evidence for commits and reads, and replaces a lost primary.
"""

from __future__ import annotations

import dataclasses

from chicoryusher import charts
from chicoryusher import core
from chicoryusher import decisions
from chicoryusher import runtime
from chicoryusher.tasks import group_probes
from chicoryusher.tasks import group_reports
from chicoryusher.tasks import names
from chicoryusher.tasks import task_messages
from chicoryusher.tasks import term_claims

__all__ = ['GroupMonitor']

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


@dataclasses.dataclass(frozen=True, slots=True)
class _StepTimeout(core.Message):
    """Timer: a step of a failover has timed out.

    It is void if the attempt or the state is no longer the current one.
    """

    attempt: int
    state: core.GroupMonitorState


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
        self._probes = group_probes.GroupProbes(
            self, members, self._handle_probe
        )
        self._pace = decisions.ProbePace(self.now())
        self._reports = group_reports.GroupReports(
            self, database, self._health, self._freshness, self._probes
        )
        self._claims = term_claims.TermClaims(self, database)
        self._fence = decisions.FenceRound(self._claims.term)
        self._no_failover_before = self.now()
        self._reported_leadership = (
            self._health.primary,
            self._health.term,
            self.state,
        )
        self.failovers = 0
        self._probes.schedule_round(0.0)
        self._claims.read()

    @runtime.handles(task_messages.MonitorGroup)
    def _on_watch(self, message: task_messages.MonitorGroup) -> None:
        self._gates = message.gates
        self._rank = message.rank
        self._health.set_instances(message.members)
        self._pending_proofs.majority = self._health.majority
        self._probes.set_members(message.members)
        self._probes.schedule_round(0.0)

    # -- probes -----------------------------------------------------

    @runtime.handles(group_probes.ProbeRoundDue)
    def _on_probe_round(self, timer: group_probes.ProbeRoundDue) -> None:
        self._probes.start_round()
        self._probes.schedule_round(self._probe_interval())

    @runtime.handles(core.ProbeAnswer)
    def _on_probe(self, probe: core.ProbeAnswer) -> None:
        self._probes.record_answer(probe)

    def _handle_probe(self, probe: core.ProbeAnswer, began_at: float) -> None:
        """Apply the result of a probe and report it to the gates."""
        now = self.now()
        self._health.record_probe(probe, began_at, now)
        if probe.alive and probe.instance == self._health.primary:
            self._freshness.record_primary(
                began_at, probe.applied, probe.term_starts
            )
        self._send_verdicts(probe, began_at)
        self._check_primary(now)
        leadership = (self._health.primary, self._health.term, self.state)
        changed = leadership != self._reported_leadership
        self._reported_leadership = leadership
        for name in self._gates:
            if changed or name == probe.instance:
                self._report_to_gate(name, now)
        self._probes.schedule_round(self._probe_interval())

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
        now = self.now()
        is_following = self.state is core.GroupMonitorState.FOLLOWING
        interval = self._pace.urgent_interval(
            now,
            awaits_proof=len(self._pending_proofs) > 0,
            has_trouble=not is_following or self._health.has_recent_failure(),
        )
        if interval is not None:
            return interval
        return self.until_beat(self._pace.usual_interval(now))

    @runtime.handles(core.InstanceSuspected)
    def _on_suspected(self, suspected: core.InstanceSuspected) -> None:
        self._pace.record_suspicion(self.now())
        self._probes.schedule_round(0.0)

    @runtime.handles(core.GroupActive)
    def _on_used(self, used: core.GroupActive) -> None:
        if self._pace.record_use(self.now()):
            self._probes.schedule_round(0.0)

    def _report_to_gate(self, name: core.InstanceName, now: float) -> None:
        """Send the state of the group to the gate of an instance."""
        is_following = self.state is core.GroupMonitorState.FOLLOWING
        self._reports.send(name, now, is_following)

    # -- evidence ---------------------------------------------------

    @runtime.handles(core.ProveCommit)
    def _on_prove(self, request: core.ProveCommit) -> None:
        now = self.now()
        self._pending_proofs.drop_requested_before(
            now - PROOF_REQUEST_LIFETIME_S
        )
        self._pending_proofs.add(request, now)
        self._probes.probe_all()

    @runtime.handles(core.CatchUpAwaited)
    def _on_catch_up(self, watch: core.CatchUpAwaited) -> None:
        if self._health.primary is not None:
            self._probes.probe(self._health.primary)
        self._probes.probe(watch.instance)

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
        self._probes.probe_all()

    def log_response(self) -> None:
        """Log that the suspected primary has responded."""
        self.log.emit(
            core.LogEvent.PRIMARY_RESPONDED, database=str(self.database)
        )

    def claim_term(self) -> None:
        """Claim the next term by a conditional write to the table."""
        self._claims.claim(self._health)
        self._start_step_timeout(CLAIM_TIMEOUT_S)

    def _start_step_timeout(self, seconds: float) -> None:
        self.after(seconds, _StepTimeout(self._claims.attempt, self.state))

    @runtime.handles(core.TableAnswer)
    def _on_table(self, answer: core.TableAnswer) -> None:
        has_claim = self._claims.record_answer(answer)
        if not answer.is_put:
            return
        if has_claim is None:
            self._continue_without_table()
        else:
            self._chart.fire(self, 'term_won' if has_claim else 'term_lost')

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
        self._fence = decisions.FenceRound(self._claims.term)
        for name in self._probes.members:
            self.send(
                names.agent(self.vm, name),
                core.Fence(self._claims.term, self.vm),
            )
        self._start_step_timeout(STEP_TIMEOUT_S)

    @runtime.handles(core.FenceAnswer)
    def _on_fence(self, answer: core.FenceAnswer) -> None:
        if self.state is not core.GroupMonitorState.FENCING:
            return
        is_fenced = self._fence.record(answer, self._health.majority)
        if is_fenced:
            self._chart.fire(self, 'majority_fenced')
        elif is_fenced is False:
            self.log.emit(
                core.LogEvent.FENCE_REFUSED, database=str(self.database)
            )
            self._chart.fire(self, 'fence_refused')

    def promote(self) -> None:
        """Promote the fenced instance with the longest log."""
        leaving = frozenset(
            name
            for name in self._probes.members
            if (last := self._health.last_answer(name)) is not None
            and last.leaving
        )
        new_primary = decisions.choose_new_primary(self._fence.fenced, leaving)
        self.send(
            names.agent(self.vm, new_primary),
            core.Promote(self._claims.term, self.vm),
        )
        self._start_step_timeout(STEP_TIMEOUT_S)

    @runtime.handles(core.PromoteAnswer)
    def _on_promote(self, answer: core.PromoteAnswer) -> None:
        if answer.term != self._claims.term:
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
        if (
            timeout.attempt != self._claims.attempt
            or timeout.state is not self.state
        ):
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
            term=self._claims.term,
        )
        self._no_failover_before = self.now() + BACK_OFF_S
        self._probes.probe_all()
        for name in self._gates:
            self._report_to_gate(name, self.now())

    def back_off(self) -> None:
        """Leave the failover to other VMs for a while."""
        self.log.emit(
            core.LogEvent.TERM_LOST,
            database=str(self.database),
            term=self._claims.term,
        )
        self._no_failover_before = self.now() + BACK_OFF_S * (1 + self._rank)
        self._claims.read()

    @runtime.handles(task_messages.StateQuery)
    def _on_query(self, query: task_messages.StateQuery) -> None:
        rows = self._reports.state_rows(self.state, self.now())
        self.send(
            query.reply_to,
            task_messages.StateReport(self.task_name, query.number, rows),
        )
