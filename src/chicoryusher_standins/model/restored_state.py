"""State of the specification ``restored``: the store, VMs and platform."""

from __future__ import annotations

import enum
import functools
from typing import NamedTuple

__all__ = [
    'FRESH',
    'NOBODY',
    'NO_ROW',
    'Order',
    'Phase',
    'Row',
    'State',
    'VMS',
    'Vm',
    'after_lost_change',
    'after_takeover',
    'aged_vm',
    'canonical_vm',
    'initial',
    'late',
    'restarted_vm',
    'swapped',
]

VMS = (0, 1)
NOBODY = -1


class Phase(enum.IntEnum):
    """How far a VM's change of primary has come."""

    IDLE = 0
    FENCING = 1
    READY = 2
    OPENING = 3

    # The hash of an Enum is computed in Python, which slows the search.
    __hash__ = int.__hash__


class Order(enum.IntEnum):
    """A promotion that a VM has ordered.

    It is in flight (``SENT``), or the platform has taken and answered it,
    and it is not in effect yet (``TAKEN``).
    """

    NONE = 0
    SENT = 1
    TAKEN = 2

    __hash__ = int.__hash__


class Row(NamedTuple):
    """A leader row.

    ``term`` is the term of its primary.  ``stamp`` and ``expected_version``
    are the era and the version that its write was conditional on.
    """

    stamp: int = 0
    version: int = 0
    open: bool = True
    coordinator: int = NOBODY
    term: int = 1
    expected_version: int = NOBODY


class Vm(NamedTuple):
    """State of one VM.

    ``era`` is the newest era that it has seen, ``first_era`` that of its
    first poll since its start.  ``read_era`` and ``read_version`` are from
    its last poll.  ``registered`` is whether it has seen its own row in a
    list of ``era``, ``knows_other`` whether any list had the other VM.
    ``granted`` is whether that has granted a confirmation.

    Ages are counted in ticks up to the length of a lease: ``lease_age`` since
    the request for the view or grant from which its lease counts, ``era_age``
    since it saw ``era``, ``rows_age`` since its first poll, ``poll_age``
    since its last one, and ``closed_age`` since its first closing row.
    ``list_is_recent`` is whether its last poll of the era before was younger
    than a lease when it saw the era.  ``row_is_unchanged`` is whether a tick
    has passed since it received its row, and ``claim_is_valid`` whether none
    has since its last closing row.

    ``claim_era`` and ``claim_version`` are those of that row, and
    ``claim_term`` the term of the primary that it names or will open.
    ``order_forgotten`` is whether an earlier incarnation ordered the
    promotion that is under way.
    """

    newest_row: Row = Row()
    era: int = 0
    first_era: int = 0
    read_era: int = 0
    read_version: int = 0
    lease_age: int = 0
    registered: bool = True
    knows_other: bool = True
    granted: bool = False
    era_age: int = 0
    rows_age: int = 0
    poll_age: int = 0
    list_is_recent: bool = False
    row_is_unchanged: bool = False
    phase: Phase = Phase.IDLE
    claim_era: int = 0
    claim_version: int = 0
    claim_term: int = 0
    claim_is_valid: bool = False
    closed_age: int = 0
    order: Order = Order.NONE
    token: tuple[int, int] = (0, 0)
    order_forgotten: bool = False


class State(NamedTuple):
    """State of the whole system.

    ``listed`` is whether the store lists each VM.  ``token`` and ``holder``
    are those of the last promotion that the platform has taken.
    """

    row: Row = Row()
    copy: Row = Row()
    era: int = 0
    listed: tuple[bool, ...] = (True, True)
    listed_in_copy: tuple[bool, ...] = (True, True)
    vms: tuple[Vm, ...] = (Vm(), Vm())
    newest_term: int = 1
    token: tuple[int, int] = (0, 0)
    holder: int = NOBODY
    token_broken: bool = False
    restarts: int = 0

    def with_vm(self, v: int, vm: Vm) -> State:
        """Return the state with another state of one VM."""
        return self._replace(vms=(*self.vms[:v], vm, *self.vms[v + 1 :]))


NO_ROW = Row(NOBODY, NOBODY, False, NOBODY, 0)
FRESH = Vm(
    newest_row=NO_ROW,
    era=NOBODY,
    first_era=NOBODY,
    read_era=NOBODY,
    read_version=NOBODY,
    registered=False,
    knows_other=False,
)


def initial(lease_ticks: int) -> State:
    """Return the state of two VMs that started long ago."""
    vm = Vm(rows_age=lease_ticks)
    return State(vms=(vm, vm), restarts=1)


