"""Specification of a leader row in a store that is restored from a copy.

There are two VMs, one leader row in the store, and a copy of it that is
some writes old.  A restore puts the copy back and begins the next era; it
gives versions out again that were used in the era before.  Any VM may miss
everything for any time, because no transition has to happen, and one may
restart without its memory.  Instances are named by the term in which they
lead: a promotion that takes effect begins the next term, and the primaries
of all earlier terms have been replaced.

Time is counted in ticks.  A lease, a claim, and a promotion from its order
to its effect last at most until the next tick; a wait for leases ends after
one.  Labels of transitions are ``chart.event`` names followed by the VM;
``time.passes`` is a clock tick and ``store.restored`` a restore.
"""

from __future__ import annotations

import functools
from collections.abc import Iterable
from collections.abc import Iterator

import minicheck

from chicoryusher_standins.model import restored_rules
from chicoryusher_standins.model import restored_state

__all__ = [
    'late_grants',
    'late_registration',
    'late_start',
    'lost_change',
    'paused_coordinator',
    'restored',
]

Rules = restored_rules.Rules
Bounds = restored_rules.Bounds
Phase = restored_state.Phase
Order = restored_state.Order
Row = restored_state.Row
Vm = restored_state.Vm
State = restored_state.State
NOBODY = restored_state.NOBODY
VMS = restored_state.VMS

_Step = tuple[str, State]


