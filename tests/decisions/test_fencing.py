"""Which VMs a change of primary waits for, as answers and lists arrive."""

from __future__ import annotations

from chicoryusher import core
from chicoryusher import decisions

ZONE = core.ZoneName('akhmim-yard')
A, B, C = (core.VmName(letter) for letter in 'abc')


def row(vm, **changes):
    return core.EntryVmRow(vm, '10.0.0.1', 7440, ZONE, 'b1', **changes)


def test_fencing_is_not_done_before_the_store_has_listed_all_vms():
    fencing = decisions.FencingProgress([A])
    fencing.record_stopped(A)
    assert not fencing.done
    assert not fencing.add_registered([row(A)])
    assert fencing.done


def test_a_vm_that_only_the_store_knows_is_waited_for():
    fencing = decisions.FencingProgress([A])
    assert fencing.add_registered([row(A), row(B)])
    fencing.record_stopped(A)
    assert not fencing.done
    fencing.record_stopped(B)
    assert fencing.done
    assert fencing.vms == {A, B}


def test_vms_that_have_left_or_are_marked_missing_are_not_added():
    fencing = decisions.FencingProgress([A])
    left = row(B, status=core.EntryVmStatus.LEFT)
    assert not fencing.add_registered([left, row(C, unreachable=True)])
    assert fencing.vms == {A}


def test_a_leaving_vm_is_waited_for():
    fencing = decisions.FencingProgress()
    assert fencing.add_registered([row(B, status=core.EntryVmStatus.LEAVING)])