def after_lost_change(lease_ticks: int, version: int) -> State:
    """Return a state in which VM 0 has replaced the primary.

    VM 1 has missed it, and its lease has expired.  The copy is from before.
    """
    state = initial(lease_ticks)
    row = Row(version=version, term=2, expected_version=version - 1)
    vms = (
        state.vms[0]._replace(newest_row=row, read_version=version),
        state.vms[1]._replace(lease_age=lease_ticks),
    )
    token = (0, version - 1)
    return state._replace(
        row=row, vms=vms, newest_term=2, token=token, holder=0
    )


def after_takeover(lease_ticks: int) -> State:
    """Return a state in which VM 1 took over a change of VM 0.

    Both promotions are in effect.  VM 0 pauses before it writes the open
    row; the copy has its closing row, with version 1.
    """
    state = initial(lease_ticks)
    copy = Row(0, 1, False, 0, 1, 0)
    row = Row(0, 4, True, NOBODY, 3, 3)
    paused = state.vms[0]._replace(
        newest_row=copy,
        lease_age=lease_ticks,
        phase=Phase.OPENING,
        claim_version=1,
        claim_term=2,
    )
    vms = (paused, state.vms[1]._replace(newest_row=row, read_version=4))
    return state._replace(
        row=row, copy=copy, vms=vms, newest_term=3, token=(0, 3), holder=1
    )


def late(lease_ticks: int) -> State:
    """Return a state in which VM 1 registered a short time ago.

    That was after the copy was taken, and after VM 0 last read the list.
    """
    vm = Vm(rows_age=lease_ticks)
    return State(
        listed_in_copy=(True, False),
        vms=(vm._replace(knows_other=False), vm),
    )


def restarted_vm(vm: Vm, lease_ticks: int) -> Vm:
    """Return a VM without memory; its last order is still under way."""
    return FRESH._replace(
        lease_age=lease_ticks,
        order=vm.order,
        token=vm.token,
        order_forgotten=True,
    )


def aged_vm(vm: Vm, lease_ticks: int) -> Vm:
    """Return a VM after a tick; an order still in flight is dropped."""
    return vm._replace(
        lease_age=min(vm.lease_age + 1, lease_ticks),
        era_age=min(vm.era_age + 1, lease_ticks),
        rows_age=min(vm.rows_age + 1, lease_ticks),
        poll_age=min(vm.poll_age + 1, lease_ticks),
        row_is_unchanged=True,
        claim_is_valid=False,
        closed_age=min(vm.closed_age + 1, lease_ticks),
        order=Order.NONE,
    )


def swapped(state: State) -> State:
    """Return the state with the VMs in the other order."""
    return state._replace(
        row=_swapped_row(state.row),
        copy=_swapped_row(state.copy),
        vms=tuple(_swapped_vm(vm) for vm in reversed(state.vms)),
        holder=_swapped_place(state.holder),
    )


@functools.cache
def _swapped_vm(vm: Vm) -> Vm:
    return vm._replace(newest_row=_swapped_row(vm.newest_row))


@functools.cache
def _swapped_row(row: Row) -> Row:
    return row._replace(coordinator=_swapped_place(row.coordinator))


def _swapped_place(v: int) -> int:
    return v if v == NOBODY else 1 - v


def canonical_vm(v: int, vm: Vm, lists_matter: bool, lowest: int) -> Vm:
    """Return a VM with the fields that no transition reads reset.

    ``lists_matter`` is whether a VM may be missing in a list, ``lowest`` the
    lowest version that a row in the store can have from now on.
    """
    vm = _canonical_change(vm)
    row = vm.newest_row
    if row.open or row.coordinator == v:
        vm = vm._replace(row_is_unchanged=False)
    if vm.first_era == NOBODY:
        vm = vm._replace(rows_age=0)
    if vm.read_version < lowest:
        vm = vm._replace(read_era=NOBODY, read_version=NOBODY)
    if row.stamp == vm.era or not row.open:
        vm = vm._replace(granted=False)
    if not lists_matter or vm.era == 0:
        vm = vm._replace(era_age=0)
    if not lists_matter or vm.knows_other:
        vm = vm._replace(poll_age=0, list_is_recent=False)
    return vm


def _canonical_change(vm: Vm) -> Vm:
    """Reset the fields of a change that do not matter in its phase."""
    if vm.order is Order.NONE:
        vm = vm._replace(token=(0, 0), order_forgotten=False)
    if vm.phase is not Phase.FENCING:
        vm = vm._replace(closed_age=0)
    if vm.phase is Phase.OPENING:
        vm = vm._replace(claim_is_valid=False)
    if vm.phase is not Phase.IDLE:
        return vm._replace(read_era=NOBODY, read_version=NOBODY, granted=False)
    return vm._replace(
        claim_era=0, claim_version=0, claim_term=0, claim_is_valid=False
    )