class _Spec:
    """The transitions under the given rules and bounds."""

    def __init__(
        self, rules: Rules, bounds: Bounds, lists_matter: bool
    ) -> None:
        self.rules = rules
        self.bounds = bounds
        self.lists_matter = lists_matter
        self._canonical_vm = functools.cache(restored_state.canonical_vm)
        self._aged_vm = functools.cache(restored_state.aged_vm)

    def steps(self, raw: tuple[object, ...]) -> list[tuple[str, tuple]]:
        """Return every next state with its label."""
        state = State(*raw)
        next_states = [*self._pass_time(state), *self._restore(state)]
        for v in VMS:
            next_states += self._poll(state, v)
            next_states += self._register(state, v)
            next_states += self._hear(state, v)
            next_states += self._confirm(state, v)
            next_states += self._replace_primary(state, v)
            next_states += self._promotion(state, v)
            next_states += self._restart(state, v)
        return [
            (label, tuple(self.canonical(after)))
            for label, after in next_states
            if after != state
        ]

    def canonical(self, state: State) -> State:
        """Return the same state for all equivalent ones.

        Where all lists have both VMs, VMs may change places, so the number
        in a label counts for the state before the transition only.
        """
        is_last_era = state.era == self.bounds.max_era
        # A version below the last restore's can't be in the store again.
        lowest = state.row.version if is_last_era else state.copy.version
        vms = tuple(
            self._canonical_vm(v, state.vms[v], self.lists_matter, lowest)
            for v in VMS
        )
        copy = restored_state.NO_ROW if is_last_era else state.copy
        state = state._replace(vms=vms, copy=copy)
        if self.lists_matter or vms[0] <= vms[1]:
            return state
        return restored_state.swapped(state)

    def _pass_time(self, state: State) -> Iterator[_Step]:
        """Let a tick pass; promotions take effect or are dropped by then."""
        for v in VMS:
            if state.vms[v].order is Order.TAKEN:
                state = _take_effect(state, v)
        ticks = self.bounds.lease_ticks
        vms = tuple(self._aged_vm(vm, ticks) for vm in state.vms)
        yield 'time.passes', state._replace(vms=vms)

    def _restore(self, state: State) -> Iterator[_Step]:
        if state.era < self.bounds.max_era:
            yield (
                'store.restored',
                state._replace(
                    era=state.era + 1,
                    row=state.copy,
                    listed=state.listed_in_copy,
                ),
            )

    def _restart(self, state: State, v: int) -> Iterator[_Step]:
        """Restart a VM without memory; its order is still under way."""
        if state.restarts:
            ticks = self.bounds.lease_ticks
            fresh = restored_state.restarted_vm(state.vms[v], ticks)
            after = state.with_vm(v, fresh)
            yield (
                f'entry.knows_enough {v}',
                after._replace(restarts=state.restarts - 1),
            )

    # -- what a VM learns -----------------------------------------------

    def _learn_era(self, vm: Vm, era: int) -> Vm:
        """Return the VM after it has seen a newer era."""
        if era <= vm.era:
            return vm
        return vm._replace(
            era=era,
            registered=False,
            granted=False,
            era_age=0,
            list_is_recent=vm.poll_age < self.bounds.lease_ticks,
        )

    def _learn_row(self, vm: Vm, row: Row, v: int) -> Vm:
        """Return the VM after it has received a row.

        A VM that changes the primary gives up for a newer row of another
        coordinator (rule 5); a promotion that it has ordered goes on.
        """
        if not self._is_news(vm, row):
            return vm
        vm = vm._replace(newest_row=row, granted=False, row_is_unchanged=False)
        if vm.phase is not Phase.IDLE and row.coordinator != v:
            vm = vm._replace(phase=Phase.IDLE)
        return vm

    def _is_news(self, vm: Vm, row: Row) -> bool:
        if row == vm.newest_row:
            return False
        return self._order(row) > self._order(vm.newest_row)

    def _order(self, row: Row) -> tuple[int, int]:
        """Return the revision by which rows are ordered."""
        rules = self.rules
        stamp = row.stamp if rules.revision_has_era else 0
        if rules.rows_are_ordered_by_condition:
            return (stamp, row.expected_version)
        return (stamp, row.version)

    def _poll(self, state: State, v: int) -> Iterator[_Step]:
        """Read the row and the list of VMs from the store."""
        row = state.row
        before = state.vms[v]
        vm = self._learn_era(before, state.era)
        takes_any_row = (
            not self.rules.older_row_is_ignored and state.era > before.era
        )
        if takes_any_row:
            vm = vm._replace(newest_row=row, granted=False)
        vm = self._learn_row(vm, row, v)
        vm = vm._replace(
            read_era=state.era,
            read_version=row.version,
            registered=state.listed[v],
            knows_other=vm.knows_other or state.listed[1 - v],
            poll_age=0,
        )
        if vm.first_era == NOBODY:
            vm = vm._replace(first_era=state.era, rows_age=0)
        extends = row == vm.newest_row and self._view_extends(vm, row)
        if extends:
            vm = vm._replace(lease_age=0)
        yield f'feed.whole {v}', state.with_vm(v, vm)

    def _view_extends(self, vm: Vm, row: Row) -> bool:
        """Return whether a view with this row extends the VM's lease."""
        if not vm.registered and self.rules.lease_needs_registration:
            return False
        return row.stamp == vm.era or not self.rules.lease_needs_confirmed_row

    def _register(self, state: State, v: int) -> Iterator[_Step]:
        """Write the VM's own row again if the restore has lost it."""
        vm = state.vms[v]
        if state.listed[v] or vm.registered or vm.read_era != state.era:
            return
        listed = tuple(state.listed[i] or i == v for i in VMS)
        yield f'feed.quiet {v}', state._replace(listed=listed)

    def _hear(self, state: State, v: int) -> Iterator[_Step]:
        """Receive another VM's answer: era, row, view and grants."""
        other = state.vms[1 - v]
        if other.newest_row.version == NOBODY:
            return
        vm = self._learn_era(state.vms[v], other.era)
        if self._is_news(vm, other.newest_row):
            vm = self._learn_row(vm, other.newest_row, v)
            yield f'vm.heard {v}', state.with_vm(v, vm)
            return
        if self._is_grant(vm, other):
            vm = vm._replace(granted=True)
        if self._view_extends(vm, other.newest_row):
            vm = vm._replace(lease_age=min(vm.lease_age, other.lease_age))
        if self._grants_lease(vm, other):
            vm = vm._replace(lease_age=0)
        yield f'vm.heard {v}', state.with_vm(v, vm)

    def _grants_lease(self, vm: Vm, other: Vm) -> bool:
        """Return whether a grant extends the VM's lease."""
        if not vm.registered and self.rules.grant_needs_registration:
            return False
        return self._has_lease(vm) and other.phase is Phase.IDLE

    def _has_lease(self, vm: Vm) -> bool:
        return vm.lease_age < self.bounds.lease_ticks

    # -- confirmation ---------------------------------------------------

    def _is_grant(self, vm: Vm, other: Vm) -> bool:
        """Return whether the other VM grants that this one confirms."""
        rules = self.rules
        if other.phase is not Phase.IDLE:
            return False
        if rules.grant_needs_memory and not _remembers(other, vm.newest_row):
            return False
        if other.newest_row == vm.newest_row:
            return True
        if not rules.grant_of_equal_revision_needs_same_row:
            return not self._is_news(vm, other.newest_row)
        return self._is_news(other, vm.newest_row)

    def _confirm(self, state: State, v: int) -> Iterator[_Step]:
        """Write the row that the VM knows again, in the new era (rule 3)."""
        vm, rules = state.vms[v], self.rules
        row = vm.newest_row
        may_write = vm.phase is Phase.IDLE and vm.read_era == vm.era
        if not (may_write and row.open and row.stamp < vm.era):
            return
        if not _remembers(vm, row):
            return
        needs_grant = vm.knows_other and rules.confirmation_needs_grants
        if needs_grant and not vm.granted:
            return
        if not (vm.knows_other or vm.list_is_recent):
            if self.lists_matter and rules.confirmation_needs_recent_list:
                return
        for after in self._write(state, v, vm.read_era, vm.read_version, row):
            yield f'handover.opened {v}', after

    def _write(
        self, state: State, v: int, era: int, version: int, row: Row
    ) -> Iterator[State]:
        """Return the states after a conditional write, none if it fails.

        Its era and version are those of the row that it replaces, as the VM
        believes; the new row carries both.  The copy may become the row that
        is replaced.
        """
        if state.row.version != version:
            return
        row = row._replace(
            stamp=era,
            coordinator=NOBODY if row.open else v,
            expected_version=version,
        )
        for given in self._next_versions(state):
            after = self._written(state, v, row._replace(version=given))
            yield after
            if state.copy != state.row:
                yield after._replace(copy=state.row)

    def _next_versions(self, state: State) -> Iterable[int]:
        """Return the versions that the store may give to the next row.

        Writes of other rows raise the counter too.
        """
        first, last = state.row.version + 1, self.bounds.max_version
        if self.bounds.other_writes and state.era:
            return range(first, last + 1)
        return (first,) if first <= last else ()

    def _written(self, state: State, v: int, row: Row) -> State:
        """Return the state after the store has accepted a row of a VM."""
        era = row.stamp
        after = state._replace(row=row)
        vm = self._learn_era(state.vms[v], state.era)
        counts = state.era == era or not self.rules.write_needs_current_era
        if counts:
            vm = vm._replace(newest_row=row, row_is_unchanged=False)
        else:
            vm = self._learn_row(vm, row, v)._replace(phase=Phase.IDLE)
        if state.era == era:
            vm = vm._replace(read_era=era, read_version=row.version)
        return after.with_vm(v, vm)

    # -- changes --------------------------------------------------------

    def _replace_primary(self, state: State, v: int) -> Iterator[_Step]:
        phase = state.vms[v].phase
        if phase is Phase.IDLE:
            yield from self._claim(state, v)
            return
        yield from self._lose(state, v)
        if phase is Phase.FENCING:
            yield from self._fence(state, v)
        elif phase is Phase.READY:
            yield from self._choose(state, v)
        elif phase is Phase.OPENING:
            yield from self._open(state, v)
        if phase in (Phase.FENCING, Phase.READY):
            yield from self._renew(state, v)

    def _lose(self, state: State, v: int) -> Iterator[_Step]:
        """Give up a change whose row is no longer in the store (rule 2)."""
        vm = state.vms[v]
        claim = (vm.claim_era, vm.claim_version)
        if claim != (state.era, state.row.version):
            lost = self._learn_era(vm, state.era)
            lost = self._learn_row(lost, state.row, v)
            lost = lost._replace(phase=Phase.IDLE)
            yield f'handover.lost {v}', state.with_vm(v, lost)

    def _waited(self, age: int) -> bool:
        """Return whether all leases of that age have expired."""
        return age >= self.bounds.lease_ticks

    def _may_begin(self, vm: Vm, v: int) -> bool:
        row = vm.newest_row
        if vm.read_era != vm.era or row.version == NOBODY:
            return False
        if row.stamp < vm.era and vm.first_era == vm.era:
            if self.rules.fresh_vm_waits and not self._waited(vm.rows_age):
                return False
        if row.open or row.coordinator == v:
            return True
        return vm.row_is_unchanged

    def _claim(self, state: State, v: int) -> Iterator[_Step]:
        """Write the closing row, on the version that was read."""
        vm = state.vms[v]
        if not self._may_begin(vm, v) or vm.order is not Order.NONE:
            return
        yield from self._write_closing(
            state, v, vm.read_era, vm.read_version, False
        )

    def _renew(self, state: State, v: int) -> Iterator[_Step]:
        vm = state.vms[v]
        if not vm.claim_is_valid:
            yield from self._write_closing(
                state, v, vm.claim_era, vm.claim_version, True
            )

    def _write_closing(
        self, state: State, v: int, era: int, version: int, renews: bool
    ) -> Iterator[_Step]:
        closing = state.vms[v].newest_row._replace(open=False)
        if renews:
            closing = closing._replace(term=state.vms[v].claim_term)
        for after in self._write(state, v, era, version, closing):
            vm = after.vms[v]
            if state.era == era or not self.rules.write_needs_current_era:
                vm = vm._replace(
                    claim_era=era,
                    claim_version=after.row.version,
                    claim_term=closing.term,
                    claim_is_valid=True,
                )
                if not renews:
                    vm = vm._replace(phase=Phase.FENCING, closed_age=0)
            yield f'handover.claimed {v}', after.with_vm(v, vm)

    def _fence(self, state: State, v: int) -> Iterator[_Step]:
        """End the use of the old primary, or wait for the leases' end."""
        vm, other = state.vms[v], state.vms[1 - v]
        ready = vm._replace(phase=Phase.READY)
        if self._waited(vm.closed_age):
            yield f'handover.fenced {v}', state.with_vm(v, ready)
            return
        if not self._lists_suffice(vm):
            return
        if not vm.knows_other and not state.listed[1 - v]:
            if vm.claim_era == state.era or not self.rules.list_is_of_era:
                yield f'handover.fenced {v}', state.with_vm(v, ready)
            return
        if self._confirms_fence(other, vm.claim_era):
            stopped = self._learn_era(other, vm.claim_era)
            stopped = self._learn_row(stopped, vm.newest_row, 1 - v)
            if self._is_news(stopped, vm.newest_row):
                return
            if stopped.newest_row.open and self._has_lease(stopped):
                return
            after = state.with_vm(1 - v, stopped)
            yield f'handover.fenced {v}', after.with_vm(v, ready)

    def _lists_suffice(self, vm: Vm) -> bool:
        """Return whether all VMs with a lease are in the VM's lists."""
        if not self.lists_matter or vm.era == 0:
            return True
        if vm.first_era == vm.era or not self.rules.new_era_waits_for_leases:
            return True
        return self._waited(vm.era_age)

    def _confirms_fence(self, other: Vm, era: int) -> bool:
        """Return whether a VM may confirm a fence of an era now (rule 5)."""
        rules = self.rules
        if era and rules.fresh_vm_confirms_late:
            if not self._waited(other.rows_age):
                return False
        if other.order_forgotten:
            return True
        if other.order is Order.SENT:
            return not rules.fence_waits_for_answer
        if other.order is Order.TAKEN:
            return not rules.fence_waits_for_effect
        return True

    def _choose(self, state: State, v: int) -> Iterator[_Step]:
        """Adopt the instance that leads, or order a promotion."""
        vm = state.vms[v]
        if not vm.claim_is_valid or vm.order is not Order.NONE:
            return
        terms = {state.newest_term}
        if not self.rules.adoption_needs_all_answers:
            terms.add(vm.claim_term)
        for term in sorted(terms):
            adopted = vm._replace(phase=Phase.OPENING, claim_term=term)
            yield f'handover.asked {v}', state.with_vm(v, adopted)
        if state.newest_term < self.bounds.max_term:
            token = (vm.claim_era, vm.claim_version)
            if not self.rules.token_has_era:
                token = (0, vm.claim_version)
            ordered = vm._replace(order=Order.SENT, token=token)
            yield f'handover.asked {v}', state.with_vm(v, ordered)

    def _promotion(self, state: State, v: int) -> Iterator[_Step]:
        """Let the platform take the order, or let it take effect."""
        vm = state.vms[v]
        if vm.order is Order.SENT:
            is_lower = vm.token < state.token
            is_shared = vm.token == state.token and state.holder != v
            taken = vm._replace(order=Order.TAKEN)
            yield (
                f'handover.promoted {v}',
                state.with_vm(v, taken)._replace(
                    token=max(vm.token, state.token),
                    holder=v,
                    token_broken=state.token_broken or is_lower or is_shared,
                ),
            )
        elif vm.order is Order.TAKEN:
            yield f'handover.leads {v}', _take_effect(state, v)

    def _open(self, state: State, v: int) -> Iterator[_Step]:
        vm = state.vms[v]
        row = vm.newest_row._replace(open=True, term=vm.claim_term)
        era, version = vm.claim_era, vm.claim_version
        for after in self._write(state, v, era, version, row):
            done = after.vms[v]._replace(phase=Phase.IDLE)
            yield f'handover.opened {v}', after.with_vm(v, done)

    def no_replaced_primary(self, fields: dict[str, object]) -> bool:
        """No VM may use a primary that another one has replaced."""
        state = State(**fields)
        return not any(
            self._has_lease(vm)
            and vm.newest_row.open
            and vm.newest_row.term < state.newest_term
            for vm in state.vms
        )


def _remembers(vm: Vm, row: Row) -> bool:
    """Return whether a VM has polled the store since the era of a row."""
    return vm.first_era != NOBODY and vm.first_era <= row.stamp


def _take_effect(state: State, v: int) -> State:
    done = state.vms[v]._replace(order=Order.NONE, token=(0, 0))
    after = state.with_vm(v, done)
    return after._replace(newest_term=state.newest_term + 1)


def _protocol(name: str, spec: _Spec, state: State) -> minicheck.Protocol:
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=tuple(spec.canonical(state)),
        transitions=spec.steps,
        invariants={
            'no_replaced_primary': spec.no_replaced_primary,
            'tokens_rise': lambda fields: not fields['token_broken'],
        },
    )


def restored(
    rules: Rules | None = None, bounds: Bounds | None = None
) -> minicheck.Protocol:
    """Return the model of two VMs that all lists contain."""
    spec = _Spec(rules or Rules(), bounds or Bounds(), False)
    state = restored_state.initial(spec.bounds.lease_ticks)
    return _protocol('restored', spec, state)


def lost_change(
    rules: Rules | None = None, bounds: Bounds | None = None
) -> minicheck.Protocol:
    """Return the same model, begun after a change that the copy lacks.

    The initial state is written by hand, and the renewal of the claim, which
    would raise the versions, is left out.  A search finds the
    counterexamples of some mutants sooner than in ``restored``.
    """
    spec = _Spec(rules or Rules(), bounds or Bounds(max_term=3), False)
    state = restored_state.after_lost_change(
        spec.bounds.lease_ticks, spec.bounds.max_version
    )
    return _protocol('lost_change', spec, state)


def paused_coordinator(
    rules: Rules | None = None, bounds: Bounds | None = None
) -> minicheck.Protocol:
    """Return the model of a coordinator that pauses before it opens the row.

    The initial state is written by hand.  The copy has the coordinator's
    closing row, and lacks the change of the VM that took over.  Writes of
    other rows raise the versions after the restore.
    """
    bounds = bounds or Bounds(max_version=5, max_term=3, other_writes=True)
    spec = _Spec(rules or Rules(), bounds, False)
    state = restored_state.after_takeover(bounds.lease_ticks)
    return _protocol('paused_coordinator', spec, state)


def late_registration(
    rules: Rules | None = None, bounds: Bounds | None = None
) -> minicheck.Protocol:
    """Return the model of a VM whose registration the copy lacks."""
    spec = _Spec(rules or Rules(), bounds or Bounds(), True)
    state = restored_state.late(spec.bounds.lease_ticks)
    return _protocol('late_registration', spec, state)


def late_start(
    rules: Rules | None = None, bounds: Bounds | None = None
) -> minicheck.Protocol:
    """Return the same model with the other VM just started."""
    spec = _Spec(rules or Rules(), bounds or Bounds(max_version=1), True)
    ticks = spec.bounds.lease_ticks
    state = restored_state.late(ticks)
    fresh = restored_state.restarted_vm(state.vms[0], ticks)
    return _protocol('late_start', spec, state.with_vm(0, fresh))


def late_grants(
    rules: Rules | None = None, bounds: Bounds | None = None
) -> minicheck.Protocol:
    """Return ``late_registration`` with leases that grants can extend.

    A lease lasts for two ticks, so a grant is received after the first.
    """
    bounds = bounds or Bounds(max_version=1, lease_ticks=2)
    spec = _Spec(rules or Rules(), bounds, True)
    state = restored_state.late(bounds.lease_ticks)
    return _protocol('late_grants', spec, state)
